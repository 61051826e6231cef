package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against proper requests that are refused, or run, by a configuration that may lack a change which operators rely on:
// a refusal needs a configuration that was confirmed within MaxChangeAge, and nothing is decided by a version
// that is known to have been replaced for longer.
func TestUnconfirmedConfigurationRefusesNothing(t *testing.T) {
	const maxChangeAge = 1800 * time.Millisecond
	requests := map[string]struct {
		method, target, key, header, body string
		// confirmed is the status by a configuration that was confirmed recently.
		confirmed int
		refusal   bool
	}{
		"known":          {method: "GET", target: "/repeat/x", key: "secret", confirmed: 200},
		"public":         {method: "GET", target: "/public/x", confirmed: 200},
		"unknown route":  {method: "GET", target: "/nowhere/", key: "secret", confirmed: 404, refusal: true},
		"unknown key":    {method: "GET", target: "/repeat/x", key: "other", confirmed: 401, refusal: true},
		"long header":    {method: "GET", target: "/repeat/x", key: "secret", header: strings.Repeat("h", 5000), confirmed: 431, refusal: true},
		"long body":      {method: "POST", target: "/repeat/x", key: "secret", body: strings.Repeat("b", 70_000), confirmed: 413, refusal: true},
		"short of limit": {method: "POST", target: "/repeat/x", key: "secret", body: strings.Repeat("b", 20_000), confirmed: 413, refusal: true},
	}
	for name, r := range requests {
		for _, test := range []struct {
			age    time.Duration
			newest uint64
		}{{time.Second, 1}, {time.Second, 2}, {maxChangeAge, 1}, {maxChangeAge + 1, 1}, {maxChangeAge + 1, 2}, {4*time.Second + 1, 1}, {4*time.Second + 1, 2}} {
			inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
				h.view.Document.Limits.MaxHeaderBytes, h.view.Document.Limits.MaxBodyBytes = 4000, 10_000
				h.entry.opts.MaxChangeAge, h.configAge = maxChangeAge, test.age
				h.entry.opts.NewestVersion = func() uint64 { return test.newest }
				want := r.confirmed
				replaced := test.newest > h.view.Document.Version
				if test.age > maxChangeAge && (r.refusal || replaced) || test.age > h.entry.opts.MaxConfigAge && name != "public" {
					want = http.StatusServiceUnavailable
				}
				headers := []string{"Other: " + r.header, "Test-Key: " + r.key}
				resp, _, err := h.callWithoutKey(r.method, r.target, r.body, headers...)
				require.NoError(t, err)
				assert.Equal(t, want, resp.StatusCode, "%s, age %s, newest %d", name, test.age, test.newest)
				assert.Equal(t, want == http.StatusServiceUnavailable, resp.Header.Get("Retry-After") != "")
				assert.Equal(t, test.age <= maxChangeAge || test.age <= h.entry.opts.MaxConfigAge && !replaced, h.entry.Ready())
			})
		}
	}
}
