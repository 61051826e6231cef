package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/dispatch"
)

// successorPollInterval is the time between two checks, while a run is silent, of whether its
// successor has continued the stream.
const successorPollInterval = 20 * time.Millisecond

var errSuccessorNotNeeded = errors.New("the upstream that was silent continued its answer")

// successor is a further send of a resumable stream whose run is silent. The run and its
// successors go on until one of them sends the next event: silence does not show that an upstream
// has ended, and a successor may be refused, fail or fall silent, too.
type successor struct {
	send   send
	run    *upstreamRun
	cancel context.CancelCauseFunc
	// done is closed when the fields below are set.
	done chan struct{}
	// header is that of the answer, events are its first ones. end is nil, io.EOF when the
	// answer is complete, or the *dispatch.CallError of a successor that failed.
	header []dispatch.HeaderLine
	events []byte
	reused bool
	end    error
}

// isDone reports whether the successor has sent its first event or has ended.
func (sc *successor) isDone() bool {
	select {
	case <-sc.done:
		return true
	default:
		return false
	}
}

// result is how the successor has ended; nil while it goes on.
func (sc *successor) result() error {
	if !sc.isDone() {
		return nil
	}
	return sc.end
}

// successors are the sends that may replace a silent run.
type successors struct {
	pending []*successor
	// accepted is the one whose events continue the stream; nil while there is none.
	accepted *successor
	// wake is signaled when one is done.
	wake chan struct{}
}

// onSilence is called while the run is silent and reports whether to abandon it: only once a
// successor has continued the stream.
func (st *stream) onSilence() bool {
	st.checkSuccessors()
	if len(st.successors.pending) > 0 {
		st.run.setStallTimeout(successorPollInterval, st.onSilence)
	}
	return st.successors.accepted != nil
}

// checkSuccessors accepts the first successor that continues the stream, drops those that failed,
// and begins one if there is none or the latest one is silent, too.
func (st *stream) checkSuccessors() {
	all := &st.successors
	for _, sc := range slices.Clone(all.pending) {
		if sc.isDone() && st.acceptOrDrop(sc) {
			return
		}
	}
	if n := len(all.pending); n > 0 && time.Since(all.pending[n-1].send.at) < st.session.firstEventTimeout() {
		st.reportStallLate()
		return
	}
	if sc := st.beginSuccessor(); sc != nil {
		all.pending = append(all.pending, sc)
	}
}

// beginSuccessor sends the stream to a further target if one has free capacity, the request may be
// sent again and its caller is there; otherwise it returns nil.
func (st *stream) beginSuccessor() *successor {
	s := st.session
	if s.ctx.Err() != nil || s.quarantined() != nil {
		return nil
	}
	if _, suspected := s.suspicion(); suspected {
		return nil
	}
	target := st.claimSuccessorTarget()
	if target == nil {
		return nil
	}
	s.entry.opts.Metrics.Add("streams.successors_begun", 1)
	st.logSilent(target)
	if st.successors.wake == nil {
		st.successors.wake = make(chan struct{}, 1)
	}
	sc := &successor{send: s.newSend(target), done: make(chan struct{})}
	sc.run = &upstreamRun{sentAt: sc.send.at, resumeAfter: s.position.lastID}
	ctx, cancel := context.WithCancelCause(s.ctx)
	sc.cancel = cancel
	call, wake := s.buildCall(target, sc.run.resumeAfter), st.successors.wake
	go func() {
		sc.receive(ctx, s, call)
		close(sc.done)
		select {
		case wake <- struct{}{}:
		default:
		}
	}()
	return sc
}

// claimSuccessorTarget reports a silent target and pays for a send to another one,
// which it returns; nil when there is none.
func (st *stream) claimSuccessorTarget() *attach.Target {
	s := st.session
	w := s.newWork()
	w.Excluded = append(slices.Clone(s.excluded), s.target.ID)
	for _, sc := range st.successors.pending {
		w.Excluded = append(w.Excluded, sc.send.target.ID)
	}
	now := boottime.Now()
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	st.reportStall(now)
	if !s.canRetry() || !s.retryAvailable() {
		return nil
	}
	target := e.placer.Claim(now, w)
	if target != nil {
		s.spendRetry()
	}
	return target
}

// logSilent logs that a stream whose target is silent is sent to another one.
func (st *stream) logSilent(next *attach.Target) {
	s := st.session
	s.entry.opts.Log.Info().Str("request_id", s.request.id).Str("target", s.target.ID).Str("group", s.target.Group).Str("next_target", next.ID).
		Dur("silent_ms", time.Since(st.run.silentSince)).Dur("stall_ms", st.run.stallTimeout).Str("last_event", s.position.lastID).
		Dur("time_left_ms", s.request.timeLeft(time.Now(), boottime.Now())).Msg("stream_silent")
}

