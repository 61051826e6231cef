package domain

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
	"github.com/masticmount/masticmount/pkg/state"
)

const bufferBytes = 1 << 16

// evidenceNode is a node whose domain exchanges crash evidence with its peers.
type evidenceNode struct {
	id       string
	store    *evidence.Store
	listener atomic.Pointer[bufconn.Listener]
	stop     func()
}

func startEvidenceNode(t *testing.T, id string, store *evidence.Store, peers ...*evidenceNode) *evidenceNode {
	n := &evidenceNode{id: id, store: store}
	listener := bufconn.Listen(bufferBytes)
	n.listener.Store(listener)
	opts := Options{Node: id, FailureDomain: "fd", CrashEvidence: store, Config: func() *state.Config { return nil }}
	for _, p := range peers {
		conn, err := grpc.NewClient("passthrough:"+p.id, grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return p.listener.Load().DialContext(ctx) }))
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		opts.Peers = append(opts.Peers, Peer{ID: p.id, FailureDomain: "fd", Conn: conn})
	}
	d := New(opts)
	server := grpc.NewServer()
	d.Register(server)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(listener) })
	running.Go(func() { d.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		server.Stop()
		running.Wait()
	})
	t.Cleanup(n.stop)
	return n
}

// requireEvidence waits until the node has evidence against the content.
func (n *evidenceNode) requireEvidence(t *testing.T, contents ...string) {
	changed := make(chan struct{}, 1)
	n.store.Subscribe(func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	for {
		if finding, found := n.store.Check(contents); found {
			require.Equal(t, 3, finding.Crashes)
			return
		}
		<-changed
	}
}

func crashesBy(now time.Time, content string) (crashes []quarantine.Crash) {
	for i, upstream := range []string{"u1", "u2", "u3"} {
		crashes = append(crashes, quarantine.Crash{Upstream: upstream, Service: "desk", Contents: []string{content}, At: now.Add(time.Duration(i-4) * time.Second)})
	}
	return crashes
}

// Content that crashed upstreams before one node would crash them again before each other one.
func TestCrashEvidenceReachesNodesThatHaveNoLinkToItsOrigin(t *testing.T) {
	last := startEvidenceNode(t, "last", evidence.New(evidence.Options{}))
	middle := startEvidenceNode(t, "middle", evidence.New(evidence.Options{}), last)
	first := startEvidenceNode(t, "first", evidence.New(evidence.Options{}), middle)
	first.store.AddCrashes(crashesBy(first.store.Now(), "p"))
	first.store.ObserveSuccess("desk", []string{"another"})
	middle.requireEvidence(t, "p")
	last.requireEvidence(t, "p")
}

// A node that starts again gets what it had forgotten.
func TestNodeThatStartsAgainGetsCrashEvidence(t *testing.T) {
	receiver := startEvidenceNode(t, "receiver", evidence.New(evidence.Options{}))
	sender := startEvidenceNode(t, "sender", evidence.New(evidence.Options{}), receiver)
	sender.store.AddCrashes(crashesBy(sender.store.Now(), "p"))
	sender.store.ObserveSuccess("desk", []string{"another"})
	receiver.requireEvidence(t, "p")

	receiver.stop()
	restarted := startEvidenceNode(t, "receiver", evidence.New(evidence.Options{}))
	receiver.listener.Store(restarted.listener.Load())
	restarted.requireEvidence(t, "p")
}
