package grouping

import "time"

const (
	// loadRateShare is the part of the weight store's rate that is used: a steward
	// before this one may have used the rest of the window.
	loadRateShare = 0.9
	// loadBurst is the number of loads that may begin at once.
	loadBurst = 4
)

// loadBudget bounds how many loads from the weight store begin. A new steward
// starts with none left, as it does not know what the one before it used.
type loadBudget struct {
	at   time.Time
	left float64
}

// take uses one load if there is one left.
func (b *loadBudget) take(now time.Time, perSecond float64) bool {
	b.left = min(loadBurst, b.left+now.Sub(b.at).Seconds()*perSecond*loadRateShare)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
