package control

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/regionlog"
	"github.com/masticmount/masticmount/pkg/ring"
	"github.com/masticmount/masticmount/pkg/state"
)

// testKeepers are the keepers of a region, over connections in memory.
type testKeepers struct {
	t       *testing.T
	keepers [3]*testKeeper

	mu        sync.Mutex
	listeners map[string]*bufconn.Listener
}

type testKeeper struct {
	folder  string
	control *Control
	// kill ends the keeper and its connections at once; nil while it is down.
	kill func()
}

func startKeepers(t *testing.T) *testKeepers {
	r := &testKeepers{t: t, listeners: map[string]*bufconn.Listener{}}
	for i := range r.keepers {
		r.keepers[i] = &testKeeper{folder: t.TempDir()}
		r.start(i)
	}
	t.Cleanup(func() {
		for _, k := range r.keepers {
			if k.kill != nil {
				k.kill()
			}
		}
	})
	return r
}

func keeperAddress(i int) string { return fmt.Sprint("passthrough:k", i) }

func (r *testKeepers) dial(ctx context.Context, address string) (net.Conn, error) {
	r.mu.Lock()
	listener := r.listeners["passthrough:"+address]
	r.mu.Unlock()
	if listener == nil {
		return nil, net.ErrClosed
	}
	return listener.DialContext(ctx)
}

func (r *testKeepers) start(i int) {
	k := r.keepers[i]
	machine, dialer := state.New(), peers.NewDialer(nil, grpc.WithContextDialer(r.dial))
	var members []keeper.Peer
	for j := range r.keepers {
		members = append(members, keeper.Peer{NodeID: keeperAddress(j), Address: keeperAddress(j)})
	}
	var c *Control
	regionLog := keeper.New(keeper.Options{
		Machine: machine, NodeID: keeperAddress(i), Address: keeperAddress(i), Folder: k.folder, Keepers: members, TargetVoters: len(members),
		OnApplied: func(uint64) { c.Applied() }, Dialer: dialer, Log: zerolog.Nop(),
	})
	c = New(Options{
		Keeper: regionLog, Machine: machine, Dialer: dialer, Address: keeperAddress(i), AnnounceInterval: time.Second, StallTimeout: 4 * time.Second, OrderSender: rejectOrders{}, Log: zerolog.Nop(),
		Decode: func(content []byte) (*document.Document, error) {
			return &document.Document{Version: uint64(content[0])}, nil
		},
	})
	require.NoError(r.t, regionLog.Open())
	server, listener := grpc.NewServer(), bufconn.Listen(1<<20)
	regionLog.Register(server)
	c.Register(server)
	r.mu.Lock()
	r.listeners[keeperAddress(i)] = listener
	r.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	workers.Go(func() { _ = server.Serve(listener) })
	workers.Go(func() { c.Run(ctx) })
	k.control = c
	k.kill = func() {
		k.kill = nil
		r.mu.Lock()
		delete(r.listeners, keeperAddress(i))
		r.mu.Unlock()
		_ = listener.Close()
		server.Stop()
		regionLog.Close()
		stop()
		dialer.Close()
		workers.Wait()
	}
}

const keepersTimeout = 20 * time.Second

// leader waits for a leader that all running keepers know, and returns its index.
func (r *testKeepers) leader() int {
	leader := -1
	require.Eventually(r.t, func() bool {
		for i, k := range r.keepers {
			if k.kill != nil && !k.control.hasLeader() {
				return false
			}
			if k.kill != nil && k.control.opts.Keeper.Status().Role == regionlog.Leader {
				leader = i
			}
		}
		return leader >= 0 && r.keepers[leader].kill != nil
	}, keepersTimeout, time.Millisecond)
	return leader
}

// knowsDeparture reports whether a keeper knows that the upstream of announcement leaves.
func (k *testKeeper) knowsDeparture() bool {
	k.control.mu.Lock()
	defer k.control.mu.Unlock()
	u, known := k.control.directory.Get("e1")
	return known && u.Leaving()
}

// The ways in which an upstream says that it leaves.
var departureStatements = map[string]func(c *Control) error{
	"draining": func(c *Control) error {
		u := announcement(2)
		u.Draining = true
		return c.Announce(u)
	},
	"deregistered": func(c *Control) error { return c.Deregister("e1") },
}

