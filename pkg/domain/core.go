package domain

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/internal/faultinject"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/coordinator"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/placement"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// TickInterval is the time between two ticks of the Core.
	TickInterval = 50 * time.Millisecond
	// planInterval is the time between two plans of the coordinator.
	planInterval = 200 * time.Millisecond
	// pauseThreshold is the gap between two ticks from which this process is assumed
	// to have been paused.
	pauseThreshold = 400 * time.Millisecond
	// pauseSettle is how long after a pause announcements are treated as old, since
	// they may have been queued in a socket during the pause.
	pauseSettle = 250 * time.Millisecond
	// removalInterval is the time between two removals of expired records.
	removalInterval = 10 * time.Second
)

// CoreOptions configure a Core.
type CoreOptions struct {
	Node string
	// Incarnation is higher after each start of the node.
	Incarnation   uint64
	FailureDomain string
	// Nodes are all nodes of the region, including this one.
	Nodes []coordinator.Node
	// InjectedFaults enables injected faults in tests.
	InjectedFaults faultinject.Faults
}

// incarnationID returns the short identifier of this incarnation that is part of the
// names of the groups that it forms.
func (o CoreOptions) incarnationID() string {
	const mask = 1<<16 - 1
	sum := xxhash.Sum64String(o.Node) + o.Incarnation
	return strconv.FormatUint(sum&mask, 36)
}

// Core is the state machine of one node in its failure domain: membership, the
// coordinator's lease, placement and the relay of announcements. It performs no
// I/O and reads no clock.
type Core struct {
	opts CoreOptions
	// configured is false until a configuration is known. A coordinator without one
	// plans nothing, since an empty configuration would dissolve every group.
	configured    bool
	config        *state.Config
	table         *membership.Table
	election      *coordinator.Machine
	witnessVoters map[string]*coordinator.Voter
	planner       *placement.Planner
	relay         *relay
	summaries     *summaries

	lease         placement.Lease
	highestFence  uint64
	lastTick      time.Time
	lastPlan      time.Time
	lastRemoval   time.Time
	pauseDuration time.Duration
	settleUntil   time.Time
	actions       []Action
}

// NewCore returns a core whose node starts at the given time.
func NewCore(now time.Time, opts CoreOptions) *Core {
	voters := coordinator.ChooseVoters(opts.FailureDomain, opts.Nodes)
	c := &Core{
		opts: opts, config: &state.Config{}, lastTick: now,
		table:         membership.NewTable(),
		planner:       placement.NewPlanner(opts.FailureDomain),
		relay:         newRelay(opts),
		summaries:     newSummaries(opts),
		witnessVoters: newWitnessVoters(now, opts),
	}
	c.election = coordinator.New(now, coordinator.Options{
		Domain: opts.FailureDomain, Self: coordinator.Holder{Node: opts.Node, Incarnation: opts.Incarnation},
		Voters: voters, Candidate: isVoter(voters, opts.Node), InjectedFaults: opts.InjectedFaults,
	})
	c.table.InjectedFaults = opts.InjectedFaults
	c.planner.InjectedFaults = opts.InjectedFaults
	return c
}

func isVoter(voters []string, node string) bool {
	for _, v := range voters {
		if v == node {
			return true
		}
	}
	return false
}

// newWitnessVoters returns a voter for each other failure domain in which this
// node is the witness.
func newWitnessVoters(now time.Time, opts CoreOptions) map[string]*coordinator.Voter {
	voters := map[string]*coordinator.Voter{}
	for _, p := range opts.Nodes {
		domain := p.FailureDomain
		if domain == opts.FailureDomain || voters[domain] != nil {
			continue
		}
		if isVoter(coordinator.ChooseVoters(domain, opts.Nodes), opts.Node) {
			voters[domain] = coordinator.NewVoter(now, domain, opts.Node)
		}
	}
	return voters
}

// Step processes one event and returns the actions to carry out.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.actions = nil
	switch e := event.(type) {
	case AnnouncementReceived:
		c.handleAnnouncement(now, e.Announcement)
	case EvidenceReported:
		c.handleEvidence(now, e.Evidence)
	case PacketReceived:
		c.handlePacket(now, e.Packet)
	case PeerConnected:
		c.relay.requireComplete(e.Peer)
		c.summaries.requireFull()
	case ConfigChanged:
		c.config, c.configured = e.Config, true
	case Stopping:
		c.stepElection(now, coordinator.Stop{})
	case Tick:
		c.tick(now)
	}
	return c.actions
}

// handleAnnouncement processes an announcement. One that may have been queued
// while this process was paused is given the pause as its age.
func (c *Core) handleAnnouncement(now time.Time, a api.Announcement) {
	if a.FailureDomain != "" && a.FailureDomain != c.opts.FailureDomain {
		return
	}
	var age time.Duration
	if now.Before(c.settleUntil) {
		age = c.pauseDuration
	}
	c.observe(now, a, age)
	c.relay.handleAnnouncement(now.Add(-age), a)
}

func (c *Core) observe(now time.Time, a api.Announcement, age time.Duration) {
	a.FailureDomain = c.opts.FailureDomain
	if !c.table.Observe(now, a, age) {
		return
	}
	fence := placement.FenceOf(max(a.Fence, a.Generation))
	if fence > c.highestFence {
		c.highestFence = fence
		c.stepElection(now, coordinator.FenceSeen{Fence: fence})
	}
}

func (c *Core) handleEvidence(now time.Time, e membership.Evidence) {
	if !c.table.Report(now, e) {
		return
	}
	evidence := []*peerpb.Evidence{{Upstream: e.Upstream, Kind: string(e.Kind)}}
	for _, peer := range c.relay.peers {
		c.send(now, peer, &peerpb.DomainPacket{Evidence: evidence})
	}
}

