package claims

import (
	"bytes"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// Retention is how long a claim is kept after it was opened. After that its key
	// can be claimed again.
	Retention = 24 * time.Hour
	// UnknownRetention is how long a claim is kept if its request may have run.
	UnknownRetention = 30 * 24 * time.Hour
	// MaxAnswerBytes limits the body of a recorded answer. A larger body is not kept.
	MaxAnswerBytes = 64 << 10

	// maxLease limits how long a claim may stay in progress.
	maxLease = time.Hour
	// spentRetention is how long spent attempts are kept, and maxSpent how many. An
	// opening step that the network delays for longer opens a claim whose request no
	// entry sends; it becomes unknown when its lease expires.
	spentRetention = 2 * time.Minute
	maxSpent       = 100_000
	// maxClaims and maxAnswersBytes limit the table; beyond them new claims are
	// rejected.
	maxClaims       = 1_000_000
	maxAnswersBytes = 1 << 30
	// fullRetryAfter is the retry delay sent to callers rejected by a full table.
	fullRetryAfter = time.Minute
	// maxListed limits a listing of unknown claims.
	maxListed = 1000
	// maxKeyBytes limits the length of an Idempotency-Key.
	maxKeyBytes = 256
)

// Table holds all claims of a region. It is deterministic: equal commands and leader
// times give equal results on every keeper. It reads no clock.
//
// The states of a claim are none -> in progress -> answered or unknown. It returns to
// none only if its holder abandons it because the request did not run, if an operator
// settles it as not run, or after its retention. Only one attempt is granted in
// between, so that at most one request is sent for each key.
type Table struct {
	claims map[Key]*peerpb.ClaimRecord
	// order and unknowns hold claims, oldest first. They may contain claims that are
	// no longer in the table; readers skip these.
	order    []*peerpb.ClaimRecord
	unknowns []*peerpb.ClaimRecord
	// spent holds the attempts that must not be granted any more.
	spent        map[string]*peerpb.SpentAttempt
	spentOrder   []*peerpb.SpentAttempt
	answersBytes int
	faults       injectedFaults
}

// injectedFaults disables single safeguards. Tests use it to verify that their
// checks detect the fault.
type injectedFaults struct {
	grantUnknown bool
	ignoreSpent  bool
	anyHolder    bool
	settleEarly  bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{claims: map[Key]*peerpb.ClaimRecord{}, spent: map[string]*peerpb.SpentAttempt{}}
}

// Apply executes one step of a claim at the leader's time.
func (t *Table) Apply(nowMS int64, cmd *peerpb.ClaimCommand) *peerpb.Result {
	if list := cmd.GetListUnknown(); list != nil {
		return t.listUnknown(nowMS, int(list.GetMax()))
	}
	key := Key{Account: cmd.GetKey().GetAccount(), Value: cmd.GetKey().GetValue()}
	if key.Value == "" || len(key.Value) > maxKeyBytes || cmd.GetAttempt() == "" {
		return rejection(fault.InvalidRequest, "send an Idempotency-Key of 1 to 256 bytes", "the claim has no valid key or attempt")
	}
	switch step := cmd.GetStep().(type) {
	case *peerpb.ClaimCommand_Open:
		return t.open(nowMS, key, cmd.GetAttempt(), step.Open)
	case *peerpb.ClaimCommand_Record:
		return t.record(nowMS, key, cmd.GetAttempt(), step.Record)
	case *peerpb.ClaimCommand_Abandon:
		return t.abandon(nowMS, key, cmd.GetAttempt())
	case *peerpb.ClaimCommand_MarkUnknown:
		return t.markUnknown(nowMS, key, cmd.GetAttempt())
	case *peerpb.ClaimCommand_Settle:
		return t.settle(nowMS, key, cmd.GetAttempt(), step.Settle)
	case *peerpb.ClaimCommand_Lookup:
		return t.result(nowMS, t.claims[key])
	default:
		return rejection(fault.InvalidRequest, "use a version that all keepers know", "unknown step of a claim")
	}
}

