package control

import (
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/statement"
)

// maxGrants bounds the requests that one report is granted for a service.
const maxGrants = 16

// mergeStatements adds what an entry or another keeper knows of the statements of upstreams, and passes on what was
// new to all entries and keepers.
func (c *Control) mergeStatements(s *peerpb.Statements) {
	if s == nil {
		return
	}
	now := boottime.Now()
	c.mu.Lock()
	changed := c.statements.Merge(now, s)
	if changed {
		c.limits.Expire(now)
		c.changes.bump()
	}
	c.mu.Unlock()
	if changed {
		// Each link adds the statements that it has not carried yet.
		c.relays.push(&peerpb.RelayBatch{})
	}
}

// markLeaving marks the upstreams as draining that have stated to an entry that they leave; the caller holds the lock.
func (c *Control) markLeaving(upstreams []fleet.Upstream) {
	for i := range upstreams {
		u := &upstreams[i]
		u.Draining = u.Draining || c.statements.Leaving(statement.Incarnation{Upstream: u.ID, StartTime: u.StartTime})
	}
}

// encodeStatements returns the statements that were added after a version, and the version now.
func (c *Control) encodeStatements(after uint64) (*peerpb.Statements, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statements.Encode(boottime.Now(), after)
}

// grantLimited grants an entry requests to upstreams with stated limits.
func (c *Control) grantLimited(s *subscriber, wanted []*peerpb.LimitedWork) {
	if len(wanted) == 0 {
		return
	}
	now := boottime.Now()
	c.mu.Lock()
	before := len(s.granted)
	for _, w := range wanted {
		c.updateLimitShare(now, w.GetService())
		upstreams := lo.Map(w.GetUpstreams(), func(u *peerpb.UpstreamIncarnation, _ int) statement.Incarnation {
			return statement.Incarnation{Upstream: u.GetUpstream(), StartTime: u.GetBornMs()}
		})
		s.granted = append(s.granted, c.limits.Grant(now, w.GetService(), upstreams, min(int(w.GetRequests()), maxGrants))...)
	}
	granted := len(s.granted) - before
	c.mu.Unlock()
	if granted == 0 {
		return
	}
	c.opts.Metrics.Add("limits.granted", int64(granted))
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// updateLimitShare updates this keeper's share of the limits of a service's upstreams by the requests of its entries.
// The caller holds the lock.
func (c *Control) updateLimitShare(now time.Time, service string) {
	own, all := c.loads.local(now), c.loads.all(now, "")
	even := float64(own.GetEntries()) / float64(max(all.GetEntries(), 1))
	c.limits.UpdateShare(now, service, requestsFor(own, service), requestsFor(all, service), even)
}

// requestsFor returns the requests for a service in the window of the retry budget.
func requestsFor(sums *peerpb.LoadSums, service string) float64 {
	for _, c := range sums.GetRepeats() {
		if c.GetService() == service {
			return float64(c.GetRequests())
		}
	}
	return 0
}

func encodeIncarnations(upstreams []statement.Incarnation) []*peerpb.UpstreamIncarnation {
	return lo.Map(upstreams, func(u statement.Incarnation, _ int) *peerpb.UpstreamIncarnation {
		return &peerpb.UpstreamIncarnation{Upstream: u.Upstream, BornMs: u.StartTime}
	})
}
