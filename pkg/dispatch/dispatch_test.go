package dispatch

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// upstream responds to each request with raw bytes; an empty text closes the connection
// immediately.
type upstream struct {
	respond  func(req *http.Request, run int) string
	runs     atomic.Int32
	dials    atomic.Int32
	keepOpen bool
}

func (u *upstream) dial(context.Context, string) (net.Conn, error) {
	u.dials.Add(1)
	client, server := net.Pipe()
	go u.serve(server)
	return client, nil
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := u.respond(req, int(u.runs.Add(1)))
		if _, err := io.WriteString(conn, text); err != nil || text == "" || !u.keepOpen {
			return
		}
	}
}

func (u *upstream) client(f testFault) *Client { return NewClientWith(Options{Dial: u.dial, fault: f}) }

func testCall(id string) Call {
	return Call{
		RequestID: id, Address: "10.0.0.1:80", Method: http.MethodPost, Path: "/grants", ContentType: "application/json",
		Body: []byte(`{"office":"Thrissur"}`), Deadline: time.Now().Add(time.Minute),
	}
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nMasticmount-Request-Id: %s\r\n\r\n%s", len(body), id, body)
}

func stream(body string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMasticmount-Request-Id: r\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// outcome is the failure of a call as its caller sees it; the zero value is success.
type outcome struct {
	reason Reason
	notRun bool
}

func outcomeOf(err error) outcome {
	callErr, ok := CallErrorOf(err)
	if !ok {
		return outcome{}
	}
	return outcome{callErr.Reason, callErr.NotRun()}
}

func TestBufferedResponses(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		want     outcome
		// fault is an injected fault that must change the outcome; 0 for none.
		fault testFault
	}{
		"whole":                       {response: ok("r", "done")},
		"chunked":                     {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"},
		"plain error may have run":    {response: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", fault: errorStatusIsRefusal},
		"explicit refusal":            {response: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nMasticmount-Outcome: not-run\r\n\r\n", want: outcome{Refused, true}},
		"outcome on a 500":            {response: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nMasticmount-Outcome: not-run\r\n\r\n"},
		"response to another request": {response: ok("other", "done"), want: outcome{ResponseMismatch, false}, fault: skipRequestIDCheck},
		"closed after request":        {response: "", want: outcome{Truncated, false}, fault: retryTruncated},
		"truncated in the header":     {response: "HTTP/1.1 200 OK\r\nContent-Le", want: outcome{Truncated, false}},
		"truncated in the body":       {response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", want: outcome{Truncated, false}, fault: acceptTruncated},
		"truncated between chunks":    {response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", want: outcome{Truncated, false}, fault: acceptTruncated},
		"no framing":                  {response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone", want: outcome{Truncated, false}, fault: acceptTruncated},
		"not HTTP":                    {response: "SSH-2.0-x\r\n\r\n", want: outcome{Truncated, false}},
		"no content needs no length":  {response: "HTTP/1.1 204 No Content\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			call := func(f testFault) (outcome, int32) {
				u := &upstream{respond: func(*http.Request, int) string { return test.response }}
				_, err := u.client(f).Do(context.Background(), testCall("r"))
				return outcomeOf(err), u.runs.Load()
			}
			result, runs := call(0)
			require.Equal(t, test.want, result)
			require.EqualValues(t, 1, runs, "a call must reach its upstream exactly once")
			if test.fault != 0 {
				faulty, faultyRuns := call(test.fault)
				require.False(t, faulty == result && faultyRuns == runs, "the injected fault must be detected")
			}
		})
	}
}

func TestStreams(t *testing.T) {
	const t0, t1, t2 = "id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n", "id: 2\ndata: c\n\n"
	const finish, done = "data: {\"finish_reason\": \"stop\"}\n\n", "data: [DONE]\n\n"
	for name, test := range map[string]struct {
		body   string
		from   int
		tokens string
		want   outcome
		fault  testFault
	}{
		"whole":                  {body: t0 + t1 + finish + done, tokens: "ab"},
		"resumed":                {body: t1 + t2 + finish + done, from: 1, tokens: "bc"},
		"resumed from the start": {body: t0 + t1 + t2 + finish + done, from: 2, tokens: "c"},
		"duplicated tokens":      {body: t0 + t0 + t1 + t1 + finish + done, tokens: "ab"},
		"gap":                    {body: t0 + t2 + finish + done, tokens: "a", want: outcome{Truncated, false}},
		"no done marker":         {body: t0 + t1 + finish, tokens: "ab", want: outcome{Truncated, false}, fault: acceptTruncated},
		"no finish reason":       {body: t0 + done, tokens: "a", want: outcome{Truncated, false}, fault: acceptTruncated},
		"truncated event":        {body: t0 + "id: 1\ndata: b", tokens: "a", want: outcome{Truncated, false}, fault: acceptTruncated},
		"quoted finish reason":   {body: "id: 0\ndata: {\"content\":\"\\\"finish_reason\\\":\\\"stop\\\"\"}\n\n" + done, want: outcome{Truncated, false}},
	} {
		t.Run(name, func(t *testing.T) {
			read := func(f testFault) (string, outcome) {
				u := &upstream{respond: func(*http.Request, int) string { return stream(test.body) }}
				return readStream(t, u.client(f), test.from)
			}
			tokens, end := read(0)
			require.Equal(t, test.want, end)
			if test.tokens != "" {
				require.Equal(t, test.tokens, tokens)
			}
			if test.fault != 0 {
				_, faulty := read(test.fault)
				require.NotEqual(t, end, faulty, "the injected fault must be detected")
			}
		})
	}
}

// A continuation that ends before its first token is complete only by its finish reason and [DONE], however its body is framed.
func TestContinuationThatEndsBeforeItsFirstTokenIsTruncated(t *testing.T) {
	const finish, done = "data: {\"finish_reason\": \"stop\"}\n\n", "data: [DONE]\n\n"
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nMasticmount-Request-Id: r\r\n"
	for body, want := range map[string]outcome{
		"": {Truncated, false}, ": ping\n\n": {Truncated, false}, "\n\n": {Truncated, false}, done: {Truncated, false},
		finish: {Truncated, false}, "id: 2\nda": {Truncated, false}, finish + done: {},
	} {
		for _, text := range []string{
			head + "\r\n" + body,
			stream(body),
			head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body)+1, body+"\n"),
		} {
			u := &upstream{respond: func(*http.Request, int) string { return text }}
			tokens, end := readStream(t, u.client(0), 2)
			assert.Equal(t, want, end, "%q", text)
			assert.Empty(t, tokens, "%q", text)
		}
	}
}

// readStream returns the one-letter events of a stream and how it ended.
func readStream(t *testing.T, c *Client, from int) (string, outcome) {
	s, _, err := c.OpenStream(context.Background(), testCall("r"), from)
	require.NoError(t, err)
	defer s.Close()
	var tokens strings.Builder
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			return tokens.String(), outcome{}
		}
		if err != nil {
			return tokens.String(), outcomeOf(err)
		}
		if len(event.Data) == 1 {
			tokens.Write(event.Data)
		}
	}
}

func TestDialFailureMeansNotRun(t *testing.T) {
	client := NewClientWith(Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }})
	_, err := client.Do(context.Background(), testCall("r"))
	require.Equal(t, outcome{DialFailed, true}, outcomeOf(err))
}

