package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/dispatch"
)

// requestText returns a request that keeps its connection open.
func requestText(target, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nTest-Id: r1\r\nTest-Key: secret\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
}

// readAnswer reads one of several answers on a connection.
func (h *harness) readAnswer(reader *bufio.Reader, method string) (reply, string) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	require.NoError(h.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(h.t, err)
	return reply{resp.StatusCode, resp.Header, resp.Close}, string(body)
}

// outstanding returns the number of held slots and queue positions, and that of requests in
// flight. A request in a slot or a queue counts twice.
func (h *harness) outstanding() (slots int, inFlight int64) {
	h.entry.mu.Lock()
	defer h.entry.mu.Unlock()
	for _, s := range h.entry.placer.targets {
		slots += s.ownRequests
	}
	for _, q := range h.entry.placer.queues {
		slots += q.inFlight + len(q.waiting)
	}
	return slots + len(h.entry.waiters), h.entry.inFlight.Load()
}

// assertNothingHeld checks that no slot or queue position is held and no request in flight.
func (h *harness) assertNothingHeld() {
	synctest.Wait()
	slots, inFlight := h.outstanding()
	assert.Zero(h.t, slots, "slots and queue positions")
	assert.Zero(h.t, inFlight, "requests in flight")
}

// Guards against resending a recycled buffer: a resumption reads the request body after the
// handler has returned, while other requests use the connection and the buffers.
func TestResumptionSendsOriginalRequestBody(t *testing.T) {
	const prompt, other = "the caller's own prompt", "another caller's prompt"
	type sent struct{ target, body string }
	bodies := make(chan sent, 64)
	var proceed chan struct{}
	upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
		bodies <- sent{req.RequestURI, body}
		if req.RequestURI == "/repeat/x" {
			return answer(200, body), true
		}
		if req.Header.Get("Last-Event-Id") == "" {
			_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)))
			<-proceed
			return "", false
		}
		return resumedStreamAnswer(req, 3), true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		proceed = make(chan struct{})
		conn := h.open()
		defer func() { _ = conn.Close() }()
		go func() { _, _ = io.WriteString(conn, requestText("/stream/x", prompt)+requestText("/repeat/x", other)) }()
		synctest.Wait()
		for range 8 {
			_, body, err := h.call("POST", "/repeat/x", other)
			require.NoError(t, err)
			require.Equal(t, other, body)
		}
		close(proceed)
		reader := bufio.NewReader(conn)
		for _, want := range []string{event(1) + event(2) + event(3), other} {
			_, body := h.readAnswer(reader, "POST")
			assert.Equal(t, want, body)
		}
		h.assertNothingHeld()
		close(bodies)
		runs := 0
		for s := range bodies {
			if s.target == "/stream/x" {
				runs++
				assert.Equal(t, prompt, s.body)
			}
		}
		assert.Equal(t, 2, runs)
	})
}

// A stream that cannot be resumed must close the connection without the last chunk, whatever
// the caller asked of the connection, and a pipelined request must get no answer.
func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	for name, change := range map[string][2]string{
		"kept":              {"", ""},
		"closed":            {"\r\n\r\n", "\r\nConnection: close\r\n\r\n"},
		"of HTTP/1.0":       {"HTTP/1.1", "HTTP/1.0"},
		"of HTTP/1.0, kept": {"HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			broken := func(*http.Request, string, net.Conn) (string, bool) {
				return fmt.Sprintf(streamHead, "p") + chunk(event(1)) + "5\r\nid: 2", false
			}
			inBubble(t, map[string]script{"a:1": broken}, func(h *harness) {
				conn := h.open()
				defer func() { _ = conn.Close() }()
				text := strings.Replace(requestText("/stream/x", "prompt"), change[0], change[1], 1)
				go func() { _, _ = io.WriteString(conn, text+requestText("/repeat/x", "next")) }()
				got, err := io.ReadAll(conn)
				require.NoError(t, err)
				assert.Equal(t, 1, strings.Count(string(got), "HTTP/1.1 "))
				assert.True(t, strings.HasSuffix(string(got), "\r\n\r\n"+chunk(event(1))), "%q", got)
				h.assertNothingHeld()
			})
		})
	}
}

// panicConn panics after each read while armed.
type panicConn struct {
	net.Conn
	armed *atomic.Bool
}

func (c *panicConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.armed.Load() {
		panic("in the body")
	}
	return n, err
}

// fasthttp recovers a panic while it reads a body. The request's slot and its in-flight count
// must still be released.
func TestPanicInBodyReleasesResources(t *testing.T) {
	var armed atomic.Bool
	var proceed chan struct{}
	upstream := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)))
		<-proceed
		return chunk(event(2)) + "0\r\n\r\n", true
	}
	inBubble(t, map[string]script{"a:1": upstream}, func(h *harness) {
		proceed = make(chan struct{})
		dial := h.dial
		h.entry.opts.Client = dispatch.NewClientWith(dispatch.Options{
			Protocol: dispatch.Protocol{RequestID: "Test-Id"},
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				return &panicConn{conn, &armed}, err
			},
		})
		conn := h.open()
		defer func() { _ = conn.Close() }()
		go func() { _, _ = io.WriteString(conn, requestText("/stream/x", "prompt")) }()
		synctest.Wait()
		armed.Store(true)
		close(proceed)
		_, body, err := h.receive(conn)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, event(1), body)
		h.assertNothingHeld()
		assert.Zero(t, h.entry.Drain(t.Context()))
		armed.Store(false)
	})
}

