// Package limits enforces the rate and concurrency limits of client accounts. Each
// node enforces its shares of them, which package share assigns so that the sum
// over all nodes stays within the limit.
package limits

import (
	"math"
	"sync"
	"time"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/limits/share"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// newLimitGrace bounds the time for which a limit that is new to a running node
	// is not enforced there while the node waits for its first share.
	newLimitGrace = 2 * time.Second
	// serviceTimeSmoothing is the weight of the latest request in the smoothed service
	// time.
	serviceTimeSmoothing = 0.1
	// milli is the number of rate units in one request per second.
	milli = 1000
)

// Limiter enforces this node's shares of the limits.
type Limiter struct {
	// shared is false for a limiter that enforces the full limits by itself.
	shared bool
	mu     sync.Mutex
	// accounts holds the limited client accounts, and those with requests in flight
	// that started under a limit.
	accounts map[string]*account
	lease    lease
	// resync is true if the stored shares differ from those granted.
	resync bool
	// limitsChanged is true if a limit changed since the last report.
	limitsChanged bool
	// hasConfig is true once a configuration has been applied.
	hasConfig bool
	// wake asks the renewer for an early report.
	wake chan struct{}
}

// account is the state of one client account.
type account struct {
	spec     api.LimitSpec
	share    shares
	bucket   bucket
	inFlight int
	// meanServiceTime is the smoothed service time.
	meanServiceTime time.Duration
	demand          demand
	// exemptUntil is when a limit that is new to this node is enforced at the latest.
	exemptUntil time.Time
}

// shares is the node's part of one client account's limits.
type shares struct {
	rateMilli, concurrency         int64
	baseRateMilli, baseConcurrency int64
}

// New returns a limiter that enforces the full limits, for a single process.
func New() *Limiter { return &Limiter{accounts: map[string]*account{}, wake: make(chan struct{}, 1)} }

// NewShared returns a limiter that enforces leased shares. Before its first grant it
// admits no request of a client account whose limit was configured at the start.
func NewShared() *Limiter {
	l := New()
	l.shared = true
	return l
}

// Configure applies the limits of a configuration.
func (l *Limiter) Configure(config *state.Config) { l.configureAt(time.Now(), config) }

func (l *Limiter) configureAt(now time.Time, config *state.Config) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLeaseExpiry(now)
	for name, spec := range config.Limits {
		a := l.accounts[name]
		if a == nil {
			a = &account{}
			l.accounts[name] = a
		}
		if a.spec == spec {
			continue
		}
		if l.hasConfig && a.spec == (api.LimitSpec{}) && a.share == (shares{}) {
			a.exemptUntil = now.Add(newLimitGrace)
		}
		a.spec = spec
		if !l.shared {
			a.setFullLimits(now)
			continue
		}
		a.setBucketRate(now, a.currentRate(l.lease.partAt(now)))
		l.limitsChanged = true
		l.wakeRenewer()
	}
	for name, a := range l.accounts {
		if _, limited := config.Limits[name]; !limited {
			l.removeLimits(name, a)
		}
	}
	l.hasConfig = true
}

// removeLimits removes the limits of a client account. If they are set again its old
// share is no longer valid, so the next report requests all shares anew.
func (l *Limiter) removeLimits(name string, a *account) {
	if a.spec == (api.LimitSpec{}) {
		return
	}
	a.spec, a.share = api.LimitSpec{}, shares{}
	l.resync = true
	if a.inFlight == 0 {
		delete(l.accounts, name)
	}
}

// setFullLimits gives the account its full limits and a full bucket.
func (a *account) setFullLimits(now time.Time) {
	a.share = shares{rateMilli: share.RateMilli(a.spec), concurrency: int64(a.spec.Concurrency)}
	a.setBucketRate(now, a.share.rateMilli)
	a.bucket.tokens = a.bucket.capacity
}

// setBucketRate sets the bucket's rate and a burst in proportion to it. The
// capacity is at least one token, since otherwise a small share would never admit
// a request.
func (a *account) setBucketRate(now time.Time, rateMilli int64) {
	limitRate := share.RateMilli(a.spec)
	if limitRate == 0 || rateMilli == 0 {
		a.bucket.set(now, 0, 0)
		return
	}
	burst := float64(a.spec.Burst)
	if burst == 0 {
		burst = math.Ceil(a.spec.RequestsPerSecond)
	}
	fraction := math.Min(float64(rateMilli)/float64(limitRate), 1)
	a.bucket.set(now, float64(rateMilli)/milli, math.Max(burst*fraction, 1))
}

// Acquire admits one request of a client account or returns a fault.LimitReached
// error. The caller must call release when the request has ended.
func (l *Limiter) Acquire(name string, now time.Time) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	if a == nil {
		return func() {}, nil
	}
	l.applyLeaseExpiry(now)
	a.demand.countArrival()
	if now.Before(a.exemptUntil) && l.shared {
		return l.admit(a, now), nil
	}
	if concurrency := a.currentConcurrency(l.lease.partAt(now), l.shared); a.spec.Concurrency > 0 && int64(a.inFlight) >= concurrency {
		a.demand.countRefusal()
		l.wakeRenewer()
		return nil, limitReached(name, "concurrency", a.concurrencyWait())
	}
	if a.spec.RequestsPerSecond > 0 {
		if wait, ok := a.bucket.take(now); !ok {
			l.wakeRenewer()
			return nil, limitReached(name, "request rate", a.rateWait(wait))
		}
	}
	return l.admit(a, now), nil
}

// admit counts a request as in flight and returns its release function.
func (l *Limiter) admit(a *account, now time.Time) (release func()) {
	a.inFlight++
	a.demand.observeInFlight(a.inFlight)
	return l.releaseOnce(a, now)
}

func (l *Limiter) releaseOnce(a *account, startedAt time.Time) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			a.inFlight--
			serviceTime := time.Since(startedAt)
			a.meanServiceTime += time.Duration(serviceTimeSmoothing * float64(serviceTime-a.meanServiceTime))
		})
	}
}

// concurrencyWait estimates the time until the next request ends.
func (a *account) concurrencyWait() time.Duration {
	if a.inFlight == 0 {
		return urgentInterval
	}
	return a.meanServiceTime / time.Duration(a.inFlight)
}

// rateWait returns the time until the next token or, without a rate, until the next
// share may arrive.
func (a *account) rateWait(wait time.Duration) time.Duration {
	if a.bucket.perSecond == 0 {
		return urgentInterval
	}
	return wait
}

func limitReached(name, limitKind string, retryAfter time.Duration) error {
	return fault.New(fault.LimitReached, "slow down, or ask an operator to raise the limit",
		"client account %q reached its limit of %s", name, limitKind).WithRetryAfter(max(retryAfter, fault.MinRetryAfter))
}
