package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/logging"
	"github.com/masticmount/masticmount/pkg/retrybudget"
)

// script answers one request on an upstream connection. The returned answer is written,
// then the connection is closed unless keep is true.
type script func(req *http.Request, body string, conn net.Conn) (answer string, keep bool)

// harness runs an entry between test callers and scripted upstreams.
type harness struct {
	t         *testing.T
	entry     *Entry
	view      *attach.View
	configAge time.Duration
	// upstreams maps addresses to scripts.
	upstreams map[string]script
	// received gets each request that reached an upstream, as "address method target".
	received chan string
	// headers gets the headers of each request that reached an upstream.
	headers chan http.Header
	// log collects the entry's log lines.
	log lockedBuffer
	// dialError returns the error of opening a connection to an upstream; may be nil.
	dialError func(address string) error
	// requestID is sent with the next request.
	requestID string
	// current replaces view once it is set.
	current atomic.Pointer[attach.View]
}

// lockedBuffer is a log buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var testHeaderNames = HeaderNames{
	RequestID: "Test-Id", TimeLeft: "Test-Left", Key: "Test-Key", Account: "Test-Account", ExpectedUpstream: "Test-Expect",
	Signature: "Test-Signature", LastEvent: "Last-Event-Id", Model: "Test-Model", Priority: "Test-Priority",
	Tokens: func(func(string) []byte) (int, int) { return 100, 100 },
}

func testDocument(t *testing.T) *document.Document {
	newRoute := func(name, prefix string, kind document.Idempotency, stream bool) document.Route {
		return document.Route{
			Name: name, Host: "h", PathPrefix: prefix, Idempotency: kind, Stream: stream, Timeout: 5 * time.Second,
			MaxAttempts: 2, Services: []document.WeightedService{{Service: "desk", Weight: 1}},
		}
	}
	public := newRoute("public", "/public/", document.Idempotent, false)
	public.Public = true
	d := &document.Document{
		Version: 1, Services: map[string]*document.Service{"desk": {Name: "desk"}},
		Accounts: []document.Account{{Name: "school", Keys: []string{"secret"}}},
		Routes: []document.Route{
			public, newRoute("once", "/once/", document.AtMostOnce, false), newRoute("repeat", "/repeat/", document.Idempotent, false),
			newRoute("stream", "/stream/", document.Resumable, true),
		},
	}
	require.NoError(t, d.Index())
	return d
}

// inBubble runs a test with the given upstreams in a synctest bubble, on fake time.
func inBubble(t *testing.T, upstreams map[string]script, run func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, upstreams: upstreams, received: make(chan string, 64), headers: make(chan http.Header, 64), requestID: "r1"}
		log, err := logging.New(&h.log, "info", "entry-1")
		require.NoError(t, err)
		h.view = &attach.View{Document: testDocument(t)}
		for address := range upstreams {
			h.view.Targets = append(h.view.Targets, attach.Target{ID: address, StartTime: 1, Address: address, Service: "desk", FailureDomain: "fd", Slots: 6})
		}
		h.entry = New(Options{
			FailureDomain: "fd", View: h.currentView, ConfigAge: func() time.Duration { return h.configAge },
			MaxConfigAge: 4 * time.Second, HeaderNames: testHeaderNames, Log: log, EvidenceClock: time.Now,
			Client: dispatch.NewClientWith(dispatch.Options{Dial: h.dial, Protocol: dispatch.Protocol{
				RequestID: "Test-Id", AllowUnframed: true,
				Refused: func(_ int, peek func(string) []byte) bool { return len(peek("Test-Refused")) > 0 },
			}}),
		})
		// The entry has run for a while.
		h.entry.retryBudget = retrybudget.New(boottime.Now().Add(-retrybudget.Window), true)
		h.entry.UpdateView(h.view)
		run(h)
		// The checks whether upstreams crashed end.
		<-time.After(recheckDelays[len(recheckDelays)-1])
		h.entry.opts.Client.Close()
		synctest.Wait()
	})
}

// currentView returns the view in force. Tests that change it while checks of crashes go on store it in current.
func (h *harness) currentView() *attach.View {
	if v := h.current.Load(); v != nil {
		return v
	}
	return h.view
}

func (h *harness) dial(_ context.Context, address string) (net.Conn, error) {
	if h.dialError != nil {
		if err := h.dialError(address); err != nil {
			return nil, err
		}
	}
	near, far := net.Pipe()
	entrySide := &resettable{Conn: near}
	go h.serveUpstream(address, &upstreamSide{Conn: far, entrySide: entrySide})
	return entrySide, nil
}

