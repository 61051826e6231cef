package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
)

// repair repairs, drains or retires the groups, in the order of their names.
func (p *Planner) repair() {
	names := lo.Keys(p.groups)
	slices.Sort(names)
	var unrepaired []*group
	for _, name := range names {
		g := p.groups[name]
		if !p.wanted(g) {
			p.retire(g, &g.unwantedSince)
			continue
		}
		g.unwantedSince = time.Time{}
		if p.repairGroup(g) {
			unrepaired = append(unrepaired, g)
		}
	}
	p.consolidate(unrepaired)
	p.retireExcess()
}

// wanted reports whether a group's specification still exists with its size and admits its members.
func (p *Planner) wanted(g *group) bool {
	spec := p.specs[g.spec]
	if spec == nil || spec.Spec.VMs != len(g.members) {
		return false
	}
	return lo.EveryBy(g.members, func(id string) bool {
		vm := p.vms[id]
		return vm == nil || p.admits(spec.Name, vm)
	})
}

func (p *Planner) admits(spec string, vm *VM) bool {
	s := p.specs[spec]
	return s.Spec.Service == vm.Announcement.Service && s.Selector.Matches(vm.Labels)
}

// repairGroup repairs or drains a group; it reports whether the group is broken and there
// are not enough spares to repair it. A group with all members missing is kept, because its
// fabric domain may be unreachable and the group may return whole.
func (p *Planner) repairGroup(g *group) bool {
	missing := lo.Filter(lo.Range(len(g.members)), func(rank, _ int) bool { return p.missing(g, rank) })
	if len(missing) == len(g.members) {
		g.settledAt = p.now.Add(adoptionWait)
		return false
	}
	if len(missing) == 0 {
		g.brokenSince = time.Time{}
		p.reformRestarted(g)
		p.drain(g)
		return false
	}
	if g.brokenSince.IsZero() {
		g.brokenSince = p.now
	}
	if p.now.Before(g.settledAt) {
		return false
	}
	spares := p.sparesFor(g)
	if len(spares) < len(missing) {
		return true
	}
	for i, rank := range missing {
		p.assign(g, rank, spares[i])
	}
	p.orderGroup(g, Repaired)
	return false
}

// missing reports whether the member of a rank has to be replaced.
func (p *Planner) missing(g *group, rank int) bool {
	id := g.members[rank]
	vm, s := p.vms[id], p.orders[id]
	if vm == nil || vm.Lost {
		return true
	}
	unaccepted := s != nil && !s.accepted && !s.firstSent.IsZero()
	return unaccepted && p.now.Sub(s.firstSent) >= acceptTimeout
}

// reformRestarted gives a group a new generation when a member has lost its order in a
// restart, so that all members start together.
func (p *Planner) reformRestarted(g *group) {
	restarted := lo.ContainsBy(g.members, func(id string) bool {
		vm, s := p.vms[id], p.orders[id]
		if vm == nil || !vm.Live || !vm.Fresh {
			return false
		}
		if s == nil {
			return !echoes(vm, api.Order{Group: g.name, Generation: g.generation})
		}
		return s.echoed != 0 && !echoes(vm, s.order)
	})
	if restarted {
		p.orderGroup(g, Reformed)
	}
}

// orderGroup orders every member to join the group's next generation.
func (p *Planner) orderGroup(g *group, change Change) {
	g.generation = p.nextGeneration()
	g.brokenSince, g.leavingSince, g.spare = time.Time{}, time.Time{}, ""
	spec := p.specs[g.spec]
	for rank, id := range g.members {
		p.order(id, api.Order{
			Fence: g.generation, Group: g.name, Generation: g.generation,
			Members: slices.Clone(g.members), Rank: rank, Service: spec.Spec.Service,
		})
	}
	p.emitChange(g, change)
}

// drain replaces a leaving member by a spare that has loaded the weights, once the group's
// requests in flight have ended.
func (p *Planner) drain(g *group) {
	rank := slices.IndexFunc(g.members, func(id string) bool { return id != "" && p.vms[id].Leaving })
	if rank < 0 {
		g.leavingSince, g.spare = time.Time{}, ""
		return
	}
	if g.leavingSince.IsZero() {
		g.leavingSince = p.now
	}
	spares := p.sparesFor(g)
	if len(spares) == 0 && !p.preparing(g) {
		g.spare = ""
		return
	}
	if !p.preparing(g) {
		g.spare = spares[0]
		p.prepare(g)
		return
	}
	if slices.Contains(spares, g.spare) && p.drained(g) {
		p.assign(g, rank, g.spare)
		p.orderGroup(g, Drained)
	}
}

// preparing reports whether the group has a spare that can still replace the leaving member.
func (p *Planner) preparing(g *group) bool {
	vm := p.vms[g.spare]
	return vm != nil && vm.Live && !vm.Leaving && p.Member(g.spare) == ""
}

