package grouping

import "time"

const (
	// loadRateShare is the part of the weight store's rate that is used: an earlier
	// coordinator may have used the rest within the same window.
	loadRateShare = 0.9
	// loadBurst is the maximum number of loads that may start simultaneously.
	loadBurst = 4
)

// loadLimiter is a token bucket for loads from the weight store. A new coordinator starts
// with an empty bucket, as it does not know what the previous one used.
type loadLimiter struct {
	refilledAt time.Time
	tokens     float64
}

// take takes a token if one is available.
func (b *loadLimiter) take(now time.Time, perSecond float64) bool {
	b.tokens = min(loadBurst, b.tokens+now.Sub(b.refilledAt).Seconds()*perSecond*loadRateShare)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
