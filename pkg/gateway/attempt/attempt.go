// Package attempt is the state machine of one request. It decides when the
// request is dispatched, whether it is retried after a failure, how its claim is
// settled and what the caller receives. It maps events to actions and holds no
// clock, socket or goroutine.
//
// The outcome not-run is reported only if every attempt so far either sent no
// byte or was refused explicitly by its upstream.
package attempt

import (
	"github.com/masticmount/masticmount/pkg/fault"
)

// Request holds the properties of a request that decisions depend on.
type Request struct {
	// Idempotent requests may be retried after a failure.
	Idempotent bool
	// Numbered streams can resume after the tokens already delivered. Other answers
	// restart from the beginning, which is possible only before any part was
	// delivered.
	Numbered bool
	// MaxAttempts limits the attempts, not counting those that follow a preemption
	// or a change of the group.
	MaxAttempts int
}

// Event is an input of the state machine.
type Event interface{ isEvent() }

// The events.
type (
	// Arrived starts the request.
	Arrived struct{}
	// ClaimGranted means that the request's claim is committed.
	ClaimGranted struct{}
	// ClaimFailed means that the claim may or may not be committed.
	ClaimFailed struct{ Err *fault.Error }
	// ClaimConflict means that an earlier request holds a claim on the key; Err
	// describes its state.
	ClaimConflict struct{ Err *fault.Error }
	// AnswerRecorded means that an answer is already recorded for the key.
	AnswerRecorded struct{}
	// SlotAssigned means that the scheduler assigned the request a slot in a group.
	SlotAssigned struct{ Group string }
	// SlotRefused means that the scheduler refused the request.
	SlotRefused struct{ Err *fault.Error }
	// Failed means that an attempt ended without a complete answer.
	Failed struct {
		// Err is returned to the caller if the request is not retried.
		Err *fault.Error
		// NotRun is true if no byte was sent or the upstream refused explicitly.
		NotRun bool
		// Final is true if a retry cannot succeed, for example after the deadline.
		Final bool
	}
	// Delivered means that a part of the answer was passed on to the caller.
	Delivered struct {
		Tokens int
		// Unnumbered is true if the part has no token position.
		Unnumbered bool
	}
	// Answered means that the complete answer was received.
	Answered struct{}
	// Preempted means that the scheduler takes the slot back.
	Preempted struct{}
	// GroupBroken means that the group is no longer whole.
	GroupBroken struct{}
	// Quarantined means that upstreams crash on the content of the request, so that it must not
	// be sent any more. A non-idempotent request that was sent ignores it.
	Quarantined struct{ Err *fault.Error }
	// ClientDisconnected means that the client disconnected.
	ClientDisconnected struct{}
	// Suspected means that the running stream may not go on: it is silent, or its group
	// is no longer whole. Its attempt still runs.
	Suspected struct{}
	// SuccessorContinued means that the successor received the next token of the stream;
	// the attempt that it replaces has been canceled.
	SuccessorContinued struct{ Group string }
	// SuccessorFailed means that the successor ended before that.
	SuccessorFailed struct {
		// Group is empty if the successor was assigned none.
		Group  string
		NotRun bool
	}
)

func (Arrived) isEvent()            {}
func (ClaimGranted) isEvent()       {}
func (ClaimFailed) isEvent()        {}
func (ClaimConflict) isEvent()      {}
func (AnswerRecorded) isEvent()     {}
func (SlotAssigned) isEvent()       {}
func (SlotRefused) isEvent()        {}
func (Failed) isEvent()             {}
func (Delivered) isEvent()          {}
func (Answered) isEvent()           {}
func (Preempted) isEvent()          {}
func (GroupBroken) isEvent()        {}
func (Quarantined) isEvent()        {}
func (ClientDisconnected) isEvent() {}
func (Suspected) isEvent()          {}
func (SuccessorContinued) isEvent() {}
func (SuccessorFailed) isEvent()    {}

// Action is an output of the state machine, carried out by its driver.
type Action interface{ isAction() }

// The actions.
type (
	// Claim commits a claim on the request's idempotency key.
	Claim struct{}
	// Acquire requests a slot from the scheduler.
	Acquire struct {
		// Resumed is the number of tokens already delivered.
		Resumed int
		// Exclude lists the groups on which the request has failed.
		Exclude []string
	}
	// Dispatch sends the request to the assigned group.
	Dispatch struct{ ResumeFrom int }
	// Cancel aborts the running attempt and closes its connection.
	Cancel struct{}
	// Release returns the slot to the scheduler.
	Release struct{ Failed bool }
	// Settle settles the claim.
	Settle struct{ To Settlement }
	// Answer sends the complete answer, or the end of its stream, to the caller.
	Answer struct{}
	// Refuse returns an error to the caller.
	Refuse struct{ Err *fault.Error }
	// Discard ends the request without a response.
	Discard struct{}
	// StartSuccessor starts a second attempt beside the running one, which continues the
	// stream on another group.
	StartSuccessor struct {
		// ResumeFrom is the number of tokens already delivered.
		ResumeFrom int
		// Exclude lists the group of the running attempt and those on which the request
		// has failed.
		Exclude []string
	}
	// AwaitSuccessor waits until the successor has continued or failed.
	AwaitSuccessor struct{}
	// AdoptSuccessor makes the successor the running attempt.
	AdoptSuccessor struct{}
	// CancelSuccessor aborts the successor and releases its slot.
	CancelSuccessor struct{}
)

func (Claim) isAction()    {}
func (Acquire) isAction()  {}
func (Dispatch) isAction() {}
func (Cancel) isAction()   {}
func (Release) isAction()  {}
func (Settle) isAction()   {}
func (Answer) isAction()   {}
func (Refuse) isAction()   {}
func (Discard) isAction()  {}

func (StartSuccessor) isAction()  {}
func (AwaitSuccessor) isAction()  {}
func (AdoptSuccessor) isAction()  {}
func (CancelSuccessor) isAction() {}

// Settlement is the final state of a claim.
type Settlement string

// The settlements.
const (
	// Record stores the answer for later requests with the same key.
	Record Settlement = "record"
	// Abandon frees the key; the request certainly did not run.
	Abandon Settlement = "abandon"
	// MarkUnknown keeps the key claimed; the request may have run.
	MarkUnknown Settlement = "mark-unknown"
)
