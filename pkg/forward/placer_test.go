package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
)

var start = time.Unix(1000, 0)

func groupTarget(id, domain string) attach.Target {
	return attach.Target{
		ID: id, Born: 1, Address: id, Service: "pool", FailureDomain: domain, Model: "m", Group: "g-" + id, Slots: 2,
	}
}

func placerWith(targets ...attach.Target) *Placer {
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, &attach.View{Targets: targets})
	return p
}

func work(id uint64, rank float64) Work {
	return Work{ID: id, Service: "pool", Model: "m", Rank: rank, GiveUpAt: start.Add(time.Minute), Hold: time.Second}
}

func arrive(t *testing.T, p *Placer, id uint64) *attach.Target {
	placed := p.Arrive(start, work(id, 0))
	require.NotNil(t, placed.Target, "request %d", id)
	return placed.Target
}

// full is the number of requests that one of the tests' groups is given.
const full = 2 + engineSurplus

func TestOwnFailureDomainGoesFirstAndSpillsWhenFull(t *testing.T) {
	p := placerWith(groupTarget("near", "fd-a"), groupTarget("far", "fd-b"))
	var order []string
	for id := range uint64(2 * full) {
		order = append(order, arrive(t, p, id).ID)
	}
	assert.Equal(t, "near", order[0])
	counts := map[string]int{}
	for _, id := range order {
		counts[id]++
	}
	assert.Equal(t, map[string]int{"near": full, "far": full}, counts)
	assert.True(t, p.Arrive(start, work(99, 0)).Waiting)
}

func TestOtherEntriesCountToo(t *testing.T) {
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, &attach.View{
		Targets: []attach.Target{groupTarget("busy", "fd-a"), groupTarget("idle", "fd-a")}, Loads: map[string]int{"g-busy": full},
	})
	for id := range uint64(full) {
		assert.Equal(t, "idle", arrive(t, p, id).ID)
	}
	assert.True(t, p.Arrive(start, work(9, 0)).Waiting)
}

func TestWaitingRequestsAreGrantedByRank(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"))
	var held *attach.Target
	for id := range uint64(full) {
		held = arrive(t, p, id)
	}
	for id, rank := range map[uint64]float64{10: 3, 11: 1, 12: 2} {
		require.True(t, p.Arrive(start, work(id, rank)).Waiting)
	}
	var granted []uint64
	for range 3 {
		for _, g := range p.Release(start, held) {
			granted = append(granted, g.ID)
		}
	}
	assert.Equal(t, []uint64{11, 12, 10}, granted)
}

// A request that cannot be served in time is refused when it arrives.
func TestWhatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	p := placerWith()
	none := p.Arrive(start, work(1, 0))
	assert.Equal(t, NoTarget, none.Reason)
	assert.Positive(t, none.RetryAfter)

	p = placerWith(groupTarget("one", "fd-a"))
	for id := range uint64(full) {
		arrive(t, p, id)
	}
	patient, hasty := work(10, 0), work(11, 0)
	patient.GiveUpAt, hasty.GiveUpAt = start.Add(time.Second), start.Add(100*time.Millisecond)
	assert.True(t, p.Arrive(start, patient).Waiting)
	refused := p.Arrive(start, hasty)
	assert.Equal(t, Crowded, refused.Reason)
	assert.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
	assert.LessOrEqual(t, refused.RetryAfter, minRetryAfter+retryAfterSpread)
}

func TestGivingUpTakesARequestOutOnce(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"))
	var held *attach.Target
	for id := range uint64(full) {
		held = arrive(t, p, id)
	}
	w := work(10, 0)
	require.True(t, p.Arrive(start, w).Waiting)
	_, waited := p.GiveUp(w)
	assert.True(t, waited)
	_, waited = p.GiveUp(w)
	assert.False(t, waited)
	assert.Empty(t, p.Release(start, held))
}

func TestAFailedTargetGetsOneRequestUntilItAnswers(t *testing.T) {
	p := placerWith(groupTarget("bad", "fd-a"), groupTarget("good", "fd-b"))
	bad := arrive(t, p, 1)
	require.Equal(t, "bad", bad.ID)
	p.Failed(start, bad)
	p.Release(start, bad)
	assert.Equal(t, "good", arrive(t, p, 2).ID)
	later := start.Add(2 * suspectFor)
	probe := p.Arrive(later, work(3, 0)).Target
	require.Equal(t, "bad", probe.ID)
	assert.Equal(t, "good", p.Arrive(later, work(4, 0)).Target.ID, "one at a time")
	p.Failed(later, probe)
	p.Release(later, probe)
	assert.Equal(t, "good", p.Arrive(later.Add(suspectFor+time.Millisecond), work(5, 0)).Target.ID, "twice as long after the second failure")
	p.Answered(later, probe)
	assert.Equal(t, "bad", p.Arrive(later, work(6, 0)).Target.ID)
}

