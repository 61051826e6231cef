package attempt

import (
	"fmt"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

// phase is the state of a request.
type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseQueued
	phaseRunning
	// phaseAwaiting means that the running attempt has ended and its successor has not.
	phaseAwaiting
	phaseEnded
)

// injectedFault selects a fault to inject; only tests set it.
type injectedFault int

const (
	_ injectedFault = iota
	// forgetEarlierAttempts considers only the last attempt.
	forgetEarlierAttempts
	// retryEverything retries non-idempotent requests.
	retryEverything
	// dispatchBeforeClaim schedules the request before its claim is committed.
	dispatchBeforeClaim
	// restartStream resumes from the first token.
	restartStream
	// abandonAlways frees the key after any failure.
	abandonAlways
	// giveUpSuspected ends a suspected attempt before another one has continued its stream.
	giveUpSuspected
	// retryQuarantined treats quarantined content as a lost slot.
	retryQuarantined
)

// Machine is the state machine of one request. It is not safe for concurrent use.
type Machine struct {
	req      Request
	injected injectedFault
	phase    phase
	group    string
	exclude  []string
	retries  int
	// deliveredBefore is the value of delivered when the running attempt was dispatched.
	deliveredBefore int
	// brokenAtStart counts the attempts whose group broke before they delivered a token.
	brokenAtStart int
	// mayHaveRun is true once any attempt may have reached an upstream; it is never
	// reset.
	mayHaveRun bool
	delivered  int
	// begun is true once any part was delivered.
	begun bool
	// unnumbered is true once a part without a token position was delivered.
	unnumbered bool
	claimed    bool
	// retryAfter is the delay that the last failed attempt asked for; 0 for none.
	retryAfter time.Duration
	// hasSuccessor is true while a successor runs beside the attempt.
	hasSuccessor bool
	// lastFailure is the failure of the attempt whose successor is awaited; nil if the
	// attempt was interrupted.
	lastFailure *Failed
}

// New returns the state machine of a request.
func New(req Request) *Machine { return &Machine{req: req} }

// Ended reports whether the request has reached its final state.
func (m *Machine) Ended() bool { return m.phase == phaseEnded }

// Interruptible reports whether a running attempt is canceled when its group
// breaks, its slot is preempted or its client disconnects.
func (m *Machine) Interruptible() bool { return m.req.Idempotent }

// MayHaveRun reports whether any attempt may have reached an upstream.
func (m *Machine) MayHaveRun() bool { return m.mayHaveRun }

// Begun reports whether any part of the answer was delivered to the caller.
func (m *Machine) Begun() bool { return m.begun }

// Delivered returns the number of tokens delivered to the caller.
func (m *Machine) Delivered() int { return m.delivered }

// Step processes an event and returns the resulting actions, in order.
func (m *Machine) Step(event Event) []Action {
	if m.phase == phaseEnded {
		return nil
	}
	switch e := event.(type) {
	case Arrived:
		return m.arrived()
	case ClaimGranted:
		return m.claimGranted()
	case ClaimFailed:
		return m.finish(Refuse(e))
	case ClaimConflict:
		return m.finish(Refuse(e))
	case AnswerRecorded:
		return m.finish(Answer{})
	case SlotAssigned:
		return m.slotAssigned(e.Group)
	case SlotRefused:
		return m.slotRefused(e.Err)
	case Failed:
		return m.failed(e)
	case Delivered:
		return m.deliver(e)
	case Answered:
		return m.answered()
	case Preempted:
		return m.interrupt("the request was preempted and cannot be resumed on another group")
	case GroupBroken:
		return m.groupBroken()
	case Quarantined:
		return m.quarantined(e.Err)
	case ClientDisconnected:
		return m.clientDisconnected()
	case Suspected:
		return m.suspected()
	case SuccessorContinued:
		return m.successorContinued(e.Group)
	case SuccessorFailed:
		return m.successorFailed(e)
	default:
		return nil
	}
}

func (m *Machine) arrived() []Action {
	if m.req.Idempotent {
		m.phase = phaseQueued
		return []Action{Acquire{}}
	}
	m.phase = phaseClaiming
	if m.injected == dispatchBeforeClaim {
		m.phase = phaseQueued
		return []Action{Acquire{}, Claim{}}
	}
	return []Action{Claim{}}
}

