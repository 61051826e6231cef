package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/retrybudget"
)

const (
	// Required bound on retries in a window: a ratio of the requests, plus a slack.
	requiredRetryRatio = 0.2
	requiredRetrySlack = 105
	requiredWindow     = 10 * time.Second

	simStep     = 50 * time.Millisecond
	windowSteps = int(requiredWindow / simStep)
	// reportSteps is the time between two reports of an entry, between two updates that it gets, and between two relays.
	reportSteps = int(loadInterval / simStep)
	// silenceSteps is the time without updates after which an entry uses another keeper.
	silenceSteps = int(1400 * time.Millisecond / simStep)
	simService   = "pool"
)

// simulatedEntry is an entry with its primary link.
type simulatedEntry struct {
	budget *retrybudget.Budget
	keeper int
	// updatedAt is the step of the last update. downUntil is the step at which the entry runs again.
	updatedAt, downUntil int
	// cut is true while nothing passes between the entry and keepers.
	cut bool
}

type simulatedKeeper struct {
	sums      loadSums
	downUntil int
	// cut is true while nothing passes between the keeper and other keepers, isolated while nothing passes at all.
	cut, isolated bool
}

// budgetSimulation simulates entries and keepers that share the retry budget of one service: the entries' budgets and the keepers'
// sums are the real ones, links have delays and fail. All sends fail while failing is true.
type budgetSimulation struct {
	random  *rand.Rand
	step    int
	entries []*simulatedEntry
	keepers []*simulatedKeeper
	// reportDelay is how late reports, relays and updates are, in steps.
	reportDelay int
	// rate is the number of requests a second. weights are the parts of the entries; nil for equal ones.
	rate    float64
	weights []float64
	// failing is true while all sends fail, and entries retry as often as they may.
	failing bool
	due     map[int][]func()
	carry   float64
	// starts are the steps at which random faults restarted entries.
	starts []int

	requests, retries []int
}

// newBudgetSimulation returns a simulation of nine entries and three keepers.
func newBudgetSimulation(seed uint64, rate float64) *budgetSimulation {
	const entries, keepers = 9, 3
	s := &budgetSimulation{
		random: rand.New(rand.NewPCG(seed, 42)), rate: rate, reportDelay: 1, due: map[int][]func(){},
	}
	for k := range keepers {
		s.keepers = append(s.keepers, &simulatedKeeper{})
		s.keepers[k].sums.init()
	}
	for i := range entries {
		s.entries = append(s.entries, &simulatedEntry{budget: retrybudget.New(time.Unix(1000, 0), true), keeper: i % keepers})
	}
	return s
}

func (s *budgetSimulation) now() time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s.step) * simStep)
}

// later does something after the delay of a message.
func (s *budgetSimulation) later(f func()) {
	at := s.step + max(s.reportDelay, 1)
	s.due[at] = append(s.due[at], f)
}

func (s *budgetSimulation) restartEntry(i, steps int) {
	s.entries[i].budget, s.entries[i].downUntil = retrybudget.New(s.now().Add(time.Duration(steps)*simStep), true), s.step+steps
	s.entries[i].updatedAt = s.step + steps
	for _, k := range s.keepers {
		k.sums.removeNode(fmt.Sprint(i))
	}
}

func (s *budgetSimulation) restartKeeper(k, steps int) {
	s.keepers[k] = &simulatedKeeper{downUntil: s.step + steps}
	s.keepers[k].sums.init()
	for _, other := range s.keepers {
		other.sums.removeKeeper(k)
	}
}

func (s *budgetSimulation) reachable(e *simulatedEntry, k *simulatedKeeper) bool {
	return !e.cut && !k.isolated && s.step >= k.downUntil && s.step >= e.downUntil
}

// exchange has an entry report to its keeper and get an update.
func (s *budgetSimulation) exchange(i int) {
	e := s.entries[i]
	if s.step < e.downUntil {
		return
	}
	if s.step-e.updatedAt > silenceSteps {
		s.keepers[e.keeper].sums.removeNode(fmt.Sprint(i))
		e.keeper, e.updatedAt = (e.keeper+1)%len(s.keepers), s.step
	}
	k, budget, name := s.keepers[e.keeper], e.budget, fmt.Sprint(i)
	report := &peerpb.EntryReport{Primary: true, Repeats: budget.TakeCounts()}
	s.later(func() {
		if s.reachable(e, k) && s.keepers[e.keeper] == k {
			k.sums.setNode(s.now(), name, report)
		}
	})
	if !s.reachable(e, k) {
		return
	}
	all := k.sums.all(s.now(), name)
	s.later(func() {
		if e.budget == budget && !e.cut {
			e.updatedAt = s.step
			budget.Update(s.now(), int(all.GetEntries()), all.GetRepeats())
		}
	})
}

