package grouping

import (
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/fleet"
)

// advance takes the next step of one group.
func (p *Planner) advance(now time.Time, g *group) []Order {
	p.noteReady(g)
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

func (p *Planner) noteReady(g *group) {
	for _, r := range g.members {
		if u, ok := p.member(r); ok && g.holds(u, fleet.Ready, fleet.Open, fleet.Closing) {
			g.wasReady[r.id] = true
		}
	}
}

func (p *Planner) advanceForming(now time.Time, g *group) []Order {
	if reason := p.lostReason(now, g); reason != "" {
		p.release(now, g, reason)
		return nil
	}
	if g.rejected {
		p.release(now, g, "join refused")
		return nil
	}
	if g.staged && now.Sub(g.since) > formTimeout {
		p.release(now, g, "not ready in time")
		return nil
	}
	if len(g.wasReady) == len(g.members) {
		g.enter(now, opening)
		return p.advanceOpening(now, g)
	}
	var orders []Order
	for _, r := range g.members {
		u, _ := p.member(r)
		if !g.holds(u, fleet.Joining, fleet.Ready, fleet.Open) {
			orders = append(orders, p.order(now, g, r, Join)...)
		}
	}
	return orders
}

func (p *Planner) advanceOpening(now time.Time, g *group) []Order {
	head, _ := p.member(g.members[0])
	if g.holds(head, fleet.Open) {
		g.enter(now, open)
		p.note(g, "open", "")
		return nil
	}
	if reason := p.lostReason(now, g); reason != "" {
		return p.breakUp(now, g, reason)
	}
	if g.rejected {
		return p.breakUp(now, g, "opening refused")
	}
	return p.order(now, g, g.members[0], Open)
}

func (p *Planner) advanceOpen(now time.Time, g *group) []Order {
	if reason := p.lostReason(now, g); reason != "" {
		return p.breakUp(now, g, reason)
	}
	head, _ := p.member(g.members[0])
	if g.holds(head, fleet.Broken) {
		return p.breakUp(now, g, "head broken")
	}
	if g.holds(head, fleet.Ready) && head.HeardAt.After(g.since) {
		g.enter(now, opening)
		return nil
	}
	if lo.SomeBy(g.members, func(r run) bool { u, _ := p.member(r); return u.Draining }) {
		g.enter(now, draining)
		p.note(g, "draining", "member leaves")
		return p.advanceDraining(now, g)
	}
	return p.probe(now, g)
}

// probe asks the members of a group that fell silent whether they answer.
func (p *Planner) probe(now time.Time, g *group) []Order {
	if now.Sub(g.suspectedAt) > suspicionMemory || now.Sub(g.probedAt) < probeInterval || p.answersEntries(now, g) {
		return nil
	}
	g.probedAt = now
	return lo.FilterMap(g.members, func(r run, _ int) (Order, bool) {
		u, known := p.member(r)
		return Order{Kind: Probe, Upstream: r.id, Born: r.born, Address: u.Address, Group: g.name, Epoch: g.epoch}, known
	})
}

// breakUp ends a group that has lost a member: by its head where that answers, by
// the others where it does not.
func (p *Planner) breakUp(now time.Time, g *group, reason string) []Order {
	p.note(g, "broken", reason)
	if !p.reachable(g.members[0]) {
		g.enter(now, leaving)
		return p.advanceLeaving(now, g)
	}
	g.enter(now, closing)
	return p.advanceClosing(now, g)
}

func (p *Planner) advanceDraining(now time.Time, g *group) []Order {
	if reason := p.lostReason(now, g); reason != "" || now.Sub(g.since) > drainTimeout {
		return p.breakUp(now, g, lo.CoalesceOrEmpty(reason, "drained long enough"))
	}
	head, _ := p.member(g.members[0])
	if head.HeardAt.After(g.since) && !g.holds(head, fleet.Open, fleet.Closing) {
		p.release(now, g, "drained")
		return nil
	}
	return p.order(now, g, g.members[0], Close)
}

func (p *Planner) advanceClosing(now time.Time, g *group) []Order {
	head, current := p.member(g.members[0])
	if !current || !p.reachable(g.members[0]) {
		g.enter(now, leaving)
		return p.advanceLeaving(now, g)
	}
	holding := g.holds(head, fleet.Open, fleet.Closing)
	told := head.HeardAt.After(g.since)
	if told && !holding && (!g.openUnanswered || head.Group.Group != g.name) {
		p.release(now, g, "closed")
		return nil
	}
	kind := Close
	if g.openUnanswered {
		// An order to open may still be on its way; a head outside the group ignores it.
		kind = Leave
	}
	orders := p.order(now, g, g.members[0], kind)
	for i := range orders {
		orders[i].Cancel = true
	}
	return orders
}

// advanceLeaving takes the members out of a group whose head cannot be reached. If
// the head still runs, it is broken once they have been away for the stall time.
func (p *Planner) advanceLeaving(now time.Time, g *group) []Order {
	head := g.members[0]
	if p.ended(head) {
		p.release(now, g, "head ended")
		return nil
	}
	if p.reachable(head) {
		g.enter(now, closing)
		return p.advanceClosing(now, g)
	}
	var orders []Order
	bound := false
	for _, r := range g.members[1:] {
		u, current := p.member(r)
		switch {
		case !current || g.freed[r.id] || p.ended(r):
		case u.Group.Group == g.name && u.Group.Epoch == g.epoch || !u.HeardAt.After(g.since):
			bound = true
			if p.reachable(r) {
				orders = append(orders, p.order(now, g, r, Leave)...)
			}
		default:
			g.freed[r.id] = true
			p.heldUntil[r.id] = u.HeardAt.Add(p.opts.Stall + stallMargin)
		}
	}
	_, headKnown := p.upstreams[head.id]
	if !bound && !headKnown {
		p.release(now, g, "head forgotten")
	}
	return orders
}

// release ends a group; its members may be used again.
func (p *Planner) release(now time.Time, g *group, reason string) {
	p.note(g, "released", reason)
	p.released[g.name] = now
	delete(p.groups, g.name)
}
