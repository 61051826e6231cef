package forward

import (
	"time"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
)

// sendHistory summarizes the sends of a request so far.
type sendHistory struct {
	// sends counts the sends that were started.
	sends int
	// notConnected counts those that ended without a connection; they reached no upstream.
	notConnected int
	// mayHaveRun is true once an upstream may have executed the request.
	mayHaveRun bool
	// firstEventSent is true once the caller was sent a part of the answer.
	firstEventSent bool
}

// recordFailure records a failed send.
func (h *sendHistory) recordFailure(err *dispatch.CallError) {
	if !err.NotRun() {
		h.mayHaveRun = true
	}
	if !err.Sent {
		h.notConnected++
	}
}

// mayRetry reports whether a request may be sent to another upstream.
func (h *sendHistory) mayRetry(kind document.Idempotency, maxAttempts int) bool {
	if h.sends-h.notConnected >= max(maxAttempts, 1) || h.notConnected > maxNotConnected {
		return false
	}
	switch kind {
	case document.AtMostOnce:
		return !h.mayHaveRun
	case document.Idempotent:
		return !h.firstEventSent
	default:
		return true
	}
}

// maxNotConnected bounds the sends without a connection beside a route's attempts. Each one ends
// within the time limit for opening a connection, and excludes its target.
const maxNotConnected = 4

// refusal is the answer to a request that no upstream answered. It states that the request
// never ran only where that is certain.
func (h *sendHistory) refusal(reason dispatch.Reason, retryAfter time.Duration) *fault.Error {
	if !h.mayHaveRun {
		return fault.New(fault.Overloaded, "retry after the time in Retry-After",
			"no upstream took the request (%s)", reason).WithRetryAfter(retryAfter)
	}
	if reason == dispatch.TimedOut {
		return fault.New(fault.DeadlinePassed, "check whether the request ran before retrying it",
			"the deadline passed before the answer was complete").WithOutcome(fault.Unknown)
	}
	if reason == dispatch.RefusalNotStated {
		return fault.New(fault.UpstreamFailed, "check whether the request ran before retrying it",
			"the upstream refused the request, but did not state that it had not run").WithOutcome(fault.Unknown)
	}
	return fault.New(fault.UpstreamFailed, "check whether the request ran before retrying it",
		"the upstream's answer was lost (%s)", reason).WithOutcome(fault.Unknown)
}
