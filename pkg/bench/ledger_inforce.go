package bench

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/configwatch"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	inForceDomains = 3
	inForceNodes   = 9
	inForceChanges = 300
	inForceTimeout = 30 * time.Second
	// inForceTarget is the time in seconds from accepted to in force at the 99th
	// percentile.
	inForceTarget = 1.0
	// claimWorkers run concurrently; each opens and records claimsEach claims in
	// sequence.
	claimWorkers = 64
	claimsEach   = 50
)

// inForceNode is one in-process node: a watcher with its feed and, on one node of
// each domain, a keeper with its log on disk.
type inForceNode struct {
	server   *grpc.Server
	keeper   *keeper.Keeper
	watcher  *configwatch.Watcher
	machine  *state.Machine
	listener net.Listener
}

// inForceHarness runs nine nodes on loopback.
type inForceHarness struct {
	nodes   []*inForceNode
	dialer  *peers.Dialer
	cancel  context.CancelFunc
	servers sync.WaitGroup
	updates chan uint64
}

// measureInForce measures the time from sending a change until it is in force on
// nine nodes, through three keepers and gRPC.
func measureInForce(ctx context.Context, r *Report) error {
	folder, err := os.MkdirTemp("", "mastic-bench-ledger-")
	if err != nil {
		return fmt.Errorf("create folder for the keepers: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	h, err := newInForceHarness(ctx, folder)
	if err != nil {
		return err
	}
	defer h.close()
	accepted := hdrhistogram.New(1, inForceTimeout.Microseconds(), 3)
	inForce := hdrhistogram.New(1, inForceTimeout.Microseconds(), 3)
	if err := h.change(ctx, 0, accepted, inForce); err != nil {
		return err
	}
	accepted.Reset()
	inForce.Reset()
	for i := 1; i <= inForceChanges; i++ {
		if err := h.change(ctx, i, accepted, inForce); err != nil {
			return err
		}
	}
	const microsecond = 1e-6
	r.AddValue(ledgerSuite, "change sent to accepted by three keepers, p50", float64(accepted.ValueAtQuantile(50))*microsecond, "s")
	r.AddValue(ledgerSuite, "change sent to accepted by three keepers, p99", float64(accepted.ValueAtQuantile(99))*microsecond, "s")
	r.AddValue(ledgerSuite, "accepted to in force on nine nodes, p50", float64(inForce.ValueAtQuantile(50))*microsecond, "s")
	r.AddAtMost(ledgerSuite, "accepted to in force on nine nodes, p99", float64(inForce.ValueAtQuantile(99))*microsecond, inForceTarget, "s")
	return h.measureClaims(ctx, r)
}

// measureClaims measures the rate and the latency of claims that are opened and
// recorded through three keepers.
func (h *inForceHarness) measureClaims(ctx context.Context, r *Report) error {
	opened := hdrhistogram.New(1, inForceTimeout.Microseconds(), 3)
	times := make(chan int64, claimWorkers*claimsEach)
	failures := make(chan error, claimWorkers)
	var workers sync.WaitGroup
	start := time.Now()
	for w := range claimWorkers {
		workers.Go(func() { failures <- h.claim(ctx, w, times) })
	}
	workers.Wait()
	rate := claimWorkers * claimsEach / time.Since(start).Seconds()
	close(times)
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	for t := range times {
		if err := opened.RecordValue(t); err != nil {
			return err
		}
	}
	r.AddAtLeast(ledgerSuite, "claims opened and recorded through three keepers, 64 at once", rate, 1000, "per s")
	r.AddValue(ledgerSuite, "claim opened, p50", float64(opened.ValueAtQuantile(50))/1e3, "ms")
	r.AddValue(ledgerSuite, "claim opened, p99", float64(opened.ValueAtQuantile(99))/1e3, "ms")
	return nil
}

// claim opens and records claims in sequence through one node.
func (h *inForceHarness) claim(ctx context.Context, worker int, times chan<- int64) error {
	node := h.nodes[worker%inForceNodes]
	store := claims.NewReplicated(fmt.Sprint("n", worker%inForceNodes), node.watcher.Propose, zerolog.Nop())
	for i := range claimsEach {
		key := claims.Key{Account: "school", Value: fmt.Sprintf("grant-%d-%d", worker, i)}
		sent := time.Now()
		if _, err := store.Claim(ctx, key, claims.Fingerprint{}); err != nil {
			return err
		}
		times <- time.Since(sent).Microseconds()
		if err := store.Record(ctx, key, claims.Answer{Status: 201, Body: make([]byte, ledgerAnswerBytes)}); err != nil {
			return err
		}
	}
	return nil
}

func newInForceHarness(ctx context.Context, folder string) (*inForceHarness, error) {
	h := &inForceHarness{dialer: peers.NewDialer(nil), updates: make(chan uint64, inForceNodes*inForceChanges*2)}
	var all []configwatch.Peer
	var keepers []keeper.Peer
	for i := range inForceNodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		address := listener.Addr().String()
		conn, err := h.dialer.Dial(address)
		if err != nil {
			return nil, err
		}
		peer := configwatch.Peer{ID: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("fd", i%inForceDomains), Keeper: i < inForceDomains, Conn: conn}
		all = append(all, peer)
		if peer.Keeper {
			keepers = append(keepers, keeper.Peer{NodeID: peer.ID, Address: address})
		}
		h.nodes = append(h.nodes, &inForceNode{server: grpc.NewServer(), machine: state.New(), listener: listener})
	}
	ctx, h.cancel = context.WithCancel(ctx)
	for i, n := range h.nodes {
		if err := h.start(ctx, n, all[i], all, keepers, folder); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *inForceHarness) start(ctx context.Context, n *inForceNode, self configwatch.Peer, all []configwatch.Peer, keepers []keeper.Peer, folder string) error {
	n.watcher = configwatch.New(configwatch.Options{NodeID: self.ID, Peers: all, Log: zerolog.Nop()})
	feed := configwatch.NewFeed(n.source(self))
	feed.Register(n.server)
	if self.Keeper {
		n.keeper = keeper.New(keeper.Options{
			Machine: n.machine, NodeID: self.ID, Address: n.listener.Addr().String(), Keepers: keepers,
			Folder: filepath.Join(folder, self.ID), Dialer: h.dialer, Log: zerolog.Nop(),
			OnApplied: func(uint64) { feed.Notify(n.machine.Revision()) },
		})
		n.keeper.Register(n.server)
		if err := n.keeper.Open(); err != nil {
			return err
		}
	}
	n.watcher.OnUpdate(func(c *state.Config) {
		feed.Notify(c.Revision)
		h.updates <- c.Revision
	})
	h.servers.Go(func() { _ = n.server.Serve(n.listener) })
	h.servers.Go(func() { n.watcher.Run(ctx) })
	return nil
}

// source returns the committed state on a keeper and the configuration in force on
// other nodes.
func (n *inForceNode) source(self configwatch.Peer) configwatch.Source {
	source := configwatch.Source{Since: n.watcher.Since, KeeperAge: n.watcher.KeeperAge}
	if self.Keeper {
		source.KeeperAge = func() time.Duration { return 0 }
		source.Since = func(revision uint64) (event *peerpb.WatchEvent) {
			n.keeper.Read(func() { event = n.machine.Since(revision) })
			return event
		}
	}
	source.Held = func(context.Context, bool) *peerpb.HeldResponse {
		revision := n.watcher.Config().Revision
		return &peerpb.HeldResponse{NodeId: self.ID, InForce: revision, Held: revision, Confirmed: self.Keeper}
	}
	return source
}

// change proposes one change through a node without a keeper and waits until it is
// in force on all nodes.
func (h *inForceHarness) change(ctx context.Context, i int, accepted, inForce *hdrhistogram.Histogram) error {
	name := ledgerName{api.KindLabels, fmt.Sprint("worker-", i)}
	command := changeCommand(name, 0, fmt.Sprint("in-force-", i), objectSpec(2))
	proposer := h.nodes[inForceNodes-1].watcher
	sent := time.Now()
	res, err := proposer.Propose(ctx, command)
	for err != nil && fault.IsKind(err, fault.NoQuorum) && time.Since(sent) < inForceTimeout {
		res, err = proposer.Propose(ctx, command)
	}
	if err != nil {
		return err
	}
	done := time.Now()
	if err := accepted.RecordValue(done.Sub(sent).Microseconds()); err != nil {
		return err
	}
	timeout := time.After(inForceTimeout)
	for missing := inForceNodes; missing > 0; {
		select {
		case revision := <-h.updates:
			if revision == res.GetRevision() {
				missing--
			}
		case <-timeout:
			return fmt.Errorf("revision %d is not in force on %d nodes after %s", res.GetRevision(), missing, inForceTimeout)
		}
	}
	return inForce.RecordValue(max(time.Since(done).Microseconds(), 1))
}

func (h *inForceHarness) close() {
	h.cancel()
	for _, n := range h.nodes {
		if n.keeper != nil {
			n.keeper.Close()
		}
		n.server.Stop()
	}
	h.servers.Wait()
	h.dialer.Close()
}
