// Package grouping assigns engines to groups when several models share one pool. It forms
// groups in steps, opens them once every member is ready, closes them before their members
// are reused, and keeps weights staged on spare engines. The package does no I/O: the
// current time and the engines' reports go in, orders come out.
package grouping

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

// Options of a Planner.
type Options struct {
	// Term of the coordinator; epochs of later terms are higher.
	Term uint64
	// StallTimeout is the time after which a head that lacks a member reports its group as broken.
	StallTimeout time.Duration
	// AnnounceInterval is the announcement interval of an engine.
	AnnounceInterval time.Duration
	// UnlimitedLoads is true while loads from the weight store are not limited: before the
	// first request in a region that starts for the first time.
	UnlimitedLoads bool
	// Mechanisms selects the mechanisms that are enabled; the zero value enables all.
	Mechanisms mechanism.Set
}

const (
	// settleTime is the delay between an election and the first order: the previous
	// coordinator may act until its lease has expired, and reports must arrive.
	settleTime = 900 * time.Millisecond
	// firstSettleTime replaces settleTime at the first start: there was no previous
	// coordinator, and all announcements arrive within one interval.
	firstSettleTime = 1300 * time.Millisecond
	// resendAfter is the delay before an order without visible effect is sent again.
	resendAfter = 900 * time.Millisecond
	// stallMargin is added to the stall time to allow for delayed reports and clock drift.
	stallMargin = 600 * time.Millisecond
	// formTimeout limits the forming of a group whose members have the weights.
	formTimeout = 6 * time.Second
	// drainTimeout limits the wait for the requests in flight of a draining group: a member that leaves remains for at most this time
	// while its head has work.
	drainTimeout = 10 * time.Second
	// answerTTL is how long a group's answer to an entry is proof that it works.
	answerTTL = 1500 * time.Millisecond
	// suspicionTTL is how long an entry's suspicion of a group is acted upon.
	suspicionTTL = time.Second
	// probeInterval is the minimum time between two probes of a group's members.
	probeInterval = 200 * time.Millisecond
	// maxPause is how long a sound engine may be silent. One that answers no probe for this
	// time counts as failed.
	maxPause = 2 * time.Second
	// maxProbeGap is the longest time between two unanswered probes that show one silence.
	maxProbeGap = time.Second
	// releasedTTL is how long the name of a released group is kept, so that delayed reports
	// of its members do not cause its adoption.
	releasedTTL = time.Minute
	// stagingTimeout is the delay before an unreported load is ordered again: loads take
	// tens of seconds when many start simultaneously.
	stagingTimeout = 45 * time.Second
	// epochBits is the number of low bits that number the epochs within one term.
	epochBits = 20
	// maxTermBits bounds the terms whose epochs are taken for those of a coordinator, also one of an
	// earlier region: the epochs after them must stay exact in JSON.
	maxTermBits = 28
)

// Planner holds the coordinator's plan. It is not safe for concurrent use.
type Planner struct {
	opts      Options
	startedAt time.Time
	// maxEngines is the highest number of engines seen, and maxEnginesAt when it last rose.
	maxEngines   int
	maxEnginesAt time.Time
	upstreams    map[string]fleet.Upstream
	// lastReportAt is the time of the last report from any engine of a failure domain.
	lastReportAt map[string]time.Time
	// reportingSince is the time since which a failure domain has reported without a gap.
	reportingSince map[string]time.Time
	engines        map[string]*document.Engine
	groups         map[string]*group
	// released holds the release time of groups whose members may join other groups.
	released map[string]time.Time
	// quarantinedUntil keeps engines out of new groups until the head of their old group
	// has certainly stopped serving.
	quarantinedUntil map[string]time.Time
	// failedAt is the time at which an incarnation was found not to answer.
	failedAt map[incarnation]time.Time
	// silences holds the incarnations that have not answered their last probe.
	silences map[incarnation]silence
	// answeredAt is the time of the last answer of a group to an entry, by the group's head.
	answeredAt map[string]time.Time
	// inFlight holds the order in flight to each engine; probes are left out.
	inFlight map[string]Order
	// verified holds the engines' answers to probes; announcements alone may be stale when
	// a coordinator starts.
	verified map[incarnation]verification
	// staging holds the ordered loads; entries expire after stagingTimeout.
	staging map[incarnation]stagingLoad
	// lastModel is the model of the last group in which each incarnation was ready: it can
	// join a group of that model immediately, whatever is staged.
	lastModel map[incarnation]string
	// moves holds the moves in progress between models.
	moves map[location]*move
	// standbyAt is the time of the last standby order to a spare.
	standbyAt map[incarnation]time.Time
	demand    map[string]float64
	loadLimit loadLimiter
	epoch     uint64
	events    []Event
}

