package forward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
)

// readBufferBytes is the size of the buffer for reading a stream.
const readBufferBytes = 8 << 10

var (
	errTruncatedEvent = errors.New("the stream ended inside an event")
	errNoEvent        = errors.New("the stream ended before its first event")
	// errContinuationWithoutEvent is the failure of a run that was asked to continue a stream: the end of its connection does
	// not show whether events are left.
	errContinuationWithoutEvent = errors.New("the continuation ended with its connection, before an event")
	errEventSize                = errors.New("an event is longer than 256 KiB")
	errNotResumed               = errors.New("the stream failed and could not be resumed")
)

// stream is the body of an answer to a caller: the events of one or several upstream runs in
// sequence. The server reads it and writes the events immediately, so that no goroutine is
// needed between upstream and caller.
type stream struct {
	session *session
	run     *upstreamRun
	// successors may replace the run while it is silent.
	successors successors
	// stallReported is true once the silent target was reported.
	stallReported bool
	// header is that of the answer's first run.
	header []dispatch.HeaderLine
	// pending are complete events that were not passed on yet.
	pending []byte
	buf     []byte
	// outcome is how the stream ended, for the log.
	outcome string
}

// beginStream waits for the first event, so that a stream that fails before it can still be
// retried elsewhere or refused.
func (s *session) beginStream(ctx *fasthttp.RequestCtx, r *upstreamRun, header []dispatch.HeaderLine) (*upstreamRun, *dispatch.CallError) {
	st := &stream{session: s, buf: make([]byte, readBufferBytes), outcome: "cut", header: header}
	if failure := st.awaitFirst(r); failure != nil {
		return st.run, failure
	}
	s.history.firstEventSent = true
	s.firstEventLatency = time.Since(s.request.arrivedAt)
	copyHeader(ctx, http.StatusOK, st.header)
	ctx.Response.SetBodyStream(st, -1)
	return st.run, nil
}

// awaitFirst waits for the first events of a run, so that a run that fails before them can
// still be followed by another.
func (st *stream) awaitFirst(r *upstreamRun) *dispatch.CallError {
	st.run = r
	st.session.setStallTimeout(st, st.session.firstEventTimeout())
	if err := st.fill(); err != nil && !isComplete(err) {
		return asCallError(err)
	}
	if st.run.end == nil {
		st.session.setStallTimeout(st, eventGapTimeout)
	}
	return nil
}

// firstEventTimeout is the stall timeout of a resumable stream before its first event: longer than such streams usually take by what
// would be a stall between events.
func (s *session) firstEventTimeout() time.Duration {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	return s.entry.placer.UsualStart(s.newWork()) + eventGapTimeout
}

// setStallTimeout sets the time without an event after which the run of a resumable stream gets
// a successor.
func (s *session) setStallTimeout(st *stream, d time.Duration) {
	if s.request.route.Idempotency != document.Resumable {
		st.run.setStallTimeout(0, nil)
		return
	}
	st.run.setStallTimeout(d, st.onSilence)
}

// Read implements io.Reader. It resumes the stream at another target when a run fails.
func (st *stream) Read(p []byte) (int, error) {
	for len(st.pending) == 0 {
		err := st.fill()
		if isComplete(err) {
			st.outcome = "whole"
			st.session.answer.reach(stageEnded, "")
			return 0, io.EOF
		}
		if err != nil {
			if err = st.resume(asCallError(err)); err != nil {
				return 0, err
			}
		}
	}
	n := copy(p, st.pending)
	st.pending = st.pending[n:]
	st.session.answer.setEvents(st.session.position.eventCount, len(st.pending))
	return n, nil
}

// fill reads the next events of the run, or of its successor if that one is first.
func (st *stream) fill() error {
	events, err := st.run.nextEvents(st.buf)
	switch {
	case len(st.successors.pending) == 0:
	case st.successors.accepted != nil:
		// Events that the abandoned run had read, but not yet returned, are in its successor's
		// answer, too.
		events, err = st.adoptSuccessor(asCallError(st.run.end))
	case err == nil || isComplete(err):
		st.discardSuccessors()
	case st.successorContinues():
		events, err = st.adoptSuccessor(asCallError(err))
	}
	if err != nil {
		if isComplete(err) {
			st.recordEnd()
		}
		return err
	}
	first := !st.run.spliced
	if err := st.checkSplice(events); err != nil {
		return err
	}
	st.pending = events
	st.recordProgress(time.Now(), events, first)
	return nil
}

