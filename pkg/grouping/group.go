package grouping

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

type phase int

const (
	// forming: waiting until every member is ready.
	forming phase = iota
	// opening: waiting until the head accepts requests.
	opening
	// open: serving requests.
	open
	// draining: finishing requests in flight before closing.
	draining
	// closing: waiting until the head has stopped serving.
	closing
	// leaving: the head is unreachable; the other members leave, so that a head that
	// still runs reports the group as broken.
	leaving
)

// group is the coordinator's record of a group that it ordered or adopted.
type group struct {
	name     string
	epoch    uint64
	service  string
	model    *document.Model
	location location
	members  []incarnation
	phase    phase
	// since is the start of the phase.
	since time.Time
	// sentAt is the time of the phase's last order to each member.
	sentAt map[string]time.Time
	// rejected is true once a member rejected a join or an open order.
	rejected bool
	// openUnanswered is true when an unanswered open order may still take effect.
	openUnanswered bool
	suspectedAt    time.Time
	probedAt       time.Time
	// wasReady holds the members that have reported ready in this epoch.
	wasReady map[string]bool
	// freed holds the members that have left a group with a lost head and may join others.
	freed map[string]bool
	// staged is true when every member had the weights on its VM when the group was formed.
	staged bool
}

// location is a fabric domain of a service.
type location struct{ service, failureDomain, fabricDomain string }

// nameSeparator separates the parts of a group's name: model, size and epoch. A later
// coordinator reads them from the name when it adopts the group.
const nameSeparator = "."

func groupName(model string, size int, epoch uint64) string {
	return fmt.Sprintf("%s%s%d%s%s", model, nameSeparator, size, nameSeparator, strconv.FormatUint(epoch, 36))
}

