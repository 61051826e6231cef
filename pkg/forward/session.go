package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/hangup"
)

var (
	errCallerGone = errors.New("the client disconnected")
	errUnsigned   = errors.New("the answer lacks an upstream's signature")
	errEncoded    = errors.New("the answer has a Content-Encoding that was not requested")
)

const (
	// firstEventTimeout is the stall timeout of a resumable stream before its first event.
	firstEventSilence = 1500 * time.Millisecond
	// eventGapTimeout is the stall timeout between events of such a stream: several passes of
	// an engine, with the prompts that it reads between them.
	eventSilence = 400 * time.Millisecond
	// refusedBackoff is the backoff of a target that refused a request because it was full.
	refusedPause = 100 * time.Millisecond
)

// session handles one request from arrival to its end.
type session struct {
	e       *Entry
	r       *request
	ctx     context.Context
	cancel  context.CancelCauseFunc
	caller  *hangup.Conn
	history history
	// excluded are the targets at which the request failed.
	excluded []string
	target   *attach.Target
	// lastTarget is the target of the most recent send.
	last *attach.Target
	// reused is true when the last answer came on a reused connection.
	reused bool
	// position is how far a stream has got.
	passed   position
	lastFail *dispatch.CallError
	queued   time.Duration
	first    time.Duration
}

// serve handles one request.
func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	e.inFlight.Add(1)
	r, refusal := e.read(ctx)
	if _, stopping := e.stopping(r.arrivedAt); stopping || !e.Ready() {
		// The caller's next connection reaches another entry.
		ctx.Response.SetConnectionClose()
	}
	if refusal == nil {
		refusal = e.outlastsStop(r)
	}
	if refusal != nil {
		e.refuse(ctx, r, nil, refusal)
		e.inFlight.Add(-1)
		return
	}
	s := &session{e: e, r: r, passed: after(r.lastEvent)}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	if conn, ok := ctx.Conn().(*hangup.Conn); ok {
		s.caller = conn
		conn.Watch(func() { s.cancel(errCallerGone) })
	}
	e.mu.Lock()
	e.repeats.request(r.service.Name)
	if r.modelName != "" {
		e.reports.arrived(r.modelName, r.work)
	}
	e.mu.Unlock()
	s.run(ctx)
}

// run sends the request until it is answered or finally refused.
func (s *session) run(ctx *fasthttp.RequestCtx) {
	for {
		refusal := s.acquire()
		if refusal != nil {
			s.end(ctx, refusal)
			return
		}
		run, err := s.attempt(ctx)
		if err == nil {
			return
		}
		if !s.failed(run, err) {
			s.end(ctx, s.history.refusal(err.Reason, s.retryAfter()))
			return
		}
	}
}

func (s *session) end(ctx *fasthttp.RequestCtx, refusal *fault.Error) {
	s.e.refuse(ctx, s.r, s, refusal)
	s.close()
}

// finish releases everything that the session holds.
func (s *session) close() {
	if s.caller != nil {
		s.caller.Unwatch()
	}
	s.release()
	s.cancel(nil)
	s.e.inFlight.Add(-1)
}

// releaseTarget frees the request's slot at its target.
func (s *session) release() {
	if s.target == nil {
		return
	}
	e := s.e
	e.mu.Lock()
	e.deliver(e.placer.Release(boottime.Now(), s.target))
	e.mu.Unlock()
	s.target = nil
}

// attempt sends the request to the target. Without a failure the answer to the caller has
// begun; with one the caller has been sent nothing. The run is nil when the upstream began no
// answer.
func (s *session) attempt(ctx *fasthttp.RequestCtx) (*upstreamRun, *dispatch.CallError) {
	r, failure := s.send()
	if failure != nil {
		return nil, failure
	}
	if failure := s.check(r.resp); failure != nil {
		return r, failure
	}
	// The status and header must be read now: the response releases it once its body is read to the
	// end.
	status, header := r.resp.Status(), r.resp.Lines()
	if s.r.route.Stream && status == http.StatusOK {
		return s.beginStream(ctx, r, header)
	}
	body, err := r.resp.ReadAll()
	if err != nil {
		return r, callError(err)
	}
	s.answered(r)
	copyHeader(ctx, status, header)
	ctx.Response.SetBodyRaw(body)
	s.observe()
	s.e.logAnswer(s, status, "whole")
	s.close()
	return r, nil
}

// send sends the request to the target and waits for the header of its answer.
func (s *session) send() (*upstreamRun, *dispatch.CallError) {
	s.history.sends++
	s.last = s.target
	r := &upstreamRun{sentAt: time.Now(), after: s.passed.last}
	resp, err := s.e.opts.Client.Begin(s.ctx, s.call(r.after))
	if err != nil {
		return nil, callError(err)
	}
	r.resp, s.reused = resp, resp.Reused()
	return r, nil
}

