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
func (l *loadLimiter) take(now time.Time, perSecond float64) bool {
	l.tokens = min(loadBurst, l.tokens+now.Sub(l.refilledAt).Seconds()*perSecond*loadRateShare)
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
