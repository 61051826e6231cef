package domain

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/coordinator"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/placement"
	"github.com/masticmount/masticmount/pkg/ring"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// eventQueueSize limits the events queued for the core. When the queue is full the
	// oldest event is dropped; announcements and packets are sent periodically.
	eventQueueSize = 8192
	// orderQueueSize limits the orders queued for sending. When the queue is full new
	// orders are rejected; the planner sends them again.
	orderQueueSize = 1024
	// orderWorkers is the number of orders sent concurrently.
	orderWorkers = 16
	// viewInterval is the time between two views, unless new evidence requires one
	// earlier.
	viewInterval = 100 * time.Millisecond
	// maxViewAge is the age from which a view is assumed to predate a pause.
	maxViewAge = time.Second
)

// OrderSender sends an order to an engine.
type OrderSender interface {
	SendOrder(ctx context.Context, address string, order api.Order) error
}

// CrashEvidence is the evidence against content that crashes upstreams, which the nodes of the
// region exchange.
type CrashEvidence interface {
	// Encode returns the evidence that was added after a version, nil if there is none, and the
	// version now.
	Encode(after uint64) (*peerpb.CrashEvidence, uint64)
	Merge(e *peerpb.CrashEvidence)
	// Subscribe has a function called after each change; it must not block.
	Subscribe(changed func())
}

// Peer is another node of the region.
type Peer struct {
	ID            string
	FailureDomain string
	// Conn is the connection to the peer.
	Conn *grpc.ClientConn
}

// Options configure a Domain.
type Options struct {
	Node          string
	FailureDomain string
	// Peers are the other nodes of the region.
	Peers       []Peer
	OrderSender OrderSender
	// Config returns the current configuration, or nil while it is not known.
	Config func() *state.Config
	// CrashEvidence may be nil.
	CrashEvidence CrashEvidence
	// Metrics may be nil.
	Metrics *telemetry.Registry
	Log     zerolog.Logger
}

// Domain runs a Core: it passes events from the network and the clock to it,
// carries out its actions and publishes views.
type Domain struct {
	opts    Options
	clock   clock
	core    *Core
	events  *ring.Ring[Event]
	orders  *ring.Ring[placement.SendOrder]
	links   map[string]*peerLink
	view    atomic.Pointer[View]
	config  *state.Config
	metrics *metrics
	// isCoordinator is true while this node is coordinator.
	isCoordinator atomic.Bool

	lastPublished time.Time
	stopping      chan struct{}
	stopOnce      sync.Once
}

// New returns a domain without upstreams.
func New(opts Options) *Domain {
	if opts.Metrics == nil {
		opts.Metrics = telemetry.New("")
	}
	d := &Domain{
		opts: opts, clock: newClock(),
		events:   ring.New[Event](eventQueueSize, ring.DropOldest),
		orders:   ring.New[placement.SendOrder](orderQueueSize, ring.RejectNew),
		links:    map[string]*peerLink{},
		metrics:  newMetrics(opts.Metrics),
		stopping: make(chan struct{}),
	}
	nodes := []coordinator.Node{{Node: opts.Node, FailureDomain: opts.FailureDomain}}
	for _, p := range opts.Peers {
		nodes = append(nodes, coordinator.Node{Node: p.ID, FailureDomain: p.FailureDomain})
		d.links[p.ID] = newPeerLink(p, opts.CrashEvidence, func() { d.events.Push(PeerConnected{Peer: p.ID}) })
	}
	now := d.clock.now()
	d.core = NewCore(now, CoreOptions{
		Node: opts.Node, Incarnation: uint64(now.UnixMilli()), FailureDomain: opts.FailureDomain, Nodes: nodes,
	})
	d.view.Store(&View{})
	return d
}

// View returns the latest view; it is never nil. After a pause of this process it
// is empty until a new one has been built, since members may have failed during
// the pause.
func (d *Domain) View() *View {
	view := d.view.Load()
	if d.clock.now().Sub(view.builtAt) >= maxViewAge {
		return &View{Version: view.Version}
	}
	return view
}

// Announce queues an upstream's announcement for the core.
func (d *Domain) Announce(a api.Announcement) { d.events.Push(AnnouncementReceived{a}) }

// Report queues evidence from a dispatch. Unless it is latency evidence, the
// upstream's group gets no work from the next view on.
func (d *Domain) Report(e membership.Evidence) { d.events.Push(EvidenceReported{e}) }

// ReportFailure queues the evidence that follows from the reason for which a
// dispatch failed, if any.
func (d *Domain) ReportFailure(upstreamID, reason string) {
	if evidence, ok := evidenceFor(upstreamID, reason); ok {
		d.Report(evidence)
	}
}

