package grouping

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

// loadCandidate is an engine that could load a model.
type loadCandidate struct {
	engine fleet.Upstream
	model  *document.Model
	// isSecond is true if the engine can already serve another model.
	isSecond bool
	gain     float64
}

// prepareEngines prepares engines for the next failure or move. Free engines load the weights
// with the highest gain and enter standby with them. Engines that served one model stage the
// weights of a second one, so that they can join a group of either immediately.
func (p *Planner) prepareEngines(now time.Time, engine *document.Engine, service string, free map[location][]fleet.Upstream) []Order {
	var orders []Order
	var candidates []loadCandidate
	available := map[location]map[string]int{}
	for _, at := range sortedLocations(free) {
		if at.service != service {
			continue
		}
		available[at] = p.availableEngines(free[at])
		for _, u := range free[at] {
			if p.loading(u) {
				continue
			}
			last := p.lastModel[incarnation{u.ID, u.StartTime}]
			if len(u.Staged) == 0 && last == "" {
				model := p.modelToStage(engine, service, available[at])
				candidates = append(candidates, loadCandidate{u, model, false, p.gain(service, model, available[at])})
			} else if o := p.standby(now, engine, u); o != nil {
				orders = append(orders, *o)
			} else if last != "" {
				candidates = append(candidates, p.secondLoad(engine, u, last)...)
			}
		}
	}
	candidates = append(candidates, p.secondLoadsOfMembers(engine, service)...)
	slices.SortStableFunc(candidates, func(a, b loadCandidate) int {
		if a.isSecond != b.isSecond {
			return lo.Ternary(b.isSecond, -1, 1)
		}
		return cmp.Compare(b.gain, a.gain)
	})
	return append(orders, p.orderLoads(now, engine, service, candidates, available)...)
}

// secondLoadsOfMembers returns the loads of a second model that members of open groups could do.
func (p *Planner) secondLoadsOfMembers(engine *document.Engine, service string) []loadCandidate {
	var candidates []loadCandidate
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		g := p.groups[name]
		if g.service != service || g.phase != open {
			continue
		}
		for _, member := range g.members {
			u, current := p.member(member)
			_, busy := p.inFlight[member.id]
			if current && !busy && p.reachable(member) && !u.Leaving() && !p.loading(u) {
				candidates = append(candidates, p.secondLoad(engine, u, g.model.Name)...)
			}
		}
	}
	return candidates
}

// secondLoad returns the load of another model than the engine's last one; none if the
// engine holds such a model. The gain is highest for the model with the fewest engines in the
// fabric domain that can join its groups, relative to its group size.
func (p *Planner) secondLoad(engine *document.Engine, u fleet.Upstream, last string) []loadCandidate {
	if !p.opts.Mechanisms.Enabled(mechanism.SecondWeights) || lo.SomeBy(u.Staged, func(m string) bool { return m != last }) {
		return nil
	}
	at := location{u.Service, u.FailureDomain, u.FabricDomain}
	var best *loadCandidate
	for i := range engine.Models {
		model := &engine.Models[i]
		if model.Name == last {
			continue
		}
		if gain := 1 / (1 + float64(p.joinableEngines(at, model))/float64(model.GroupSize)); best == nil || gain > best.gain {
			best = &loadCandidate{u, model, true, gain}
		}
	}
	if best == nil {
		return nil
	}
	return []loadCandidate{*best}
}

// joinableEngines counts the engines of a fabric domain that can join a group of a model or
// are loading it.
func (p *Planner) joinableEngines(at location, model *document.Model) int {
	return lo.CountBy(lo.Values(p.upstreams), func(u fleet.Upstream) bool {
		return location{u.Service, u.FailureDomain, u.FabricDomain} == at && (p.canJoin(u, model) || p.staging[incarnation{u.ID, u.StartTime}].model == model.Name)
	})
}

// loading reports whether an engine was ordered to load a model that it does not report yet.
func (p *Planner) loading(u fleet.Upstream) bool {
	s, ordered := p.staging[incarnation{u.ID, u.StartTime}]
	return ordered && !u.HasStaged(s.model)
}

// secondLoadShare is the share of concurrent loads that engines which can already serve a
// model may use once loads are limited: other engines need a load to serve at all.
const secondLoadShare = 0.5

