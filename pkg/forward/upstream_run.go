package forward

import (
	"errors"
	"io"
	"time"

	"github.com/masticmount/masticmount/pkg/dispatch"
)

// upstreamRun is one send of a request and the upstream's answer to it. An incomplete event is
// discarded with its run; the session keeps only what was passed on to the caller.
type upstreamRun struct {
	resp   *dispatch.Response
	sentAt time.Time
	// resumeAfter is the identifier of the last event that the caller has, as sent to the
	// upstream; empty for an answer from the start.
	resumeAfter string
	// endsWithConnection is true for a series of events that has neither a length nor chunks. An
	// answer to a request for the rest of a stream is one, whatever type it states.
	endsWithConnection bool
	events             eventSplitter
	// spliced is true once the first event was checked to continue after resumeAfter.
	spliced bool
	// eventsRead counts the events that were read of it.
	eventsRead int
	// succeeded is true once the run was recorded as a success of its prompt parts.
	succeeded bool
	// eventAt is when the last events came; zero before the first.
	eventAt time.Time
	// stallTimeout bounds the time without a complete event; 0 sets no bound. onStall decides
	// whether the run is then abandoned. silentSince is when the last complete event came or
	// the bound was set.
	stallTimeout time.Duration
	onStall      func() bool
	silentSince  time.Time
	// end is how the answer ended: io.EOF when it was complete, or a *dispatch.CallError; nil
	// until then.
	end error
}

// nextEvents returns the complete events that follow, which are valid until it is called
// again. After the last ones it returns how the answer ended: io.EOF or a *dispatch.CallError.
func (r *upstreamRun) nextEvents(buf []byte) ([]byte, error) {
	for r.end == nil {
		n, err := r.resp.Read(buf)
		events := r.events.feed(buf[:n])
		switch {
		case errors.Is(err, io.EOF):
			if r.end = r.endOfBody(events); errors.Is(r.end, io.EOF) {
				events = r.events.flush()
			}
		case err != nil:
			r.end = err
		case r.events.pending() > maxEventBytes:
			_ = r.abort(dispatch.Malformed, errEventSize)
		}
		if len(events) > 0 {
			r.silentSince = time.Now()
			return events, nil
		}
		if r.end == nil && r.abandonsStalled() {
			_ = r.abort(dispatch.Stalled, errNoCompleteEvent)
		}
	}
	return nil, r.end
}

// errNoCompleteEvent is the failure of a run that sent bytes but completed no event within the
// stall timeout.
var errNoCompleteEvent = errors.New("the stream sent bytes but no complete event within the stall timeout")

// setStallTimeout has onStall called whenever no complete event came for d; 0 sets no bound.
func (r *upstreamRun) setStallTimeout(d time.Duration, onStall func() bool) {
	r.stallTimeout, r.onStall, r.silentSince = d, onStall, time.Now()
	r.resp.SetIdleTimeout(d, onStall)
}

// abandonsStalled reports whether a run that has sent bytes but no complete event is to be
// abandoned.
func (r *upstreamRun) abandonsStalled() bool {
	now := time.Now()
	if r.stallTimeout == 0 || now.Sub(r.silentSince) < r.stallTimeout {
		return false
	}
	r.silentSince = now
	return r.onStall()
}

// abort ends the run because of what its answer contains.
func (r *upstreamRun) abort(reason dispatch.Reason, cause error) *dispatch.CallError {
	failure := r.resp.Abort(reason, cause)
	r.end = failure
	return failure
}

// endOfBody returns io.EOF, unless the body ended inside an event or, where only the end of the
// connection marks it, before the first event. An upstream that is asked to continue a stream
// after its last event states by a length or a last chunk that none is left. lastEvents are the
// events that came with the end.
func (r *upstreamRun) endOfBody(lastEvents []byte) error {
	if r.events.partial() {
		return r.resp.Abort(dispatch.Truncated, errTruncatedEvent)
	}
	if _, any := firstIdentifier(lastEvents); r.endsWithConnection && r.eventsRead == 0 && !any {
		if r.resumeAfter != "" {
			return r.resp.Abort(dispatch.Truncated, errContinuationWithoutEvent)
		}
		return r.resp.Abort(dispatch.Truncated, errNoEvent)
	}
	r.resp.Finish()
	return io.EOF
}

// eventCount is the number of events that were read; 0 for a run that began no answer.
func (r *upstreamRun) eventCount() int {
	if r == nil {
		return 0
	}
	return r.eventsRead
}

// pendingBytes is the number of buffered bytes of an incomplete event.
func (r *upstreamRun) pendingBytes() int {
	if r == nil {
		return 0
	}
	return r.events.pending()
}
