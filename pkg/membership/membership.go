// Package membership tracks the leases of the upstreams of a failure domain and
// determines which groups are whole. It performs no I/O: callers pass in
// announcements, evidence and the current time, and read records and groups.
//
// The evidence distinguishes these failures:
//
//	dead    the lease ended and a connection to the upstream was refused
//	silent  the lease ended and no connection was refused: paused or partitioned
//	suspect a dispatch failed while the lease is current
//	slow    dispatches succeed, but take at least SlowRatio times as long as usual
//
// The first announcement after a lapsed lease shows why the upstream was silent: a
// higher incarnation means that it was restarted, a sequence number that advanced by
// at most pausedSequenceGap that it was paused, and any other that it was partitioned.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/internal/faultinject"
	"github.com/masticmount/masticmount/pkg/api"
)

const (
	// LeaseDuration is how long an announcement keeps its upstream current. It
	// covers three announcements and their relay, and detects a failure within 2 s.
	LeaseDuration = 1800 * time.Millisecond
	// SilentGrace is how long a silent upstream keeps its place in a group after its
	// lease ended, so that a short pause does not trigger a repair.
	SilentGrace = time.Second
	// SuspectBackoff is the initial backoff of an upstream after a refused connection.
	SuspectBackoff = 2 * time.Second
	// BrokenConnectionBackoff is the backoff after a broken connection. It lasts
	// until the next announcement.
	BrokenConnectionBackoff = api.AnnounceInterval + 100*time.Millisecond
	// maxSuspectBackoff is the longest backoff of an upstream that fails repeatedly.
	maxSuspectBackoff = 16 * time.Second
	// SlowRatio is the ratio of an upstream's latency to the usual latency from which
	// the upstream counts as slow.
	SlowRatio = 3.0
	// slowEvidenceTTL is how long latency evidence marks an upstream as slow.
	slowEvidenceTTL = 5 * time.Second
	// recordRetention is how long a record is kept after the last announcement.
	recordRetention = 10 * time.Minute
	// pausedSequenceGap is the largest gap in sequence numbers with which a returning
	// upstream counts as paused rather than cut off.
	pausedSequenceGap = 2
)

// Condition is the state of an upstream as derived from its lease and the evidence.
type Condition string

// The conditions of an upstream.
const (
	Current Condition = "current"
	// Returning means that the lease is current again, but that the latest
	// announcement may have been made before the pause. The next one is fresh.
	Returning Condition = "returning"
	// Suspect means that a dispatch failed. The upstream gets no work, but keeps its
	// place in its group.
	Suspect Condition = "suspect"
	Silent  Condition = "silent"
	Dead    Condition = "dead"
)

// ReturnReason classifies why an upstream was silent before it returned.
type ReturnReason string

// The reasons for which a returned upstream was silent.
const (
	Restarted   ReturnReason = "restarted"
	Paused      ReturnReason = "paused"
	Partitioned ReturnReason = "cut-off"
)

// EvidenceKind is the kind of observation that a dispatch made.
type EvidenceKind string

// The kinds of evidence.
const (
	// Refused means that the connection was refused or reset: no process listens.
	Refused EvidenceKind = "refused"
	// ConnectionBroken means that an open connection broke before the response was
	// complete. The request itself may have caused it, so the backoff is only
	// BrokenConnectionBackoff.
	ConnectionBroken EvidenceKind = "broken"
	// Latency reports the ratio of the upstream's latency to the usual latency.
	Latency EvidenceKind = "latency"
)

// Evidence is an observation of an upstream made by a dispatch.
type Evidence struct {
	Upstream string
	Kind     EvidenceKind
	// Ratio is set for Latency.
	Ratio float64
}

// Record is the state kept for one upstream.
type Record struct {
	Announcement api.Announcement
	// SeenAt is when an entry received the latest announcement, by this node's clock.
	SeenAt time.Time
	// UngroupedSince is the time since which the upstream has echoed no group; zero
	// while it echoes one.
	UngroupedSince time.Time
	// LastReturnReason classifies the last return; empty if there was none.
	LastReturnReason ReturnReason

	// freshSequence is the lowest sequence number of an announcement that was
	// certainly made after the last return.
	freshSequence  uint64
	suspectUntil   time.Time
	suspectBackoff time.Duration
	refusedAt      time.Time
	slowUntil      time.Time
}

// Table holds the records of the upstreams of a failure domain.
type Table struct {
	records map[string]*Record
	// sorted caches the records ordered by upstream; nil if it must be rebuilt.
	sorted []*Record
	// InjectedFaults enables injected faults in tests.
	InjectedFaults faultinject.Faults
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: map[string]*Record{}} }

