package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/document"
)

// largeBodyBytes is the size of a large body, and expectedBodyMemory the bound on all that an entry holds by default.
const (
	largeBodyBytes     = 4 << 20
	expectedBodyMemory = 64 << 20
)

// heldStream begins a stream for each request and ends it when it is told to.
type heldStream struct{ end chan struct{} }

func (u *heldStream) answer(_ *http.Request, _ string, conn net.Conn) (string, bool) {
	_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)))
	<-u.end
	return chunk(event(2)) + "0\r\n\r\n", true
}

// withHeldStreams runs a test whose streams stay open until it ends them.
func withHeldStreams(t *testing.T, run func(h *harness, u *heldStream)) {
	u := &heldStream{}
	inBubble(t, map[string]script{"a:1": u.answer}, func(h *harness) {
		u.end = make(chan struct{})
		targets := append([]attach.Target(nil), h.view.Targets...)
		targets[0].Slots = 200
		h.view = &attach.View{Document: h.view.Document, Targets: targets}
		h.entry.UpdateView(h.view)
		h.received, h.headers = make(chan string, 512), make(chan http.Header, 512)
		run(h, u)
	})
}

// callers have requests open at the same time, each on its own connection.
type callers struct {
	h     *harness
	conns []net.Conn
}

func (c *callers) begin(target, body string) {
	conn := c.h.open()
	c.conns = append(c.conns, conn)
	go func() { _, _ = io.WriteString(conn, requestText(target, body)) }()
	synctest.Wait()
}

// statuses reads the status of each answer so far. A refusal must be whole, state that the request did not run and when to
// retry, and leave its connection usable.
func (c *callers) statuses() []int {
	var statuses []int
	for _, conn := range c.conns {
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(c.h.t, err)
		c.h.t.Cleanup(func() { _ = resp.Body.Close() })
		statuses = append(statuses, resp.StatusCode)
		if resp.StatusCode != http.StatusServiceUnavailable {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		require.NoError(c.h.t, err)
		assert.Equal(c.h.t, "not-run", resp.Header.Get("Masticmount-Outcome"))
		assert.NotEmpty(c.h.t, resp.Header.Get("Retry-After"))
		assert.False(c.h.t, resp.Close)
	}
	return statuses
}

func (c *callers) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func count(statuses []int, status int) int {
	n := 0
	for _, s := range statuses {
		if s == status {
			n++
		}
	}
	return n
}

// Guards against an entry that is killed for its memory: the bodies of open requests were held without a bound.
func TestOpenRequestsWithLargeBodiesStayWithinBound(t *testing.T) {
	withHeldStreams(t, func(h *harness, u *heldStream) {
		c := &callers{h: h}
		defer c.close()
		large := strings.Repeat("x", largeBodyBytes)
		for range 24 {
			c.begin("/stream/x", large)
		}
		for range 100 {
			c.begin("/stream/x", large[:7000])
		}
		statuses := c.statuses()
		accepted := count(statuses[:24], http.StatusOK)
		assert.LessOrEqual(t, accepted*largeBodyBytes, expectedBodyMemory)
		assert.Greater(t, accepted*largeBodyBytes, expectedBodyMemory/2)
		assert.Equal(t, 24, accepted+count(statuses[:24], http.StatusServiceUnavailable))
		assert.Equal(t, 100, count(statuses[24:], http.StatusOK), "short bodies find room beside long ones")
		assert.Len(t, h.received, accepted+100, "a refused request is not sent on")
		close(u.end)
	})
}

// Guards against idle connections that keep the memory of the last body that they brought.
func TestKeptConnectionsHoldNoBodies(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		c := &callers{h: h}
		defer c.close()
		large := requestText("/repeat/x", strings.Repeat("x", largeBodyBytes))
		before := liveHeapBytes()
		for range 16 {
			conn := h.open()
			c.conns = append(c.conns, conn)
			go func() { _, _ = io.WriteString(conn, large) }()
			got, _ := h.readAnswer(bufio.NewReader(conn), "POST")
			require.Equal(t, http.StatusOK, got.StatusCode)
		}
		synctest.Wait()
		assert.Less(t, liveHeapBytes(), before+2*largeBodyBytes)
	})
}

