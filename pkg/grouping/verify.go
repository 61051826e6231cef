package grouping

import (
	"time"

	"github.com/masticmount/masticmount/pkg/fleet"
)

// verifyInterval is the minimum time between two verification probes of an engine; its
// answer is about 200 ms old.
const verifyInterval = 250 * time.Millisecond

// verification is the state of checking an engine's announcements against its answers to
// probes. The first announcement that a new coordinator receives may have been delayed; once
// one agrees with a probe report, later announcements are up to date.
type verification struct {
	probedAt time.Time
	// confirmed is true once an announcement agreed with a probe report.
	confirmed bool
	// orders is the number of orders that the incarnation has started. It is exact only
	// while ordersKnown is true.
	orders      uint64
	ordersKnown bool
}

// recordReport compares a probe report with the engine's announcement.
func (p *Planner) recordReport(inc incarnation, report Report) {
	v := p.verified[inc]
	u, current := p.member(inc)
	if !v.confirmed {
		v.confirmed = current && u.Group == report.Group
		v.orders, v.ordersKnown = report.OrdersStarted, v.confirmed
	}
	p.verified[inc] = v
}

// countOrder updates the number of orders that an engine has started.
func (p *Planner) countOrder(inc incarnation, outcome Outcome) {
	v := p.verified[inc]
	v.orders++
	v.ordersKnown = v.ordersKnown && outcome == Accepted
	p.verified[inc] = v
}

// verify returns a probe of an engine unless one was sent within verifyInterval.
func (p *Planner) verify(now time.Time, u fleet.Upstream) []Order {
	inc := incarnation{u.ID, u.StartTime}
	v := p.verified[inc]
	if now.Sub(v.probedAt) < verifyInterval {
		return nil
	}
	v.probedAt = now
	p.verified[inc] = v
	return []Order{{Kind: Probe, Upstream: u.ID, StartTime: u.StartTime, Address: u.Address}}
}
