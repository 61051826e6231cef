package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Callers retry once. Retry-After of an entry without a configuration must lie after the
// expected end of its start, whatever time the caller has left, and be spread so that refused callers do not retry together.
func TestRetryAfterOfStartingEntry(t *testing.T) {
	const callers = 20
	for name, test := range map[string]struct {
		after, left, soonest, latest time.Duration
	}{
		"at the start":      {0, 8 * time.Second, startupTime, startupTime + startupRetrySpread},
		"later":             {700 * time.Millisecond, 8 * time.Second, startupTime - 700*time.Millisecond, startupTime + startupRetrySpread},
		"longer than usual": {3 * time.Second, 8 * time.Second, 0, startupRetrySpread},
		"no time stated":    {0, 0, startupTime, startupTime + startupRetrySpread},
		"little time left":  {0, 900 * time.Millisecond, startupTime, startupTime + startupRetrySpread},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, nil, func(h *harness) {
				h.view.Document = nil
				<-time.After(test.after)
				waits := map[time.Duration]bool{}
				for range callers {
					wait := h.refusedRetryAfter(test.left)
					assert.GreaterOrEqual(t, wait, test.soonest)
					assert.LessOrEqual(t, wait, test.latest)
					waits[wait] = true
				}
				assert.Greater(t, len(waits), 1)
			})
		})
	}
}

// refusedRetryAfter sends a request that is refused and returns its Retry-After.
func (h *harness) refusedRetryAfter(left time.Duration) time.Duration {
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/public/")
	if left > 0 {
		ctx.Request.Header.Set(testHeaderNames.TimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	}
	h.entry.serve(&ctx)
	require.Equal(h.t, http.StatusServiceUnavailable, ctx.Response.StatusCode())
	seconds, err := strconv.ParseFloat(string(ctx.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
	require.NoError(h.t, err)
	return time.Duration(seconds * float64(time.Second))
}
