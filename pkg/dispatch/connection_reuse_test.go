package dispatch

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// On a reused connection a response without a request identifier may belong to another
// request, since the upstream echoed the identifier of earlier ones. It must be rejected.
func TestMissingRequestIDOnReusedConnection(t *testing.T) {
	u := &upstream{keepOpen: true, respond: func(_ *http.Request, run int) string {
		if run == 2 {
			return ok("", "of another request")
		}
		return ok("r", "x")
	}}
	c := u.client(0)
	defer c.Close()
	_, err := c.Do(context.Background(), testCall("r"))
	require.NoError(t, err)
	_, err = c.Do(context.Background(), testCall("r"))
	require.Equal(t, outcome{ResponseMismatch, false}, outcomeOf(err))
	response, err := c.Do(context.Background(), testCall("r"))
	require.NoError(t, err)
	require.Equal(t, "x", string(response.Body))
	require.EqualValues(t, 2, u.dials.Load())
}

// Without a request identifier a response cannot be matched to its call. Such a call must
// neither take a pooled connection nor return its own to the pool.
func TestCallWithoutRequestIDSharesNoConnection(t *testing.T) {
	u := &upstream{keepOpen: true, respond: func(req *http.Request, _ int) string { return ok(req.Header.Get(HeaderRequestID), "x") }}
	c := u.client(0)
	defer c.Close()
	for dials, id := range []string{"", "", "r", ""} {
		_, err := c.Do(context.Background(), testCall(id))
		require.NoError(t, err)
		require.EqualValues(t, dials+1, u.dials.Load(), "call %d", dials)
	}
	_, err := c.Do(context.Background(), testCall("r"))
	require.NoError(t, err)
	require.EqualValues(t, 4, u.dials.Load(), "the connection of the call with an identifier must still be pooled")
}

// Headers of interim (1xx) responses must not be taken for those of the final response.
func TestInterimResponseHeadersAreIgnored(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nMasticmount-Request-Id: r\r\nMasticmount-Outcome: not-run\r\nKeep-Alive: timeout=9\r\n\r\n"
	for name, test := range map[string]struct {
		response string
		want     outcome
		dials    int32
	}{
		"echo":            {interim + ok("", "x"), outcome{}, 2},
		"refusal":         {interim + "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", outcome{}, 2},
		"other request":   {interim + ok("other", "x"), outcome{ResponseMismatch, false}, 2},
		"nothing follows": {interim, outcome{Truncated, false}, 2},
		"whole":           {interim + ok("r", "x"), outcome{}, 1},
	} {
		u := &upstream{keepOpen: test.want.reason != Truncated, respond: func(*http.Request, int) string { return test.response }}
		c := u.client(0)
		for range 2 {
			_, err := c.Do(context.Background(), testCall("r"))
			require.Equal(t, test.want, outcomeOf(err), name)
		}
		require.Equal(t, test.dials, u.dials.Load(), name)
		c.Close()
	}
}

// Guards against closing a reused connection when the context of its previous call ends.
func TestCancelAfterCallKeepsReusedConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	u := &upstream{keepOpen: true, respond: func(_ *http.Request, run int) string {
		if run == 2 {
			cancel()
		}
		return ok("r", "x")
	}}
	c := u.client(0)
	defer c.Close()
	_, err := c.Do(ctx, testCall("r"))
	require.NoError(t, err)
	_, err = c.Do(context.Background(), testCall("r"))
	require.NoError(t, err)
	require.EqualValues(t, 1, u.dials.Load())
}

// deadlineConn records the read deadline.
type deadlineConn struct {
	net.Conn
	readDeadline time.Time
}

func (c *deadlineConn) SetDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetDeadline(t)
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// A socket whose deadline has passed cannot be peeked at, so a pooled connection would look
// closed if a call left its deadline set.
func TestPooledConnectionHasNoDeadline(t *testing.T) {
	do := func(c *Client) error {
		_, err := c.Do(context.Background(), testCall("r"))
		return err
	}
	for name, test := range map[string]struct {
		response string
		call     func(c *Client) error
		want     outcome
	}{
		"whole":   {ok("r", "x"), do, outcome{}},
		"refused": {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nMasticmount-Request-Id: r\r\nMasticmount-Outcome: not-run\r\n\r\n", do, outcome{Refused, true}},
		"stream": {stream("id: 0\ndata: a\n\ndata: {\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n"), func(c *Client) error {
			call := testCall("r")
			call.StallTimeout = time.Second
			s, _, err := c.OpenStream(context.Background(), call, 0)
			require.NoError(t, err)
			defer s.Close()
			for err == nil {
				_, err = s.Next()
			}
			require.ErrorIs(t, err, io.EOF)
			return nil
		}, outcome{}},
		"response": {ok("r", "x"), func(c *Client) error {
			r, err := c.Begin(context.Background(), testCall("r"))
			require.NoError(t, err)
			r.SetIdleTimeout(time.Second, func() bool { return true })
			_, err = r.ReadAll()
			return err
		}, outcome{}},
	} {
		t.Run(name, func(t *testing.T) {
			u := &upstream{keepOpen: true, respond: func(*http.Request, int) string { return test.response }}
			var last *deadlineConn
			c := NewClientWith(Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := u.dial(ctx, address)
				last = &deadlineConn{Conn: conn}
				return last, err
			}})
			defer c.Close()
			require.Equal(t, test.want, outcomeOf(test.call(c)))
			kept := c.pool.take("10.0.0.1:80", "next", time.Now(), 0)
			require.NotNil(t, kept)
			defer func() { _ = kept.Close() }()
			require.Zero(t, last.readDeadline)
			require.Zero(t, kept.raw.grace)
		})
	}
}