// Guards against a leaked slot: it is granted to a waiting request at the moment its client
// disconnects.
func TestSlotGrantedDuringClientDisconnectIsReleased(t *testing.T) {
	for range 32 {
		var proceed chan struct{}
		hang := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
			<-proceed
			return answer(200, "x"), true
		}
		inBubble(t, map[string]script{"a:1": hang}, func(h *harness) {
			proceed = make(chan struct{})
			h.view.Targets[0].Slots = 1
			h.entry.UpdateView(h.view)
			first, second := h.open(), h.open()
			h.send(first, "POST", "/repeat/x", "first")
			synctest.Wait()
			h.send(second, "POST", "/repeat/x", "second")
			synctest.Wait()
			slots, inFlight := h.outstanding()
			require.Equal(t, 4, slots, "one request in a slot, one queued, each counted twice")
			require.EqualValues(t, 2, inFlight)
			go func() { _ = second.Close() }()
			close(proceed)
			_, body, err := h.receive(first)
			require.NoError(t, err)
			assert.Equal(t, "x", body)
			h.assertNothingHeld()
		})
	}
}

// Answers without events on a stream route must be passed on and not be sent again.
func TestNonStreamAnswersOnStreamRoute(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: p\r\n"
	for name, test := range map[string]struct {
		method, answer string
		keep           bool
		status, sends  int
		body           string
	}{
		"no chunks":           {"POST", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, 200, 1, ""},
		"no length":           {"POST", head + "\r\n", false, 200, 1, ""},
		"HEAD":                {"HEAD", head + "Content-Length: 7\r\n\r\n", true, 200, 1, ""},
		"no content":          {"POST", strings.Replace(head, "200", "204", 1) + "\r\n", true, 204, 1, ""},
		"refused by a status": {"POST", answer(400, "no"), true, 400, 1, "no"},
	} {
		t.Run(name, func(t *testing.T) {
			upstream := func(*http.Request, string, net.Conn) (string, bool) { return test.answer, test.keep }
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				conn := h.open()
				defer func() { _ = conn.Close() }()
				h.send(conn, test.method, "/stream/x", "prompt")
				resp, body := h.readAnswer(bufio.NewReader(conn), test.method)
				assert.Equal(t, test.status, resp.StatusCode)
				assert.Equal(t, test.body, body)
				assert.Equal(t, []string{"p"}, resp.Header["Test-Signature"])
				assert.Len(t, h.received, test.sends)
				h.assertNothingHeld()
			})
		})
	}
}

// Guards against a timeout on an empty stream: with a content length of 0 there is no byte to
// wait for.
func TestEmptyStreamIsNotTreatedAsStalled(t *testing.T) {
	emptyStream := alwaysAnswer(answer(200, "", "Content-Type: text/event-stream"))
	inBubble(t, map[string]script{"a:1": emptyStream, "b:1": emptyStream}, func(h *harness) {
		resp, body, err := h.call("POST", "/stream/x", "prompt")
		require.NoError(t, err)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Empty(t, body)
		assert.Len(t, h.received, 1)
		assert.NotContains(t, h.log.String(), "send_failed")
	})
}

// A client disconnect must be detected for each request of a connection, not only the first.
func TestClientDisconnectInLaterRequestOfConnection(t *testing.T) {
	ended := make(chan string, 2)
	hang := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		if req.RequestURI == "/repeat/x" {
			return answer(200, "x"), true
		}
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)))
		_, _ = conn.Read(make([]byte, 1))
		ended <- req.RequestURI
		return "", false
	}
	inBubble(t, map[string]script{"a:1": hang}, func(h *harness) {
		conn := h.open()
		reader := bufio.NewReader(conn)
		for range 3 {
			go func() { _, _ = io.WriteString(conn, requestText("/repeat/x", "prompt")) }()
			_, _ = h.readAnswer(reader, "POST")
		}
		go func() { _, _ = io.WriteString(conn, requestText("/stream/x", "prompt")) }()
		_, err := reader.ReadString('\n')
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		h.assertNothingHeld()
		assert.Len(t, ended, 1)
	})
}

// If the caller sent a Last-Event-Id, each send must carry exactly one such header, with the
// last event that the caller has received by then.
func TestResumptionByCallerIsResumed(t *testing.T) {
	for name, test := range map[string]struct{ sent, second string }{
		"broken before its first event": {"", "5"},
		"broken after an event":         {event(6), "6"},
	} {
		t.Run(name, func(t *testing.T) {
			var asked []string
			upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
				if asked = append(asked, req.Header["Last-Event-Id"]...); len(asked) == 1 {
					streamEnds["closed"](test.sent, conn)
					return "", false
				}
				return resumedStreamAnswer(req, 8), true
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				_, body, err := h.call("POST", "/stream/x", "prompt", "Last-Event-Id: 5")
				require.NoError(t, err)
				assert.Equal(t, event(6)+event(7)+event(8), body)
				assert.Equal(t, []string{"5", test.second}, asked)
				h.assertNothingHeld()
			})
		})
	}
}
