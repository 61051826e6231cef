package forward

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/statement"
)

// serviceTimeWeight is the weight of the newest request in the means of measured times.
const serviceTimeWeight = 0.05

// queueKey identifies the requests that compete for the same targets.
type queueKey struct {
	service, model string
	isolated       bool
}

func (k queueKey) compare(other queueKey) int {
	if k.isolated != other.isolated {
		if k.isolated {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.model, other.model))
}

// requestQueue holds the requests that wait for the targets of one service and model.
type requestQueue struct {
	// waiting is ordered by goesBefore, requests of equal order by their submission.
	waiting []Work
	// serviceTime is the mean time that a request occupies its slot, as far as the sizes of requests tell.
	serviceTime time.Duration
	// measured are the times that targets took.
	measured serviceTimes
	// inFlight is the number of this entry's requests in flight.
	inFlight int
	// allowance bounds inFlight.
	allowance allowance
	// grantRate is the rate at which keepers grant requests to limited targets.
	grantRate rate
	// blocked are the targets with free slots whose stated limits kept the first waiting request
	// from being sent.
	blocked []statement.Incarnation
	// startLatency is the time from a send to the first event or the whole answer.
	startLatency latency
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

// goesBefore reports whether a waiting request is served before another one: by priority, and then in the order in which they would
// have ended without a wait. So short work is not held up by long work that came at the same time, and each request is overtaken
// only by those that arrive within its own service time.
func (q *requestQueue) goesBefore(w, other *Work) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	return w.ArrivedAt.Add(q.expectedServiceTime(w.ServiceTime)).Before(other.ArrivedAt.Add(q.expectedServiceTime(other.ServiceTime)))
}

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

// queueOf returns the queue of a request's service and model, and creates it at the first
// request.
func (p *Placer) queueOf(w Work) *requestQueue {
	key := queueKey{w.Service, w.Model, w.Isolated}
	q := p.queues[key]
	if q == nil {
		q = &requestQueue{serviceTime: w.ServiceTime}
		q.allowance.carry = p.rand.Float64()
		p.queues[key] = q
	}
	return q
}

func (q *requestQueue) insert(w Work) {
	at := sort.Search(len(q.waiting), func(i int) bool { return q.goesBefore(&w, &q.waiting[i]) })
	q.waiting = slices.Insert(q.waiting, at, w)
}

func (q *requestQueue) remove(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(w Work) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// recordServed counts a request that got a target, and updates the mean service time.
func (q *requestQueue) recordServed(w *Work) {
	q.serviceTime += time.Duration(serviceTimeWeight * float64(w.ServiceTime-q.serviceTime))
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

// rateDecay is the time constant with which a rate decays.
const rateDecay = time.Second

// rate is an exponentially decaying count of events a second.
type rate struct {
	sum       float64
	updatedAt time.Time
}

// at returns the rate at a time.
func (r *rate) at(now time.Time) float64 {
	return r.sum * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateDecay.Seconds()) / rateDecay.Seconds()
}

// add counts an event.
func (r *rate) add(now time.Time) {
	r.sum, r.updatedAt = r.at(now)*rateDecay.Seconds()+1, now
}
