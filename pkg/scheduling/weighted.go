package scheduling

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/ring"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// reviewInterval is the time between re-evaluations of the queues and the view
	// while requests wait; idleInterval applies while none does.
	reviewInterval = 50 * time.Millisecond
	idleInterval   = time.Second
	// submitRingSize bounds the requests that have not reached the core yet; excess
	// requests are refused.
	submitRingSize = 1024
	// maxRequests bounds the waiting and running requests. Each request is completed
	// once, so a ring of completions of this size never overflows.
	maxRequests = 16384
)

// WeightedOptions configure a Weighted scheduler.
type WeightedOptions struct {
	Core Options
	View func() *domain.View
	// Metrics may be nil.
	Metrics *telemetry.Registry
	Log     zerolog.Logger
}

// Weighted runs a Core for concurrent callers: one goroutine owns the core, and
// callers wait in Acquire.
type Weighted struct {
	opts        WeightedOptions
	core        *Core
	submits     *ring.Ring[*waiter]
	completions *ring.Ring[completion]
	lastID      atomic.Uint64
	requests    atomic.Int64
	stopped     chan struct{}
	// waiters and view are accessed only by Run's goroutine.
	waiters map[ID]*waiter
	view    *domain.View
}

// waiter is one call of Acquire. Once it is in the ring, only Run's goroutine
// accesses it, except for the channels and the request.
type waiter struct {
	id           ID
	request      Request
	decision     chan Action
	preempted    chan struct{}
	started      bool
	disconnected bool
}

// completion ends a request: by a client disconnect or by a report.
type completion struct {
	waiter       *waiter
	disconnected bool
	report       Report
}

// NewWeighted returns a scheduler; requests start only while Run is running.
func NewWeighted(opts WeightedOptions) *Weighted {
	return &Weighted{
		opts: opts, core: NewCore(opts.Core),
		submits:     ring.New[*waiter](submitRingSize, ring.RejectNew),
		completions: ring.New[completion](maxRequests, ring.RejectNew),
		stopped:     make(chan struct{}), waiters: map[ID]*waiter{},
	}
}

// Acquire implements Scheduler.
func (w *Weighted) Acquire(ctx context.Context, req Request) (Assignment, error) {
	if w.requests.Add(1) > maxRequests {
		w.requests.Add(-1)
		return Assignment{}, tooManyRequestsError()
	}
	caller := &waiter{
		id: ID(w.lastID.Add(1)), request: req, decision: make(chan Action, 1), preempted: make(chan struct{}),
	}
	if !w.submits.Push(caller) {
		w.requests.Add(-1)
		return Assignment{}, tooManyRequestsError()
	}
	select {
	case action := <-caller.decision:
		return w.assignment(caller, action)
	case <-ctx.Done():
		w.completions.Push(completion{waiter: caller, disconnected: true})
		return Assignment{}, fault.New(fault.DeadlinePassed, "retry, or allow more time",
			"the client disconnected or the deadline passed in the queue").WithCause(ctx.Err())
	case <-w.stopped:
		return Assignment{}, stoppingError()
	}
}

func (w *Weighted) assignment(caller *waiter, action Action) (Assignment, error) {
	switch a := action.(type) {
	case Start:
		assignment := Assignment{Group: a.Group, Priority: a.Priority, HedgeAfter: a.HedgeAfter}
		if a.Preemptible {
			assignment.Preempted = caller.preempted
		}
		assignment.Release = func(r Report) { w.completions.Push(completion{waiter: caller, report: r}) }
		return assignment, nil
	case Refuse:
		return Assignment{}, a.Err
	default:
		return Assignment{}, fault.From(nil)
	}
}

// Run implements Scheduler.
func (w *Weighted) Run(ctx context.Context) {
	defer close(w.stopped)
	interval := idleInterval
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		if wanted := w.interval(); wanted != interval {
			interval = wanted
			tick.Reset(interval)
		}
		select {
		case caller := <-w.submits.Chan():
			w.submit(caller)
		case done := <-w.completions.Chan():
			w.complete(done)
		case <-tick.C:
			w.tick()
		case <-ctx.Done():
			return
		}
	}
}

// interval returns the time until the next re-evaluation. A changed view matters
// only to waiting requests: each event loads the latest view anyway.
func (w *Weighted) interval() time.Duration {
	if w.core.Waiting() > 0 {
		return reviewInterval
	}
	return idleInterval
}

func (w *Weighted) submit(caller *waiter) {
	if caller.disconnected {
		w.requests.Add(-1)
		return
	}
	w.waiters[caller.id] = caller
	w.step(Submit{ID: caller.id, Request: caller.request})
}

func (w *Weighted) complete(done completion) {
	caller := done.waiter
	if _, known := w.waiters[caller.id]; !known {
		// The client disconnected before its request was taken from the ring, or
		// while it was being refused.
		caller.disconnected = true
		return
	}
	delete(w.waiters, caller.id)
	w.requests.Add(-1)
	if done.disconnected && !caller.started {
		w.step(Disconnect{caller.id})
		return
	}
	w.step(Finish{ID: caller.id, Report: done.report})
}

func (w *Weighted) tick() {
	w.step(Tick{})
	if m := w.opts.Metrics; m != nil {
		m.Set("scheduling.waiting", int64(w.core.Waiting()))
		m.Set("scheduling.running", int64(w.core.Running()))
	}
}

// step passes a changed view to the core, then the event.
func (w *Weighted) step(event Event) {
	now := time.Now()
	if view := w.opts.View(); view != w.view {
		w.view = view
		w.execute(w.core.Step(now, ViewChanged{view}))
	}
	w.execute(w.core.Step(now, event))
}

func (w *Weighted) execute(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			caller := w.waiters[a.ID]
			caller.started = true
			caller.decision <- a
			w.count("scheduling.started")
		case Refuse:
			w.refuse(a)
		case Preempt:
			close(w.waiters[a.ID].preempted)
			w.count("scheduling.preempted")
		}
	}
}

func (w *Weighted) refuse(a Refuse) {
	caller := w.waiters[a.ID]
	delete(w.waiters, a.ID)
	w.requests.Add(-1)
	caller.decision <- a
	w.count("scheduling.refused." + string(a.Err.Kind))
	w.opts.Log.Debug().Str("account", caller.request.Account).Str("kind", string(a.Err.Kind)).
		Dur("retry_after", a.Err.RetryAfter).Msg("request_not_scheduled")
}

func (w *Weighted) count(counter string) {
	if m := w.opts.Metrics; m != nil {
		m.Add(counter, 1)
	}
}

func tooManyRequestsError() *fault.Error {
	return fault.New(fault.Overloaded, "retry after the time given; operators: add entries",
		"this entry holds %d requests", maxRequests).WithRetryAfter(fault.MinRetryAfter)
}

func stoppingError() *fault.Error {
	return fault.New(fault.Stopping, "retry through another entry", "this entry is stopping").WithRetryAfter(fault.MinRetryAfter)
}
