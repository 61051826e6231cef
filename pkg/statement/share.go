package statement

import (
	"math"
	"time"
)

const (
	// evenShare is the part of a limit that is divided by the number of entries, so that a keeper whose entries have
	// just begun to get requests has some of it; the rest goes by requests.
	evenShare = 0.2
	// shareGrowth is the time constant with which a share rises: nodes that were partitioned from the others keep
	// theirs for a time.
	shareGrowth = 15 * time.Second
	// detachedShare is the part of an even share that an entry uses by itself while it is attached to no keeper. It
	// comes on top of what the keepers grant.
	detachedShare = 0.3
)

// DetachedShare is the share of an entry that no keeper grants anything; entries is the last known number of entries.
func DetachedShare(entries int) float64 { return detachedShare / float64(max(entries, 1)) }

// Share is a keeper's share of the requests for one service, and so of the limits of its upstreams.
type Share struct {
	value float64
	at    time.Time
}

// Update moves the share towards the keeper's part of the requests, own of all. even is its part of the entries. The
// share falls at once and rises slowly.
func (s *Share) Update(now time.Time, own, all, even float64) {
	target := even
	if all > 0 {
		target = evenShare*even + (1-evenShare)*math.Min(own/all, 1)
	}
	if s.at.IsZero() || target < s.value {
		s.value, s.at = target, now
		return
	}
	s.value += (target - s.value) * (1 - math.Exp(-math.Max(now.Sub(s.at).Seconds(), 0)/shareGrowth.Seconds()))
	s.at = now
}
