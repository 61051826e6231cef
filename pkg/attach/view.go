package attach

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/grouping"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Target is a destination for requests: a plain upstream, or the head of a group.
type Target struct {
	ID            string
	StartTime     uint64
	Address       string
	Service       string
	FailureDomain string
	// Model and Group are empty for plain upstreams.
	Model, Group string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Suspected is true for a suspected target: a member is silent or leaving. It gets
	// requests only when no other target has capacity, or while it responds to this entry.
	Suspected bool
}

// View is an immutable snapshot of the configuration, the targets and their loads.
type View struct {
	// Document is nil before the first one is known.
	Document *document.Document
	Targets  []Target
	// newest has the newest upstream known at each address, whether it takes requests or not.
	newest map[string]fleet.Upstream
	// Loads are the requests that other entries have at each target.
	Loads map[string]int
	// Entries is the number of entries in the region, 0 while it is not known. Retries are
	// the requests and retries of all of them in the window of the retry budget.
	Entries int
	Retries []*peerpb.RepeatCount
	// LoadsAt is the arrival time of the loads, by boot time.
	LoadsAt time.Time
}

// Succeeded reports whether a later incarnation of a target's service is known at its address: the target has ended.
func (v *View) Succeeded(t *Target) bool {
	newest, known := v.newest[t.Address]
	return known && newest.Service == t.Service && newest.StartTime > t.StartTime
}

// WithUpstreams returns the view with what is known of the upstreams at each address.
func (v View) WithUpstreams(upstreams []fleet.Upstream) *View {
	v.newest = newestByAddress(upstreams)
	return &v
}

// newestByAddress returns the upstream with the latest start at each address.
func newestByAddress(upstreams []fleet.Upstream) map[string]fleet.Upstream {
	newest := map[string]fleet.Upstream{}
	for _, u := range upstreams {
		if held, known := newest[u.Address]; !known || u.StartTime > held.StartTime {
			newest[u.Address] = u
		}
	}
	return newest
}

// source holds the records that one keeper sent.
type source struct {
	attached bool
	records  map[string]fleet.Upstream
}

// merge returns the newest record of each upstream. An upstream counts as silent only if
// every attached keeper that knows its incarnation reports it as silent. Draining and
// deregistration reported by a keeper still count after the link to it was lost, as the
// other keepers may not have learned of them.
func merge(sources map[string]*source) []fleet.Upstream {
	anyAttached := false
	for _, s := range sources {
		anyAttached = anyAttached || s.attached
	}
	newest := map[string]fleet.Upstream{}
	for _, s := range sources {
		if anyAttached && !s.attached {
			continue
		}
		for id, u := range s.records {
			held, known := newest[id]
			switch {
			case !known || u.StartTime > held.StartTime:
				newest[id] = u
			case u.StartTime == held.StartTime:
				newest[id] = mergeIncarnation(held, u)
			}
		}
	}
	for _, s := range sources {
		for id, u := range s.records {
			if held, known := newest[id]; known && anyAttached && !s.attached {
				newest[id] = applyDeregistration(held, u)
			}
		}
	}
	all := make([]fleet.Upstream, 0, len(newest))
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		all = append(all, newest[id])
	}
	return all
}

// applyDeregistration adds to a record the draining or deregistration that a lost keeper
// reported of the same incarnation. A later announcement can end draining, but a
// deregistration is final.
func applyDeregistration(held, lost fleet.Upstream) fleet.Upstream {
	if held.StartTime == lost.StartTime {
		held.Deregistered = held.Deregistered || lost.Deregistered
		held.Draining = held.Draining || lost.Draining && lost.Sequence >= held.Sequence
	}
	return held
}

func mergeIncarnation(a, b fleet.Upstream) fleet.Upstream {
	later, earlier := a, b
	if b.Sequence > a.Sequence {
		later, earlier = b, a
	}
	later.Silent = a.Silent && b.Silent
	later.Deregistered = later.Deregistered || earlier.Deregistered
	return later
}

// targetsOf returns the targets for requests, ordered by identifier.
func targetsOf(doc *document.Document, upstreams []fleet.Upstream) []Target {
	if doc == nil {
		return nil
	}
	liveMembers := map[fleet.Membership]int{}
	for _, u := range upstreams {
		if u.Group.Group != "" && !u.Silent && !u.Leaving() {
			liveMembers[fleet.Membership{Group: u.Group.Group, Epoch: u.Group.Epoch}]++
		}
	}
	var targets []Target
	for _, u := range upstreams {
		service := doc.Services[u.Service]
		if service == nil || u.Leaving() {
			continue
		}
		t := Target{
			ID: u.ID, StartTime: u.StartTime, Address: u.Address, Service: u.Service, FailureDomain: u.FailureDomain,
			Slots: u.Slots, Suspected: u.Silent,
		}
		if service.Engine != nil {
			model, size, ok := grouping.ParseGroupName(u.Group.Group)
			if !ok || u.Group.Rank != 0 || u.Group.State != fleet.Open {
				continue
			}
			t.Model, t.Group, t.Slots = model, u.Group.Group, service.Engine.Slots
			t.Suspected = liveMembers[fleet.Membership{Group: u.Group.Group, Epoch: u.Group.Epoch}] < size
		}
		targets = append(targets, t)
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return targets
}

// apply applies an update to the records. A keeper that sends changes before a full update
// must not make this node panic.
func (s *source) apply(u *peerpb.FleetUpdate, now time.Time) {
	if u.GetFull() || s.records == nil {
		s.records = map[string]fleet.Upstream{}
	}
	for _, r := range u.GetUpstreams() {
		if record := fleet.Decode(r, now); record.Validate() == nil {
			s.records[r.GetId()] = record
		}
	}
	for _, id := range u.GetForgotten() {
		delete(s.records, id)
	}
}
