package disconnect

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against answers that lose their end because the client had sent more than the server read: closing a connection
// with unread bytes resets it, which drops what the client has not received yet.
func TestUnreadBytesDoNotCutAnswer(t *testing.T) {
	client, server := tcpPair(t)
	require.NoError(t, client.SetReadBuffer(8<<10))
	_, err := io.WriteString(client, "request; next request")
	require.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, len("request;")))
	require.NoError(t, err)
	tcp, isTCP := server.Conn.(*net.TCPConn)
	require.True(t, isTCP)
	require.NoError(t, tcp.SetWriteBuffer(128<<10))
	answer := bytes.Repeat([]byte("answer"), 4<<10)
	_, err = server.Write(answer)
	require.NoError(t, err)
	require.NoError(t, server.Close())
	require.NoError(t, server.Close())
	_, err = server.Read(make([]byte, 1))
	require.ErrorIs(t, err, net.ErrClosed)
	rest, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, len(answer), len(rest))
	require.NoError(t, client.Close())
	<-server.Lingering()
}

// Guards against a server that waits for the client of a connection without an answer.
func TestConnectionWithoutAnswerIsClosedAtOnce(t *testing.T) {
	client, server := tcpPair(t)
	_, err := server.Write([]byte("answer"))
	require.NoError(t, err)
	_, err = io.WriteString(client, "G")
	require.NoError(t, err)
	_, err = server.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, server.Close())
	require.Nil(t, server.Lingering())
}
