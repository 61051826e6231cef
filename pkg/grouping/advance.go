package grouping

import (
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/fleet"
)

// advance performs the next step of a group's life cycle and returns the orders for it.
func (p *Planner) advance(now time.Time, g *group) []Order {
	p.recordReady(g)
	switch g.phase {
	case forming:
		return p.advanceForming(now, g)
	case opening:
		return p.advanceOpening(now, g)
	case open:
		return p.advanceOpen(now, g)
	case draining:
		return p.advanceDraining(now, g)
	case closing:
		return p.advanceClosing(now, g)
	default:
		return p.advanceLeaving(now, g)
	}
}

func (p *Planner) recordReady(g *group) {
	for _, member := range g.members {
		if u, ok := p.member(member); ok && g.inState(u, fleet.Ready, fleet.Open, fleet.Closing) {
			g.wasReady[member.id] = true
		}
	}
}

func (p *Planner) advanceForming(now time.Time, g *group) []Order {
	if reason := p.failureReason(now, g); reason != "" {
		p.release(now, g, reason)
		return nil
	}
	if g.rejected {
		p.release(now, g, "join rejected")
		return nil
	}
	if g.staged && now.Sub(g.since) > formTimeout {
		p.release(now, g, "not ready in time")
		return nil
	}
	if len(g.wasReady) == len(g.members) {
		g.enterPhase(now, opening)
		return p.advanceOpening(now, g)
	}
	var orders []Order
	for _, member := range g.members {
		u, _ := p.member(member)
		if !g.inState(u, fleet.Joining, fleet.Ready, fleet.Open) {
			orders = append(orders, p.order(now, g, member, Join)...)
		}
	}
	return orders
}

func (p *Planner) advanceOpening(now time.Time, g *group) []Order {
	head, _ := p.member(g.members[0])
	if g.inState(head, fleet.Open) {
		g.enterPhase(now, open)
		p.emit(g, "open", "")
		return nil
	}
	if reason := p.failureReason(now, g); reason != "" {
		return p.dissolve(now, g, reason)
	}
	if g.rejected {
		return p.dissolve(now, g, "open order rejected")
	}
	return p.order(now, g, g.members[0], Open)
}

func (p *Planner) advanceOpen(now time.Time, g *group) []Order {
	if reason := p.failureReason(now, g); reason != "" {
		return p.dissolve(now, g, reason)
	}
	head, _ := p.member(g.members[0])
	if g.inState(head, fleet.Broken) {
		return p.dissolve(now, g, "head broken")
	}
	if g.inState(head, fleet.Ready) && head.AnnouncedAt.After(g.since) {
		g.enterPhase(now, opening)
		return nil
	}
	if lo.SomeBy(g.members, func(member incarnation) bool { u, _ := p.member(member); return u.Draining }) {
		g.enterPhase(now, draining)
		p.emit(g, "draining", "member is leaving")
		return p.advanceDraining(now, g)
	}
	return p.probe(now, g)
}

// dissolve ends a group that has lost a member. If the head is reachable it is ordered to
// close; otherwise the other members are ordered to leave.
func (p *Planner) dissolve(now time.Time, g *group, reason string) []Order {
	p.emit(g, "broken", reason)
	if !p.reachable(g.members[0]) {
		g.enterPhase(now, leaving)
		return p.advanceLeaving(now, g)
	}
	g.enterPhase(now, closing)
	return p.advanceClosing(now, g)
}

func (p *Planner) advanceDraining(now time.Time, g *group) []Order {
	if reason := p.failureReason(now, g); reason != "" || now.Sub(g.since) > drainTimeout {
		return p.dissolve(now, g, lo.CoalesceOrEmpty(reason, "drain timeout"))
	}
	head, _ := p.member(g.members[0])
	if head.AnnouncedAt.After(g.since) && !g.inState(head, fleet.Open, fleet.Closing) {
		if g.openUnanswered {
			g.enterPhase(now, closing)
			return p.advanceClosing(now, g)
		}
		p.release(now, g, "drained")
		return nil
	}
	return p.order(now, g, g.members[0], Close)
}

func (p *Planner) advanceClosing(now time.Time, g *group) []Order {
	head, current := p.member(g.members[0])
	if !current || !p.reachable(g.members[0]) {
		g.enterPhase(now, leaving)
		return p.advanceLeaving(now, g)
	}
	serving := g.inState(head, fleet.Open, fleet.Closing)
	reported := head.AnnouncedAt.After(g.since)
	if reported && !serving && (!g.openUnanswered || head.Group.Group != g.name) {
		p.release(now, g, "closed")
		return nil
	}
	kind := Close
	if g.openUnanswered {
		// An open order may still be in flight; a head that has left the group ignores it.
		kind = Leave
	}
	orders := p.order(now, g, g.members[0], kind)
	for i := range orders {
		orders[i].Cancel = true
	}
	return orders
}

// advanceLeaving orders the members of a group with an unreachable head to leave. A head
// that still runs reports the group as broken once members have been absent for the stall time.
func (p *Planner) advanceLeaving(now time.Time, g *group) []Order {
	head := g.members[0]
	if p.ended(head) {
		p.release(now, g, "head restarted")
		return nil
	}
	if p.reachable(head) {
		g.enterPhase(now, closing)
		return p.advanceClosing(now, g)
	}
	var orders []Order
	stillMember := false
	for _, member := range g.members[1:] {
		u, current := p.member(member)
		switch {
		case !current || g.freed[member.id] || p.ended(member):
		case u.Group.Group == g.name && u.Group.Epoch == g.epoch || !u.AnnouncedAt.After(g.since):
			stillMember = true
			if p.reachable(member) {
				orders = append(orders, p.order(now, g, member, Leave)...)
			}
		default:
			g.freed[member.id] = true
			p.quarantinedUntil[member.id] = u.AnnouncedAt.Add(p.opts.StallTimeout + stallMargin)
		}
	}
	_, headKnown := p.upstreams[head.id]
	if !stillMember && !headKnown {
		p.release(now, g, "head no longer in the directory")
	}
	return orders
}

// release removes a group from the plan; its members may join other groups.
func (p *Planner) release(now time.Time, g *group, reason string) {
	p.emit(g, "released", reason)
	p.released[g.name] = now
	delete(p.groups, g.name)
}
