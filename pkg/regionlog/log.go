package regionlog

import (
	"fmt"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Base is the position of the last compacted entry. The log starts after it.
type Base struct {
	Index        uint64
	Term         uint64
	LeaderTimeMs int64
	// Membership in effect at Index.
	Membership *peerpb.Membership
}

// membershipAt is a membership and the index of the entry that set it.
type membershipAt struct {
	index      uint64
	membership *peerpb.Membership
}

// entryLog holds the entries after a base. Invariants:
// base <= delivered <= commit <= last, and stable <= last.
type entryLog struct {
	base    Base
	entries []*peerpb.LogEntry
	// stable is the last index that is synced.
	stable uint64
	commit uint64
	// delivered is the last index returned to the owner as committed.
	delivered uint64
	// memberships are sorted by index. The first is that of the base. The last is
	// in effect even while its entry is uncommitted.
	memberships []membershipAt
	// uncommittedBytes is the size of the entries after commit.
	uncommittedBytes int
}

func newEntryLog(base Base, entries []*peerpb.LogEntry) (*entryLog, error) {
	if base.Membership == nil {
		base.Membership = &peerpb.Membership{}
	}
	l := &entryLog{base: base, stable: base.Index, commit: base.Index, delivered: base.Index}
	l.memberships = []membershipAt{{base.Index, base.Membership}}
	for _, e := range entries {
		if e.GetIndex() != l.last()+1 {
			return nil, &DamagedLogError{fmt.Sprintf("entry %d follows entry %d", e.GetIndex(), l.last())}
		}
		if err := l.push(e); err != nil {
			return nil, err
		}
	}
	l.stable = l.last()
	return l, nil
}

func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; ok is false if the log does not
// hold that entry.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.last():
		return 0, false
	default:
		return l.at(index).GetTerm(), true
	}
}

// at returns the entry at index, which the log must hold.
func (l *entryLog) at(index uint64) *peerpb.LogEntry { return l.entries[index-l.base.Index-1] }

func (l *entryLog) matches(index, term uint64) bool {
	held, ok := l.term(index)
	return ok && held == term
}

// coveredBy reports whether a log whose last entry has the given index and term
// is at least as up to date as this one.
func (l *entryLog) coveredBy(index, term uint64) bool {
	return term > l.lastTerm() || (term == l.lastTerm() && index >= l.last())
}

// slice returns the entries in [from, to] up to maxBytes, but at least one.
func (l *entryLog) slice(from, to uint64, maxBytes int) []*peerpb.LogEntry {
	if from > to {
		return nil
	}
	end, size := from, 0
	for ; end <= to; end++ {
		size += entrySize(l.at(end))
		if size > maxBytes && end > from {
			break
		}
	}
	return l.entries[from-l.base.Index-1 : end-l.base.Index-1 : end-l.base.Index-1]
}

// push appends one entry. A membership takes effect immediately.
func (l *entryLog) push(e *peerpb.LogEntry) error {
	if e.GetKind() == peerpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
		membership, err := decodeMembership(e)
		if err != nil {
			return err
		}
		l.memberships = append(l.memberships, membershipAt{e.GetIndex(), membership})
	}
	l.entries = append(l.entries, e)
	l.uncommittedBytes += entrySize(e)
	return nil
}

// truncate removes the entries after index, which must not be committed.
func (l *entryLog) truncate(index uint64) {
	if index < l.commit {
		panic(fmt.Sprintf("regionlog: truncation to %d would drop committed entry %d", index, l.commit))
	}
	kept := l.entries[:index-l.base.Index]
	l.uncommittedBytes -= lo.SumBy(l.entries[len(kept):], entrySize)
	l.entries = append(make([]*peerpb.LogEntry, 0, len(kept)), kept...)
	l.stable = min(l.stable, index)
	for l.memberships[len(l.memberships)-1].index > index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge appends the leader's entries and replaces a conflicting suffix.
func (l *entryLog) merge(entries []*peerpb.LogEntry) error {
	for _, e := range entries {
		if l.matches(e.GetIndex(), e.GetTerm()) {
			continue
		}
		if e.GetIndex() <= l.last() {
			l.truncate(e.GetIndex() - 1)
		}
		if err := l.push(e); err != nil {
			return err
		}
	}
	return nil
}

// commitTo raises the commit index, at most to the end of the log.
func (l *entryLog) commitTo(index uint64) {
	index = min(index, l.last())
	for ; l.commit < index; l.commit++ {
		l.uncommittedBytes -= entrySize(l.at(l.commit + 1))
	}
}

// compact removes the entries up to index, which must have been delivered.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.Index || index > l.delivered {
		return
	}
	kept := l.entries[index-l.base.Index:]
	l.base = l.baseAt(index)
	l.entries = append(make([]*peerpb.LogEntry, 0, len(kept)), kept...)
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// baseAt returns the base of a log that starts after index.
func (l *entryLog) baseAt(index uint64) Base {
	if index == l.base.Index {
		return l.base
	}
	e := l.at(index)
	return Base{Index: index, Term: e.GetTerm(), LeaderTimeMs: e.GetLeaderTimeMs(), Membership: l.membershipAt(index)}
}

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) *peerpb.Membership {
	membership := l.memberships[0].membership
	for _, m := range l.memberships {
		if m.index <= index {
			membership = m.membership
		}
	}
	return membership
}

// membership returns the membership in effect.
func (l *entryLog) membership() *peerpb.Membership {
	return l.memberships[len(l.memberships)-1].membership
}

// changePending reports whether a membership entry is uncommitted.
func (l *entryLog) changePending() bool {
	return l.memberships[len(l.memberships)-1].index > l.commit
}

// lastTimeMs returns the time of the last entry, the minimum for the next one.
func (l *entryLog) lastTimeMs() int64 {
	if len(l.entries) == 0 {
		return l.base.LeaderTimeMs
	}
	return l.entries[len(l.entries)-1].GetLeaderTimeMs()
}

// entrySize approximates the encoded size of an entry.
func entrySize(e *peerpb.LogEntry) int {
	const overhead = 32
	return len(e.GetData()) + overhead
}