// After a failure the stream's buffers may belong to another response, so Next must return
// the same failure again.
func TestStreamReturnsSameFailureAgain(t *testing.T) {
	const t0, t2, finish, done = "id: 0\ndata: a\n\n", "id: 2\ndata: c\n\n", "data: {\"finish_reason\": \"stop\"}\n\n", "data: [DONE]\n\n"
	for name, body := range map[string]string{
		"gap":              t0 + t2 + finish + done,
		"gap at the end":   t0 + t2,
		"cut":              t0 + "id: 1\nda",
		"no finish reason": t0 + done,
	} {
		t.Run(name, func(t *testing.T) {
			u := &upstream{respond: func(*http.Request, int) string { return stream(body) }}
			s, _, err := u.client(0).OpenStream(context.Background(), testCall("r"), 0)
			require.NoError(t, err)
			defer s.Close()
			_, err = s.Next()
			require.NoError(t, err)
			_, failure := s.Next()
			require.Equal(t, outcome{Truncated, false}, outcomeOf(failure))
			for range 2 {
				_, err = s.Next()
				require.True(t, errors.Is(err, failure), "error after the failure: %v", err)
			}
		})
	}
}

// Events after [DONE] must be ignored.
func TestEventsAfterDoneAreIgnored(t *testing.T) {
	u := &upstream{respond: func(*http.Request, int) string {
		return stream("id: 0\ndata: a\n\ndata: {\"finish_reason\": \"stop\"}\n\ndata: [DONE]\n\nid: 1\ndata: b\n\n")
	}}
	s, _, err := u.client(0).OpenStream(context.Background(), testCall("r"), 0)
	require.NoError(t, err)
	defer s.Close()
	for err == nil {
		_, err = s.Next()
	}
	for range 2 {
		require.ErrorIs(t, err, io.EOF)
		_, err = s.Next()
	}
}

// A passed deadline of the previous call must not make a usable pooled connection look
// closed, and unexpected data must still be detected.
func TestPooledConnectionIsReusedAfterCallDeadline(t *testing.T) {
	client, server := socketPair(t)
	raw := &countingConn{Conn: client}
	c := newConn("a", raw, raw)
	now := time.Now()
	require.NoError(t, c.SetDeadline(now.Add(-time.Second)))
	p := newPool(nil)
	defer p.close()
	p.put(c, now)
	require.Same(t, c, p.take("a", "r", now, 0))
	p.put(c, now)
	_, err := server.Write([]byte("x"))
	require.NoError(t, err)
	require.Nil(t, p.take("a", "r", now, 0))
}

// socketPair returns both ends of a connection that can be peeked at.
func socketPair(t *testing.T) (client, server net.Conn) {
	listener, err := net.Listen("unix", t.TempDir()+"/s")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("unix", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// The caller cancels the context at [DONE], before the end of the body has arrived. The
// connection must nevertheless be kept for reuse.
func TestCancelAroundDone(t *testing.T) {
	for name, test := range map[string]struct {
		cancelBefore bool
		dials        int32
	}{
		"after the done marker":  {false, 1},
		"before the done marker": {true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			u := &upstream{keepOpen: true, respond: func(*http.Request, int) string {
				return stream("id: 0\ndata: a\n\ndata: {\"finish_reason\": \"stop\"}\n\ndata: [DONE]\n\n")
			}}
			c := u.client(0)
			defer c.Close()
			for range 2 {
				ctx, cancel := context.WithCancel(context.Background())
				s, _, err := c.OpenStream(ctx, testCall("r"), 0)
				for err == nil {
					if test.cancelBefore {
						cancel()
					}
					_, err = s.Next()
				}
				require.ErrorIs(t, err, io.EOF)
				cancel()
				s.Close()
			}
			require.Equal(t, test.dials, u.dials.Load())
		})
	}
}

// A call that was canceled before it was sent has certainly not run. It must not be sent on a pooled
// connection.
func TestCanceledCallIsNotSentOnPooledConnection(t *testing.T) {
	u := &upstream{keepOpen: true, respond: func(*http.Request, int) string { return ok("r", "x") }}
	c := u.client(0)
	defer c.Close()
	_, err := c.Do(context.Background(), testCall("r"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = c.Do(ctx, testCall("r"))
	require.Equal(t, outcome{Canceled, true}, outcomeOf(err))
	_, err = c.Do(context.Background(), testCall("r"))
	require.NoError(t, err)
	require.EqualValues(t, 1, u.dials.Load(), "the connection must still be pooled")
}
