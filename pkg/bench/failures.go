package bench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	failureNodes   = 3
	failureEngines = 6
	// settleTimeout bounds the wait for groups to become whole.
	settleTimeout = 20 * time.Second
	pollInterval  = 5 * time.Millisecond
)

var errNotSettled = errors.New("the groups did not become whole in time; see the log of the coordinator")

// timedFailures measures failure detection and recovery with real clocks and
// connections: three nodes, six engines in one fabric domain, one group of four
// and two spares.
func timedFailures(ctx context.Context, r *Report) error {
	var failover, detected, refused, silent []time.Duration
	for range timedRuns {
		d, err := runTimed(ctx, killCoordinator)
		if err != nil {
			return err
		}
		failover = append(failover, d...)
		if d, err = runTimed(ctx, killMember(true)); err != nil {
			return err
		}
		detected, refused = append(detected, d[0]), append(refused, d[1])
		if d, err = runTimed(ctx, killMember(false)); err != nil {
			return err
		}
		detected, silent = append(detected, d[0]), append(silent, d[1])
	}
	r.AddAtMost(groupsSuite, "new steward after kill, slowest of 5", slices.Max(failover).Seconds(), 3, "s")
	r.AddAtMost(groupsSuite, "dead member detected, slowest of 10", slices.Max(detected).Seconds(), 2, "s")
	r.AddAtMost(groupsSuite, "member killed to group serving, refused, slowest of 5", slices.Max(refused).Seconds(), 5, "s")
	r.AddAtMost(groupsSuite, "member killed to group serving, silent, slowest of 5", slices.Max(silent).Seconds(), 5, "s")
	return nil
}

// failure injects a failure and returns the measured detection or recovery times.
type failure func(c *cluster) ([]time.Duration, error)

func runTimed(ctx context.Context, fail failure) ([]time.Duration, error) {
	c, err := newCluster(ctx)
	if err != nil {
		return nil, err
	}
	defer c.close()
	if !c.wait(func() bool { return c.wholeWithout("") }) {
		return nil, errNotSettled
	}
	return fail(c)
}

func killCoordinator(c *cluster) ([]time.Duration, error) {
	old := c.coordinator()
	start := time.Now()
	c.nodes[old].stop()
	if !c.wait(func() bool { next := c.coordinator(); return next >= 0 && next != old }) {
		return nil, errNotSettled
	}
	return []time.Duration{time.Since(start)}, nil
}

// killMember stops the member of rank 0. With refused, an entry also reports that
// a dispatch to it was refused, as when nothing listens on its port.
func killMember(refused bool) failure {
	return func(c *cluster) ([]time.Duration, error) {
		victim := c.nodes[0].domain.View().Groups[0].Members[0].ID
		start := time.Now()
		c.engines[victim].kill()
		var detected time.Duration
		if refused {
			c.nodes[0].domain.Report(membership.Evidence{Upstream: victim, Kind: membership.Refused})
		}
		if !c.wait(func() bool { return !c.anyWhole() }) {
			return nil, errNotSettled
		}
		detected = time.Since(start)
		if !c.wait(func() bool { return c.wholeWithout(victim) }) {
			return nil, errNotSettled
		}
		return []time.Duration{detected, time.Since(start)}, nil
	}
}

// cluster is a failure domain of real nodes in one process.
type cluster struct {
	nodes   []*clusterNode
	engines map[string]*clusterEngine
}

type clusterNode struct {
	domain  *domain.Domain
	server  *grpc.Server
	conns   []*grpc.ClientConn
	cancel  context.CancelFunc
	done    sync.WaitGroup
	metrics *telemetry.Registry
	stopped atomic.Bool
}

type clusterEngine struct {
	mu     sync.Mutex
	engine *fleetEngine
	dead   bool
	cancel context.CancelFunc
}

func (e *clusterEngine) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
}

func (e *clusterEngine) nextAnnouncement() (api.Announcement, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.engine.nextAnnouncement(), !e.dead
}

// SendOrder implements domain.OrderSender.
func (c *cluster) SendOrder(_ context.Context, address string, order api.Order) error {
	for _, e := range c.engines {
		if e.engine.announcement.Address == address {
			return e.order(order)
		}
	}
	return fmt.Errorf("no engine at %s; check its address", address)
}

