package admission

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

// FIFO is a first-in, first-out queue with a bound on the requests in flight. It is
// the baseline for comparison.
type FIFO struct {
	slots   chan struct{}
	waiting chan struct{}
}

// NewFIFO returns a queue that admits up to inFlight running and maxWaiting
// waiting requests.
func NewFIFO(inFlight, maxWaiting int) *FIFO {
	return &FIFO{slots: make(chan struct{}, inFlight), waiting: make(chan struct{}, maxWaiting)}
}

// Admit waits until the request may start. The caller must call release once when
// the request has ended.
func (q *FIFO) Admit(ctx context.Context, deadline time.Time) (release func(), err error) {
	select {
	case q.waiting <- struct{}{}:
	default:
		return nil, fault.New(fault.Overloaded, "retry after the time given", "the queue is full").WithRetryAfter(fault.MinRetryAfter)
	}
	defer func() { <-q.waiting }()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case q.slots <- struct{}{}:
		return func() { <-q.slots }, nil
	case <-ctx.Done():
		return nil, fault.New(fault.DeadlinePassed, "retry, or allow more time", "the deadline passed in the queue").WithRetryAfter(fault.MinRetryAfter)
	}
}
