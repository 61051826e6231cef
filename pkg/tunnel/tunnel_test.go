package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serveTunnels runs a server for tunnels to the given upstreams and returns it as a peer.
func serveTunnels(t *testing.T, dialer *Dialer, known ...string) (*Server, Peer) {
	s := NewServer(ServerOptions{
		Known: func(address string) bool {
			for _, k := range known {
				if k == address {
					return true
				}
			}
			return false
		}, Dialer: dialer, Log: zerolog.Nop(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, Peer{NodeID: "helper", Address: l.Addr().String(), Key: s.Key(), Reachable: true}
}

func refuseDial(context.Context, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// listen accepts one connection at a time and hands it to serve.
func listen(t *testing.T, serve func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func echo(conn *net.TCPConn) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

func newTestDialer(dial DialFunc, peers ...Peer) *Dialer {
	d := NewDialer(DialerOptions{NodeID: "entry", DialUpstream: dial, Log: zerolog.Nop()})
	d.SetPeers(peers)
	return d
}

func dialContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestTunnelCarriesBytesAndEndsInOrder(t *testing.T) {
	long := strings.Repeat("answer ", 10*copyBufferBytes)
	address := listen(t, func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, len("request")))
		_, _ = io.WriteString(conn, long)
		_ = conn.Close()
	})
	_, peer := serveTunnels(t, newTestDialer(nil), address)
	conn, err := newTestDialer(refuseDial, peer).Dial(dialContext(t), address)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "request")
	require.NoError(t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	assert.Equal(t, long, string(answer))
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "again")
}

// The process of an entry that held a tunnel was killed: its operating system ends the connection in order, and an
// answer without a length looked complete.
func TestLossOfEntryThatHeldTunnelIsNoOrderlyEnd(t *testing.T) {
	for name, sent := range map[string][]byte{"between frames": {0, 1, 'x'}, "inside a frame": {0, 9, 'x'}, "inside a header": {0, 1, 'x', 0}, "before any": {}} {
		t.Run(name, func(t *testing.T) {
			peer := listen(t, func(conn *net.TCPConn) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
				_, _ = io.ReadFull(conn, make([]byte, 1))
				_, _ = conn.Write(sent)
				_ = conn.Close()
			})
			conn, err := newTestDialer(refuseDial, Peer{Address: peer, Reachable: true}).Dial(dialContext(t), "127.0.0.1:1")
			require.NoError(t, err)
			_, err = io.WriteString(conn, "r")
			require.NoError(t, err)
			answer, err := io.ReadAll(conn)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
			assert.LessOrEqual(t, len(answer), 1)
		})
	}
}

// The end of some answers is that of their connection: a reset on the way must not look like it.
func TestResetOfUpstreamIsResetOfTunnel(t *testing.T) {
	address := listen(t, func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, _ = io.WriteString(conn, "begun")
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	_, peer := serveTunnels(t, newTestDialer(nil), address)
	conn, err := newTestDialer(refuseDial, peer).Dial(dialContext(t), address)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "x")
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, len("begun")))
	require.NoError(t, err)
	_, err = io.WriteString(conn, "x")
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}

// A caller that leaves cancels the work at the upstream.
func TestClosedTunnelClosesUpstreamConnection(t *testing.T) {
	ended := make(chan error, 1)
	address := listen(t, func(conn *net.TCPConn) {
		_, err := io.ReadAll(conn)
		ended <- err
		_ = conn.Close()
	})
	server, peer := serveTunnels(t, newTestDialer(nil), address)
	conn, err := newTestDialer(refuseDial, peer).Dial(dialContext(t), address)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	require.NoError(t, <-ended)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	server.Drain(ctx)
	assert.Zero(t, server.open())
}

