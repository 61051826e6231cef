package placement

import (
	"slices"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/internal/faultinject"
)

// adopt takes over groups that engines echo and that are not in the plan: groups of an
// earlier coordinator, and groups of a fabric domain that is reachable again.
func (p *Planner) adopt() {
	var adopted []*group
	for _, id := range p.ids {
		vm := p.vms[id]
		a := vm.Announcement
		if !vm.Live || a.Group == "" || p.orders[id] != nil || p.Member(id) != "" {
			continue
		}
		known := p.groups[a.Group]
		g := known
		if g == nil || a.Generation > g.generation {
			g = p.adoptGroup(known, vm)
		}
		if g != known {
			adopted = append(adopted, g)
		}
		if g != nil && a.Generation == g.generation && a.Rank < len(g.members) && g.members[a.Rank] == "" {
			p.assign(g, a.Rank, id)
		}
	}
	for _, g := range adopted {
		if p.groups[g.name] != g {
			// Replaced since: another member echoes a higher generation.
			continue
		}
		p.adoptExpired(g)
		p.emitChange(g, Adopted)
	}
}

// adoptExpired assigns ranks to members whose lease ended before this term, so that they
// can be replaced immediately.
func (p *Planner) adoptExpired(g *group) {
	for _, id := range p.byFabric[g.fabric] {
		a := p.vms[id].Announcement
		member := a.Group == g.name && a.Generation == g.generation && a.Rank < len(g.members)
		if member && g.members[a.Rank] == "" && p.orders[id] == nil && p.Member(id) == "" {
			p.assign(g, a.Rank, id)
		}
	}
	if !slices.Contains(g.members, "") {
		g.settledAt = p.now
	}
}

// adoptGroup takes over a group at the generation that a VM echoes. It returns known if the
// echo is not from an earlier term, is of a dissolved generation or is invalid.
func (p *Planner) adoptGroup(known *group, vm *VM) *group {
	a := vm.Announcement
	if FenceOf(a.Generation) >= p.fence || p.dissolved[a.Group] >= a.Generation || a.Size < 1 || a.Rank >= a.Size {
		return known
	}
	g := &group{
		name: a.Group, spec: SpecOf(a.Group), fabric: a.FabricDomain,
		generation: a.Generation, members: make([]string, a.Size), settledAt: p.now.Add(adoptionWait),
	}
	if known != nil {
		p.unassignMembers(known)
	}
	p.groups[a.Group] = g
	return g
}

// hasForeignOrder reports whether a VM holds an order with this term's fencing number that
// was not issued in this term: another coordinator has used the number before.
func (p *Planner) hasForeignOrder() bool {
	return lo.ContainsBy(p.ids, func(id string) bool {
		vm := p.vms[id]
		return vm.Fresh && p.orders[id] == nil && FenceOf(vm.Announcement.Generation) == p.fence
	})
}

func (p *Planner) unassignMembers(g *group) {
	for _, id := range g.members {
		delete(p.memberOf, id)
	}
}

// releaseUnplanned orders VMs to leave groups to which the plan does not assign them, and
// makes a restarted VM confirm that no order to it is outstanding.
func (p *Planner) releaseUnplanned() {
	for _, id := range p.ids {
		vm := p.vms[id]
		if !vm.Live || !vm.Fresh || p.Member(id) != "" {
			continue
		}
		if s := p.orders[id]; s != nil {
			p.confirmRelease(id, s)
			continue
		}
		if vm.Announcement.Group != "" {
			p.release(id)
		}
	}
}

// confirmRelease issues a new release to a VM without a group if its last order was not a
// release, or if it no longer echoes the order.
func (p *Planner) confirmRelease(id string, s *standingOrder) {
	vm := p.vms[id]
	lapsed := s.echoed != 0 && !echoes(vm, s.order)
	if s.order.Group != "" || lapsed {
		p.release(id)
	}
}

// isFree reports whether a VM may be assigned to a group.
func (p *Planner) isFree(vm *VM) bool {
	a := vm.Announcement
	if !vm.Live || !vm.Fresh || vm.Leaving || a.Group != "" || p.Member(a.ID) != "" {
		return false
	}
	if p.InjectedFaults.Has(faultinject.FreeWithoutEcho) {
		return true
	}
	if p.now.Sub(vm.UngroupedSince) < freeAfter {
		return false
	}
	s := p.orders[a.ID]
	if s != nil {
		return s.order.Group == "" && a.Generation >= s.order.Generation
	}
	settled := p.since.Add(OrderLifetime)
	return a.HonoursFencing || p.InjectedFaults.Has(faultinject.ReassignWithoutWait) || !vm.SeenAt.Before(settled)
}

// reservedBy returns the group for which a spare is being prepared.
func (p *Planner) reservedBy(id string) *group {
	for _, g := range p.groups {
		if g.spare == id {
			return g
		}
	}
	return nil
}

// sparesFor returns the free VMs of a group's fabric domain that its specification admits
// and that are not reserved for another group, in the order of freeIn.
func (p *Planner) sparesFor(g *group) []string {
	spec := p.specs[g.spec]
	spares := p.freeIn(spec.Name, g.fabric)
	return slices.DeleteFunc(spares, func(id string) bool {
		other := p.reservedBy(id)
		return other != nil && other != g
	})
}
