package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticmount/masticmount/pkg/scheduling"
)

// slot is a request's slot in one group. Its context is canceled when the attempt
// on that group must be aborted.
type slot struct {
	assignment scheduling.Assignment
	ctx        context.Context
	// stop cancels the context and stops the monitoring of the group.
	stop func()
	// started is the time of the dispatch; zero before.
	started time.Time
	// events is the number of events read from the stream.
	events int
	// answerBegan ends the cancellation of the attempt when its content is quarantined.
	answerBegan func()
	// endIsolation lets the next suspect of the route go; nil for other requests.
	endIsolation func()
	// verdict is closed when it is known whether the upstream ended under the attempt; nil if
	// that is not in question.
	verdict    <-chan struct{}
	firstToken time.Duration
	tokens     int
	// pinned is true once the stream cannot be resumed on another group; it is then
	// no longer preempted.
	pinned atomic.Bool
}

func (s *session) newSlot(parent context.Context, assignment scheduling.Assignment) *slot {
	if !s.machine.Interruptible() {
		return &slot{assignment: assignment, ctx: context.Background(), stop: func() {}, answerBegan: func() {}}
	}
	ctx, cancel := context.WithCancelCause(parent)
	unwatch := s.g.monitor.watch(assignment.Group, cancel)
	answerBegan := s.g.crashes.watch(s.req.contents, cancel)
	sl := &slot{assignment: assignment, ctx: ctx, answerBegan: answerBegan, stop: sync.OnceFunc(func() {
		unwatch()
		answerBegan()
		cancel(nil)
	})}
	if assignment.Preempted != nil {
		go sl.watchPreemption(cancel)
	}
	return sl
}

func (sl *slot) watchPreemption(cancel context.CancelCauseFunc) {
	select {
	case <-sl.assignment.Preempted:
		if !sl.pinned.Load() {
			cancel(errPreempted)
		}
	case <-sl.ctx.Done():
	}
}

// releaseSlot returns the slot to the scheduler with a report of the attempt.
func (s *session) releaseSlot(failed bool) {
	if s.slot != nil {
		s.verdict = s.slot.verdict
		s.slot.release(failed)
		s.slot = nil
	}
}

func (sl *slot) release(failed bool) {
	sl.stop()
	switch {
	case sl.endIsolation == nil:
	case sl.verdict == nil:
		sl.endIsolation()
	default:
		go func() {
			<-sl.verdict
			sl.endIsolation()
		}()
	}
	report := scheduling.Report{Failed: failed, FirstToken: sl.firstToken, Tokens: sl.tokens}
	if !sl.started.IsZero() {
		report.Duration = time.Since(sl.started)
	}
	sl.assignment.Release(report)
}
