package fakes

import (
	"context"
	"sort"
	"sync"
)

// batch is an engine's continuous batch: requests join while there are free slots
// and enough KV cache, by priority and then in order of arrival. A waiting request
// joins as soon as another leaves.
type batch struct {
	mu      sync.Mutex
	slots   int
	kv      int
	running int
	kvUsed  int
	arrived uint64
	waiting []*ticket
}

// ticket is one request in the batch or in its queue.
type ticket struct {
	priority int
	arrival  uint64
	kv       int
	joined   chan struct{}
}

func newBatch(slots, kv int) *batch { return &batch{slots: slots, kv: kv} }

// join waits for a slot and for kv tokens of KV cache. It reports false when ctx
// ends first.
func (b *batch) join(ctx context.Context, priority, kv int) (leave func(), ok bool) {
	t := b.enqueue(priority, min(kv, b.kv))
	select {
	case <-t.joined:
		return sync.OnceFunc(func() { b.leave(t) }), true
	case <-ctx.Done():
		b.abandon(t)
		return nil, false
	}
}

func (b *batch) enqueue(priority, kv int) *ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived++
	t := &ticket{priority: priority, arrival: b.arrived, kv: kv, joined: make(chan struct{})}
	b.waiting = append(b.waiting, t)
	sort.SliceStable(b.waiting, func(i, j int) bool { return b.waiting[i].priority < b.waiting[j].priority })
	b.admit()
	return t
}

func (b *batch) admit() {
	for len(b.waiting) > 0 && b.running < b.slots && b.kvUsed+b.waiting[0].kv <= b.kv {
		t := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.running++
		b.kvUsed += t.kv
		close(t.joined)
	}
}

func (b *batch) leave(t *ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.kvUsed -= t.kv
	b.admit()
}

// abandon removes a ticket, also when it joined concurrently.
func (b *batch) abandon(t *ticket) {
	b.mu.Lock()
	for i, w := range b.waiting {
		if w == t {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			b.mu.Unlock()
			return
		}
	}
	b.mu.Unlock()
	b.leave(t)
}

// load returns the numbers of running and waiting requests and the used fraction
// of the KV cache.
func (b *batch) load() (running, waiting int, kvUsed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting), float64(b.kvUsed) / float64(b.kv)
}
