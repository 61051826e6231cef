package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
)

// answerForms are the forms in which an upstream answers with a status and a body. A form that is not whole ends early.
var answerForms = map[string]struct {
	text  func(status int, body string) string
	whole bool
}{
	"with a length":     {func(status int, body string) string { return answer(status, body) }, true},
	"without a body":    {func(status int, _ string) string { return answer(status, "") }, true},
	"with Retry-After":  {func(status int, body string) string { return answer(status, body, "Retry-After: 1") }, true},
	"in chunks":         {func(status int, body string) string { return inChunks(status, body) + "0\r\n\r\n" }, true},
	"until closed":      {func(status int, body string) string { return plainHead(status) + "\r\n" + body }, true},
	"cut in its length": {func(status int, body string) string { return strings.TrimSuffix(answer(status, body), "e") }, false},
	"cut in its chunks": {inChunks, false},
}

func plainHead(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nTest-Id: r1\r\nTest-Signature: p\r\n", status)
}

func inChunks(status int, body string) string {
	return plainHead(status) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body)
}

// playRunOnce sends a request that runs once. The first upstream refuses it if refused is true; the next one runs it and answers
// with the given text.
func playRunOnce(t *testing.T, target, text string, refused bool, check func(h *harness, r reply, body string, runs int)) {
	sends, runs := 0, 0
	upstream := func(*http.Request, string, net.Conn) (string, bool) {
		if sends++; sends == 1 && refused {
			return answer(http.StatusServiceUnavailable, "", "Test-Refused: 1"), true
		}
		runs++
		return text, false
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		h.view.Document.Routes[3].Idempotency = document.AtMostOnce
		require.NoError(t, h.view.Document.Index())
		r, body, err := h.call("POST", target, "grant")
		require.NoError(t, err)
		check(h, r, body, runs)
		h.assertNothingInFlight(target)
	})
}

// Guards against a second run of a request that may run only once: the caller of one that had run got a status that promises that
// it had not, as its upstream answered with that status, and sent it again.
func TestStatusThatPromisesNoRunIsNotPassedOnAfterARun(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		for form, f := range answerForms {
			for _, target := range []string{"/once/x", "/stream/x"} {
				for _, refused := range []bool{false, true} {
					t.Run(fmt.Sprintf("%d %s, %s, refused before: %t", status, form, target, refused), func(t *testing.T) {
						playRunOnce(t, target, f.text(status, "ran, but the archive did not answer, sorry: one more line"), refused, func(h *harness, r reply, body string, runs int) {
							assert.Equal(t, http.StatusBadGateway, r.StatusCode)
							assert.Equal(t, 1, runs)
							assert.Empty(t, r.Header.Get("Test-Signature"), "the answer is the entry's own")
							assert.Empty(t, r.Header.Get("Retry-After"))
							assert.Equal(t, string(fault.Unknown), r.Header.Get(fault.OutcomeHeader))
							assert.NotContains(t, body, "archive")
							if f.whole {
								assert.Contains(t, h.log.String(), "reason=refusal-not-stated")
								assert.Contains(t, h.log.String(), fmt.Sprintf("status %d does not state", status))
								assert.Contains(t, h.entry.opts.Metrics.String(), `"sends_failed.refusal-not-stated"`)
							} else {
								assert.Contains(t, h.log.String(), "reason=cut-off")
							}
						})
					})
				}
			}
		}
	}
}

// All other answers of an upstream that ran a request reach its caller as they are.
func TestOtherStatusesArePassedOnAfterARun(t *testing.T) {
	for _, status := range []int{200, 201, 301, 400, 401, 403, 404, 409, 412, 421, 422, 500, 501, 502, 504, 507} {
		for form, f := range answerForms {
			for _, target := range []string{"/once/x", "/stream/x"} {
				if !f.whole || target == "/stream/x" && status == http.StatusOK {
					continue
				}
				text := f.text(status, "the upstream's own text")
				playRunOnce(t, target, text, false, func(_ *harness, r reply, body string, runs int) {
					assert.Equal(t, status, r.StatusCode, form)
					assert.Equal(t, 1, runs)
					assert.Equal(t, "p", r.Header.Get("Test-Signature"), "%d %s", status, form)
					assert.Equal(t, form != "without a body", body == "the upstream's own text", "%d %s", status, form)
					assert.Equal(t, form == "with Retry-After", r.Header.Get("Retry-After") == "1", "%d %s", status, form)
				})
			}
		}
	}
}