func (h *harness) serveUpstream(address string, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		h.received <- address + " " + req.Method + " " + req.RequestURI
		h.headers <- req.Header
		answer, keep := h.upstreams[address](req, string(body), conn)
		if _, err := io.WriteString(conn, answer); err != nil || !keep {
			return
		}
	}
}

// reply is an answer as the caller received it.
type reply struct {
	StatusCode int
	Header     http.Header
	Close      bool
}

// call sends a request and returns the answer, its body and the error of reading the body.
func (h *harness) call(method, target, body string, headers ...string) (reply, string, error) {
	conn := h.open()
	defer func() { _ = conn.Close() }()
	h.send(conn, method, target, body, headers...)
	return h.receive(conn)
}

// callWithoutKey is call without the key of the test account.
func (h *harness) callWithoutKey(method, target, body string, headers ...string) (reply, string, error) {
	conn := h.open()
	defer func() { _ = conn.Close() }()
	h.sendHeaders(conn, method, target, body, headers...)
	return h.receive(conn)
}

// receive reads one answer and its body.
func (h *harness) receive(conn net.Conn) (reply, string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(h.t, err)
	defer func() { _ = resp.Body.Close() }()
	read, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, resp.Close}, string(read), err
}

func (h *harness) open() net.Conn {
	client, server := net.Pipe()
	listener := &singleConnListener{conn: server}
	accepted, err := disconnect.WrapListener(listener).Accept()
	require.NoError(h.t, err)
	go func() { _ = h.entry.server.ServeConn(accepted) }()
	return client
}

func (h *harness) send(conn net.Conn, method, target, body string, headers ...string) {
	h.sendHeaders(conn, method, target, body, append([]string{"Test-Key: secret"}, headers...)...)
}

func (h *harness) sendHeaders(conn net.Conn, method, target, body string, headers ...string) {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nTest-Id: %s\r\nConnection: close\r\nContent-Length: %d\r\n", method, target, h.requestID, len(body))
	for _, header := range headers {
		text += header + "\r\n"
	}
	go func() { _, _ = io.WriteString(conn, text+"\r\n"+body) }()
}

type singleConnListener struct{ conn net.Conn }

func (l *singleConnListener) Accept() (net.Conn, error) { return l.conn, nil }
func (l *singleConnListener) Close() error              { return nil }
func (l *singleConnListener) Addr() net.Addr            { return l.conn.LocalAddr() }

func answer(status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nTest-Id: r1\r\nTest-Signature: p\r\nContent-Length: %d\r\n", status, len(body))
	for _, h := range headers {
		text += h + "\r\n"
	}
	return text + "\r\n" + body
}

func alwaysAnswer(text string) script {
	return func(*http.Request, string, net.Conn) (string, bool) { return text, true }
}

func TestRequestsAreForwardedUnchangedExceptOwnHeaders(t *testing.T) {
	inBubble(t, map[string]script{"a:1": func(_ *http.Request, body string, _ net.Conn) (string, bool) {
		return answer(200, "got "+body, "Other: kept"), true
	}}, func(h *harness) {
		resp, body, err := h.call("POST", "/repeat/%7Ex//y?q=%20a&b", "text", "Test-Account: forged", "Test-Expect: forged",
			"Test-Priority: 0", "Test-Left: 2000", "Drop-Me: 1", "Connection: drop-me", "Keep-Me: 1")
		require.NoError(t, err)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, "got text", body)
		assert.Equal(t, "kept", resp.Header.Get("Other"))
		assert.Equal(t, "p", resp.Header.Get("Test-Signature"))
		assert.Equal(t, "a:1 POST /repeat/%7Ex//y?q=%20a&b", <-h.received)
		sent := <-h.headers
		assert.Equal(t, []string{"school"}, sent["Test-Account"])
		assert.Equal(t, []string{"a:1"}, sent["Test-Expect"])
		assert.Equal(t, []string{"2000"}, sent["Test-Left"])
		assert.Empty(t, sent["Test-Key"], "the caller's key is not forwarded")
		assert.Empty(t, sent["Test-Priority"])
		assert.Empty(t, sent["Drop-Me"])
		assert.Equal(t, []string{"1"}, sent["Keep-Me"])
	})
}

