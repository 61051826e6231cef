package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/dispatch"
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
		<-time.After(unknownStartTimeout + 2*successorPollInterval)
		synctest.Wait()
		assert.EqualValues(t, 2, dials.Load())
		_ = conn.Close()
		<-time.After(time.Second)
		assert.EqualValues(t, 2, dials.Load())
		h.assertNothingInFlight("after the caller has left")
	})
}

// closedLate is a connection whose closing takes effect late.
type closedLate struct{ net.Conn }

func (closedLate) Close() error { return nil }

// Guards against a successor that is no longer needed and sends the body of the next request on
// its caller's connection.
func TestDiscardedSuccessorSendsOnlyItsOwnBody(t *testing.T) {
	var mu sync.Mutex
	var received []string
	upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
		mu.Lock()
		received = append(received, req.RequestURI+" "+body)
		runs := len(received)
		mu.Unlock()
		if runs == 1 {
			return pausingStream(1, eventGapTimeout+100*time.Millisecond)(req, body, conn)
		}
		return answer(200, "text"), true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		received = nil
		var dials atomic.Int64
		opened, late := make(chan struct{}), net.Conn(nil)
		opts := dispatch.Options{Protocol: dispatch.Protocol{RequestID: "Test-Id"}}
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := h.dial(ctx, address)
			if dials.Add(1) == 2 {
				late = conn
				<-opened
				return closedLate{conn}, err
			}
			return conn, err
		}
		h.entry.opts.Client = dispatch.NewClientWith(opts)
		conn := h.open()
		call := func(path, body string) {
			go func() {
				_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nTest-Id: r1\r\nTest-Key: secret\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
			}()
			_, _, err := h.receive(conn)
			require.NoError(t, err)
		}
		call("/stream/x", "first")
		call("/repeat/x", "other")
		close(opened)
		synctest.Wait()
		_, _ = late.Close(), conn.Close()
		assert.Subset(t, []string{"/stream/x first", "/repeat/x other"}, received)
		assert.Contains(t, received, "/repeat/x other")
	})
}
