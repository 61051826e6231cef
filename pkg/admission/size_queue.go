package admission

import (
	"container/heap"
	"slices"
)

// sizeQueue holds the short or the long requests, by worth in descending order.
type sizeQueue struct {
	levels []*worthLevel
	items  int
}

// worthLevel holds the requests of one worth.
type worthLevel struct {
	worth    int
	tokens   float64
	credit   float64
	accounts []*accountQueue
}

type accountQueue struct {
	name   string
	weight int
	tokens float64
	heap   deadlineHeap
}

func (s *sizeQueue) push(q *Queue, it *Item) {
	lv := s.level(it.Worth)
	a := lv.account(it.Account)
	if a == nil {
		a = &accountQueue{name: it.Account}
		lv.accounts = append(lv.accounts, a)
		q.served[it.Account] = max(q.served[it.Account], lv.leastServed(q))
	}
	a.weight = q.weight(it)
	heap.Push(&a.heap, it)
	s.items++
	lv.tokens += it.Tokens
	a.tokens += it.Tokens
}

// leastServed returns the served work of the account that is furthest behind. A
// new account starts there, so that it is not compensated for time before it had
// requests.
func (lv *worthLevel) leastServed(q *Queue) float64 {
	least := -1.0
	for _, a := range lv.accounts {
		if len(a.heap) == 0 {
			continue
		}
		if s := q.served[a.name]; least < 0 || s < least {
			least = s
		}
	}
	return max(least, 0)
}

func (s *sizeQueue) level(worth int) *worthLevel {
	i, found := slices.BinarySearchFunc(s.levels, worth, func(lv *worthLevel, w int) int { return w - lv.worth })
	if !found {
		s.levels = slices.Insert(s.levels, i, &worthLevel{worth: worth})
	}
	return s.levels[i]
}

func (lv *worthLevel) account(name string) *accountQueue {
	for _, a := range lv.accounts {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (s *sizeQueue) remove(it *Item) {
	lv := s.level(it.Worth)
	a := lv.account(it.Account)
	heap.Remove(&a.heap, it.index)
	s.items--
	lv.tokens -= it.Tokens
	a.tokens -= it.Tokens
	if len(a.heap) == 0 {
		lv.accounts = slices.DeleteFunc(lv.accounts, func(x *accountQueue) bool { return x == a })
	}
	if len(lv.accounts) == 0 {
		s.levels = slices.DeleteFunc(s.levels, func(x *worthLevel) bool { return x == lv })
	}
}

// take removes a request that starts and credits the lower levels that it passed
// over.
func (s *sizeQueue) take(q *Queue, it *Item) {
	if !q.opts.strictWorth {
		s.updateCredits(it)
	}
	s.remove(it)
}

func (s *sizeQueue) updateCredits(it *Item) {
	for _, lv := range s.levels {
		if lv.worth == it.Worth {
			lv.credit = max(0, lv.credit-it.Tokens)
		}
		if lv.worth < it.Worth {
			lv.credit += lowerWorthShare * it.Tokens
		}
	}
}

func (s *sizeQueue) head(q *Queue) *Item {
	if len(s.levels) == 0 {
		return nil
	}
	for _, lv := range s.levels[1:] {
		if it := lv.head(q); lv.credit >= it.Tokens {
			return it
		}
	}
	return s.levels[0].head(q)
}

// head returns the first request of the account that is furthest behind. Resumed
// requests, which have been scheduled before, precede new ones of all accounts.
func (lv *worthLevel) head(q *Queue) *Item {
	best := lv.accounts[0]
	for _, a := range lv.accounts[1:] {
		if a.servedBefore(best, q) {
			best = a
		}
	}
	return best.heap[0]
}

func (a *accountQueue) servedBefore(b *accountQueue, q *Queue) bool {
	x, y := a.heap[0], b.heap[0]
	if x.Resumed || y.Resumed {
		return servedEarlier(x, y)
	}
	return q.served[a.name] < q.served[b.name]
}

func (s *sizeQueue) tokens() float64 {
	sum := 0.0
	for _, lv := range s.levels {
		sum += lv.tokens
	}
	return sum
}

// ahead returns the work of higher worth, plus the work of the same worth that
// fair sharing serves before the request.
func (s *sizeQueue) ahead(q *Queue, it *Item) float64 {
	work := 0.0
	for _, lv := range s.levels {
		if lv.worth > it.Worth {
			work += lv.tokens
		}
		if lv.worth == it.Worth {
			work += lv.workAhead(it, q.weight(it))
		}
	}
	return work
}

// workAhead returns the level's work that runs before a request: the earlier work of
// its own account, and what fair sharing lets other accounts run meanwhile.
func (lv *worthLevel) workAhead(it *Item, weight int) float64 {
	own, resumed, total, weights := 0.0, 0.0, lv.tokens, weight
	for _, a := range lv.accounts {
		if a.name != it.Account {
			weights += a.weight
			resumed += a.resumedAhead(it)
			continue
		}
		for _, other := range a.heap {
			switch {
			case other == it:
				total -= it.Tokens
			case servedEarlier(other, it):
				own += other.Tokens
			}
		}
	}
	if it.Resumed {
		return own + resumed
	}
	return min(total, resumed+own*float64(weights)/float64(weight))
}

// resumedAhead returns the account's resumed work that precedes a request.
func (a *accountQueue) resumedAhead(it *Item) float64 {
	sum := 0.0
	for _, other := range a.heap {
		if other.Resumed && servedEarlier(other, it) {
			sum += other.Tokens
		}
	}
	return sum
}

func (s *sizeQueue) each(ahead float64, visit func(*Item, float64)) {
	for _, lv := range s.levels {
		weights := 0
		for _, a := range lv.accounts {
			weights += a.weight
		}
		for _, a := range lv.accounts {
			a.each(ahead, lv.tokens, float64(weights)/float64(a.weight), visit)
		}
		ahead += lv.tokens
	}
}

func (a *accountQueue) each(ahead, bound, scale float64, visit func(*Item, float64)) {
	sorted := slices.Clone(a.heap)
	slices.SortFunc(sorted, func(x, y *Item) int {
		if servedEarlier(x, y) {
			return -1
		}
		return 1
	})
	own := 0.0
	for _, it := range sorted {
		visit(it, ahead+min(bound-it.Tokens, own*scale))
		own += it.Tokens
	}
}

func servedEarlier(a, b *Item) bool {
	if a.Resumed != b.Resumed {
		return a.Resumed
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

type deadlineHeap []*Item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return servedEarlier(h[i], h[j]) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *deadlineHeap) Push(x any) {
	it, _ := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
