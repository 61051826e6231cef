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

	"github.com/stretchr/testify/require"
)

// upstream answers each request that it reads with raw bytes; an empty text
// closes the connection at once.
type upstream struct {
	answer   func(req *http.Request, run int) string
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
		text := u.answer(req, int(u.runs.Add(1)))
		if _, err := io.WriteString(conn, text); err != nil || text == "" || !u.keepOpen {
			return
		}
	}
}

func (u *upstream) client(v variant) *Client { return NewClientWith(Options{Dial: u.dial, variant: v}) }

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

// outcome is what a caller may conclude from the end of a call.
type outcome struct {
	reason Reason
	notRun bool
}

func outcomeOf(err error) outcome {
	f, ok := CallErrorOf(err)
	if !ok {
		return outcome{}
	}
	return outcome{f.Reason, f.NotRun()}
}

func TestWholeAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		want   outcome
		// broken is a variant that gets this answer wrong.
		broken variant
	}{
		"whole":                 {answer: ok("r", "done")},
		"chunked":               {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"},
		"plain error may run":   {answer: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", broken: plainErrorIsRefusal},
		"explicit refusal":      {answer: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nMasticmount-Outcome: not-run\r\n\r\n", want: outcome{Refused, true}},
		"outcome on a 500":      {answer: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nMasticmount-Outcome: not-run\r\n\r\n"},
		"another request's":     {answer: ok("other", "done"), want: outcome{Crossed, false}, broken: trustAnyAnswer},
		"closed after reading":  {answer: "", want: outcome{CutOff, false}, broken: retryClosedConnection},
		"cut in the header":     {answer: "HTTP/1.1 200 OK\r\nContent-Le", want: outcome{CutOff, false}},
		"cut in the body":       {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ndone", want: outcome{CutOff, false}, broken: trustAnyEnd},
		"cut between chunks":    {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", want: outcome{CutOff, false}, broken: trustAnyEnd},
		"end cannot be told":    {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone", want: outcome{CutOff, false}, broken: trustAnyEnd},
		"not HTTP":              {answer: "SSH-2.0-x\r\n\r\n", want: outcome{CutOff, false}},
		"no content needs none": {answer: "HTTP/1.1 204 No Content\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			got := func(v variant) (outcome, int32) {
				u := &upstream{answer: func(*http.Request, int) string { return test.answer }}
				_, err := u.client(v).Do(context.Background(), testCall("r"))
				return outcomeOf(err), u.runs.Load()
			}
			want, runs := got(0)
			require.Equal(t, test.want, want)
			require.EqualValues(t, 1, runs, "a call reaches its upstream once")
			if test.broken != 0 {
				wrong, wrongRuns := got(test.broken)
				require.False(t, wrong == want && wrongRuns == runs, "the broken variant is told apart")
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
		got    string
		want   outcome
		broken variant
	}{
		"whole":                {body: t0 + t1 + finish + done, got: "ab"},
		"resumed":              {body: t1 + t2 + finish + done, from: 1, got: "bc"},
		"resumed from scratch": {body: t0 + t1 + t2 + finish + done, from: 2, got: "c"},
		"doubled tokens":       {body: t0 + t0 + t1 + t1 + finish + done, got: "ab"},
		"gap":                  {body: t0 + t2 + finish + done, got: "a", want: outcome{CutOff, false}},
		"no end mark":          {body: t0 + t1 + finish, got: "ab", want: outcome{CutOff, false}, broken: trustAnyEnd},
		"no finish reason":     {body: t0 + done, got: "a", want: outcome{CutOff, false}, broken: trustAnyEnd},
		"half an event":        {body: t0 + "id: 1\ndata: b", got: "a", want: outcome{CutOff, false}, broken: trustAnyEnd},
		"quoted finish reason": {body: "id: 0\ndata: {\"content\":\"\\\"finish_reason\\\":\\\"stop\\\"\"}\n\n" + done, want: outcome{CutOff, false}},
	} {
		t.Run(name, func(t *testing.T) {
			read := func(v variant) (string, outcome) {
				u := &upstream{answer: func(*http.Request, int) string { return stream(test.body) }}
				return readStream(t, u.client(v), test.from)
			}
			got, end := read(0)
			require.Equal(t, test.want, end)
			if test.got != "" {
				require.Equal(t, test.got, got)
			}
			if test.broken != 0 {
				_, wrong := read(test.broken)
				require.NotEqual(t, end, wrong, "the broken variant is told apart")
			}
		})
	}
}

// readStream returns the single letters that came and how the stream ended.
func readStream(t *testing.T, c *Client, from int) (string, outcome) {
	s, _, err := c.Open(context.Background(), testCall("r"), from)
	require.NoError(t, err)
	defer s.Close()
	var got strings.Builder
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			return got.String(), outcome{}
		}
		if err != nil {
			return got.String(), outcomeOf(err)
		}
		if len(event.Data) == 1 {
			got.Write(event.Data)
		}
	}
}

func TestNoByteLeftMeansNotRun(t *testing.T) {
	refusing := NewClientWith(Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }})
	_, err := refusing.Do(context.Background(), testCall("r"))
	require.Equal(t, outcome{DialFailed, true}, outcomeOf(err))
}

// halfConn takes some bytes of the request and then fails.
type halfConn struct {
	net.Conn
	takes int
}

func (c *halfConn) Write(p []byte) (int, error) {
	return min(c.takes, len(p)), errors.New("broken pipe")
}

func TestFailedWriteMayHaveBeenReceived(t *testing.T) {
	failing := func(takes int, v variant) outcome {
		c := NewClientWith(Options{variant: v, Dial: func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			return &halfConn{Conn: client, takes: takes}, server.Close()
		}})
		_, err := c.Do(context.Background(), testCall("r"))
		return outcomeOf(err)
	}
	require.Equal(t, outcome{WriteFailed, true}, failing(0, 0), "no byte left")
	require.Equal(t, outcome{WriteFailed, false}, failing(10, 0), "ten bytes left")
	require.Equal(t, outcome{WriteFailed, true}, failing(10, failedWriteIsNotRun), "the broken variant claims not-run")
}

// lateAnswers answers the first request of a connection only after the second
// has come, so that a reused connection brings the first one's answer.
func lateAnswers(v variant) (answer *Answer, err error) {
	var first atomic.Bool
	u := &upstream{keepOpen: true}
	u.answer = func(req *http.Request, run int) string {
		if run == 1 && !first.Swap(true) {
			<-time.After(2 * time.Minute)
		}
		return ok("", "answer of run "+req.Header.Get(HeaderRequestID))
	}
	c := u.client(v)
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
		answer, err := lateAnswers(0)
		require.NoError(t, err)
		require.Equal(t, "answer of run 2", string(answer.Body))
	})
	synctest.Test(t, func(t *testing.T) {
		answer, err := lateAnswers(reuseAfterCancel)
		require.False(t, err == nil && string(answer.Body) == "answer of run 2", "the broken variant is told apart")
	})
}