// open grants the key to an attempt unless another attempt holds it. A resent attempt
// gets its earlier result again: a grant is never given to a second attempt, and a
// spent attempt (refused while another held the key, or abandoned) is never granted.
func (t *Table) open(nowMS int64, key Key, attempt string, step *peerpb.ClaimOpen) *peerpb.Result {
	if s := t.spent[attempt]; s != nil && !t.faults.ignoreSpent {
		return &peerpb.Result{Claim: &peerpb.ClaimResult{State: s.GetState()}}
	}
	if c := t.claims[key]; c != nil {
		return t.reopen(nowMS, c, attempt, step)
	}
	if len(t.claims) >= maxClaims || t.answersBytes >= maxAnswersBytes {
		return rejection(fault.Overloaded, "retry later; operators: see docs/operations/claims.md",
			"the table of claims is full")
	}
	c := &peerpb.ClaimRecord{
		Key:     &peerpb.ClaimKey{Account: key.Account, Value: key.Value},
		Attempt: attempt, NodeId: step.GetNodeId(), Fingerprint: step.GetFingerprint(),
		OpenedMs: nowMS, LeaseUntilMs: nowMS + clampLease(step.GetLeaseMs()),
		State: peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS,
	}
	t.claims[key] = c
	t.order = append(t.order, c)
	return grantedResult(c)
}

func (t *Table) reopen(nowMS int64, c *peerpb.ClaimRecord, attempt string, step *peerpb.ClaimOpen) *peerpb.Result {
	if !bytes.Equal(c.GetFingerprint(), step.GetFingerprint()) {
		t.markSpent(nowMS, attempt, peerpb.ClaimState_CLAIM_STATE_REUSED)
		return &peerpb.Result{Claim: &peerpb.ClaimResult{State: peerpb.ClaimState_CLAIM_STATE_REUSED}}
	}
	state := stateAt(nowMS, c)
	if state == peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS && c.GetAttempt() == attempt {
		return grantedResult(c)
	}
	if state == peerpb.ClaimState_CLAIM_STATE_UNKNOWN && t.faults.grantUnknown {
		c.Attempt, c.LeaseUntilMs = attempt, nowMS+clampLease(step.GetLeaseMs())
		return grantedResult(c)
	}
	if state != peerpb.ClaimState_CLAIM_STATE_ANSWERED && c.GetAttempt() != attempt {
		t.markSpent(nowMS, attempt, state)
	}
	return t.result(nowMS, c)
}

// markSpent ensures that an attempt is not granted any more, because its opening step
// may still be in flight.
func (t *Table) markSpent(nowMS int64, attempt string, state peerpb.ClaimState) {
	if t.spent[attempt] != nil {
		return
	}
	s := &peerpb.SpentAttempt{Attempt: attempt, AtMs: nowMS, State: state}
	t.spent[attempt] = s
	t.spentOrder = append(t.spentOrder, s)
}

// record stores the answer if the attempt holds the claim and none is stored yet, even
// after the lease expired.
func (t *Table) record(nowMS int64, key Key, attempt string, answer *peerpb.ClaimAnswer) *peerpb.Result {
	c := t.claims[key]
	if !t.isHolder(c, attempt) || c.GetState() == peerpb.ClaimState_CLAIM_STATE_ANSWERED {
		return t.result(nowMS, c)
	}
	t.setAnswer(c, answer)
	return t.result(nowMS, c)
}

func (t *Table) setAnswer(c *peerpb.ClaimRecord, answer *peerpb.ClaimAnswer) {
	if len(answer.GetBody()) > MaxAnswerBytes {
		answer = &peerpb.ClaimAnswer{Status: answer.GetStatus(), ContentType: answer.GetContentType(), BodyOmitted: true}
	}
	t.answersBytes += len(answer.GetBody())
	c.Answer = answer
	c.State = peerpb.ClaimState_CLAIM_STATE_ANSWERED
}

