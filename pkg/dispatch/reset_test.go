package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resetUpstream responds to one request with raw bytes and then resets the connection when
// the channel is closed. It uses a real socket, since only that reports a reset just once.
func resetUpstream(t *testing.T, text string, reset <-chan struct{}) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		<-reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	}()
	return listener.Addr().String()
}

// The operating system reports a reset only once. A further read returns io.EOF, which must
// not be taken for the end of an unframed body.
func TestResetIsNotEndOfResponse(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"no idle timeout": 0, "idle timeout": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			reset := make(chan struct{})
			call := testCall("r")
			call.Body = nil
			call.Address = resetUpstream(t, "HTTP/1.1 200 OK\r\nMasticmount-Request-Id: r\r\n\r\ndone", reset)
			client := NewClientWith(Options{Protocol: Protocol{AllowUnframed: true}})
			r, err := client.Begin(context.Background(), call)
			require.NoError(t, err)
			r.SetIdleTimeout(timeout, func() bool { return false })
			buf := make([]byte, 64)
			n, err := r.Read(buf)
			require.NoError(t, err)
			assert.Equal(t, "done", string(buf[:n]))
			close(reset)
			_, err = r.Read(buf)
			assert.NotErrorIs(t, err, io.EOF)
			assert.Equal(t, outcome{reason: Truncated}, outcomeOf(err))
		})
	}
}

// resetConn is a connection that reports a reset once and then io.EOF, as a socket does.
type resetConn struct {
	net.Conn
	reported bool
}

func (c *resetConn) Read([]byte) (int, error) {
	if c.reported {
		return 0, io.EOF
	}
	c.reported = true
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
}

func TestReadErrorIsPersistent(t *testing.T) {
	c := &countingConn{Conn: &resetConn{}}
	for range 3 {
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// The idle timeout must be reported as Stalled at any position of a chunked body.
func TestIdleTimeoutAtAnyBodyPosition(t *testing.T) {
	for name, text := range map[string]string{
		"before the first chunk":    "",
		"inside a chunk's size":     "4",
		"inside a chunk":            "9\r\ndone",
		"after the data of a chunk": "4\r\ndone",
		"between chunks":            "4\r\ndone\r\n",
		"inside the last chunk":     "4\r\ndone\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &upstream{respond: func(*http.Request, int) string { return chunkedHead + text }, keepOpen: true}
				r, err := u.client(0).Begin(context.Background(), testCall("r"))
				require.NoError(t, err)
				timeouts := 0
				r.SetIdleTimeout(time.Second, func() bool { timeouts++; return timeouts == 3 })
				began := time.Now()
				for err == nil {
					_, err = r.Read(make([]byte, 64))
				}
				require.Equal(t, outcome{reason: Stalled}, outcomeOf(err))
				require.Equal(t, 3*time.Second, time.Since(began), "two timeouts must be ignored")
			})
		})
	}
}

// Guards against a part of an answer without a length that counts as the whole, as its connection is reset while the request is
// still written.
func TestResetWhileRequestIsWrittenIsNotEndOfResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nMasticmount-Request-Id: r\r\n\r\n"
	ends := map[string]func(conn *net.TCPConn){
		"reset":                          func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() },
		"closed with the request unread": func(conn *net.TCPConn) { _ = conn.Close() },
	}
	for name, end := range ends {
		for size, body := range map[string]int{"request in the socket's buffer": 64 << 10, "request that does not fit": 16 << 20} {
			t.Run(name+", "+size, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer func() { _ = listener.Close() }()
				go func() {
					for {
						conn, err := listener.Accept()
						if err != nil {
							return
						}
						_, _ = io.ReadFull(conn, make([]byte, 1))
						_, _ = io.WriteString(conn, head+"part")
						end(conn.(*net.TCPConn))
					}
				}()
				client := NewClientWith(Options{Protocol: Protocol{AllowUnframed: true}})
				for range 40 {
					call := testCall("r")
					call.Address, call.Body = listener.Addr().String(), make([]byte, body)
					r, err := client.Begin(context.Background(), call)
					if err == nil {
						_, err = r.ReadAll()
					}
					require.Error(t, err)
				}
			})
		}
	}
}
