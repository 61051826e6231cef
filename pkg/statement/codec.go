package statement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Encode returns the statements that were added after a version of the table, nil if there are none, and its
// version now.
func (t *Table) Encode(now time.Time, after uint64) (*peerpb.Statements, uint64) {
	if after == t.version {
		return nil, after
	}
	encoded := &peerpb.Statements{}
	for upstream, r := range t.records {
		if r.version <= after {
			continue
		}
		encoded.Upstreams = append(encoded.Upstreams, &peerpb.UpstreamStatement{
			Upstream: upstream.Upstream, BornMs: upstream.StartTime, AgeMs: uint32(max(now.Sub(r.at), 0).Milliseconds()),
			Limited: r.Limited, Limit: r.Limit, Leaving: r.Leaving,
		})
	}
	if len(encoded.Upstreams) == 0 {
		return nil, t.version
	}
	slices.SortFunc(encoded.Upstreams, func(a, b *peerpb.UpstreamStatement) int {
		return cmp.Or(cmp.Compare(a.GetUpstream(), b.GetUpstream()), cmp.Compare(a.GetBornMs(), b.GetBornMs()))
	})
	return encoded, t.version
}

// Merge adds the statements that another node knows. It returns true if the table has changed: others are to learn
// of it, too.
func (t *Table) Merge(now time.Time, encoded *peerpb.Statements) bool {
	changed := false
	for _, e := range encoded.GetUpstreams() {
		s := Statement{Limited: e.GetLimited(), Limit: e.GetLimit(), Leaving: e.GetLeaving()}
		if !s.valid() {
			continue
		}
		changed = t.merge(now, Incarnation{e.GetUpstream(), e.GetBornMs()}, s, now.Add(-time.Duration(e.GetAgeMs())*time.Millisecond)) || changed
	}
	return changed
}

func (t *Table) merge(now time.Time, upstream Incarnation, s Statement, at time.Time) bool {
	r := t.records[upstream]
	switch {
	case now.Sub(at) >= s.validity():
		return false
	case r == nil:
		return !s.isEmpty() && t.set(now, upstream, s, at)
	case s.Leaving && !r.Leaving && !at.After(r.at):
		s.Limited, s.Limit = r.Limited, r.Limit
		return t.set(now, upstream, s, r.at)
	case !at.After(r.at):
		return false
	}
	s.Leaving = s.Leaving || r.Leaving
	switch {
	case r.Statement == s && at.Sub(r.reportedAt) < refreshInterval/2:
		r.at = at
		return false
	default:
		return t.set(now, upstream, s, at)
	}
}

// valid reports whether a statement of another node can be used.
func (s Statement) valid() bool {
	return !s.Limited || s.Limit >= 0 && s.Limit <= MaxLimit && !math.IsNaN(s.Limit)
}
