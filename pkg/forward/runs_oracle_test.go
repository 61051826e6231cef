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
func (s *sequence) checkAnswer(received callerAnswer) string {
	if received.headErr != nil {
		return "no answer: " + received.headErr.Error()
	}
	if received.status != http.StatusOK {
		return cmp.Or(s.checkLastEventIDs(nil), s.checkFailure(received))
	}
	events, problem := s.trace(received.body)
	if problem != "" {
		return problem
	}
	return cmp.Or(s.checkOrder(events), s.checkLastEventIDs(events), s.checkEnd(received, events))
}

// checkLastEventIDs checks that each run was asked to resume after an event that the caller
// received, and never after an earlier event than the run before.
func (s *sequence) checkLastEventIDs(events []receivedEvent) string {
	received := map[string]int{s.lastEventID(s.resumeAfter): s.resumeAfter}
	for _, e := range events {
		if e.position != comment {
			received[s.lastEventID(e.position)] = e.position
		}
	}
	least := s.resumeAfter
	for _, r := range s.runs {
		position, ok := received[r.lastEventID]
		if !ok || position < least {
			return fmt.Sprintf("run %d was asked to resume after %q, which the caller did not receive or lies before event %d", r.number, r.lastEventID, least)
		}
		least = position
	}
	return ""
}

// checkFailure checks an answer that is not a stream: it must be the entry's own, or unchanged
// from a run.
func (s *sequence) checkFailure(received callerAnswer) string {
	if received.err != nil {
		return "the failure is truncated: " + received.err.Error()
	}
	if received.signature == "" {
		return ""
	}
	for _, r := range s.runs {
		if received.signature == signatureOf(r) && received.status == r.status && received.body == r.failure && r.bodyEnd != endTruncated {
			return ""
		}
	}
	return fmt.Sprintf("no run sent the failure: status %d, %q, signature %s", received.status, received.body, received.signature)
}

// trace finds the run that generated each event.
func (s *sequence) trace(body string) (events []receivedEvent, problem string) {
	texts := strings.SplitAfter(body, "\n\n")
	for i, text := range texts {
		if text == "" {
			continue
		}
		found := false
		for _, r := range s.runs {
			for _, candidateEvent := range r.generated {
				if candidateEvent.text == text {
					events, found = append(events, receivedEvent{candidateEvent, r}), true
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
func (s *sequence) checkOrder(events []receivedEvent) string {
	position, run := s.resumeAfter, (*engineRun)(nil)
	for _, e := range events {
		if e.position == comment {
			continue
		}
		if e.position != position+1 {
			return fmt.Sprintf("event %d of run %d comes after event %d", e.position, e.run.number, position)
		}
		if e.run != run && e.run.lastEventID != s.lastEventID(position) {
			return fmt.Sprintf("event %d is of run %d, which was asked to resume after %q", e.position, e.run.number, e.run.lastEventID)
		}
		position, run = e.position, e.run
	}
	return ""
}

// lastEventID returns the Last-Event-Id that makes a run resume after an event.
func (s *sequence) lastEventID(position int) string {
	if position == 0 {
		return ""
	}
	return s.eventID(position)
}

// checkEnd checks that a stream ended without an error only if a run completed it, and that
// the header is that of the run with the first event.
func (s *sequence) checkEnd(received callerAnswer, events []receivedEvent) string {
	completing := s.completingRuns(events)
	headerRuns := completing
	if len(events) > 0 {
		headerRuns = []*engineRun{events[0].run}
	} else if received.err != nil {
		headerRuns = nil
	}
	switch {
	case received.err == nil && len(completing) == 0:
		return fmt.Sprintf("ends without an error after %d events, though no run completed there", len(events))
	case !slices.ContainsFunc(headerRuns, func(r *engineRun) bool { return received.signature == signatureOf(r) }):
		return fmt.Sprintf("wrong header: signature %q, %d events, error %v", received.signature, len(events), received.err)
	default:
		return ""
	}
}

// completingRuns returns the runs that completed their stream right after the last event. An
// answer that is not a success completes no stream.
func (s *sequence) completingRuns(events []receivedEvent) (completing []*engineRun) {
	position, run := s.resumeAfter, (*engineRun)(nil)
	for _, e := range events {
		if e.position != comment {
			position, run = e.position, e.run
		}
	}
	for _, r := range s.runs {
		last := lastPosition(r)
		endsAtPosition := r == run && last == position || last == comment && r.lastEventID == s.lastEventID(position)
		if endsAtPosition && r.bodyEnd != endTruncated && r.status == http.StatusOK {
			completing = append(completing, r)
		}
	}
	return completing
}

// lastPosition returns the position of the last event that a run generated; comment if none.
func lastPosition(r *engineRun) int {
	last := comment
	for _, e := range r.generated {
		if e.position != comment {
			last = e.position
		}
	}
	return last
}

// broken reports whether the caller did not receive the whole stream.
func (a callerAnswer) broken() bool { return a.status != http.StatusOK || a.err != nil }

// checkCompleted checks that the stream did not break although a run sent all requested events
// and its end.
func (s *sequence) checkCompleted(received callerAnswer) string {
	for _, r := range s.runs {
		if r.correct && received.broken() {
			return fmt.Sprintf("status %d, error %v, though run %d completed the stream", received.status, received.err, r.number)
		}
	}
	return ""
}

// checkAllSendsUsed checks that a stream broke only after the last send or at the deadline. A
// failure below 500 counts as an answer.
func (s *sequence) checkAllSendsUsed(received callerAnswer) string {
	allowed := slices.ContainsFunc(s.runs, func(r *engineRun) bool {
		return r.silentUntilDeadline || received.signature == signatureOf(r) && received.status == r.status && r.status < http.StatusInternalServerError && received.err == nil
	})
	if !received.broken() || s.mayEndBroken || allowed || len(s.runs) == maxRuns {
		return ""
	}
	return fmt.Sprintf("status %d, error %v after %d sends", received.status, received.err, len(s.runs))
}
