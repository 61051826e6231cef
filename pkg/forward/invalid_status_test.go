package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against the answer of an upstream in trouble whose status line is none: the library reports the status 000 as 200,
// and passes on others that no caller can read.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/9.9 200 OK", "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 000 X"} {
		assertNoAnswer(t, func(response string) string { return strings.Replace(response, "HTTP/1.1 200 X", line, 1) })
	}
}

// assertNoAnswer lets the first upstream of a request answer with a spoiled response. No caller may get any of it: the request
// is repeated, or answered 502 as its route allows.
func assertNoAnswer(t *testing.T, spoil func(response string) string) {
	t.Helper()
	for target, want := range map[string]struct {
		status, runs int
		body         string
	}{
		"/repeat/x": {http.StatusOK, 2, "from the other upstream"},
		"/once/x":   {http.StatusBadGateway, 1, ""},
		"/stream/x": {http.StatusOK, 2, event(1) + event(2) + event(3)},
	} {
		runs := 0
		upstream := func(req *http.Request, _ string, _ net.Conn) (string, bool) {
			stream := strings.HasPrefix(target, "/stream/")
			runs++
			switch {
			case runs == 1:
				response := answer(200, "spoiled")
				if stream {
					response = fmt.Sprintf(streamHead, "p") + chunk(event(1)) + "0\r\n\r\n"
				}
				response = spoil(response)
				framed := strings.Contains(response, "Content-Length") || strings.Contains(response, "Transfer-Encoding")
				return response, framed
			case stream:
				return resumedStreamAnswer(req, 3), true
			default:
				return answer(200, want.body), true
			}
		}
		inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
			resp, body, err := h.call("POST", target, "body")
			require.NoError(t, err)
			assert.Equal(t, want.status, resp.StatusCode, target)
			assert.Equal(t, want.runs, runs, target)
			assert.NotContains(t, body, "spoiled")
			if want.body != "" {
				assert.Equal(t, want.body, body, target)
			}
			if want.status != http.StatusOK {
				assert.Empty(t, resp.Header.Get("Test-Signature"), "the answer is the entry's own")
				assert.Contains(t, h.log.String(), "reason=malformed")
			}
		})
	}
}
