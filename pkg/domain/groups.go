package domain

import (
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/placement"
	"github.com/masticmount/masticmount/pkg/state"
)

// View returns the view at the given time; the caller sets its version.
func (c *Core) View(now time.Time) *View {
	view := &View{Groups: c.groups(now), Remote: c.remoteGroups(now)}
	view.Upstreams = make(map[string]api.Announcement, c.table.Len())
	for _, r := range c.table.Records() {
		if c.table.Lapsed(now, r) {
			continue
		}
		view.Upstreams[r.Announcement.ID] = r.Announcement
		view.StrandedAccelerators += r.Announcement.Accelerators
	}
	for _, g := range view.Groups {
		if g.Whole {
			view.StrandedAccelerators -= g.accelerators
		}
	}
	return view
}

// groups returns the groups of this failure domain. Each name occurs once, with the
// highest generation that a member echoes, since lower ones have been superseded.
func (c *Core) groups(now time.Time) []*Group {
	var groups []*Group
	for _, g := range c.table.Groups(now) {
		group := c.group(now, g)
		if group == nil {
			continue
		}
		if n := len(groups); n > 0 && groups[n-1].Name == group.Name {
			groups[n-1] = group
			continue
		}
		groups = append(groups, group)
	}
	return groups
}

func (c *Core) group(now time.Time, g membership.Group) *Group {
	first := &g.Members[0].Announcement
	spec, ok := c.specOf(first)
	if !ok && first.Kind == api.UpstreamService {
		return nil
	}
	group := &Group{
		Name: g.Name, Spec: spec.Name, Service: first.Service, Kind: first.Kind, Labels: spec.Spec.Labels,
		Generation: g.Generation, FailureDomain: c.opts.FailureDomain, FabricDomain: first.FabricDomain, Whole: g.Whole,
	}
	// A group whose specification was deleted or has another size is drained.
	group.Leaving = !ok || spec.Spec.VMs != g.Size
	group.Members = make([]Member, 0, len(g.Members))
	for _, r := range g.Members {
		a := &r.Announcement
		leaving := c.isLeaving(a)
		group.accelerators += a.Accelerators
		group.Leaving = group.Leaving || leaving
		group.Members = append(group.Members, Member{
			ID: a.ID, Address: a.Address, Incarnation: a.Incarnation, Load: a.Load, ReportedAt: r.SeenAt, Leaving: leaving,
			Slow: r.Slow(now), Condition: c.table.Condition(now, r),
		})
	}
	return group
}

// specOf returns the specification of an upstream's group. For an engine it is part
// of the group's name; for a plain service it is the first one that selects it.
func (c *Core) specOf(a *api.Announcement) (state.Group, bool) {
	if a.Kind == api.UpstreamEngine {
		// Selectors are not evaluated, because several may match the VM.
		spec, ok := c.specByName(placement.SpecOf(a.Group))
		return spec, ok && spec.Spec.Service == a.Service
	}
	set := c.labelsOf(a)
	return lo.Find(c.config.Groups, func(g state.Group) bool {
		return g.Spec.Service == a.Service && g.Selector.Matches(set)
	})
}

func (c *Core) specByName(name string) (state.Group, bool) {
	return lo.Find(c.config.Groups, func(g state.Group) bool { return g.Name == name })
}