func (s *budgetSimulation) relay(from int) {
	k := s.keepers[from]
	if s.step < k.downUntil || k.cut || k.isolated {
		return
	}
	sums := k.sums.local(s.now())
	s.later(func() {
		for to, other := range s.keepers {
			if to != from && s.step >= other.downUntil && !other.cut && !other.isolated && s.keepers[from] == k {
				other.sums.setKeeper(s.now(), from, sums)
			}
		}
	})
}

func (s *budgetSimulation) pickEntry() int {
	if s.weights == nil {
		return s.random.IntN(len(s.entries))
	}
	at := s.random.Float64()
	for i, w := range s.weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return len(s.entries) - 1
}

func (s *budgetSimulation) run(steps int, each func(step int)) {
	for range steps {
		if each != nil {
			each(s.step)
		}
		for _, f := range s.due[s.step] {
			f()
		}
		delete(s.due, s.step)
		for i := range s.entries {
			if (s.step+i)%reportSteps == 0 {
				s.exchange(i)
			}
		}
		for k := range s.keepers {
			if (s.step+k)%reportSteps == 0 {
				s.relay(k)
			}
		}
		s.sendAll()
		s.step++
	}
}

// sendAll has requests arrive, and each entry whose sends fail retry as often as it may.
func (s *budgetSimulation) sendAll() {
	s.carry += s.rate * simStep.Seconds()
	requests, retries := 0, 0
	for ; s.carry >= 1; s.carry-- {
		requests++
		if e := s.entries[s.pickEntry()]; s.step >= e.downUntil {
			e.budget.RecordRequest(s.now(), simService)
		}
	}
	for _, e := range s.entries {
		for s.failing && s.step >= e.downUntil && e.budget.Spend(s.now(), simService) {
			retries++
		}
	}
	s.requests, s.retries = append(s.requests, requests), append(s.retries, retries)
}

func windowSum(counts []int, end int) int {
	sum := 0
	for _, n := range counts[max(0, min(end-windowSteps, len(counts))):max(0, min(end, len(counts)))] {
		sum += n
	}
	return sum
}

// worst returns the window in which the retries exceeded the required bound most, or came nearest to it: the requests are those of
// the window, the one before it or the one half a window before it, whichever has most.
func (s *budgetSimulation) worst() (excess float64, retries, requests int) {
	excess = -1e9
	for end := 1; end <= len(s.requests); end++ {
		most := max(windowSum(s.requests, end), windowSum(s.requests, end-windowSteps), windowSum(s.requests, end-windowSteps/2))
		sent := windowSum(s.retries, end)
		if e := float64(sent) - requiredRetryRatio*float64(most) - requiredRetrySlack; e > excess {
			excess, retries, requests = e, sent, most
		}
	}
	return excess, retries, requests
}

// second is the number of steps in a second.
const second = int(time.Second / simStep)

// budgetFault sets a simulation up, and returns what happens in its course.
type budgetFault func(s *budgetSimulation) (each func(step int))

// failuresAt is the second from which all sends fail in a simulated fault.
const failuresAt = 20

