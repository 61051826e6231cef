// Package admission provides the bounded queue of requests that wait for a group.
// It orders them by size (short before long), worth, fair share of the client
// account and deadline. It reads no clock and never blocks.
package admission

import "time"

const (
	// LongShare is the minimum share of the work for long requests while both short
	// and long ones wait.
	LongShare = 0.3
	// lowerWorthShare is the minimum share of the work for requests of a lower worth
	// while requests of a higher worth wait.
	lowerWorthShare = 0.02
)

// Item is one waiting request.
type Item struct {
	ID       uint64
	Account  string
	Weight   int
	Worth    int
	Deadline time.Time
	// Tokens is the expected work in tokens.
	Tokens float64
	// Long puts the request into the queue for long requests.
	Long bool
	// Resumed puts the request before others of its worth and keeps it from being
	// evicted: its client has a part of the answer.
	Resumed bool

	sequence uint64
	index    int
}

// Options configure a Queue.
type Options struct {
	// Limit bounds the number of waiting requests.
	Limit int
	// strictWorth lets higher worth starve lower; only tests set it.
	strictWorth bool
	// ignoreWeights gives all accounts the same weight; only tests set it.
	ignoreWeights bool
}

// Queue orders waiting requests.
type Queue struct {
	opts  Options
	items map[uint64]*Item
	short sizeQueue
	long  sizeQueue
	// longCredit is the work in tokens that long requests may start before the next
	// short one.
	longCredit float64
	// served is the started work of each account divided by its weight.
	served   map[string]float64
	sequence uint64
}

// New returns an empty queue.
func New(opts Options) *Queue {
	return &Queue{opts: opts, items: map[uint64]*Item{}, served: map[string]float64{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// LenShort returns the number of waiting short requests.
func (q *Queue) LenShort() int { return q.short.items }

// Push adds a request. A full queue evicts the request of the lowest worth with the
// latest deadline, which may be the new one, and returns it. Resumed requests are not
// evicted and are added above the limit if all others are resumed, too.
func (q *Queue) Push(it *Item) (refused *Item) {
	if len(q.items) >= q.opts.Limit {
		refused = q.evictionCandidate(it)
		if refused == it {
			return it
		}
		if refused != nil {
			q.Remove(refused.ID)
		}
	}
	q.sequence++
	it.sequence = q.sequence
	q.items[it.ID] = it
	q.sizeQueueOf(it).push(q, it)
	return refused
}

// Remove removes a request that will not run.
func (q *Queue) Remove(id uint64) *Item {
	it := q.items[id]
	if it == nil {
		return nil
	}
	delete(q.items, id)
	q.sizeQueueOf(it).remove(it)
	q.resetWhenEmpty()
	return it
}

// Head returns the next short or the next long request, or nil.
func (q *Queue) Head(long bool) *Item {
	if long {
		return q.long.head(q)
	}
	return q.short.head(q)
}

// LongFirst reports whether a long request is next: its share is due, or no short
// request waits.
func (q *Queue) LongFirst() bool {
	head := q.long.head(q)
	return head != nil && (q.short.items == 0 || q.longCredit >= head.Tokens)
}

// Take removes a request that starts and charges its account.
func (q *Queue) Take(it *Item) {
	delete(q.items, it.ID)
	q.served[it.Account] += it.Tokens / float64(q.weight(it))
	switch {
	case it.Long:
		q.longCredit = max(0, q.longCredit-it.Tokens)
	case q.long.items > 0:
		q.longCredit += it.Tokens * LongShare / (1 - LongShare)
	}
	q.sizeQueueOf(it).take(q, it)
	q.resetWhenEmpty()
}

// Ahead returns the work in tokens that would run before a request, whether or not
// the request is queued.
func (q *Queue) Ahead(it *Item) float64 {
	work := q.sizeQueueOf(it).ahead(q, it)
	if it.Long {
		work += q.short.tokens()
	}
	return work
}

// Each calls visit with each waiting request and the work ahead of it, in an order
// that depends only on the queue.
func (q *Queue) Each(visit func(it *Item, ahead float64)) {
	q.short.each(0, visit)
	q.long.each(q.short.tokens(), visit)
}

func (q *Queue) weight(it *Item) int {
	if q.opts.ignoreWeights {
		return 1
	}
	return max(it.Weight, 1)
}

func (q *Queue) sizeQueueOf(it *Item) *sizeQueue {
	if it.Long {
		return &q.long
	}
	return &q.short
}

// evictionCandidate returns the request to evict from a full queue for an arriving
// one, which may be the arriving one itself, or nil if all are resumed.
func (q *Queue) evictionCandidate(arriving *Item) *Item {
	var victim *Item
	if !arriving.Resumed {
		victim = arriving
	}
	for _, s := range []*sizeQueue{&q.long, &q.short} {
		if candidate := s.evictionCandidate(); candidate != nil && (victim == nil || evictedBefore(candidate, victim)) {
			victim = candidate
		}
	}
	return victim
}

// evictionCandidate returns the request to evict, or nil if all are resumed.
func (s *sizeQueue) evictionCandidate() (victim *Item) {
	for i := len(s.levels) - 1; i >= 0 && victim == nil; i-- {
		for _, a := range s.levels[i].accounts {
			for _, candidate := range a.heap {
				if !candidate.Resumed && (victim == nil || evictedBefore(candidate, victim)) {
					victim = candidate
				}
			}
		}
	}
	return victim
}

func evictedBefore(a, b *Item) bool {
	if a.Worth != b.Worth {
		return a.Worth < b.Worth
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.After(b.Deadline)
	}
	return a.sequence > b.sequence
}

// resetWhenEmpty resets the shares once the queue is empty, so that the number of
// accounts stays bounded and idle time earns no credit.
func (q *Queue) resetWhenEmpty() {
	if len(q.items) == 0 {
		clear(q.served)
		q.longCredit = 0
	}
}
