package forward

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
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
)

// retryBudget is this entry's part of the budget for retries. Each service has its own budget.
type retryBudget struct {
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
}

func newRetryBudget() retryBudget {
	return retryBudget{entries: 1, services: map[string]*serviceBudget{}, pooling: true}
}

// burst is the number of earned retries that may be saved up.
func (b *retryBudget) burst() float64 {
	return math.Max(1, math.Min(maxBurst, regionBurst/float64(max(b.entries, 1))))
}

func (b *retryBudget) budgetOf(service string) *serviceBudget {
	s := b.services[service]
	if s == nil {
		s = &serviceBudget{earned: b.burst()}
		b.services[service] = s
	}
	return s
}

// recordRequest updates the budget for a first send.
func (b *retryBudget) recordRequest(service string) {
	s := b.budgetOf(service)
	s.requests++
	s.earned = math.Min(b.burst(), s.earned+earnedRatio)
}

// available reports whether a retry is left.
func (b *retryBudget) available(service string) bool {
	s := b.budgetOf(service)
	return s.earned >= 1 || s.pooled >= 1
}

// spend uses one retry if there is one: an earned one first, as earned retries are lost when
// the entry has saved up its burst.
func (b *retryBudget) spend(service string) bool {
	if !b.available(service) {
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

// update applies the reported counts of all entries. The unused budget is divided among the
// entries, so that one that meets all failures may retry more than its own part.
func (b *retryBudget) update(now time.Time, v *attach.View) {
	if v.Entries == 0 || now.Sub(b.pooledAt) < poolInterval {
		return
	}
	b.entries, b.pooledAt = v.Entries, now
	if !b.pooling {
		return
	}
	for _, c := range v.Retries {
		requests := float64(c.GetRequests())
		unused := math.Min(retryRatio*requests-float64(c.GetRepeats()), pooledRatio*requests)
		b.budgetOf(c.GetService()).pooled = poolShare * math.Max(0, unused) / float64(b.entries)
	}
}

// takeCounts returns the numbers since the last call, ordered by service, and resets them.
func (b *retryBudget) takeCounts() []*peerpb.RepeatCount {
	var counts []*peerpb.RepeatCount
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		if s := b.services[service]; s.requests > 0 || s.retries > 0 {
			counts = append(counts, &peerpb.RepeatCount{Service: service, Requests: s.requests, Repeats: s.retries})
			s.requests, s.retries = 0, 0
		}
	}
	return counts
}
