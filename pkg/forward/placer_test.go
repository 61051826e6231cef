package forward

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

var start = time.Unix(1000, 0)

func groupTarget(id, domain string) attach.Target {
	return attach.Target{
		ID: id, StartTime: 1, Address: id, Service: "pool", FailureDomain: domain, Model: "m", Group: "g-" + id, Slots: 2,
	}
}

func placerWith(targets ...attach.Target) *Placer {
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, &attach.View{Targets: targets})
	return p
}

// testWork is a request that arrives some time after start.
func testWork(id uint64, after time.Duration) Work {
	return Work{ID: id, Service: "pool", Model: "m", ArrivedAt: start.Add(after), EndBy: start.Add(time.Minute), ServiceTime: time.Second}
}

func mustPlace(t *testing.T, p *Placer, id uint64) *attach.Target {
	placed := p.Submit(start, testWork(id, 0))
	require.NotNil(t, placed.Target, "request %d", id)
	return placed.Target
}

// groupLimit is the limit of requests at one of the tests' groups.
const groupLimit = 2 + engineQueueDepth

func TestOwnFailureDomainIsPreferredUntilFull(t *testing.T) {
	p := placerWith(groupTarget("near", "fd-a"), groupTarget("far", "fd-b"))
	var order []string
	for id := range uint64(2 * groupLimit) {
		order = append(order, mustPlace(t, p, id).ID)
	}
	assert.Equal(t, "near", order[0])
	counts := map[string]int{}
	for _, id := range order {
		counts[id]++
	}
	assert.Equal(t, map[string]int{"near": groupLimit, "far": groupLimit}, counts)
	assert.True(t, p.Submit(start, testWork(99, 0)).Waiting)
}

func TestLoadOfOtherEntriesCounts(t *testing.T) {
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, &attach.View{
		Targets: []attach.Target{groupTarget("busy", "fd-a"), groupTarget("idle", "fd-a")}, Loads: map[string]int{"g-busy": groupLimit},
	})
	for id := range uint64(groupLimit) {
		assert.Equal(t, "idle", mustPlace(t, p, id).ID)
	}
	assert.True(t, p.Submit(start, testWork(9, 0)).Waiting)
}

// What waits is served by priority, then in the order in which it would have ended without a wait, in whatever order it was queued.
func TestWaitingRequestsAreServedInOrder(t *testing.T) {
	work := func(id uint64, priority int, after, serviceTime time.Duration) Work {
		w := testWork(id, after)
		w.Priority, w.ServiceTime, w.EndBy = priority, serviceTime, start.Add(24*time.Hour)
		return w
	}
	for name, order := range map[string][]Work{
		"equal work by arrival":                   {work(10, 0, 0, time.Second), work(11, 0, 1, time.Second), work(12, 0, 2, time.Second)},
		"work that came at once: short first":     {work(10, 0, 0, 1), work(11, 0, 0, 2), work(12, 0, 0, 3)},
		"long work goes before later short work":  {work(10, 0, 0, time.Second), work(11, 0, time.Second, time.Millisecond), work(12, 0, 2*time.Second, 1)},
		"short work overtakes long work that ran": {work(10, 0, 500*time.Millisecond, time.Millisecond), work(11, 0, 0, time.Second)},
		"priority before both":                    {work(10, 0, time.Hour, time.Hour), work(11, 1, 0, 1), work(12, 2, 0, 0)},
	} {
		reversed := slices.Clone(order)
		slices.Reverse(reversed)
		for _, queued := range [][]Work{order, reversed} {
			p := placerWith(groupTarget("one", "fd-a"))
			var held *attach.Target
			for id := range uint64(groupLimit) {
				held = mustPlace(t, p, id)
			}
			for _, w := range queued {
				require.True(t, p.Submit(start, w).Waiting, name)
			}
			var granted []uint64
			for range order {
				for _, g := range p.Release(start, held) {
					granted = append(granted, g.ID)
				}
			}
			assert.Equal(t, lo.Map(order, func(w Work, _ int) uint64 { return w.ID }), granted, name)
		}
	}
}

