package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/disconnect"
)

// The times of a planned stop in these tests.
const (
	testBalancerWait = 2300 * time.Millisecond
	testStopTime     = 7200 * time.Millisecond
)

// slowly answers after a time; on a stream's route with events until then.
func slowly(run time.Duration) script {
	return func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		if req.URL.Path != "/stream/x" {
			<-time.After(run)
			return answer(200, "ok"), true
		}
		const events = 10
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: p\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := range events {
			<-time.After(run / events)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return "", false
			}
		}
		return "0\r\n\r\n", true
	}
}

// Guards against requests that come late in a planned stop, are passed on because their expected time fits, take
// longer than expected and are cut without a whole answer at the end.
func TestLateRequestInPlannedStopIsAnsweredOrRefused(t *testing.T) {
	for name, c := range map[string]struct {
		target   string
		at       time.Duration
		left     time.Duration
		run      time.Duration
		accepted bool
	}{
		"stream, while callers have no other entry":          {"/stream/x", 2 * time.Second, 5 * time.Second, time.Second, true},
		"stream that may outlast the stop":                   {"/stream/x", 3300 * time.Millisecond, 5 * time.Second, 4500 * time.Millisecond, false},
		"stream that would end, but may not":                 {"/stream/x", 3300 * time.Millisecond, 5 * time.Second, time.Second, false},
		"stream whose deadline is before the end":            {"/stream/x", 5 * time.Second, 1500 * time.Millisecond, 1400 * time.Millisecond, true},
		"idempotent request that may outlast the stop":       {"/repeat/x", 3300 * time.Millisecond, 5 * time.Second, 4500 * time.Millisecond, false},
		"idempotent request, by its expected time":           {"/repeat/x", 2200 * time.Millisecond, 5 * time.Second, time.Second, true},
		"idempotent request whose deadline is before":        {"/repeat/x", 3300 * time.Millisecond, 1500 * time.Millisecond, 1400 * time.Millisecond, true},
		"run-once request that may outlast the stop":         {"/once/x", 3 * time.Second, 5 * time.Second, 4900 * time.Millisecond, false},
		"run-once request that may outlast it, early":        {"/once/x", 2 * time.Second, 5 * time.Second, time.Second, false},
		"run-once request whose deadline is before":          {"/once/x", time.Second, 5 * time.Second, 4900 * time.Millisecond, true},
		"run-once request, late, deadline before the end":    {"/once/x", 5 * time.Second, 1500 * time.Millisecond, 1400 * time.Millisecond, true},
		"short request just before the end":                  {"/repeat/x", 6900 * time.Millisecond, 200 * time.Millisecond, 20 * time.Millisecond, false},
		"late request without a deadline: that of its route": {"/repeat/x", 2400 * time.Millisecond, 0, 20 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": slowly(c.run)}, func(h *harness) {
				// Another answer is not written yet, so that the process does not exit before.
				busy, _ := net.Pipe()
				h.entry.unwritten.add(busy)
				caller, left := h.stopping()
				<-time.After(c.at)
				var headers []string
				if c.left > 0 {
					headers = append(headers, fmt.Sprint("Test-Left: ", c.left.Milliseconds()))
				}
				began := time.Now()
				h.send(caller, "POST", c.target, "text", headers...)
				resp, body, err := h.receive(caller)
				h.entry.observeConn(busy, fasthttp.StateClosed)
				require.NoError(t, err, "a whole answer: %q", body)
				assert.True(t, resp.Close)
				if c.accepted {
					assert.Equal(t, 200, resp.StatusCode)
				} else {
					assert.Equal(t, 503, resp.StatusCode)
					assert.NotEmpty(t, resp.Header.Get("Retry-After"))
					assert.Zero(t, time.Since(began), "refused at once")
					assert.Empty(t, h.received, "not passed on")
				}
				assert.Zero(t, <-left, "requests cut off")
				_ = caller.Close()
				// Lets the idle workers of fasthttp exit.
				<-time.After(time.Minute)
			})
		})
	}
}

// stopping begins a planned stop with the times of this file. It returns a caller's connection that was open before,
// and the number of requests that are left at the end.
func (h *harness) stopping() (caller net.Conn, left <-chan int) {
	listener := &chanListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	go func() { _ = h.entry.Serve(disconnect.WrapListener(listener)) }()
	caller, server := net.Pipe()
	listener.conns <- server
	synctest.Wait()
	end := time.Now().Add(testStopTime)
	h.entry.BeginStop(time.Now().Add(testBalancerWait), end)
	unfinished := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		defer cancel()
		<-time.After(testBalancerWait)
		unfinished <- h.entry.Finish(ctx)
	}()
	return caller, unfinished
}

// Where the kill may come before the end of the stop, as the signal may have been noticed late, callers without an answer are refused before
// it, and answers that have begun go on.
func TestCallersWithoutAnswerAreRefusedBeforeEarliestKill(t *testing.T) {
	const accepted, end = 2 * time.Second, 3 * time.Second
	for name, c := range map[string]struct {
		upstream script
		status   int
		within   time.Duration
	}{
		"no answer": {slowly(10 * time.Second), http.StatusBadGateway, accepted},
		"begun":     {begins(fmt.Sprintf(streamHead, "p")+chunk(event(1)), end-200*time.Millisecond, chunk(event(2))+"0\r\n\r\n"), http.StatusOK, end},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": c.upstream}, func(h *harness) {
				target := map[bool]string{true: "/stream/x", false: "/repeat/x"}[c.status == http.StatusOK]
				listener := &chanListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
				go func() { _ = h.entry.Serve(disconnect.WrapListener(listener)) }()
				caller, server := net.Pipe()
				listener.conns <- server
				h.send(caller, "POST", target, "text")
				synctest.Wait()
				began := time.Now()
				h.entry.BeginStop(began, began.Add(accepted))
				left := make(chan int, 1)
				go func() {
					ctx, cancel := context.WithDeadline(context.Background(), began.Add(end))
					defer cancel()
					left <- h.entry.Finish(ctx)
				}()
				resp, _, err := h.receive(caller)
				require.NoError(t, err)
				assert.Equal(t, c.status, resp.StatusCode)
				assert.LessOrEqual(t, time.Since(began), c.within)
				_ = caller.Close()
				assert.Zero(t, <-left)
				<-time.After(time.Minute)
			})
		})
	}
}
