// Package retrybudget bounds the retries of requests. All entries share the budget of a service: each entry earns a part of it
// by its own requests, and gets a part of what the others left unused.
package retrybudget

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// retryRatio is the share of a service's requests that all entries together may retry:
	// three quarters of the required bound of 0.2, as counts are reported with a delay.
	retryRatio = 0.15
	// earnedRatio is the part of retryRatio that each entry earns by its own requests; the
	// rest is pooled.
	earnedRatio = 0.1
	pooledRatio = retryRatio - earnedRatio
	// regionBurst is the number of retries that all entries together may save up for a
	// service; the required bound allows at least 105.
	regionBurst = 60
	// maxBurst bounds the part of regionBurst that one entry holds.
	maxBurst = 8
	// poolInterval is the time between two updates of the pooled part from what other entries
	// left unused: by then every entry has the counts of the time before.
	poolInterval = time.Second
	// poolShare is the part of the unused budget that one update hands out, as the reported
	// counts are old by then.
	poolShare = 0.5
	// refusalReportInterval is the shortest time between two reports of refused retries.
	refusalReportInterval = time.Second
)

// Budget is one entry's part of the budget for retries. Each service has its own budget. It must not be used by several goroutines
// at the same time.
type Budget struct {
	// entries is the number of entries that share the budget, as last reported.
	entries  int
	pooledAt time.Time
	services map[string]*serviceBudget
	// pooling is false where the pooled part is disabled for a measurement.
	pooling bool
}

// serviceBudget is this entry's part of one service's budget.
type serviceBudget struct {
	// earned comes from the requests of this entry. pooled is its part of what all entries
	// left unused, as last reported.
	earned, pooled float64
	// requests and retries are counts since the last report.
	requests, retries uint32
	// all are the counts of all entries in the window of the budget, as last reported.
	all *peerpb.RepeatCount
	// refusalReportedAt is when a refusal of a retry was last reported.
	refusalReportedAt time.Time
}

// New returns the budget of an entry that has just started. Without pooling it gets no part of what others left unused.
func New(pooling bool) *Budget {
	return &Budget{entries: 1, services: map[string]*serviceBudget{}, pooling: pooling}
}

// burst is the number of earned retries that may be saved up.
func (b *Budget) burst() float64 {
	return math.Max(1, math.Min(maxBurst, regionBurst/float64(max(b.entries, 1))))
}

func (b *Budget) budgetOf(service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{earned: b.burst()}
		b.services[service] = s
	}
	return s
}

// RecordRequest updates the budget for a first send.
func (b *Budget) RecordRequest(service string) {
	s := b.budgetOf(service)
	s.requests++
	s.earned = math.Min(b.burst(), s.earned+earnedRatio)
}

// Left returns the number of retries that are left for a service.
func (b *Budget) Left(service string) int {
	s := b.budgetOf(service)
	return int(s.earned) + int(s.pooled)
}

// Available reports whether a retry is left.
func (b *Budget) Available(service string) bool {
	return b.Left(service) > 0
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
	s := b.budgetOf(service)
	state := State{
		Service: service, Earned: s.earned, Pooled: s.pooled, Requests: s.requests, Retries: s.retries,
		Entries: b.entries, AllRequests: s.all.GetRequests(), AllRetries: s.all.GetRepeats(),
	}
	if !b.pooledAt.IsZero() {
		state.Age = now.Sub(b.pooledAt)
	}
	return state
}

// Refused records that a retry was refused as none was left. It returns the state of the service's budget, and whether to report
// it: at most once in refusalReportInterval.
func (b *Budget) Refused(now time.Time, service string) (state State, report bool) {
	s := b.budgetOf(service)
	if report = now.Sub(s.refusalReportedAt) >= refusalReportInterval; report {
		s.refusalReportedAt = now
	}
	return b.state(now, service), report
}

// Spend uses one retry if there is one: an earned one first, as earned retries are lost when
// the entry has saved up its burst.
func (b *Budget) Spend(service string) bool {
	if !b.Available(service) {
		return false
	}
	s := b.budgetOf(service)
	s.retries++
	if s.earned >= 1 {
		s.earned--
	} else {
		s.pooled--
	}
	return true
}

// Update applies the reported counts of all entries. The unused budget is divided among the
// entries, so that one that meets all failures may retry more than its own part.
func (b *Budget) Update(now time.Time, entries int, counts []*peerpb.RepeatCount) {
	if entries == 0 || now.Sub(b.pooledAt) < poolInterval {
		return
	}
	b.entries, b.pooledAt = entries, now
	for _, c := range counts {
		b.budgetOf(c.GetService()).all = c
		if !b.pooling {
			continue
		}
		requests := float64(c.GetRequests())
		unused := math.Min(retryRatio*requests-float64(c.GetRepeats()), pooledRatio*requests)
		b.budgetOf(c.GetService()).pooled = poolShare * math.Max(0, unused) / float64(b.entries)
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
