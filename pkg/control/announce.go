package control

import (
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// event is an input of the event loop that runs the planner.
type event interface {
	handle(c *Control, now time.Time)
}

// leaderlessLimit is the time without a leader after which this keeper refuses
// deregistrations: entries on the other side of a network partition would not learn of
// them.
const leaderlessLimit = time.Second

// Announce records an upstream's announcement and relays it to the other keepers. That the
// upstream drains is committed before Announce returns without an error; it is refused while
// this keeper has no leader.
func (c *Control) Announce(u fleet.Upstream) error {
	if u.Leaving() && !c.hasLeader() {
		return errNoLeader()
	}
	if c.intrudes(&u) {
		c.opts.Metrics.Add("announcements_refused", 1)
		return fault.New(fault.InvalidRequest, "configure the service first", "the service %q is not configured, and %s or its address belongs to an upstream of another one", u.Service, u.ID)
	}
	u.AnnouncedAt = boottime.Now()
	c.recordAndRelay(u)
	if !u.Leaving() {
		return nil
	}
	return c.commitDeparture(u.ID, u.StartTime)
}

// intrudes reports whether an announcement of a service that is not configured would replace the record
// of an upstream in use.
func (c *Control) intrudes(u *fleet.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.document == nil || c.document.Services[u.Service] != nil {
		return false
	}
	return slices.ContainsFunc(c.directory.Displaced(u), func(held fleet.Upstream) bool {
		return c.document.Services[held.Service] != nil && !held.Silent && !held.Deregistered
	})
}

// Deregister records that an upstream ended its service, which is committed before it returns
// without an error. It refuses an unknown upstream, as a keeper that has just started has no record
// to relay.
func (c *Control) Deregister(id string) error {
	if !c.hasLeader() {
		return errNoLeader()
	}
	now := boottime.Now()
	c.mu.Lock()
	u, known := c.directory.Deregister(id, now)
	if known {
		c.changes.record(id)
	}
	c.mu.Unlock()
	if !known {
		c.opts.Log.Info().Str("upstream", id).Msg("farewell_of_unknown_upstream")
		return fault.New(fault.NotReady, "send it to another keeper", "upstream %s is unknown to this keeper", id).WithRetryAfter(time.Second)
	}
	c.opts.Log.Info().Str("upstream", id).Msg("upstream_deregistered")
	c.relays.relayUpstream(&u, now)
	c.inbox.Push(directoryChanged{})
	return c.commitDeparture(id, u.StartTime)
}

func errNoLeader() *fault.Error {
	return fault.New(fault.NoQuorum, "send it to another keeper", "this keeper has no contact with a leader").WithRetryAfter(time.Second)
}

func (c *Control) hasLeader() bool { return c.opts.Keeper.LeaderlessFor() < leaderlessLimit }

// recordAndRelay records an announcement that an upstream made to this keeper and relays
// it to the other keepers.
func (c *Control) recordAndRelay(u fleet.Upstream) {
	if c.record(u) {
		c.relays.relayUpstream(&u, u.AnnouncedAt)
	}
}

// recordRelayed records an announcement that another keeper sent, unless it is not valid.
func (c *Control) recordRelayed(u fleet.Upstream) {
	if err := u.Validate(); err != nil {
		c.opts.Metrics.Add("announcements_refused", 1)
		c.opts.Log.Warn().Err(err).Str("upstream", u.ID).Msg("announcement_refused")
		return
	}
	c.record(u)
}

// record stores an announcement in the directory. It returns false when the
// directory already has a newer one.
func (c *Control) record(u fleet.Upstream) bool {
	c.mu.Lock()
	before, known := c.directory.Get(u.ID)
	newest := c.directory.Observe(u)
	after, _ := c.directory.Get(u.ID)
	changed := newest && (!known || stateChanged(&before, &after))
	if changed {
		c.changes.record(u.ID)
	}
	c.mu.Unlock()
	if !changed {
		return newest
	}
	c.logChange(&before, &after, known)
	c.inbox.Push(directoryChanged{})
	return newest
}

// stateChanged reports whether two records of an upstream differ in more than their
// sequence numbers and times.
func stateChanged(a, b *fleet.Upstream) bool {
	return a.StartTime != b.StartTime || a.Address != b.Address || a.Draining != b.Draining || a.Deregistered != b.Deregistered || a.Silent != b.Silent ||
		a.Group != b.Group || a.Service != b.Service || a.Slots != b.Slots || !slices.Equal(a.Staged, b.Staged)
}

func (c *Control) logChange(before, after *fleet.Upstream, known bool) {
	if known && before.Group == after.Group && before.StartTime == after.StartTime && before.Draining == after.Draining {
		return
	}
	c.opts.Log.Info().Str("upstream", after.ID).Uint64("born", after.StartTime).Uint64("sequence", after.Sequence).
		Str("group", after.Group.Group).Str("state", string(after.Group.State)).Bool("draining", after.Draining).
		Bool("known", known).Msg("upstream_changed")
}

// directoryChanged signals that the directory changed.
type directoryChanged struct{}

func (directoryChanged) handle(*Control, time.Time) {}

// expire marks upstreams without recent announcements as silent and removes old records.
func (c *Control) expire(now time.Time) {
	c.mu.Lock()
	silent, removed := c.directory.Expire(now)
	for _, id := range silent {
		c.changes.record(id)
	}
	for _, id := range removed {
		c.changes.recordRemoval(id)
	}
	c.mu.Unlock()
	c.reportQuarantines()
	for _, id := range silent {
		c.opts.Log.Warn().Str("upstream", id).Msg("upstream_silent")
	}
}

// upstreamsSince returns the records that changed after a version and the identifiers
// of the upstreams that were removed. The caller holds the lock.
func (c *Control) upstreamsSince(since uint64, now time.Time) (records []*peerpb.UpstreamRecord, removed []string) {
	for id, version := range c.changes.versions {
		if version <= since {
			continue
		}
		if u, known := c.directory.Get(id); known {
			records = append(records, fleet.Encode(&u, now))
		} else {
			removed = append(removed, id)
		}
	}
	return records, removed
}
