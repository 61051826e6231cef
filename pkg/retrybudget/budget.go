// Package retrybudget bounds the retries of requests. All entries share the budget of a service: each entry earns a part of it
// by its own requests, and may spend a part of what others leave unused.
//
// The required bound holds whatever an entry has not heard of the others. In any Window all entries together send at most
// earnedRatio of the requests, the bursts that they had saved and startBurst for each start of an entry, and pooledRatio of the
// requests and the reserves, as each entry limits its own part. The counts of all entries only lower that.
package retrybudget

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Window is the time over which retries are counted against requests.
const Window = 10 * time.Second

const (
	// earnedRatio is the part of its own requests that each entry may retry, pooledRatio the part of the mean requests of an
	// entry that it may retry beside those. Their sum is below the required bound of 0.2.
	earnedRatio = 0.1
	pooledRatio = 0.09
	// retryRatio is the share of a service's requests that all entries together may retry as far as their counts are known.
	retryRatio = 0.15
	// regionBurst is the number of retries that all entries together may save up for a service, and regionReserve the number
	// that they may send in a window beside those in proportion to requests; the required bound allows at least 105.
	regionBurst   = 36
	regionReserve = 27
	// maxBurst and maxReserve bound the parts of one entry: one that knows only some of the others takes no more of them.
	maxBurst   = 4
	maxReserve = 3
	// startBurst is the number of retries that a process that has just started may send before it has earned one.
	startBurst = 2
	// poolInterval is the time between two updates of the pooled part: by then every entry has the counts of the time before.
	poolInterval = time.Second
	// countsExpiry is the age from which the reported counts allow no more pooled retries.
	countsExpiry = 4 * time.Second
	// refusalReportInterval is the shortest time between two reports of refused retries.
	refusalReportInterval = time.Second
)

// Budget is one entry's part of the budget for retries. Each service has its own budget. It must not be used by several goroutines
// at the same time.
type Budget struct {
	startedAt time.Time
	// entries is the largest number of entries that was reported since entriesSince, earlierEntries that of the window before.
	// The counts of entries that have gone are in those of all for a window.
	entries, earlierEntries int
	entriesSince            time.Time
	// updatedAt is when the reported counts were last applied.
	updatedAt time.Time
	services  map[string]*serviceBudget
	// pooling is false where the pooled part is disabled for a measurement.
	pooling bool
}

// serviceBudget is this entry's part of one service's budget.
type serviceBudget struct {
	// earned is the number of retries that this entry's requests have earned.
	earned float64
	// burstGiven is true once the entry was given a whole burst. Until then it has startBurst and all that it has earned since.
	burstGiven bool
	// unused is this entry's part of what all entries left unused, as last reported.
	unused float64
	// pooledAt are the times of the pooled retries in the last window.
	pooledAt []time.Time
	// requests and retries are counts since the last report.
	requests, retries uint32
	// all are the counts of all entries in the window, as last reported.
	all *peerpb.RepeatCount
	// refusalReportedAt is when a refusal of a retry was last reported.
	refusalReportedAt time.Time
}

// New returns the budget of an entry that starts now. Without pooling it gets no part of what others left unused.
func New(now time.Time, pooling bool) *Budget {
	return &Budget{startedAt: now, services: map[string]*serviceBudget{}, pooling: pooling}
}

// sharers is the number of entries that share the budget.
func (b *Budget) sharers() float64 { return float64(max(b.entries, b.earlierEntries, 1)) }

// burst is the number of earned retries that may be saved up.
func (b *Budget) burst() float64 {
	return math.Max(1, math.Min(maxBurst, regionBurst/b.sharers()))
}

// isYoung reports whether an earlier process of this entry may have spent its burst and its pooled retries within the window.
func (b *Budget) isYoung(now time.Time) bool { return now.Sub(b.startedAt) < Window }

func (b *Budget) budgetOf(now time.Time, service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{earned: math.Min(startBurst, b.burst())}
		b.services[service] = s
	}
	if !s.burstGiven && !b.isYoung(now) {
		s.earned, s.burstGiven = b.burst(), true
	}
	return s
}

// RecordRequest updates the budget for a first send.
func (b *Budget) RecordRequest(now time.Time, service string) {
	s := b.budgetOf(now, service)
	s.requests++
	s.earned += earnedRatio
	if !b.isYoung(now) {
		s.earned = math.Min(b.burst(), s.earned)
	}
}

