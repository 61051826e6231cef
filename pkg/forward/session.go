package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/httphead"
	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/tunnel"
)

var (
	errClientDisconnected = errors.New("the client disconnected")
	errUnsigned           = errors.New("the answer lacks an upstream's signature")
	errContentEncoded     = errors.New("the answer has a Content-Encoding that was not requested")
)

const (
	// eventGapTimeout is the stall timeout between events of a resumable stream: several passes of an engine, with the prompts that it
	// reads between them.
	eventGapTimeout = 400 * time.Millisecond
	// refusedBackoff is the backoff of a target that refused a request because it was full.
	refusedBackoff = 100 * time.Millisecond
)

// session handles one request from arrival to its end.
type session struct {
	entry      *Entry
	request    *request
	answer     *unwrittenAnswer
	ctx        context.Context
	cancel     context.CancelCauseFunc
	clientConn *disconnect.Conn
	history    sendHistory
	// excluded are the targets at which the request failed.
	excluded []string
	target   *attach.Target
	// isolated is true when the target was granted to an isolated request.
	isolated bool
	// crashCheck is the pending check of the upstream at which the last send broke; unverified is
	// true once one ended without a verdict.
	crashCheck *crashCheck
	unverified bool
	// currentSend is the send whose answer the caller gets, or the one that failed last.
	currentSend send
	// reused is true when the last answer came on a reused connection.
	reused bool
	// position is how far a stream has got.
	position    position
	lastFailure *dispatch.CallError
	// refusedRetry is true when the last retry was refused by the retry budget.
	refusedRetry bool
	// trial is the quarantined content as whose trial the request is about to be sent; empty otherwise.
	trial string
	// finding is the evidence on which the request was refused; nil otherwise.
	finding *quarantine.Finding
	// limits are the limits of upstreams on which the request was refused.
	limits []StatedLimit
	// estimate is what the latest wait or refusal was based on; nil if the request neither waited nor was refused by the placer.
	estimate          *Estimate
	queueTime         time.Duration
	firstEventLatency time.Duration
}

// serve handles one request.
func (e *Entry) serve(ctx *fasthttp.RequestCtx) {
	// The server holds an answer back while it has read the beginning of the caller's next request, unless the handler sets a
	// write deadline. The connection sets its own at each write.
	_ = ctx.SetWriteDeadline(time.Now().Add(readTimeout))
	if err := httphead.CheckFields(ctx.Request.Header.RawHeaders()); err != nil {
		e.refuseUnread(ctx, err)
		return
	}
	b, refused := e.readBody(ctx)
	e.inFlight.Add(1)
	answer := e.unwritten.add(ctx.Conn())
	r, refusal := e.resolve(ctx, b, refused)
	answer.setRequest(r)
	if e.stopping() || !e.Ready() {
		// The caller's next connection reaches another entry.
		ctx.Response.SetConnectionClose()
	}
	if refusal == nil {
		refusal = e.checkStop(r)
	}
	if refusal != nil {
		answer.reach(stageRefused, "")
		e.refuse(ctx, r, nil, refusal)
		r.body.release()
		e.inFlight.Add(-1)
		return
	}
	s := &session{entry: e, request: r, answer: answer, position: positionAfter(r.lastEventID)}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
	if conn, ok := ctx.Conn().(*disconnect.Conn); ok {
		s.clientConn = conn
		conn.Watch(func() { s.cancel(errClientDisconnected) })
	}
	e.mu.Lock()
	e.unbegun.add(s)
	e.retryBudget.RecordRequest(boottime.Now(), r.service.Name)
	if r.modelName != "" {
		e.reports.recordArrival(r.modelName, r.groupTime)
	}
	e.mu.Unlock()
	s.run(ctx)
}

// run sends the request until it is answered or finally refused.
func (s *session) run(ctx *fasthttp.RequestCtx) {
	for {
		refusal := s.acquireTarget()
		if refusal != nil {
			s.refuse(ctx, refusal)
			return
		}
		run, err := s.attempt(ctx)
		if err == nil {
			return
		}
		if !s.handleFailure(run, err) {
			s.refuse(ctx, s.failureRefusal(err))
			return
		}
	}
}

