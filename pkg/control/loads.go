package control

import (
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// loadInterval is the time between two sums that keepers tell each other, and
	// between two updates of an entry with them: that of the entries' reports.
	loadInterval = 200 * time.Millisecond
	// loadMemory is how long another keeper's sums count: its entries go elsewhere by
	// then, or their requests have ended.
	loadMemory = 1500 * time.Millisecond
)

// loadSums adds up the requests at each group: those of the entries whose primary link
// is here, and what other keepers told of theirs.
type loadSums struct {
	byNode map[string][]*peerpb.GroupLoad
	// byKeeper holds the sums of other keepers by the stream that carries them.
	byKeeper map[any]toldLoads
}

// toldLoads are sums that another keeper told at a time.
type toldLoads struct {
	at    time.Time
	loads []*peerpb.GroupLoad
}

func (l *loadSums) init() {
	l.byNode, l.byKeeper = map[string][]*peerpb.GroupLoad{}, map[any]toldLoads{}
}

// set takes in an entry's report. Only the primary link carries loads.
func (l *loadSums) set(node string, primary bool, loads []*peerpb.GroupLoad) {
	if !primary {
		delete(l.byNode, node)
		return
	}
	l.byNode[node] = loads
}

func (l *loadSums) remove(node string) { delete(l.byNode, node) }

// told takes in another keeper's sums.
func (l *loadSums) told(now time.Time, stream any, loads []*peerpb.GroupLoad) {
	l.byKeeper[stream] = toldLoads{now, loads}
}

func (l *loadSums) ended(stream any) { delete(l.byKeeper, stream) }

// own returns the sums over the entries of this keeper.
func (l *loadSums) own() []*peerpb.GroupLoad {
	sums := map[string]uint32{}
	for _, counts := range l.byNode {
		addLoads(sums, counts)
	}
	return sorted(sums)
}

// others returns the sums over all entries but one.
func (l *loadSums) others(now time.Time, node string) []*peerpb.GroupLoad {
	sums := map[string]uint32{}
	for other, counts := range l.byNode {
		if other != node {
			addLoads(sums, counts)
		}
	}
	for _, keeper := range l.byKeeper {
		if now.Sub(keeper.at) <= loadMemory {
			addLoads(sums, keeper.loads)
		}
	}
	return sorted(sums)
}

func addLoads(sums map[string]uint32, counts []*peerpb.GroupLoad) {
	for _, g := range counts {
		sums[g.GetGroup()] += g.GetOutstanding()
	}
}

func sorted(sums map[string]uint32) []*peerpb.GroupLoad {
	loads := make([]*peerpb.GroupLoad, 0, len(sums))
	for _, g := range slices.Sorted(maps.Keys(sums)) {
		loads = append(loads, &peerpb.GroupLoad{Group: g, Outstanding: sums[g]})
	}
	return loads
}
