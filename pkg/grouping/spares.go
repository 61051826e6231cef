package grouping

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

// prepare readies the free engines of a service for the next loss: they load the
// weights that their fabric domain lacks first, and then stand by.
func (p *Planner) prepare(now time.Time, engine *document.Engine, service string, free map[place][]fleet.Upstream) []Order {
	var orders []Order
	for _, at := range sortedPlaces(free) {
		if at.service != service {
			continue
		}
		held := p.heldModels(free[at])
		for _, u := range free[at] {
			if o := p.prepareOne(now, engine, u, held); o != nil {
				orders = append(orders, *o)
			}
		}
	}
	return orders
}

func (p *Planner) prepareOne(now time.Time, engine *document.Engine, u fleet.Upstream, held map[string]int) *Order {
	if s, under := p.staging[run{u.ID, u.Born}]; under && !u.HasStaged(s.model) {
		return nil
	}
	model := p.modelToStage(engine, u.Service, held)
	switch {
	case len(u.Staged) == 0:
		return p.stageOrder(now, engine, u, model, held)
	case p.worthChanging(engine, u, model, held):
		return p.stageOrder(now, engine, u, model, held)
	default:
		return p.standby(engine, u)
	}
}

// stageOrder has an engine load a model, as far as the weight store's budget goes.
func (p *Planner) stageOrder(now time.Time, engine *document.Engine, u fleet.Upstream, model *document.Model, held map[string]int) *Order {
	if !p.opts.FreeLoads && !p.loads.take(now, engine.LoadsPerSecond) {
		return nil
	}
	for _, m := range u.Staged {
		held[m]--
	}
	held[model.Name]++
	p.staging[run{u.ID, u.Born}] = staging{model.Name, now}
	return &Order{Kind: Stage, Upstream: u.ID, Born: u.Born, Address: u.Address, Model: model.Name}
}

// standbySize is the size in the name of a group in which a spare stands by: an engine
// joins a group in a fraction of the time when its last group had the same model.
// Such a group is never opened.
const standbySize = 1

// standby has a spare join a group of its own, unless its last one had its model.
func (p *Planner) standby(engine *document.Engine, u fleet.Upstream) *Order {
	model := engine.Model(u.Staged[len(u.Staged)-1])
	if model == nil || model.GroupSize == standbySize {
		return nil
	}
	if last, _, ok := parseName(u.Group.Group); ok && last == model.Name {
		return nil
	}
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

// worthChanging reports whether a spare should load another model than it holds: one
// that is scarce while its own is not, or the one that engines of its fabric domain
// lie idle for want of.
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
	completes := missing <= held[own.Name] && idle > held[own.Name]%own.GroupSize
	scarce := p.scarce(u.Service, model) && !p.scarce(u.Service, own) && missing <= held[own.Name]
	return completes || scarce
}

// modelToStage chooses the model for an engine of a fabric domain. While loads are
// free it is the one without a spare, the largest first; later one that is scarce,
// then the one whose next group it completes, then the one with the least coverage.
func (p *Planner) modelToStage(engine *document.Engine, service string, held map[string]int) *document.Model {
	models := lo.Map(engine.Models, func(_ document.Model, i int) *document.Model { return &engine.Models[i] })
	return slices.MinFunc(models, func(a, b *document.Model) int {
		if p.opts.FreeLoads {
			return cmp.Or(cmp.Compare(held[a.Name], held[b.Name]), cmp.Compare(b.GroupSize, a.GroupSize))
		}
		return cmp.Or(
			first(p.scarce(service, a), p.scarce(service, b)),
			first(lacksOne(a, held), lacksOne(b, held)),
			cmp.Compare(p.coverage(service, a), p.coverage(service, b)),
		)
	})
}

// lacksOne reports whether one more engine completes a model's next group.
func lacksOne(m *document.Model, held map[string]int) bool {
	return m.GroupSize > 1 && held[m.Name]%m.GroupSize == m.GroupSize-1
}

func (p *Planner) scarce(service string, model *document.Model) bool {
	return p.demand != nil && p.coverage(service, model) < scarceCoverage
}

// first orders what has a property before what has not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