func TestRefusalsByConfiguration(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		status := func(target string, headers ...string) int {
			resp, _, err := h.call("GET", target, "", headers...)
			require.NoError(t, err)
			return resp.StatusCode
		}
		assert.Equal(t, 404, status("/nowhere/"))
		assert.Equal(t, 200, status("/repeat/x"))
		h.view.Document.Accounts[0].Keys = nil
		d := *h.view.Document
		require.NoError(t, d.Index())
		h.view = &attach.View{Document: &d, Targets: h.view.Targets}
		assert.Equal(t, 401, status("/repeat/x"), "revoked key")
		assert.Equal(t, 200, status("/public/x"))
		h.configAge = 5 * time.Second
		assert.Equal(t, 503, status("/repeat/x"), "a newer configuration may know the key or route")
		assert.Equal(t, 503, status("/nowhere/"))
		assert.Equal(t, 200, status("/public/x"), "public routes have no keys to revoke")
		h.view = &attach.View{}
		resp, _, err := h.call("GET", "/public/x", "")
		require.NoError(t, err)
		assert.Equal(t, 503, resp.StatusCode)
		assert.NotEmpty(t, resp.Header.Get("Retry-After"))
	})
}

func TestKeyIsNotAcceptedOnStaleConfiguration(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		h.configAge = 5 * time.Second
		resp, _, err := h.call("GET", "/repeat/x", "")
		require.NoError(t, err)
		assert.Equal(t, 503, resp.StatusCode)
		assert.Empty(t, h.received)
	})
}

// failFirst answers the first request that reaches any upstream with the given text and closes
// the connection; later requests succeed.
func failFirst(first string) map[string]script {
	runs := 0
	upstream := func(*http.Request, string, net.Conn) (string, bool) {
		if runs++; runs == 1 {
			return first, false
		}
		return answer(200, "second"), true
	}
	return map[string]script{"a:1": upstream, "b:1": upstream}
}

func TestLostAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		first, target string
		status, sends int
	}{
		"repeatable, closed":            {"", "/repeat/x", 200, 2},
		"once, closed":                  {"", "/once/x", 502, 1},
		"once, refused":                 {answer(503, "", "Test-Refused: 1"), "/once/x", 200, 2},
		"once, error":                   {answer(500, "broken"), "/once/x", 500, 1},
		"repeatable, error":             {answer(500, "broken"), "/repeat/x", 200, 2},
		"repeatable, truncated":         {strings.TrimSuffix(answer(200, "whole"), "le"), "/repeat/x", 200, 2},
		"once, truncated":               {strings.TrimSuffix(answer(200, "whole"), "le"), "/once/x", 502, 1},
		"repeatable, without signature": {strings.Replace(answer(200, "x"), "Test-Signature: p\r\n", "", 1), "/repeat/x", 200, 2},
		"repeatable, other request ID":  {strings.Replace(answer(200, "x"), "r1", "r0", 1), "/repeat/x", 200, 2},
		"repeatable, encoded":           {answer(200, "x", "Content-Encoding: gzip"), "/repeat/x", 200, 2},
		"repeatable, no answer":         {"garbage\r\n\r\n", "/repeat/x", 200, 2},
		"once, ends with connection":    {"HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: p\r\n\r\nbody", "/once/x", 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, failFirst(test.first), func(h *harness) {
				resp, _, err := h.call("POST", test.target, "grant")
				require.NoError(t, err)
				assert.Equal(t, test.status, resp.StatusCode)
				assert.Len(t, h.received, test.sends)
			})
		})
	}
}

func TestRefusedByAllTargetsIsReportedAsNotRun(t *testing.T) {
	refuse := alwaysAnswer(answer(503, "", "Test-Refused: 1"))
	inBubble(t, map[string]script{"a:1": refuse, "b:1": refuse}, func(h *harness) {
		resp, _, err := h.call("POST", "/once/x", "grant")
		require.NoError(t, err)
		assert.Equal(t, 503, resp.StatusCode)
		assert.Equal(t, "not-run", resp.Header.Get("Masticmount-Outcome"))
		assert.NotEmpty(t, resp.Header.Get("Retry-After"))
		assert.Len(t, h.received, 2)
	})
}

const streamHead = "HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: t%d\n\n", id, id) }

// resumedStream breaks the first stream with breakOff inside its third event and resumes it
// after the second event in the second send.
func resumedStream(t *testing.T, breakOff func(conn net.Conn)) (seen []string, body, signature string) {
	runs := 0
	upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		if runs++; runs == 1 {
			_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "first")+chunk(event(1))+chunk(event(2)+"id: 3\nda"))
			breakOff(conn)
			return "", false
		}
		assert.Equal(t, "2", req.Header.Get("Last-Event-Id"))
		return fmt.Sprintf(streamHead, "second") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n", true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		resp, text, err := h.call("POST", "/stream/x", "prompt")
		require.NoError(t, err)
		body, signature = text, resp.Header.Get("Test-Signature")
		seen = []string{<-h.received, <-h.received}
	})
	return seen, body, signature
}

