package grouping

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/fleet"
)

// adopt takes over groups that engines report and this planner does not know: a
// steward before it ordered them, or a late order formed them.
func (p *Planner) adopt(now time.Time) {
	reported := map[string][]fleet.Upstream{}
	for _, u := range p.upstreams {
		name := u.Group.Group
		_, released := p.released[name]
		if name == "" || released || p.groups[name] != nil || u.Gone {
			continue
		}
		reported[name] = append(reported[name], u)
	}
	for _, name := range slices.Sorted(maps.Keys(reported)) {
		p.adoptGroup(now, name, reported[name])
	}
}

func (p *Planner) adoptGroup(now time.Time, name string, members []fleet.Upstream) {
	slices.SortFunc(members, func(a, b fleet.Upstream) int { return cmp.Compare(a.Group.Rank, b.Group.Rank) })
	modelName, size, ok := parseName(name)
	first := members[0]
	model := p.engines[first.Service].Model(modelName)
	if !ok || model == nil {
		p.released[name] = now
		return
	}
	g := &group{
		name: name, epoch: first.Group.Epoch, service: first.Service, model: model, wasReady: map[string]bool{}, freed: map[string]bool{},
		place: place{first.Service, first.FailureDomain, first.FabricDomain}, staged: true,
	}
	complete := len(members) == size && size == model.GroupSize
	for rank, u := range members {
		complete = complete && u.Group.Rank == rank && u.Group.Epoch == g.epoch
		g.members = append(g.members, run{u.ID, u.Born})
	}
	p.groups[name] = g
	g.enter(now, p.adoptedPhase(first, complete))
	p.noteReady(g)
	p.note(g, "adopted", string(first.Group.State))
}

// adoptedPhase tells how to go on with a group by its lowest member: when a member
// is missing it is the head's state that binds the others.
func (p *Planner) adoptedPhase(first fleet.Upstream, complete bool) phase {
	headKnown := first.Group.Rank == 0
	serving := lo.Contains([]fleet.GroupState{fleet.Open, fleet.Closing}, first.Group.State)
	switch {
	case complete && first.Group.State == fleet.Open:
		return open
	case complete && !serving && first.Group.State != fleet.Broken:
		return forming
	case headKnown:
		return closing
	default:
		return leaving
	}
}