// The order is by the work that requests are known to take, not by the largest that their size allows.
func TestOrderIsByLearnedWork(t *testing.T) {
	p, held := fullPlacer(t)
	for range 100 {
		p.RecordServiceTime(held, 40*time.Second, time.Second)
	}
	large, later := testWork(10, 0), testWork(11, 2*time.Second)
	large.ServiceTime, later.ServiceTime = 40*time.Second, 4*time.Second
	require.True(t, p.Submit(start, large).Waiting)
	require.True(t, p.Submit(start, later).Waiting)
	grants := p.Release(start, held)
	require.Len(t, grants, 1)
	assert.EqualValues(t, 10, grants[0].ID, "it takes 1 s, and came 2 s before")
}

// A request that was sent before without success has no other place than one that was not: its caller has waited for as long as its
// arrival says.
func TestRequestSentBeforeKeepsItsPlace(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		work := func(sends int, age time.Duration) Work {
			arrived := time.Now().Add(-age)
			r := &request{arrivedAt: arrived, deadline: arrived.Add(5 * time.Second), route: &h.view.Document.Routes[2], service: h.view.Document.Services["desk"]}
			r.arrivedAtBoot = boottime.Now().Add(-age)
			return (&session{entry: h.entry, request: r, history: sendHistory{sends: sends}}).newWork()
		}
		for _, sends := range []int{1, 2} {
			older, newer := work(0, time.Second), work(sends, time.Second/2)
			q := h.entry.placer.queueOf(older)
			assert.True(t, q.goesBefore(&older, &newer))
			assert.False(t, q.goesBefore(&newer, &older))
			newer = work(0, time.Second/2)
			older = work(sends, time.Second)
			assert.True(t, q.goesBefore(&older, &newer))
		}
	})
}

// A request that cannot be served in time must be refused on arrival.
func TestRequestThatCannotBeServedInTimeIsRefusedOnArrival(t *testing.T) {
	p := placerWith()
	assert.Equal(t, NoTarget, p.Submit(start, testWork(1, 0)).Reason)

	p = placerWith(groupTarget("one", "fd-a"))
	for id := range uint64(groupLimit) {
		mustPlace(t, p, id)
	}
	longWait, shortWait := testWork(10, 0), testWork(11, 0)
	longWait.EndBy, shortWait.EndBy = start.Add(longWait.ServiceTime+time.Second), start.Add(shortWait.ServiceTime+100*time.Millisecond)
	assert.True(t, p.Submit(start, longWait).Waiting)
	refused := p.Submit(start, shortWait)
	assert.Equal(t, NoTimeToWait, refused.Reason)
}

// The work ahead of a request is done by the entry's part of the slots. What targets queue beyond them is not done any sooner.
func TestExpectedWaitIsForPartOfSlots(t *testing.T) {
	const slots, ahead = 18, 5
	for name, c := range map[string]struct {
		entries, own int
		running      float64
	}{
		"the only entry":                 {1, slots, slots},
		"one of nine, with an even part": {9, 2, slots / 9.0},
		"one of nine, with nothing yet":  {9, 0, slots / 18.0},
		"one of nine, with half of it":   {9, 9, slots * (1/9.0 + 1/2.0) / 2},
	} {
		target := groupTarget("one", "fd-a")
		target.Slots = slots
		p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
		p.Update(start, &attach.View{Targets: []attach.Target{target}, Loads: map[string]int{target.Group: slots + engineQueueDepth - c.own}, LoadsAt: start.Add(reportLag), Entries: c.entries})
		p.targets[target.Group].ownRequests = c.own
		for id := range uint64(ahead) {
			require.True(t, p.Submit(start, testWork(id, 0)).Waiting, name)
		}
		w := testWork(99, 0)
		wait := p.queueOf(w).expectedWait(&w, p.capacity(start, &w))
		assert.InEpsilon(t, (ahead+1)*w.ServiceTime.Seconds()/c.running, wait.Seconds(), 0.1, name)
	}
}

func TestGiveUpRemovesRequestOnce(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"))
	var held *attach.Target
	for id := range uint64(groupLimit) {
		held = mustPlace(t, p, id)
	}
	w := testWork(10, 0)
	require.True(t, p.Submit(start, w).Waiting)
	_, waited := p.Cancel(start, w)
	assert.True(t, waited)
	_, waited = p.Cancel(start, w)
	assert.False(t, waited)
	assert.Empty(t, p.Release(start, held))
}

