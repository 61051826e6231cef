package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/masticmount/masticmount/pkg/scheduling"
)

// slot is a request's slot in one group. Its context is canceled when the attempt
// on that group must be aborted.
type slot struct {
	assignment scheduling.Assignment
	ctx        context.Context
	// cancel cancels the context with a cause.
	cancel context.CancelCauseFunc
	// streaming is true while the client gets the stream of this slot; guarded by session.mu.
	streaming bool
	// groupBroke is true once the group broke while the client got the stream; guarded by session.mu.
	groupBroke bool
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
	// no longer preempted. It is guarded by session.mu.
	pinned bool
}

func (s *session) newSlot(parent context.Context, assignment scheduling.Assignment) *slot {
	if !s.machine.Interruptible() {
		ctx, cancel := context.WithCancelCause(s.g.ctx)
		return &slot{assignment: assignment, ctx: ctx, cancel: func(error) {}, stop: func() { cancel(nil) }, answerBegan: func() {}}
	}
	ctx, cancel := context.WithCancelCause(parent)
	sl := &slot{assignment: assignment, ctx: ctx, cancel: cancel, answerBegan: s.g.crashes.watch(&unanswered{contents: s.req.contents, trial: s.trial != "", sent: true, cancel: cancel})}
	unwatch := s.g.monitor.watch(assignment.Group, func(cause error) { s.suspect(sl, cause) })
	sl.stop = sync.OnceFunc(func() {
		unwatch()
		sl.answerBegan()
		cancel(nil)
	})
	if assignment.Preempted != nil {
		go s.watchPreemption(sl)
	}
	return sl
}

func (s *session) watchPreemption(sl *slot) {
	select {
	case <-sl.assignment.Preempted:
		s.preempt(sl)
	case <-sl.ctx.Done():
	}
}

// preempt cancels the attempt, unless its stream cannot be resumed.
func (s *session) preempt(sl *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sl.pinned {
		sl.cancel(errPreempted)
	}
}

// releaseSlot returns the slot to the scheduler with a report of the attempt.
func (s *session) releaseSlot(failed bool) {
	if s.slot != nil {
		s.trialEnded = !s.slot.started.IsZero()
		s.addVerdict(s.slot)
		s.slot.release(failed)
		s.slot = nil
	}
}

// addVerdict has the request wait for the verdict on a slot's attempt before it is sent again.
func (s *session) addVerdict(sl *slot) {
	if sl.verdict != nil {
		s.verdicts = append(s.verdicts, sl.verdict)
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
