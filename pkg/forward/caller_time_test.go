package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request waits for its turn while it can still be answered in its caller's time, and no longer.
func TestRequestWaitsForItsTurnWhileItsCallerHasTime(t *testing.T) {
	const run = 4 * time.Second
	for name, c := range map[string]struct {
		left   string
		status int
		within time.Duration
	}{
		"its turn comes in time":        {"Test-Left: 4900", http.StatusOK, 2 * run},
		"its turn comes just in time":   {"Test-Left: 4200", http.StatusOK, 2 * run},
		"its time ends before its turn": {"Test-Left: 2500", http.StatusServiceUnavailable, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			inBubble(t, map[string]script{"a:1": func(*http.Request, string, net.Conn) (string, bool) {
				if runs++; runs == 1 {
					<-time.After(run)
				}
				return answer(200, "ok"), true
			}}, func(h *harness) {
				defer h.occupied()()
				began := time.Now()
				resp, _, err := h.call("POST", "/repeat/x", "text", c.left)
				require.NoError(t, err)
				assert.Equal(t, c.status, resp.StatusCode)
				assert.LessOrEqual(t, time.Since(began), c.within)
				<-time.After(run)
			})
		})
	}
}
