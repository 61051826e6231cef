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
	return Work{ID: id, Service: "pool", Model: "m", ArrivedAt: start.Add(after), WaitDeadline: start.Add(time.Minute), ServiceTime: time.Second}
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
		w.Priority, w.ServiceTime = priority, serviceTime
		return w
	}
	for name, order := range map[string][]Work{
		"equal work by arrival":                   {work(10, 0, 0, time.Second), work(11, 0, 1, time.Second), work(12, 0, 2, time.Second)},
		"work that came at once: short first":     {work(10, 0, 0, 1), work(11, 0, 0, 2), work(12, 0, 0, 3)},
		"long work goes before later short work":  {work(10, 0, 0, time.Second), work(11, 0, time.Second, time.Millisecond), work(12, 0, 2*time.Second, 1)},
		"short work overtakes long work that ran": {work(10, 0, 500*time.Millisecond, time.Millisecond), work(11, 0, 0, time.Second)},
		"priority before both":                    {work(10, 0, time.Hour, time.Hour), work(11, 1, 0, 1), work(12, 2, 0, 0)},
	} {
		for _, queued := range [][]Work{order, lo.Reverse(slices.Clone(order))} {
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

// A request that was sent before without success has no other place than one that was not: its caller has waited for as long as its
// arrival says.
func TestRequestSentBeforeKeepsItsPlace(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(answer(200, "ok"))}, func(h *harness) {
		work := func(sends int, age time.Duration) Work {
			arrived := time.Now().Add(-age)
			r := &request{arrivedAt: arrived, deadline: arrived.Add(5 * time.Second), route: &h.view.Document.Routes[2], service: h.view.Document.Services["desk"]}
			return (&session{entry: h.entry, request: r, history: sendHistory{sends: sends}}).newWork()
		}
		for _, sends := range []int{1, 2} {
			older, newer := work(0, time.Second), work(sends, time.Second/2)
			assert.True(t, older.goesBefore(&newer))
			assert.False(t, newer.goesBefore(&older))
			newer = work(0, time.Second/2)
			older = work(sends, time.Second)
			assert.True(t, older.goesBefore(&newer))
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
	longWait.WaitDeadline, shortWait.WaitDeadline = start.Add(time.Second), start.Add(100*time.Millisecond)
	assert.True(t, p.Submit(start, longWait).Waiting)
	refused := p.Submit(start, shortWait)
	assert.Equal(t, QueueFull, refused.Reason)
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
		wait := p.queueOf(w).expectedWait(start, &w, p.capacity(start, &w))
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
			w.WaitDeadline = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
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

// Late requests must queue behind those that can meet their objective and leave a reserve of
// slots for them, but must not be refused for being late.
func TestLateRequestsLeaveReserveForOthers(t *testing.T) {
	target := groupTarget("one", "fd-a")
	target.Slots = 10
	p := placerWith(target)
	late := func(id uint64) Work {
		w := testWork(id, 0)
		w.Late = true
		return w
	}
	placed := 0
	for id := range uint64(20) {
		if p.Submit(start, late(id)).Target != nil {
			placed++
		}
	}
	assert.Equal(t, 10+engineQueueDepth-int(lateReserve*10), placed)
	onTime := testWork(50, 5*time.Second)
	onTime.ObjectiveAt = start.Add(time.Second)
	assert.NotNil(t, p.Submit(start, onTime).Target, "it overtakes the queued late requests")
}

func TestWaitingRequestBecomesLate(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"))
	var held *attach.Target
	for id := range uint64(groupLimit) {
		held = mustPlace(t, p, id)
	}
	p.RecordStart(held, 100*time.Millisecond)
	first, second := testWork(10, 1), testWork(11, 2)
	first.ServiceTime, second.ServiceTime = time.Millisecond, time.Millisecond
	first.ObjectiveAt = start.Add(600 * time.Millisecond)
	waiting := p.Submit(start, first)
	require.True(t, waiting.Waiting)
	assert.Equal(t, start.Add(500*time.Millisecond), waiting.LateAt, "less the expected time to the first event")
	require.True(t, p.Submit(start, second).Waiting)
	delayed, waited := p.MarkLate(waiting.LateAt, first)
	assert.True(t, waited)
	assert.True(t, delayed.Waiting)
	assert.Zero(t, delayed.LateAt)
	grants := p.Release(waiting.LateAt, held)
	require.NotEmpty(t, grants)
	assert.EqualValues(t, 11, grants[0].ID)
	_, waited = p.MarkLate(waiting.LateAt, second)
	assert.False(t, waited, "already granted")
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

// The queue of late requests must be bounded by the rate at which they are served; the rest
// must be refused on arrival.
func TestQueueOfLateRequestsIsBounded(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"))
	var held *attach.Target
	for id := range uint64(groupLimit) {
		held = mustPlace(t, p, id)
	}
	queued := func(now time.Time, from uint64) int {
		waiting := 0
		for id := range uint64(50) {
			w := testWork(from+id, 0)
			w.Late, w.WaitDeadline = true, now.Add(maxLateWait)
			if p.Submit(now, w).Waiting {
				waiting++
			}
		}
		return waiting
	}
	assert.Equal(t, 2, queued(start, 100), "a few may wait to probe the rate")
	for range 20 {
		p.queueOf(testWork(0, 0)).lateRate.add(start)
	}
	assert.Equal(t, 22, queued(start, 200), "20 a second for 1.2 s, with the first two")
	p.Release(start, held)
	later := start.Add(10 * time.Second)
	assert.Zero(t, queued(later, 300), "no late request was served recently")
}

// Each mechanism can be disabled on its own for measurements.
func TestMechanismsCanBeDisabled(t *testing.T) {
	for name, isDisabled := range map[mechanism.Name]func(p *Placer) bool{
		mechanism.LateReserve: func(p *Placer) bool {
			return p.limitFor(p.targets["g-a"], &Work{Late: true}) == p.limitFor(p.targets["g-a"], &Work{})
		},
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
			p.queueOf(testWork(1, 0)).onTimeAllowance = allowance{limited: true}
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