// Guards against a departure that is acknowledged from the memory of one keeper and lost with it, so that
// the upstream gets requests after it has left.
func TestAcknowledgedDepartureOutlastsKeepers(t *testing.T) {
	for name, leave := range departureStatements {
		for _, toLeader := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, acknowledged by the leader: %v", name, toLeader), func(t *testing.T) {
				t.Parallel()
				r := startKeepers(t)
				acknowledging := r.leader()
				if !toLeader {
					acknowledging = (acknowledging + 1) % len(r.keepers)
				}
				for _, k := range r.keepers {
					require.NoError(t, k.control.Announce(announcement(1)))
				}
				require.Eventually(t, func() bool { return leave(r.keepers[acknowledging].control) == nil }, keepersTimeout, 10*time.Millisecond)
				r.keepers[acknowledging].kill()
				r.awaitDeparture("after the acknowledging keeper was killed")

				r.restartAll()
				r.awaitDeparture("after all have restarted")
				for _, k := range r.keepers {
					k.control.record(announcement(3))
					assert.Equal(t, name == "deregistered", k.knowsDeparture(), "a later announcement takes back that it drains, but no deregistration")
				}
			})
		}
	}
}

// awaitDeparture waits until all running keepers know that the upstream leaves.
func (r *testKeepers) awaitDeparture(when string) {
	for i, k := range r.keepers {
		if k.kill != nil {
			require.Eventually(r.t, k.knowsDeparture, keepersTimeout, time.Millisecond, "keeper %d %s", i, when)
		}
	}
}

// restartAll kills all keepers, starts them with their disks and waits for a leader.
func (r *testKeepers) restartAll() {
	for _, k := range r.keepers {
		if k.kill != nil {
			k.kill()
		}
	}
	for i := range r.keepers {
		r.start(i)
	}
	r.leader()
}

// Guards against an acknowledgement of a departure that is not committed. It is obeyed and relayed all the same.
func TestDepartureIsNotAcknowledgedWithoutMajority(t *testing.T) {
	for name, leave := range departureStatements {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := startKeepers(t)
			leader := r.leader()
			require.NoError(t, r.keepers[leader].control.Announce(announcement(1)))
			r.keepers[(leader+1)%3].kill()
			r.keepers[(leader+2)%3].kill()
			link := &relayLink{batches: ring.New[*peerpb.RelayBatch](4, ring.DropOldest), stop: func() {}}
			r.keepers[leader].control.relays.mu.Lock()
			r.keepers[leader].control.relays.links["other"] = link
			r.keepers[leader].control.relays.mu.Unlock()
			require.Error(t, leave(r.keepers[leader].control))
			assert.True(t, r.keepers[leader].knowsDeparture())
		})
	}
}

// Guards against a commit for each announcement of a draining upstream, and against one that is taken for
// committed although the upstream took it back in between.
func TestDepartureIsCommittedOnce(t *testing.T) {
	withLeader(t, func(t *testing.T, c *Control, _ string) {
		defer c.opts.Keeper.Close()
		_, before := c.opts.Machine.DeparturesSince(0)
		commits := func() uint64 {
			_, version := c.opts.Machine.DeparturesSince(0)
			return version - before
		}
		say := func(sequence uint64, draining bool) uint64 {
			u := announcement(sequence)
			u.Draining = draining
			require.NoError(t, c.Announce(u))
			return commits()
		}
		assert.EqualValues(t, 0, say(1, false))
		assert.EqualValues(t, 1, say(2, true))
		assert.EqualValues(t, 1, say(3, true))
		assert.EqualValues(t, 1, say(4, false))
		assert.EqualValues(t, 2, say(5, true))
		require.NoError(t, c.Deregister("e1"))
		require.NoError(t, c.Deregister("e1"))
		assert.EqualValues(t, 3, commits())
		assert.EqualValues(t, 3, say(6, true), "it stays deregistered")

		next := announcement(1)
		next.StartTime, next.Draining = 2, true
		require.NoError(t, c.Announce(next))
		assert.EqualValues(t, 4, commits(), "the next incarnation")
	})
}
