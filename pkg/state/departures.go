package state

import (
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// departureRetention is how long a departure is kept, by the leader's time: longer than
	// upstreams go on serving after it, and than directories keep their records.
	departureRetention = 5 * time.Minute
	// maxDepartures bounds the kept departures; the oldest are dropped.
	maxDepartures = 16384
)

// departures are the recent statements of upstreams that they leave, oldest first.
type departures struct {
	records []departure
	byID    map[string]*peerpb.UpstreamRecord
	// version increases with each change.
	version uint64
}

type departure struct {
	*peerpb.Departure
	version uint64
}

// apply stores a statement unless a later one of the upstream is stored. A deregistration
// is final for its incarnation.
func (d *departures) apply(nowMS int64, statement *peerpb.Departure) {
	d.prune(nowMS)
	u := statement.GetUpstream()
	if stored := d.byID[u.GetId()]; stored != nil {
		if !supersedes(u, stored) {
			return
		}
		d.records = slices.DeleteFunc(d.records, func(r departure) bool { return r.GetUpstream() == stored })
	}
	d.version++
	d.add(&peerpb.Departure{Upstream: u, AtMs: nowMS})
	d.dropOldest(max(len(d.records)-maxDepartures, 0))
}

func (d *departures) add(r *peerpb.Departure) {
	if d.byID == nil {
		d.byID = map[string]*peerpb.UpstreamRecord{}
	}
	d.records = append(d.records, departure{r, d.version})
	d.byID[r.GetUpstream().GetId()] = r.GetUpstream()
}

func (d *departures) dropOldest(count int) {
	for _, r := range d.records[:count] {
		delete(d.byID, r.GetUpstream().GetId())
	}
	d.records = d.records[count:]
}

// supersedes reports whether a statement of an upstream replaces a stored one.
func supersedes(u, stored *peerpb.UpstreamRecord) bool {
	switch {
	case u.GetBornMs() != stored.GetBornMs():
		return u.GetBornMs() > stored.GetBornMs()
	case u.GetGone() != stored.GetGone():
		return u.GetGone()
	default:
		return u.GetSequence() > stored.GetSequence()
	}
}

func (d *departures) prune(nowMS int64) {
	kept := slices.IndexFunc(d.records, func(r departure) bool { return nowMS-r.GetAtMs() < departureRetention.Milliseconds() })
	if kept < 0 {
		kept = len(d.records)
	}
	d.dropOldest(kept)
}

func (d *departures) encode() []*peerpb.Departure {
	all := make([]*peerpb.Departure, 0, len(d.records))
	for _, r := range d.records {
		all = append(all, r.Departure)
	}
	return all
}

// restore replaces the departures by those of a snapshot. All of them count as changed.
func (d *departures) restore(version uint64, records []*peerpb.Departure) {
	*d = departures{version: version + 1}
	for _, r := range records {
		d.add(r)
	}
}

// Departure returns the last committed statement of an upstream that it leaves, or nil.
func (m *Machine) Departure(id string) *peerpb.UpstreamRecord {
	return m.departures.byID[id]
}

// DeparturesSince returns the departures that were committed after a version, oldest first,
// and the version now.
func (m *Machine) DeparturesSince(version uint64) ([]*peerpb.UpstreamRecord, uint64) {
	all := m.departures.records
	first := len(all)
	for first > 0 && all[first-1].version > version {
		first--
	}
	records := make([]*peerpb.UpstreamRecord, 0, len(all)-first)
	for _, r := range all[first:] {
		records = append(records, r.GetUpstream())
	}
	return records, m.departures.version
}