// liveHeapBytes returns the heap in use without what pools hold: they lose it at the second collection.
func liveHeapBytes() uint64 {
	for range 3 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// A caller that sends its body slowly holds its memory, too, and an entry with no room reads a body without keeping it.
func TestBodiesThatAreBeingReadCount(t *testing.T) {
	withHeldStreams(t, func(h *harness, u *heldStream) {
		c := &callers{h: h}
		defer c.close()
		whole := strings.Repeat("x", largeBodyBytes)
		text := requestText("/stream/x", whole)
		for range 24 {
			conn := h.open()
			c.conns = append(c.conns, conn)
			go func() { _, _ = io.WriteString(conn, text[:len(text)-1]) }()
			synctest.Wait()
		}
		held := h.entry.bodies.held.Load()
		assert.LessOrEqual(t, held, int64(expectedBodyMemory))
		assert.Greater(t, held, int64(expectedBodyMemory/2))
		time.Sleep(readTimeout)
		synctest.Wait()
		assert.Zero(t, h.entry.bodies.held.Load(), "the memory of bodies that did not arrive is free again")
		assert.Contains(t, h.log.String(), "kind=slow-request")
		close(u.end)
	})
}

func TestBodyMemoryIsFreeAfterAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"answered":           requestText("/repeat/x", strings.Repeat("x", 100_000)),
		"streamed":           requestText("/stream/x", strings.Repeat("x", 100_000)),
		"chunked":            "POST /repeat/x HTTP/1.1\r\nHost: h\r\nTest-Id: r1\r\nTest-Key: secret\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", 100_000)) + "0\r\n\r\n",
		"without route":      requestText("/nowhere/x", strings.Repeat("x", 100_000)),
		"with a foreign key": strings.Replace(requestText("/repeat/x", strings.Repeat("x", 100_000)), "secret", "wrong", 1),
		"too long":           requestText("/repeat/x", strings.Repeat("x", maxBodyBytes+1)),
		"too long and chunked": "POST /repeat/x HTTP/1.1\r\nHost: h\r\nTest-Id: r1\r\nTest-Key: secret\r\nTransfer-Encoding: chunked\r\n\r\n" +
			chunk(strings.Repeat("x", maxBodyBytes+1)) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			status := map[string]int{"without route": 404, "with a foreign key": 401, "too long": 413, "too long and chunked": 413}[name]
			if status == 0 {
				status = 200
			}
			upstream := func(req *http.Request, body string, _ net.Conn) (string, bool) {
				if strings.HasPrefix(req.RequestURI, "/stream/") {
					return resumedStreamAnswer(req, 2), true
				}
				return answer(200, body), true
			}
			inBubble(t, map[string]script{"a:1": upstream}, func(h *harness) {
				conn := h.open()
				defer func() { _ = conn.Close() }()
				go func() { _, _ = io.WriteString(conn, text+requestText("/repeat/x", "next")) }()
				reader := bufio.NewReader(conn)
				first, body := h.readAnswer(reader, "POST")
				assert.Equal(t, status, first.StatusCode)
				if status == 200 && name != "streamed" {
					assert.Len(t, body, 100_000)
				}
				next, body := h.readAnswer(reader, "POST")
				assert.Equal(t, 200, next.StatusCode, "the connection goes on with the next request")
				assert.Equal(t, "next", body)
				h.assertNothingHeld()
				assert.Zero(t, h.entry.bodies.held.Load())
			})
		})
	}
}

// A stream that is not resumable needs its body only until it has begun.
func TestBodyOfStreamThatCannotBeResumedIsFreedWhenItBegins(t *testing.T) {
	withHeldStreams(t, func(h *harness, u *heldStream) {
		d := *h.view.Document
		d.Routes = append([]document.Route(nil), d.Routes...)
		once := d.Routes[len(d.Routes)-1]
		once.Name, once.PathPrefix, once.Idempotency = "once-stream", "/once-stream/", document.AtMostOnce
		d.Routes = append(d.Routes, once)
		require.NoError(t, d.Index())
		h.view = &attach.View{Document: &d, Targets: h.view.Targets}
		c := &callers{h: h}
		defer c.close()
		large := strings.Repeat("x", largeBodyBytes)
		before := liveHeapBytes()
		for range 8 {
			c.begin("/once-stream/x", large)
		}
		assert.Zero(t, h.entry.bodies.held.Load())
		assert.Less(t, liveHeapBytes(), before+2*largeBodyBytes)
		c.begin("/stream/x", large)
		assert.EqualValues(t, largeBodyBytes, h.entry.bodies.held.Load())
		assert.Equal(t, 9, count(c.statuses(), http.StatusOK))
		close(u.end)
	})
}

func TestLongerBodiesFailBeforeShorterOnes(t *testing.T) {
	m := &bodyMemory{limit: 1000}
	assert.True(t, m.reserve(500))
	assert.False(t, m.reserve(300))
	assert.True(t, m.reserve(200))
	assert.True(t, m.reserve(150))
	assert.False(t, m.reserve(76))
	assert.True(t, m.reserve(75))
	m.release(925)
	assert.False(t, m.reserve(501))
	assert.True(t, m.reserve(500))
}
