package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/ring"
)

// relayTo runs a relay stream from one keeper to another until the test ends.
func relayTo(t *testing.T, from, to *Control) {
	const buffer = 64 << 10
	listener := bufconn.Listen(buffer)
	server := grpc.NewServer()
	to.Register(server)
	go func() { _ = server.Serve(listener) }()
	from.opts.Dialer = peers.NewDialer(nil, grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		return listener.DialContext(ctx)
	}))
	ctx, stop := context.WithCancel(t.Context())
	link := &relayLink{address: "passthrough:other", batches: ring.New[*peerpb.RelayBatch](relayQueueSize, ring.DropOldest)}
	ended := make(chan error, 1)
	go func() { ended <- from.relays.stream(ctx, link) }()
	t.Cleanup(func() {
		stop()
		assert.Error(t, <-ended, "the stream ends with its context")
		server.Stop()
	})
}

// An earlier announcement of a deregistered upstream can reach a restarted keeper before
// the deregistration is relayed to it. The relay must send the deregistration again.
func TestRestartedKeeperGetsDeregistrations(t *testing.T) {
	informed, restarted := openSingleKeeper(t, t.TempDir()), newControl(t)
	defer informed.opts.Keeper.Close()
	require.NoError(t, informed.Announce(announcement(4)))
	require.Eventually(t, func() bool { return informed.Deregister("e1") == nil }, 10*time.Second, time.Millisecond, "it is committed")
	require.NoError(t, restarted.Announce(announcement(3)), "a delayed announcement")
	relayTo(t, informed, restarted)
	deregistered := func() bool {
		restarted.mu.Lock()
		defer restarted.mu.Unlock()
		u, known := restarted.directory.Get("e1")
		return known && u.Deregistered
	}
	require.Eventually(t, deregistered, 10*time.Second, time.Millisecond)
	restarted.record(announcement(5))
	u, _ := restarted.directory.Get("e1")
	assert.True(t, u.Deregistered, "a later announcement of the same incarnation")
	next := announcement(1)
	next.StartTime++
	assert.True(t, restarted.record(next), "the next incarnation is accepted")
	u, _ = restarted.directory.Get("e1")
	assert.Equal(t, fleet.Upstream{}.Deregistered, u.Deregistered)
}
