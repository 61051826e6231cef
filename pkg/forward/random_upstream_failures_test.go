package forward

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// randomEngine scripts upstreams whose runs end in random ways at random bytes, and records
// every event that a run generated.
type randomEngine struct {
	mu     sync.Mutex
	random *rand.Rand
	lastID int
	// generated holds the events of all runs by request ID.
	generated map[string]map[string]bool
	runs      map[string]int
}

func (r *randomEngine) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// generate returns the events of one run of a request after an event. Each run's bytes differ.
func (r *randomEngine) generate(request string, after int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request]++
	if r.generated[request] == nil {
		r.generated[request] = map[string]bool{}
	}
	text := ""
	for id := after + 1; id <= r.lastID; id++ {
		pad := 0
		switch r.random.IntN(12) {
		case 0:
			pad = r.random.IntN(20 << 10)
		case 1, 2:
			pad = r.random.IntN(200)
		}
		e := fmt.Sprintf("id: %d\ndata: %s run %d %s\n\n", id, request, r.runs[request], strings.Repeat("x", pad))
		if r.random.IntN(5) == 0 {
			e = "test-versions: 3\n" + e
		}
		r.generated[request][e] = true
		text += e
	}
	return text
}

func (r *randomEngine) answer(req *http.Request, _ string, conn net.Conn) (string, bool) {
	request := req.Header.Get("Test-Id")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if r.intN(12) == 0 {
		head := fmt.Sprintf("HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Refused: 1\r\nContent-Length: 0\r\n\r\n", request)
		return head, true
	}
	text := r.generate(request, after)
	head := fmt.Sprintf("HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Signature: p\r\nContent-Type: text/event-stream\r\n", request)
	var wire string
	switch r.intN(5) {
	case 0:
		wire = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	default:
		wire = head + "Transfer-Encoding: chunked\r\n\r\n"
		for unsent := text; unsent != ""; {
			n := len(unsent)
			if r.intN(3) > 0 {
				n = 1 + r.intN(min(n, 300))
			}
			wire += chunk(unsent[:n])
			unsent = unsent[n:]
		}
		wire += "0\r\n\r\n"
	}
	complete := r.intN(3) == 0
	if !complete {
		wire = wire[:r.intN(len(wire))]
	}
	for wire != "" {
		n := len(wire)
		if r.intN(2) > 0 {
			n = 1 + r.intN(min(n, 500))
		}
		if _, err := io.WriteString(conn, wire[:n]); err != nil {
			return "", false
		}
		wire = wire[n:]
		if r.intN(6) == 0 {
			<-time.After(time.Duration(r.intN(30)) * time.Millisecond)
		}
	}
	if !complete && r.intN(3) == 0 {
		_, _ = conn.Read(make([]byte, 1))
	}
	return "", complete
}

// check verifies that the caller received only events that a run generated, in order, and all
// of them if the stream ended without an error.
func (r *randomEngine) check(t *testing.T, request string, after int, body string, err error, disconnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unchecked := body
	for unchecked != "" {
		end := strings.Index(unchecked, "\n\n")
		if end < 0 {
			assert.True(t, disconnected, "%s: partial event: %.80q", request, unchecked)
			return
		}
		e := unchecked[:end+2]
		unchecked = unchecked[end+2:]
		assert.True(t, r.generated[request][e], "%s: no run generated %.120q", request, e)
		after++
		assert.Contains(t, e, fmt.Sprintf("id: %d\n", after), request)
	}
	if err == nil && !disconnected {
		assert.Equal(t, r.lastID, after, "%s: the stream ends early without an error", request)
	}
}

func (h *harness) callRandomEngine(engine *randomEngine, conn net.Conn, reader *bufio.Reader, request string, after int, keep bool) (kept bool) {
	text := fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: h\r\nTest-Id: %s\r\nTest-Key: secret\r\nContent-Length: 6\r\n", request)
	if after > 0 {
		text += fmt.Sprintf("Last-Event-Id: %d\r\n", after)
	}
	if !keep {
		text += "Connection: close\r\n"
	}
	go func() { _, _ = io.WriteString(conn, text+"\r\nprompt") }()
	resp, err := http.ReadResponse(reader, nil)
	if !assert.NoError(h.t, err, request) {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.ReadAll(resp.Body)
		return keep && !resp.Close
	}
	var received strings.Builder
	disconnectAt := -1
	if engine.intN(6) == 0 {
		disconnectAt = engine.intN(2000)
	}
	buf := make([]byte, 1+engine.intN(700))
	for {
		n, err := resp.Body.Read(buf)
		received.Write(buf[:n])
		if err != nil {
			if err == io.EOF {
				err = nil
			}
			engine.check(h.t, request, after, received.String(), err, false)
			return keep && err == nil && !resp.Close
		}
		if disconnectAt >= 0 && received.Len() > disconnectAt {
			engine.check(h.t, request, after, received.String(), nil, true)
			return false
		}
		if engine.intN(40) == 0 {
			<-time.After(time.Duration(engine.intN(300)) * time.Millisecond)
		}
	}
}

// Guards against truncated or spliced streams: concurrent requests over reused connections
// are sent to upstreams whose runs break at random bytes.
func TestStreamsWithRandomUpstreamFailures(t *testing.T) {
	for seed := range uint64(150) {
		engine := &randomEngine{random: rand.New(rand.NewPCG(seed, 77)), lastID: 9, generated: map[string]map[string]bool{}, runs: map[string]int{}}
		scripts := map[string]script{"a:1": engine.answer, "b:1": engine.answer, "c:1": engine.answer, "d:1": engine.answer}
		ok := t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			inBubble(t, scripts, func(h *harness) { h.runRandomCallers(engine) })
		})
		if !ok {
			break
		}
	}
}

func (h *harness) runRandomCallers(engine *randomEngine) {
	h.received, h.headers = make(chan string, 4096), make(chan http.Header, 4096)
	h.view.Document.Routes[3].MaxAttempts = 5
	require.NoError(h.t, h.view.Document.Index())
	h.entry.UpdateView(h.view)
	var wg sync.WaitGroup
	for caller := range 4 {
		wg.Go(func() { h.runRandomCaller(engine, caller) })
	}
	wg.Wait()
	<-time.After(10 * time.Second)
	synctest.Wait()
	assert.Zero(h.t, h.entry.inFlight.Load(), "requests in flight")
	h.entry.mu.Lock()
	defer h.entry.mu.Unlock()
	for key, s := range h.entry.placer.targets {
		assert.Zero(h.t, s.ownRequests, "slots held at %s", key)
	}
	assert.Empty(h.t, h.entry.waiters)
}

// runRandomCaller sends six requests and reuses its connection where the answers allow it.
func (h *harness) runRandomCaller(engine *randomEngine, caller int) {
	conn := h.open()
	reader, kept := bufio.NewReader(conn), true
	for k := range 6 {
		if !kept {
			_ = conn.Close()
			conn = h.open()
			reader = bufio.NewReader(conn)
		}
		after := 0
		if engine.intN(4) == 0 {
			after = 1 + engine.intN(5)
		}
		kept = h.callRandomEngine(engine, conn, reader, fmt.Sprintf("q%d.%d", caller, k), after, engine.intN(3) > 0)
	}
	_ = conn.Close()
}