// An answer that states that the request did not run is a refusal by any status: the request is sent once more, and the caller of
// one that nobody ran may send it again.
func TestStatedRefusalIsRetriedByAnyStatus(t *testing.T) {
	for _, status := range []int{503, 429, 408, 421, 400, 500} {
		for _, target := range []string{"/once/x", "/stream/x"} {
			playRunOnce(t, target, answer(status, "full", "Test-Refused: 1"), false, func(_ *harness, r reply, _ string, sends int) {
				assert.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
				assert.Equal(t, string(fault.NotRun), r.Header.Get(fault.OutcomeHeader))
				assert.Equal(t, 2, sends, "each send was refused")
			})
		}
	}
}

// Requests that may repeat are tried again where that helps; their callers get what the upstream said, with the time to wait.
func TestRepeatableRequestKeepsItsUpstreamsStatus(t *testing.T) {
	for status, sends := range map[int]int{503: 2, 429: 1, 408: 1} {
		inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(status, "full")), "b:1": alwaysAnswer(answer(status, "full"))}, func(h *harness) {
			r, body, err := h.call("GET", "/repeat/x", "")
			require.NoError(t, err)
			assert.Equal(t, status, r.StatusCode)
			assert.Equal(t, "full", body)
			assert.Equal(t, "p", r.Header.Get("Test-Signature"))
			assert.Len(t, h.received, sends)
		})
	}
}

// A 503 with Retry-After states that its upstream wants no work, whether or not the request ran.
func TestUpstreamIsPausedByRefusalThatIsNotStated(t *testing.T) {
	upstreams := map[string]script{"a:1": alwaysAnswer(answer(http.StatusServiceUnavailable, "", "Retry-After: 3"))}
	inBubble(t, upstreams, func(h *harness) {
		for i, want := range []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusServiceUnavailable} {
			r, _, err := h.call("POST", "/once/x", "grant")
			require.NoError(t, err)
			assert.Equal(t, want, r.StatusCode, i)
		}
		assert.Len(t, h.received, 1, "later requests are refused without a send")
		assert.Contains(t, h.log.String(), "event=upstream_paused")
	})
}

// The answer is read to its end, so that its connection serves the next request.
func TestConnectionIsKeptAfterRefusalThatIsNotStated(t *testing.T) {
	sends := 0
	inBubble(t, map[string]script{"a:1": func(*http.Request, string, net.Conn) (string, bool) {
		if sends++; sends == 1 {
			return answer(http.StatusServiceUnavailable, strings.Repeat("x", 64<<10)), true
		}
		return answer(http.StatusOK, "ok"), true
	}}, func(h *harness) {
		dials := 0
		h.dialError = func(string) error {
			dials++
			return nil
		}
		for _, want := range []int{http.StatusBadGateway, http.StatusOK} {
			r, _, err := h.call("POST", "/once/x", "grant")
			require.NoError(t, err)
			assert.Equal(t, want, r.StatusCode)
		}
		assert.Equal(t, 1, dials)
	})
}

// An upstream that sends no end to such an answer holds its caller no longer than the deadline.
func TestRefusalThatIsNotStatedWithoutEndIsBounded(t *testing.T) {
	inBubble(t, map[string]script{"a:1": func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, err := io.WriteString(conn, plainHead(http.StatusServiceUnavailable)+"\r\n")
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("x", 1<<20))
		}
		return "", false
	}}, func(h *harness) {
		began := time.Now()
		r, _, err := h.call("POST", "/once/x", "grant")
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadGateway, r.StatusCode)
		assert.Less(t, time.Since(began), 5*time.Second)
	})
}