// failureRefusal is the answer to a request that is not sent again after a failure. A quarantine
// tells the caller not to retry, which a caller of a run-once request never does.
func (s *session) failureRefusal(err *dispatch.CallError) *fault.Error {
	if s.stopped() {
		return s.stopRefusal()
	}
	if s.request.route.Idempotency != document.AtMostOnce || !s.history.mayHaveRun {
		s.entry.mu.Lock()
		finding, found := s.entry.crashes.Check(s.entry.opts.EvidenceClock(), s.request.contents)
		s.entry.mu.Unlock()
		if found {
			return s.refuseContent(finding)
		}
	}
	return s.sendRefusal(err, s.retryAfter())
}

// sendRefusal is the answer to a request whose last send failed.
func (s *session) sendRefusal(err *dispatch.CallError, retryAfter time.Duration) *fault.Error {
	if errors.Is(err, errContinuationWithoutEvent) && s.request.route.Idempotency != document.AtMostOnce {
		return fault.New(fault.UpstreamFailed, "send the request again; without its last event's identifier, the whole stream follows",
			"the upstream sent no event after %q and did not state that none is left", s.position.lastID).WithOutcome(fault.Unknown)
	}
	return s.history.refusal(err.Reason, retryAfter)
}

func (s *session) refuse(ctx *fasthttp.RequestCtx, refusal *fault.Error) {
	s.answer.reach(stageRefused, "")
	s.entry.refuse(ctx, s.request, s, refusal)
	s.finish()
}

// finish releases everything that the session holds.
func (s *session) finish() {
	if s.clientConn != nil {
		s.clientConn.Unwatch()
	}
	s.releaseTarget()
	s.entry.mu.Lock()
	s.endTrial()
	s.entry.mu.Unlock()
	s.beginAnswer()
	s.request.body.release()
	s.cancel(nil)
	s.entry.inFlight.Add(-1)
}

// beginAnswer records that the caller is sent an answer: a planned stop lets it continue to its
// end.
func (s *session) beginAnswer() {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	s.entry.unbegun.remove(s)
}

// releaseTarget frees the request's slot at its target.
func (s *session) releaseTarget() {
	if s.target == nil {
		return
	}
	if s.isolated {
		s.entry.releaseIsolated(s.target)
	} else {
		s.entry.release(s.target)
	}
	s.isolated = false
	s.target = nil
}

// releaseIsolated frees the slot of an isolated request at a target.
func (e *Entry) releaseIsolated(t *attach.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.placer.ReleaseIsolated(boottime.Now(), t))
}

// release frees a slot at a target.
func (e *Entry) release(t *attach.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.placer.Release(boottime.Now(), t))
}

// attempt sends the request to the target. Without a failure the answer to the caller has
// begun; with one the caller has been sent nothing. The run is nil when the upstream began no
// answer.
func (s *session) attempt(ctx *fasthttp.RequestCtx) (*upstreamRun, *dispatch.CallError) {
	r, failure := s.send()
	if failure != nil {
		return nil, failure
	}
	if failure := s.checkResponse(r.resp); failure != nil {
		return r, failure
	}
	// The status and header must be read now: the response releases them once its body is read to
	// the end.
	status, header, execution := r.resp.Status(), r.resp.HeaderLines(), r.resp.Execution()
	if s.request.route.Stream && status == http.StatusOK {
		run, failure := s.beginStream(ctx, r, header)
		if failure == nil {
			s.answer.reach(stageBegun, "")
			s.beginAnswer()
			if s.request.route.Idempotency != document.Resumable {
				s.request.body.release()
			}
		}
		return run, failure
	}
	body, err := r.resp.ReadAll()
	if err != nil {
		return r, asCallError(err)
	}
	s.answer.reach(stageEnded, "")
	s.recordAnswer(r, status)
	if execution == dispatch.ImpliedNotRun && s.request.route.Idempotency == document.AtMostOnce {
		// Its caller would send the request again, which may have run.
		return r, r.resp.Abort(dispatch.RefusalNotStated, fmt.Errorf("status %d does not state that the request did not run", status))
	}
	copyHeader(ctx, status, header)
	ctx.Response.SetBodyRaw(body)
	s.observe()
	s.entry.logAnswer(s, status, "whole")
	s.finish()
	return r, nil
}

// send is one send of a request to a target.
type send struct {
	target *attach.Target
	// number counts the sends of the request from 1.
	number int
	at     time.Time
	// trial is true if the request was sent as the trial of a quarantined content; confirming is that content if a crash
	// confirms the evidence against it.
	trial      bool
	confirming string
}

