package tunnel

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against requests that are sent over an open tunnel while the entry that holds it stops, and are cut by its exit.
func TestTunnelOfStoppingEntryIsNotUsedAgain(t *testing.T) {
	address := listen(t, echo)
	_, stopping := serveTunnels(t, newTestDialer(nil), address)
	_, other := serveTunnels(t, newTestDialer(nil), address)
	other.NodeID = "other"
	dialer := newTestDialer(refuseDial, stopping)
	conn, err := dialer.Dial(dialContext(t), address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	dialer.SetPeers([]Peer{stopping, other})
	assert.True(t, dialer.Usable(conn))
	stopping.Reachable = false
	dialer.SetPeers([]Peer{stopping})
	assert.True(t, dialer.Usable(conn), "nothing else opens a tunnel")
	dialer.SetPeers([]Peer{stopping, other})
	assert.False(t, dialer.Usable(conn))
	dialer.SetPeers([]Peer{other})
	assert.False(t, dialer.Usable(conn), "it has gone")
	restarted := stopping
	restarted.Reachable, restarted.Key = true, "another process"
	dialer.SetPeers([]Peer{restarted, other})
	assert.False(t, dialer.Usable(conn), "another process of it has come")
}