// recordEnd records the time that a whole stream took, and a short stream that was complete as a success of its prompt. The end of a
// connection does not show that an answer without framing is complete.
func (st *stream) recordEnd() {
	s, r := st.session, st.run
	if r.resumeAfter == "" {
		s.entry.mu.Lock()
		s.entry.placer.RecordServiceTime(s.target, s.request.serviceTime, time.Since(r.sentAt))
		s.entry.mu.Unlock()
	}
	if r.succeeded || r.endsWithConnection || r.eventsRead == 0 {
		return
	}
	r.succeeded = true
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	s.recordSuccess()
}

// checkSplice checks that the first event of a run continues what the caller has been sent.
func (st *stream) checkSplice(events []byte) error {
	s, r := st.session, st.run
	id, isEvent := firstIdentifier(events)
	if !isEvent || r.spliced {
		return nil
	}
	if s.request.route.Idempotency == document.Resumable {
		if err := s.checkNextEvent(id); err != nil {
			return r.abort(dispatch.Malformed, err)
		}
	}
	r.spliced = true
	return nil
}

// checkNextEvent checks the first event of a run against the position and the service's
// numbering.
func (s *session) checkNextEvent(id string) error {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	return s.position.checkNext(id, s.entry.numberingOf(s.request.service.Name))
}

// numberingOf returns how a service numbers its events; the caller holds the lock.
func (e *Entry) numberingOf(service string) *numbering {
	n := e.numberings[service]
	if n == nil {
		n = &numbering{}
		e.numberings[service] = n
	}
	return n
}

// recordProgress records that events are passed on, that the target answers, and the gap since
// its last events.
func (st *stream) recordProgress(now time.Time, events []byte, firstOfRun bool) {
	e, s, r := st.session.entry, st.session, st.run
	e.mu.Lock()
	defer e.mu.Unlock()
	bootNow := boottime.Now()
	e.placer.RecordAnswer(bootNow, s.target)
	eventsBefore := s.position.eventCount
	s.position.advance(events, firstOfRun, e.numberingOf(s.request.service.Name))
	r.eventsRead += s.position.eventCount - eventsBefore
	if !r.succeeded && r.eventsRead >= successEvents {
		r.succeeded = true
		s.recordSuccess()
	}
	if r.eventAt.IsZero() {
		e.placer.RecordStart(s.target, now.Sub(r.sentAt))
	} else {
		e.placer.RecordEventGap(bootNow, s.target, now.Sub(r.eventAt))
		e.opts.Metrics.Observe(s.series("between_tokens"), now.Sub(r.eventAt))
	}
	r.eventAt = now
}

// resume continues the stream at another target after the last event that was passed on.
func (st *stream) resume(err *dispatch.CallError) error {
	s, failedRun := st.session, st.run
	for {
		if !s.handleFailure(failedRun, err) {
			s.entry.stopFields(s.entry.opts.Log.Warn(), s.request).Str("request_id", s.request.id).Str("reason", string(err.Reason)).Str("last_event", s.position.lastID).
				Int("sends", s.history.sends).Bool("budget_exhausted", s.refusedRetry).Msg("stream_not_resumed")
			return errNotResumed
		}
		if refusal := s.acquireTarget(); refusal != nil {
			s.entry.stopFields(s.entry.opts.Log.Warn(), s.request).Str("request_id", s.request.id).Str("last_event", s.position.lastID).Str("refused", refusal.Detail).Msg("stream_not_resumed")
			return errNotResumed
		}
		var next *upstreamRun
		if next, err = s.send(); err != nil {
			failedRun = nil
			continue
		}
		failedRun = next
		if err = s.checkResumed(next.resp); err != nil {
			continue
		}
		if err = st.awaitFirst(next); err != nil {
			// A successor may have replaced it before that one failed, too.
			failedRun = st.run
			continue
		}
		s.answer.reach(stageBegun, s.target.ID)
		s.logResumed(next, st.pending)
		return nil
	}
}

// logResumed logs that a run continued the stream with the given events.
func (s *session) logResumed(r *upstreamRun, events []byte) {
	continuedAt, _ := firstIdentifier(events)
	s.entry.opts.Log.Info().Str("request_id", s.request.id).Str("target", s.target.ID).Int("send", s.currentSend.number).
		Str("asked_after", r.resumeAfter).Str("went_on_at", continuedAt).Str("last_event", s.position.lastID).Msg("stream_resumed")
}

func (s *session) checkResumed(resp *dispatch.Response) *dispatch.CallError {
	if resp.Status() != fasthttp.StatusOK {
		return resp.Abort(dispatch.Failed, errNotResumed)
	}
	return s.checkResponse(resp)
}

// Close implements io.Closer; the server calls it once the answer has ended.
func (st *stream) Close() error {
	s := st.session
	st.discardSuccessors()
	_ = st.run.resp.Abort(dispatch.Canceled, errClientDisconnected)
	s.observe()
	s.entry.logAnswer(s, fasthttp.StatusOK, st.outcome)
	s.finish()
	return nil
}