// evidenceFor returns the evidence that follows from the reason for which a
// dispatch failed. An exceeded deadline may be caused by the request, so it
// counts only as latency evidence.
func evidenceFor(upstreamID, reason string) (e membership.Evidence, ok bool) {
	e.Upstream = upstreamID
	switch dispatch.Reason(reason) {
	case dispatch.DialFailed:
		e.Kind = membership.Refused
	case dispatch.WriteFailed, dispatch.Truncated:
		e.Kind = membership.ConnectionBroken
	case dispatch.TimedOut:
		e.Kind, e.Ratio = membership.Latency, membership.SlowRatio
	default:
		return e, false
	}
	return e, true
}

// IsCoordinator reports whether this node was coordinator at the last step of its core.
func (d *Domain) IsCoordinator() bool { return d.isCoordinator.Load() }

// ReleaseLease releases the coordinator's lease before a planned stop.
func (d *Domain) ReleaseLease() { d.stopOnce.Do(func() { close(d.stopping) }) }

// Register registers the DomainPeer service on a gRPC server.
func (d *Domain) Register(server *grpc.Server) {
	peerpb.RegisterDomainPeerServer(server, &linkServer{events: d.events, evidence: d.opts.CrashEvidence})
}

// Run runs the domain until ctx is done.
func (d *Domain) Run(ctx context.Context) {
	var workers sync.WaitGroup
	for _, link := range d.links {
		workers.Go(func() { link.run(ctx) })
	}
	for range orderWorkers {
		workers.Go(func() { d.sendOrders(ctx) })
	}
	d.runCore(ctx)
	workers.Wait()
}

// runCore is the event loop of the core.
func (d *Domain) runCore(ctx context.Context) {
	tick := time.NewTicker(TickInterval)
	defer tick.Stop()
	stopping := d.stopping
	for {
		select {
		case <-ctx.Done():
			return
		case <-stopping:
			stopping = nil
			d.step(Stopping{})
		case event := <-d.events.Chan():
			d.step(event)
		case <-tick.C:
			d.applyConfig()
			d.step(Tick{})
			d.publish()
		}
	}
}

// applyConfig passes a changed configuration to the core.
func (d *Domain) applyConfig() {
	if config := d.opts.Config(); config != nil && config != d.config {
		d.config = config
		d.step(ConfigChanged{config})
	}
}

func (d *Domain) step(event Event) {
	for _, action := range d.core.Step(d.clock.now(), event) {
		d.execute(action)
	}
	if reported, ok := event.(EvidenceReported); ok && reported.Evidence.Kind != membership.Latency {
		d.lastPublished = time.Time{}
		d.publish()
	}
}

func (d *Domain) execute(action Action) {
	switch a := action.(type) {
	case SendPacket:
		d.links[a.To].enqueue(a.Packet)
		d.metrics.packetSent()
	case SendOrder:
		d.orders.Push(a.SendOrder)
	case CoordinatorChanged:
		d.isCoordinator.Store(a.Fence != 0)
		d.metrics.coordinatorChanged(a)
		d.opts.Log.Info().Uint64("fence", a.Fence).Str("reason", a.Reason).Bool("steward", a.Fence != 0).Msg("steward_changed")
	case GroupChanged:
		d.metrics.groupChanged(a)
		d.opts.Log.Info().Str("group", a.Group).Str("change", string(a.Change)).Strs("members", a.Members).Msg("group_changed")
	}
}

// publish builds and stores a new view once viewInterval has passed.
func (d *Domain) publish() {
	now := d.clock.now()
	if now.Sub(d.lastPublished) < viewInterval {
		return
	}
	d.lastPublished = now
	view := d.core.View(now)
	view.Version, view.builtAt = d.view.Load().Version+1, now
	d.view.Store(view)
	d.metrics.observe(now, view)
}

// sendOrders sends queued orders to engines until ctx is done.
func (d *Domain) sendOrders(ctx context.Context) {
	for {
		o, ok := d.orders.Pop(ctx)
		if !ok {
			return
		}
		d.sendOrder(ctx, o)
	}
}

// sendOrder sends an order unless its deadline has passed, since the coordinator's
// lease may have ended while the order was queued.
func (d *Domain) sendOrder(ctx context.Context, o placement.SendOrder) {
	remaining := o.Deadline.Sub(d.clock.now())
	if remaining <= 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	if err := d.opts.OrderSender.SendOrder(bounded, o.Address, o.Order); err != nil {
		d.metrics.orderFailed()
		d.opts.Log.Warn().Err(err).Str("upstream", o.To).Uint64("generation", o.Order.Generation).Msg("order_failed")
	}
}

// clock returns time that is not affected by adjustments of the wall clock.
type clock struct{ base time.Time }

func newClock() clock { return clock{base: time.Now()} }

func (c clock) now() time.Time { return c.base.Round(0).Add(time.Since(c.base)) }