// partialWriteConn accepts some bytes of each write and then fails.
type partialWriteConn struct {
	net.Conn
	accepts int
}

func (c *partialWriteConn) Write(p []byte) (int, error) {
	return min(c.accepts, len(p)), errors.New("broken pipe")
}

func TestFailedWriteMayHaveBeenReceived(t *testing.T) {
	failing := func(accepts int, f testFault) outcome {
		c := NewClientWith(Options{fault: f, Dial: func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			return &partialWriteConn{Conn: client, accepts: accepts}, server.Close()
		}})
		_, err := c.Do(context.Background(), testCall("r"))
		return outcomeOf(err)
	}
	require.Equal(t, outcome{WriteFailed, true}, failing(0, 0), "no byte was sent")
	require.Equal(t, outcome{WriteFailed, false}, failing(10, 0), "ten bytes were sent")
	require.Equal(t, outcome{WriteFailed, true}, failing(10, failedWriteIsNotSent), "the injected fault reports the request as not run")
}

// callAfterTimeout makes two calls to an upstream that responds to the first one only after
// its timeout. If the connection were reused, the second call would get the first response.
func callAfterTimeout(f testFault) (response *BufferedResponse, err error) {
	var first atomic.Bool
	u := &upstream{keepOpen: true}
	u.respond = func(req *http.Request, run int) string {
		if run == 1 && !first.Swap(true) {
			<-time.After(2 * time.Minute)
		}
		return ok("", "answer of run "+req.Header.Get(HeaderRequestID))
	}
	c := u.client(f)
	_, err = c.Do(context.Background(), testCall("1"))
	if outcomeOf(err) != (outcome{TimedOut, false}) {
		return nil, fmt.Errorf("first call: %w", err)
	}
	second := testCall("2")
	second.Deadline = time.Now().Add(time.Hour)
	defer func() {
		c.Close()
		<-time.After(5 * time.Minute)
	}()
	return c.Do(context.Background(), second)
}

func TestConnectionIsNotReusedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		response, err := callAfterTimeout(0)
		require.NoError(t, err)
		require.Equal(t, "answer of run 2", string(response.Body))
	})
	synctest.Test(t, func(t *testing.T) {
		response, err := callAfterTimeout(reuseAfterTimeout)
		require.False(t, err == nil && string(response.Body) == "answer of run 2", "the injected fault must be detected")
	})
}

// readPausingStream reads a stream that pauses for ten seconds after its first token, but for a
// comment after four. It returns how the stream ended, after what time, and when it counted as
// silent.
func readPausingStream(call Call, disableStall bool) (end outcome, after time.Duration, silent []time.Duration) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(server))
		whole := stream("id: 0\ndata: a\n\n: comment\n\nid: 1\ndata: {\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n")
		begin, rest, _ := strings.Cut(whole, ": comment\n\n")
		_, _ = io.WriteString(server, begin)
		<-time.After(4 * time.Second)
		_, _ = io.WriteString(server, ": comment\n\n")
		<-time.After(6 * time.Second)
		_, _ = io.WriteString(server, rest)
	}()
	c := NewClientWith(Options{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }})
	defer c.Close()
	call.Body = nil
	s, _, err := c.OpenStream(context.Background(), call, 0)
	if err != nil {
		return outcomeOf(err), 0, nil
	}
	defer s.Close()
	began := time.Now()
	s.OnStall(func() { silent = append(silent, time.Since(began)) })
	for err == nil {
		_, err = s.Next()
		if disableStall && s.nextPosition == 1 {
			s.DisableStallTimeout()
		}
	}
	return outcomeOf(err), time.Since(began), silent
}

// Guards against silence that ends a stream, and against silence that is not noticed in time.
func TestStreamStallTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		stall        time.Duration
		deadline     time.Duration
		disableStall bool
		want         outcome
		after        time.Duration
		silent       []time.Duration
	}{
		"no stall timeout":        {deadline: time.Minute, after: 10 * time.Second},
		"stalled":                 {stall: 6 * time.Second, deadline: time.Minute, after: 10 * time.Second, silent: []time.Duration{6 * time.Second}},
		"stalled twice":           {stall: 4500 * time.Millisecond, deadline: time.Minute, after: 10 * time.Second, silent: []time.Duration{4500 * time.Millisecond, 9 * time.Second}},
		"stalled to the deadline": {stall: 6 * time.Second, deadline: 8 * time.Second, want: outcome{TimedOut, false}, after: 8 * time.Second, silent: []time.Duration{6 * time.Second}},
		"deadline first":          {stall: 5 * time.Second, deadline: 3 * time.Second, want: outcome{TimedOut, false}, after: 3 * time.Second},
		"stall timeout disabled":  {stall: 5 * time.Second, deadline: time.Minute, disableStall: true, after: 10 * time.Second},
		"timeout above the pause": {stall: 15 * time.Second, deadline: time.Minute, after: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call := testCall("r")
				call.StallTimeout, call.Deadline = test.stall, time.Now().Add(test.deadline)
				end, after, silent := readPausingStream(call, test.disableStall)
				require.Equal(t, test.want, end)
				require.Equal(t, test.after, after)
				require.Equal(t, test.silent, silent)
				<-time.After(time.Minute)
			})
		})
	}
}

// pausedConn returns timeouts although data has arrived, as after a pause of the process.
type pausedConn struct {
	net.Conn
	pauses int
}

