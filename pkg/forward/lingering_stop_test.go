package forward

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/disconnect"
)

// halfClosable is a connection whose sides can be closed one by one, like a TCP connection.
type halfClosable struct{ net.Conn }

func (halfClosable) CloseWrite() error { return nil }

// Guards against a process that exits while a caller receives the end of its answer: unread bytes would reset the connection.
func TestPlannedStopWaitsForCallerToReceiveAnswer(t *testing.T) {
	const grace, receives = 5 * time.Second, 700 * time.Millisecond
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "text"))}, func(h *harness) {
		listener := &chanListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		go func() { _ = h.entry.Serve(disconnect.WrapListener(listener)) }()
		caller, server := net.Pipe()
		listener.conns <- halfClosable{server}
		began := time.Now()
		h.entry.BeginStop(began, began.Add(grace))
		h.send(caller, "POST", "/repeat/x", "text")
		_, _, err := h.receive(caller)
		require.NoError(t, err)
		synctest.Wait()
		go func() {
			<-time.After(receives)
			_ = caller.Close()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		assert.Zero(t, h.entry.Finish(ctx))
		assert.GreaterOrEqual(t, time.Since(began), receives)
		assert.Less(t, time.Since(began), 2*receives)
		assert.Empty(t, logLineOf(h.log.String(), "request_cut_off"))
		<-time.After(time.Minute)
	})
}
