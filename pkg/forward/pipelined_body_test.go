package forward

import (
	"bufio"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against an answer that waits, unsent, until the body of the caller's next request has arrived.
func TestAnswerIsNotHeldUntilNextBodyArrives(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		conn := h.open()
		next := requestText("/repeat/x", "the next body")
		const missing = 4
		began := time.Now()
		go func() {
			_, _ = io.WriteString(conn, requestText("/repeat/x", "text")+next[:len(next)-missing])
			<-time.After(2 * time.Second)
			_, _ = io.WriteString(conn, next[len(next)-missing:])
		}()
		reader := bufio.NewReader(conn)
		first, body := h.readAnswer(reader, "POST")
		require.Equal(t, 200, first.StatusCode)
		assert.Equal(t, "ok", body)
		assert.Zero(t, time.Since(began), "the answer is complete")
		second, _ := h.readAnswer(reader, "POST")
		assert.Equal(t, 200, second.StatusCode)
		_ = conn.Close()
		synctest.Wait()
	})
}