// newSend counts a send to a target that begins now.
func (s *session) newSend(target *attach.Target) send {
	s.history.sends++
	return send{target: target, number: s.history.sends, at: time.Now()}
}

// send sends the request to the target and waits for the header of its answer.
func (s *session) send() (*upstreamRun, *dispatch.CallError) {
	s.currentSend = s.newSend(s.target)
	if !s.beginTrial() {
		return nil, &dispatch.CallError{Reason: dispatch.Canceled, Address: s.target.Address}
	}
	if !s.history.firstEventSent {
		s.answer.reach(stageSent, s.target.ID)
	}
	r := &upstreamRun{sentAt: s.currentSend.at, resumeAfter: s.position.lastID}
	ctx, stopWatching := s.cancelWhenQuarantined(s.ctx)
	resp, err := s.entry.opts.Client.Begin(ctx, s.buildCall(s.target, r.resumeAfter))
	stopWatching()
	if err != nil {
		return nil, asCallError(err)
	}
	r.setResponse(resp)
	s.reused = resp.Reused()
	return r, nil
}

// buildCall returns the request as it is sent to a target, for the answer after an event.
func (s *session) buildCall(target *attach.Target, after string) dispatch.Call {
	r, names := s.request, &s.entry.opts.HeaderNames
	lines := append([]dispatch.HeaderLine(nil), r.headerLines...)
	lines = append(lines, dispatch.HeaderLine{Name: names.ExpectedUpstream, Value: target.ID})
	if r.account != nil {
		lines = append(lines, dispatch.HeaderLine{Name: names.Account, Value: r.account.Name})
	}
	if after != "" {
		lines = append(lines, dispatch.HeaderLine{Name: names.LastEvent, Value: after})
	}
	return dispatch.Call{
		RequestID: r.id, Address: target.Address, Upstream: incarnationOf(target), Method: r.method, RequestTarget: r.target, Host: r.host, HeaderLines: lines,
		Body: r.body.bytes, Deadline: r.deadline, TimeLeft: dispatch.TimeLeft{Name: names.TimeLeft, Left: func() time.Duration { return r.timeLeft(time.Now(), boottime.Now()) }}, MaxIdle: s.maxConnIdle(),
	}
}

// runOnceMaxIdle is how long a connection may have been idle to carry a run-once request: if
// the upstream closed an idle connection at that moment, the outcome would be unknown.
const runOnceMaxIdle = time.Second

func (s *session) maxConnIdle() time.Duration {
	if s.request.route.Idempotency == document.AtMostOnce {
		return runOnceMaxIdle
	}
	return 0
}

// checkResponse rejects answers that were not made by an upstream or cannot be passed on, and
// server errors that can be retried.
func (s *session) checkResponse(resp *dispatch.Response) *dispatch.CallError {
	status := resp.Status()
	signed := len(resp.Header(s.entry.opts.HeaderNames.Signature)) > 0
	switch {
	case !signed:
		return resp.Abort(dispatch.Malformed, errUnsigned)
	case len(resp.Header("Content-Encoding")) > 0:
		return resp.Abort(dispatch.Malformed, errContentEncoded)
	case status >= http.StatusInternalServerError && s.request.route.Idempotency != document.AtMostOnce && s.canRetryNow():
		return resp.Abort(dispatch.Failed, errors.New("status "+strconv.Itoa(status)))
	default:
		return nil
	}
}

// canRetryNow reports whether another send is possible and within the retry budget, without
// spending from the budget.
func (s *session) canRetryNow() bool {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	return s.canRetry() && s.retryAvailable()
}

// retryAvailable reports whether the retry budget allows another send; the caller holds the lock.
func (s *session) retryAvailable() bool {
	e, service, now := s.entry, s.request.service.Name, boottime.Now()
	if s.refusedRetry = !e.retryBudget.Available(now, service); s.refusedRetry {
		e.opts.Metrics.Add("retries.refused_by_budget", 1)
		if state, report := e.retryBudget.Refused(now, service); report {
			e.logExhausted(s, &state)
		}
	}
	return !s.refusedRetry
}

// spendRetry takes a retry from the budget, if there is one; the caller holds the lock.
func (s *session) spendRetry() bool {
	if !s.retryAvailable() {
		return false
	}
	s.entry.opts.Metrics.Add("retries.sent", 1)
	return s.entry.retryBudget.Spend(boottime.Now(), s.request.service.Name)
}