func TestFailedTargetGetsOneProbeUntilItAnswers(t *testing.T) {
	p := placerWith(groupTarget("bad", "fd-a"), groupTarget("good", "fd-b"))
	bad := mustPlace(t, p, 1)
	require.Equal(t, "bad", bad.ID)
	p.RecordFailure(start, bad)
	p.Release(start, bad)
	assert.Equal(t, "good", mustPlace(t, p, 2).ID)
	later := start.Add(2 * initialBackoff)
	probe := p.Submit(later, testWork(3, 0)).Target
	require.Equal(t, "bad", probe.ID)
	assert.Equal(t, "good", p.Submit(later, testWork(4, 0)).Target.ID, "one probe at a time")
	p.RecordFailure(later, probe)
	p.Release(later, probe)
	assert.Equal(t, "good", p.Submit(later.Add(initialBackoff+time.Millisecond), testWork(5, 0)).Target.ID, "the second failure doubles the backoff")
	p.RecordAnswer(later, probe)
	assert.Equal(t, "bad", p.Submit(later, testWork(6, 0)).Target.ID)
}

func TestSuspectedTargetsGetWorkOnlyWithoutOthersOrWhileTheyAnswer(t *testing.T) {
	suspected := groupTarget("doubtful", "fd-a")
	suspected.Suspected = true
	p := placerWith(suspected, groupTarget("clear", "fd-b"))
	for id := range uint64(groupLimit) {
		assert.Equal(t, "clear", mustPlace(t, p, id).ID)
	}
	assert.True(t, p.Submit(start, testWork(50, time.Second)).Waiting)
	grants := p.Update(start, &attach.View{Targets: []attach.Target{suspected}})
	require.Len(t, grants, 1, "no other target is left")
	p.RecordAnswer(start, grants[0].Target)
	p.Update(start, &attach.View{Targets: []attach.Target{suspected, groupTarget("clear", "fd-b")}})
	assert.Equal(t, "doubtful", p.Submit(start, testWork(51, 0)).Target.ID)
}

func TestSlowTargetsGetWorkWhenOthersAreFull(t *testing.T) {
	p := placerWith(groupTarget("slow", "fd-a"), groupTarget("one", "fd-b"), groupTarget("two", "fd-b"))
	for key, gap := range map[string]time.Duration{"slow": 250, "one": 50, "two": 60} {
		target := p.targets["g-"+key].target
		p.RecordEventGap(start, &target, gap*time.Millisecond)
	}
	for id := range uint64(2 * groupLimit) {
		assert.NotEqual(t, "slow", mustPlace(t, p, id).ID)
	}
	assert.Equal(t, "slow", mustPlace(t, p, 99).ID)
	p = placerWith(groupTarget("slow", "fd-a"), groupTarget("one", "fd-b"))
	for key, gap := range map[string]time.Duration{"slow": 250, "one": 50} {
		target := p.targets["g-"+key].target
		p.RecordEventGap(start, &target, gap*time.Millisecond)
	}
	assert.Equal(t, "slow", p.Submit(start.Add(2*slowValidFor), testWork(1, 0)).Target.ID, "it may have recovered")
}

func TestExcludedAndRemovedTargetsGetNoWork(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"), groupTarget("two", "fd-a"))
	w := testWork(1, 0)
	w.Excluded = []string{"one"}
	assert.Equal(t, "two", p.Submit(start, w).Target.ID)
	p.Update(start, &attach.View{Targets: []attach.Target{groupTarget("one", "fd-a")}})
	assert.Equal(t, "one", mustPlace(t, p, 2).ID)
	w.Excluded = []string{"one", "two"}
	assert.Equal(t, NoTarget, p.Submit(start, w).Reason)
}

func TestLoadsAreReportedByGroup(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"), groupTarget("two", "fd-a"))
	target := mustPlace(t, p, 1)
	loads := p.loads()
	require.Len(t, loads, 1)
	assert.Equal(t, target.Group, loads[0].GetGroup())
	assert.EqualValues(t, 1, loads[0].GetOutstanding())
}

