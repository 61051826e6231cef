package control

import (
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// loadInterval is the time between two load reports from keeper to keeper, and
	// between two updates of an entry on its primary link. It equals the interval of the
	// entries' reports.
	loadInterval = 200 * time.Millisecond
	// loadExpiry is how long the last sums of another keeper count. After that its entries
	// have moved to other keepers, or their requests have ended.
	loadExpiry = 1500 * time.Millisecond
)

// loadSums adds up the outstanding requests at each group and the use of the retry budget,
// over the entries whose primary link ends at this keeper and the sums that other keepers
// reported of theirs.
type loadSums struct {
	byNode map[string][]*peerpb.GroupLoad
	usage  retryUsage
	// byKeeper holds the sums of other keepers by the stream that carries them.
	byKeeper map[any]keeperSums
}

// keeperSums are the sums that another keeper reported, and when.
type keeperSums struct {
	at   time.Time
	sums *peerpb.LoadSums
}

func (l *loadSums) init() {
	l.byNode, l.byKeeper = map[string][]*peerpb.GroupLoad{}, map[any]keeperSums{}
}

// setNode stores an entry's report. Only the primary link carries loads, so a report over
// another link deletes those of the entry.
func (l *loadSums) setNode(now time.Time, node string, r *peerpb.EntryReport) {
	if !r.GetPrimary() {
		delete(l.byNode, node)
		return
	}
	l.byNode[node] = r.GetLoads()
	l.usage.add(now, r.GetRepeats())
}

func (l *loadSums) removeNode(node string) { delete(l.byNode, node) }

// setKeeper stores the sums of another keeper.
func (l *loadSums) setKeeper(now time.Time, stream any, sums *peerpb.LoadSums) {
	l.byKeeper[stream] = keeperSums{now, sums}
}

func (l *loadSums) removeKeeper(stream any) { delete(l.byKeeper, stream) }

// local returns the sums over the entries whose primary link ends at this keeper.
func (l *loadSums) local(now time.Time) *peerpb.LoadSums {
	return &peerpb.LoadSums{
		Loads: l.localExcept("").list(), Entries: uint32(len(l.byNode)), Repeats: l.usage.sum(now).list(),
	}
}

// all returns the loads of all entries except one, and the retry counts and the number of
// all entries.
func (l *loadSums) all(now time.Time, except string) *peerpb.LoadSums {
	loads, retries, entries := l.localExcept(except), l.usage.sum(now), uint32(len(l.byNode))
	for _, keeper := range l.byKeeper {
		if now.Sub(keeper.at) <= loadExpiry {
			loads.add(keeper.sums.GetLoads())
			retries.add(keeper.sums.GetRepeats())
			entries += keeper.sums.GetEntries()
		}
	}
	return &peerpb.LoadSums{Loads: loads.list(), Entries: entries, Repeats: retries.list()}
}

// groupSums are outstanding requests by group.
type groupSums map[string]uint32

func (l *loadSums) localExcept(node string) groupSums {
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
