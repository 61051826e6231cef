package forward

import (
	"math"
	"time"
)

const (
	// allowanceInterval is the time between two updates of the allowances: that in which load
	// reports change.
	allowanceInterval = 200 * time.Millisecond
	// allowanceShare is the part of the free capacity that one update hands out, as requests
	// that the previous update allowed may not be in the load reports yet.
	allowanceShare = 0.5
	// ampleCapacityFactor: allowances are not limited while the free capacity is at least this
	// many times the number of unreported requests.
	ampleRoom = 2
	// minSlotsPerEntry is the capacity for each entry from which allowances are limited. With
	// fewer slots random variation outweighs herding: some entries would wait while others had
	// capacity to spare.
	leastPart = 10
)

// allowance bounds the number of requests that one entry has in flight in a queue's targets.
// Entries that see the same little free capacity through a stale load report would all fill
// it. Each takes its share instead, and may replace its own requests as they end.
type allowance struct {
	// limited is false while there is enough capacity for all entries.
	limited bool
	upTo    int
	// carry is the fractional request that is left over from earlier updates.
	carry float64
}

// allows reports whether an entry with a number of requests in flight may send one more.
func (a *allowance) allows(inFlight int) bool { return !a.limited || inFlight < a.upTo }

// queueCapacity is what an entry knows of the capacity of a queue's targets.
type room struct {
	// total is the capacity of the targets, free the part of it that no request takes.
	places, free int
	// own counts this entry's requests in flight, all those of all entries.
	own, all int
	// entries is the number of entries that share the capacity.
	entries int
	// unreported estimates the requests that other entries sent and that no report contains
	// yet.
	unseen float64
}

// update sets the allowance of an entry. Its part of the free capacity is the mean of an equal
// part for each entry and of its part of all requests in flight.
func (a *allowance) share(c room) {
	a.limited = c.entries > 1 && c.places >= leastPart*c.entries && float64(c.free) < ampleRoom*c.unseen
	if !a.limited {
		return
	}
	part := 1 / float64(c.entries)
	if c.all > 0 {
		part = (part + float64(c.own)/float64(c.all)) / 2
	}
	integer, carry := math.Modf(a.carry + allowanceShare*float64(max(c.free, 0))*part)
	a.upTo, a.carry = c.own+int(integer), carry
}

// updateAllowances updates the allowances of all queues once allowanceInterval has passed.
func (p *Placer) shareRoom(now time.Time) {
	if now.Sub(p.sharedAt) < allowanceInterval {
		return
	}
	p.sharedAt = now
	for key, q := range p.lanes {
		p.shareLane(now, key, q)
	}
}

func (p *Placer) shareLane(now time.Time, key laneKey, q *lane) {
	w, late := Work{Service: key.service, Model: key.model}, Work{Late: true}
	c := room{own: q.own, entries: p.entries, unseen: p.unseenOf(now, key, q)}
	reserve := 0
	for _, k := range p.keys {
		s := p.slots[k]
		if !p.admits(now, s, &w) {
			continue
		}
		c.places, c.all, reserve = c.places+s.limit(), c.all+s.own+s.others, reserve+s.limit()-p.room(s, &late)
	}
	c.free = c.places - c.all
	q.onTime.share(c)
	c.free -= reserve
	q.lateOnes.share(c)
}

// allowed reports whether the allowances let a request be sent now.
func (q *lane) allowed(w *Work) bool {
	if w.Late {
		return q.lateOnes.allows(q.own)
	}
	return q.onTime.allows(q.own)
}
