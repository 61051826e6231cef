package forward

import (
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a planned stop that ends while callers still send their requests.
func TestPlannedStopWaitsForRequestsThatAreBeingRead(t *testing.T) {
	const grace, pause = 5 * time.Second, 2 * closeTimeout
	const head = "POST /repeat/x HTTP/1.1\r\nHost: h\r\nTest-Id: r1\r\nTest-Key: secret\r\nTest-Left: 1000\r\n"
	for name, pieces := range map[string][]string{
		"body in chunks":       {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nte\r\n", "2\r\nxt\r\n", "0\r\n\r\n"},
		"body with its length": {head + "Content-Length: 4\r\n\r\nte", "x", "t"},
		"header":               {head[:20], head[20:40], head[40:] + "Content-Length: 4\r\n\r\ntext"},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
				began := time.Now()
				conn, left := h.finishing(grace, func(conn net.Conn) {
					go func() {
						for _, piece := range pieces {
							_, _ = io.WriteString(conn, piece)
							<-time.After(pause)
						}
					}()
				})
				resp, body, err := h.receive(conn)
				require.NoError(t, err)
				assert.Equal(t, 200, resp.StatusCode)
				assert.Equal(t, "ok", body)
				assert.Zero(t, <-left)
				assert.GreaterOrEqual(t, time.Since(began), 2*pause, "the stop ends after the answer")
				assert.Less(t, time.Since(began), grace)
				_ = conn.Close()
				<-time.After(time.Minute)
				synctest.Wait()
			})
		})
	}
}

// Guards against a planned stop that outlasts its time because a caller does not end its request.
func TestPlannedStopDoesNotWaitForEndlessRequest(t *testing.T) {
	const grace = 5 * time.Second
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		began := time.Now()
		conn, left := h.finishing(grace, func(conn net.Conn) { go func() { _, _ = fmt.Fprint(conn, "POST /repeat/x HTTP/1.1\r\n") }() })
		assert.Equal(t, 1, <-left)
		assert.Equal(t, grace, time.Since(began))
		assert.Contains(t, logLineOf(h.log.String(), "request_cut_off"), "stage=reading")
		_ = conn.Close()
		<-time.After(time.Minute)
		synctest.Wait()
	})
}
