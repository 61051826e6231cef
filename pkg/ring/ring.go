// Package ring provides bounded queues between goroutines. The overflow policy of each
// ring defines what happens when it is full.
package ring

import (
	"context"
	"sync/atomic"
)

// Overflow is the policy of Push when the ring is full.
type Overflow int

const (
	// RejectNew rejects the new item; Push returns false.
	RejectNew Overflow = iota
	// DropOldest evicts the oldest item.
	DropOldest
)

// Ring is a bounded first-in first-out queue, safe for any number of goroutines.
type Ring[T any] struct {
	items    chan T
	overflow Overflow
	dropped  atomic.Uint64
}

// New returns a ring that holds up to size items.
func New[T any](size int, overflow Overflow) *Ring[T] {
	return &Ring[T]{items: make(chan T, size), overflow: overflow}
}

// Push adds an item according to the overflow policy and reports whether it was added.
func (r *Ring[T]) Push(item T) bool {
	for {
		select {
		case r.items <- item:
			return true
		default:
		}
		if r.overflow == RejectNew {
			r.dropped.Add(1)
			return false
		}
		select {
		case <-r.items:
			r.dropped.Add(1)
		default:
		}
	}
}

// Pop waits for the next item. ok is false if ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (item T, ok bool) {
	select {
	case item = <-r.items:
		return item, true
	case <-ctx.Done():
		return item, false
	}
}

// Chan returns the receive channel, for select statements.
func (r *Ring[T]) Chan() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Dropped returns the number of items that were rejected or evicted.
func (r *Ring[T]) Dropped() uint64 { return r.dropped.Load() }
