package claims

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/ring"
)

const (
	// defaultLease applies to a request without a deadline.
	defaultLease = 10 * time.Minute
	// leaseMargin is added to the remaining time of a request, so that its answer can
	// be recorded while the claim is in progress.
	leaseMargin = 30 * time.Second
	// claimTimeout limits how long a caller waits for its claim to be committed.
	claimTimeout = 3 * time.Second
	// stepTimeout limits one attempt to commit any other step.
	stepTimeout = 3 * time.Second
	// resendInterval is the pause after a failed resend.
	resendInterval = 500 * time.Millisecond
	// drainTimeout limits the last attempts at a planned stop.
	drainTimeout = 2 * time.Second
	// retryAfterNoQuorum is the retry delay sent to callers rejected for lack of a
	// quorum.
	retryAfterNoQuorum = 2 * time.Second
	// maxUnsentSteps is the capacity of the queue of steps that wait for a quorum. A
	// step is dropped if the queue is full; its claim becomes unknown when its lease
	// expires.
	maxUnsentSteps = 1024
	// operatorAttempt is the attempt identifier of a lookup, which belongs to no attempt.
	operatorAttempt = "operator"
)

// Proposer commits a command to the region log and returns its result. After an
// error the command may have been committed or may still be committed later.
type Proposer func(ctx context.Context, cmd *peerpb.Command) (*peerpb.Result, error)

// Replicated is the Store of an entry. It commits each step as a command of the
// region log.
type Replicated struct {
	nodeID  string
	propose Proposer
	log     zerolog.Logger
	// attempts holds the attempt of each claim granted to this entry.
	mu       sync.Mutex
	attempts map[Key]string
	unsent   *ring.Ring[*peerpb.ClaimCommand]
}

// NewReplicated returns a store for the entry nodeID.
func NewReplicated(nodeID string, propose Proposer, log zerolog.Logger) *Replicated {
	return &Replicated{
		nodeID: nodeID, propose: propose, log: log, attempts: map[Key]string{},
		unsent: ring.New[*peerpb.ClaimCommand](maxUnsentSteps, ring.RejectNew),
	}
}

// Claim implements Store. If it is not known whether the claim was committed, it
// returns an error with the outcome not-run, since the request is not sent, and
// abandons the attempt as soon as a quorum is reachable.
func (r *Replicated) Claim(ctx context.Context, key Key, fingerprint Fingerprint) (Decision, error) {
	attempt := uuid.NewString()
	step := newStep(key, attempt)
	step.Step = &peerpb.ClaimCommand_Open{Open: &peerpb.ClaimOpen{
		Fingerprint: fingerprint[:], NodeId: r.nodeID, LeaseMs: leaseFor(ctx).Milliseconds(),
	}}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	res, err := r.send(claimCtx, step)
	if err != nil {
		if fault.From(err).Outcome != fault.NotRun {
			r.enqueueResend(abandonStep(key, attempt))
		}
		return Decision{}, fault.New(fault.NoQuorum, "send the request again with the same key",
			"the claim on the key could not be committed").WithRetryAfter(retryAfterNoQuorum).WithCause(err)
	}
	if err := resultError(res, fault.NotRun); err != nil {
		return Decision{}, err
	}
	return r.decisionOf(key, attempt, res.GetClaim())
}

func (r *Replicated) decisionOf(key Key, attempt string, c *peerpb.ClaimResult) (Decision, error) {
	switch c.GetState() {
	case peerpb.ClaimState_CLAIM_STATE_GRANTED:
		r.mu.Lock()
		r.attempts[key] = attempt
		r.mu.Unlock()
		return Decision{State: Granted}, nil
	case peerpb.ClaimState_CLAIM_STATE_ANSWERED:
		return answeredDecision(c)
	case peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS:
		return Decision{State: InProgress}, nil
	case peerpb.ClaimState_CLAIM_STATE_UNKNOWN:
		return Decision{State: Unknown}, nil
	case peerpb.ClaimState_CLAIM_STATE_REUSED:
		return Decision{State: Reused}, nil
	default:
		return Decision{}, fault.New(fault.NoQuorum, "send the request again with the same key",
			"the claim on the key was not granted").WithRetryAfter(retryAfterNoQuorum)
	}
}

func answeredDecision(c *peerpb.ClaimResult) (Decision, error) {
	a := c.GetAnswer()
	if a.GetBodyOmitted() {
		return Decision{}, fault.New(fault.AnswerNotKept, "look the result up at the service; do not send it under a new key",
			"the request with this key ran; its answer is not kept").WithOutcome(fault.Ran)
	}
	return Decision{State: Answered, Answer: Answer{
		Status: int(a.GetStatus()), ContentType: a.GetContentType(), Body: a.GetBody(),
	}}, nil
}

// Record implements Store.
func (r *Replicated) Record(ctx context.Context, key Key, answer Answer) error {
	return r.finish(ctx, key, func(step *peerpb.ClaimCommand) {
		step.Step = &peerpb.ClaimCommand_Record{Record: encodeAnswer(answer)}
	})
}

