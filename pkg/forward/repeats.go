package forward

import "math"

const (
	// repeatRatio is the part of an entry's requests that it may send once more. The
	// users' bound is 0.2 over all entries; callers' bursts shift between entries.
	repeatRatio = 0.15
	// repeatBurst is the number of repeats that an entry may save up.
	repeatBurst = 8
)

// repeats is this entry's share of the budget for sending requests once more.
type repeats struct{ left float64 }

func newRepeats() repeats { return repeats{left: repeatBurst} }

// request notes a request that was sent for the first time.
func (r *repeats) request() { r.left = math.Min(repeatBurst, r.left+repeatRatio) }

// take uses one repeat if there is one.
func (r *repeats) take() bool {
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}
