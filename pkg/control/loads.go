package control

import (
	"maps"
	"slices"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// loadSums adds up the requests that the entries attached here have at each group.
type loadSums struct {
	// byNode holds each entry's counts.
	byNode map[string][]*peerpb.GroupLoad
}

func (l *loadSums) init() { l.byNode = map[string][]*peerpb.GroupLoad{} }

func (l *loadSums) set(node string, loads []*peerpb.GroupLoad) { l.byNode[node] = loads }

func (l *loadSums) remove(node string) { delete(l.byNode, node) }

// others returns the sums over all entries but one, ordered by group.
func (l *loadSums) others(node string) []*peerpb.GroupLoad {
	sums := map[string]uint32{}
	for other, counts := range l.byNode {
		if other == node {
			continue
		}
		for _, g := range counts {
			sums[g.GetGroup()] += g.GetOutstanding()
		}
	}
	loads := make([]*peerpb.GroupLoad, 0, len(sums))
	for _, g := range slices.Sorted(maps.Keys(sums)) {
		loads = append(loads, &peerpb.GroupLoad{Group: g, Outstanding: sums[g]})
	}
	return loads
}
