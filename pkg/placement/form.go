package placement

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/state"
)

// form forms groups of free VMs. Specifications with the most VMs go first, because they
// fit into the fewest fabric domains; each group goes to the fabric domain in which the
// fewest VMs are left over.
func (p *Planner) form() {
	specs := lo.Map(p.specNames, func(name string, _ int) *state.Group { return p.specs[name] })
	slices.SortFunc(specs, func(a, b *state.Group) int {
		return cmp.Or(cmp.Compare(b.Spec.VMs, a.Spec.VMs), cmp.Compare(a.Name, b.Name))
	})
	for _, spec := range specs {
		p.formGroups(spec)
	}
}

func (p *Planner) formGroups(spec *state.Group) {
	existing := len(p.liveGroups(spec.Name))
	for spec.Spec.Count == 0 || existing < spec.Spec.Count {
		fabric, ok := p.bestFit(spec)
		if !ok {
			return
		}
		p.formGroup(spec, fabric)
		existing++
	}
}

func (p *Planner) formGroup(spec *state.Group, fabric string) {
	ids := p.formable(spec, fabric)
	g := &group{spec: spec.Name, fabric: fabric, members: make([]string, spec.Spec.VMs)}
	g.name = GroupName(p.failureDomain, spec.Name, Generation(p.fence, p.counter+1), p.incarnation)
	p.groups[g.name] = g
	for rank := range g.members {
		p.assign(g, rank, ids[rank])
	}
	p.orderGroup(g, Formed)
}

// bestFit returns the fabric domain in which groups of a specification leave the fewest VMs over.
func (p *Planner) bestFit(spec *state.Group) (string, bool) {
	free := map[string]int{}
	for fabric := range p.byFabric {
		if p.settling(fabric) {
			continue
		}
		if n := len(p.formable(spec, fabric)); n >= spec.Spec.VMs {
			free[fabric] = n
		}
	}
	if len(free) == 0 {
		return "", false
	}
	return slices.MinFunc(lo.Keys(free), func(a, b string) int {
		left := cmp.Compare(free[a]%spec.Spec.VMs, free[b]%spec.Spec.VMs)
		return cmp.Or(left, cmp.Compare(free[a], free[b]), cmp.Compare(a, b))
	}), true
}

// settling reports whether an adopted group of a fabric domain still waits for announcements
// of its members; it may need the free VMs as spares.
func (p *Planner) settling(fabric string) bool {
	return lo.ContainsBy(lo.Values(p.groups), func(g *group) bool {
		return g.fabric == fabric && slices.Contains(g.members, "")
	})
}

// formable returns the free VMs for new groups, without spares that are being prepared for
// a drain.
func (p *Planner) formable(spec *state.Group, fabric string) []string {
	return slices.DeleteFunc(p.freeIn(spec.Name, fabric), func(id string) bool { return p.reservedBy(id) != nil })
}

// freeIn returns the free VMs of a fabric domain that a specification admits: prepared VMs
// first, then those that the fewest specifications admit.
func (p *Planner) freeIn(spec, fabric string) []string {
	ids := lo.Filter(p.byFabric[fabric], func(id string, _ int) bool {
		vm := p.vms[id]
		return p.isFree(vm) && p.admits(spec, vm)
	})
	slices.SortStableFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.prepareRank(a), p.prepareRank(b)), cmp.Compare(p.admittingSpecs(a), p.admittingSpecs(b)))
	})
	return ids
}

func (p *Planner) prepareRank(id string) int {
	return lo.Ternary(p.vms[id].Announcement.Prepared, 0, 1)
}

func (p *Planner) admittingSpecs(id string) int {
	return lo.CountBy(lo.Values(p.specs), func(s *state.Group) bool { return p.admits(s.Name, p.vms[id]) })
}
