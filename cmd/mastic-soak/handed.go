package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// handedTolerance is by how much the time that an upstream is handed may exceed what the caller has left, and the
	// time after the first arrival from which a further one counts as late.
	handedTolerance = 500 * time.Millisecond
	// toleratedHanded is the number of requests, and toleratedHandedShare the share of them and of the late further
	// arrivals, that may be handed more time.
	toleratedHanded, toleratedHandedShare = 20, 0.2
	// pauseNotice is the time after a 503 with Retry-After within which an entry may still send.
	pauseNotice = 500 * time.Millisecond
	// toleratedInPause is the number of requests from one entry that may reach an upstream in the rest of that time.
	toleratedInPause = 2
	// leaveNotice is the time after an answer that states that its upstream leaves within which a caller's request may still be sent there.
	leaveNotice = time.Second
)

// sentRequest is a request as its caller sent it.
type sentRequest struct {
	entry *node
	// until is when the caller's time ends.
	until    time.Time
	timeLeft time.Duration
	// arrivedAt is when it first reached an upstream, firstEnd the end of the time that it was handed there.
	arrivedAt, firstEnd time.Time
}

// refusedPair is an upstream that wants no work from an entry for a time.
type refusedPair struct {
	upstream string
	entry    *node
	at       time.Time
	from, to time.Time
	arrivals int
}

// leavingPair is an upstream that has stated to an entry that it leaves.
type leavingPair struct {
	upstream string
	entry    *node
	at       time.Time
	arrivals int
}

// handedLedger records what upstreams receive from each entry, for the clauses on time, on 503 with Retry-After and on upstreams that leave.
type handedLedger struct {
	mu       sync.Mutex
	requests map[serviceRequest]*sentRequest
	// overlong counts the arrivals with too much time, lateRepeats all late further arrivals.
	overlong, lateRepeats int
	firstOverlong         string
	pauses                []*refusedPair
	departures            []*leavingPair
}

func newHandedLedger() *handedLedger {
	return &handedLedger{requests: map[serviceRequest]*sentRequest{}}
}

// send records a request before its caller sends it.
func (l *handedLedger) send(service, id string, entry *node, timeLeft time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[serviceRequest{service, id}] = &sentRequest{entry: entry, until: time.Now().Add(timeLeft), timeLeft: timeLeft}
}

// arrive records that a request reached an upstream with a header. A nil ledger records nothing.
func (l *handedLedger) arrive(service, upstream, id string, header http.Header) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[serviceRequest{service, id}]
	if r == nil {
		return
	}
	now := time.Now()
	for _, p := range l.pauses {
		if p.upstream == upstream && p.entry == r.entry && now.After(p.from) && now.Before(p.to) && !r.entry.disturbedBetween(p.at, now) {
			p.arrivals++
		}
	}
	for _, d := range l.departures {
		if d.upstream == upstream && d.entry == r.entry && r.until.Add(-r.timeLeft).After(d.at.Add(leaveNotice)) && !r.entry.disturbedBetween(d.at, now) {
			d.arrivals++
		}
	}
	if r.entry.disturbedBetween(now.Add(-contactTime), now) {
		return
	}
	l.checkTime(r, now, fmt.Sprintf("%s at %s", id, upstream), header.Get("X-Deadline-Ms"))
}

// checkTime compares the time that a request was handed on with what its caller has left.
func (l *handedLedger) checkTime(r *sentRequest, now time.Time, name, value string) {
	milliseconds, err := strconv.ParseInt(value, 10, 64)
	handed := time.Duration(milliseconds) * time.Millisecond
	end := now.Add(handed)
	late := !r.arrivedAt.IsZero() && now.Sub(r.arrivedAt) > handedTolerance
	tooLong := err != nil || handed > r.timeLeft+handedTolerance || late && end.After(r.firstEnd.Add(handedTolerance)) && end.After(r.until.Add(handedTolerance))
	if late {
		l.lateRepeats++
	}
	if tooLong {
		if l.overlong++; l.firstOverlong == "" {
			l.firstOverlong = fmt.Sprintf("%s was handed %q, %s after its caller's time had %s left", name, value, now.Sub(r.until.Add(-r.timeLeft)), r.timeLeft)
		}
	}
	if r.arrivedAt.IsZero() {
		r.arrivedAt, r.firstEnd = now, end
	}
}

// pause records that an upstream answers a request with 503 and Retry-After.
func (l *handedLedger) pause(service, upstream, id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[serviceRequest{service, id}]; r != nil {
		now := time.Now()
		l.pauses = append(l.pauses, &refusedPair{upstream: upstream, entry: r.entry, at: now, from: now.Add(pauseNotice), to: now.Add(d)})
	}
}

// leave records that an upstream states in the answer to a request that it leaves.
func (l *handedLedger) leave(service, upstream, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[serviceRequest{service, id}]
	if r == nil || slices.ContainsFunc(l.departures, func(d *leavingPair) bool { return d.upstream == upstream && d.entry == r.entry }) {
		return
	}
	l.departures = append(l.departures, &leavingPair{upstream: upstream, entry: r.entry, at: time.Now()})
}

// isInTouch reports whether the entry of a request was not disturbed for contactTime.
func (l *handedLedger) isInTouch(service, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[serviceRequest{service, id}]
	return r != nil && !r.entry.disturbedBetween(time.Now().Add(-contactTime), time.Now())
}

// check returns the clauses that were broken, and the counts.
func (l *handedLedger) check() (violations []string, counts string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overlong > toleratedHanded && float64(l.overlong) > toleratedHandedShare*float64(l.overlong+l.lateRepeats) {
		violations = append(violations, fmt.Sprintf("%d requests were handed too much time, the first: %s", l.overlong, l.firstOverlong))
	}
	broken, most := 0, &refusedPair{}
	for _, p := range l.pauses {
		if p.arrivals > toleratedInPause {
			broken++
		}
		if p.arrivals > most.arrivals {
			most = p
		}
	}
	if broken > 0 {
		violations = append(violations, fmt.Sprintf("in %d of %d times for which an upstream wanted no work, an entry sent it more than %d requests; the most: %d from %s to %s within %s",
			broken, len(l.pauses), toleratedInPause, most.arrivals, most.entry.name, most.upstream, most.to.Sub(most.from)))
	}
	late := 0
	for _, d := range l.departures {
		if late += d.arrivals; d.arrivals > 0 {
			violations = append(violations, fmt.Sprintf("%s sent %d requests to %s, which had stated that it leaves, later than %s before they were asked for", d.entry.name, d.arrivals, d.upstream, leaveNotice))
		}
	}
	return violations, fmt.Sprintf("%d handed too much time beside %d late repeats; %d answers with Retry-After, at most %d requests within one; %d entries told of a departure, %d requests after it",
		l.overlong, l.lateRepeats, len(l.pauses), most.arrivals, len(l.departures), late)
}

// disturbedBetween reports whether a signal disturbed the node between two times.
func (n *node) disturbedBetween(from, to time.Time) bool {
	return slices.ContainsFunc(n.disturbances(), func(d disturbance) bool { return d.overlaps(from, to) })
}

// statedPause is the time for which an upstream answers 503 with Retry-After.
type statedPause struct {
	mu    sync.Mutex
	until time.Time
}

func (p *statedPause) begin(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

// left returns what is left of the time; 0 when it is over.
func (p *statedPause) left() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(time.Until(p.until), 0)
}

// retryAfter formats a Retry-After header in seconds.
func retryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
