package forward

import (
	"math"
	"time"
)

const (
	// allowanceInterval is the time between two shares of the room that is free: that in
	// which pictures of the loads change.
	allowanceInterval = 200 * time.Millisecond
	// allowanceShare of the free room is shared out at a time, as what was shared before
	// may not show in the picture yet.
	allowanceShare = 0.5
	// ampleRoom is how many times the requests that are on their way unseen fit into the
	// free room while it is not shared out.
	ampleRoom = 2
)

// allowance is the number of requests of one entry up to which a lane may send more.
// Where entries see the same few free places by an old picture, all would fill them;
// each takes its share instead, and may replace its own requests as they end.
type allowance struct {
	// limited is false while there is room enough for all entries.
	limited bool
	upTo    int
	// carry is the part of a request that shares came to so far.
	carry float64
}

// allows reports whether a lane with some requests under way may send one more.
func (a *allowance) allows(own int) bool { return !a.limited || own < a.upTo }

// share sets the allowance of an entry that has some of all requests under way, and of
// whose free room it gets as much as of these, and as of the entries.
func (a *allowance) share(free, unseen float64, own, all, entries int) {
	if a.limited = entries > 1 && free < ampleRoom*unseen; !a.limited {
		return
	}
	part := 1 / float64(entries)
	if all > 0 {
		part = (part + float64(own)/float64(all)) / 2
	}
	whole, carry := math.Modf(a.carry + allowanceShare*free*part)
	a.upTo, a.carry = own+int(whole), carry
}

// shareRoom renews the allowances of all lanes when a picture is due.
func (p *Placer) shareRoom(now time.Time) {
	if now.Sub(p.sharedAt) < allowanceInterval {
		return
	}
	p.sharedAt = now
	for key, l := range p.lanes {
		p.shareLane(now, key, l)
	}
}

// shareLane renews the allowances of a lane.
func (p *Placer) shareLane(now time.Time, key laneKey, l *lane) {
	w, late := Work{Service: key.service, Model: key.model}, Work{Late: true}
	free, freeLate, all := 0, 0, 0
	for _, k := range p.keys {
		s := p.slots[k]
		if !p.admits(now, s, &w) {
			continue
		}
		load := s.own + s.others
		reserve := s.limit() - s.room(&late)
		free, freeLate, all = free+s.limit()-load, freeLate+s.limit()-reserve-load, all+load
	}
	unseen := p.unseenOf(now, key, l)
	l.onTime.share(float64(max(free, 0)), unseen, l.own, all, p.entries)
	l.lateOnes.share(float64(max(freeLate, 0)), unseen, l.own, all, p.entries)
}

// allowed reports whether a request may be sent now.
func (l *lane) allowed(w *Work) bool {
	if w.Late {
		return l.lateOnes.allows(l.own)
	}
	return l.onTime.allows(l.own)
}
