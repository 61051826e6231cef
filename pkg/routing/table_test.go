package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/state"
)

var start = time.Unix(1_800_000_000, 0)

func route() *state.Route {
	return &state.Route{Name: "r", Requests: labels.Everything(), Groups: labels.Everything()}
}

func group(name, failureDomain string, load api.Load) *domain.Group {
	return &domain.Group{
		Name: name, Service: "captioner", Kind: api.UpstreamEngine, FailureDomain: failureDomain, Whole: true, Generation: 1,
		Members: []domain.Member{{ID: name, ReportedAt: start, Load: load}},
	}
}

func table(groups ...*domain.Group) *Table {
	t := NewTable(Options{FailureDomain: "fd-a", Rand: rand.New(rand.NewPCG(1, 1))})
	t.Update(start, &domain.View{Groups: groups})
	return t
}

func pickRequest(r *state.Route) *PickRequest {
	return &PickRequest{Route: r, Request: &Request{Service: "captioner"}}
}

// countPicks performs n picks, starts a request for each and counts them by group.
func countPicks(t *Table, now time.Time, req *PickRequest, n int) map[string]int {
	counts := map[string]int{}
	for range n {
		g := t.Pick(now, req)
		if g == nil {
			counts["none"]++
			continue
		}
		t.Start(g.Name, req.Long)
		counts[g.Name]++
	}
	return counts
}

func TestPickFiltersAndSpillsToRemoteGroups(t *testing.T) {
	broken, leaving := group("broken", "fd-a", api.Load{Slots: 4}), group("leaving", "fd-a", api.Load{Slots: 4})
	broken.Whole, leaving.Leaving = false, true
	tbl := table(broken, leaving, group("near", "fd-a", api.Load{Slots: 4}), group("far", "fd-b", api.Load{Slots: 4}))
	counts := countPicks(tbl, start, pickRequest(route()), 10)
	assert.Equal(t, map[string]int{"near": 4, "far": 3, "none": 3}, counts, "a margin stays free where the latest requests of other entries are unknown")
}

func TestOverflowSpillsToRemoteGroups(t *testing.T) {
	busy, idle := group("busy", "fd-b", api.Load{Slots: 8, Running: 7}), group("idle", "fd-b", api.Load{Slots: 8})
	near := group("near", "fd-a", api.Load{Slots: 2})
	view := &domain.View{Groups: []*domain.Group{near}, Remote: []*domain.Group{busy, idle}}
	tbl := table()
	tbl.Update(start, view)
	counts := countPicks(tbl, start, pickRequest(route()), 4)
	assert.Equal(t, map[string]int{"near": 2, "idle": 2}, counts, "the report of a remote group counts in full")
	tbl.Update(start.Add(spillMaxAge+time.Second), view)
	assert.Nil(t, tbl.Pick(start, pickRequest(route())), "a report older than spillMaxAge admits no spilled work")
}

func TestSelectorMatchesLabels(t *testing.T) {
	r := route()
	r.Groups = labels.SelectorFromSet(labels.Set{"pool": "captions"})
	matching, other := group("in", "fd-a", api.Load{Slots: 100}), group("out", "fd-a", api.Load{Slots: 100})
	matching.Labels = map[string]string{"pool": "captions"}
	assert.Equal(t, map[string]int{"in": 20}, countPicks(table(matching, other), start, pickRequest(r), 20))
}

func TestReportWeightDecaysWithAge(t *testing.T) {
	full := api.Load{Slots: 4, Running: 4}
	tbl := table(group("g", "fd-a", full))
	for i := range 10 {
		g := group("g", "fd-a", full)
		g.Members[0].ReportedAt = start.Add(time.Duration(i+1) * 100 * time.Millisecond)
		tbl.Update(start.Add(time.Duration(i+1)*100*time.Millisecond), &domain.View{Groups: []*domain.Group{g}})
	}
	assert.Nil(t, tbl.Pick(start.Add(time.Second), pickRequest(route())))
	stale := group("g", "fd-a", full)
	tbl.Update(start.Add(time.Minute), &domain.View{Groups: []*domain.Group{stale}})
	assert.NotNil(t, tbl.Pick(start.Add(time.Minute), pickRequest(route())), "a stale report is ignored")
}

func TestHomeGroupsAreDividedAmongEntries(t *testing.T) {
	var groups []*domain.Group
	for i := range 6 {
		groups = append(groups, group(fmt.Sprintf("g%d", i), "fd-a", api.Load{Slots: 4}))
	}
	seen := map[string]int{}
	for rank := range 3 {
		tbl := NewTable(Options{FailureDomain: "fd-a", Entries: 3, Rank: rank, Rand: rand.New(rand.NewPCG(1, 1))})
		tbl.Update(start, &domain.View{Groups: groups})
		for name := range countPicks(tbl, start, pickRequest(route()), 8) {
			seen[name]++
		}
	}
	assert.Equal(t, map[string]int{"g0": 1, "g1": 1, "g2": 1, "g3": 1, "g4": 1, "g5": 1}, seen)
}

