package grouping

import (
	"time"

	"github.com/masticmount/masticmount/pkg/fleet"
)

// verifyInterval is the shortest time between two probes of an engine for its own
// word; what it answers is a fifth of a second old.
const verifyInterval = 250 * time.Millisecond

// verification is what an engine said of itself when asked. The first announcement
// that a new steward gets of an engine may be one that was delayed; once one agrees
// with the engine's own word, later ones are in order.
type verification struct {
	askedAt time.Time
	// agreed is true once an announcement agreed with the engine's own word.
	agreed bool
	// orders is the number of orders that the run has begun; where counted is true no
	// other order can have begun since.
	orders  uint64
	counted bool
}

// asked takes in an engine's own word.
func (p *Planner) asked(r run, report Report) {
	v := p.verified[r]
	u, current := p.member(r)
	if !v.agreed {
		v.agreed = current && u.Group == report.Group
		v.orders, v.counted = report.OrdersBegun, v.agreed
	}
	p.verified[r] = v
}

// count follows the number of orders that an engine has begun.
func (p *Planner) count(r run, outcome Outcome) {
	v := p.verified[r]
	v.orders++
	v.counted = v.counted && outcome == Accepted
	p.verified[r] = v
}

// verify asks an engine for its own word.
func (p *Planner) verify(now time.Time, u fleet.Upstream) []Order {
	r := run{u.ID, u.Born}
	v := p.verified[r]
	if now.Sub(v.askedAt) < verifyInterval {
		return nil
	}
	v.askedAt = now
	p.verified[r] = v
	return []Order{{Kind: Probe, Upstream: u.ID, Born: u.Born, Address: u.Address}}
}
