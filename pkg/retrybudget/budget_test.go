package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

var start = time.Unix(1000, 0)

const (
	// Required bound on retries in a window of 10 s: a ratio of the requests, plus a slack.
	requiredRetryRatio = 0.2
	requiredRetrySlack = 105
	// viewInterval is the time between two views and viewAge their age, in steps of 100 ms.
	viewInterval = 4
	viewAge      = 4
	windowSteps  = 100
)

// budgetSimulation simulates many entries that share the retry budget of one service.
type budgetSimulation struct {
	entries  []*Budget
	requests []int
	retries  []int
}

func newBudgetSimulation(entries int) *budgetSimulation {
	s := &budgetSimulation{}
	for range entries {
		budget := New(start, true)
		budget.Update(start, entries, nil)
		s.entries = append(s.entries, budget)
	}
	return s
}

// windowSum sums the counts of the 10 s before step end.
func windowSum(counts []int, end int) int {
	sum := 0
	for _, n := range counts[max(0, end-windowSteps):max(0, end)] {
		sum += n
	}
	return sum
}

func (s *budgetSimulation) step(step, arrivals int, pickEntry func() int, fails func(entry int) bool) {
	now := start.Add(time.Duration(step) * 100 * time.Millisecond)
	if step%viewInterval == 0 {
		counts := []*peerpb.RepeatCount{{
			Service: "pool", Requests: uint32(windowSum(s.requests, step-viewAge)), Repeats: uint32(windowSum(s.retries, step-viewAge)),
		}}
		for i := range s.entries {
			s.entries[i].Update(now, len(s.entries), counts)
		}
	}
	requests, retries := 0, 0
	for range arrivals {
		entry := pickEntry()
		s.entries[entry].RecordRequest(now, "pool")
		requests++
		if fails(entry) && s.entries[entry].Spend(now, "pool") {
			retries++
		}
	}
	s.requests, s.retries = append(s.requests, requests), append(s.retries, retries)
}

// All entries together must stay within the required retry bound when every request fails,
// from the start or suddenly after a time without failures.
func TestAllEntriesStayWithinRetryBudget(t *testing.T) {
	for _, entries := range []int{1, 7, 90} {
		for _, stepsBeforeFailures := range []int{0, 300} {
			random := rand.New(rand.NewPCG(uint64(entries), uint64(stepsBeforeFailures)))
			s := newBudgetSimulation(entries)
			for step := range 600 {
				s.step(step, 15, func() int { return random.IntN(entries) }, func(int) bool { return step >= stepsBeforeFailures })
				requests, retries := windowSum(s.requests, step+1), windowSum(s.retries, step+1)
				require.LessOrEqual(t, float64(retries), requiredRetryRatio*float64(requests)+requiredRetrySlack, "%d entries, failures from step %d, step %d", entries, stepsBeforeFailures, step)
			}
		}
	}
}

// An entry that meets all failures may use the retry budget that the others leave unused.
func TestEntryUsesUnspentRetryBudgetOfOthers(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	s := newBudgetSimulation(7)
	for step := range 300 {
		s.step(step, 15, func() int { return random.IntN(7) }, func(entry int) bool { return entry == 0 })
	}
	requests, retries := windowSum(s.requests, 300), windowSum(s.retries, 300)
	assert.Greater(t, float64(retries), 2*earnedRatio*float64(requests)/7, "more than twice its own share")
}

// Retries for a service with few requests must not use the budget of another service.
func TestEachServiceHasItsOwnRetryBudget(t *testing.T) {
	budget := New(start, true)
	for range 1000 {
		budget.RecordRequest(start, "pool")
	}
	budget.RecordRequest(start, "desk")
	spent := 0
	for budget.Spend(start, "desk") {
		spent++
	}
	assert.LessOrEqual(t, spent, maxBurst)
	assert.True(t, budget.Available(start, "pool"))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	budget := New(start, true)
	spent := 0
	for range 1000 {
		budget.RecordRequest(start, "pool")
		if budget.Spend(start, "pool") {
			spent++
		}
	}
	assert.LessOrEqual(t, spent, maxBurst+int(1000*earnedRatio)+1)
	assert.GreaterOrEqual(t, spent, int(1000*earnedRatio)-1)
}
