package statement

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// usableShare is the part of a stated limit that nodes use: their shares of it are known with a delay.
	usableShare = 0.9
	// useTime is how long a right is kept. One that is not used by then lapses: rights that all nodes saved up
	// would be used in one moment.
	useTime = time.Second
)

// Allotments are a node's rights to have requests sent to limited upstreams. They accrue by the node's share of the
// limit. They are not safe for concurrent use.
type Allotments struct {
	random     *rand.Rand
	byUpstream map[Incarnation]*allotment
}

// allotment is the right to send to one upstream.
type allotment struct {
	// credit is the number of requests that may be sent at the time at, with a fraction.
	credit float64
	at     time.Time
}

// NewAllotments returns allotments without rights. The random source spreads the times at which nodes with equal
// shares get their first ones.
func NewAllotments(random *rand.Rand) *Allotments {
	return &Allotments{random: random, byUpstream: map[Incarnation]*allotment{}}
}

// Rate returns the requests a second that a node with a share of the requests may send to an upstream with a limit.
func Rate(limit, share float64) float64 { return usableShare * limit * share }

// Allows reports whether a request may be sent to an upstream now, at a node that may send rate requests a second
// to it.
func (a *Allotments) Allows(now time.Time, upstream Incarnation, rate float64) bool {
	return a.accrue(now, upstream, rate).credit >= 1
}

// Wait is the time until Allows is true; 0 where that is not known, as nothing may be sent.
func (a *Allotments) Wait(now time.Time, upstream Incarnation, rate float64) time.Duration {
	missing := 1 - a.accrue(now, upstream, rate).credit
	if missing <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// Use records that a request is sent to an upstream.
func (a *Allotments) Use(now time.Time, upstream Incarnation, rate float64) {
	a.accrue(now, upstream, rate).credit--
}

// Retain forgets the allotments of all upstreams but those that are kept.
func (a *Allotments) Retain(kept func(Incarnation) bool) {
	for upstream := range a.byUpstream {
		if !kept(upstream) {
			delete(a.byUpstream, upstream)
		}
	}
}

func (a *Allotments) accrue(now time.Time, upstream Incarnation, rate float64) *allotment {
	s := a.byUpstream[upstream]
	if s == nil {
		s = &allotment{credit: a.random.Float64(), at: now}
		a.byUpstream[upstream] = s
		return s
	}
	elapsed := now.Sub(s.at).Seconds()
	if elapsed <= 0 {
		return s
	}
	s.at = now
	s.credit += rate * elapsed
	// A whole right lapses useTime after it accrued; the credit since then remains.
	if kept := rate * useTime.Seconds(); s.credit >= 1+kept {
		_, fraction := math.Modf(s.credit - kept)
		s.credit = kept + fraction
	}
	return s
}
