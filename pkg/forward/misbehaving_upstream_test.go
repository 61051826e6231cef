package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/disconnect"
)

// repeatText writes head, then the repeated text until the other side closes.
func repeatText(head, repeated string, pause time.Duration) script {
	return func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		if _, err := io.WriteString(conn, head); err != nil {
			return "", false
		}
		for {
			if _, err := io.WriteString(conn, repeated); err != nil {
				return "", false
			}
			<-time.After(pause)
		}
	}
}

// Guards against a stalled stream that resets the event timeout by sending single bytes
// that never complete an event.
func TestTricklingStreamIsAbandoned(t *testing.T) {
	const pause, within = eventGapTimeout / 4, 2100 * time.Millisecond
	for name, trickle := range map[string]struct{ head, repeated string }{
		"inside an event":        {fmt.Sprintf(streamHead, "p") + chunk(event(1)) + chunk("id: 2\ndata: "), chunk("x")},
		"in the size of a chunk": {fmt.Sprintf(streamHead, "p") + chunk(event(1)), "0"},
		"before the first event": {fmt.Sprintf(streamHead, "p") + chunk("id: 1\ndata: "), chunk("x")},
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
				if runs++; runs > 1 {
					return resumedStreamAnswer(req, 3), true
				}
				return repeatText(trickle.head, trickle.repeated, pause)(req, body, conn)
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				began := time.Now()
				_, body, err := h.call("POST", "/stream/x", "prompt")
				require.NoError(t, err)
				assert.Equal(t, event(1)+event(2)+event(3), body)
				assert.Less(t, time.Since(began), within)
				<-time.After(2 * pause)
			})
		})
	}
}

// A slow stream that keeps sending events must not be aborted, whatever its total time.
func TestSlowStreamIsNotAborted(t *testing.T) {
	const events = 12
	slow := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p"))
		for id := 1; id <= events; id++ {
			// Each event comes in two parts, with a pause of 2/5 of the event timeout before each.
			text := chunk(event(id))
			<-time.After(eventGapTimeout * 2 / 5)
			_, _ = io.WriteString(conn, text[:len(text)/2])
			<-time.After(eventGapTimeout * 2 / 5)
			_, _ = io.WriteString(conn, text[len(text)/2:])
		}
		return "0\r\n\r\n", true
	}
	inBubble(t, map[string]script{"a:1": slow, "b:1": slow}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		require.NoError(t, err)
		assert.Equal(t, events, strings.Count(body, "data:"))
		assert.Len(t, h.received, 1, "one upstream")
	})
}

// Guards against answers that never end: the send must be aborted, and then either retried on
// another upstream, where the route allows it, or reported to the caller immediately.
func TestUnboundedAnswerIsAborted(t *testing.T) {
	head := "HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: p\r\n"
	for name, unbounded := range map[string]struct{ head, repeated string }{
		"head":          {"HTTP/1.1 200 X\r\n", strings.Repeat("A: b\r\n", 600)},
		"no head":       {"", strings.Repeat("\x00\xff", 2048)},
		"body":          {head + "\r\n", strings.Repeat("y", 64<<10)},
		"chunked body":  {head + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("z", 64<<10) + "\r\n"},
		"stated length": {head + "Content-Length: 9000000000\r\n\r\n", strings.Repeat("w", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
				if runs++; runs > 1 {
					return answer(200, "ok"), true
				}
				return repeatText(unbounded.head, unbounded.repeated, 0)(req, body, conn)
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				resp, body, err := h.call("GET", "/repeat/x", "")
				require.NoError(t, err)
				assert.Equal(t, 200, resp.StatusCode)
				assert.Equal(t, "ok", body)
				<-time.After(time.Second)
			})
			runs = 0
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				began := time.Now()
				resp, _, err := h.call("POST", "/once/x", "grant")
				require.NoError(t, err)
				assert.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may have run")
				assert.Equal(t, 1, runs)
				assert.Less(t, time.Since(began), time.Second, "reported without delay")
				<-time.After(time.Second)
			})
		})
	}
}

// chanListener is a listener that accepts connections from a channel.
type chanListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *chanListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *chanListener) Close() error   { close(l.closed); return nil }
func (l *chanListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a race at shutdown: a request may be read after the check that finds none in
// flight and before its connection is closed.
func TestRequestArrivingDuringShutdownIsAnswered(t *testing.T) {
	const serviceTime = 4 * closeTimeout
	inBubble(t, map[string]script{"a:1": func(*http.Request, string, net.Conn) (string, bool) {
		<-time.After(serviceTime)
		return answer(200, "ok"), true
	}}, func(h *harness) {
		listener := &chanListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		go func() { _ = h.entry.Serve(disconnect.WrapListener(listener)) }()
		caller, server := net.Pipe()
		listener.conns <- server
		synctest.Wait()
		const grace = 4 * serviceTime
		h.entry.BeginStop(time.Now().Add(grace), time.Now().Add(grace))
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		unfinished := make(chan int, 1)
		go func() { unfinished <- h.entry.Finish(ctx) + int(h.entry.inFlight.Load()) }()
		<-time.After(closeTimeout / 8)
		began := time.Now()
		h.send(caller, "POST", "/once/x", "grant")
		resp, body, err := h.receive(caller)
		require.NoError(t, err)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, "ok", body)
		assert.True(t, resp.Close)
		assert.Zero(t, <-unfinished, "no request may be in flight when the process exits")
		assert.Less(t, time.Since(began), serviceTime+2*closeTimeout, "shutdown does not wait for the whole grace period")
		_ = caller.Close()
		// Lets the idle workers of fasthttp exit.
		<-time.After(time.Minute)
	})
}
