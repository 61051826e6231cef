package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/gateway/attempt"
	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

const (
	// maxAttempts limits the attempts of a request, see attempt.Request.
	maxAttempts = 3
	// stallTimeout is the gap between events after which a stream counts as silent.
	stallTimeout = 5 * time.Second
)

// session is the life cycle of one request. It passes events to the request's
// attempt.Machine and executes the resulting actions. It is used by one goroutine
// at a time, except for suspect and the successor.
type session struct {
	g   *Gateway
	req *request
	// mu guards the steps of machine, and successor, attempts, replay, slot.streaming and slot.groupBroke.
	mu      sync.Mutex
	machine *attempt.Machine
	// ctx is canceled with errClientDisconnected when the client disconnects.
	// Attempts that are not interruptible do not depend on it.
	ctx     context.Context
	cancel  context.CancelCauseFunc
	untrack func()
	// numbered is true for streams that can be resumed after a token.
	numbered bool

	releaseLimit func()
	slot         *slot
	// verdicts are those of the attempts since the request was last sent.
	verdicts []<-chan struct{}
	attempts int
	stream   *dispatch.Stream
	// successor runs beside the attempt of slot; nil if there is none.
	successor *successor
	// adopted is the result of a successor that becomes the running attempt.
	adopted result
	// completed is a stream that ended with [DONE]. It is closed after the client got
	// the end of the stream, because closing waits for the last chunk.
	completed *dispatch.Stream
	// buffered holds events of the stream that were read ahead.
	buffered []dispatch.Event
	replay   replay
	timings  timings

	// answer, refusal and discarded hold the result of the request.
	answer    *dispatch.BufferedResponse
	refusal   *fault.Error
	discarded bool
	// trial is the quarantined content as whose trial the request is sent; trialEnded is true once that attempt has ended.
	trial      string
	trialEnded bool
	// confirming is that content if a crash confirms the evidence against it.
	confirming string
	// finding is the evidence on which the request was refused.
	finding *quarantine.Finding
}

func newSession(g *Gateway, req *request, untrack func()) *session {
	ctx, cancel := context.WithCancelCause(g.ctx)
	numbered := req.streamed() && req.chat.Choices <= 1
	return &session{
		g: g, req: req, ctx: ctx, cancel: cancel, untrack: untrack, timings: g.newTimings(req), numbered: numbered,
		machine: attempt.New(attempt.Request{
			Idempotent: !req.route.Spec.NonIdempotent, Numbered: numbered, MaxAttempts: maxAttempts,
		}),
	}
}

// start checks the client account's limits and runs the request until it has ended
// or a stream is open.
func (s *session) start() {
	releaseLimit, err := s.g.opts.Limiter.Acquire(s.req.account, time.Now())
	if err != nil {
		s.refusal = fault.From(err)
		return
	}
	s.releaseLimit = releaseLimit
	if s.req.clientConn != nil {
		s.req.clientConn.Watch(func() { s.cancel(errClientDisconnected) })
	}
	s.run(attempt.Arrived{})
}

// close releases all resources of the request after its response was written.
func (s *session) close() {
	if s.req.clientConn != nil {
		s.req.clientConn.Unwatch()
	}
	s.closeAttempt()
	s.releaseSlot(false)
	s.cancelSuccessor()
	if s.completed != nil {
		s.completed.Close()
	}
	if s.releaseLimit != nil {
		s.releaseLimit()
	}
	s.cancel(nil)
	s.recordEnd()
	s.untrack()
}

// run passes an event and the events that follow from it to the state machine,
// until the request has ended or a stream is open.
func (s *session) run(event attempt.Event) {
	for event != nil {
		var next attempt.Event
		for _, action := range s.step(event) {
			if e := s.execute(action); e != nil {
				next = e
			}
		}
		event = next
	}
}

func (s *session) step(event attempt.Event) []attempt.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Step(event)
}

func (s *session) execute(action attempt.Action) attempt.Event {
	switch a := action.(type) {
	case attempt.Claim:
		return s.claim()
	case attempt.Acquire:
		return s.acquire(a)
	case attempt.Dispatch:
		return s.dispatch(a)
	case attempt.Cancel:
		s.closeAttempt()
	case attempt.Release:
		s.releaseSlot(a.Failed)
	case attempt.Settle:
		s.settle(a.To)
	case attempt.Refuse:
		s.answer, s.refusal = nil, a.Err
	case attempt.Discard:
		s.discarded = true
	case attempt.AwaitSuccessor:
		return s.awaitSuccessor()
	case attempt.AdoptSuccessor:
		s.adoptSuccessor()
	case attempt.CancelSuccessor:
		s.cancelSuccessor()
	case attempt.Answer, attempt.StartSuccessor:
		// suspect carries StartSuccessor out.
	}
	return nil
}

