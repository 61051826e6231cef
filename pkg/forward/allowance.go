package forward

import (
	"math"
	"time"
)

const (
	// allowanceInterval is the time between two updates of the allowances. Load reports change
	// at the same interval.
	allowanceInterval = 200 * time.Millisecond
	// allowanceShare is the part of the free capacity that one update hands out, as requests
	// that the previous update allowed may not be in the load reports yet.
	allowanceShare = 0.5
	// ampleCapacityFactor: allowances are not limited while the free capacity is at least this
	// many times the number of unreported requests.
	ampleCapacityFactor = 2
	// minSlotsPerEntry is the capacity for each entry from which allowances are limited. With
	// fewer slots random variation outweighs herding: some entries would wait while others had
	// capacity to spare.
	minSlotsPerEntry = 10
)

// allowance bounds the number of requests that one entry has in flight in a queue's targets.
// Entries that see the same little free capacity through a stale load report would all fill
// it. Each takes its share instead, and may replace its own requests as they end.
type allowance struct {
	// limited is false while there is enough capacity for all entries.
	limited bool
	limit   int
	// carry is the fractional request that is left over from earlier updates.
	carry float64
}

// allows reports whether an entry with a number of requests in flight may send one more.
func (a *allowance) allows(inFlight int) bool { return !a.limited || inFlight < a.limit }

// queueCapacity is an entry's view of the capacity of a queue's targets.
type queueCapacity struct {
	// total is the capacity of the targets, free the part of it that no request takes.
	total, free int
	// own counts this entry's requests in flight, all those of all entries.
	own, all int
	// entries is the number of entries that share the capacity.
	entries int
	// unreported estimates the requests that other entries sent and that no report contains
	// yet.
	unreported float64
}

// entryShare is the part of a capacity that one entry gets: the mean of an equal part for each entry and of its part of all requests
// in flight.
func entryShare(own, all, entries int) float64 {
	if entries <= 1 {
		return 1
	}
	share := 1 / float64(entries)
	if all > 0 {
		share = (share + float64(own)/float64(all)) / 2
	}
	return share
}

// update sets the allowance of an entry.
func (a *allowance) update(c queueCapacity) {
	a.limited = c.entries > 1 && c.total >= minSlotsPerEntry*c.entries && float64(c.free) < ampleCapacityFactor*c.unreported
	if !a.limited {
		return
	}
	integer, carry := math.Modf(a.carry + allowanceShare*float64(max(c.free, 0))*entryShare(c.own, c.all, c.entries))
	a.limit, a.carry = c.own+int(integer), carry
}

// updateAllowances updates the allowances of all queues once allowanceInterval has passed.
func (p *Placer) updateAllowances(now time.Time) {
	if now.Sub(p.allowancesUpdatedAt) < allowanceInterval {
		return
	}
	p.allowancesUpdatedAt = now
	for key, q := range p.queues {
		p.updateQueueAllowances(now, key, q)
	}
}

func (p *Placer) updateQueueAllowances(now time.Time, key queueKey, q *requestQueue) {
	work := Work{Service: key.service, Model: key.model}
	c := queueCapacity{own: q.inFlight, entries: p.entries, unreported: p.unreportedRequests(now, key, q)}
	for _, k := range p.targetKeys {
		s := p.targets[k]
		// A target with a stated limit has an allotment of its own.
		if _, _, limited := p.limitOf(now, s); limited || !p.eligible(now, s, &work) {
			continue
		}
		c.total, c.all = c.total+s.limit(), c.all+s.ownRequests+s.otherRequests
	}
	c.free = c.total - c.all
	q.allowance.update(c)
}