// Random arrivals, releases and failures must never give a target more requests than its limit.
func TestRandomLoadsStayWithinLimits(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		p := NewPlacer("fd-a", random)
		targets := []attach.Target{groupTarget("a", "fd-a"), groupTarget("b", "fd-a"), groupTarget("c", "fd-b")}
		p.Update(start, &attach.View{Targets: targets})
		var held []*attach.Target
		now := start
		addHeld := func(grants []Grant) {
			for _, g := range grants {
				held = append(held, g.Target)
			}
		}
		for id := range uint64(300) {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			w := testWork(id, time.Duration(random.IntN(1000))*time.Millisecond)
			w.EndBy = now.Add(w.ServiceTime + time.Duration(random.IntN(3000))*time.Millisecond)
			if placed := p.Submit(now, w); placed.Target != nil {
				held = append(held, placed.Target)
			}
			if len(held) > 0 && random.IntN(3) > 0 {
				i := random.IntN(len(held))
				done := held[i]
				held = append(held[:i], held[i+1:]...)
				if random.IntN(10) == 0 {
					p.RecordFailure(now, done)
				} else {
					p.RecordAnswer(now, done)
				}
				addHeld(p.Release(now, done))
			}
			counts := map[string]int{}
			for _, h := range held {
				counts[h.Group]++
			}
			for group, n := range counts {
				require.LessOrEqual(t, n, groupLimit, "seed %d: %s", seed, group)
			}
		}
	}
}

// A request waits for as long as it can still be answered in its caller's time: its own work, or the time to a first event, has to fit
// after the wait.
func TestRequestWaitsForAsLongAsItsCallerHasTime(t *testing.T) {
	const startLatency = 200 * time.Millisecond
	for name, c := range map[string]struct {
		change func(w *Work)
		until  time.Duration
	}{
		"its whole time":          {func(*Work) {}, 59 * time.Second},
		"more work":               {func(w *Work) { w.ServiceTime = 10 * time.Second }, 50 * time.Second},
		"the first event is due":  {func(w *Work) { w.FirstEventBy = start.Add(2 * time.Second) }, 1800 * time.Millisecond},
		"its end is due before":   {func(w *Work) { w.FirstEventBy, w.EndBy = start.Add(4*time.Second), start.Add(3*time.Second) }, 2 * time.Second},
		"the rest of a stream":    {func(w *Work) { w.Begun, w.FirstEventBy = true, start.Add(2*time.Second) }, time.Minute},
		"the rest, after its end": {func(w *Work) { w.Begun, w.EndBy = true, start.Add(10*time.Millisecond) }, 10 * time.Millisecond},
	} {
		p, held := fullPlacer(t)
		p.RecordStart(held, startLatency)
		w := testWork(10, 0)
		c.change(&w)
		placed := p.Submit(start, w)
		require.True(t, placed.Waiting, name)
		assert.Equal(t, start.Add(c.until), placed.WaitUntil, name)
	}
}

// Where a request waits, and for how long, follows the time that its caller has without a jump: a millisecond more lets it wait a
// millisecond longer, and none is refused for whom the wait that is expected leaves enough time.
func TestWaitFollowsTheTimeLeft(t *testing.T) {
	p, _ := fullPlacer(t)
	for id := range uint64(4) {
		require.True(t, p.Submit(start, testWork(10+id, 0)).Waiting)
	}
	w := testWork(99, time.Hour)
	wait := p.queueOf(w).expectedWait(&w, p.capacity(start, &w))
	require.Positive(t, wait)
	for left := time.Duration(0); left < 8*time.Second; left += time.Millisecond {
		w.EndBy = start.Add(left)
		placed := p.Submit(start, w)
		require.Equal(t, left >= wait+w.ServiceTime, placed.Waiting, "%s left", left)
		if !placed.Waiting {
			require.Equal(t, NoTimeToWait, placed.Reason)
			continue
		}
		require.Equal(t, w.EndBy.Add(-w.ServiceTime), placed.WaitUntil)
		_, waited := p.Cancel(start, w)
		require.True(t, waited)
	}
}

// Requests with the same work, time and arrival are decided on alike, whichever comes first.
func TestEqualRequestsAreDecidedAlike(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for range 2000 {
		p, _ := fullPlacer(t)
		for id := range uint64(random.IntN(5)) {
			p.Submit(start, testWork(10+id, time.Duration(random.IntN(2000))*time.Millisecond))
		}
		w := testWork(98, time.Duration(random.IntN(1000))*time.Millisecond)
		w.Priority, w.ServiceTime = random.IntN(2), time.Duration(random.IntN(1000))*time.Millisecond
		w.EndBy = start.Add(time.Duration(random.IntN(5000)) * time.Millisecond)
		if random.IntN(2) == 0 {
			w.FirstEventBy = start.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		}
		first := p.Submit(start, w)
		if first.Waiting {
			p.Cancel(start, w)
		}
		w.ID = 99
		assert.Equal(t, first, p.Submit(start, w))
	}
}