// acquire requests a slot from the scheduler.
func (s *session) acquire(a attempt.Acquire) attempt.Event {
	start := time.Now()
	request := s.schedulingRequest(a.Exclude)
	request.Resumed = a.Resumed
	endIsolation, refusal := s.isolateSuspect(&request)
	if refusal != nil {
		return refusal
	}
	assignment, err := s.awaitSlot(s.ctx, request)
	s.timings.queued += time.Since(start)
	if err == nil {
		s.slot = s.newSlot(s.ctx, assignment)
		s.slot.endIsolation = endIsolation
	} else if endIsolation != nil {
		endIsolation()
	}
	if s.disconnected() {
		s.releaseSlot(false)
		return attempt.ClientDisconnected{}
	}
	if s.stopping() {
		s.releaseSlot(false)
		return attempt.SlotRefused{Err: stoppingError().WithCause(err)}
	}
	if refusal := s.refusedForContent(); refusal != nil {
		s.releaseSlot(false)
		return refusal
	}
	if err != nil {
		return attempt.SlotRefused{Err: fault.From(err)}
	}
	return attempt.SlotAssigned{Group: assignment.Group.Name}
}

// awaitSlot waits for a slot, until the request's content is quarantined.
func (s *session) awaitSlot(ctx context.Context, request scheduling.Request) (scheduling.Assignment, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.g.crashes.watch(&unanswered{contents: s.req.contents, trial: s.trial != "", cancel: cancel})()
	return s.g.opts.Scheduler.Acquire(ctx, request)
}

func (s *session) schedulingRequest(exclude []string) scheduling.Request {
	account := s.g.opts.Config().Accounts[s.req.account]
	routed := s.req.routing
	routed.Exclude = exclude
	return scheduling.Request{
		Request: routed, Route: s.req.route, Worth: account.Worth + s.req.route.Spec.Worth, Weight: account.Weight,
		Deadline: s.req.deadline, Size: s.req.size, Resumable: s.numbered,
	}
}

// stopping reports whether the requests in flight are being refused.
func (s *session) stopping() bool { return s.g.ctx.Err() != nil }

func (s *session) disconnected() bool { return errors.Is(context.Cause(s.ctx), errClientDisconnected) }

// dispatch sends the request to its group. It returns nil after a stream was
// opened; the events of the stream are read later.
func (s *session) dispatch(a attempt.Dispatch) attempt.Event {
	call, err := s.buildCall(&s.replay, a.ResumeFrom)
	if err != nil {
		return attempt.Failed{Err: fault.From(err), NotRun: true, Final: true}
	}
	var r result
	if s.slot.assignment.HedgeAfter > 0 && s.slot.endIsolation == nil && a.ResumeFrom == 0 && s.machine.Interruptible() {
		r = s.sendHedged(call)
	} else {
		s.attempts++
		r = s.send(s.slot, s.addressCall(call, s.slot, s.attempts), a.ResumeFrom)
	}
	return s.handleResult(r)
}

// handleResult stores the result of an attempt and returns its event.
func (s *session) handleResult(r result) attempt.Event {
	s.slot = r.slot
	if r.err != nil {
		return s.failureEvent(r.err)
	}
	if r.stream != nil {
		s.openStream(r)
		return nil
	}
	if cause := s.interruptionEvent(); cause != nil && !keepsAnswer(cause, r.answer) {
		return cause
	}
	if s.req.streamed() && s.replay.started {
		return s.failureEvent(&dispatch.CallError{Reason: dispatch.Malformed, Address: r.address, Sent: true})
	}
	if s.req.chat != nil && !s.req.chat.Stream && r.answer.Status == okStatus && !dispatch.HasFinishReason(r.answer.Body) {
		return s.failureEvent(&dispatch.CallError{Reason: dispatch.Truncated, Address: r.address, Sent: true})
	}
	s.answer = r.answer
	return attempt.Answered{}
}

// keepsAnswer reports whether an answer that has arrived is returned although its attempt was
// interrupted. A 5xx may be the consequence of the interruption.
func keepsAnswer(cause attempt.Event, answer *dispatch.BufferedResponse) bool {
	_, disconnected := cause.(attempt.ClientDisconnected)
	return !disconnected && answer.Status < http.StatusInternalServerError
}

// openStream makes the stream of a result the one that the client gets.
func (s *session) openStream(r result) {
	s.stream, s.buffered = r.stream, r.events
	s.mu.Lock()
	r.slot.streaming = true
	s.mu.Unlock()
	r.stream.OnStall(func() { s.stalled(r.slot) })
}

// markStreamEnded makes doubts about the slot's stream that come late have no effect.
func (s *session) markStreamEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slot.streaming = false
}

// result is the result of one attempt.
type result struct {
	slot    *slot
	address string
	answer  *dispatch.BufferedResponse
	stream  *dispatch.Stream
	// events holds the stream's events up to its first token, if they were read.
	events []dispatch.Event
	err    error
}

