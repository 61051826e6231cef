package grouping

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

// formGroups forms groups of the free engines and prepares the remaining ones.
func (p *Planner) formGroups(now time.Time) []Order {
	free, orders := p.freeEngines(now)
	for _, service := range slices.Sorted(maps.Keys(p.engines)) {
		engine := p.engines[service]
		p.planMoves(now, service, engine, free)
		for {
			g := p.nextGroup(now, service, engine, free)
			if g == nil {
				break
			}
			p.groups[g.name] = g
			p.emit(g, "forming", "")
			orders = append(orders, p.advanceForming(now, g)...)
		}
		orders = append(orders, p.prepareEngines(now, engine, service, free)...)
	}
	return orders
}

// freeEngines returns the engines that may join a group, by fabric domain, and probes
// those that appear free but are not verified yet.
func (p *Planner) freeEngines(now time.Time) (map[location][]fleet.Upstream, []Order) {
	var orders []Order
	unverified := map[location]bool{}
	assigned := map[string]bool{}
	for _, g := range p.groups {
		for _, member := range g.members {
			assigned[member.id] = assigned[member.id] || !g.freed[member.id]
		}
	}
	free := map[location][]fleet.Upstream{}
	for _, id := range slices.Sorted(maps.Keys(p.upstreams)) {
		u := p.upstreams[id]
		_, busy := p.inFlight[id]
		_, failed := p.failedAt[incarnation{id, u.StartTime}]
		if assigned[id] || busy || failed || headServing(u) || u.Silent || u.Leaving() || now.Before(p.quarantinedUntil[id]) || p.inUnknownGroup(u) {
			continue
		}
		at := location{u.Service, u.FailureDomain, u.FabricDomain}
		if !p.verified[incarnation{id, u.StartTime}].confirmed {
			orders = append(orders, p.verify(now, u)...)
			unverified[at] = true
			continue
		}
		free[at] = append(free[at], u)
	}
	if p.opts.UnlimitedLoads && now.Sub(p.startedAt) < verificationWait {
		// With only part of the engines verified, only small groups could be formed.
		maps.DeleteFunc(free, func(at location, _ []fleet.Upstream) bool { return unverified[at] })
	}
	return free, orders
}

// verificationWait is how long, after the start, the first groups of a fabric domain wait
// until all of its engines are verified.
const verificationWait = 4 * time.Second

// inUnknownGroup reports whether a free engine announces a group that this planner has not
// released.
func (p *Planner) inUnknownGroup(u fleet.Upstream) bool {
	_, released := p.released[u.Group.Group]
	return u.Group.Group != "" && !released
}

// groupCandidate is a group that could be formed.
type groupCandidate struct {
	at      location
	model   *document.Model
	members []fleet.Upstream
	// loads is the number of members that would have to load from the weight store.
	loads int
}

// nextGroup creates the preferred group that can be formed and removes its members from the
// free engines; nil when there is none.
func (p *Planner) nextGroup(now time.Time, service string, engine *document.Engine, free map[location][]fleet.Upstream) *group {
	var best *groupCandidate
	for _, at := range sortedLocations(free) {
		if at.service != service {
			continue
		}
		for i := range engine.Models {
			if p.sufficientlyCovered(service, &engine.Models[i]) || p.reservedForOther(at, &engine.Models[i]) {
				continue
			}
			candidate := p.candidateFor(at, &engine.Models[i], free[at])
			if candidate != nil && (best == nil || p.preferred(candidate, best, free)) {
				best = candidate
			}
		}
	}
	if best == nil {
		return nil
	}
	ids := lo.Map(best.members, func(u fleet.Upstream, _ int) string { return u.ID })
	free[best.at] = lo.Reject(free[best.at], func(u fleet.Upstream, _ int) bool { return lo.Contains(ids, u.ID) })
	epoch := p.nextEpoch()
	g := &group{
		name: groupName(best.model.Name, best.model.GroupSize, epoch), epoch: epoch, service: service, model: best.model,
		location: best.at, wasReady: map[string]bool{}, freed: map[string]bool{}, staged: best.loads == 0,
	}
	for _, u := range best.members {
		g.members = append(g.members, incarnation{u.ID, u.StartTime})
	}
	delete(p.moves, best.at)
	g.enterPhase(now, forming)
	return g
}