func (m *Machine) claimGranted() []Action {
	m.claimed = true
	if m.phase != phaseClaiming {
		return nil
	}
	m.phase = phaseQueued
	return []Action{Acquire{}}
}

func (m *Machine) slotAssigned(group string) []Action {
	m.phase, m.group, m.deliveredBefore = phaseRunning, group, m.delivered
	return []Action{Dispatch{ResumeFrom: m.resumeFrom()}}
}

func (m *Machine) resumeFrom() int {
	if m.injected == restartStream {
		return 0
	}
	return m.delivered
}

func (m *Machine) answered() []Action {
	actions := []Action{Release{}}
	if m.claimed {
		actions = append(actions, Settle{Record})
	}
	return append(actions, m.finish(Answer{})...)
}

func (m *Machine) failed(e Failed) []Action {
	if m.injected == forgetEarlierAttempts {
		m.mayHaveRun = false
	}
	m.mayHaveRun = m.mayHaveRun || !e.NotRun
	m.retryAfter = e.Err.RetryAfter
	actions := []Action{Release{Failed: true}}
	if m.hasSuccessor && !e.Final {
		m.phase, m.lastFailure = phaseAwaiting, &e
		return append(actions, AwaitSuccessor{})
	}
	return append(actions, m.retry(e)...)
}

// retry reschedules the request after a failure, or ends it.
func (m *Machine) retry(e Failed) []Action {
	if e.Final || !m.hasRetry() || !m.canRetry() {
		return m.refuse(e.Err)
	}
	m.retries++
	m.exclude = append(m.exclude, m.group)
	return []Action{m.acquire()}
}

func (m *Machine) hasRetry() bool { return m.retries+1 < m.req.MaxAttempts }

// groupBroken reschedules the request after its group lost a member. The request may itself be
// the reason, so the groups that break before they deliver a token of it are bounded.
func (m *Machine) groupBroken() []Action {
	if m.phase == phaseRunning && m.delivered == m.deliveredBefore {
		m.brokenAtStart++
	}
	if m.brokenAtStart >= max(m.req.MaxAttempts, 1) {
		return m.endInterrupted(fault.New(fault.UpstreamFailed, "send the request again later, and change its prompt if it fails again",
			"%d groups lost a member before they answered the request", m.brokenAtStart))
	}
	return m.interrupt("the group lost a member and the answer cannot be resumed on another group")
}

// endInterrupted cancels the running attempt and ends the request with an error. A non-idempotent
// attempt continues.
func (m *Machine) endInterrupted(err *fault.Error) []Action {
	if m.phase != phaseRunning || !m.req.Idempotent {
		return nil
	}
	m.mayHaveRun = true
	return append([]Action{Cancel{}, Release{}}, m.refuse(err)...)
}

// quarantined ends the request before it is sent again, and with it the successor. A retry does not
// help.
func (m *Machine) quarantined(err *fault.Error) []Action {
	if m.injected == retryQuarantined {
		return m.groupBroken()
	}
	if m.phase == phaseQueued {
		return m.end(err)
	}
	if m.phase == phaseAwaiting {
		m.mayHaveRun = true
		return m.end(err)
	}
	if m.phase != phaseRunning || !m.req.Idempotent {
		return nil
	}
	m.mayHaveRun = true
	return append([]Action{Cancel{}, Release{}}, m.end(err)...)
}

// interrupt cancels the running attempt and, if possible, reschedules the request.
// A non-idempotent attempt continues, because only its answer shows whether the
// request ran. Losing a slot is not a failure of the request: no group is excluded,
// so the scheduler does not count the new attempt as a retry.
func (m *Machine) interrupt(detail string) []Action {
	if m.phase != phaseRunning || !m.req.Idempotent {
		return nil
	}
	m.mayHaveRun = true
	m.exclude = nil
	if !m.canRetry() {
		return m.endInterrupted(fault.New(fault.UpstreamFailed, "send the request again", "%s", detail).WithRetryAfter(fault.MinRetryAfter))
	}
	if m.hasSuccessor {
		m.phase, m.lastFailure = phaseAwaiting, nil
		return []Action{Cancel{}, Release{}, AwaitSuccessor{}}
	}
	return []Action{Cancel{}, Release{}, m.acquire()}
}