// incarnation identifies one incarnation of an engine.
type incarnation struct {
	id        string
	startTime uint64
}

// stagingLoad is an ordered load of a model onto a VM.
type stagingLoad struct {
	model     string
	orderedAt time.Time
}

// Event describes a change of a group for the log.
type Event struct {
	Group, Change, Reason string
	Members               []string
}

// New returns a planner for a newly elected coordinator. It must be the only one of its term: it
// counts epochs from the first one of the term.
func New(now time.Time, opts Options) *Planner {
	return &Planner{
		opts: opts, startedAt: now, upstreams: map[string]fleet.Upstream{}, lastReportAt: map[string]time.Time{}, reportingSince: map[string]time.Time{}, engines: map[string]*document.Engine{},
		groups: map[string]*group{}, released: map[string]time.Time{}, quarantinedUntil: map[string]time.Time{},
		staging: map[incarnation]stagingLoad{}, lastModel: map[incarnation]string{}, moves: map[location]*move{}, standbyAt: map[incarnation]time.Time{}, verified: map[incarnation]verification{}, failedAt: map[incarnation]time.Time{}, silences: map[incarnation]silence{}, answeredAt: map[string]time.Time{}, inFlight: map[string]Order{},
		epoch: opts.Term << epochBits, loadLimit: loadLimiter{refilledAt: now},
	}
}

// Configure replaces the engine configuration by that of the given services.
func (p *Planner) Configure(services map[string]*document.Service) {
	p.engines = map[string]*document.Engine{}
	for name, s := range services {
		if s.Engine != nil && len(s.Engine.Models) > 0 {
			p.engines[name] = s.Engine
		}
	}
}

// Observe replaces the planner's view of the engines by a snapshot of the directory. A group
// outlasts the removal of its service, so its members stay in view.
func (p *Planner) Observe(upstreams []fleet.Upstream) {
	clear(p.upstreams)
	members := p.memberIDs()
	before := maps.Clone(p.lastReportAt)
	for _, u := range upstreams {
		if p.engines[u.Service] == nil && !members[u.ID] {
			continue
		}
		p.upstreams[u.ID] = u
		p.lastReportAt[u.FailureDomain] = maxTime(p.lastReportAt[u.FailureDomain], u.AnnouncedAt)
		if assignedEpoch(u.Group) {
			p.epoch = max(p.epoch, u.Group.Epoch)
		}
		inc := incarnation{u.ID, u.StartTime}
		if model, _, ok := parseName(u.Group.Group); ok && u.Group.State != fleet.Joining {
			p.lastModel[inc] = model
		}
		if failedAt, failed := p.failedAt[inc]; failed && u.AnnouncedAt.After(failedAt) {
			delete(p.failedAt, inc)
			delete(p.silences, inc)
		}
	}
	for domain, at := range p.lastReportAt {
		if at.Sub(before[domain]) > p.opts.AnnounceInterval {
			p.reportingSince[domain] = at
		}
	}
}

// memberIDs returns the identifiers of the members of all groups.
func (p *Planner) memberIDs() map[string]bool {
	ids := map[string]bool{}
	for _, g := range p.groups {
		for _, member := range g.members {
			ids[member.id] = true
		}
	}
	return ids
}

// StartTraffic ends the period in which loads are not limited.
func (p *Planner) StartTraffic() { p.opts.UnlimitedLoads = false }

// SetDemand sets the number of groups of each model that the demand would keep busy; nil while
// it is unknown.
func (p *Planner) SetDemand(groups map[string]float64) { p.demand = groups }

// RecordAnswer records that the group with the given head answered an entry.
func (p *Planner) RecordAnswer(at time.Time, head string) {
	if at.After(p.answeredAt[head]) {
		p.answeredAt[head] = at
	}
}

// RecordSuspicion records that the open group with the given head did not answer an entry, and
// reports whether this starts a new suspicion.
func (p *Planner) RecordSuspicion(at time.Time, head string) bool {
	for _, g := range p.groups {
		if g.members[0].id == head && g.phase == open && at.After(g.suspectedAt) {
			isNew := at.Sub(g.suspectedAt) > suspicionTTL
			g.suspectedAt = at
			return isNew
		}
	}
	return false
}