// abandon releases the key if the attempt holds it. In any case it marks the attempt
// as spent, so that it is not granted afterwards.
func (t *Table) abandon(nowMS int64, key Key, attempt string) *peerpb.Result {
	t.markSpent(nowMS, attempt, peerpb.ClaimState_CLAIM_STATE_NONE)
	c := t.claims[key]
	if t.isHolder(c, attempt) && c.GetState() != peerpb.ClaimState_CLAIM_STATE_ANSWERED {
		delete(t.claims, key)
		c = nil
	}
	return t.result(nowMS, c)
}

func (t *Table) markUnknown(nowMS int64, key Key, attempt string) *peerpb.Result {
	c := t.claims[key]
	if t.isHolder(c, attempt) && c.GetState() == peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS {
		c.State = peerpb.ClaimState_CLAIM_STATE_UNKNOWN
	}
	return t.result(nowMS, c)
}

// settle applies an operator's verdict to the unknown claim of an attempt. A claim in
// progress cannot be settled, because its entry may be about to send the request. A
// resent verdict has no further effect.
func (t *Table) settle(nowMS int64, key Key, attempt string, step *peerpb.ClaimSettle) *peerpb.Result {
	c := t.claims[key]
	if t.spent[attempt] != nil && !step.GetRan() {
		return t.result(nowMS, c)
	}
	state := stateAt(nowMS, c)
	if !t.isHolder(c, attempt) {
		return rejection(fault.Conflict, "look the claim up again", "the key's claim is %s, of another attempt", stateName(state))
	}
	if c.GetSettled() && step.GetRan() {
		return t.result(nowMS, c)
	}
	if state != peerpb.ClaimState_CLAIM_STATE_UNKNOWN {
		return rejection(fault.Conflict, "wait until its lease runs out; only an unknown claim can be settled",
			"the claim is %s", stateName(state))
	}
	if nowMS < c.GetLeaseUntilMs() && !t.faults.settleEarly {
		return rejection(fault.Conflict, "wait until its lease runs out, then ask the service again",
			"the claim is unknown, but its request may still reach the service")
	}
	if !step.GetRan() {
		return t.abandon(nowMS, key, attempt)
	}
	answer := step.GetAnswer()
	if answer == nil {
		answer = &peerpb.ClaimAnswer{BodyOmitted: true}
	}
	t.setAnswer(c, answer)
	c.Settled = true
	return t.result(nowMS, c)
}

func (t *Table) isHolder(c *peerpb.ClaimRecord, attempt string) bool {
	return c != nil && (c.GetAttempt() == attempt || t.faults.anyHolder)
}

func (t *Table) result(nowMS int64, c *peerpb.ClaimRecord) *peerpb.Result {
	return &peerpb.Result{Claim: &peerpb.ClaimResult{
		State: stateAt(nowMS, c), Answer: c.GetAnswer(), Attempt: c.GetAttempt(), NodeId: c.GetNodeId(),
		OpenedMs: c.GetOpenedMs(), Settled: c.GetSettled(),
	}}
}

func grantedResult(c *peerpb.ClaimRecord) *peerpb.Result {
	return &peerpb.Result{Claim: &peerpb.ClaimResult{
		State: peerpb.ClaimState_CLAIM_STATE_GRANTED, Attempt: c.GetAttempt(), NodeId: c.GetNodeId(), OpenedMs: c.GetOpenedMs(),
	}}
}

// stateAt returns the state of a claim at a time. A claim in progress whose lease
// expired is unknown.
func stateAt(nowMS int64, c *peerpb.ClaimRecord) peerpb.ClaimState {
	if c.GetState() == peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS && nowMS >= c.GetLeaseUntilMs() {
		return peerpb.ClaimState_CLAIM_STATE_UNKNOWN
	}
	return c.GetState()
}

func clampLease(ms int64) int64 { return min(max(ms, 1), maxLease.Milliseconds()) }
