package main

import (
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a connection that is taken for another one, as a port is in use on both sides of a link at once: a
// fault of the link is then not seen, and the entry is blamed.
func TestConnectionsAreFoundOnTheirOwnSide(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	var active atomic.Bool
	l, err := newLink("127.0.0.1:0", server.Addr().String(), rand.New(rand.NewPCG(1, 1)), &active)
	require.NoError(t, err)
	defer l.stop()
	client, err := net.Dial("tcp", l.address())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	accepted, err := server.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	_, err = client.Write([]byte("x"))
	require.NoError(t, err)
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err)

	own := l.ofClient(client.LocalAddr())
	require.NotNil(t, own)
	assert.Same(t, own, l.ofServer(accepted.RemoteAddr()))
	// Another connection goes on to the server from the port that the client has on its side.
	other := &linkConn{}
	l.mu.Lock()
	l.byServer[client.LocalAddr().String()] = other
	l.mu.Unlock()
	assert.Same(t, own, l.ofClient(client.LocalAddr()))
	assert.Same(t, other, l.ofServer(client.LocalAddr()))
}
