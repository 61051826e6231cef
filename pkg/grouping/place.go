package grouping

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

// place forms groups of the free engines and has the others stage a model.
func (p *Planner) place(now time.Time) []Order {
	free, orders := p.freeEngines(now)
	for _, service := range slices.Sorted(maps.Keys(p.engines)) {
		engine := p.engines[service]
		for {
			g := p.nextGroup(now, service, engine, free)
			if g == nil {
				break
			}
			p.groups[g.name] = g
			p.note(g, "forming", "")
			orders = append(orders, p.advanceForming(now, g)...)
		}
		if !p.opts.FreeLoads {
			orders = append(orders, p.stage(now, engine, service, free)...)
		}
	}
	return orders
}

// freeEngines returns the engines that may join a group, by fabric domain, and asks
// those for their own word that seem to be free.
func (p *Planner) freeEngines(now time.Time) (map[place][]fleet.Upstream, []Order) {
	var orders []Order
	taken := map[string]bool{}
	for _, g := range p.groups {
		for _, r := range g.members {
			taken[r.id] = taken[r.id] || !g.freed[r.id]
		}
	}
	free := map[place][]fleet.Upstream{}
	for _, id := range slices.Sorted(maps.Keys(p.upstreams)) {
		u := p.upstreams[id]
		_, busy := p.busy[id]
		_, dead := p.dead[run{id, u.Born}]
		if taken[id] || busy || dead || u.Silent || u.Leaving() || now.Before(p.heldUntil[id]) || p.boundElsewhere(u) {
			continue
		}
		if !p.verified[run{id, u.Born}].agreed {
			orders = append(orders, p.verify(now, u)...)
			continue
		}
		at := place{u.Service, u.FailureDomain, u.FabricDomain}
		free[at] = append(free[at], u)
	}
	return free, orders
}

// boundElsewhere reports whether an engine says that it is in a group that this
// planner neither knows nor has released.
func (p *Planner) boundElsewhere(u fleet.Upstream) bool {
	_, released := p.released[u.Group.Group]
	return u.Group.Group != "" && !released
}

// option is a group that could be formed.
type option struct {
	at      place
	model   *document.Model
	members []fleet.Upstream
	// loads is the number of members that would load from the weight store.
	loads int
}

// nextGroup takes the members of the best group that can be formed out of the free
// engines; nil when there is none.
func (p *Planner) nextGroup(now time.Time, service string, engine *document.Engine, free map[place][]fleet.Upstream) *group {
	var best *option
	for at, engines := range free {
		if at.service != service {
			continue
		}
		for i := range engine.Models {
			o := p.optionFor(at, &engine.Models[i], engines)
			if o != nil && (best == nil || p.better(o, best, free)) {
				best = o
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
		place: best.at, wasReady: map[string]bool{}, freed: map[string]bool{}, staged: best.loads == 0,
	}
	for _, u := range best.members {
		g.members = append(g.members, run{u.ID, u.Born})
	}
	g.enter(now, forming)
	return g
}

// optionFor returns a group of a model out of free engines of one fabric domain. Once
// loads count, only engines that hold the weights make up a group.
func (p *Planner) optionFor(at place, model *document.Model, engines []fleet.Upstream) *option {
	if len(engines) < model.GroupSize {
		return nil
	}
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b fleet.Upstream) int { return cmp.Compare(stagingRank(a, model), stagingRank(b, model)) })
	o := &option{at: at, model: model, members: sorted[:model.GroupSize]}
	o.loads = lo.CountBy(o.members, func(u fleet.Upstream) bool { return !u.HasStaged(model.Name) })
	if o.loads > 0 && !p.opts.FreeLoads {
		return nil
	}
	return o
}

// stagingRank orders engines for a model: those that hold its weights, those that
// hold none, the others.
func stagingRank(u fleet.Upstream, model *document.Model) int {
	switch {
	case u.HasStaged(model.Name):
		return 0
	case len(u.Staged) == 0:
		return 1
	default:
		return 2
	}
}