func TestBrokenStreamResumesOnOtherTarget(t *testing.T) {
	for name, breakOff := range map[string]func(net.Conn){
		"closed": func(conn net.Conn) { _ = conn.Close() },
		"silent": func(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			seen, body, signature := resumedStream(t, breakOff)
			assert.Equal(t, event(1)+event(2)+event(3)+event(4), body, "each event exactly once")
			assert.Equal(t, "first", signature, "the header is that of the first send")
			assert.NotEqual(t, seen[0], seen[1])
		})
	}
}

// A silent stream may only be paused: without another target it must not be abandoned.
func TestSilentStreamIsKeptWithoutOtherTarget(t *testing.T) {
	pausing := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)))
		<-time.After(4 * eventGapTimeout)
		return chunk(event(2)) + "0\r\n\r\n", true
	}
	inBubble(t, map[string]script{"a:1": pausing}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		require.NoError(t, err)
		assert.Equal(t, event(1)+event(2), body)
		assert.Len(t, h.received, 1)
	})
}

func TestUnresumableStreamDoesNotLookComplete(t *testing.T) {
	broken := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		return fmt.Sprintf(streamHead, "p") + chunk(event(1)), false
	}
	inBubble(t, map[string]script{"a:1": broken}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, event(1), body)
	})
}

func TestClientDisconnectEndsUpstreamRequest(t *testing.T) {
	for _, target := range []string{"/repeat/x", "/stream/x"} {
		ended := make(chan struct{})
		hang := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
			if target == "/stream/x" {
				_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)))
			}
			_, _ = conn.Read(make([]byte, 1))
			close(ended)
			return "", false
		}
		inBubble(t, map[string]script{"a:1": hang}, func(h *harness) {
			conn := h.open()
			h.send(conn, "POST", target, "prompt")
			<-h.received
			if target == "/stream/x" {
				_, err := bufio.NewReader(conn).ReadString('\n')
				require.NoError(t, err)
			}
			began := time.Now()
			require.NoError(t, conn.Close())
			<-ended
			assert.Less(t, time.Since(began), 500*time.Millisecond)
		})
	}
}

func TestStoppingEntryRefusesRequestsThatWouldOutlastIt(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		h.entry.BeginStop(time.Now(), time.Now().Add(stopReserve/2))
		resp, _, err := h.call("POST", "/once/x", "grant")
		require.NoError(t, err)
		assert.Equal(t, 503, resp.StatusCode)
		assert.Empty(t, h.received)
		assert.True(t, resp.Close)
		assert.Zero(t, h.entry.Drain(context.Background()))
	})
}

// The header and body limits of the current configuration apply to requests.
func TestConfiguredLimitsApplyToRequests(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		h.view.Document.Limits = document.Limits{MaxHeaderBytes: 300, MaxBodyBytes: 10}
		status := func(body string, headers ...string) int {
			resp, _, err := h.call("POST", "/repeat/x", body, headers...)
			require.NoError(t, err)
			return resp.StatusCode
		}
		assert.Equal(t, 200, status("0123456789"))
		assert.Equal(t, 413, status("0123456789a"))
		assert.Equal(t, 431, status("", "Long: "+strings.Repeat("x", 300)))
		assert.Equal(t, 200, status("", "Short: x"))
	})
}

// An entry that is partitioned from the keepers must report not ready and close connections
// only once it refuses requests. Doing so earlier would drain entries at each leader change.
func TestEntryWithStaleConfigurationIsNotReady(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		get := func() (status int, closed bool) {
			conn := h.open()
			defer func() { _ = conn.Close() }()
			go func() {
				_, _ = io.WriteString(conn, "GET /repeat/x HTTP/1.1\r\nHost: h\r\nTest-Id: r1\r\nTest-Key: secret\r\n\r\n")
			}()
			resp, _, err := h.receive(conn)
			require.NoError(t, err)
			return resp.StatusCode, resp.Close
		}
		assert.True(t, h.entry.Ready())
		status, closed := get()
		assert.Equal(t, 200, status)
		assert.False(t, closed)
		h.configAge = 2500 * time.Millisecond
		assert.True(t, h.entry.Ready())
		status, closed = get()
		assert.Equal(t, 200, status, "requests are served until the configuration is too old")
		assert.False(t, closed)
		h.configAge = 5 * time.Second
		assert.False(t, h.entry.Ready())
		status, closed = get()
		assert.Equal(t, 503, status)
		assert.True(t, closed)
		h.configAge, h.view = 0, &attach.View{}
		assert.False(t, h.entry.Ready(), "no configuration yet")
	})
}
