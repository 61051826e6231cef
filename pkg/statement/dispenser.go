package statement

import (
	"math/rand/v2"
	"time"
)

// GrantTime is how long an entry may put off the request that it was granted.
const GrantTime = 500 * time.Millisecond

// Dispenser grants entries requests to limited upstreams. Each keeper grants its share of each limit to the entries
// that report to it. It is not safe for concurrent use.
type Dispenser struct {
	table      *Table
	random     *rand.Rand
	allotments *Allotments
	shares     map[string]*Share
}

// NewDispenser returns a dispenser of the limits in a table.
func NewDispenser(table *Table, random *rand.Rand) *Dispenser {
	return &Dispenser{table: table, random: random, allotments: NewAllotments(random), shares: map[string]*Share{}}
}

// UpdateShare updates the share of the limits of a service's upstreams, see Share.Update.
func (d *Dispenser) UpdateShare(now time.Time, service string, own, all, even float64) {
	if d.shares[service] == nil {
		d.shares[service] = &Share{}
	}
	d.shares[service].Update(now, own, all, even)
}

// Grant returns the upstreams of a service, among those that an entry names, to which it may send a request each, at
// most so many; one may occur several times.
func (d *Dispenser) Grant(now time.Time, service string, upstreams []Incarnation, most int) []Incarnation {
	share := d.shares[service]
	if share == nil || len(upstreams) == 0 {
		return nil
	}
	var granted []Incarnation
	first := d.random.IntN(len(upstreams))
	for i := range upstreams {
		upstream := upstreams[(first+i)%len(upstreams)]
		limit, _, limited := d.table.Limit(now, upstream)
		if !limited {
			continue
		}
		perSecond := Rate(limit, share.value)
		for len(granted) < most && d.allotments.Allows(now, upstream, perSecond) {
			d.allotments.Use(now, upstream, perSecond)
			granted = append(granted, upstream)
		}
	}
	return granted
}

// Expire forgets what belongs to upstreams without a limit.
func (d *Dispenser) Expire(now time.Time) {
	d.table.Expire(now)
	d.allotments.Retain(func(upstream Incarnation) bool {
		_, _, limited := d.table.Limit(now, upstream)
		return limited
	})
}

// Grants are the requests to limited upstreams that an entry was granted and has not sent. They are not safe for
// concurrent use.
type Grants struct {
	expiries map[Incarnation][]time.Time
}

// Add adds grants.
func (g *Grants) Add(now time.Time, upstreams []Incarnation) {
	if g.expiries == nil {
		g.expiries = map[Incarnation][]time.Time{}
	}
	for _, upstream := range upstreams {
		g.expiries[upstream] = append(g.valid(now, upstream), now.Add(GrantTime))
	}
}

// Count returns the number of requests that may be sent to an upstream.
func (g *Grants) Count(now time.Time, upstream Incarnation) int { return len(g.valid(now, upstream)) }

// Use takes one grant of an upstream if there is one.
func (g *Grants) Use(now time.Time, upstream Incarnation) {
	if valid := g.valid(now, upstream); len(valid) > 0 {
		g.expiries[upstream] = valid[1:]
	}
}

// valid drops the grants of an upstream that have expired and returns the others, the oldest first.
func (g *Grants) valid(now time.Time, upstream Incarnation) []time.Time {
	all := g.expiries[upstream]
	for len(all) > 0 && !all[0].After(now) {
		all = all[1:]
	}
	if len(all) == 0 {
		delete(g.expiries, upstream)
		return nil
	}
	g.expiries[upstream] = all
	return all
}
