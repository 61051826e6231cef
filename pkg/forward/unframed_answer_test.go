package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against answers without a length and chunks that end early and look complete: only a
// reset, a partial event and a stream without events show that their connection broke off.
func TestUnframedAnswersThatEndEarlyAreNotComplete(t *testing.T) {
	const plainHead = "HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: p\r\n\r\n"
	cases := []struct {
		name, target, answer string
		reset                bool
		// status and body are what the caller gets; a broken answer has no whole body.
		status int
		body   string
		broken bool
	}{
		{"whole answer", "/public/x", plainHead + "abc", false, 200, "abc", false},
		{"answer that is reset", "/public/x", plainHead + "abc", true, 502, "", false},
		{"empty answer", "/public/x", plainHead, false, 200, "", false},
		{"whole stream", "/stream/x", unframedHead + event(1) + event(2), false, 200, event(1) + event(2), false},
		{"stream that ends inside an event", "/stream/x", unframedHead + event(1) + "id: 2\nda", false, 200, event(1), true},
		{"stream that ends before the blank line of an event", "/stream/x", unframedHead + event(1) + "id: 2\ndata: t2\n", false, 200, event(1), true},
		{"stream that is reset between events", "/stream/x", unframedHead + event(1), true, 200, event(1), true},
		{"stream that ends inside its first event", "/stream/x", unframedHead + "id: 1\nda", false, 502, "", false},
		{"stream that ends before its first event", "/stream/x", unframedHead, false, 502, "", false},
		{"stream that ends after a comment, before its first event", "/stream/x", unframedHead + ": ping\n\n", false, 200, ": ping\n\n", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
				if c.reset {
					conn.(*upstreamSide).entrySide.reset.Store(true)
				}
				return c.answer, false
			}}, func(h *harness) {
				resp, body, err := h.call("GET", c.target, "", "Test-Key: secret")
				assert.Equal(t, c.status, resp.StatusCode)
				assert.Equal(t, c.broken, err != nil, "%v", err)
				if c.status == http.StatusOK {
					assert.Equal(t, c.body, body)
				} else {
					assert.Contains(t, body, "upstream-failed")
				}
				assert.Equal(t, c.broken || c.status != http.StatusOK, strings.Contains(h.log.String(), "reason=cut-off"))
			})
		})
	}
}
