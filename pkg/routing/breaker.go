package routing

import "time"

const (
	// breakerThreshold is the number of consecutive failures that opens a circuit.
	breakerThreshold = 3
	// breakerMinBackoff is the initial time that a circuit stays open.
	breakerMinBackoff = time.Second
	// breakerMaxBackoff bounds the exponential backoff.
	breakerMaxBackoff = 30 * time.Second
)

// Breaker is the circuit breaker of one group. It opens after breakerThreshold
// consecutive failures and admits one probe after its backoff: a success closes
// it, a failure doubles the backoff.
type Breaker struct {
	failures int
	backoff  time.Duration
	// probeAt is when an open circuit admits a probe; zero while closed.
	probeAt time.Time
	probing bool
}

// Allows reports whether a request may go to the group.
func (b *Breaker) Allows(now time.Time) bool {
	if b.probeAt.IsZero() {
		return true
	}
	return !b.probing && !now.Before(b.probeAt)
}

// Open reports whether the circuit is open or half-open.
func (b *Breaker) Open() bool { return !b.probeAt.IsZero() }

// Started records a request sent to the group; it is the probe if the circuit is
// open.
func (b *Breaker) Started() { b.probing = !b.probeAt.IsZero() }

// Finished records the result of a request.
func (b *Breaker) Finished(now time.Time, failed bool) {
	if !failed {
		*b = Breaker{}
		return
	}
	b.probing = false
	b.failures++
	if b.failures < breakerThreshold {
		return
	}
	b.backoff = min(max(2*b.backoff, breakerMinBackoff), breakerMaxBackoff)
	b.probeAt = now.Add(b.backoff)
}

// Abandoned records a request that ended without a result for the group, such as
// one whose client disconnected.
func (b *Breaker) Abandoned() { b.probing = false }
