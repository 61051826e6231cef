// Package statement holds what upstreams state of themselves in their answers, and divides what they take among
// the nodes that send to them. It does no I/O and reads no clock.
package statement

import (
	"math"
	"time"
)

const (
	// maxAge is how long a statement holds after the last answer that carried it. Entries with requests ask the
	// upstream long before, so it only matters without traffic.
	maxAge = 15 * time.Second
	// rampTime is the time after maxAge in which an old limit rises before it ends: all nodes would send to the
	// upstream at once.
	rampTime = 15 * time.Second
	// rampDoubling is the time in which the limit doubles meanwhile, from rampFloor requests a second at least.
	rampDoubling = 3 * time.Second
	rampFloor    = 0.5
	// refreshInterval is the time between two reports of a statement that has not changed.
	refreshInterval = time.Second
	// MaxLimit bounds a stated limit, in requests a second: no upstream takes as many.
	MaxLimit = 1e6
	// leavingTime is how long a node knows that an incarnation leaves: longer than one serves that does.
	leavingTime = time.Hour
	// maxRecords bounds the table: three times the upstreams of the largest region, as incarnations follow
	// each other.
	maxRecords = 4096
)

// Statement is what one answer states of its upstream. An answer without a statement withdraws an earlier one.
type Statement struct {
	// Limited is true where the upstream states a limit: Limit is the number of requests a second that it takes
	// from all nodes together.
	Limited bool
	Limit   float64
	// Leaving is true where the upstream states that it leaves. It is never withdrawn.
	Leaving bool
}

// isEmpty reports whether a statement says nothing.
func (s Statement) isEmpty() bool { return !s.Limited && !s.Leaving }

// validity is how long a node keeps a statement after the last answer that carried it.
func (s Statement) validity() time.Duration {
	if s.Leaving {
		return leavingTime
	}
	return maxAge + rampTime
}

// Incarnation identifies one start of an upstream; a statement holds for one.
type Incarnation struct {
	Upstream  string
	StartTime uint64
}

// Table is what a node knows of the statements of upstreams, from answers that it got and from other nodes. The
// latest answer counts, whichever node got it. It is not safe for concurrent use.
type Table struct {
	records map[Incarnation]*record
	version uint64
}

// record is the latest statement of an incarnation.
type record struct {
	Statement
	// at is when the answer came.
	at time.Time
	// reportedAt is the time of the answer that was last given out to other nodes.
	reportedAt time.Time
	// version is that of the table in which the record was last given out.
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[Incarnation]*record{}} }

// Observe records what an answer stated. It returns true when other nodes are to learn of it: the statement has
// changed, or they would soon take it for an old one.
func (t *Table) Observe(now time.Time, upstream Incarnation, s Statement) bool {
	r := t.records[upstream]
	if r == nil && s.isEmpty() {
		return false
	}
	s.Leaving = s.Leaving || r != nil && r.Leaving
	if r != nil && r.Statement == s {
		r.at = now
		if now.Sub(r.reportedAt) < refreshInterval || !s.Limited {
			return false
		}
	}
	return t.set(now, upstream, s, now)
}

// set stores a statement of an answer that came at a given time. It returns false if the table is full.
func (t *Table) set(now time.Time, upstream Incarnation, s Statement, at time.Time) bool {
	if t.records[upstream] == nil {
		if len(t.records) >= maxRecords {
			t.Expire(now)
		}
		if len(t.records) >= maxRecords {
			return false
		}
	}
	t.version++
	t.records[upstream] = &record{Statement: s, at: at, reportedAt: at, version: t.version}
	return true
}

// Expire deletes the records that no longer have an effect. A withdrawn statement is kept as long as a stated one,
// so that the report of an earlier answer does not bring it back.
func (t *Table) Expire(now time.Time) {
	for upstream, r := range t.records {
		if now.Sub(r.at) >= r.validity() {
			delete(t.records, upstream)
		}
	}
}

// Leaving reports whether an upstream has stated that it leaves.
func (t *Table) Leaving(upstream Incarnation) bool {
	r := t.records[upstream]
	return r != nil && r.Leaving
}

// CountLeaving is the number of known incarnations that have stated that they leave.
func (t *Table) CountLeaving() (n int) {
	for _, r := range t.records {
		if r.Leaving {
			n++
		}
	}
	return n
}

// Limit returns the number of requests a second that an upstream takes from all nodes together, and the time since
// an answer last stated its limit; limited is false where there is no limit.
func (t *Table) Limit(now time.Time, upstream Incarnation) (limit float64, age time.Duration, limited bool) {
	r := t.records[upstream]
	if r == nil || !r.Limited {
		return 0, 0, false
	}
	age = now.Sub(r.at)
	return rampedLimit(r.Limit, age), age, age < maxAge+rampTime
}

// rampedLimit returns a limit that was last stated some time ago.
func rampedLimit(limit float64, age time.Duration) float64 {
	if age <= maxAge {
		return limit
	}
	return math.Min(MaxLimit, math.Max(limit, rampFloor)*math.Exp2((age-maxAge).Seconds()/rampDoubling.Seconds()))
}
