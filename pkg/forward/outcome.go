package forward

import (
	"time"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
)

// history is what became of a request's sends so far.
type history struct {
	// sends counts the sends that were begun.
	sends int
	// mayHaveRun is true once a send may have been executed.
	mayHaveRun bool
	// firstEvent is true once the caller was sent a part of the answer.
	firstEvent bool
}

// note takes in a failed send.
func (h *history) note(err *dispatch.CallError) {
	if !err.NotRun() {
		h.mayHaveRun = true
	}
}

// mayRepeat reports whether a request may be sent to another upstream.
func (h *history) mayRepeat(kind document.Idempotency, maxAttempts int, left time.Duration) bool {
	if h.sends >= max(maxAttempts, 1) || left < minTimeLeft {
		return false
	}
	switch kind {
	case document.RunOnce:
		return !h.mayHaveRun
	case document.Repeatable:
		return !h.firstEvent
	default:
		return true
	}
}

// minTimeLeft is the time below which another send cannot be answered any more:
// two passes of an engine.
const minTimeLeft = 120 * time.Millisecond

// refusal is the answer of a request that nobody answered. It promises that the
// request never ran only where that is certain.
func (h *history) refusal(reason dispatch.Reason, retryAfter time.Duration) *fault.Error {
	if !h.mayHaveRun {
		return fault.New(fault.Overloaded, "come back after the time in Retry-After",
			"no upstream took the request (%s)", reason).After(retryAfter)
	}
	if reason == dispatch.TimedOut {
		return fault.New(fault.DeadlinePassed, "look up whether it ran before sending it again",
			"the time to answer passed").WithOutcome(fault.Unknown)
	}
	return fault.New(fault.UpstreamFailed, "look up whether it ran before sending it again",
		"the upstream's answer was lost (%s)", reason).WithOutcome(fault.Unknown)
}