// budgetFaults are the faults under which the retry budget must hold while all sends fail.
var budgetFaults = map[string]budgetFault{
	"none":                 func(*budgetSimulation) func(int) { return func(int) {} },
	"counts late by 1.5 s": lateCounts(second / 2),
	"counts late by 3 s":   lateCounts(second),
	"counts late by 6 s":   lateCounts(2 * second),
	"counts late by 15 s":  lateCounts(5 * second),
	"counts late from the failures on": func(s *budgetSimulation) func(int) {
		return at(failuresAt, func() { s.reportDelay = 3 * second })
	},
	"keepers restart in turn": func(s *budgetSimulation) func(int) {
		return every(1, func(n int) { s.restartKeeper(n%3, second/2) })
	},
	"all keepers restart": func(s *budgetSimulation) func(int) {
		return every(3, func(int) { s.eachKeeper(func(k int) { s.restartKeeper(k, second/4) }) })
	},
	"a keeper stands still": func(s *budgetSimulation) func(int) {
		return at(failuresAt, func() { s.keepers[0].isolated = true })
	},
	"keepers are partitioned": func(s *budgetSimulation) func(int) {
		return at(failuresAt-1, func() { s.eachKeeper(func(k int) { s.keepers[k].cut = true }) })
	},
	"all entries are detached": func(s *budgetSimulation) func(int) {
		return at(failuresAt, func() { s.eachEntry(func(i int) { s.entries[i].cut = true }) })
	},
	"six of nine entries are detached": func(s *budgetSimulation) func(int) {
		return at(failuresAt-2, func() { s.eachEntry(func(i int) { s.entries[i].cut = i < 6 }) })
	},
	"entries restart in turn": func(s *budgetSimulation) func(int) {
		return every(1, func(n int) { s.restartEntry(n%len(s.entries), second/2) })
	},
	"all entries restart": func(s *budgetSimulation) func(int) {
		return at(failuresAt+2, func() { s.eachEntry(func(i int) { s.restartEntry(i, second/2) }) })
	},
	"all entries restart twice": func(s *budgetSimulation) func(int) {
		return func(step int) {
			if step == (failuresAt+2)*second || step == (failuresAt+6)*second {
				s.eachEntry(func(i int) { s.restartEntry(i, second/2) })
			}
		}
	},
	"all entries restart while counts are late": func(s *budgetSimulation) func(int) {
		s.reportDelay = 3 * second
		return at(failuresAt+1, func() { s.eachEntry(func(i int) { s.restartEntry(i, second/2) }) })
	},
	"all entries restart as keepers do": func(s *budgetSimulation) func(int) {
		return at(failuresAt+1, func() {
			s.eachEntry(func(i int) { s.restartEntry(i, second/2) })
			s.eachKeeper(func(k int) { s.restartKeeper(k, second/4) })
		})
	},
	"all entries stand still": func(s *budgetSimulation) func(int) {
		return every(4, func(int) { s.eachEntry(func(i int) { s.entries[i].downUntil = s.step + 2*second }) })
	},
	"traffic falls": func(s *budgetSimulation) func(int) {
		return at(failuresAt, func() { s.rate /= 20 })
	},
	"traffic falls and entries are detached": func(s *budgetSimulation) func(int) {
		return at(failuresAt-1, func() {
			s.rate /= 50
			s.eachEntry(func(i int) { s.entries[i].cut = true })
		})
	},
	"a peak ends": func(s *budgetSimulation) func(int) {
		return func(step int) {
			switch step {
			case (failuresAt - 5) * second:
				s.rate *= 4
			case failuresAt * second:
				s.rate /= 16
			}
		}
	},
	"traffic comes and goes": func(s *budgetSimulation) func(int) {
		rate := s.rate
		return every(3, func(n int) { s.rate = rate * float64(n%2) })
	},
	"one entry gets half of the traffic": func(s *budgetSimulation) func(int) {
		s.weights = []float64{0.5, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625, 0.0625}
		return func(int) {}
	},
}

func lateCounts(delay int) budgetFault {
	return func(s *budgetSimulation) func(int) {
		s.reportDelay = delay
		return func(int) {}
	}
}

func at(seconds int, f func()) func(int) {
	return func(step int) {
		if step == seconds*second {
			f()
		}
	}
}

// every calls a function with its number, from the failures on.
func every(seconds int, f func(n int)) func(int) {
	return func(step int) {
		if n := step - failuresAt*second; n >= 0 && n%(seconds*second) == 0 {
			f(n / (seconds * second))
		}
	}
}

func (s *budgetSimulation) eachEntry(f func(i int)) {
	for i := range s.entries {
		f(i)
	}
}

func (s *budgetSimulation) eachKeeper(f func(k int)) {
	for k := range s.keepers {
		f(k)
	}
}