func (c *Core) handlePacket(now time.Time, p *peerpb.DomainPacket) {
	delay := c.relay.excessDelay(now, p)
	if p.GetBatch() != nil {
		c.relay.handleBatch(p.GetFrom(), p.GetBatch(), now, func(a api.Announcement, age time.Duration) {
			c.observe(now, a, age+delay)
		})
	}
	if p.GetResync() {
		c.relay.requireComplete(p.GetFrom())
	}
	for _, e := range p.GetEvidence() {
		c.table.Report(now, membership.Evidence{Upstream: e.GetUpstream(), Kind: membership.EvidenceKind(e.GetKind())})
	}
	c.handleLeaseMessage(now, p)
	if p.GetSummary() != nil {
		c.handleSummary(now, p.GetSummary())
	}
}

func (c *Core) handleLeaseMessage(now time.Time, p *peerpb.DomainPacket) {
	message := leaseMessage(p)
	if message == nil {
		return
	}
	if request, ok := message.(coordinator.Request); ok && request.Domain != c.opts.FailureDomain {
		if voter := c.witnessVoters[request.Domain]; voter != nil {
			c.send(now, request.From.Node, leasePacket(voter.Request(now, request)))
		}
		return
	}
	if release, ok := message.(coordinator.Release); ok && release.Domain != c.opts.FailureDomain {
		if voter := c.witnessVoters[release.Domain]; voter != nil {
			voter.Release(release)
		}
		return
	}
	c.stepElection(now, coordinator.Received{Message: message})
}

// stepElection steps the election and carries out its actions. Messages from this
// node to itself are delivered immediately.
func (c *Core) stepElection(now time.Time, event coordinator.Event) {
	for _, action := range c.election.Step(now, event) {
		switch a := action.(type) {
		case coordinator.Send:
			if a.To == c.opts.Node {
				c.stepElection(now, coordinator.Received{Message: a.Message})
				continue
			}
			c.send(now, a.To, leasePacket(a.Message))
		case coordinator.Acquired:
			c.lease = placement.Lease{Fence: a.Fence, Incarnation: c.opts.incarnationID(), Since: now}
			c.actions = append(c.actions, CoordinatorChanged{Fence: a.Fence})
		case coordinator.Lost:
			c.lease = placement.Lease{}
			c.actions = append(c.actions, CoordinatorChanged{Reason: a.Reason})
		}
	}
}

func (c *Core) send(now time.Time, to string, p *peerpb.DomainPacket) {
	p.From = c.opts.Node
	p.SentMs = now.UnixMilli()
	c.actions = append(c.actions, SendPacket{To: to, Packet: p})
}

func (c *Core) tick(now time.Time) {
	if gap := now.Sub(c.lastTick); gap >= pauseThreshold {
		c.pauseDuration = gap
		c.settleUntil = now.Add(pauseSettle)
	}
	c.lastTick = now
	c.stepElection(now, coordinator.Tick{})
	c.plan(now)
	c.relay.flush(now, c.send)
	c.sendSummary(now)
	if now.Sub(c.lastRemoval) >= removalInterval {
		c.lastRemoval = now
		c.table.RemoveExpired(now)
	}
}

// Coordinator returns the fencing number under which this node may send orders now.
// ok is false if this node is not coordinator.
func (c *Core) Coordinator(now time.Time) (fence uint64, ok bool) {
	fence, _, ok = c.election.Lease(now)
	return fence, ok
}

func (c *Core) mayPlan() bool {
	return c.configured || c.opts.InjectedFaults.Has(faultinject.PlanUnconfigured)
}

func (c *Core) plan(now time.Time) {
	fence, until, ok := c.election.Lease(now)
	if !ok || !c.mayPlan() || fence != c.lease.Fence || now.Sub(c.lastPlan) < planInterval {
		return
	}
	c.lastPlan = now
	c.lease.Until = until
	for _, action := range c.planner.Plan(now, c.lease, c.planInput(now)) {
		switch a := action.(type) {
		case placement.SendOrder:
			c.actions = append(c.actions, SendOrder{a})
		case placement.GroupChanged:
			c.actions = append(c.actions, GroupChanged{a})
		case placement.RaiseFence:
			c.stepElection(now, coordinator.FenceSeen{Fence: fence + 1})
		}
	}
}

// planInput returns the snapshot from which the coordinator plans.
func (c *Core) planInput(now time.Time) placement.Input {
	records := c.table.Records()
	in := placement.Input{Specs: c.config.Groups, VMs: make([]*placement.VM, 0, len(records))}
	for _, r := range records {
		condition := c.table.Condition(now, r)
		in.VMs = append(in.VMs, &placement.VM{
			Announcement: r.Announcement, Labels: c.labelsOf(&r.Announcement), SeenAt: r.SeenAt, UngroupedSince: r.UngroupedSince,
			Live:    condition != membership.Silent && condition != membership.Dead,
			Fresh:   condition == membership.Current,
			Lost:    c.table.Lost(now, r),
			Leaving: c.isLeaving(&r.Announcement),
		})
	}
	return in
}

// labelsOf returns the announced labels, overridden by the configured ones.
func (c *Core) labelsOf(a *api.Announcement) labels.Set {
	configured := c.config.Labels[a.ID].Labels
	if len(configured) == 0 {
		return a.Labels
	}
	return labels.Merge(a.Labels, configured)
}

func (c *Core) isLeaving(a *api.Announcement) bool { return a.Leaving || c.config.Labels[a.ID].Leaving }
