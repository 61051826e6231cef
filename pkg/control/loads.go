package control

import (
	"maps"
	"slices"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// loadSums adds up the requests that the entries of a failure domain have at each
// group.
type loadSums struct {
	// byDomain holds each entry's counts, by failure domain and node.
	byDomain map[string]map[string]map[string]uint32
}

func (l *loadSums) init() { l.byDomain = map[string]map[string]map[string]uint32{} }

func (l *loadSums) set(failureDomain, node string, loads []*peerpb.GroupLoad) {
	entries := l.byDomain[failureDomain]
	if entries == nil {
		entries = map[string]map[string]uint32{}
		l.byDomain[failureDomain] = entries
	}
	counts := make(map[string]uint32, len(loads))
	for _, g := range loads {
		counts[g.GetGroup()] = g.GetOutstanding()
	}
	entries[node] = counts
}

func (l *loadSums) remove(failureDomain, node string) { delete(l.byDomain[failureDomain], node) }

// others returns the sums over all entries but one, of all failure domains that
// report here.
func (l *loadSums) others(_, node string) []*peerpb.GroupLoad {
	sums := map[string]uint32{}
	for _, entries := range l.byDomain {
		for other, counts := range entries {
			if other == node {
				continue
			}
			for g, n := range counts {
				sums[g] += n
			}
		}
	}
	loads := make([]*peerpb.GroupLoad, 0, len(sums))
	for _, g := range slices.Sorted(maps.Keys(sums)) {
		loads = append(loads, &peerpb.GroupLoad{Group: g, Outstanding: sums[g]})
	}
	return loads
}