// canRetry reports whether another attempt is safe: it can neither run a
// non-idempotent request twice nor deliver a part of an answer twice.
func (m *Machine) canRetry() bool {
	if m.injected == retryEverything {
		return true
	}
	if m.unnumbered || m.delivered > 0 && !m.req.Numbered {
		return false
	}
	return m.req.Idempotent || !m.mayHaveRun
}

func (m *Machine) acquire() Action {
	m.phase = phaseQueued
	return Acquire{Resumed: m.resumeFrom(), Exclude: append([]string(nil), m.exclude...)}
}

// slotRefused ends the request. Without another group capacity is expected when the one that failed takes requests again.
func (m *Machine) slotRefused(err *fault.Error) []Action {
	reported := *err
	if err.Kind == fault.NoWholeGroup && m.retryAfter > 0 {
		reported.RetryAfter = m.retryAfter
	}
	return m.refuse(&reported)
}

// refuse ends the request with an error whose outcome accounts for all attempts.
func (m *Machine) refuse(err *fault.Error) []Action {
	reported := *err
	if reported.RetryAfter == 0 && m.retryMayHelp(err) {
		reported.RetryAfter = fault.MinRetryAfter
	}
	return m.end(&reported)
}

// retryMayHelp reports whether the caller may send the request again with another result. One that was sent nowhere because its deadline
// is too near will find it as near the next time.
func (m *Machine) retryMayHelp(err *fault.Error) bool {
	if !m.mayHaveRun {
		return err.Kind != fault.DeadlinePassed
	}
	return m.req.Idempotent
}

// end ends the request with an error, without a time for a retry if it has none.
func (m *Machine) end(err *fault.Error) []Action {
	reported := *err
	reported.Outcome = fault.NotRun
	if m.mayHaveRun {
		reported.Outcome = fault.Unknown
	}
	var actions []Action
	if m.claimed {
		actions = append(actions, Settle{m.settlement()})
	}
	return append(actions, m.finish(Refuse{&reported})...)
}

func (m *Machine) settlement() Settlement {
	if m.mayHaveRun && m.injected != abandonAlways {
		return MarkUnknown
	}
	return Abandon
}

// clientDisconnected cancels the request. A dispatched non-idempotent request
// continues, so that its answer is recorded for a retry with the same key.
func (m *Machine) clientDisconnected() []Action {
	if m.phase == phaseClaiming || m.phase == phaseRunning && !m.req.Idempotent {
		return nil
	}
	var actions []Action
	if m.phase == phaseRunning {
		actions = append(actions, Cancel{}, Release{})
	}
	if m.claimed {
		actions = append(actions, Settle{m.settlement()})
	}
	return append(actions, m.finish(Discard{})...)
}

func (m *Machine) finish(last Action) []Action {
	m.phase = phaseEnded
	if m.hasSuccessor {
		m.hasSuccessor = false
		return []Action{CancelSuccessor{}, last}
	}
	return []Action{last}
}

// String formats an action with its arguments, for logs and golden files.
func String(a Action) string {
	switch a := a.(type) {
	case Acquire:
		return fmt.Sprintf("acquire resumed=%d exclude=%v", a.Resumed, a.Exclude)
	case Dispatch:
		return fmt.Sprintf("dispatch resume-from=%d", a.ResumeFrom)
	case Release:
		return fmt.Sprintf("release failed=%t", a.Failed)
	case Settle:
		return fmt.Sprintf("settle %s", a.To)
	case Refuse:
		return fmt.Sprintf("refuse %s outcome=%s retry-after=%ds", a.Err.Kind, a.Err.Outcome, a.Err.RetryAfterSeconds())
	case Claim:
		return "claim"
	case Cancel:
		return "cancel"
	case StartSuccessor:
		return fmt.Sprintf("start-successor resume-from=%d exclude=%v", a.ResumeFrom, a.Exclude)
	case AwaitSuccessor:
		return "await-successor"
	case AdoptSuccessor:
		return "adopt-successor"
	case CancelSuccessor:
		return "cancel-successor"
	case Answer:
		return "answer"
	default:
		return "forget"
	}
}
