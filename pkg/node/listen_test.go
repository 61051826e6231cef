package node

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/settings"
)

// freeAddress is a loopback address that no other listener uses.
const freeAddress = "127.77.1.9:45871"

// TestOpenListenersAllOrNone checks that every address in use is reported and that the
// other sockets are closed again.
func TestOpenListenersAllOrNone(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := settings.Listen{Peers: freeAddress, Callers: taken.Addr().String(), Admin: taken.Addr().String()}
	_, err = openListeners(s)
	require.Error(t, err)
	assert.Contains(t, err.Error(), "listen.callers")
	assert.Contains(t, err.Error(), "listen.admin")
	reopened, err := net.Listen("tcp", s.Peers)
	require.NoError(t, err)
	require.NoError(t, reopened.Close())
	require.NoError(t, taken.Close())
}