func parseName(name string) (model string, size int, ok bool) {
	head, _, ok := cutLast(name)
	if !ok {
		return "", 0, false
	}
	model, sizeText, ok := cutLast(head)
	if !ok {
		return "", 0, false
	}
	size, err := strconv.Atoi(sizeText)
	return model, size, err == nil && size > 0
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndex(s, nameSeparator)
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// assignedEpoch reports whether a coordinator may have assigned the epoch of a reported group: it is part of
// the group's name. Any other number is that of another writer.
func assignedEpoch(m fleet.Membership) bool {
	_, number, ok := cutLast(m.Group)
	epoch, err := strconv.ParseUint(number, 36, 64)
	return ok && err == nil && epoch == m.Epoch && epoch < 1<<(maxTermBits+epochBits)
}

// ParseGroupName returns the model and the size encoded in a group's name. ok is false for a
// name that no coordinator assigned.
func ParseGroupName(name string) (model string, size int, ok bool) { return parseName(name) }

func (g *group) memberIDs() []string {
	return lo.Map(g.members, func(member incarnation, _ int) string { return member.id })
}

func (g *group) enterPhase(now time.Time, next phase) {
	g.phase, g.since, g.sentAt = next, now, map[string]time.Time{}
}

// orderDue reports whether an order to a member may be sent for the first time or again.
func (g *group) orderDue(now time.Time, id string) bool {
	at, sent := g.sentAt[id]
	return !sent || now.Sub(at) >= resendAfter
}

// recordResult updates the group with the outcome of one of its orders.
func (g *group) recordResult(_ time.Time, result Result) {
	switch {
	case result.Outcome == Rejected && (result.Order.Kind == Join || result.Order.Kind == Open):
		g.rejected = true
	case result.Outcome == Unanswered && result.Order.Kind == Open:
		g.openUnanswered = true
	case result.Outcome == NotSent:
		delete(g.sentAt, result.Order.Upstream)
	}
}

// order returns an order to a member, or none while another order to it is in flight.
func (p *Planner) order(now time.Time, g *group, member incarnation, kind OrderKind) []Order {
	u, known := p.upstreams[member.id]
	if _, busy := p.inFlight[member.id]; busy || !known || !g.orderDue(now, member.id) {
		return nil
	}
	g.sentAt[member.id] = now
	o := Order{Kind: kind, Upstream: member.id, StartTime: member.startTime, Address: u.Address, Group: g.name, Epoch: g.epoch}
	if kind == Join {
		o.Model, o.Members = g.model.Name, g.memberIDs()
		if v := p.verified[member]; v.ordersKnown {
			o.Expected, o.HasExpected = v.orders, true
		}
	}
	return []Order{o}
}

// inState reports whether an engine reports membership of the group in one of the states.
func (g *group) inState(u fleet.Upstream, states ...fleet.GroupState) bool {
	return u.Group.Group == g.name && u.Group.Epoch == g.epoch && lo.Contains(states, u.Group.State)
}

// member returns the directory entry of an engine; false when the engine is unknown or reports
// another incarnation.
func (p *Planner) member(inc incarnation) (fleet.Upstream, bool) {
	u, known := p.upstreams[inc.id]
	return u, known && u.StartTime == inc.startTime
}

// ended reports whether an incarnation has certainly ended because its engine restarted. A
// refused connection is no proof: during a network partition another host may refuse it.
func (p *Planner) ended(inc incarnation) bool {
	u, known := p.upstreams[inc.id]
	return known && u.StartTime != inc.startTime
}

// endedReason returns why a member is certainly no longer part of its group; empty while
// it may be.
func (p *Planner) endedReason(g *group, member incarnation) string {
	u, current := p.member(member)
	switch {
	case !current || p.ended(member):
		return "member restarted or removed"
	case u.Deregistered:
		return "member deregistered"
	case g.wasReady[member.id] && !u.AnnouncedAt.Before(g.since) && (u.Group.Group != g.name || u.Group.Epoch != g.epoch):
		return "member left"
	default:
		return ""
	}
}

// reachable reports whether a member sends announcements and answers probes.
func (p *Planner) reachable(inc incarnation) bool {
	u, current := p.member(inc)
	_, failed := p.failedAt[inc]
	return current && !failed && !p.silent(u)
}

// aloneSilentIntervals is the time, in announcement intervals, for which other engines of a
// failure domain must have reported without a gap before a silent engine counts as failed
// alone. In a network partition the last announcements of all engines fall within one
// interval, and so do the first ones after it.
const aloneSilentIntervals = 1.3

// silent reports whether an engine alone, and not its whole failure domain, stopped announcing
// for longer than a sound engine's pause.
func (p *Planner) silent(u fleet.Upstream) bool {
	minGap := time.Duration(aloneSilentIntervals * float64(p.opts.AnnounceInterval))
	lastReport := p.lastReportAt[u.FailureDomain]
	since := maxTime(u.AnnouncedAt, p.reportingSince[u.FailureDomain])
	return u.Silent && lastReport.Sub(since) > minGap && lastReport.Sub(u.AnnouncedAt) > p.opts.AnnounceInterval+maxPause
}

// answersEntries reports whether a group answered an entry recently and after the last
// suspicion. Such an answer shows that all its members work, including those that this
// node cannot reach.
func (p *Planner) answersEntries(now time.Time, g *group) bool {
	at := p.answeredAt[g.members[0].id]
	return now.Sub(at) <= answerTTL && at.After(g.suspectedAt)
}

// failureReason returns why a group cannot continue with its members; empty while it can.
// When no member is reachable this node is likely partitioned: the group may still serve,
// and no order would reach it.
func (p *Planner) failureReason(now time.Time, g *group) string {
	reached := 0
	for _, member := range g.members {
		if reason := p.endedReason(g, member); reason != "" {
			return reason
		}
		if p.reachable(member) {
			reached++
		}
	}
	if reached == len(g.members) || reached == 0 || p.answersEntries(now, g) {
		return ""
	}
	return "member does not answer"
}