// candidateFor returns a candidate group of a model from free engines of one fabric domain.
// Once loads are limited, only engines that can join without a load may be members.
func (p *Planner) candidateFor(at location, model *document.Model, engines []fleet.Upstream) *groupCandidate {
	if len(engines)-p.reservedSpares(at) < model.GroupSize {
		return nil
	}
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b fleet.Upstream) int { return cmp.Compare(p.joinRank(a, model), p.joinRank(b, model)) })
	candidate := &groupCandidate{at: at, model: model, members: sorted[:model.GroupSize]}
	candidate.loads = lo.CountBy(candidate.members, func(u fleet.Upstream) bool { return !p.canJoin(u, model) })
	if candidate.loads > 0 && !p.opts.UnlimitedLoads {
		return nil
	}
	return candidate
}

// joinRank ranks engines by how soon they can join a group of a model: first those whose
// last group served it, then those that hold its weights, then those that hold none.
func (p *Planner) joinRank(u fleet.Upstream, model *document.Model) int {
	switch {
	case p.lastModel[incarnation{u.ID, u.StartTime}] == model.Name:
		return 0
	case u.HasStaged(model.Name):
		return 1
	case len(u.Staged) == 0:
		return 2
	default:
		return 3
	}
}

// canJoin reports whether an engine can join a group of a model without loading from the
// weight store.
func (p *Planner) canJoin(u fleet.Upstream, model *document.Model) bool {
	return p.lastModel[incarnation{u.ID, u.StartTime}] == model.Name || u.HasStaged(model.Name)
}

// preferred reports whether candidate a comes before b: lowest coverage of the model first,
// then fewest groups of the model in the failure domain, then fewest free engines in the
// fabric domain.
func (p *Planner) preferred(a, b *groupCandidate, free map[location][]fleet.Upstream) bool {
	if a.model.Name != b.model.Name {
		return p.coverage(a.at.service, a.model) < p.coverage(b.at.service, b.model)
	}
	if ca, cb := p.groupsInDomain(a), p.groupsInDomain(b); ca != cb {
		return ca < cb
	}
	if la, lb := len(free[a.at]), len(free[b.at]); la != lb {
		return la < lb
	}
	return strings.Compare(a.at.fabricDomain, b.at.fabricDomain) < 0
}

// coverage is the ratio of a model's active groups to the groups that its demand needs.
func (p *Planner) coverage(service string, model *document.Model) float64 {
	return float64(p.activeGroups(service, model)) / p.neededGroups(model)
}

// activeGroups is the number of a model's groups that are open or about to open.
func (p *Planner) activeGroups(service string, model *document.Model) int {
	return lo.CountBy(lo.Values(p.groups), func(g *group) bool {
		return g.service == service && g.model.Name == model.Name && g.phase <= open
	})
}

// neededGroups is the number of groups that the demand for a model keeps busy. While the
// demand is unknown it is proportional to the model's configured share, a share of the engines.
func (p *Planner) neededGroups(model *document.Model) float64 {
	if p.demand != nil {
		return max(p.demand[model.Name], minDemand)
	}
	return max(model.Share/float64(model.GroupSize), minDemand)
}

const (
	// minDemand, in groups, avoids a division by zero for a model without demand.
	minDemand = 0.01
	// sufficientCoverage is the coverage above which more groups of a model have no benefit:
	// peaks of the demand are about twice its mean.
	sufficientCoverage = 2.4
	// spareShare is the share of a fabric domain's engines that are kept out of the first
	// groups when the full-domains mechanism is disabled.
	spareShare = 0.2
)

// sufficientlyCovered reports whether a model has enough groups, so that further engines
// are of more use to it as spares.
func (p *Planner) sufficientlyCovered(service string, model *document.Model) bool {
	return p.demand != nil && p.coverage(service, model) >= sufficientCoverage
}

// reservedSpares is the number of engines of a fabric domain that are kept as spares while
// groups are formed for the first time.
func (p *Planner) reservedSpares(at location) int {
	if !p.opts.UnlimitedLoads || p.opts.Mechanisms.Enabled(mechanism.FullDomains) {
		return 0
	}
	all := lo.CountBy(lo.Values(p.upstreams), func(u fleet.Upstream) bool {
		return location{u.Service, u.FailureDomain, u.FabricDomain} == at
	})
	return int(math.Round(spareShare * float64(all)))
}

func (p *Planner) groupsInDomain(candidate *groupCandidate) int {
	return lo.CountBy(lo.Values(p.groups), func(g *group) bool {
		return g.location.failureDomain == candidate.at.failureDomain && g.model.Name == candidate.model.Name && g.phase <= open
	})
}

func sortedLocations(free map[location][]fleet.Upstream) []location {
	locations := lo.Keys(free)
	slices.SortFunc(locations, func(a, b location) int {
		return cmp.Or(strings.Compare(a.failureDomain, b.failureDomain), strings.Compare(a.fabricDomain, b.fabricDomain))
	})
	return locations
}