// silent sends a token, falls silent for ten seconds and sends the rest.
func silent(call Call, patient bool) (outcome, time.Duration) {
	client, server := net.Pipe()
	go func() {
		defer func() { _ = server.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(server))
		whole := stream("id: 0\ndata: a\n\nid: 1\ndata: {\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n")
		begin, rest, _ := strings.Cut(whole, "id: 1")
		_, _ = io.WriteString(server, begin)
		<-time.After(10 * time.Second)
		_, _ = io.WriteString(server, "id: 1"+rest)
	}()
	c := NewClientWith(Options{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }})
	defer c.Close()
	call.Body = nil
	s, _, err := c.Open(context.Background(), call, 0)
	if err != nil {
		return outcomeOf(err), 0
	}
	defer s.Close()
	began := time.Now()
	for err == nil {
		_, err = s.Next()
		if patient && s.next == 1 {
			s.BePatient()
		}
	}
	return outcomeOf(err), time.Since(began)
}

func TestSilentStreamIsGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		stall    time.Duration
		deadline time.Duration
		patient  bool
		want     outcome
		after    time.Duration
	}{
		"no bound":         {deadline: time.Minute, after: 10 * time.Second},
		"stalled":          {stall: 5 * time.Second, deadline: time.Minute, want: outcome{Stalled, false}, after: 5 * time.Second},
		"the deadline":     {stall: 5 * time.Second, deadline: 3 * time.Second, want: outcome{TimedOut, false}, after: 3 * time.Second},
		"cannot go on":     {stall: 5 * time.Second, deadline: time.Minute, patient: true, after: 10 * time.Second},
		"a longer silence": {stall: 15 * time.Second, deadline: time.Minute, after: 10 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call := testCall("r")
				call.StallTimeout, call.Deadline = test.stall, time.Now().Add(test.deadline)
				got, after := silent(call, test.patient)
				require.Equal(t, test.want, got)
				require.Equal(t, test.after, after)
				<-time.After(time.Minute)
			})
		})
	}
}

