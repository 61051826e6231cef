package grouping

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/fleet"
)

// adopt takes over groups that engines report and this planner does not know: a
// steward before it ordered them, or a late order formed them.
func (p *Planner) adopt(now time.Time) {
	reported := map[string][]fleet.Upstream{}
	for _, u := range p.upstreams {
		name := u.Group.Group
		releasedAt, released := p.released[name]
		if released && serving(u) && u.HeardAt.After(releasedAt) {
			// Its head was lost and has come back.
			delete(p.released, name)
			released = false
		}
		if name == "" || released || u.Gone {
			continue
		}
		if g := p.groups[name]; g != nil {
			g.findHead(u)
			continue
		}
		reported[name] = append(reported[name], u)
	}
	for _, name := range slices.Sorted(maps.Keys(reported)) {
		p.adoptGroup(now, name, reported[name])
	}
}

// serving reports whether an engine is a head that takes or finishes requests.
func serving(u fleet.Upstream) bool {
	return u.Group.State == fleet.Open || u.Group.State == fleet.Closing
}

// completeTime is how long a new steward waits for the members of a group that some
// report: after a restart of everything announcements take a while to come in.
const completeTime = 4 * time.Second

// unknownHead stands for the head of a group that only other members report.
var unknownHead = run{}

// findHead takes in the report of a head that was not known.
func (g *group) findHead(u fleet.Upstream) {
	if g.members[0] == unknownHead && u.Group.Rank == 0 && u.Group.Epoch == g.epoch {
		g.members[0] = run{u.ID, u.Born}
	}
}

func (p *Planner) adoptGroup(now time.Time, name string, members []fleet.Upstream) {
	slices.SortFunc(members, func(a, b fleet.Upstream) int { return cmp.Compare(a.Group.Rank, b.Group.Rank) })
	modelName, size, ok := parseName(name)
	first := members[0]
	model := p.engines[first.Service].Model(modelName)
	if !ok || model == nil || isStandby(size, model) {
		p.released[name] = now
		return
	}
	g := &group{
		name: name, epoch: first.Group.Epoch, service: first.Service, model: model, wasReady: map[string]bool{}, freed: map[string]bool{},
		// The steward before may have ordered the head to open, and got no answer.
		openUnanswered: true,
		place:          place{first.Service, first.FailureDomain, first.FabricDomain}, staged: true,
	}
	complete := len(members) == size && size == model.GroupSize
	if !complete && now.Sub(p.startedAt) < completeTime {
		return
	}
	if first.Group.Rank != 0 {
		g.members = append(g.members, unknownHead)
	}
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
	switch {
	case complete && first.Group.State == fleet.Open:
		return open
	case complete && !serving(first) && first.Group.State != fleet.Broken:
		return forming
	case headKnown:
		return closing
	default:
		return leaving
	}
}
