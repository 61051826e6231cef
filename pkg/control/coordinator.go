package control

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/grouping"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// pauseThreshold is the gap between two plans from which this process counts as having
	// been paused: its leadership and its directory may be stale.
	pauseThreshold = 500 * time.Millisecond
	// pauseRecovery is how long planning is suspended after a pause. A leader that lost its
	// quorum detects it within one election timeout, 1 s at most.
	pauseRecovery = 1200 * time.Millisecond
)

// entryReport carries the evidence that an entry has of groups, and its demand.
type entryReport struct {
	evidence []*peerpb.UpstreamEvidence
	demand   []*peerpb.ModelDemand
}

func (e entryReport) handle(c *Control, now time.Time) {
	for _, d := range e.demand {
		c.trafficSeen = c.trafficSeen || d.GetArrivals() > 0
		c.demand.add(now, d.GetModel(), time.Duration(d.GetWorkUs())*time.Microsecond)
	}
	if c.planner == nil {
		return
	}
	for _, v := range e.evidence {
		observedAt := now.Add(-time.Duration(v.GetAgeMs()) * time.Millisecond)
		switch v.GetKind() {
		case fleet.EvidenceAlive:
			c.planner.RecordAnswer(observedAt, v.GetUpstream())
		case fleet.EvidenceStalled:
			if c.planner.RecordSuspicion(observedAt, v.GetUpstream()) {
				c.opts.Log.Info().Str("upstream", v.GetUpstream()).Uint32("age_ms", v.GetAgeMs()).Msg("group_suspected")
			}
		}
	}
}

// orderDone is the outcome of an order that was given in a term.
type orderDone struct {
	result grouping.Result
	term   uint64
}

func (e orderDone) handle(c *Control, now time.Time) {
	if c.planner != nil && e.term == c.plannerTerm {
		c.planner.RecordResult(now, e.result)
	}
}

// plan runs one step of the planner while this keeper leads the region log.
func (c *Control) plan(now time.Time) {
	if now.Sub(c.lastPlanAt) < minPlanInterval {
		return
	}
	if now.Sub(c.lastPlanAt) > pauseThreshold || c.opts.Keeper.StalledFor() > pauseThreshold {
		c.pausedUntil = now.Add(pauseRecovery)
	}
	c.lastPlanAt = now
	c.updateLeadership(now)
	term := c.leaderTerm.Load()
	if term == 0 {
		return
	}
	c.grantTrials(now)
	c.mu.Lock()
	upstreams, doc := c.directory.All(), c.document
	c.markLeaving(upstreams)
	c.mu.Unlock()
	if doc == nil {
		return
	}
	if c.trafficSeen {
		c.planner.StartTraffic()
	}
	c.planner.Configure(doc.Services)
	c.planner.Observe(upstreams)
	c.planner.SetDemand(c.demand.groups(now))
	for _, o := range c.planner.Plan(now) {
		if !c.orders.Push(queuedOrder{o, term}) {
			c.planner.RecordResult(now, grouping.Result{Order: o, Outcome: grouping.NotSent})
		}
	}
	c.setGauges(now)
	for _, e := range c.planner.Events() {
		if model, lasted, ended := c.downtime.record(now, e); ended {
			c.opts.Metrics.Observe(telemetry.Series{Name: "group_downtime", Class: model}, lasted)
		}
		c.opts.Log.Info().Str("group", e.Group).Str("change", e.Change).Str("reason", e.Reason).
			Strs("members", e.Members).Uint64("term", term).Msg("group_changed")
	}
}

// gaugeInterval is the time between two updates of the coordinator's gauges.
const gaugeInterval = time.Second

// setGauges sets the coordinator's gauges.
func (c *Control) setGauges(now time.Time) {
	if now.Sub(c.gaugesSetAt) < gaugeInterval {
		return
	}
	c.gaugesSetAt = now
	for name, n := range c.planner.Stats() {
		c.opts.Metrics.Set(name, n)
	}
	c.opts.Metrics.Set("document.version", int64(c.documentVersion()))
}

// updateLeadership starts the planner when this keeper becomes leader and ends it when the
// leadership is lost. A planner lasts for its term, also while planning is suspended: another one
// would not know the epochs and the orders that were given, which may still be carried out.
func (c *Control) updateLeadership(now time.Time) {
	status := c.opts.Keeper.Status()
	leads, suspended := status.Role == regionlog.Leader, !now.After(c.pausedUntil)
	if c.planner != nil && (!leads || c.plannerTerm != status.Term) {
		c.planner, c.plannerTerm = nil, 0
		c.leaderTerm.Store(0)
		c.opts.Log.Info().Msg("steward_ended")
	}
	switch {
	case !leads:
	case suspended:
		if c.leaderTerm.Swap(0) != 0 {
			c.opts.Metrics.Add("coordinator_pauses", 1)
			c.opts.Log.Info().Uint64("term", status.Term).Msg("steward_suspended")
		}
	case c.planner == nil:
		c.plannerTerm, c.leadsSince = status.Term, now
		c.leaderTerm.Store(status.Term)
		c.planner = grouping.New(now, grouping.Options{
			Term: status.Term, StallTimeout: c.opts.StallTimeout, AnnounceInterval: c.opts.AnnounceInterval, UnlimitedLoads: c.opts.Bootstrap && !c.trafficSeen,
			Mechanisms: c.opts.Mechanisms,
		})
		c.downtime = downtime{}
		c.opts.Metrics.Add("elections_won", 1)
		c.opts.Log.Info().Uint64("term", status.Term).Msg("steward_began")
	case c.leaderTerm.Load() == 0:
		c.leaderTerm.Store(status.Term)
		c.leadsSince = now
		c.planner.Resume(now)
		c.opts.Log.Info().Uint64("term", status.Term).Msg("steward_resumed")
	}
}

// queuedOrder is an order that waits to be sent, with the term in which it was given.
type queuedOrder struct {
	order grouping.Order
	term  uint64
}

// sendOrders sends queued orders to engines until ctx ends. Orders of an earlier term are
// dropped: the coordinator of the current term may have given another order since. So are those
// that wait while planning is suspended.
func (c *Control) sendOrders(ctx context.Context) {
	for {
		queued, ok := c.orders.Pop(ctx)
		if !ok {
			return
		}
		o := queued.order
		if queued.term != c.leaderTerm.Load() {
			c.opts.Log.Info().Str("order", string(o.Kind)).Str("upstream", o.Upstream).Str("group", o.Group).
				Uint64("term", queued.term).Msg("order_dropped")
			c.inbox.Push(orderDone{grouping.Result{Order: o, Outcome: grouping.NotSent}, queued.term})
			continue
		}
		sentAt := boottime.Now()
		result := c.opts.OrderSender.SendOrder(ctx, o)
		c.opts.Metrics.Add("orders."+string(o.Kind), 1)
		c.opts.Log.Info().Str("order", string(o.Kind)).Str("upstream", o.Upstream).Str("group", o.Group).
			Uint64("epoch", o.Epoch).Str("model", o.Model).Stringer("outcome", result.Outcome).
			Dur("took_ms", boottime.Now().Sub(sentAt)).Msg("order_sent")
		c.inbox.Push(orderDone{result, queued.term})
	}
}