// RecordResult records the result of an order.
func (p *Planner) RecordResult(now time.Time, result Result) {
	o := result.Order
	inc := incarnation{o.Upstream, o.StartTime}
	if o.Kind == Probe {
		p.recordProbe(now, inc, result)
		return
	}
	delete(p.inFlight, o.Upstream)
	if result.Outcome != NotSent {
		p.countOrder(inc, result.Outcome)
	}
	if o.Kind == Stage && result.Outcome != Accepted {
		delete(p.staging, inc)
	}
	if result.Outcome == ConnectionRefused {
		p.failedAt[inc] = now
	}
	if g := p.groups[o.Group]; g != nil && g.epoch == o.Epoch {
		g.recordResult(now, result)
	}
}

func (p *Planner) recordProbe(now time.Time, inc incarnation, result Result) {
	switch result.Outcome {
	case NotSent:
	case ConnectionRefused:
		p.failedAt[inc] = now
	case Unanswered:
		if p.extendSilence(now, inc) >= maxPause {
			p.failedAt[inc] = now
		}
	default:
		delete(p.silences, inc)
		p.recordReport(inc, result.Report)
	}
}

// Resume continues after a pause in which the coordinator may have missed announcements. No orders
// follow until they have arrived, as after an election.
func (p *Planner) Resume(now time.Time) { p.startedAt = now }

// Plan returns the orders that are due.
func (p *Planner) Plan(now time.Time) []Order {
	settle := settleTime
	if p.opts.UnlimitedLoads {
		settle = firstSettleTime
	}
	if len(p.upstreams) == 0 {
		p.startedAt = now
	}
	if now.Sub(p.startedAt) < settle || p.opts.UnlimitedLoads && p.discovering(now) {
		return nil
	}
	p.expire(now)
	p.adopt(now)
	var orders []Order
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		orders = append(orders, p.advance(now, p.groups[name])...)
	}
	orders = append(orders, p.formGroups(now)...)
	for _, o := range orders {
		if o.Kind != Probe {
			p.inFlight[o.Upstream] = o
		}
	}
	return orders
}

const (
	// discoveryQuietTime without a new engine means that all have reported: about half of an
	// announcement interval.
	discoveryQuietTime = 600 * time.Millisecond
	// discoveryTimeout limits the wait for all engines to report.
	discoveryTimeout = 3500 * time.Millisecond
)

// discovering reports whether engines are still being discovered at the first start: with
// only part of them, only small groups could be formed.
func (p *Planner) discovering(now time.Time) bool {
	if len(p.upstreams) > p.maxEngines {
		p.maxEngines, p.maxEnginesAt = len(p.upstreams), now
	}
	return len(p.groups) == 0 && now.Sub(p.maxEnginesAt) < discoveryQuietTime && now.Sub(p.startedAt) < discoveryTimeout
}

// Events returns the changes since the last call.
func (p *Planner) Events() []Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Planner) emit(g *group, change, reason string) {
	p.events = append(p.events, Event{Group: g.name, Change: change, Reason: reason, Members: g.memberIDs()})
}

func (p *Planner) expire(now time.Time) {
	maps.DeleteFunc(p.released, func(_ string, at time.Time) bool { return now.Sub(at) > releasedTTL })
	maps.DeleteFunc(p.quarantinedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	maps.DeleteFunc(p.verified, func(inc incarnation, _ verification) bool { _, current := p.member(inc); return !current })
	maps.DeleteFunc(p.silences, func(_ incarnation, s silence) bool { return now.Sub(s.lastProbe) > maxProbeGap })
	maps.DeleteFunc(p.lastModel, func(inc incarnation, _ string) bool { _, current := p.member(inc); return !current })
	maps.DeleteFunc(p.moves, func(_ location, m *move) bool { return now.Sub(m.since) > moveTimeout })
	maps.DeleteFunc(p.standbyAt, func(_ incarnation, at time.Time) bool { return now.Sub(at) > releasedTTL })
	maps.DeleteFunc(p.staging, func(_ incarnation, s stagingLoad) bool { return now.Sub(s.orderedAt) > stagingTimeout })
	maps.DeleteFunc(p.failedAt, func(_ incarnation, at time.Time) bool { return now.Sub(at) > releasedTTL })
}

func (p *Planner) nextEpoch() uint64 {
	p.epoch++
	return p.epoch
}

func maxTime(a, b time.Time) time.Time {
	if cmp.Compare(a.UnixNano(), b.UnixNano()) >= 0 {
		return a
	}
	return b
}
