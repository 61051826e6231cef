package configwatch

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

// treeNode is a node of the harness: a watcher with its feed.
type treeNode struct {
	peer    Peer
	watcher *Watcher
	feed    *Feed
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
	h := &harness{t: t, machine: state.New(), partitioned: map[string]bool{}, lagging: map[string]*state.Machine{}}
	for i := range treeNodes {
		h.nodes = append(h.nodes, &treeNode{
			peer: Peer{ID: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("fd", i%treeDomains), Keeper: i < treeDomains},
		})
	}
	return h
}

func (h *harness) isPartitioned(from, to *treeNode) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, b := from.peer.FailureDomain, to.peer.FailureDomain
	return a != b && (h.partitioned[a] || h.partitioned[b])
}

// reach returns the feed of a node and the context that is canceled when the node
// stops, or an error if the node is not reachable.
func (h *harness) reach(from, to *treeNode) (*Feed, context.Context, error) {
	if h.isPartitioned(from, to) {
		return nil, nil, errUnreachable
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if to.running == nil || to.running.Err() != nil {
		return nil, nil, errUnreachable
	}
	return to.feed, to.running, nil
}

// link is a connection between two nodes. It fails while they are partitioned.
type link struct {
	harness  *harness
	from, to *treeNode
}

func (l link) Invoke(ctx context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	feed, _, err := l.harness.reach(l.from, l.to)
	if err != nil {
		return err
	}
	answer, err := feed.Held(ctx, &peerpb.HeldRequest{})
	response, _ := reply.(*peerpb.HeldResponse)
	proto.Merge(response, answer)
	return err
}

func (l link) NewStream(ctx context.Context, _ *grpc.StreamDesc, _ string, _ ...grpc.CallOption) (grpc.ClientStream, error) {
	feed, running, err := l.harness.reach(l.from, l.to)
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
		if s.link.harness.isPartitioned(s.link.from, s.link.to) {
			return errUnreachable
		}
		received, _ := m.(*peerpb.WatchEvent)
		proto.Merge(received, event)
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
func (h *harness) start(n *treeNode) {
	var peers []Peer
	for _, to := range h.nodes {
		peer := to.peer
		peer.Conn = link{h, n, to}
		peers = append(peers, peer)
	}
	w := New(Options{NodeID: n.peer.ID, Peers: peers, Log: zerolog.Nop()})
	feed := NewFeed(h.source(n.peer, w))
	w.OnUpdate(func(c *state.Config) { feed.Notify(c.Revision) })
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	n.watcher, n.feed, n.running = w, feed, ctx
	h.mu.Unlock()
	var goroutines sync.WaitGroup
	goroutines.Go(func() { w.Run(ctx) })
	n.stop = func() {
		cancel()
		goroutines.Wait()
	}
}

func (h *harness) source(peer Peer, w *Watcher) Source {
	if !peer.Keeper {
		return Source{Since: w.Since, KeeperAge: w.KeeperAge, Held: func(context.Context, bool) *peerpb.HeldResponse {
			revision := w.Config().Revision
			return &peerpb.HeldResponse{NodeId: peer.ID, InForce: revision, Held: revision}
		}}
	}
	committed := func() *state.Machine {
		if old := h.lagging[peer.FailureDomain]; old != nil {
			return old
		}
		return h.machine
	}
	return Source{
		Since: func(revision uint64) *peerpb.WatchEvent {
			h.mu.Lock()
			defer h.mu.Unlock()
			if w.Config().Revision > committed().Revision() {
				return w.Since(revision)
			}
			return committed().Since(revision)
		},
		KeeperAge: func() time.Duration {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.lagging[peer.FailureDomain] != nil {
				return NoContact
			}
			return 0
		},
		Held: func(context.Context, bool) *peerpb.HeldResponse {
			h.mu.Lock()
			defer h.mu.Unlock()
			inForce := w.Config().Revision
			return &peerpb.HeldResponse{NodeId: peer.ID, InForce: inForce, Held: max(inForce, committed().Revision()), Confirmed: true}
		},
	}
}

// change commits a change, notifies the keepers' feeds and returns the new revision.
func (h *harness) change() uint64 {
	h.mu.Lock()
	revision := h.machine.Revision()
	name := fmt.Sprint("vm-", revision)
	h.machine.Apply(0, &peerpb.Command{Body: &peerpb.Command_ConfigChange{ConfigChange: &peerpb.ConfigChange{
		ChangeId: name, Kind: string(api.KindLabels), Name: name, Spec: []byte(`{"labels":{}}`),
	}}})
	h.mu.Unlock()
	for _, n := range h.nodes[:treeDomains] {
		n.feed.Notify(revision + 1)
	}
	return revision + 1
}

// partition isolates a domain from the others. Its keeper keeps its current state.
func (h *harness) partition(domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, err := h.machine.Snapshot()
	require.NoError(h.t, err)
	old := state.New()
	require.NoError(h.t, old.Restore(data))
	h.partitioned[domain], h.lagging[domain] = true, old
}

func (h *harness) heal(domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.partitioned, domain)
	delete(h.lagging, domain)
}

func (h *harness) stopAll() {
	for _, n := range h.nodes {
		n.stop()
	}
}

func (h *harness) revisions() []uint64 {
	var out []uint64
	for _, n := range h.nodes {
		out = append(out, n.watcher.Config().Revision)
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
		h := newHarness(t)
		for _, n := range h.nodes {
			h.start(n)
		}
		advance(time.Second)
		first := h.change()
		advance(time.Second)
		for i, revision := range h.revisions() {
			assert.Equal(t, first, revision, "node %d", i)
			assert.True(t, h.nodes[i].watcher.Ready(), "node %d", i)
		}

		h.partition("fd2")
		var last uint64
		for range 600 {
			last = h.change()
		}
		advance(30 * time.Second)
		restarted := h.nodes[treeNodes-1]
		restarted.stop()
		h.start(restarted)
		advance(30 * time.Second)
		for i, n := range h.nodes {
			want := last
			if n.peer.FailureDomain == "fd2" {
				want = first
			}
			assert.Equal(t, want, n.watcher.Config().Revision, "node %d", i)
			assert.True(t, n.watcher.Ready(), "node %d", i)
		}

		h.heal("fd2")
		advance(30 * time.Second)
		for i, revision := range h.revisions() {
			assert.Equal(t, last, revision, "node %d", i)
		}
		for _, r := range h.nodes[0].watcher.QueryRevisions(t.Context()) {
			assert.True(t, r.Reached)
			assert.Equal(t, last, r.InForce)
		}
		h.stopAll()
	})
}

// TestRestartInPartitionWithLaggingKeeper guards against a restarted node that starts
// with the revision of its domain's lagging keeper, which is lower than the one in
// force on the domain's other nodes.
func TestRestartInPartitionWithLaggingKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		for _, n := range h.nodes {
			h.start(n)
		}
		advance(time.Second)
		h.change()
		advance(time.Second)
		h.mu.Lock()
		h.lagging["fd2"] = state.New()
		h.mu.Unlock()
		last := h.change()
		advance(30 * time.Second)
		h.mu.Lock()
		h.partitioned["fd2"] = true
		h.mu.Unlock()
		restarted := h.nodes[treeNodes-1]
		restarted.stop()
		h.start(restarted)
		advance(30 * time.Second)
		assert.True(t, restarted.watcher.Ready())
		assert.Equal(t, last, restarted.watcher.Config().Revision)
		h.stopAll()
	})
}