// Observe records an announcement that an entry received age ago. It reports
// whether the announcement is newer than the recorded one.
func (t *Table) Observe(now time.Time, a api.Announcement, age time.Duration) bool {
	r := t.records[a.ID]
	seenAt := now.Add(-age)
	if r == nil {
		r = &Record{Announcement: a, SeenAt: seenAt}
		r.updateUngroupedSince(seenAt)
		t.records[a.ID] = r
		t.sorted = nil
		return true
	}
	if !Newer(a, r.Announcement) {
		return false
	}
	if a.Incarnation != r.Announcement.Incarnation {
		r.freshSequence, r.suspectUntil = 0, time.Time{}
	}
	if seenAt.Sub(r.SeenAt) >= LeaseDuration {
		r.recordReturn(a)
	}
	r.Announcement = a
	r.updateUngroupedSince(seenAt)
	if seenAt.After(r.SeenAt) {
		r.SeenAt = seenAt
	}
	return true
}

func (r *Record) updateUngroupedSince(seenAt time.Time) {
	switch {
	case r.Announcement.Group != "":
		r.UngroupedSince = time.Time{}
	case r.UngroupedSince.IsZero():
		r.UngroupedSince = seenAt
	}
}

// Newer reports whether a was made after b by the same upstream.
func Newer(a, b api.Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// recordReturn classifies the return of an upstream and sets the first sequence
// number that counts as fresh. A restarted process made all its announcements
// after its start; a paused one may have made the first before the pause.
func (r *Record) recordReturn(a api.Announcement) {
	previous := r.Announcement
	switch {
	case a.Incarnation != previous.Incarnation:
		r.LastReturnReason = Restarted
	case a.Sequence-previous.Sequence <= pausedSequenceGap:
		r.LastReturnReason = Paused
		r.freshSequence = a.Sequence + 1
	default:
		r.LastReturnReason = Partitioned
		r.freshSequence = a.Sequence + 1
	}
}

// Report records evidence from a dispatch. It reports whether the evidence is new
// and must be sent to the other entries.
func (t *Table) Report(now time.Time, e Evidence) bool {
	r := t.records[e.Upstream]
	if r == nil || t.InjectedFaults.Has(faultinject.IgnoreEvidence) {
		return false
	}
	if e.Kind == Latency {
		if e.Ratio >= SlowRatio {
			r.slowUntil = now.Add(slowEvidenceTTL)
		}
		return false
	}
	firstRefusal := e.Kind == Refused && r.refusedAt.Before(r.SeenAt)
	if e.Kind == Refused {
		r.refusedAt = now
	}
	if now.Before(r.suspectUntil) {
		return firstRefusal
	}
	r.suspectUntil = now.Add(r.nextBackoff(now, e.Kind))
	return true
}

// nextBackoff returns the backoff for evidence of the given kind. Refusals in close
// succession double it.
func (r *Record) nextBackoff(now time.Time, kind EvidenceKind) time.Duration {
	if kind == ConnectionBroken {
		return BrokenConnectionBackoff
	}
	repeated := now.Sub(r.suspectUntil) < maxSuspectBackoff && r.suspectBackoff > 0
	r.suspectBackoff = lo.Ternary(repeated, min(2*r.suspectBackoff, maxSuspectBackoff), SuspectBackoff)
	return r.suspectBackoff
}

// Condition returns the condition of an upstream at the given time.
func (t *Table) Condition(now time.Time, r *Record) Condition {
	lapsed := now.Sub(r.SeenAt) >= LeaseDuration
	switch {
	case lapsed && !r.refusedAt.Before(r.SeenAt):
		return Dead
	case lapsed:
		return Silent
	case now.Before(r.suspectUntil):
		return Suspect
	case r.Announcement.Sequence < r.freshSequence && !t.InjectedFaults.Has(faultinject.AcceptStaleEcho):
		return Returning
	default:
		return Current
	}
}

// Lapsed reports whether the lease of an upstream has ended.
func (t *Table) Lapsed(now time.Time, r *Record) bool { return now.Sub(r.SeenAt) >= LeaseDuration }

// Lost reports whether an upstream's place in its group may be given to another
// one: it is dead, or it has been silent for at least SilentGrace.
func (t *Table) Lost(now time.Time, r *Record) bool {
	switch t.Condition(now, r) {
	case Dead:
		return true
	case Silent:
		return now.Sub(r.SeenAt) >= LeaseDuration+SilentGrace
	default:
		return false
	}
}

// Slow reports whether recent latency evidence marks the upstream as slow.
func (r *Record) Slow(now time.Time) bool { return now.Before(r.slowUntil) }

// Get returns the record of an upstream, or nil.
func (t *Table) Get(id string) *Record { return t.records[id] }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Records returns all records ordered by upstream. The caller must not modify the
// slice.
func (t *Table) Records() []*Record {
	if t.sorted == nil {
		t.sorted = lo.Values(t.records)
		slices.SortFunc(t.sorted, func(a, b *Record) int { return cmp.Compare(a.Announcement.ID, b.Announcement.ID) })
	}
	return t.sorted
}

// RemoveExpired removes the records of upstreams that have not announced for
// recordRetention.
func (t *Table) RemoveExpired(now time.Time) {
	for id, r := range t.records {
		if now.Sub(r.SeenAt) >= recordRetention {
			delete(t.records, id)
			t.sorted = nil
		}
	}
}
