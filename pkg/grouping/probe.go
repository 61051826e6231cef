package grouping

import (
	"time"

	"github.com/samber/lo"
)

// silence is a time in which an incarnation answered no probe.
type silence struct{ firstProbe, lastProbe time.Time }

// extendSilence records an unanswered probe and returns how long the incarnation has been silent.
func (p *Planner) extendSilence(now time.Time, inc incarnation) time.Duration {
	s, silent := p.silences[inc]
	if !silent {
		s.firstProbe = now
	}
	s.lastProbe = now
	p.silences[inc] = s
	return now.Sub(s.firstProbe)
}

// probe sends probes to the members of a suspected group, until those that are silent have
// answered or failed.
func (p *Planner) probe(now time.Time, g *group) []Order {
	if p.answersEntries(now, g) {
		for _, member := range g.members {
			delete(p.silences, member)
		}
		return nil
	}
	if now.Sub(g.suspectedAt) > suspicionTTL && !lo.SomeBy(g.members, p.examined) || now.Sub(g.probedAt) < probeInterval {
		return nil
	}
	g.probedAt = now
	return lo.FilterMap(g.members, func(member incarnation, _ int) (Order, bool) {
		u, known := p.member(member)
		return Order{Kind: Probe, Upstream: member.id, StartTime: member.startTime, Address: u.Address, Group: g.name, Epoch: g.epoch}, known
	})
}

// examined reports whether it is open if a silent member has failed.
func (p *Planner) examined(member incarnation) bool {
	_, silent := p.silences[member]
	_, failed := p.failedAt[member]
	return silent && !failed
}
