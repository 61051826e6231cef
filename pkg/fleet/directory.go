// Package fleet implements a directory of upstreams. It keeps the newest announcement of
// each upstream's current incarnation, regardless of which node received it. It does no I/O
// and reads no clock.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// GroupState is the state of an engine in its group.
type GroupState string

// The states of an engine in its group.
const (
	Joining GroupState = "joining"
	Ready   GroupState = "ready"
	Open    GroupState = "open"
	Closing GroupState = "closing"
	Broken  GroupState = "broken"
)

// Membership is an engine's membership in a group; the zero value means none.
type Membership struct {
	Group string
	Epoch uint64
	// Rank 0 is the head, which accepts the group's requests.
	Rank  int
	State GroupState
}

// Upstream is the newest announcement of one incarnation of an upstream.
type Upstream struct {
	ID string
	// StartTime is the start time of this incarnation, in Unix milliseconds.
	StartTime uint64
	// Sequence increases with each announcement of an incarnation.
	Sequence      uint64
	Service       string
	Address       string
	FailureDomain string
	// FabricDomain is empty for plain services.
	FabricDomain string
	Slots        int
	// Draining is true for an upstream that finishes its work and then leaves.
	Draining bool
	// DrainingFrom is the sequence number of the first announcement known since which the
	// incarnation has said so.
	DrainingFrom uint64
	// Deregistered is true once the upstream has deregistered; it is final for an incarnation.
	Deregistered bool
	// Staged are the models whose weights are on the VM, Models those that are loaded.
	Staged []string
	Models []string
	Group  Membership
	// AnnouncedAt is the time of the announcement, by this node's clock.
	AnnouncedAt time.Time
	// Silent is true when announcements stopped without a deregistration.
	Silent bool
}

// Leaving reports whether the upstream is draining or deregistered, and so takes no new
// work.
func (u *Upstream) Leaving() bool { return u.Draining || u.Deregistered }

// HasStaged reports whether a model's weights are on the VM.
func (u *Upstream) HasStaged(model string) bool { return slices.Contains(u.Staged, model) }

// Directory holds the newest announcement of each upstream.
type Directory struct {
	// silentAfter is the time without an announcement after which an upstream counts as
	// silent.
	silentAfter time.Duration
	byID        map[string]*Upstream
	byAddress   map[string]*Upstream
}

const (
	// silentAfterIntervals is the number of intervals without an announcement after which
	// an upstream is silent: announcements may be one interval late without a fault.
	silentAfterIntervals = 2.6
	// retentionFactor is how long a silent or deregistered upstream is kept, in multiples
	// of silentAfter, so that late announcements of an earlier incarnation are recognised.
	retentionFactor = 12
)

// NewDirectory returns an empty directory for upstreams that announce themselves at an
// interval.
func NewDirectory(interval time.Duration) *Directory {
	return &Directory{
		silentAfter: time.Duration(silentAfterIntervals * float64(interval)),
		byID:        map[string]*Upstream{}, byAddress: map[string]*Upstream{},
	}
}

// Observe records an announcement and reports whether the record changed: the announcement
// is the newest, or the first deregistration of its incarnation. An announcement of an
// earlier incarnation, of an upstream whose address belongs to a later incarnation, or of a
// known incarnation with another service changes nothing.
func (d *Directory) Observe(u Upstream) bool {
	held := d.byID[u.ID]
	if held != nil && held.StartTime == u.StartTime && held.Service != u.Service {
		return false
	}
	if held != nil && !newer(held, &u) {
		return held.applyDeregistration(&u)
	}
	if holder := d.byAddress[u.Address]; holder != nil && holder.ID != u.ID {
		if holder.StartTime > u.StartTime {
			return false
		}
		d.remove(holder)
	}
	if u.Draining {
		u.DrainingFrom = u.Sequence
	}
	if held != nil && held.StartTime == u.StartTime {
		u.Deregistered = u.Deregistered || held.Deregistered
		if u.Draining && held.Draining {
			u.DrainingFrom = held.DrainingFrom
		}
	}
	if held != nil && held.Address != u.Address {
		d.remove(held)
	}
	d.byID[u.ID], d.byAddress[u.Address] = &u, &u
	return true
}

// applyDeregistration applies a deregistration that was relayed with an earlier
// announcement of the same incarnation, because the keeper that received it had no later
// announcement.
func (u *Upstream) applyDeregistration(earlier *Upstream) bool {
	if earlier.StartTime != u.StartTime || !earlier.Deregistered || u.Deregistered {
		return false
	}
	u.Deregistered = true
	if earlier.AnnouncedAt.After(u.AnnouncedAt) {
		u.AnnouncedAt = earlier.AnnouncedAt
	}
	return true
}

func newer(held, u *Upstream) bool {
	if held.StartTime != u.StartTime {
		return u.StartTime > held.StartTime
	}
	return u.Sequence > held.Sequence || u.Sequence == held.Sequence && u.Deregistered && !held.Deregistered
}

func (d *Directory) remove(u *Upstream) {
	if d.byID[u.ID] == u {
		delete(d.byID, u.ID)
	}
	if d.byAddress[u.Address] == u {
		delete(d.byAddress, u.Address)
	}
}

// Deregister records the deregistration of an upstream. It returns false when the upstream
// is not known.
func (d *Directory) Deregister(id string, now time.Time) (Upstream, bool) {
	held := d.byID[id]
	if held == nil {
		return Upstream{}, false
	}
	held.Deregistered, held.AnnouncedAt = true, now
	return *held, true
}

// Expire marks as silent the upstreams whose announcements stopped. It removes those whose
// last announcement or deregistration is older than retentionFactor times silentAfter. It
// returns the identifiers of both.
func (d *Directory) Expire(now time.Time) (silent, removed []string) {
	for id, u := range d.byID {
		age := now.Sub(u.AnnouncedAt)
		switch {
		case age >= d.silentAfter*retentionFactor:
			d.remove(u)
			removed = append(removed, id)
		case age >= d.silentAfter && !u.Silent:
			u.Silent = true
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	slices.Sort(removed)
	return silent, removed
}

// Displaced returns the records that an announcement would replace: that of an earlier incarnation, and
// that of another upstream at its address.
func (d *Directory) Displaced(u *Upstream) []Upstream {
	var displaced []Upstream
	if held := d.byID[u.ID]; held != nil && held.StartTime < u.StartTime {
		displaced = append(displaced, *held)
	}
	if holder := d.byAddress[u.Address]; holder != nil && holder.ID != u.ID && holder.StartTime <= u.StartTime {
		displaced = append(displaced, *holder)
	}
	return displaced
}

// Remove deletes the record of an upstream.
func (d *Directory) Remove(id string) {
	if u := d.byID[id]; u != nil {
		d.remove(u)
	}
}

// Get returns an upstream by its identifier.
func (d *Directory) Get(id string) (Upstream, bool) {
	if u := d.byID[id]; u != nil {
		return *u, true
	}
	return Upstream{}, false
}

// All returns every upstream, ordered by identifier.
func (d *Directory) All() []Upstream {
	all := make([]Upstream, 0, len(d.byID))
	for _, u := range d.byID {
		all = append(all, *u)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return all
}
