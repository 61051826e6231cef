package grouping

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

const (
	// scarceCoverage is the coverage below which a model takes over engines of another one,
	// because its groups cannot serve a peak of the demand.
	scarceCoverage = 1.5
	// minMoveGain is the minimum ratio of the donor model's coverage after a move to the
	// receiving model's coverage before it: a move interrupts the dissolved groups, and the
	// next move must not undo it.
	minMoveGain = 1.2
	// maxMovingShare is the share of all groups that may be moved concurrently, with
	// minConcurrentMoves as the lower bound of the limit.
	maxMovingShare     = 0.125
	minConcurrentMoves = 2
	// moveTimeout ends a move that formed no group: the dissolved groups drain within
	// drainTimeout, and their members report after that.
	moveTimeout = drainTimeout + 3*time.Second
)

// move reserves free engines of a fabric domain for a group of one model.
type move struct {
	model *document.Model
	since time.Time
}

// reservedForOther reports whether the free engines of a fabric domain are reserved for a
// group of another model.
func (p *Planner) reservedForOther(at location, model *document.Model) bool {
	m := p.moves[at]
	return m != nil && m.model.Name != model.Name
}

// planMoves drains groups whose engines are of more use in a group of the model with the
// lowest coverage.
func (p *Planner) planMoves(now time.Time, service string, engine *document.Engine, free map[location][]fleet.Upstream) {
	maxMoves := max(minConcurrentMoves, int(maxMovingShare*float64(len(p.groups))))
	if p.opts.UnlimitedLoads || p.demand == nil || !p.opts.Mechanisms.Enabled(mechanism.Moves) || len(p.moves) >= maxMoves {
		return
	}
	models := lo.Map(engine.Models, func(_ document.Model, i int) *document.Model { return &engine.Models[i] })
	receiving := slices.MinFunc(models, func(a, b *document.Model) int {
		return cmp.Compare(p.projectedCoverage(service, a), p.projectedCoverage(service, b))
	})
	if p.projectedCoverage(service, receiving) >= scarceCoverage {
		return
	}
	at, donors := p.bestDonors(service, receiving, free)
	if donors == nil {
		return
	}
	p.moves[at] = &move{receiving, now}
	for _, g := range donors {
		g.enterPhase(now, draining)
		p.emit(g, "draining", "engines reassigned to "+receiving.Name)
	}
}

// projectedCoverage is a model's coverage once the moves in progress have formed their groups.
func (p *Planner) projectedCoverage(service string, model *document.Model) float64 {
	moving := lo.CountBy(lo.Keys(p.moves), func(at location) bool { return at.service == service && p.moves[at].model.Name == model.Name })
	return p.coverage(service, model) + float64(moving)/p.neededGroups(model)
}

// bestDonors returns the groups to dissolve for one more group of a model: all in one fabric
// domain, with as few engines as possible. It returns none if the gain would be too small
// or if free engines suffice.
func (p *Planner) bestDonors(service string, receiving *document.Model, free map[location][]fleet.Upstream) (location, []*group) {
	var best []*group
	var bestAt location
	for _, at := range p.groupLocations(service) {
		joining := lo.CountBy(free[at], func(u fleet.Upstream) bool { return p.canJoin(u, receiving) })
		if joining >= receiving.GroupSize {
			return location{}, nil
		}
		donors := p.donors(at, receiving, receiving.GroupSize-joining)
		if p.moves[at] == nil && donors != nil && p.improvesCoverage(service, receiving, donors) && (best == nil || memberCount(donors) < memberCount(best)) {
			best, bestAt = donors, at
		}
	}
	return bestAt, best
}

// groupLocations returns the fabric domains in which a service has groups.
func (p *Planner) groupLocations(service string) []location {
	all := map[location][]fleet.Upstream{}
	for _, g := range p.groups {
		if g.service == service {
			all[g.location] = nil
		}
	}
	return sortedLocations(all)
}

// donors returns open groups of other models in a fabric domain that together have the
// lacking engines, best covered model first, then smallest group first; nil if there are
// not enough.
func (p *Planner) donors(at location, receiving *document.Model, lacking int) []*group {
	all := lo.Filter(lo.Values(p.groups), func(g *group, _ int) bool {
		return g.location == at && g.phase == open && g.model.Name != receiving.Name && lo.EveryBy(g.members, func(member incarnation) bool {
			u, current := p.member(member)
			return current && p.canJoin(u, receiving) && p.reachable(member) && !u.Leaving()
		})
	})
	slices.SortFunc(all, func(a, b *group) int {
		return cmp.Or(cmp.Compare(p.coverage(at.service, b.model), p.coverage(at.service, a.model)), cmp.Compare(len(a.members), len(b.members)), cmp.Compare(a.name, b.name))
	})
	for i, g := range all {
		if lacking -= len(g.members); lacking <= 0 {
			return all[:i+1]
		}
	}
	return nil
}

// improvesCoverage reports whether the models of the donor groups would still be covered
// better by minMoveGain than the receiving model is now.
func (p *Planner) improvesCoverage(service string, receiving *document.Model, donors []*group) bool {
	taken := lo.CountValuesBy(donors, func(g *group) *document.Model { return g.model })
	for model, n := range taken {
		if float64(p.activeGroups(service, model)-n)/p.neededGroups(model) <= p.projectedCoverage(service, receiving)*minMoveGain {
			return false
		}
	}
	return true
}

func memberCount(groups []*group) int {
	return lo.SumBy(groups, func(g *group) int { return len(g.members) })
}