func TestDoubtfulTargetsGetWorkOnlyWithoutOthersOrWhileTheyAnswer(t *testing.T) {
	doubtful := groupTarget("doubtful", "fd-a")
	doubtful.Doubtful = true
	p := placerWith(doubtful, groupTarget("clear", "fd-b"))
	for id := range uint64(full) {
		assert.Equal(t, "clear", arrive(t, p, id).ID)
	}
	assert.True(t, p.Arrive(start, work(50, 1)).Waiting)
	grants := p.Update(start, &attach.View{Targets: []attach.Target{doubtful}})
	require.Len(t, grants, 1, "nothing else is left")
	p.Answered(start, grants[0].Target)
	p.Update(start, &attach.View{Targets: []attach.Target{doubtful, groupTarget("clear", "fd-b")}})
	assert.Equal(t, "doubtful", p.Arrive(start, work(51, 0)).Target.ID)
}

func TestSlowTargetsGetWorkWhenOthersAreFull(t *testing.T) {
	p := placerWith(groupTarget("slow", "fd-a"), groupTarget("one", "fd-b"), groupTarget("two", "fd-b"))
	for key, gap := range map[string]time.Duration{"slow": 250, "one": 50, "two": 60} {
		target := p.slots["g-"+key].target
		p.Paused(start, &target, gap*time.Millisecond)
	}
	for id := range uint64(2 * full) {
		assert.NotEqual(t, "slow", arrive(t, p, id).ID)
	}
	assert.Equal(t, "slow", arrive(t, p, 99).ID)
	p = placerWith(groupTarget("slow", "fd-a"), groupTarget("one", "fd-b"))
	for key, gap := range map[string]time.Duration{"slow": 250, "one": 50} {
		target := p.slots["g-"+key].target
		p.Paused(start, &target, gap*time.Millisecond)
	}
	assert.Equal(t, "slow", p.Arrive(start.Add(2*slowMemory), work(1, 0)).Target.ID, "it may have recovered")
}

func TestExcludedTargetsAndLostOnesGetNoWork(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"), groupTarget("two", "fd-a"))
	w := work(1, 0)
	w.Excluded = []string{"one"}
	assert.Equal(t, "two", p.Arrive(start, w).Target.ID)
	p.Update(start, &attach.View{Targets: []attach.Target{groupTarget("one", "fd-a")}})
	assert.Equal(t, "one", arrive(t, p, 2).ID)
	w.Excluded = []string{"one", "two"}
	assert.Equal(t, NoTarget, p.Arrive(start, w).Reason)
}

func TestLoadsAreReportedByGroup(t *testing.T) {
	p := placerWith(groupTarget("one", "fd-a"), groupTarget("two", "fd-a"))
	target := arrive(t, p, 1)
	loads := p.loads()
	require.Len(t, loads, 1)
	assert.Equal(t, target.Group, loads[0].GetGroup())
	assert.EqualValues(t, 1, loads[0].GetOutstanding())
}

// Seeded arrivals, releases and views never give a target more than its limit.
func TestSeededLoadsStayWithinTheLimits(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 7))
		p := NewPlacer("fd-a", random)
		targets := []attach.Target{groupTarget("a", "fd-a"), groupTarget("b", "fd-a"), groupTarget("c", "fd-b")}
		p.Update(start, &attach.View{Targets: targets})
		var held []*attach.Target
		now := start
		take := func(grants []Grant) {
			for _, g := range grants {
				held = append(held, g.Target)
			}
		}
		for id := range uint64(300) {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			w := work(id, random.Float64())
			w.GiveUpAt = now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			if placed := p.Arrive(now, w); placed.Target != nil {
				held = append(held, placed.Target)
			}
			if len(held) > 0 && random.IntN(3) > 0 {
				i := random.IntN(len(held))
				done := held[i]
				held = append(held[:i], held[i+1:]...)
				if random.IntN(10) == 0 {
					p.Failed(now, done)
				} else {
					p.Answered(now, done)
				}
				take(p.Release(now, done))
			}
			counts := map[string]int{}
			for _, h := range held {
				counts[h.Group]++
			}
			for group, n := range counts {
				require.LessOrEqual(t, n, full, "seed %d: %s", seed, group)
			}
		}
	}
}
