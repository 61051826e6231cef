package grouping

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

// candidate is a free engine that could load a model.
type candidate struct {
	engine fleet.Upstream
	model  *document.Model
	gain   float64
}

// prepare readies the free engines of a service for the next loss: they load the
// weights that gain the most, and those that hold some stand by.
func (p *Planner) prepare(now time.Time, engine *document.Engine, service string, free map[place][]fleet.Upstream) []Order {
	var orders []Order
	var candidates []candidate
	held := map[place]map[string]int{}
	for _, at := range sortedPlaces(free) {
		if at.service != service {
			continue
		}
		held[at] = p.heldModels(free[at])
		for _, u := range free[at] {
			if p.loading(u) {
				continue
			}
			model := p.modelToStage(engine, service, held[at])
			if len(u.Staged) == 0 || p.worthChanging(engine, u, model, held[at]) {
				candidates = append(candidates, candidate{u, model, p.gain(service, model, held[at])})
				continue
			}
			if o := p.standby(now, engine, u); o != nil {
				orders = append(orders, *o)
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.gain, a.gain) })
	return append(orders, p.stage(now, engine, service, candidates, held)...)
}

// loading reports whether an engine was told to load a model that it does not hold yet.
func (p *Planner) loading(u fleet.Upstream) bool {
	s, under := p.staging[run{u.ID, u.Born}]
	return under && !u.HasStaged(s.model)
}

// stage has engines load, the one that gains the most first. No more load at once than
// the weight store bears at full speed: others would only slow the first ones down.
func (p *Planner) stage(now time.Time, engine *document.Engine, service string, candidates []candidate, held map[place]map[string]int) []Order {
	var orders []Order
	loading := lo.CountBy(lo.Values(p.upstreams), func(u fleet.Upstream) bool { return p.loading(u) && !u.Silent })
	for _, c := range candidates {
		u := c.engine
		if !p.opts.FreeLoads && (loading >= max(engine.LoadsAtOnce, 1) || !p.loads.take(now, engine.LoadsPerSecond)) {
			break
		}
		holds := held[place{u.Service, u.FailureDomain, u.FabricDomain}]
		model := p.modelToStage(engine, service, holds)
		if len(u.Staged) > 0 && !p.worthChanging(engine, u, model, holds) {
			continue
		}
		for _, m := range u.Staged {
			holds[m]--
		}
		holds[model.Name]++
		loading++
		p.staging[run{u.ID, u.Born}] = staging{model.Name, now}
		orders = append(orders, Order{Kind: Stage, Upstream: u.ID, Born: u.Born, Address: u.Address, Model: model.Name})
	}
	return orders
}

// standbySize is the size in the name of a group in which a spare stands by: an engine
// joins a group in a fraction of the time when its last group had the same model.
// Such a group is never opened.
const standbySize = 1

// standbyRetry is the shortest time between two orders to one spare to stand by: its
// report of the first one comes with the next announcement at the latest.
const standbyRetry = 3 * time.Second

// standby has a spare join a group of its own, unless its last one had its model.
func (p *Planner) standby(now time.Time, engine *document.Engine, u fleet.Upstream) *Order {
	r := run{u.ID, u.Born}
	if at, ordered := p.standbyAt[r]; ordered && now.Sub(at) < standbyRetry {
		return nil
	}
	model := engine.Model(u.Staged[len(u.Staged)-1])
	if model == nil || model.GroupSize == standbySize {
		return nil
	}
	if last, _, ok := parseName(u.Group.Group); ok && last == model.Name {
		return nil
	}
	p.standbyAt[r] = now
	epoch := p.nextEpoch()
	return &Order{
		Kind: Join, Upstream: u.ID, Born: u.Born, Address: u.Address, Epoch: epoch, Model: model.Name,
		Group: groupName(model.Name, standbySize, epoch), Members: []string{u.ID},
	}
}

// isStandby reports whether a group is one in which a spare stands by.
func isStandby(size int, model *document.Model) bool {
	return size == standbySize && model.GroupSize != standbySize
}

// heldModels counts the free engines that hold each model, or are loading it.
func (p *Planner) heldModels(engines []fleet.Upstream) map[string]int {
	held := map[string]int{}
	for _, u := range engines {
		if s, under := p.staging[run{u.ID, u.Born}]; under && !u.HasStaged(s.model) {
			held[s.model]++
			continue
		}
		for _, m := range u.Staged {
			held[m]++
		}
	}
	return held
}

// worthChanging reports whether a spare should load another model than it holds: the
// one that more engines of its fabric domain lie idle for want of.
func (p *Planner) worthChanging(engine *document.Engine, u fleet.Upstream, model *document.Model, held map[string]int) bool {
	if p.opts.FreeLoads || p.demand == nil || u.HasStaged(model.Name) || p.comfortable(u.Service, model) {
		return false
	}
	own := engine.Model(u.Staged[0])
	if own == nil {
		return true
	}
	idle := held[model.Name] % model.GroupSize
	missing := model.GroupSize - idle
	return missing <= held[own.Name] && idle > held[own.Name]%own.GroupSize
}

// modelToStage chooses the model for an engine of a fabric domain. While loads are
// free it is the one without a spare, the largest first; later the one whose next
// group gains the most for each engine that it lacks.
func (p *Planner) modelToStage(engine *document.Engine, service string, held map[string]int) *document.Model {
	models := lo.Map(engine.Models, func(_ document.Model, i int) *document.Model { return &engine.Models[i] })
	return slices.MinFunc(models, func(a, b *document.Model) int {
		if p.opts.FreeLoads {
			return cmp.Or(cmp.Compare(held[a.Name], held[b.Name]), cmp.Compare(b.GroupSize, a.GroupSize))
		}
		return cmp.Compare(p.gain(service, b, held), p.gain(service, a, held))
	})
}

// minCoverage keeps the gain of a model without any group finite.
const minCoverage = 0.1

// gain is what one more engine with a model's weights brings: the part of the demand
// that its next group serves, the more the less is covered, for each engine that the
// group lacks.
func (p *Planner) gain(service string, m *document.Model, held map[string]int) float64 {
	needed := m.Share * m.Pace
	if p.demand != nil {
		needed = p.demand[m.Name]
	}
	missing := m.GroupSize - held[m.Name]%m.GroupSize
	return 1 / (max(needed, minDemand) * max(p.coverage(service, m), minCoverage) * float64(missing))
}

func (p *Planner) scarce(service string, model *document.Model) bool {
	return p.demand != nil && p.coverage(service, model) < scarceCoverage
}
