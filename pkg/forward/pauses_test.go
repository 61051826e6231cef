package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
)

// refusesFor is an upstream that wants no work for a time, in seconds.
func refusesFor(seconds string) script {
	return alwaysAnswer(answer(http.StatusServiceUnavailable, "", "Test-Refused: 1", "Retry-After: "+seconds))
}

// Guards against requests that reach an upstream while it wants none, and against callers without the time to wait for it that are not told
// at once, or are told to come back before it wants some.
func TestUpstreamThatWantsNoWorkForATimeGetsNone(t *testing.T) {
	inBubble(t, map[string]script{"a:1": refusesFor("3.5")}, func(h *harness) {
		for i := range 4 {
			began := time.Now()
			resp, _, err := h.call("GET", "/repeat/x", "", "Test-Left: 2000")
			require.NoError(t, err)
			assert.Zero(t, time.Since(began))
			assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			assert.Equal(t, "not-run", resp.Header.Get("Masticmount-Outcome"))
			if i > 0 {
				wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				assert.GreaterOrEqual(t, wait, 3.0, "no earlier than the upstream takes work again")
			}
		}
		assert.Len(t, h.received, 1)
		assert.Contains(t, h.log.String(), "event=upstream_paused")
	})
}

// Two of three upstreams want no work: the third one gets all.
func TestOtherUpstreamsServeWhileSomeWantNoWork(t *testing.T) {
	upstreams := map[string]script{"a:1": refusesFor("2"), "b:1": refusesFor("0.75"), "c:1": alwaysAnswer(answer(200, "ok"))}
	inBubble(t, upstreams, func(h *harness) {
		for i := range 12 {
			resp, _, err := h.call("GET", "/repeat/x", "")
			require.NoError(t, err)
			if i > 0 {
				// The first one may have used both of its attempts to find out.
				assert.Equal(t, http.StatusOK, resp.StatusCode)
			}
		}
		reached := map[string]int{}
		for len(h.received) > 0 {
			reached[(<-h.received)[:3]]++
		}
		assert.LessOrEqual(t, reached["a:1"], 1)
		assert.LessOrEqual(t, reached["b:1"], 1)
		assert.GreaterOrEqual(t, reached["c:1"], 11)
	})
}

// pausedTarget returns a plain upstream.
func pausedTarget(id string) attach.Target {
	return attach.Target{ID: id, StartTime: 1, Address: id, Service: "desk", FailureDomain: "fd", Slots: 6}
}

// Guards against a pause that another start of the upstream inherits, or that an answer from before it ends.
func TestPauseEndsWithItsIncarnationOnly(t *testing.T) {
	p := NewPlacer("fd", rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1_700_000_000, 0)
	target := pausedTarget("a")
	view := &attach.View{Targets: []attach.Target{target}}
	p.Update(now, view)
	p.Pause(now, incarnationOf(&target), 10*time.Second)
	p.RecordAnswer(now.Add(time.Second), &target)
	assert.Equal(t, Paused, p.Submit(now.Add(time.Second), Work{ID: 1, Service: "desk"}).Reason)
	p.Update(now.Add(2*time.Second), view)
	assert.Equal(t, Paused, p.Submit(now.Add(2*time.Second), Work{ID: 2, Service: "desk"}).Reason)
	next := target
	next.StartTime = 2
	p.Update(now.Add(3*time.Second), &attach.View{Targets: []attach.Target{next}})
	assert.NotNil(t, p.Submit(now.Add(3*time.Second), Work{ID: 3, Service: "desk"}).Target)
}

// Guards against requests that wait although no upstream takes them before their callers leave.
func TestWaitingRequestIsExaminedAgainWhenItsUpstreamsWantNoWork(t *testing.T) {
	p := NewPlacer("fd", rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1_700_000_000, 0)
	target := pausedTarget("a")
	target.Slots = 1
	p.Update(now, &attach.View{Targets: []attach.Target{target}})
	work := func(id uint64) Work {
		return Work{ID: id, Service: "desk", EndBy: now.Add(time.Second), ServiceTime: 30 * time.Millisecond}
	}
	require.NotNil(t, p.Submit(now, work(1)).Target)
	require.True(t, p.Submit(now, work(2)).Waiting)
	grants, began := p.Pause(now, incarnationOf(&target), 5*time.Second)
	assert.True(t, began)
	assert.Equal(t, []Grant{{ID: 2}}, grants)
	refused := p.Submit(now, work(2))
	assert.Equal(t, Paused, refused.Reason)
	assert.GreaterOrEqual(t, refused.RetryAfter, 5*time.Second)
}

