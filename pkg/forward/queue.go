package forward

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/masticmount/masticmount/pkg/statement"
)

// serviceTimeWeight is the weight of the newest request in the mean service time.
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
	// serviceTime is the mean time that a request occupies its slot.
	serviceTime time.Duration
	// inFlight is the number of this entry's requests in flight.
	inFlight int
	// onTimeAllowance and lateAllowance bound inFlight for requests that can be on time and
	// for late ones.
	onTimeAllowance, lateAllowance allowance
	// lateRate is the rate at which late requests get a target.
	lateRate rate
	// grantRate is the rate at which keepers grant requests to limited targets.
	grantRate rate
	// blocked are the targets with free slots whose stated limits kept the first waiting request
	// from being sent.
	blocked []statement.Incarnation
	// startLatency is the mean time from a send to the first event or the whole answer.
	startLatency time.Duration
}

// goesBefore reports whether a waiting request is served before another one: by priority, and then in the order in which they would
// have ended without a wait. So short work is not held up by long work that came at the same time, and each request is overtaken
// only by those that arrive within its own service time.
func (w *Work) goesBefore(other *Work) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	if w.Late != other.Late {
		return other.Late
	}
	return w.ArrivedAt.Add(w.ServiceTime).Before(other.ArrivedAt.Add(other.ServiceTime))
}

// recordStart updates the mean time that targets take to answer.
func (q *requestQueue) recordStart(took time.Duration) {
	if q.startLatency == 0 {
		q.startLatency = took
	}
	q.startLatency += time.Duration(serviceTimeWeight * float64(took-q.startLatency))
}

// latestSend is the last time at which a request can be sent and be on time; zero where it is
// late already or has no objective.
func (q *requestQueue) latestSend(w *Work) time.Time {
	if w.Late || w.ObjectiveAt.IsZero() {
		return time.Time{}
	}
	return w.ObjectiveAt.Add(-q.startLatency)
}

// missesObjective reports whether a request that waits for a given time cannot be on time any
// more.
func (q *requestQueue) missesObjective(now time.Time, w *Work, wait time.Duration) bool {
	at := q.latestSend(w)
	return !at.IsZero() && now.Add(wait).After(at)
}

// queueOf returns the queue of a request's service and model, and creates it at the first
// request.
func (p *Placer) queueOf(w Work) *requestQueue {
	key := queueKey{w.Service, w.Model, w.Isolated}
	q := p.queues[key]
	if q == nil {
		q = &requestQueue{serviceTime: w.ServiceTime}
		q.onTimeAllowance.carry, q.lateAllowance.carry = p.rand.Float64(), p.rand.Float64()
		p.queues[key] = q
	}
	return q
}

func (q *requestQueue) insert(w Work) {
	at := sort.Search(len(q.waiting), func(i int) bool { return w.goesBefore(&q.waiting[i]) })
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
func (q *requestQueue) recordServed(now time.Time, w *Work) {
	q.serviceTime += time.Duration(serviceTimeWeight * float64(w.ServiceTime-q.serviceTime))
	if w.Late {
		q.lateRate.add(now)
	}
}

// expectedWait estimates the time until a request gets a target: the requests ahead of it, at the rate at which this entry's part of
// the capacity becomes free. Late requests get targets at the rate measured for them.
func (q *requestQueue) expectedWait(now time.Time, w *Work, capacity targetCapacity) time.Duration {
	ahead := 1
	for _, other := range q.waiting {
		if !w.goesBefore(&other) && (other.Late || !w.Late) {
			ahead++
		}
	}
	wait := time.Duration(math.Min(float64(ahead)*float64(q.serviceTime)/capacity.running, float64(maxExpectedWait)))
	if !w.Late {
		return wait
	}
	lateWait := time.Duration(float64(ahead) / max(q.lateRate.at(now), minLateRate) * float64(time.Second))
	if capacity.limited {
		return max(wait, lateWait)
	}
	return lateWait
}

// maxExpectedWait bounds an expected wait, so that it can be added to a time.
const maxExpectedWait = time.Hour

// minLateRate is the least rate, in requests a second, at which an entry is assumed to serve
// late requests: a few must wait to find out when capacity becomes free again.
const minLateRate = 2

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