// better prefers the model with the least capacity for its demand, then the failure
// domain with the least capacity, then the fabric domain that is used up best.
func (p *Planner) better(a, b *option, free map[place][]fleet.Upstream) bool {
	if a.model.Name != b.model.Name {
		return p.coverage(a.at.service, a.model) < p.coverage(b.at.service, b.model)
	}
	if ca, cb := p.domainCapacity(a), p.domainCapacity(b); ca != cb {
		return ca < cb
	}
	if la, lb := len(free[a.at]), len(free[b.at]); la != lb {
		return la < lb
	}
	return strings.Compare(a.at.fabricDomain, b.at.fabricDomain) < 0
}

// coverage is the capacity of a model's groups over the demand for it.
func (p *Planner) coverage(service string, model *document.Model) float64 {
	capacity := 0.0
	for _, g := range p.groups {
		if g.service == service && g.model.Name == model.Name && g.phase <= open {
			capacity += 1 / model.Pace
		}
	}
	return capacity / p.demandOf(model)
}

// minDemand keeps a model without any demand from dividing by zero; it is a hundredth
// of the whole.
const minDemand = 0.01

func (p *Planner) demandOf(model *document.Model) float64 {
	total := 0.0
	for _, d := range p.demand {
		total += d
	}
	if total == 0 {
		return max(model.Share, minDemand)
	}
	return max(p.demand[model.Name]/total, minDemand)
}

func (p *Planner) domainCapacity(o *option) int {
	return lo.CountBy(lo.Values(p.groups), func(g *group) bool {
		return g.place.failureDomain == o.at.failureDomain && g.model.Name == o.model.Name && g.phase <= open
	})
}

// stage has free engines without weights load those of the group that their fabric
// domain can complete first.
func (p *Planner) stage(now time.Time, engine *document.Engine, service string, free map[place][]fleet.Upstream) []Order {
	var orders []Order
	for _, at := range sortedPlaces(free) {
		if at.service != service {
			continue
		}
		engines := free[at]
		held := map[string]int{}
		for _, u := range engines {
			for _, m := range u.Staged {
				held[m]++
			}
			if s, under := p.staging[run{u.ID, u.Born}]; under && len(u.Staged) == 0 {
				held[s.model]++
			}
		}
		for _, u := range engines {
			if _, under := p.staging[run{u.ID, u.Born}]; under || len(u.Staged) > 0 {
				continue
			}
			model := p.modelToStage(engine, service, held)
			if model == nil || !p.loads.take(now, engine.LoadsPerSecond) {
				continue
			}
			held[model.Name]++
			p.staging[run{u.ID, u.Born}] = staging{model.Name, now}
			orders = append(orders, Order{Kind: Stage, Upstream: u.ID, Born: u.Born, Address: u.Address, Model: model.Name})
		}
	}
	return orders
}

// modelToStage chooses the model whose next group in a fabric domain is the least
// incomplete; between equals the one with the least capacity for its demand.
func (p *Planner) modelToStage(engine *document.Engine, service string, held map[string]int) *document.Model {
	models := lo.Map(engine.Models, func(_ document.Model, i int) *document.Model { return &engine.Models[i] })
	return slices.MinFunc(models, func(a, b *document.Model) int {
		begunA, begunB := held[a.Name]%a.GroupSize != 0, held[b.Name]%b.GroupSize != 0
		if begunA != begunB {
			if begunA {
				return -1
			}
			return 1
		}
		return cmp.Compare(p.coverage(service, a), p.coverage(service, b))
	})
}

func sortedPlaces(free map[place][]fleet.Upstream) []place {
	places := lo.Keys(free)
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(strings.Compare(a.failureDomain, b.failureDomain), strings.Compare(a.fabricDomain, b.fabricDomain))
	})
	return places
}