// Abandon implements Store.
func (r *Replicated) Abandon(ctx context.Context, key Key) error {
	return r.finish(ctx, key, func(step *peerpb.ClaimCommand) {
		step.Step = &peerpb.ClaimCommand_Abandon{Abandon: &peerpb.ClaimAbandon{}}
	})
}

// MarkUnknown implements Store.
func (r *Replicated) MarkUnknown(ctx context.Context, key Key) error {
	return r.finish(ctx, key, func(step *peerpb.ClaimCommand) {
		step.Step = &peerpb.ClaimCommand_MarkUnknown{MarkUnknown: &peerpb.ClaimMarkUnknown{}}
	})
}

// finish sends the last step of the claim that this entry holds on a key. If the step
// could not be committed, Run resends it.
func (r *Replicated) finish(ctx context.Context, key Key, fill func(*peerpb.ClaimCommand)) error {
	r.mu.Lock()
	attempt, ok := r.attempts[key]
	delete(r.attempts, key)
	r.mu.Unlock()
	if !ok {
		return fault.New(fault.NotFound, "report it with the request identifier", "this entry holds no claim on the key")
	}
	step := newStep(key, attempt)
	fill(step)
	stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	res, err := r.send(stepCtx, step)
	if err != nil {
		r.enqueueResend(step)
		return fault.New(fault.NoQuorum, "restore a majority of keepers; the step is resent automatically",
			"the last step of the claim could not be committed").WithOutcome(fault.Unknown).WithCause(err)
	}
	return resultError(res, fault.Unknown)
}

// Unsent returns the number of queued steps that wait for a quorum.
func (r *Replicated) Unsent() int { return r.unsent.Len() }

// Run resends the steps that could not be committed. When ctx ends, it tries each
// remaining step once more, within drainTimeout in total.
func (r *Replicated) Run(ctx context.Context) {
	for {
		step, ok := r.unsent.Pop(ctx)
		if !ok {
			break
		}
		if !r.sendUntilCommitted(ctx, step) {
			r.enqueueResend(step)
			break
		}
	}
	r.drain()
}

// sendUntilCommitted returns false if ctx ended before the step was committed.
func (r *Replicated) sendUntilCommitted(ctx context.Context, step *peerpb.ClaimCommand) bool {
	for ctx.Err() == nil {
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		_, err := r.send(stepCtx, step)
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-time.After(resendInterval):
		case <-ctx.Done():
		}
	}
	return false
}

func (r *Replicated) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for r.unsent.Len() > 0 && ctx.Err() == nil {
		step, ok := r.unsent.Pop(ctx)
		if !ok {
			break
		}
		if _, err := r.send(ctx, step); err != nil {
			r.logDropped(step)
		}
	}
	if left := r.unsent.Len(); left > 0 {
		r.log.Error().Int("steps", left).Msg("claim_steps_dropped_at_stop")
	}
}

func (r *Replicated) enqueueResend(step *peerpb.ClaimCommand) {
	if !r.unsent.Push(step) {
		r.logDropped(step)
	}
}

func (r *Replicated) logDropped(step *peerpb.ClaimCommand) {
	r.log.Error().Str("account", step.GetKey().GetAccount()).Str("attempt", step.GetAttempt()).Msg("claim_step_dropped")
}

func (r *Replicated) send(ctx context.Context, step *peerpb.ClaimCommand) (*peerpb.Result, error) {
	return r.propose(ctx, &peerpb.Command{Body: &peerpb.Command_Claim{Claim: step}})
}

func newStep(key Key, attempt string) *peerpb.ClaimCommand {
	return &peerpb.ClaimCommand{Key: &peerpb.ClaimKey{Account: key.Account, Value: key.Value}, Attempt: attempt}
}

func abandonStep(key Key, attempt string) *peerpb.ClaimCommand {
	step := newStep(key, attempt)
	step.Step = &peerpb.ClaimCommand_Abandon{Abandon: &peerpb.ClaimAbandon{}}
	return step
}

func encodeAnswer(a Answer) *peerpb.ClaimAnswer {
	encoded := &peerpb.ClaimAnswer{Status: int32(a.Status), ContentType: a.ContentType, Body: a.Body}
	if len(a.Body) > MaxAnswerBytes {
		encoded.Body, encoded.BodyOmitted = nil, true
	}
	return encoded
}

func leaseFor(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline) + leaseMargin
	}
	return defaultLease
}

// resultError returns the fault of a result as an error, or nil if there is none.
func resultError(res *peerpb.Result, outcome fault.Outcome) error {
	if res.GetFaultKind() == "" {
		return nil
	}
	e := fault.New(fault.Kind(res.GetFaultKind()), res.GetFaultRemedy(), "%s", res.GetFaultDetail()).WithOutcome(outcome)
	if e.Kind == fault.Overloaded {
		e = e.WithRetryAfter(fullRetryAfter)
	}
	return e
}