// reportStallLate reports a silent target that could not be reported when its successor began.
func (st *stream) reportStallLate() {
	e, now := st.session.entry, boottime.Now()
	if st.stallReported || !e.pathProven(now.Add(-eventGapTimeout)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	st.reportStall(now)
}

// reportStall reports the silent target, once something came from another upstream meanwhile: until then the silence may
// be that of this entry's own path. The caller holds the lock.
func (st *stream) reportStall(now time.Time) {
	s := st.session
	e := s.entry
	if st.run.end != nil || e.placer.AnsweredSince(s.target, now.Add(-eventGapTimeout/2)) {
		return
	}
	if e.pathProven(now.Add(-eventGapTimeout)) {
		st.stallReported = true
		e.reports.recordStall(now, s.target)
		return
	}
	st.stallReported = false
	e.opts.Metrics.Add("stalls.not_reported", 1)
	e.probePath(s.target)
}

// receive sends the call and reads the answer up to its first event.
func (sc *successor) receive(ctx context.Context, s *session, call dispatch.Call) {
	ctx, stopWatching := s.cancelWhenQuarantined(ctx)
	resp, err := s.entry.opts.Client.Begin(ctx, call)
	stopWatching()
	if err != nil {
		sc.end = asCallError(err)
		return
	}
	sc.run.setResponse(resp)
	sc.reused = resp.Reused()
	if failure := s.checkSuccessor(resp); failure != nil {
		sc.end = failure
		return
	}
	sc.header = resp.HeaderLines()
	buf := make([]byte, readBufferBytes)
	for sc.end == nil {
		var events []byte
		events, sc.end = sc.run.nextEvents(buf)
		sc.events = append(sc.events, events...)
		if _, any := firstIdentifier(sc.events); any {
			return
		}
	}
}

func (s *session) checkSuccessor(resp *dispatch.Response) *dispatch.CallError {
	switch {
	case len(resp.Header(s.entry.opts.HeaderNames.Signature)) == 0:
		return resp.Abort(dispatch.Malformed, errUnsigned)
	case len(resp.Header("Content-Encoding")) > 0:
		return resp.Abort(dispatch.Malformed, errContentEncoded)
	case resp.Status() != http.StatusOK:
		return resp.Abort(dispatch.Failed, errNotResumed)
	default:
		return nil
	}
}

// acceptOrDrop accepts a successor, which is done, if it continues the stream. Otherwise it drops
// it, and the run stays in place.
func (st *stream) acceptOrDrop(sc *successor) (accepted bool) {
	s := st.session
	failure, failed := dispatch.CallErrorOf(sc.end)
	if id, isEvent := firstIdentifier(sc.events); !failed && isEvent {
		if err := s.checkNextEvent(id); err != nil {
			failure, failed = sc.run.abort(dispatch.Malformed, err), true
		}
	}
	if !failed {
		st.successors.accepted = sc
		return true
	}
	st.successors.pending = slices.DeleteFunc(st.successors.pending, func(other *successor) bool { return other == sc })
	s.recordFailure(sc.send, sc.run.orNil(), failure)
	s.entry.release(sc.send.target)
	s.setStallTimeout(st, eventGapTimeout)
	return false
}

// successorContinues waits for the successors of a run that has failed and reports whether one of
// them continues the stream.
func (st *stream) successorContinues() bool {
	for len(st.successors.pending) > 0 {
		st.checkSuccessors()
		if st.successors.accepted != nil {
			return true
		}
		if len(st.successors.pending) == 0 {
			break
		}
		select {
		case <-st.successors.wake:
		case <-time.After(st.session.firstEventTimeout()):
		}
	}
	return false
}

// adoptSuccessor replaces the run, which failed or was silent, by the accepted successor. It
// returns the successor's first events and how its answer has ended, if it has.
func (st *stream) adoptSuccessor(failure *dispatch.CallError) ([]byte, error) {
	s, sc := st.session, st.successors.accepted
	st.successors.pending = slices.DeleteFunc(st.successors.pending, func(other *successor) bool { return other == sc })
	st.discardSuccessors()
	s.recordFailure(s.currentSend, st.run, failure)
	s.releaseTarget()
	s.target, s.currentSend, s.reused = sc.send.target, sc.send, sc.reused
	st.run = sc.run
	s.answer.reach(stageBegun, s.target.ID)
	if !s.history.firstEventSent {
		st.header = sc.header
	}
	s.setStallTimeout(st, eventGapTimeout)
	s.entry.opts.Metrics.Add("streams.successors_adopted", 1)
	s.logResumed(st.run, sc.events)
	if len(sc.events) > 0 {
		return sc.events, nil
	}
	return nil, sc.end
}

// discardSuccessors cancels the successors of a run that has continued or ended.
func (st *stream) discardSuccessors() {
	s, discarded := st.session, st.successors.pending
	st.successors.pending, st.successors.accepted = nil, nil
	for _, sc := range discarded {
		if failure, failed := dispatch.CallErrorOf(sc.result()); failed {
			s.recordFailure(sc.send, sc.run.orNil(), failure)
			s.entry.release(sc.send.target)
			continue
		}
		sc.cancel(errSuccessorNotNeeded)
		s.entry.opts.Metrics.Add("streams.successors_discarded", 1)
		go func() {
			<-sc.done
			if sc.run.resp != nil {
				_ = sc.run.resp.Abort(dispatch.Canceled, errSuccessorNotNeeded)
			}
			s.entry.release(sc.send.target)
		}()
	}
	if len(discarded) > 0 && st.run.end == nil {
		s.setStallTimeout(st, eventGapTimeout)
	}
}

// setResponse sets the answer whose header has been read.
func (r *upstreamRun) setResponse(resp *dispatch.Response) {
	r.resp = resp
	r.endsWithConnection = !resp.Framed() && (r.resumeAfter != "" || isEventStream(resp.Header("Content-Type")))
}

// orNil returns nil for a run whose upstream began no answer.
func (r *upstreamRun) orNil() *upstreamRun {
	if r.resp == nil {
		return nil
	}
	return r
}

// isComplete reports whether an answer has ended completely.
func isComplete(err error) bool { return errors.Is(err, io.EOF) }