func TestSlowGroupGetsFewerRequests(t *testing.T) {
	tbl := table(group("fast", "fd-a", api.Load{Slots: 100}), group("slow", "fd-a", api.Load{Slots: 100}))
	for range 20 {
		for name, timePerToken := range map[string]time.Duration{"fast": 10 * time.Millisecond, "slow": 40 * time.Millisecond} {
			tbl.Start(name, false)
			tbl.Finish(start, Completion{Group: name, Duration: 10 * timePerToken, Tokens: 10})
		}
	}
	counts := countPicks(tbl, start, pickRequest(route()), 60)
	assert.Greater(t, counts["fast"], 2*counts["slow"])
}

func TestGroupWithSlowMemberGetsFewerRequests(t *testing.T) {
	slow := group("slow", "fd-a", api.Load{Slots: 100})
	slow.Members[0].Slow = true
	counts := countPicks(table(group("fast", "fd-a", api.Load{Slots: 100}), slow), start, pickRequest(route()), 60)
	assert.Greater(t, counts["fast"], 2*counts["slow"])
}

func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	var groups []*domain.Group
	for i := range 8 {
		groups = append(groups, group(fmt.Sprintf("g%d", i), "fd-a", api.Load{Slots: 16}))
	}
	tbl := table(groups...)
	req := pickRequest(route())
	req.Prefix = PrefixOf("describe the image")
	first := tbl.Pick(start, req)
	for range 10 {
		assert.Same(t, first, tbl.Pick(start, req))
	}
	counts := countPicks(tbl, start, req, 32)
	assert.Less(t, counts[first.Name], 16, "the load of one group is bounded")
	assert.Greater(t, len(counts), 2)
}

func holdsAfterGap(index *PrefixIndex) bool {
	index.Apply(CacheEvent{Group: "g", Sequence: 1, Prefix: 7})
	index.Apply(CacheEvent{Group: "g", Sequence: 3, Prefix: 8})
	return index.Holds("g", 7)
}

func TestPrefixIndexDropsPrefixesAfterGap(t *testing.T) {
	index := NewPrefixIndex()
	assert.False(t, holdsAfterGap(index))
	assert.True(t, index.Holds("g", 8))
	index.Apply(CacheEvent{Group: "g", Sequence: 2, Prefix: 9})
	assert.False(t, index.Holds("g", 9), "an event older than the last one is ignored")
	index.Apply(CacheEvent{Group: "g", Sequence: 4, Prefix: 8, Evicted: true})
	assert.False(t, index.Holds("g", 8))
	faulty := NewPrefixIndex()
	faulty.ignoreGaps = true
	assert.True(t, holdsAfterGap(faulty), "the injected fault must be detected")
}

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	var b Breaker
	for range breakerThreshold {
		require.True(t, b.Allows(start))
		b.Started()
		b.Finished(start, true)
	}
	assert.False(t, b.Allows(start.Add(breakerMinBackoff-1)))
	now := start.Add(breakerMinBackoff)
	require.True(t, b.Allows(now))
	b.Started()
	assert.False(t, b.Allows(now), "one probe at a time")
	b.Finished(now, true)
	assert.False(t, b.Allows(now.Add(breakerMinBackoff)), "the backoff doubles")
	now = now.Add(2 * breakerMinBackoff)
	require.True(t, b.Allows(now))
	b.Started()
	b.Finished(now, false)
	assert.True(t, b.Allows(now))
}

func TestHedgeTracksTailOfTimeToFirstToken(t *testing.T) {
	var h Hedge
	for i := range 5000 {
		assert.True(t, i >= hedgeMinSamples || h.After() == 0)
		h.Observe(time.Duration(100+i%100) * time.Millisecond)
	}
	assert.InDelta(t, 197, h.After().Milliseconds(), 15)
}

func TestPickDoesNotAllocate(t *testing.T) {
	var groups []*domain.Group
	for i := range 320 {
		groups = append(groups, group(fmt.Sprintf("g%03d", i), "fd-a", api.Load{Slots: 16}))
	}
	tbl, req := table(groups...), pickRequest(route())
	req.Prefix = PrefixOf("describe the image")
	assert.Zero(t, testing.AllocsPerRun(1000, func() { tbl.Pick(start, req) }))
}