// pausedConn passes its deadlines before it reads, as after a pause of the
// process, though bytes have come.
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

func TestPauseOfThisProcessIsNoSilence(t *testing.T) {
	client, server := net.Pipe()
	go func() { _, _ = io.WriteString(server, "token") }()
	paused := &countingConn{Conn: &pausedConn{Conn: client, pauses: 1}}
	_, err := paused.Read(make([]byte, 5))
	require.True(t, isTimeout(err), "without grace")
	paused = &countingConn{Conn: &pausedConn{Conn: client, pauses: 1}, grace: time.Minute}
	n, err := paused.Read(make([]byte, 5))
	require.NoError(t, err)
	require.Equal(t, 5, n)
}

func TestCancelClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		u := &upstream{answer: func(*http.Request, int) string {
			cancel()
			<-time.After(time.Second)
			return ok("r", "late")
		}}
		c := u.client(0)
		_, err := c.Do(ctx, testCall("r"))
		require.Equal(t, outcome{Canceled, false}, outcomeOf(err))
		require.Nil(t, c.pool.take("10.0.0.1:80", time.Now(), 0))
		<-time.After(time.Minute)
	})
}

func TestReuseNeedsAnEchoAndSilence(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		dials  int32
	}{
		"echoed":      {ok("r", "x"), 1},
		"not echoed":  {ok("", "x"), 2},
		"sent double": {ok("r", "x") + ok("r", "x"), 2},
	} {
		u := &upstream{keepOpen: true, answer: func(*http.Request, int) string { return test.answer }}
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
	u := &upstream{keepOpen: true, answer: func(*http.Request, int) string { return ok("r", "x") }}
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

// TestClosedIdleConnectionIsNoticed uses a socket, on which the end of the other
// side can be seen without reading.
func TestClosedIdleConnectionIsNoticed(t *testing.T) {
	listener, err := net.Listen("unix", t.TempDir()+"/s")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("unix", listener.Addr().String())
	require.NoError(t, err)
	server, err := listener.Accept()
	require.NoError(t, err)
	raw := &countingConn{Conn: client}
	c := newConn("a", raw, raw)
	require.True(t, c.quiet())
	require.NoError(t, server.Close())
	require.False(t, c.quiet())
}

func TestPoolForgetsOldConnections(t *testing.T) {
	p := newPool()
	now := time.Now()
	for i := range 3 {
		client, _ := net.Pipe()
		raw := &countingConn{Conn: client}
		p.put(newConn("a", raw, raw), now.Add(time.Duration(i)*10*time.Second))
	}
	p.sweep(now.Add(30 * time.Second))
	require.Len(t, p.idle["a"], 1)
	p.sweep(now.Add(time.Hour))
	require.Empty(t, p.idle)
}

func TestHeadersCannotBeInjected(t *testing.T) {
	var seen http.Header
	var path string
	u := &upstream{answer: func(req *http.Request, _ int) string {
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
			require.LessOrEqual(t, events, len(body), "each event consumes input")
			require.GreaterOrEqual(t, event.position, 0)
			_ = HasFinishReason(event.data)
		}
	})
}
