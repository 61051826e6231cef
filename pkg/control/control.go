// Package control implements the fleet service of a keeper: it accepts announcements and
// configuration documents, distributes both to entries and other keepers, and acts as the
// coordinator of the engines while it leads the region log.
package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/grouping"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/mechanism"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/ring"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/statement"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// inboxSize bounds the events that wait for the event loop. The oldest is dropped:
	// announcements are repeated, and the planner repeats its orders.
	inboxSize = 4096
	// orderQueueSize bounds the orders that wait to be sent. An order that does not fit is
	// reported to the planner as not sent, and the planner gives it again.
	orderQueueSize = 512
	// orderSenders is the maximum number of orders in flight.
	orderSenders = 16
	// planInterval is the time between two plans without events.
	planInterval = 100 * time.Millisecond
	// minPlanInterval is the shortest time between two plans that events trigger.
	minPlanInterval = 20 * time.Millisecond
)

// OrderSender sends orders to engines.
type OrderSender interface {
	// SendOrder sends one order and returns its outcome.
	SendOrder(ctx context.Context, order grouping.Order) grouping.Result
}

// Options configure a Control.
type Options struct {
	Keeper  *keeper.Keeper
	Machine *state.Machine
	Dialer  *peers.Dialer
	// Address is the address at which other nodes reach this one.
	Address       string
	FailureDomain string
	// DataFolder is the folder in which crash evidence survives a restart; empty stores none.
	DataFolder string
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// StallTimeout is the time after which a group that lacks a member counts as broken.
	StallTimeout time.Duration
	// Bootstrap is true when the whole region starts for the first time.
	Bootstrap   bool
	OrderSender OrderSender
	// Decode decodes the content of a document.
	Decode document.Decoder
	// Mechanisms selects the mechanisms that are enabled; the zero value enables all.
	Mechanisms mechanism.Set
	Metrics    *telemetry.Registry
	Log        zerolog.Logger
}

// Control runs the fleet service of a keeper.
type Control struct {
	peerpb.UnimplementedFleetServer

	opts   Options
	inbox  *ring.Ring[event]
	orders *ring.Ring[queuedOrder]

	// mu guards the directory, the document, the loads, their change versions and the crash
	// evidence.
	mu        sync.Mutex
	directory *fleet.Directory
	changes   changes
	document  *document.Document
	content   *peerpb.DocumentChange
	loads     loadSums
	crashes   *quarantine.Table
	// statements are what upstreams stated in their answers, as entries reported it.
	statements *statement.Table
	// limits grants entries requests to those that state limits.
	limits *statement.Dispenser
	// tunnels are the attached entries as other entries reach upstreams through them.
	tunnels tunnelPeers
	// seenDepartures is the version of the committed departures that the directory has.
	seenDepartures uint64
	// evidenceChanged signals that the crash evidence has to be stored.
	evidenceChanged chan struct{}

	confirmations confirmations
	links         linkCounts
	linkReporter  linkReporter
	relays        relays

	planner *grouping.Planner
	// plannerTerm is the term of the planner; 0 without one.
	plannerTerm uint64
	// leaderTerm is the term in which this keeper plans; 0 while it does not lead, or planning is
	// suspended.
	leaderTerm atomic.Uint64
	// leadsSince is when this keeper began to plan, or resumed it.
	leadsSince  time.Time
	trafficSeen bool
	demand      demand
	downtime    downtime
	lastPlanAt  time.Time
	gaugesSetAt time.Time
	// pausedUntil is the time before which a keeper that was paused does not plan.
	pausedUntil time.Time
}

// New returns a control that is not running yet.
func New(opts Options) *Control {
	if opts.Metrics == nil {
		opts.Metrics = telemetry.New("")
	}
	c := &Control{
		opts:   opts,
		inbox:  ring.New[event](inboxSize, ring.DropOldest),
		orders: ring.New[queuedOrder](orderQueueSize, ring.RejectNew),

		directory: fleet.NewDirectory(opts.AnnounceInterval), crashes: quarantine.NewTable(), statements: statement.NewTable(), evidenceChanged: make(chan struct{}, 1),
	}
	c.limits = statement.NewDispenser(c.statements, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 3)))
	c.changes.init()
	c.loads.init()
	c.confirmations.init()
	c.relays.init(c)
	return c
}

// Register registers the fleet service with a gRPC server.
func (c *Control) Register(s grpc.ServiceRegistrar) { peerpb.RegisterFleetServer(s, c) }

// Run serves until ctx ends.
func (c *Control) Run(ctx context.Context) {
	c.opts.Keeper.Read(c.Applied)
	var workers sync.WaitGroup
	for range orderSenders {
		workers.Go(func() { c.sendOrders(ctx) })
	}
	workers.Go(func() { c.serveConfirmations(ctx) })
	workers.Go(func() { c.relays.run(ctx) })
	workers.Go(func() { c.storeCrashEvidence(ctx) })
	c.eventLoop(ctx)
	workers.Wait()
}

// eventLoop handles events and plans until ctx ends. No other goroutine uses the planner.
func (c *Control) eventLoop(ctx context.Context) {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.inbox.Chan():
			e.handle(c, boottime.Now())
			c.drainInbox()
		case <-tick.C:
			c.expire(boottime.Now())
			c.reportLinks(boottime.Now())
		}
		c.plan(boottime.Now())
	}
}

func (c *Control) drainInbox() {
	for range inboxSize {
		select {
		case e := <-c.inbox.Chan():
			e.handle(c, boottime.Now())
		default:
			return
		}
	}
}

// Applied puts in force what the state machine has applied: the document, and departures of
// upstreams. It is called after each batch of commands, only by the goroutine that applies commands, and
// does not block.
func (c *Control) Applied() {
	c.putInForce(c.opts.Machine.Document())
	c.recordDepartures()
}

// putInForce decodes a committed document and puts it in force if it is newer than the
// current one.
func (c *Control) putInForce(change *peerpb.DocumentChange) {
	if change.GetVersion() <= c.documentVersion() {
		return
	}
	decoded, err := c.opts.Decode.DecodePacked(change.GetContent())
	if err != nil {
		c.opts.Log.Error().Err(err).Uint64("version", change.GetVersion()).Msg("document_not_decoded")
		return
	}
	c.mu.Lock()
	if change.GetVersion() > c.content.GetVersion() {
		c.content, c.document = change, decoded
		c.changes.bump()
	}
	c.mu.Unlock()
	c.opts.Log.Info().Uint64("version", change.GetVersion()).Int("routes", len(decoded.Routes)).Msg("document_in_force")
}
