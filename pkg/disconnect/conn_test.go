package disconnect

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pair returns both ends of a connection; the server's end detects disconnects.
func pair() (client net.Conn, server *Conn) {
	near, far := net.Pipe()
	return near, &Conn{Conn: far}
}

func TestWatchReportsDisconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair()
		disconnected := make(chan struct{})
		server.Watch(func() { close(disconnected) })
		require.NoError(t, client.Close())
		<-disconnected
		again := make(chan struct{})
		server.Watch(func() { close(again) })
		<-again
	})
}

func TestNextRequestIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair()
		server.Watch(func() { t.Error("the client did not disconnect") })
		go func() {
			_, _ = io.WriteString(client, "GET /next")
			_ = client.Close()
		}()
		synctest.Wait()
		received, err := io.ReadAll(server)
		require.NoError(t, err)
		require.Equal(t, "GET /next", string(received))
	})
}

func TestReadStopsReadAheadAndKeepsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair()
		server.Watch(func() { t.Error("the client did not disconnect") })
		began := time.Now()
		require.NoError(t, server.SetReadDeadline(began.Add(time.Minute)))
		_, err := server.Read(make([]byte, 1))
		require.True(t, isTimeout(err))
		require.Equal(t, time.Minute, time.Since(began))
		_ = client.Close()
	})
}

func TestWriteToSlowClientTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair()
		began := time.Now()
		_, err := server.Write([]byte("nobody reads this"))
		require.True(t, isTimeout(err))
		require.Equal(t, clientWriteTimeout, time.Since(began))
		_ = client.Close()
	})
}

func TestUnwatchRemovesCallback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair()
		server.Watch(func() { t.Error("callback called after Unwatch") })
		server.Unwatch()
		require.NoError(t, client.Close())
		synctest.Wait()
	})
}

// tcpPair returns both ends of a TCP connection; the server's end detects disconnects.
func tcpPair(t *testing.T) (client *net.TCPConn, server *Conn) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = inner.Close() }()
	dialed, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	accepted, err := WrapListener(inner).Accept()
	require.NoError(t, err)
	var isConn, isTCP bool
	server, isConn = accepted.(*Conn)
	client, isTCP = dialed.(*net.TCPConn)
	require.True(t, isConn && isTCP)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

// A client that leaves is told from one whose connection is reset.
func TestEndOfConnection(t *testing.T) {
	for want, end := range map[End]func(*net.TCPConn) error{
		Closed: (*net.TCPConn).Close,
		Reset: func(c *net.TCPConn) error {
			_ = c.SetLinger(0)
			return c.Close()
		},
	} {
		client, server := tcpPair(t)
		require.Empty(t, server.End())
		disconnected := make(chan struct{})
		server.Watch(func() { close(disconnected) })
		require.NoError(t, end(client))
		<-disconnected
		require.Equal(t, want, server.End())
		require.False(t, server.WriteFailed())
	}
}

func TestFailedWriteIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := pair()
		_, err := server.Write([]byte("nobody reads this"))
		require.Error(t, err)
		require.True(t, server.WriteFailed())
		require.Equal(t, NotRead, server.End())
		require.Equal(t, len("nobody reads this"), server.Unwritten())
		_ = client.Close()
	})
}
