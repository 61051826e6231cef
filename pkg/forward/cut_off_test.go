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

// Guards against planned stops that tell only how many requests they cut.
func TestRequestsCutByPlannedStopAreLogged(t *testing.T) {
	const grace = 2 * time.Second
	stream := fmt.Sprintf(streamHead, "p") + chunk(event(1)) + chunk(event(2))
	for name, c := range map[string]struct {
		upstream script
		reads    bool
		want     []string
	}{
		"upstream still writing":     {begins(stream, 2*grace, "0\r\n\r\n"), true, []string{"stage=begun", "events=2", "unwritten_bytes=0"}},
		"caller that does not read":  {alwaysAnswer(stream + "0\r\n\r\n"), false, []string{"stage=begun"}},
		"whole answer, is not read":  {alwaysAnswer(answer(200, "text")), false, []string{"stage=ended", "events=0"}},
		"refusal that nobody reads":  {alwaysAnswer(answer(503, "", "Test-Refused: 1")), false, []string{"stage=refused"}},
		"upstream without an answer": {begins("HTTP/1.1 200 X\r\n", 2*grace, ""), false, []string{"stage=refused"}},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": c.upstream}, func(h *harness) {
				target := "/stream/x"
				if name == "whole answer, is not read" {
					target = "/repeat/x"
				}
				conn, left := h.finishing(grace, func(conn net.Conn) { h.send(conn, "POST", target, "text") })
				if c.reads {
					go func() { _, _ = io.Copy(io.Discard, conn) }()
				}
				assert.Equal(t, 1, <-left)
				line := logLineOf(h.log.String(), "request_cut_off")
				for _, field := range append(c.want, "request_id=r1", "class=", "target=a:1", "arrived_in_stop_ms=0", "in_stop_ms=2000", "took_ms=2000", "time_left_ms=3000") {
					assert.Contains(t, line+" ", " "+field)
				}
				_ = conn.Close()
				<-time.After(time.Minute)
				synctest.Wait()
			})
		})
	}
}

// Guards against answers that a reset of the caller's connection ends without a trace.
func TestAnswerThatIsNotWrittenIsLogged(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "text"))}, func(h *harness) {
		conn, left := h.finishing(time.Minute, func(conn net.Conn) { h.send(conn, "POST", "/repeat/x", "text") })
		require.Zero(t, <-left)
		line := logLineOf(h.log.String(), "answer_not_written")
		for _, field := range []string{"request_id=r1", "stage=ended", "caller_end=not-read"} {
			assert.Contains(t, line+" ", " "+field)
		}
		_ = conn.Close()
		<-time.After(time.Minute)
		synctest.Wait()
	})
}