// A request that waits is refused as soon as it can no longer be answered in its caller's time, and the others wait on.
func TestWaitingRequestsAreExaminedAgainWhenCapacityIsLost(t *testing.T) {
	both := []attach.Target{groupTarget("one", "fd-a"), groupTarget("two", "fd-a")}
	p := placerWith(both...)
	for id := range uint64(2 * groupLimit) {
		mustPlace(t, p, id)
	}
	works := map[uint64]Work{}
	for id := range uint64(6) {
		w := testWork(10+id, time.Duration(id))
		// The last two have time for the work ahead of them at both groups, not at one.
		w.EndBy = start.Add(2600 * time.Millisecond)
		w.Begun = id == 5
		works[w.ID] = w
		require.True(t, p.Submit(start, w).Waiting, "request %d", id)
	}
	assert.Empty(t, p.Update(start, &attach.View{Targets: both}), "nothing changed")
	assert.Equal(t, []Grant{{ID: 13}, {ID: 14}}, p.Update(start, &attach.View{Targets: both[:1]}), "the rest of an answer waits on")
	assert.Equal(t, NoTimeToWait, p.Submit(start, works[13]).Reason)
	assert.Equal(t, []Grant{{ID: 10}, {ID: 11}, {ID: 12}}, p.Update(start, &attach.View{}), "no target is left")
	assert.Equal(t, NoTarget, p.Submit(start, works[10]).Reason)
}

// When free capacity is scarce against the requests of other entries not reported yet, each
// entry must take only its share, plus replacements for its own requests as they end.
func TestFreeCapacityIsSharedAmongEntries(t *testing.T) {
	var a allowance
	r := queueCapacity{total: 100, free: 100, own: 3, all: 30, entries: 10, unreported: 10}
	a.update(r)
	assert.True(t, a.allows(1000), "enough capacity for all entries")
	r.free = 4
	a.update(r)
	assert.True(t, a.allows(2))
	assert.False(t, a.allows(3), "a share of a fifth of a request is carried over")
	allowed := 0
	for range 50 {
		a.update(r)
		if a.allows(3) {
			allowed++
		}
	}
	assert.InDelta(t, 10, allowed, 1, "fractional shares accumulate")
	r.free = -3
	a.update(r)
	assert.False(t, a.allows(3), "negative free capacity counts as none")
	r.entries = 50
	a.update(r)
	assert.True(t, a.allows(1000), "not limited with two slots for each entry")
	r.entries = 1
	a.update(r)
	assert.True(t, a.allows(1000), "a single entry is not limited")
}

// Each mechanism can be disabled on its own for measurements.
func TestMechanismsCanBeDisabled(t *testing.T) {
	for name, isDisabled := range map[mechanism.Name]func(p *Placer) bool{
		mechanism.RandomTarget: func(p *Placer) bool {
			found := []candidate{{p.targets["g-a"], 0}, {p.targets["g-b"], 0.01}}
			for range 100 {
				if p.pickWeighted(found, 100) != found[0].state {
					return false
				}
			}
			return true
		},
		mechanism.SlowTargets: func(p *Placer) bool {
			a, b := p.targets["g-a"], p.targets["g-b"]
			a.eventGap, b.eventGap, a.eventGapAt, b.eventGapAt = time.Second, 20*time.Millisecond, start, start
			return !p.isSlow(start, a)
		},
		mechanism.Allowances: func(p *Placer) bool {
			p.queueOf(testWork(1, 0)).allowance = allowance{limited: true}
			return p.pick(start, ptrTo(testWork(1, 0))) != nil
		},
	} {
		for _, mechanisms := range []mechanism.Set{{name: true}, nil} {
			a, b := groupTarget("a", "fd-a"), groupTarget("b", "fd-a")
			a.Slots, b.Slots = 10, 10
			p := placerWith(a, b)
			p.SetMechanisms(mechanisms)
			assert.Equal(t, mechanisms != nil, isDisabled(p), "%s %v", name, mechanisms)
		}
	}
}

func ptrTo(w Work) *Work { return &w }