// buildCall returns the request as it is sent to the target, for the answer after an event.
func (s *session) call(after string) dispatch.Call {
	r, w := s.r, &s.e.opts.Wire
	lines := append([]dispatch.HeaderLine(nil), r.lines...)
	left := time.Until(r.deadline)
	lines = append(lines,
		dispatch.HeaderLine{Name: w.TimeLeft, Value: strconv.FormatInt(max(left.Milliseconds(), 1), 10)},
		dispatch.HeaderLine{Name: w.ExpectedUpstream, Value: s.target.ID},
	)
	if r.account != nil {
		lines = append(lines, dispatch.HeaderLine{Name: w.Account, Value: r.account.Name})
	}
	if after != "" {
		lines = append(lines, dispatch.HeaderLine{Name: w.LastEvent, Value: after})
	}
	return dispatch.Call{
		RequestID: r.id, Address: s.target.Address, Method: r.method, Target: r.target, Host: r.host, Lines: lines,
		Body: r.body, Deadline: r.deadline, FreshWithin: s.reuse(),
	}
}

// runOnceMaxIdle is how long a connection may have been idle to carry a run-once request: if
// the upstream closed an idle connection at that moment, the outcome would be unknown.
const reuseOnce = time.Second

func (s *session) reuse() time.Duration {
	if s.r.route.Idempotency == document.RunOnce {
		return reuseOnce
	}
	return 0
}

// checkResponse rejects answers that were not made by an upstream or cannot be passed on, and
// server errors that can be retried.
func (s *session) check(resp *dispatch.Response) *dispatch.CallError {
	status := resp.Status()
	signed := len(resp.Header(s.e.opts.Wire.Signature)) > 0
	switch {
	case !signed:
		return resp.Abort(dispatch.Malformed, errUnsigned)
	case len(resp.Header("Content-Encoding")) > 0:
		return resp.Abort(dispatch.Malformed, errEncoded)
	case status >= http.StatusInternalServerError && s.r.route.Idempotency != document.RunOnce && s.mayRepeatNow():
		return resp.Abort(dispatch.Failed, errors.New("status "+strconv.Itoa(status)))
	default:
		return nil
	}
}

// canRetryNow reports whether another send is possible and within the retry budget, without
// spending from the budget.
func (s *session) mayRepeatNow() bool {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return s.mayRepeat() && s.e.repeats.has(s.r.service.Name)
}

// canRetry reports whether another send is allowed by the route, the time left, the outcomes
// of the sends so far and what the caller has been sent.
func (s *session) mayRepeat() bool {
	return s.passed.resumable() && s.history.mayRepeat(s.r.route.Idempotency, s.r.route.MaxAttempts, time.Until(s.r.deadline))
}

// recordAnswer records that the target answers.
func (s *session) answered(r *upstreamRun) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	s.e.placer.Answered(boottime.Now(), s.target)
	s.e.placer.Began(s.target, time.Since(r.sentAt))
}

// handleFailure records the failure of a send, whose run is nil when no answer began, and
// reports whether the request may be sent again.
func (s *session) failed(r *upstreamRun, err *dispatch.CallError) bool {
	s.lastFail = err
	s.history.note(err)
	s.excluded = append(s.excluded, s.target.ID)
	s.e.logFailure(s, r, err)
	now := boottime.Now()
	e := s.e
	e.mu.Lock()
	if err.Reason != dispatch.Canceled && err.Reason != dispatch.Failed {
		s.suspect(now, err)
	}
	retry := s.ctx.Err() == nil && s.mayRepeat() && (!err.Sent || e.repeats.take(s.r.service.Name))
	e.mu.Unlock()
	s.release()
	return retry
}

// backOffTarget records a failure against its target; the caller holds the lock.
func (s *session) suspect(now time.Time, err *dispatch.CallError) {
	switch {
	case err.Reason == dispatch.Refused:
		s.e.placer.Pause(s.target, now.Add(refusedPause))
		if err.AtFault != "" {
			s.e.reports.stall(now, s.target)
		}
	case !err.Sent || err.Reason == dispatch.Stalled:
		// A connection that cannot be opened is as much evidence of a stall as a silent
		// stream.
		if !s.e.placer.AnsweredSince(s.target, now.Add(-eventSilence/2)) {
			s.e.placer.Failed(now, s.target)
			s.e.reports.stall(now, s.target)
		}
	default:
	}
}

// retryAfter is the Retry-After of a refusal.
func (s *session) retryAfter() time.Duration {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return retryAfter(s.e.random, time.Until(s.r.deadline), false)
}

func callError(err error) *dispatch.CallError {
	if f, ok := dispatch.CallErrorOf(err); ok {
		return f
	}
	return &dispatch.CallError{Reason: dispatch.Malformed, Sent: true}
}
