package forward

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

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

// goesBefore reports whether a waiting request is served before another one: by priority, and then in the order in which they would
// have ended without a wait. So short work is not held up by long work that came at the same time, and each request is overtaken
// only by those that arrive within its own service time.
func (q *requestQueue) goesBefore(w, other *Work) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	return w.ArrivedAt.Add(q.expectedServiceTime(w.ServiceTime)).Before(other.ArrivedAt.Add(q.expectedServiceTime(other.ServiceTime)))
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
