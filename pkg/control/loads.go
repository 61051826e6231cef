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

// loadSums adds up the requests at each group, and the budget of repeats: those of the
// entries whose primary link is here, and what other keepers told of theirs.
type loadSums struct {
	byNode map[string][]*peerpb.GroupLoad
	usage  repeatUsage
	// byKeeper holds the sums of other keepers by the stream that carries them.
	byKeeper map[any]toldSums
}

// toldSums are sums that another keeper told at a time.
type toldSums struct {
	at   time.Time
	sums *peerpb.LoadSums
}

func (l *loadSums) init() {
	l.byNode, l.byKeeper = map[string][]*peerpb.GroupLoad{}, map[any]toldSums{}
}

// set takes in an entry's report. Only the primary link carries loads.
func (l *loadSums) set(now time.Time, node string, r *peerpb.EntryReport) {
	if !r.GetPrimary() {
		delete(l.byNode, node)
		return
	}
	l.byNode[node] = r.GetLoads()
	l.usage.add(now, r.GetRepeats())
}

func (l *loadSums) remove(node string) { delete(l.byNode, node) }

// told takes in another keeper's sums.
func (l *loadSums) told(now time.Time, stream any, sums *peerpb.LoadSums) {
	l.byKeeper[stream] = toldSums{now, sums}
}

func (l *loadSums) ended(stream any) { delete(l.byKeeper, stream) }

// own returns the sums over the entries of this keeper.
func (l *loadSums) own(now time.Time) *peerpb.LoadSums {
	return &peerpb.LoadSums{
		Loads: l.ownBut("").list(), Entries: uint32(len(l.byNode)), Repeats: l.usage.sum(now).list(),
	}
}

// all returns the loads of all entries but one, and what all entries counted.
func (l *loadSums) all(now time.Time, but string) *peerpb.LoadSums {
	loads, repeats, entries := l.ownBut(but), l.usage.sum(now), uint32(len(l.byNode))
	for _, keeper := range l.byKeeper {
		if now.Sub(keeper.at) <= loadMemory {
			loads.add(keeper.sums.GetLoads())
			repeats.add(keeper.sums.GetRepeats())
			entries += keeper.sums.GetEntries()
		}
	}
	return &peerpb.LoadSums{Loads: loads.list(), Entries: entries, Repeats: repeats.list()}
}

// groupSums are requests by group.
type groupSums map[string]uint32

func (l *loadSums) ownBut(node string) groupSums {
	sums := groupSums{}
	for other, counts := range l.byNode {
		if other != node {
			sums.add(counts)
		}
	}
	return sums
}

func (s groupSums) add(counts []*peerpb.GroupLoad) {
	for _, g := range counts {
		s[g.GetGroup()] += g.GetOutstanding()
	}
}

func (s groupSums) list() []*peerpb.GroupLoad {
	loads := make([]*peerpb.GroupLoad, 0, len(s))
	for _, g := range slices.Sorted(maps.Keys(s)) {
		loads = append(loads, &peerpb.GroupLoad{Group: g, Outstanding: s[g]})
	}
	return loads
}
