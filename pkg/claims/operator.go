package claims

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// View is a claim as shown to operators.
type View struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	// State is one of none, in-progress, answered, unknown.
	State string `json:"state"`
	// Node is the entry that holds or held the claim.
	Node     string    `json:"node,omitempty"`
	Attempt  string    `json:"attempt,omitempty"`
	OpenedAt time.Time `json:"opened_at,omitzero"`
	// Status is the HTTP status of the recorded answer.
	Status int `json:"status,omitempty"`
	// Settled is true if an operator settled the claim.
	Settled bool `json:"settled,omitempty"`
}

// Verdict is an operator's decision on an unknown claim.
type Verdict struct {
	// Attempt is the attempt to which the verdict applies, as returned by Lookup.
	Attempt string `json:"attempt"`
	// Ran is true if the service executed the request; false releases the key.
	Ran bool `json:"ran"`
	// Status, ContentType and Body are the answer to callers that retry with the key.
	// Without a status, callers get an error: the request ran, but its answer was not
	// kept.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body,omitempty"`
}

// Lookup reads a claim through the region log.
func (r *Replicated) Lookup(ctx context.Context, key Key) (View, error) {
	step := newStep(key, operatorAttempt)
	step.Step = &peerpb.ClaimCommand_Lookup{Lookup: &peerpb.ClaimLookup{}}
	return r.sendOperatorStep(ctx, key, step)
}

// Unknown returns at most limit unknown claims, oldest first.
func (r *Replicated) Unknown(ctx context.Context, limit int) ([]View, error) {
	stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	res, err := r.send(stepCtx, &peerpb.ClaimCommand{
		Step: &peerpb.ClaimCommand_ListUnknown{ListUnknown: &peerpb.ClaimListUnknown{Max: uint32(limit)}},
	})
	if err != nil {
		return nil, err
	}
	views := make([]View, 0, len(res.GetClaim().GetUnknown()))
	for _, c := range res.GetClaim().GetUnknown() {
		views = append(views, newView(keyOf(c), &peerpb.ClaimResult{
			State: c.GetState(), Attempt: c.GetAttempt(), NodeId: c.GetNodeId(), OpenedMs: c.GetOpenedMs(),
		}))
	}
	return views, nil
}

// Settle applies an operator's verdict to an unknown claim.
func (r *Replicated) Settle(ctx context.Context, key Key, v Verdict) (View, error) {
	if v.Attempt == "" {
		return View{}, fault.New(fault.InvalidRequest, "look the claim up and name its attempt", "the verdict names no attempt")
	}
	settle := &peerpb.ClaimSettle{Ran: v.Ran}
	if v.Ran && v.Status != 0 {
		settle.Answer = encodeAnswer(Answer{Status: v.Status, ContentType: v.ContentType, Body: []byte(v.Body)})
	}
	step := newStep(key, v.Attempt)
	step.Step = &peerpb.ClaimCommand_Settle{Settle: settle}
	return r.sendOperatorStep(ctx, key, step)
}

func (r *Replicated) sendOperatorStep(ctx context.Context, key Key, step *peerpb.ClaimCommand) (View, error) {
	stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	res, err := r.send(stepCtx, step)
	if err != nil {
		return View{}, err
	}
	if err := resultError(res, fault.NotRun); err != nil {
		return View{}, err
	}
	return newView(key, res.GetClaim()), nil
}

func newView(key Key, c *peerpb.ClaimResult) View {
	v := View{
		Account: key.Account, Key: key.Value, State: stateName(c.GetState()), Node: c.GetNodeId(), Attempt: c.GetAttempt(),
		Status: int(c.GetAnswer().GetStatus()), Settled: c.GetSettled(),
	}
	if c.GetOpenedMs() != 0 {
		v.OpenedAt = time.UnixMilli(c.GetOpenedMs()).UTC()
	}
	return v
}
