package forward

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against sends of a stream whose caller has left, in place of successors that ended with it.
func TestNoSuccessorBeginsAfterCallerHasLeft(t *testing.T) {
	upstreams := map[string]script{}
	for _, address := range []string{"a:1", "b:1", "c:1", "d:1"} {
		upstreams[address] = waitForClose(fmt.Sprintf(streamHead, "p"))
	}
	inBubble(t, upstreams, func(h *harness) {
		for i := range h.view.Document.Routes {
			h.view.Document.Routes[i].MaxAttempts = len(upstreams)
		}
		require.NoError(t, h.view.Document.Index())
		var dials atomic.Int64
		h.dialError = func(string) error {
			dials.Add(1)
			return nil
		}
		conn := h.open()
		h.send(conn, "POST", "/stream/x", "prompt")
		<-time.After(firstEventTimeout + 2*successorPollInterval)
		synctest.Wait()
		assert.EqualValues(t, 2, dials.Load())
		_ = conn.Close()
		<-time.After(time.Second)
		assert.EqualValues(t, 2, dials.Load())
		h.assertNothingInFlight("after the caller has left")
	})
}
