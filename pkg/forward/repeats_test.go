package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// usersRatio and usersSlack are the users' bound on repeats in a window of 10 s.
	usersRatio = 0.2
	usersSlack = 105
	// toldEvery and toldLate are steps of 100 ms between two pictures and their age.
	toldEvery  = 4
	toldLate   = 4
	windowStep = 100
)

// region is many entries that share the budget of one service.
type region struct {
	entries  []repeats
	requests []int
	repeats  []int
}

func newRegion(entries int) *region {
	r := &region{}
	for range entries {
		share := newRepeats()
		share.told(start, &attach.View{Entries: entries})
		r.entries = append(r.entries, share)
	}
	return r
}

// window sums the last 10 s up to a step.
func window(counts []int, end int) int {
	sum := 0
	for _, n := range counts[max(0, end-windowStep):max(0, end)] {
		sum += n
	}
	return sum
}

func (r *region) step(step, arrivals int, pick func() int, fails func(entry int) bool) {
	if step%toldEvery == 0 {
		view := &attach.View{Entries: len(r.entries), Repeats: []*peerpb.RepeatCount{{
			Service: "pool", Requests: uint32(window(r.requests, step-toldLate)), Repeats: uint32(window(r.repeats, step-toldLate)),
		}}}
		for i := range r.entries {
			r.entries[i].told(start.Add(time.Duration(step)*100*time.Millisecond), view)
		}
	}
	requests, used := 0, 0
	for range arrivals {
		entry := pick()
		r.entries[entry].request("pool")
		requests++
		if fails(entry) && r.entries[entry].take("pool") {
			used++
		}
	}
	r.requests, r.repeats = append(r.requests, requests), append(r.repeats, used)
}

// A region of many entries stays within the users' bound when every request fails,
// all the time or all at once after a calm time.
func TestAllEntriesTogetherStayWithinTheBudgetOfRepeats(t *testing.T) {
	for _, entries := range []int{1, 7, 90} {
		for _, calm := range []int{0, 300} {
			random := rand.New(rand.NewPCG(uint64(entries), uint64(calm)))
			r := newRegion(entries)
			for step := range 600 {
				r.step(step, 15, func() int { return random.IntN(entries) }, func(int) bool { return step >= calm })
				asked, repeated := window(r.requests, step+1), window(r.repeats, step+1)
				require.LessOrEqual(t, float64(repeated), usersRatio*float64(asked)+usersSlack, "%d entries, calm for %d, step %d", entries, calm, step)
			}
		}
	}
}

// One entry that meets all failures may use what the others leave.
func TestOneEntryUsesWhatTheOthersLeave(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	r := newRegion(7)
	for step := range 300 {
		r.step(step, 15, func() int { return random.IntN(7) }, func(entry int) bool { return entry == 0 })
	}
	asked, repeated := window(r.requests, 300), window(r.repeats, 300)
	assert.Greater(t, float64(repeated), 2*ownRatio*float64(asked)/7, "twice its own part")
}

// A service with few requests does not use up the budget of one with many.
func TestEachServiceHasItsOwnBudget(t *testing.T) {
	r := newRepeats()
	for range 1000 {
		r.request("pool")
	}
	r.request("desk")
	taken := 0
	for r.take("desk") {
		taken++
	}
	assert.LessOrEqual(t, taken, maxBurst)
	assert.True(t, r.has("pool"))
}