// prepare orders a spare to load the service's weights outside any group.
func (p *Planner) prepare(g *group) {
	generation := p.nextGeneration()
	p.order(g.spare, api.Order{
		Fence: generation, Generation: generation, Service: p.specs[g.spec].Spec.Service, Prepare: true,
	})
}

// drained reports whether the group's spare is ready and its requests have ended, or the
// timeouts for them have passed.
func (p *Planner) drained(g *group) bool {
	waited := p.now.Sub(g.leavingSince)
	ready := p.vms[g.spare].Announcement.Prepared || waited >= prepareTimeout
	return ready && (!p.busy(g) || waited >= drainTimeout)
}

// retire dissolves a group that is no longer wanted once its requests have ended.
func (p *Planner) retire(g *group, since *time.Time) {
	if since.IsZero() {
		*since = p.now
	}
	waited := p.now.Sub(*since)
	if waited >= retireDelay && !p.busy(g) || waited >= drainTimeout {
		p.dissolve(g)
	}
}

func (p *Planner) busy(g *group) bool {
	return lo.ContainsBy(g.members, func(id string) bool { return p.vms[id] != nil && p.vms[id].Live && p.vms[id].busy() })
}

// dissolve removes a group from the plan and releases its VMs; each is free once it has
// announced the release.
func (p *Planner) dissolve(g *group) {
	delete(p.groups, g.name)
	p.unassignMembers(g)
	p.dissolved[g.name] = g.generation
	for _, id := range g.members {
		if vm := p.vms[id]; vm != nil {
			p.release(id)
		}
	}
	p.emitChange(g, Dissolved)
}

// consolidate handles broken groups that cannot be repaired with spares, by specification
// and fabric domain. It dissolves the group that lacks the most members if that frees enough
// VMs to repair the one that lacks the fewest, or if it has been broken for abandonAfter.
func (p *Planner) consolidate(unrepaired []*group) {
	byKind := lo.GroupBy(unrepaired, func(g *group) string { return g.spec + "/" + g.fabric })
	keys := lo.Keys(byKind)
	slices.Sort(keys)
	for _, key := range keys {
		groups := byKind[key]
		slices.SortFunc(groups, func(a, b *group) int {
			return cmp.Or(cmp.Compare(p.missingCount(a), p.missingCount(b)), cmp.Compare(a.name, b.name))
		})
		first, last := groups[0], groups[len(groups)-1]
		live := len(last.members) - p.missingCount(last)
		canRepair := first != last && live+len(p.sparesFor(first)) >= p.missingCount(first)
		if canRepair && p.brokenFor(first) >= consolidateAfter || p.brokenFor(last) >= abandonAfter {
			p.dissolve(last)
		}
	}
}

func (p *Planner) missingCount(g *group) int {
	return lo.CountBy(lo.Range(len(g.members)), func(rank int) bool { return p.missing(g, rank) })
}

func (p *Planner) brokenFor(g *group) time.Duration { return p.now.Sub(g.brokenSince) }

// retireExcess retires groups that exceed a specification's count, those with the fewest
// requests first. Only groups whose members all serve are counted, so that a fabric domain
// that is recovering does not cost a serving group.
func (p *Planner) retireExcess() {
	for _, name := range p.specNames {
		spec := p.specs[name]
		if spec.Spec.Count == 0 {
			continue
		}
		serving := lo.Filter(p.liveGroups(name), func(name string, _ int) bool { return p.serving(p.groups[name]) })
		slices.SortStableFunc(serving, func(a, b string) int { return cmp.Compare(p.requests(p.groups[b]), p.requests(p.groups[a])) })
		for i, name := range serving {
			// Sorted by requests, most first; ties keep the oldest group.
			if i >= spec.Spec.Count {
				p.retire(p.groups[name], &p.groups[name].excessSince)
				continue
			}
			p.groups[name].excessSince = time.Time{}
		}
	}
}

// serving reports whether every member echoes the group.
func (p *Planner) serving(g *group) bool {
	return lo.EveryBy(g.members, func(id string) bool {
		vm := p.vms[id]
		return vm != nil && vm.Fresh && echoes(vm, api.Order{Group: g.name, Generation: g.generation})
	})
}

// requests counts the running and waiting requests of a group.
func (p *Planner) requests(g *group) int {
	return lo.SumBy(g.members, func(id string) int { return p.vms[id].Announcement.Load.Running + p.vms[id].Announcement.Load.Waiting })
}

// liveGroups returns the names of a specification's groups that have a member which is not
// missing, oldest first.
func (p *Planner) liveGroups(spec string) []string {
	var live []*group
	for _, g := range p.groups {
		if g.spec == spec && p.missingCount(g) < len(g.members) {
			live = append(live, g)
		}
	}
	slices.SortFunc(live, func(a, b *group) int {
		return cmp.Or(cmp.Compare(len(a.name), len(b.name)), cmp.Compare(a.name, b.name))
	})
	return lo.Map(live, func(g *group, _ int) string { return g.name })
}