func TestTunnelsAreRefused(t *testing.T) {
	address := listen(t, echo)
	for _, c := range []struct {
		name    string
		prepare func(s *Server, d *Dialer, p *Peer)
		status  int
	}{
		{"wrong key", func(_ *Server, _ *Dialer, p *Peer) { p.Key = "guess" }, http.StatusForbidden},
		{"no key", func(_ *Server, _ *Dialer, p *Peer) { p.Key = "" }, http.StatusForbidden},
		{"stopping", func(s *Server, _ *Dialer, _ *Peer) { s.BeginStop() }, http.StatusServiceUnavailable},
		{"no path itself", func(_ *Server, d *Dialer, _ *Peer) { d.path = *downPath() }, http.StatusServiceUnavailable},
		{"too many", func(s *Server, _ *Dialer, _ *Peer) { s.byEntry["entry"] = maxTunnelsOfEntry }, http.StatusServiceUnavailable},
		{"too many of all", func(s *Server, _ *Dialer, _ *Peer) { s.total = maxTunnels }, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			helper := newTestDialer(nil)
			s, peer := serveTunnels(t, helper, address)
			c.prepare(s, helper, &peer)
			_, err := newTestDialer(refuseDial).connect(dialContext(t), peer, address)
			var refusal *refusalError
			require.ErrorAs(t, err, &refusal)
			assert.Equal(t, c.status, refusal.status)
		})
	}
	_, peer := serveTunnels(t, newTestDialer(nil), address)
	_, err := newTestDialer(refuseDial).connect(dialContext(t), peer, "127.0.0.1:1")
	var refusal *refusalError
	require.ErrorAs(t, err, &refusal)
	assert.Equal(t, http.StatusNotFound, refusal.status, "no upstream")
}

// Sound upstreams were taken for crashed ones, as they refused connections from an entry that was cut off.
func TestOwnPathIsNoEvidenceAgainstUpstreams(t *testing.T) {
	d := newTestDialer(refuseDial)
	var err error
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		_, err = d.Dial(dialContext(t), address)
		require.Error(t, err)
	}
	assert.True(t, IsUnconfirmed(err))
	assert.NotErrorIs(t, err, syscall.ECONNREFUSED)
	assert.False(t, d.Reachable())
}

func TestFailureThatAnotherEntryConfirmsIsTheUpstreams(t *testing.T) {
	sound := listen(t, echo)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := l.Addr().String()
	require.NoError(t, l.Close())
	helper := newTestDialer(nil)
	_, peer := serveTunnels(t, helper, sound, ended)
	d := newTestDialer(nil, peer)
	conn, err := helper.DialDirect(dialContext(t), sound)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for range 2 * minFailures {
		_, err = d.Dial(dialContext(t), ended)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		assert.False(t, IsUnconfirmed(err))
	}
	assert.True(t, d.Reachable())
}

// A direct connection that hangs must not delay a caller for long.
func TestTunnelIsTakenWhileDirectConnectionHangs(t *testing.T) {
	address := listen(t, echo)
	_, peer := serveTunnels(t, newTestDialer(nil), address)
	hang := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := newTestDialer(hang, peer).Dial(dialContext(t), address)
	require.NoError(t, err)
	assert.NoError(t, conn.Close())
}

func TestReachableEntryOpensNoTunnel(t *testing.T) {
	address := listen(t, echo)
	d := newTestDialer(nil, Peer{NodeID: "helper", Address: "127.0.0.1:1", Reachable: true})
	conn, err := d.Dial(dialContext(t), address)
	require.NoError(t, err)
	_, direct := conn.(*directConn)
	assert.True(t, direct)
	assert.True(t, d.Usable(conn))
	assert.Empty(t, d.failedAt)
	assert.NoError(t, conn.Close())
}

// Guards against an answer without a length that is reset while its request is still written and looks complete: the operating
// system reports a reset only once, to the writer or to the reader.
func TestResetWhileRequestIsWrittenIsNotOrderlyEnd(t *testing.T) {
	const begun = "begun"
	for name, c := range map[string]struct {
		end     func(conn *net.TCPConn)
		orderly bool
	}{
		"reset":                          {func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }, false},
		"closed with the request unread": {func(conn *net.TCPConn) { _ = conn.Close() }, false},
		"ended, the request read on": {func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}, true},
		"ended, the request not read": {func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(time.Second); _ = conn.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			for range 40 {
				address := listen(t, func(conn *net.TCPConn) {
					_, _ = io.ReadFull(conn, make([]byte, 1))
					_, _ = io.WriteString(conn, begun)
					_, _ = io.ReadFull(conn, make([]byte, 1<<20))
					c.end(conn)
				})
				_, peer := serveTunnels(t, newTestDialer(nil), address)
				conn, err := newTestDialer(refuseDial, peer).Dial(dialContext(t), address)
				require.NoError(t, err)
				go func() { _, _ = conn.Write(make([]byte, 16<<20)) }()
				answer, err := io.ReadAll(conn)
				_ = conn.Close()
				if c.orderly {
					require.NoError(t, err)
					require.Equal(t, begun, string(answer))
				} else {
					require.ErrorIs(t, err, syscall.ECONNRESET)
				}
			}
		})
	}
}
