// Package scheduling decides when and where a request runs: admission and
// routing behind one interface. Core is the deterministic state machine, Weighted
// runs it for concurrent callers, and Baseline is a simple scheduler for comparison.
package scheduling

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/state"
)

// Request describes a request to the scheduler.
type Request struct {
	routing.Request
	Route *state.Route
	// Worth orders requests at overload; higher is served first.
	Worth int
	// Weight is the weight of the client account in sharing capacity.
	Weight int
	// Deadline is the time after which the response is of no use.
	Deadline time.Time
	// Size is the maximum number of tokens requested.
	Size int
	// Resumed is the number of tokens that the caller already has; generation
	// continues after them.
	Resumed int
	// Resumable reports whether the request may be cancelled and resumed elsewhere.
	Resumable bool
	// Hedge marks a second copy of a request that is still running. It is refused
	// if the retry budget is exhausted or it cannot start immediately.
	Hedge bool
}

// Report is the result of a request; the scheduler learns from it.
type Report struct {
	// Failed is true if the group gave no complete response.
	Failed bool
	// FirstToken is the time to first token; 0 if there was none.
	FirstToken time.Duration
	// Duration is the time from dispatch to the end.
	Duration time.Duration
	Tokens   int
}

// Assignment admits one request to one group.
type Assignment struct {
	Group *domain.Group
	// Priority is the engine priority; lower runs first.
	Priority int
	// Preempted is closed when the request must be cancelled on its group and
	// scheduled again; nil if the request cannot be preempted.
	Preempted <-chan struct{}
	// HedgeAfter is the time to wait for the first token before a second copy of
	// an idempotent request may be tried with Request.Hedge; 0 means no hedge.
	HedgeAfter time.Duration
	// Release releases the slot; it must be called exactly once.
	Release func(Report)
}

// Scheduler decides when and where requests run.
type Scheduler interface {
	// Acquire waits until the request may start. It immediately refuses a request
	// that cannot meet its deadline.
	Acquire(ctx context.Context, req Request) (Assignment, error)
	// Run does the scheduler's background work until ctx ends.
	Run(ctx context.Context)
}