// send makes one attempt. It reads only immutable fields of the session, so that
// two attempts can run concurrently.
func (s *session) send(sl *slot, call dispatch.Call, from int) result {
	r := result{slot: sl, address: call.Address}
	if wait, admitted := s.g.limits.admit(call.Upstream); !admitted {
		r.err = limitError(call.Address, wait)
		return r
	}
	sl.started = time.Now()
	if s.req.streamed() {
		r.stream, r.answer, r.err = s.g.opts.Client.OpenStream(sl.ctx, call, from)
	} else {
		r.answer, r.err = s.g.opts.Client.Do(sl.ctx, call)
	}
	if r.answer != nil {
		s.recordSuccess(sl)
	}
	if r.err != nil {
		s.recordFailure(sl, r.err)
	}
	return r
}

// buildCall builds the part of a call that does not depend on the group. The call resumes a stream
// after the delivered part.
func (s *session) buildCall(delivered *replay, resumeFrom int) (dispatch.Call, error) {
	call := s.req.call
	if s.numbered {
		call.StallTimeout = s.g.stallTimeout
	}
	if resumeFrom == 0 {
		return call, nil
	}
	body, err := delivered.resumeBody(s.req.call.Body, s.req.chat)
	call.Body = body
	call.Headers = lo.Assign(call.Headers, map[string]string{dispatch.HeaderResumeFrom: strconv.Itoa(resumeFrom)})
	return call, err
}

// addressCall returns the call with the address and headers of a slot's group. Each
// attempt has its own identifier, so that a late answer is never matched to another
// attempt.
func (s *session) addressCall(call dispatch.Call, sl *slot, number int) dispatch.Call {
	group := sl.assignment.Group
	call.RequestID = s.req.id + "." + strconv.Itoa(number)
	call.Address, call.Upstream = group.Address(), headOf(group)
	call.Headers = lo.Assign(call.Headers, map[string]string{
		dispatch.HeaderGroup:      group.Name,
		dispatch.HeaderGeneration: strconv.FormatUint(group.Generation, 10),
		dispatch.HeaderPriority:   strconv.Itoa(sl.assignment.Priority),
	})
	return call
}

// failureEvent returns the event for the error of an attempt.
func (s *session) failureEvent(err error) attempt.Event {
	callErr, ok := dispatch.CallErrorOf(err)
	if !ok {
		return attempt.Failed{Err: fault.From(err), Final: true}
	}
	if callErr.Reason == dispatch.Canceled {
		if cause := s.interruptionEvent(); cause != nil {
			return s.cancellationEvent(callErr, cause)
		}
		if s.stopping() {
			return attempt.Failed{Err: stoppingError().WithCause(callErr), NotRun: callErr.NotRun(), Final: true}
		}
	}
	s.reportFailure(s.slot, callErr)
	callerFault := faultOfCall(callErr)
	final := callErr.Reason == dispatch.TimedOut || !time.Now().Before(s.req.deadline)
	return attempt.Failed{Err: callerFault, NotRun: callErr.NotRun(), Final: final}
}

// cancellationEvent returns the event of a canceled attempt. If no byte was sent and
// the client is still connected, it is a failure with NotRun set, which keeps the
// outcome not-run possible.
func (s *session) cancellationEvent(callErr *dispatch.CallError, cause attempt.Event) attempt.Event {
	if _, disconnected := cause.(attempt.ClientDisconnected); disconnected || !callErr.NotRun() {
		return cause
	}
	return attempt.Failed{Err: faultOfCall(callErr), NotRun: true}
}

// interruptionEvent returns the event that canceled the running attempt, or nil.
func (s *session) interruptionEvent() attempt.Event {
	switch cause := context.Cause(s.slot.ctx); {
	case errors.Is(cause, errGroupBroke):
		return attempt.GroupBroken{}
	case errors.Is(cause, errPreempted):
		return attempt.Preempted{}
	case errors.Is(cause, errClientDisconnected):
		return attempt.ClientDisconnected{}
	case errors.Is(cause, errQuarantined):
		if refusal := s.quarantined(); refusal != nil {
			return refusal
		}
		// The evidence was refuted meanwhile.
		return attempt.Preempted{}
	default:
		return nil
	}
}

func (s *session) reportFailure(sl *slot, callErr *dispatch.CallError) {
	line := s.g.opts.Log.Warn().Str("request_id", s.req.id).Str("content", s.req.contents[0]).Str("upstream", callErr.Address).
		Str("reason", string(callErr.Reason)).Bool("sent", callErr.Sent)
	if sl != nil && !sl.started.IsZero() {
		line = line.Dur("run_ms", time.Since(sl.started))
	}
	line.Err(callErr).Msg("attempt_failed")
	report := s.g.opts.ReportFailure
	if report == nil || sl == nil || callErr.Reason == dispatch.Refused || callErr.Reason == dispatch.Canceled || callErr.Reason == dispatch.LimitStated {
		return
	}
	report(sl.assignment.Group.Members[0].ID, string(callErr.Reason))
}

func (s *session) closeAttempt() {
	if s.stream != nil {
		s.stream.Close()
		s.stream, s.buffered = nil, nil
		s.markStreamEnded()
	}
	if s.slot != nil {
		s.slot.stop()
	}
}