// orderLoads orders loads in the order of the candidates. Once loads are limited, no more
// run concurrently than the weight store serves at full speed: more would only slow down
// those in progress.
func (p *Planner) orderLoads(now time.Time, engine *document.Engine, service string, candidates []loadCandidate, available map[location]map[string]int) []Order {
	var orders []Order
	loading := lo.CountBy(lo.Values(p.upstreams), func(u fleet.Upstream) bool { return p.loading(u) && !u.Silent })
	for _, c := range candidates {
		u, model := c.engine, c.model
		maxLoads := max(engine.LoadsAtOnce, 1)
		if c.isSecond {
			maxLoads = int(secondLoadShare * float64(maxLoads))
		}
		if !p.opts.UnlimitedLoads && (loading >= maxLoads || !p.loadLimit.take(now, engine.LoadsPerSecond)) {
			break
		}
		if !c.isSecond {
			inDomain := available[location{u.Service, u.FailureDomain, u.FabricDomain}]
			model = p.modelToStage(engine, service, inDomain)
			inDomain[model.Name]++
		}
		loading++
		p.staging[incarnation{u.ID, u.StartTime}] = stagingLoad{model.Name, now}
		orders = append(orders, Order{Kind: Stage, Upstream: u.ID, StartTime: u.StartTime, Address: u.Address, Model: model.Name})
	}
	return orders
}

// standbySize is the size in the name of a standby group, which contains one spare and is
// never opened: an engine joins a group in a fraction of the time when its last group had
// the same model.
const standbySize = 1

// standbyRetry is the minimum time between two standby orders to one spare: its next
// announcement shows the effect of the first one.
const standbyRetry = 3 * time.Second

// standby returns the order for a spare to join a standby group, unless it was in a group before.
func (p *Planner) standby(now time.Time, engine *document.Engine, u fleet.Upstream) *Order {
	inc := incarnation{u.ID, u.StartTime}
	if at, ordered := p.standbyAt[inc]; ordered && now.Sub(at) < standbyRetry {
		return nil
	}
	if len(u.Staged) == 0 {
		return nil
	}
	model := engine.Model(u.Staged[len(u.Staged)-1])
	if model == nil || model.GroupSize == standbySize || p.lastModel[inc] != "" {
		return nil
	}
	p.standbyAt[inc] = now
	epoch := p.nextEpoch()
	return &Order{
		Kind: Join, Upstream: u.ID, StartTime: u.StartTime, Address: u.Address, Epoch: epoch, Model: model.Name,
		Group: groupName(model.Name, standbySize, epoch), Members: []string{u.ID},
	}
}

func isStandby(size int, model *document.Model) bool {
	return size == standbySize && model.GroupSize != standbySize
}

// availableEngines counts, by model, the engines that can join a group of it or are loading it.
func (p *Planner) availableEngines(engines []fleet.Upstream) map[string]int {
	available := map[string]int{}
	for _, u := range engines {
		inc := incarnation{u.ID, u.StartTime}
		models := append([]string{p.lastModel[inc], p.staging[inc].model}, u.Staged...)
		for _, m := range lo.Uniq(models) {
			available[m]++
		}
	}
	return available
}

// modelToStage chooses the model that an engine of a fabric domain loads. While loads are
// not limited it is the model with the fewest available engines, the largest group size
// first; later it is the model with the highest gain.
func (p *Planner) modelToStage(engine *document.Engine, service string, available map[string]int) *document.Model {
	models := lo.Map(engine.Models, func(_ document.Model, i int) *document.Model { return &engine.Models[i] })
	return slices.MinFunc(models, func(a, b *document.Model) int {
		if p.opts.UnlimitedLoads {
			return cmp.Or(cmp.Compare(available[a.Name], available[b.Name]), cmp.Compare(b.GroupSize, a.GroupSize))
		}
		return cmp.Compare(p.gain(service, b, available), p.gain(service, a, available))
	})
}

// minCoverage keeps the gain of a model without groups finite.
const minCoverage = 0.1

// gain is the benefit of one more engine with a model's weights: it grows with the part of
// the demand that the model's next group would serve, falls with the coverage, and is
// divided by the number of engines that this group lacks.
func (p *Planner) gain(service string, m *document.Model, available map[string]int) float64 {
	missing := m.GroupSize - available[m.Name]%m.GroupSize
	return 1 / (p.neededGroups(m) * max(p.coverage(service, m), minCoverage) * float64(missing))
}
