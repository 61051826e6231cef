package limits

import (
	"math"
	"time"
)

// maxWait bounds the wait reported by a bucket without a rate.
const maxWait = time.Hour

// bucket is a token bucket. It reads no clock: callers pass the time.
type bucket struct {
	// perSecond is the refill rate.
	perSecond float64
	capacity  float64
	tokens    float64
	// refilledAt is when tokens was last computed.
	refilledAt time.Time
}

// refill adds the tokens for the time since the last call.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = math.Min(b.capacity, b.tokens+b.perSecond*elapsed.Seconds())
		b.refilledAt = now
	}
}

// set changes the rate and the capacity. Tokens above the new capacity are dropped;
// none are added, since another node may have spent them.
func (b *bucket) set(now time.Time, perSecond, capacity float64) {
	b.refill(now)
	b.perSecond, b.capacity = perSecond, capacity
	b.tokens = math.Min(b.tokens, capacity)
}

// take takes one token, or returns the time until one is available.
func (b *bucket) take(now time.Time) (wait time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.perSecond <= 0 {
		return maxWait, false
	}
	seconds := (1 - b.tokens) / b.perSecond
	return min(time.Duration(seconds*float64(time.Second)), maxWait), false
}