// pooled returns the number of retries that the entry may send beside the earned ones.
func (b *Budget) pooled(now time.Time, s *serviceBudget) float64 {
	if b.isYoung(now) || now.Sub(b.updatedAt) >= countsExpiry || s.all == nil {
		return 0
	}
	limit := pooledRatio*float64(s.all.GetRequests())/b.sharers() + math.Min(maxReserve, regionReserve/b.sharers())
	s.pooledAt = slices.DeleteFunc(s.pooledAt, func(at time.Time) bool { return now.Sub(at) >= Window })
	return math.Max(0, math.Min(s.unused, limit-float64(len(s.pooledAt))))
}

// Left returns the number of retries that are left for a service.
func (b *Budget) Left(now time.Time, service string) int {
	s := b.budgetOf(now, service)
	return int(s.earned) + int(b.pooled(now, s))
}

// Available reports whether a retry is left.
func (b *Budget) Available(now time.Time, service string) bool { return b.Left(now, service) > 0 }

// Spend uses one retry if there is one: an earned one first, as earned retries are lost when
// the entry has saved up its burst.
func (b *Budget) Spend(now time.Time, service string) bool {
	if !b.Available(now, service) {
		return false
	}
	s := b.budgetOf(now, service)
	s.retries++
	if s.earned >= 1 {
		s.earned--
		return true
	}
	s.unused--
	s.pooledAt = append(s.pooledAt, now)
	return true
}

// Update applies the reported counts of all entries. The unused budget is divided among the
// entries, so that one that meets all failures may retry more than its own part.
func (b *Budget) Update(now time.Time, entries int, counts []*peerpb.RepeatCount) {
	if entries == 0 || !b.updatedAt.IsZero() && now.Sub(b.updatedAt) < poolInterval {
		return
	}
	if now.Sub(b.entriesSince) >= Window {
		b.entries, b.earlierEntries, b.entriesSince = 0, b.entries, now
	}
	b.entries, b.updatedAt = max(b.entries, entries), now
	for _, s := range b.services {
		s.all, s.unused = nil, 0
	}
	if !b.pooling {
		return
	}
	for _, c := range counts {
		s := b.budgetOf(now, c.GetService())
		s.all = c
		s.unused = math.Max(0, retryRatio*float64(c.GetRequests())+regionReserve-float64(c.GetRepeats())) / b.sharers()
	}
}

// TakeCounts returns the numbers since the last call, ordered by service, and resets them.
func (b *Budget) TakeCounts() []*peerpb.RepeatCount {
	var counts []*peerpb.RepeatCount
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		if s := b.services[service]; s.requests > 0 || s.retries > 0 {
			counts = append(counts, &peerpb.RepeatCount{Service: service, Requests: s.requests, Repeats: s.retries})
			s.requests, s.retries = 0, 0
		}
	}
	return counts
}

// State is what an entry knows of the budget of a service.
type State struct {
	Service string
	// Earned and Pooled are the retries that are left, from the entry's own requests and from what others left unused.
	Earned, Pooled float64
	// Requests and Retries are the entry's counts that it has not reported yet.
	Requests, Retries uint32
	// Entries is the number of entries that share the budget, AllRequests and AllRetries are the counts of all of them in the
	// window of the budget, as last reported Age ago.
	Entries                 int
	AllRequests, AllRetries uint32
	Age                     time.Duration
}

// States returns the budgets of all services, ordered by name.
func (b *Budget) States(now time.Time) []State {
	states := make([]State, 0, len(b.services))
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		states = append(states, b.state(now, service))
	}
	return states
}

func (b *Budget) state(now time.Time, service string) State {
	s := b.budgetOf(now, service)
	state := State{
		Service: service, Earned: s.earned, Pooled: b.pooled(now, s), Requests: s.requests, Retries: s.retries,
		Entries: int(b.sharers()), AllRequests: s.all.GetRequests(), AllRetries: s.all.GetRepeats(),
	}
	if !b.updatedAt.IsZero() {
		state.Age = now.Sub(b.updatedAt)
	}
	return state
}

// Refused records that a retry was refused as none was left. It returns the state of the service's budget, and whether to report
// it: at most once in refusalReportInterval.
func (b *Budget) Refused(now time.Time, service string) (state State, report bool) {
	s := b.budgetOf(now, service)
	if report = now.Sub(s.refusalReportedAt) >= refusalReportInterval; report {
		s.refusalReportedAt = now
	}
	return b.state(now, service), report
}
