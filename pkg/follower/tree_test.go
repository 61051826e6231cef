package follower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	treeDomains = 3
	treeNodes   = 9
)

var errUnreachable = errors.New("node is unreachable")

// treeNode is a node of the harness: a follower with its feed.
type treeNode struct {
	peer     Peer
	follower *Follower
	feed     *Feed
	// running is canceled when the node stops, which ends the streams that it serves.
	running context.Context
	stop    func()
}

// harness runs nine nodes in three failure domains. Each domain has one keeper; the
// keepers share a state machine.
type harness struct {
	t       *testing.T
	mu      sync.Mutex
	machine *state.Machine
	nodes   []*treeNode
	// partitioned holds the failure domains whose links to the others are down.
	partitioned map[string]bool
	// lagging holds the older state that the lagging keeper of a domain serves.
	lagging map[string]*state.Machine
}

func newHarness(t *testing.T) *harness {
	s := &harness{t: t, machine: state.New(), partitioned: map[string]bool{}, lagging: map[string]*state.Machine{}}
	for i := range treeNodes {
		s.nodes = append(s.nodes, &treeNode{
			peer: Peer{ID: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("fd", i%treeDomains), Keeper: i < treeDomains},
		})
	}
	return s
}

func (s *harness) isPartitioned(from, to *treeNode) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, b := from.peer.FailureDomain, to.peer.FailureDomain
	return a != b && (s.partitioned[a] || s.partitioned[b])
}