func (e *clusterEngine) order(order api.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return errors.New("connection refused; restart the engine")
	}
	e.engine.apply(order)
	return nil
}

func newCluster(ctx context.Context) (*cluster, error) {
	c := &cluster{engines: map[string]*clusterEngine{}}
	for i := range failureEngines {
		e := newFleetEngine(i)
		c.engines[e.announcement.ID] = &clusterEngine{engine: e}
	}
	listeners := make([]net.Listener, failureNodes)
	for i := range listeners {
		var err error
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	config := fleetConfig(failureEngines)
	for i := range listeners {
		n, err := c.startNode(ctx, i, listeners, config)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, e := range c.engines {
		c.announce(ctx, e)
	}
	return c, nil
}

func (c *cluster) startNode(ctx context.Context, i int, listeners []net.Listener, config *state.Config) (*clusterNode, error) {
	n := &clusterNode{server: grpc.NewServer(), metrics: telemetry.New("")}
	var peers []domain.Peer
	for j, l := range listeners {
		if j == i {
			continue
		}
		conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, fmt.Errorf("peer %s: %w", l.Addr(), err)
		}
		n.conns = append(n.conns, conn)
		peers = append(peers, domain.Peer{ID: nodeName(j), FailureDomain: "fd-a", Conn: conn})
	}
	n.domain = domain.New(domain.Options{
		Node: nodeName(i), FailureDomain: "fd-a", Peers: peers, OrderSender: c,
		Config: func() *state.Config { return config }, Metrics: n.metrics, Log: zerolog.Nop(),
	})
	n.domain.Register(n.server)
	running, cancel := context.WithCancel(ctx)
	n.cancel = cancel
	n.done.Go(func() { _ = n.server.Serve(listeners[i]) })
	n.done.Go(func() { n.domain.Run(running) })
	return n, nil
}

func nodeName(i int) string { return fmt.Sprintf("a%d", i+1) }

// stop ends a node without a graceful shutdown, as a kill does.
func (n *clusterNode) stop() {
	if n.stopped.Swap(true) {
		return
	}
	n.cancel()
	n.server.Stop()
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.done.Wait()
}

// announce sends the announcements of an engine to its node, or to the next node
// that runs.
func (c *cluster) announce(ctx context.Context, e *clusterEngine) {
	running, cancel := context.WithCancel(ctx)
	e.cancel = cancel
	tick := time.NewTicker(api.AnnounceInterval)
	go func() {
		defer tick.Stop()
		for home := e.engine.home; ; {
			for c.nodes[home%len(c.nodes)].stopped.Load() {
				home++
			}
			if a, alive := e.nextAnnouncement(); alive {
				c.nodes[home%len(c.nodes)].domain.Announce(a)
			}
			select {
			case <-tick.C:
			case <-running.Done():
				return
			}
		}
	}()
}

func (c *cluster) close() {
	for _, e := range c.engines {
		e.cancel()
	}
	for _, n := range c.nodes {
		n.stop()
	}
}

func (c *cluster) wait(condition func() bool) bool {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); <-tick.C {
		if condition() {
			return true
		}
	}
	return false
}

// coordinator returns the index of the node that is coordinator, or -1.
func (c *cluster) coordinator() int {
	return slices.IndexFunc(c.nodes, func(n *clusterNode) bool { return !n.stopped.Load() && n.domain.IsCoordinator() })
}

// wholeWithout reports whether every running node sees a whole group, none with
// the named upstream.
func (c *cluster) wholeWithout(id string) bool {
	for _, n := range c.nodes {
		if n.stopped.Load() {
			continue
		}
		groups := n.domain.View().Groups
		whole := slices.ContainsFunc(groups, func(g *domain.Group) bool {
			return g.Whole && !slices.ContainsFunc(g.Members, func(m domain.Member) bool { return m.ID == id })
		})
		if !whole {
			return false
		}
	}
	return true
}

func (c *cluster) anyWhole() bool {
	return slices.ContainsFunc(c.nodes, func(n *clusterNode) bool {
		return !n.stopped.Load() && slices.ContainsFunc(n.domain.View().Groups, func(g *domain.Group) bool { return g.Whole })
	})
}