func (c *pausedConn) Read(p []byte) (int, error) {
	if c.pauses > 0 {
		c.pauses--
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

func TestProcessPauseIsNotATimeout(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = io.WriteString(server, "token") }()
	paused := &countingConn{Conn: &pausedConn{Conn: client, pauses: 1}}
	_, err := paused.Read(make([]byte, 5))
	require.True(t, isTimeout(err), "without a grace period")
	paused = &countingConn{Conn: &pausedConn{Conn: client, pauses: 1}, grace: time.Minute}
	n, err := paused.Read(make([]byte, 5))
	require.NoError(t, err)
	require.Equal(t, 5, n)
}

func TestCancelClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		u := &upstream{respond: func(*http.Request, int) string {
			cancel()
			<-time.After(time.Second)
			return ok("r", "late")
		}}
		c := u.client(0)
		_, err := c.Do(ctx, testCall("r"))
		require.Equal(t, outcome{Canceled, false}, outcomeOf(err))
		require.Nil(t, c.pool.take("10.0.0.1:80", "r", time.Now(), 0))
		<-time.After(time.Minute)
	})
}

func TestReuseRequiresEchoAndNoPendingInput(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		dials    int32
	}{
		"echoed":     {ok("r", "x"), 1},
		"not echoed": {ok("", "x"), 2},
		"sent twice": {ok("r", "x") + ok("r", "x"), 2},
	} {
		u := &upstream{keepOpen: true, respond: func(*http.Request, int) string { return test.response }}
		c := u.client(0)
		for range 2 {
			_, err := c.Do(context.Background(), testCall("r"))
			require.NoError(t, err, name)
		}
		require.Equal(t, test.dials, u.dials.Load(), name)
		c.Close()
	}
}

func TestFreshConnection(t *testing.T) {
	u := &upstream{keepOpen: true, respond: func(*http.Request, int) string { return ok("r", "x") }}
	c := u.client(0)
	call := testCall("r")
	call.FreshConnection = true
	for range 2 {
		_, err := c.Do(context.Background(), call)
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, u.dials.Load())
	c.Close()
}

// The test needs a real socket: only there can the end of the connection be detected
// without reading.
func TestClosedIdleConnectionIsDetected(t *testing.T) {
	listener, err := net.Listen("unix", t.TempDir()+"/s")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("unix", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	raw := &countingConn{Conn: client}
	c := newConn("a", raw, raw)
	require.True(t, c.noPendingInput())
	require.NoError(t, server.Close())
	require.False(t, c.noPendingInput())
}

func TestPoolClosesExpiredConnections(t *testing.T) {
	p := newPool(nil)
	now := time.Now()
	for i := range 3 {
		client, _ := net.Pipe()
		raw := &countingConn{Conn: client}
		p.put(newConn("a", raw, raw), now.Add(time.Duration(i)*10*time.Second))
	}
	p.closeExpired(now.Add(30 * time.Second))
	require.Len(t, p.idle["a"], 1)
	p.closeExpired(now.Add(time.Hour))
	require.Empty(t, p.idle)
}

func TestHeadersCannotBeInjected(t *testing.T) {
	var seen http.Header
	var path string
	u := &upstream{respond: func(req *http.Request, _ int) string {
		seen, path = req.Header, req.RequestURI
		return ok("r", "x")
	}}
	call := testCall("r")
	call.Path = "/a b\r\nX-Evil: 1"
	call.Headers = map[string]string{HeaderAccount: "a\r\nX-Evil: 1"}
	_, err := u.client(0).Do(context.Background(), call)
	require.NoError(t, err)
	require.Empty(t, seen.Get("X-Evil"))
	require.Equal(t, "/a%20b%0D%0AX-Evil:%201", path)
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 0\ndata: {\"a\":1}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data:x\r\n\r\n: comment\n\nid:-1\ndata\n\n"))
	f.Add([]byte("data: a\ndata: b\n\nid: 99999999999999999999\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		r := newEventReader(strings.NewReader(string(body)))
		for events := 0; ; events++ {
			event, err := r.next()
			if err != nil {
				return
			}
			require.LessOrEqual(t, events, len(body), "each event must consume input")
			require.GreaterOrEqual(t, event.position, 0)
			_ = HasFinishReason(event.data)
		}
	})
}