// pausingFleet simulates entries before an overloaded plain service whose upstreams answer 503 with Retry-After when they are full.
type pausingFleet struct {
	random    *rand.Rand
	targets   []attach.Target
	entries   []*Placer
	running   map[string][]time.Time
	obeys     bool
	served    int
	offered   int
	worstPair int
	pauses    map[string][]pausedPair
}

// pausedPair is the time in which an upstream wants no work of an entry, from pairNotice after its answer.
type pausedPair struct {
	from, to time.Time
	arrivals int
}

const (
	pairNotice     = 500 * time.Millisecond
	pairTolerance  = 2
	pausingStep    = 10 * time.Millisecond
	pausingService = 30 * time.Millisecond
)

func newPausingFleet(seed uint64, entries, targets int, obeys bool) *pausingFleet {
	f := &pausingFleet{random: rand.New(rand.NewPCG(seed, 5)), running: map[string][]time.Time{}, obeys: obeys, pauses: map[string][]pausedPair{}}
	for i := range targets {
		f.targets = append(f.targets, pausedTarget(fmt.Sprint("u", i)))
	}
	for i := range entries {
		f.entries = append(f.entries, NewPlacer("fd", rand.New(rand.NewPCG(seed, uint64(i)))))
	}
	return f
}

// step plays one step with a number of new requests.
func (f *pausingFleet) step(now time.Time, arrivals float64) {
	for id, ends := range f.running {
		f.running[id] = slices.DeleteFunc(ends, func(end time.Time) bool { return !now.Before(end) })
	}
	for n := arrivals; n > 0; n-- {
		if n < 1 && f.random.Float64() >= n {
			break
		}
		f.offered++
		f.send(now, f.random.IntN(len(f.entries)))
	}
}

// send sends one request to an upstream; it is not sent again.
func (f *pausingFleet) send(now time.Time, entry int) {
	p := f.entries[entry]
	target := p.Claim(now, Work{Service: "desk", ServiceTime: pausingService})
	if target == nil {
		return
	}
	key := fmt.Sprint(entry, target.ID)
	for i := range f.pauses[key] {
		if pair := &f.pauses[key][i]; now.After(pair.from) && now.Before(pair.to) {
			pair.arrivals++
			f.worstPair = max(f.worstPair, pair.arrivals)
		}
	}
	defer p.Release(now, target)
	if len(f.running[target.ID]) >= target.Slots {
		d := time.Duration(500+f.random.IntN(2000)) * time.Millisecond
		f.pauses[key] = append(f.pauses[key], pausedPair{from: now.Add(pairNotice), to: now.Add(d)})
		p.BackOffUntil(target, now.Add(refusedBackoff))
		if f.obeys {
			p.Pause(now, incarnationOf(target), d)
		}
		return
	}
	f.running[target.ID] = append(f.running[target.ID], now.Add(pausingService))
	f.served++
	p.RecordAnswer(now, target)
}

// Guards against overloaded upstreams that are asked again and again while they want no work.
func TestOverloadedUpstreamsAreLeftAloneForAsLongAsTheyAsk(t *testing.T) {
	play := func(seed uint64, obeys bool) *pausingFleet {
		f := newPausingFleet(seed, 30, 6, obeys)
		now := time.Unix(1_700_000_000, 0)
		for i := range 6000 {
			if i%20 == 0 {
				for _, p := range f.entries {
					p.Update(now, &attach.View{Targets: f.targets})
				}
			}
			load := 8.0
			if i >= 3000 {
				load = 18
			}
			f.step(now, load)
			now = now.Add(pausingStep)
		}
		return f
	}
	for seed := range uint64(4) {
		kept, ignored := play(seed, true), play(seed, false)
		t.Logf("seed %d: %d of %d answered, at most %d requests in a pause; %d and %d where pauses are ignored", seed, kept.served, kept.offered, kept.worstPair, ignored.served, ignored.worstPair)
		assert.LessOrEqual(t, kept.worstPair, pairTolerance)
		assert.Greater(t, ignored.worstPair, pairTolerance, "the simulation shows the fault")
	}
}
