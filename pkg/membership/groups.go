package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/internal/faultinject"
	"github.com/masticmount/masticmount/pkg/api"
)

// Group is the set of upstreams that echo one group and generation.
type Group struct {
	Name       string
	Generation uint64
	// Size is the number of members in the order that formed the group.
	Size int
	// Members are the members whose lease has not ended, ordered by rank.
	Members []*Record
	// Whole is true if every member is current and echoes this generation.
	Whole bool
}

type groupKey struct {
	name       string
	generation uint64
}

// Groups returns the groups that the upstreams echo, ordered by name and
// generation. Each plain service forms a group by itself.
func (t *Table) Groups(now time.Time) []Group {
	byKey := map[groupKey]*Group{}
	for _, r := range t.Records() {
		if t.Lapsed(now, r) && !t.InjectedFaults.Has(faultinject.IgnoreLeaseInGroups) {
			continue
		}
		key, size := echoedGroup(&r.Announcement)
		if key.name == "" {
			continue
		}
		g := byKey[key]
		if g == nil {
			g = &Group{Name: key.name, Generation: key.generation, Size: size, Members: make([]*Record, 0, size)}
			byKey[key] = g
		}
		g.Members = append(g.Members, r)
	}
	groups := lo.MapToSlice(byKey, func(_ groupKey, g *Group) Group { return t.evaluate(now, *g) })
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Generation, b.Generation))
	})
	return groups
}

func echoedGroup(a *api.Announcement) (key groupKey, size int) {
	if a.Kind == api.UpstreamService {
		return groupKey{name: a.ID}, 1
	}
	return groupKey{name: a.Group, generation: a.Generation}, a.Size
}

// evaluate returns the group with its members sorted and Whole set.
func (t *Table) evaluate(now time.Time, g Group) Group {
	slices.SortFunc(g.Members, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.Announcement.Rank, b.Announcement.Rank), cmp.Compare(a.Announcement.ID, b.Announcement.ID))
	})
	g.Whole = len(g.Members) == g.Size
	for rank, r := range g.Members {
		rankMatches := r.Announcement.Rank == rank
		g.Whole = g.Whole && rankMatches && t.isCurrent(now, r)
	}
	return g
}

// isCurrent reports whether a member counts towards a whole group.
func (t *Table) isCurrent(now time.Time, r *Record) bool {
	return t.Condition(now, r) == Current || t.InjectedFaults.Has(faultinject.IgnoreLeaseInGroups)
}
