package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// receivedEvent is an event that reached the caller, with the run that generated it.
type receivedEvent struct {
	streamEvent
	run *engineRun
}

// checkAnswer describes the first fault in what the caller received; empty if there is none.
func (q *sequence) checkAnswer(got outcome) string {
	if got.headErr != nil {
		return "no answer: " + got.headErr.Error()
	}
	if got.status != http.StatusOK {
		return cmp.Or(q.checkLastEventIDs(nil), q.checkFailure(got))
	}
	events, problem := q.trace(got.body)
	if problem != "" {
		return problem
	}
	return cmp.Or(q.checkOrder(events), q.checkLastEventIDs(events), q.checkEnd(got, events))
}

// checkLastEventIDs checks that each run was asked to resume after an event that the caller
// received, and never after an earlier event than the run before.
func (q *sequence) checkLastEventIDs(events []receivedEvent) string {
	received := map[string]int{q.lastEventID(q.resumeAfter): q.resumeAfter}
	for _, e := range events {
		if e.position != comment {
			received[q.lastEventID(e.position)] = e.position
		}
	}
	least := q.resumeAfter
	for _, r := range q.runs {
		position, ok := received[r.asked]
		if !ok || position < least {
			return fmt.Sprintf("run %d was asked to resume after %q, which the caller did not receive or lies before event %d", r.number, r.asked, least)
		}
		least = position
	}
	return ""
}

// checkFailure checks an answer that is not a stream: it must be the entry's own, or unchanged
// from a run.
func (q *sequence) checkFailure(got outcome) string {
	if got.err != nil {
		return "the failure is truncated: " + got.err.Error()
	}
	if got.signature == "" {
		return ""
	}
	for _, r := range q.runs {
		if got.signature == signatureOf(r) && got.status == r.status && got.body == r.failure && r.ends != endTruncated {
			return ""
		}
	}
	return fmt.Sprintf("no run sent the failure: status %d, %q, signature %s", got.status, got.body, got.signature)
}

// trace finds the run that generated each event.
func (q *sequence) trace(body string) (events []receivedEvent, problem string) {
	texts := strings.SplitAfter(body, "\n\n")
	for i, text := range texts {
		if text == "" {
			continue
		}
		found := false
		for _, r := range q.runs {
			for _, p := range r.generated {
				if p.text == text {
					events, found = append(events, receivedEvent{p, r}), true
				}
			}
		}
		if !found {
			return nil, fmt.Sprintf("no run generated event %d: %s", i+1, abbreviate(text))
		}
	}
	return events, ""
}

// checkOrder checks that no event is missing or repeated, and that a run whose events follow
// another's was asked to resume after that event.
func (q *sequence) checkOrder(events []receivedEvent) string {
	position, run := q.resumeAfter, (*engineRun)(nil)
	for _, e := range events {
		if e.position == comment {
			continue
		}
		if e.position != position+1 {
			return fmt.Sprintf("event %d of run %d comes after event %d", e.position, e.run.number, position)
		}
		if e.run != run && e.run.asked != q.lastEventID(position) {
			return fmt.Sprintf("event %d is of run %d, which was asked to resume after %q", e.position, e.run.number, e.run.asked)
		}
		position, run = e.position, e.run
	}
	return ""
}

// lastEventID returns the Last-Event-Id that makes a run resume after an event.
func (q *sequence) lastEventID(position int) string {
	if position == 0 {
		return ""
	}
	return q.eventID(position)
}

// checkEnd checks that a stream ended without an error only if a run completed it, and that
// the header is that of the run with the first event.
func (q *sequence) checkEnd(got outcome, events []receivedEvent) string {
	enders := q.completingRuns(events)
	signed := enders
	if len(events) > 0 {
		signed = []*engineRun{events[0].run}
	} else if got.err != nil {
		signed = nil
	}
	switch {
	case got.err == nil && len(enders) == 0:
		return fmt.Sprintf("ends without an error after %d events, though no run completed there", len(events))
	case !slices.ContainsFunc(signed, func(r *engineRun) bool { return got.signature == signatureOf(r) }):
		return fmt.Sprintf("wrong header: signature %q, %d events, error %v", got.signature, len(events), got.err)
	default:
		return ""
	}
}

// completingRuns returns the runs that completed their stream right after the last event. An
// answer that is not a success completes no stream.
func (q *sequence) completingRuns(events []receivedEvent) (enders []*engineRun) {
	position, run := q.resumeAfter, (*engineRun)(nil)
	for _, e := range events {
		if e.position != comment {
			position, run = e.position, e.run
		}
	}
	for _, r := range q.runs {
		last := lastPosition(r)
		here := r == run && last == position || last == comment && r.asked == q.lastEventID(position)
		if here && r.ends != endTruncated && r.status == http.StatusOK {
			enders = append(enders, r)
		}
	}
	return enders
}

// lastPosition returns the position of the last event that a run generated; comment if none.
func lastPosition(r *engineRun) int {
	last := comment
	for _, p := range r.generated {
		if p.position != comment {
			last = p.position
		}
	}
	return last
}

// broken reports whether the caller did not receive the whole stream.
func (got outcome) broken() bool { return got.status != http.StatusOK || got.err != nil }

// checkCompleted checks that the stream did not break although a run sent all requested events
// and its end.
func (q *sequence) checkCompleted(got outcome) string {
	for _, r := range q.runs {
		if r.correct && got.broken() {
			return fmt.Sprintf("status %d, error %v, though run %d completed the stream", got.status, got.err, r.number)
		}
	}
	return ""
}

// checkAllSendsUsed checks that a stream broke only after the last send or at the deadline. A
// failure below 500 counts as an answer.
func (q *sequence) checkAllSendsUsed(got outcome) string {
	allowed := slices.ContainsFunc(q.runs, func(r *engineRun) bool {
		return r.silentUntilDeadline || got.signature == signatureOf(r) && got.status == r.status && r.status < http.StatusInternalServerError && got.err == nil
	})
	if !got.broken() || q.mayEndBroken || allowed || len(q.runs) == maxRuns {
		return ""
	}
	return fmt.Sprintf("status %d, error %v after %d sends", got.status, got.err, len(q.runs))
}