// reach returns the feed of a node and the context that is canceled when the node
// stops, or an error if the node is not reachable.
func (s *harness) reach(from, to *treeNode) (*Feed, context.Context, error) {
	if s.isPartitioned(from, to) {
		return nil, nil, errUnreachable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if to.running == nil || to.running.Err() != nil {
		return nil, nil, errUnreachable
	}
	return to.feed, to.running, nil
}

// link is a connection between two nodes. It fails while they are partitioned.
type link struct {
	system   *harness
	from, to *treeNode
}

func (l link) Invoke(ctx context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	feed, _, err := l.system.reach(l.from, l.to)
	if err != nil {
		return err
	}
	answer, err := feed.Held(ctx, &peerpb.HeldRequest{})
	response, _ := reply.(*peerpb.HeldResponse)
	proto.Merge(response, answer)
	return err
}

func (l link) NewStream(ctx context.Context, _ *grpc.StreamDesc, _ string, _ ...grpc.CallOption) (grpc.ClientStream, error) {
	feed, running, err := l.system.reach(l.from, l.to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(running, cancel)
	return &linkStream{link: l, feed: feed, ctx: ctx, events: make(chan *peerpb.WatchEvent)}, nil
}

// linkStream is the client end of a watch; serverEnd is the other.
type linkStream struct {
	grpc.ClientStream
	link   link
	feed   *Feed
	ctx    context.Context
	events chan *peerpb.WatchEvent
}

func (s *linkStream) SendMsg(m any) error {
	req, _ := m.(*peerpb.WatchRequest)
	go func() { _ = s.feed.Watch(req, serverEnd{linkStream: s}) }()
	return nil
}

func (s *linkStream) CloseSend() error { return nil }

func (s *linkStream) RecvMsg(m any) error {
	select {
	case event := <-s.events:
		if s.link.system.isPartitioned(s.link.from, s.link.to) {
			return errUnreachable
		}
		into, _ := m.(*peerpb.WatchEvent)
		proto.Merge(into, event)
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

type serverEnd struct {
	grpc.ServerStream
	*linkStream
}

func (s serverEnd) Context() context.Context { return s.ctx }

func (s serverEnd) RecvMsg(any) error { return io.EOF }

func (s serverEnd) SendMsg(any) error { return nil }

func (s serverEnd) Send(event *peerpb.WatchEvent) error {
	select {
	case s.events <- event:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// start runs a node with empty state, like a new process.
func (s *harness) start(n *treeNode) {
	var peers []Peer
	for _, to := range s.nodes {
		peer := to.peer
		peer.Conn = link{s, n, to}
		peers = append(peers, peer)
	}
	f := New(Options{NodeID: n.peer.ID, Peers: peers, Log: zerolog.Nop()})
	feed := NewFeed(s.source(n.peer, f))
	f.OnUpdate(func(c *state.Config) { feed.Notify(c.Revision) })
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	n.follower, n.feed, n.running = f, feed, ctx
	s.mu.Unlock()
	var goroutines sync.WaitGroup
	goroutines.Go(func() { f.Run(ctx) })
	n.stop = func() {
		cancel()
		goroutines.Wait()
	}
}

func (s *harness) source(peer Peer, f *Follower) Source {
	if !peer.Keeper {
		return Source{Since: f.Since, KeeperAge: f.KeeperAge, Held: func(context.Context, bool) *peerpb.HeldResponse {
			revision := f.Config().Revision
			return &peerpb.HeldResponse{NodeId: peer.ID, InForce: revision, Held: revision}
		}}
	}
	committed := func() *state.Machine {
		if old := s.lagging[peer.FailureDomain]; old != nil {
			return old
		}
		return s.machine
	}
	return Source{
		Since: func(revision uint64) *peerpb.WatchEvent {
			s.mu.Lock()
			defer s.mu.Unlock()
			if f.Config().Revision > committed().Revision() {
				return f.Since(revision)
			}
			return committed().Since(revision)
		},
		KeeperAge: func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.lagging[peer.FailureDomain] != nil {
				return NoContact
			}
			return 0
		},
		Held: func(context.Context, bool) *peerpb.HeldResponse {
			s.mu.Lock()
			defer s.mu.Unlock()
			inForce := f.Config().Revision
			return &peerpb.HeldResponse{NodeId: peer.ID, InForce: inForce, Held: max(inForce, committed().Revision()), Confirmed: true}
		},
	}
}

// change commits a change, notifies the keepers' feeds and returns the new revision.
func (s *harness) change() uint64 {
	s.mu.Lock()
	revision := s.machine.Revision()
	name := fmt.Sprint("vm-", revision)
	s.machine.Apply(0, &peerpb.Command{Body: &peerpb.Command_ConfigChange{ConfigChange: &peerpb.ConfigChange{
		ChangeId: name, Kind: string(api.KindLabels), Name: name, Spec: []byte(`{"labels":{}}`),
	}}})
	s.mu.Unlock()
	for _, n := range s.nodes[:treeDomains] {
		n.feed.Notify(revision + 1)
	}
	return revision + 1
}

// partition isolates a domain from the others. Its keeper keeps its current state.
func (s *harness) partition(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := s.machine.Snapshot()
	require.NoError(s.t, err)
	old := state.New()
	require.NoError(s.t, old.Restore(data))
	s.partitioned[domain], s.lagging[domain] = true, old
}

func (s *harness) heal(domain string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.partitioned, domain)
	delete(s.lagging, domain)
}

func (s *harness) stopAll() {
	for _, n := range s.nodes {
		n.stop()
	}
}

func (s *harness) revisions() []uint64 {
	var out []uint64
	for _, n := range s.nodes {
		out = append(out, n.follower.Config().Revision)
	}
	return out
}

func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// TestConfigurationReachesEveryNode guards against nodes that miss changes. It commits
// 600 changes while a domain is partitioned. The nodes of the domain keep their
// revision, also over a restart, and catch up once the partition heals.
func TestConfigurationReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(t)
		for _, n := range s.nodes {
			s.start(n)
		}
		advance(time.Second)
		first := s.change()
		advance(time.Second)
		for i, revision := range s.revisions() {
			assert.Equal(t, first, revision, "node %d", i)
			assert.True(t, s.nodes[i].follower.Ready(), "node %d", i)
		}

		s.partition("fd2")
		var last uint64
		for range 600 {
			last = s.change()
		}
		advance(30 * time.Second)
		restarted := s.nodes[treeNodes-1]
		restarted.stop()
		s.start(restarted)
		advance(30 * time.Second)
		for i, n := range s.nodes {
			want := last
			if n.peer.FailureDomain == "fd2" {
				want = first
			}
			assert.Equal(t, want, n.follower.Config().Revision, "node %d", i)
			assert.True(t, n.follower.Ready(), "node %d", i)
		}

		s.heal("fd2")
		advance(30 * time.Second)
		for i, revision := range s.revisions() {
			assert.Equal(t, last, revision, "node %d", i)
		}
		for _, r := range s.nodes[0].follower.InForce(t.Context()) {
			assert.True(t, r.Reached)
			assert.Equal(t, last, r.InForce)
		}
		s.stopAll()
	})
}

// TestRestartInPartitionWithLaggingKeeper guards against a restarted node that starts
// with the revision of its domain's lagging keeper, which is lower than the one in
// force on the domain's other nodes.
func TestRestartInPartitionWithLaggingKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHarness(t)
		for _, n := range s.nodes {
			s.start(n)
		}
		advance(time.Second)
		s.change()
		advance(time.Second)
		s.mu.Lock()
		s.lagging["fd2"] = state.New()
		s.mu.Unlock()
		last := s.change()
		advance(30 * time.Second)
		s.mu.Lock()
		s.partitioned["fd2"] = true
		s.mu.Unlock()
		restarted := s.nodes[treeNodes-1]
		restarted.stop()
		s.start(restarted)
		advance(30 * time.Second)
		assert.True(t, restarted.follower.Ready())
		assert.Equal(t, last, restarted.follower.Config().Revision)
		s.stopAll()
	})
}
