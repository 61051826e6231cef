package forward

import (
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/attach"
)

// Estimate holds what the decision on a waiting or refused request was based on.
type Estimate struct {
	// Ahead is the number of waiting requests that go before it.
	Ahead int
	// Slots is this entry's part of the slots of its targets.
	Slots float64
	// Wait is the expected wait, ServiceTime the expected time of the request itself; 0 where nothing is known.
	Wait, ServiceTime time.Duration
	// Start is the usual time to a first event or whole answer; 0 where nothing is known.
	Start time.Duration
	// Left is the time that the caller has, FirstEventLeft that until it leaves without a first event; 0 where it sets no such bound.
	Left, FirstEventLeft time.Duration
}

// estimate describes the decision on a request that is expected to wait for a time.
func (q *requestQueue) estimate(now time.Time, w *Work, capacity targetCapacity, wait time.Duration) *Estimate {
	e := &Estimate{
		Ahead: q.ahead(w), Slots: capacity.slots, Wait: wait, ServiceTime: q.expectedServiceTime(w.ServiceTime), Start: q.startLatency.usual(), Left: w.EndBy.Sub(now),
	}
	if !w.FirstEventBy.IsZero() {
		e.FirstEventLeft = w.FirstEventBy.Sub(now)
	}
	return e
}

// fields adds the estimate to a log line.
func (e *Estimate) fields(line *zerolog.Event) *zerolog.Event {
	if e == nil {
		return line
	}
	line = line.Int("ahead", e.Ahead).Float64("own_slots", math.Round(10*e.Slots)/10).Dur("expected_wait_ms", e.Wait).Dur("expected_service_ms", e.ServiceTime).
		Dur("usual_start_ms", e.Start).Dur("time_left_ms", e.Left)
	if e.FirstEventLeft != 0 {
		line = line.Dur("first_event_left_ms", e.FirstEventLeft)
	}
	return line
}

// serviceTimes are decaying means over the same whole requests: of the times that their sizes told, and of those that targets took.
type serviceTimes struct{ stated, took time.Duration }

func (s *serviceTimes) record(stated, took time.Duration) {
	if s.took == 0 {
		s.stated, s.took = stated, took
	}
	s.stated += time.Duration(serviceTimeWeight * float64(stated-s.stated))
	s.took += time.Duration(serviceTimeWeight * float64(took-s.took))
}

// expectedServiceTime is the time that a target is expected to take for a request whose size tells a time, by what targets took for
// others of their size.
func (q *requestQueue) expectedServiceTime(stated time.Duration) time.Duration {
	m := &q.measured
	switch {
	case m.took == 0:
		return stated
	case m.stated == 0 || stated == 0:
		return m.took
	default:
		return time.Duration(float64(stated) * float64(m.took) / float64(m.stated))
	}
}

// meanServiceTime is the mean time that a request occupies its slot; 0 where nothing is known.
func (q *requestQueue) meanServiceTime() time.Duration { return q.expectedServiceTime(q.serviceTime) }

// latency is a decaying mean of measured times and of their distance from it.
type latency struct{ mean, deviation time.Duration }

func (l *latency) record(took time.Duration) {
	if l.mean == 0 {
		l.mean = took
	}
	distance := took - l.mean
	l.mean += time.Duration(serviceTimeWeight * float64(distance))
	l.deviation += time.Duration(serviceTimeWeight * float64(distance.Abs()-l.deviation))
}

// usual is a time that most of the measured ones do not exceed.
func (l *latency) usual() time.Duration { return l.mean + l.deviation }

// latestStart is the last time at which a request can be sent and be expected to be answered in its caller's time. The rest of an
// answer that has begun is of use for as long as the caller is there.
func (q *requestQueue) latestStart(w *Work) time.Time {
	if w.Begun {
		return w.EndBy
	}
	latest := w.EndBy.Add(-q.expectedServiceTime(w.ServiceTime))
	if w.FirstEventBy.IsZero() {
		return latest
	}
	return earlier(latest, w.FirstEventBy.Add(-q.startLatency.usual()))
}

// inTime reports whether a request that waits for a given time is expected to be answered in its caller's time.
func (q *requestQueue) inTime(now time.Time, w *Work, wait time.Duration) bool {
	return w.Begun || !now.Add(wait).After(q.latestStart(w))
}

// expectedWait estimates the time until a request gets a target: the requests ahead of it, at the rate at which this entry's part of
// the capacity becomes free.
func (q *requestQueue) expectedWait(w *Work, capacity targetCapacity) time.Duration {
	return q.waitAtPlace(q.ahead(w)+1, capacity)
}

// ahead is the number of waiting requests that go before a request.
func (q *requestQueue) ahead(w *Work) int {
	return lo.CountBy(q.waiting, func(other Work) bool { return !q.goesBefore(w, &other) })
}

// waitAtPlace estimates the time until the request at a place of the queue, from 1, gets a target; 0 where nothing is known of the
// times that targets take.
func (q *requestQueue) waitAtPlace(place int, capacity targetCapacity) time.Duration {
	rate := capacity.limitedRate
	if mean := q.meanServiceTime(); mean > 0 {
		rate += capacity.slots / mean.Seconds()
	} else if capacity.slots > 0 {
		return 0
	}
	return time.Duration(math.Min(float64(place)/rate, maxExpectedWait.Seconds()) * float64(time.Second))
}

// maxExpectedWait bounds an expected wait, so that it can be added to a time.
const maxExpectedWait = time.Hour

// UsualStart is the time that most targets take from a request to the first event or the whole answer; 0 where nothing is known.
func (p *Placer) UsualStart(w Work) time.Duration { return p.queueOf(w).startLatency.usual() }

// RecordServiceTime records the time that a target took for a whole request with the given work.
func (p *Placer) RecordServiceTime(t *attach.Target, stated, took time.Duration) {
	p.queueOf(Work{Service: t.Service, Model: t.Model}).measured.record(stated, took)
}

// ExpectedServiceTime is the time that a target is expected to take for a request; 0 where nothing is known.
func (p *Placer) ExpectedServiceTime(w Work) time.Duration {
	return p.queueOf(w).expectedServiceTime(w.ServiceTime)
}

// LatestStart is the last time at which a request can be sent and be expected to be answered in its caller's time.
func (p *Placer) LatestStart(w Work) time.Time { return p.queueOf(w).latestStart(&w) }

// InTime reports whether a request that is sent now is expected to be answered in its caller's time.
func (p *Placer) InTime(now time.Time, w Work) bool {
	return now.Before(w.EndBy) && p.queueOf(w).inTime(now, &w, 0)
}

// dropUnservable removes the waiting requests that are no longer expected to be answered in their callers' time, as the capacity
// has changed. They must be submitted again.
func (p *Placer) dropUnservable(now time.Time) []Grant {
	var grants []Grant
	for _, q := range p.queues {
		if len(q.waiting) == 0 {
			continue
		}
		first := q.waiting[0]
		capacity := p.capacity(now, &Work{Service: first.Service, Model: first.Model, Isolated: first.Isolated})
		kept := 0
		q.waiting = slices.DeleteFunc(q.waiting, func(w Work) bool {
			wait, expected := q.waitAtPlace(kept+1, capacity), true
			if capacity.none() {
				var at time.Time
				at, expected = p.nextTarget(now, &w)
				wait = at.Sub(now)
			}
			if w.Begun || expected && q.inTime(now, &w, wait) {
				kept++
				return false
			}
			grants = append(grants, Grant{ID: w.ID})
			return true
		})
	}
	return grants
}