// All entries together sent more retries than the bound allows after they had restarted, or while counts came late.
func TestRetriesStayWithinBudgetWhateverCountsAreKnown(t *testing.T) {
	for name, fault := range budgetFaults {
		for _, rate := range []float64{2, 17, 180, 540} {
			s := newBudgetSimulation(1, rate)
			each := fault(s)
			s.run(45*second, func(step int) {
				if step == failuresAt*second {
					s.failing = true
				}
				each(step)
			})
			excess, retries, requests := s.worst()
			assert.LessOrEqual(t, excess, 0.0, "%s, %v requests a second: %d retries of %d requests", name, rate, retries, requests)
		}
	}
}

// maxStarts is the number of entries that start within a window of the random faults.
const maxStarts = 18

// randomFault applies a random fault, or ends one.
func (s *budgetSimulation) randomFault(rate float64) {
	e, k := s.random.IntN(len(s.entries)), s.random.IntN(len(s.keepers))
	switch s.random.IntN(9) {
	case 0:
		if s.starts = slices.DeleteFunc(s.starts, func(step int) bool { return s.step-step >= windowSteps }); len(s.starts) < maxStarts {
			s.starts = append(s.starts, s.step)
			s.restartEntry(e, 1+s.random.IntN(second))
		}
	case 1:
		s.restartKeeper(k, 1+s.random.IntN(second))
	case 2:
		s.keepers[k].isolated = !s.keepers[k].isolated
	case 3:
		s.keepers[k].cut = !s.keepers[k].cut
	case 4:
		s.entries[e].cut = !s.entries[e].cut
	case 5:
		s.rate = rate * s.random.Float64() * 3
	case 6:
		s.reportDelay = 1 + s.random.IntN(2*second)
	case 7:
		s.failing = !s.failing
	default:
		s.entries[e].downUntil = max(s.entries[e].downUntil, s.step+s.random.IntN(3*second))
	}
}

// The bound holds under random faults of entries, keepers and links, with traffic that changes.
func TestRetriesStayWithinBudgetUnderRandomFaults(t *testing.T) {
	for seed := range uint64(60) {
		rate := []float64{2, 17, 180, 540}[seed%4]
		s := newBudgetSimulation(seed, rate)
		s.failing = true
		s.run(60*second, func(int) {
			if s.random.IntN(second/2) == 0 {
				s.randomFault(rate)
			}
		})
		excess, retries, requests := s.worst()
		assert.LessOrEqual(t, excess, 0.0, "seed %d, %v requests a second: %d retries of %d requests", seed, rate, retries, requests)
	}
}

// breakStreams has a number of streams break at once, each at an entry of its own choice, and returns how many are resumed.
func (s *budgetSimulation) breakStreams(n int) int {
	resumed := 0
	for range n {
		if s.entries[s.pickEntry()].budget.Spend(s.now(), simService) {
			resumed++
		}
	}
	return resumed
}

// Streams that break together, when a group, a failure domain or an upstream of a plain service is lost, are resumed.
func TestStreamsThatBreakTogetherAreResumed(t *testing.T) {
	for _, test := range []struct {
		name           string
		rate           float64
		broken, resume int
		restart        bool
	}{
		{"a group", 143, 17, 17, false},
		{"a failure domain", 143, 77, 77, false},
		{"a plain upstream", 17, 6, 6, false},
		{"a group after all entries restarted", 143, 17, 16, true},
		{"a plain upstream after all entries restarted", 17, 6, 5, true},
	} {
		resumed := 0
		const seeds = 20
		for seed := range uint64(seeds) {
			s := newBudgetSimulation(seed, test.rate)
			s.run(30*second, nil)
			if test.restart {
				s.eachEntry(func(i int) { s.restartEntry(i, second/2) })
				s.run(3*second, nil)
			}
			resumed += s.breakStreams(test.broken)
		}
		assert.GreaterOrEqual(t, resumed, test.resume*seeds, "%s: %d streams each in %d seeds", test.name, test.broken, seeds)
	}
}

// A tenth of the sends fails for a while.
func TestTenthOfSendsIsRetried(t *testing.T) {
	for _, rate := range []float64{17, 143} {
		s := newBudgetSimulation(1, rate)
		s.run(30*second, nil)
		failed, retried := 0, 0
		s.run(20*second, func(int) {
			for n := rate / 10 * simStep.Seconds(); n > s.random.Float64(); n-- {
				failed++
				retried += s.breakStreams(1)
			}
		})
		assert.Equal(t, failed, retried, "%v requests a second", rate)
	}
}
