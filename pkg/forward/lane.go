package forward

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// holdMemory is the weight of the newest request in the mean time that a request
	// holds its slot.
	holdMemory = 0.05
	// minRetryAfter and retryAfterSpread bound when refused callers come back: spread,
	// so that they do not come together, and early, as they wait at most a third of
	// their time.
	minRetryAfter    = 400 * time.Millisecond
	retryAfterSpread = 1200 * time.Millisecond
)

// laneKey names the requests that compete for the same targets.
type laneKey struct{ service, model string }

// lane holds the requests that wait for one kind of target.
type lane struct {
	// waiting is ordered by rank, then by arrival.
	waiting []Work
	// hold is the mean time that a request holds its slot.
	hold time.Duration
}

func (p *Placer) lane(w Work) *lane {
	key := laneKey{w.Service, w.Model}
	l := p.lanes[key]
	if l == nil {
		l = &lane{hold: w.Hold}
		p.lanes[key] = l
	}
	return l
}

func (l *lane) insert(w Work) {
	at, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b Work) int {
		if a.Rank <= b.Rank {
			return -1
		}
		return 1
	})
	l.waiting = slices.Insert(l.waiting, at, w)
}

func (l *lane) remove(id uint64) bool {
	i := slices.IndexFunc(l.waiting, func(w Work) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// served notes how long a request is expected to hold its slot.
func (l *lane) served(hold time.Duration) {
	l.hold += time.Duration(holdMemory * float64(hold-l.hold))
}

// expectedWait is the time until the requests before one have got their places, at
// the rate at which the capacity becomes free. Other entries take a part of it, so
// it is at least that long.
func (l *lane) expectedWait(w *Work, capacity int) time.Duration {
	ahead := 1
	for _, other := range l.waiting {
		if other.Rank <= w.Rank {
			ahead++
		}
	}
	perPlace := float64(l.hold) / float64(capacity)
	return time.Duration(float64(ahead) * perPlace)
}

// retryAfter spreads the return of refused callers.
func retryAfter(random *rand.Rand) time.Duration {
	return minRetryAfter + time.Duration(random.Float64()*float64(retryAfterSpread))
}
