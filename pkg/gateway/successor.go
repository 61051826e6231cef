package gateway

import (
	"context"
	"errors"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/gateway/attempt"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

// successor is an attempt that runs beside a suspected one, to continue its stream.
type successor struct {
	cancel context.CancelFunc
	// result receives the result once the successor has its first token or has failed.
	result chan result
	// continued is true once it has its first token; it then replaces the other attempt.
	// It is guarded by session.mu.
	continued bool
}

// suspect passes the doubts about a slot's attempt to the state machine. It may be called
// by any goroutine. An attempt of which the client has no part yet is canceled with cause:
// it can start again without loss. Content that crashes upstreams has no successor: the attempt
// goes on alone.
func (s *session) suspect(sl *slot, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !sl.streaming || !s.machine.Begun() {
		sl.cancel(cause)
		return
	}
	sl.groupBroke = sl.groupBroke || errors.Is(cause, errGroupBroke)
	if s.mayCrash() {
		return
	}
	for _, action := range s.machine.Step(attempt.Suspected{}) {
		if a, ok := action.(attempt.StartSuccessor); ok {
			s.startSuccessor(sl, a)
		}
	}
}

// stalled is called by the goroutine that reads the slot's stream.
func (s *session) stalled(sl *slot) {
	s.collectFailedSuccessor()
	s.suspect(sl, errSuperseded)
}

// startSuccessor starts an attempt that replaces the one of the old slot once it has received
// the next token. It is canceled if its content is quarantined before. The caller holds mu.
func (s *session) startSuccessor(old *slot, a attempt.StartSuccessor) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	sc := &successor{cancel: func() { cancel(nil) }, result: make(chan result, 1)}
	s.successor = sc
	s.attempts++
	number, delivered := s.attempts, s.replay
	request := s.schedulingRequest(a.Exclude)
	request.Resumed = a.ResumeFrom
	go func() {
		stopWatch := s.g.crashes.watch(&unanswered{contents: s.req.contents, sent: true, cancel: cancel})
		r := s.runSuccessor(ctx, request, &delivered, number)
		stopWatch()
		if r.err == nil && errors.Is(context.Cause(ctx), errQuarantined) {
			r.stream.Close()
			r.stream, r.err = nil, &dispatch.CallError{Reason: dispatch.Canceled, Address: r.address, Sent: true}
		}
		if r.err == nil {
			s.supersede(old, sc)
		}
		sc.result <- r
	}()
}

// runSuccessor makes the attempt and reads its stream up to its first token.
func (s *session) runSuccessor(ctx context.Context, request scheduling.Request, delivered *replay, number int) result {
	call, err := s.buildCall(delivered, request.Resumed)
	if err != nil {
		return result{err: err}
	}
	r := s.acquireAndSend(ctx, request, call, number, request.Resumed)
	if r.err == nil && r.stream == nil {
		r.answer, r.err = nil, &dispatch.CallError{Reason: dispatch.Malformed, Address: r.address, Sent: true}
	}
	return r
}

// supersede cancels the attempt of the old slot in favor of its successor, unless that is no
// longer wanted.
func (s *session) supersede(old *slot, sc *successor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor == sc {
		sc.continued = true
		old.cancel(errSuperseded)
	}
}

// takeSuccessor returns the successor, which the caller then owns, or nil.
func (s *session) takeSuccessor() *successor {
	s.mu.Lock()
	defer s.mu.Unlock()
	sc := s.successor
	s.successor = nil
	return sc
}

func (s *session) hasContinuedSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor != nil && s.successor.continued
}

// awaitSuccessor waits until the successor has continued the stream or failed.
func (s *session) awaitSuccessor() attempt.Event {
	r := <-s.successor.result
	s.takeSuccessor()
	if r.err == nil {
		s.adopted = r
		return attempt.SuccessorContinued{Group: r.slot.assignment.Group.Name}
	}
	failed := s.endSuccessor(r)
	if s.disconnected() {
		return attempt.ClientDisconnected{}
	}
	if refusal := s.quarantined(); refusal != nil {
		return refusal
	}
	return failed
}

// collectFailedSuccessor reports a successor that has failed to the state machine. The stream
// that it should have continued goes on.
func (s *session) collectFailedSuccessor() {
	s.mu.Lock()
	sc := s.successor
	failed := false
	var r result
	if sc != nil && !sc.continued {
		select {
		case r = <-sc.result:
			failed, s.successor = true, nil
		default:
		}
	}
	s.mu.Unlock()
	if failed {
		s.step(s.endSuccessor(r))
	}
}

// endSuccessor releases the slot of a failed successor and returns the event.
func (s *session) endSuccessor(r result) attempt.SuccessorFailed {
	failed := attempt.SuccessorFailed{NotRun: true}
	if callErr, ok := dispatch.CallErrorOf(r.err); ok {
		failed.NotRun = callErr.NotRun()
		s.reportFailure(r.slot, callErr)
	} else {
		s.g.opts.Log.Warn().Str("request_id", s.req.id).Str("kind", string(fault.From(r.err).Kind)).Msg("successor_not_placed")
	}
	if r.slot != nil {
		failed.Group = r.slot.assignment.Group.Name
		s.addVerdict(r.slot)
	}
	discard(r)
	return failed
}

// cancelSuccessor aborts the successor, if there is one, and releases its slot.
func (s *session) cancelSuccessor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropSuccessor()
}

// dropSuccessor is cancelSuccessor for a caller that holds mu.
func (s *session) dropSuccessor() {
	sc := s.successor
	s.successor = nil
	if sc == nil {
		return
	}
	sc.cancel()
	go func() { discard(<-sc.result) }()
}

// adoptSuccessor makes the successor the running attempt.
func (s *session) adoptSuccessor() {
	r := s.adopted
	s.adopted = result{}
	s.slot = r.slot
	s.openStream(r)
}
