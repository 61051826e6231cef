package control

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/ring"
)

const (
	// relayQueueSize bounds the batches that wait for one keeper. The oldest is dropped, as
	// announcements are repeated.
	relayQueueSize = 256
	// relayBatchDelay is the delay before a batch is sent, so that later changes join it.
	relayBatchDelay = 25 * time.Millisecond
	// relayReconnectDelay is the delay before a broken stream is opened again.
	relayReconnectDelay = 300 * time.Millisecond
	// membershipCheckInterval is the time between two checks of the membership.
	membershipCheckInterval = time.Second
)

// relays forward to the other keepers what entries and upstreams send to this one.
type relays struct {
	control *Control
	mu      sync.Mutex
	links   map[string]*relayLink
	// sentLoads is true when the loads sent last were not empty.
	sentLoads bool
	workers   sync.WaitGroup
}

// relayLink queues the batches for one other keeper.
type relayLink struct {
	address string
	batches *ring.Ring[*peerpb.RelayBatch]
	stop    context.CancelFunc
}

func (r *relays) init(c *Control) { r.control, r.links = c, map[string]*relayLink{} }

// run maintains a link to each other keeper until ctx ends.
func (r *relays) run(ctx context.Context) {
	defer r.workers.Wait()
	membershipTick := time.NewTicker(membershipCheckInterval)
	defer membershipTick.Stop()
	loadTick := time.NewTicker(loadInterval)
	defer loadTick.Stop()
	r.updateLinks(ctx)
	for {
		select {
		case <-membershipTick.C:
			r.updateLinks(ctx)
		case <-loadTick.C:
			r.sendLoads()
		case <-ctx.Done():
			return
		}
	}
}

// sendLoads sends the loads of this keeper's entries to the other keepers. Empty loads are
// sent once.
func (r *relays) sendLoads() {
	r.control.mu.Lock()
	sums := r.control.loads.local(boottime.Now())
	r.control.mu.Unlock()
	nonEmpty := sums.GetEntries() > 0 || len(sums.GetRepeats()) > 0
	if nonEmpty || r.sentLoads {
		r.push(&peerpb.RelayBatch{Loads: sums})
	}
	r.sentLoads = nonEmpty
}

func (r *relays) updateLinks(ctx context.Context) {
	wanted := map[string]bool{}
	for _, m := range r.control.opts.Keeper.Status().Membership.GetMembers() {
		if m.GetAddress() != r.control.opts.Address {
			wanted[m.GetAddress()] = true
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for address, link := range r.links {
		if !wanted[address] {
			link.stop()
			delete(r.links, address)
		}
	}
	for address := range wanted {
		if r.links[address] != nil {
			continue
		}
		linkCtx, stop := context.WithCancel(ctx)
		link := &relayLink{address: address, batches: ring.New[*peerpb.RelayBatch](relayQueueSize, ring.DropOldest), stop: stop}
		r.links[address] = link
		r.workers.Go(func() { r.runLink(linkCtx, link) })
	}
}

func (r *relays) push(b *peerpb.RelayBatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, link := range r.links {
		link.batches.Push(b)
	}
}

func (r *relays) relayUpstream(u *fleet.Upstream, now time.Time) {
	r.push(&peerpb.RelayBatch{Upstreams: []*peerpb.UpstreamRecord{fleet.Encode(u, now)}})
}

func (r *relays) relayReport(evidence []*peerpb.UpstreamEvidence, demand []*peerpb.ModelDemand) {
	r.push(&peerpb.RelayBatch{Evidence: evidence, Demand: demand})
}

// runLink sends batches to one keeper until ctx ends.
func (r *relays) runLink(ctx context.Context, link *relayLink) {
	for ctx.Err() == nil {
		if err := r.stream(ctx, link); err != nil && ctx.Err() == nil {
			r.control.opts.Log.Debug().Err(err).Str("keeper", link.address).Msg("relay_broken")
		}
		select {
		case <-time.After(relayReconnectDelay):
		case <-ctx.Done():
		}
	}
}

func (r *relays) stream(ctx context.Context, link *relayLink) error {
	conn, err := r.control.opts.Dialer.Dial(link.address)
	if err != nil {
		return err
	}
	stream, err := peerpb.NewFleetClient(conn).Relay(ctx, peers.Compressed())
	if err != nil {
		return err
	}
	// A keeper that has just started has an empty directory, and deregistrations are not
	// repeated.
	var evidenceSent, statementsSent uint64
	first := r.directoryBatch()
	first.CrashEvidence, evidenceSent = r.control.encodeCrashEvidence(evidenceSent)
	first.Statements, statementsSent = r.control.encodeStatements(statementsSent)
	if err := stream.Send(first); err != nil {
		return err
	}
	for {
		batch, ok := link.batches.Pop(ctx)
		if !ok {
			return ctx.Err()
		}
		select {
		case <-time.After(relayBatchDelay):
		case <-ctx.Done():
		}
		merged := link.mergeQueued(batch)
		merged.CrashEvidence, evidenceSent = r.control.encodeCrashEvidence(evidenceSent)
		merged.Statements, statementsSent = r.control.encodeStatements(statementsSent)
		if err := stream.Send(merged); err != nil {
			return err
		}
	}
}

// directoryBatch returns a batch with all upstreams in the directory.
func (r *relays) directoryBatch() *peerpb.RelayBatch {
	now := boottime.Now()
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	return &peerpb.RelayBatch{Upstreams: lo.Map(r.control.directory.All(), func(u fleet.Upstream, _ int) *peerpb.UpstreamRecord {
		return fleet.Encode(&u, now)
	})}
}

// mergeQueued merges the queued batches into one.
func (l *relayLink) mergeQueued(first *peerpb.RelayBatch) *peerpb.RelayBatch {
	all := &peerpb.RelayBatch{}
	for b := first; ; {
		all.Upstreams = append(all.Upstreams, b.GetUpstreams()...)
		all.Evidence = append(all.Evidence, b.GetEvidence()...)
		all.Demand = append(all.Demand, b.GetDemand()...)
		if b.GetLoads() != nil {
			all.Loads = b.GetLoads()
		}
		select {
		case b = <-l.batches.Chan():
		default:
			return all
		}
	}
}

// Relay handles the stream of batches from another keeper.
func (c *Control) Relay(stream grpc.ClientStreamingServer[peerpb.RelayBatch, peerpb.RelayClosed]) error {
	defer func() {
		c.mu.Lock()
		c.loads.removeKeeper(stream)
		c.mu.Unlock()
	}()
	for {
		b, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.RelayClosed{})
		}
		if err != nil {
			return err
		}
		now := boottime.Now()
		for _, r := range b.GetUpstreams() {
			c.recordRelayed(fleet.Decode(r, now))
		}
		c.mergeCrashEvidence(b.GetCrashEvidence())
		c.mergeStatements(b.GetStatements())
		if b.GetLoads() != nil {
			c.mu.Lock()
			c.loads.setKeeper(now, stream, b.GetLoads())
			c.mu.Unlock()
		}
		if len(b.GetEvidence()) > 0 || len(b.GetDemand()) > 0 {
			c.inbox.Push(entryReport{b.GetEvidence(), b.GetDemand()})
		}
	}
}