// mayRepeat reports whether a request whose send failed may be sent again, and takes the retry from the budget; the caller holds
// the lock. A send that reached no upstream costs nothing.
func (s *session) mayRepeat(err *dispatch.CallError) bool {
	if s.ctx.Err() != nil || !s.canRetry() {
		return false
	}
	if !err.Sent {
		s.entry.opts.Metrics.Add("retries.of_unsent", 1)
		return true
	}
	return s.spendRetry()
}

// canRetry reports whether another send is allowed by the route, the outcomes of the sends so far and what the caller has been sent,
// and can be answered in the caller's time; the caller holds the lock.
func (s *session) canRetry() bool {
	return !s.request.body.released && s.position.resumable() && s.history.mayRetry(s.request.route.Idempotency, s.request.route.MaxAttempts) &&
		s.entry.placer.InTime(boottime.Now(), s.newWork())
}

// recordAnswer records that the target gave a whole answer.
func (s *session) recordAnswer(r *upstreamRun, status int) {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	s.entry.placer.RecordAnswer(boottime.Now(), s.target)
	s.entry.placer.RecordStart(s.target, time.Since(r.sentAt))
	if status < http.StatusInternalServerError {
		s.entry.placer.RecordServiceTime(s.target, s.request.serviceTime, time.Since(r.sentAt))
	}
	if status < http.StatusInternalServerError || s.request.service.Engine == nil {
		s.recordSuccess()
	}
}

// handleFailure records the failure of a send, whose run is nil when no answer began, and
// reports whether the request may be sent again.
func (s *session) handleFailure(r *upstreamRun, err *dispatch.CallError) bool {
	s.recordFailure(s.currentSend, r, err)
	e := s.entry
	e.mu.Lock()
	retry := s.mayRepeat(err)
	e.mu.Unlock()
	s.releaseTarget()
	return retry
}

// recordFailure records the failure of a send, whose run is nil when no answer began.
func (s *session) recordFailure(failed send, r *upstreamRun, err *dispatch.CallError) {
	s.lastFailure = err
	s.history.recordFailure(err)
	s.excluded = append(s.excluded, failed.target.ID)
	s.entry.logFailure(s, failed, r, err)
	now := boottime.Now()
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if err.Reason != dispatch.Canceled && err.Reason != dispatch.Failed {
		s.backOffTarget(now, failed.target, err)
	}
	if s.survived(err) {
		s.recordSuccess()
	}
	if !s.suspectsCrash(r, err) {
		return
	}
	if check := e.suspectCrash(failed.target, s.newSuspect(failed, r)); s.request.service.Engine == nil {
		s.crashCheck = check
	}
}

// backOffTarget records a failure against its target; the caller holds the lock.
func (s *session) backOffTarget(now time.Time, target *attach.Target, err *dispatch.CallError) {
	switch {
	case tunnel.IsUnconfirmed(err):
		// This entry's own path may be down.
		s.entry.opts.Metrics.Add("sends_failed.own_path", 1)
	case err.Reason == dispatch.Refused:
		s.entry.placer.BackOffUntil(target, now.Add(refusedBackoff))
		if err.AtFault != "" {
			s.entry.reports.recordStall(now, target)
		}
	case dispatch.IsConnectionRefused(err) && s.entry.placer.AnsweredSince(target, now.Add(-eventGapTimeout/2)):
		// Nothing listens there any more, whatever it answered before. It may be leaving with
		// its last streams, so this is no evidence of a stall.
		s.entry.placer.RecordFailure(now, target)
	case !err.Sent || err.Reason == dispatch.Stalled:
		// A connection that cannot be opened is as much evidence of a stall as a silent
		// stream.
		if !s.entry.placer.AnsweredSince(target, now.Add(-eventGapTimeout/2)) && (!err.Sent || s.entry.pathProven(now.Add(-eventGapTimeout))) {
			s.entry.placer.RecordFailure(now, target)
			s.entry.reports.recordStall(now, target)
		}
	default:
	}
}

func asCallError(err error) *dispatch.CallError {
	if f, ok := dispatch.CallErrorOf(err); ok {
		return f
	}
	return &dispatch.CallError{Reason: dispatch.Malformed, Sent: true}
}
