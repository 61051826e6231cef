package gateway

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

// sendHedged makes an attempt and, if its first token or its answer is late, hedges
// it with a second attempt on another group. The first success wins; the other
// attempt is canceled. Only idempotent requests are hedged, and only before any part
// of an answer was delivered.
func (s *session) sendHedged(call dispatch.Call) result {
	primary := s.slot
	hedgeCtx, cancelHedge := context.WithCancel(s.ctx)
	results := make(chan result, 2)
	s.attempts++
	primaryCall := s.addressCall(call, primary, s.attempts)
	go func() {
		results <- s.recovered(primary, func(*result) result { return s.sendUntilFirstToken(primary, primaryCall, 0) })
	}()
	hedgeTimer := time.NewTimer(primary.assignment.HedgeAfter)
	defer hedgeTimer.Stop()
	select {
	case r := <-results:
		cancelHedge()
		return r
	case <-hedgeTimer.C:
	}
	s.attempts++
	number := s.attempts
	request := s.schedulingRequest([]string{primary.assignment.Group.Name})
	request.Hedge = true
	go func() {
		results <- s.acquireAndSend(hedgeCtx, request, call, number, 0)
	}()
	return firstSuccess(primary, results, cancelHedge)
}

// acquireAndSend makes an attempt beside another one and reads a stream up to its first token.
func (s *session) acquireAndSend(ctx context.Context, request scheduling.Request, call dispatch.Call, number, from int) result {
	return s.recovered(nil, func(r *result) result {
		assignment, err := s.g.opts.Scheduler.Acquire(ctx, request)
		if err != nil {
			return result{err: err}
		}
		r.slot = s.newSlot(ctx, assignment)
		return s.sendUntilFirstToken(r.slot, s.addressCall(call, r.slot, number), from)
	})
}

// recovered returns the result of an attempt, or a failure if it panics: it runs in a goroutine of its
// own, where a panic would end the process. The failure has the slot, or the one that the attempt has
// set in its argument.
func (s *session) recovered(sl *slot, attempt func(r *result) result) (r result) {
	failure := result{slot: sl, err: &dispatch.CallError{Reason: dispatch.Failed, Sent: true}}
	defer func() {
		if cause := recover(); cause != nil {
			_ = s.panicError(cause)
			r = failure
		}
	}()
	return attempt(&failure)
}

// succeeded reports whether the attempt has an answer that another attempt need not be awaited
// for: a 5xx is returned only if the other one fails, too.
func (r result) succeeded() bool {
	return r.err == nil && (r.answer == nil || r.answer.Status < http.StatusInternalServerError)
}

// firstSuccess returns the first success of two attempts and cancels the other one.
// The context of a winning hedge stays open until the session ends.
func firstSuccess(primary *slot, results <-chan result, cancelHedge func()) result {
	first := <-results
	if first.succeeded() {
		if first.slot == primary {
			cancelHedge()
		} else {
			primary.stop()
		}
		go func() { discard(<-results) }()
		return first
	}
	second := <-results
	if second.succeeded() || first.err != nil && second.err == nil {
		discard(first)
		return second
	}
	cancelHedge()
	if first.err == nil {
		discard(second)
		return first
	}
	return failureToReport(primary, first, second)
}

// failureToReport selects the failure to report: that of the primary attempt, or
// that of the hedge if only the hedge may have run, so that the outcome is unknown if
// either attempt may have run. The failure keeps its slot, because it is reported for
// that slot's upstream. The other slot is released.
func failureToReport(primary *slot, first, second result) result {
	if first.slot != primary {
		first, second = second, first
	}
	if mayHaveRun(second.err) && !mayHaveRun(first.err) {
		first, second = second, first
	}
	discard(second)
	return first
}

func mayHaveRun(err error) bool {
	callErr, ok := dispatch.CallErrorOf(err)
	return ok && !callErr.NotRun()
}

// discard closes the stream of an unused attempt and releases its slot.
func discard(r result) {
	if r.stream != nil {
		r.stream.Close()
	}
	if r.slot != nil {
		r.slot.release(r.err != nil)
	}
}

// sendUntilFirstToken makes one attempt and reads a stream up to its first token.
func (s *session) sendUntilFirstToken(sl *slot, call dispatch.Call, from int) result {
	r := s.send(sl, call, from)
	for r.stream != nil {
		event, err := r.stream.Next()
		s.recordEvent(sl, err)
		if err != nil {
			r.stream.Close()
			r.stream, r.err = nil, err
			break
		}
		event.Data = bytes.Clone(event.Data)
		r.events = append(r.events, event)
		if event.Token || len(contentOf(event.Data)) > 0 || dispatch.HasFinishReason(event.Data) {
			break
		}
	}
	return r
}
