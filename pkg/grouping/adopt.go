package grouping

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

// adopt takes over groups that engines report and that this planner does not know:
// an earlier coordinator ordered them, or a delayed order formed them.
func (p *Planner) adopt(now time.Time) {
	reported := map[string][]fleet.Upstream{}
	for _, u := range p.upstreams {
		name := u.Group.Group
		releasedAt, released := p.released[name]
		if released && headServing(u) && u.AnnouncedAt.After(releasedAt) {
			// The head of the released group is reachable again.
			delete(p.released, name)
			released = false
		}
		if name == "" || released || u.Deregistered {
			continue
		}
		if g := p.groups[name]; g != nil {
			g.recordHead(u)
			continue
		}
		if p.engines[u.Service] != nil {
			reported[name] = append(reported[name], u)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(reported)) {
		p.adoptGroup(now, name, reported[name])
	}
}

// headServing reports whether an engine is a head that accepts requests or finishes those in flight.
func headServing(u fleet.Upstream) bool {
	return u.Group.State == fleet.Open || u.Group.State == fleet.Closing
}

// adoptionWait is how long a new coordinator waits for the remaining members of a partly
// reported group: after a full restart announcements arrive over several seconds.
const adoptionWait = 4 * time.Second

// unknownHead is a placeholder for the head of a group that only other members report.
var unknownHead = incarnation{}

// recordHead replaces the placeholder of a group once its head reports.
func (g *group) recordHead(u fleet.Upstream) {
	if g.members[0] == unknownHead && u.Group.Rank == 0 && u.Group.Epoch == g.epoch {
		g.members[0] = incarnation{u.ID, u.StartTime}
	}
}

func (p *Planner) adoptGroup(now time.Time, name string, members []fleet.Upstream) {
	slices.SortFunc(members, func(a, b fleet.Upstream) int { return cmp.Compare(a.Group.Rank, b.Group.Rank) })
	modelName, size, ok := parseName(name)
	first := members[0]
	model := p.engines[first.Service].Model(modelName)
	if ok && model == nil && (headServing(first) || first.Group.Rank != 0) {
		// The group may serve, so its members are not free, although its model was removed.
		model = &document.Model{Name: modelName, GroupSize: size}
	}
	if !ok || model == nil || isStandby(size, model) {
		p.released[name] = now
		return
	}
	g := &group{
		name: name, epoch: first.Group.Epoch, service: first.Service, model: model, wasReady: map[string]bool{}, freed: map[string]bool{},
		// The previous coordinator may have ordered the head to open and got no answer.
		openUnanswered: true,
		location:       location{first.Service, first.FailureDomain, first.FabricDomain}, staged: true,
	}
	complete := len(members) == size
	if !complete && now.Sub(p.startedAt) < adoptionWait {
		return
	}
	if first.Group.Rank != 0 {
		g.members = append(g.members, unknownHead)
	}
	for rank, u := range members {
		complete = complete && u.Group.Rank == rank && u.Group.Epoch == g.epoch
		g.members = append(g.members, incarnation{u.ID, u.StartTime})
	}
	contended := p.contend(now, first, g)
	p.groups[name] = g
	g.enterPhase(now, adoptedPhase(first, complete && !contended, size == model.GroupSize))
	p.recordReady(g)
	p.emit(g, "adopted", string(first.Group.State))
}

// contend decides between a group that engines report and those that are being formed with the same engines: a delayed order formed it,
// and the orders to join the others may be delayed as well. A group whose head serves goes on, and the others are given up. Otherwise it
// returns true: the group must not open, as its head could then be ordered to join another one.
func (p *Planner) contend(now time.Time, first fleet.Upstream, g *group) bool {
	contended := false
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		other := p.groups[name]
		shares := slices.ContainsFunc(other.members, func(m incarnation) bool { return slices.Contains(g.members, m) })
		switch {
		case other.phase != forming || !shares:
		case headServing(first):
			p.release(now, other, "member serves in another group")
		default:
			contended = true
		}
	}
	return contended
}

// adoptedPhase returns the phase in which an adopted group continues. It depends on the
// member with the lowest rank: in an incomplete group, the head's state decides whether
// the other members may be released. A group whose model has another size by now serves no
// longer, but finishes its requests.
func adoptedPhase(first fleet.Upstream, complete, sizeInForce bool) phase {
	headKnown := first.Group.Rank == 0
	switch {
	case complete && sizeInForce && first.Group.State == fleet.Open:
		return open
	case complete && headServing(first):
		return draining
	case complete && sizeInForce && first.Group.State == fleet.Joining:
		return forming
	case headKnown:
		return closing
	default:
		return leaving
	}
}
