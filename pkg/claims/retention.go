package claims

import (
	"fmt"
	"strings"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Prune removes the claims and spent attempts whose retention has expired. Claims that
// are unknown at the end of Retention are kept for UnknownRetention.
func (t *Table) Prune(nowMS int64) {
	t.order = t.pruneClaims(t.order, nowMS-Retention.Milliseconds(), func(c *peerpb.ClaimRecord) bool {
		if stateAt(nowMS, c) != peerpb.ClaimState_CLAIM_STATE_UNKNOWN {
			return false
		}
		c.KeptUnknown = true
		t.unknowns = append(t.unknowns, c)
		return true
	})
	t.unknowns = t.pruneClaims(t.unknowns, nowMS-UnknownRetention.Milliseconds(), func(*peerpb.ClaimRecord) bool { return false })
	t.pruneSpent(nowMS - spentRetention.Milliseconds())
}

// pruneClaims removes the claims that were opened at a time or earlier from order, and
// from the table unless retain returns true. It returns the remaining order.
func (t *Table) pruneClaims(order []*peerpb.ClaimRecord, before int64, retain func(*peerpb.ClaimRecord) bool) []*peerpb.ClaimRecord {
	for len(order) > 0 && order[0].GetOpenedMs() <= before {
		c := order[0]
		order[0] = nil
		order = order[1:]
		if t.isCurrent(c) && !retain(c) {
			t.remove(c)
		}
	}
	return order
}

// isCurrent reports whether a claim is still in the table.
func (t *Table) isCurrent(c *peerpb.ClaimRecord) bool { return t.claims[keyOf(c)] == c }

func (t *Table) remove(c *peerpb.ClaimRecord) {
	t.answersBytes -= len(c.GetAnswer().GetBody())
	delete(t.claims, keyOf(c))
}

func (t *Table) pruneSpent(before int64) {
	for len(t.spentOrder) > 0 && (len(t.spentOrder) > maxSpent || t.spentOrder[0].GetAtMs() <= before) {
		delete(t.spent, t.spentOrder[0].GetAttempt())
		t.spentOrder[0] = nil
		t.spentOrder = t.spentOrder[1:]
	}
}

// Len returns the number of claims.
func (t *Table) Len() int { return len(t.claims) }

// Records returns all claims, oldest first.
func (t *Table) Records() []*peerpb.ClaimRecord {
	out := make([]*peerpb.ClaimRecord, 0, len(t.claims))
	for _, order := range [][]*peerpb.ClaimRecord{t.unknowns, t.order} {
		for _, c := range order {
			if t.isCurrent(c) {
				out = append(out, c)
			}
		}
	}
	return out
}

// listUnknown returns at most limit unknown claims, oldest first.
func (t *Table) listUnknown(nowMS int64, limit int) *peerpb.Result {
	res := &peerpb.ClaimResult{}
	for _, c := range t.Records() {
		if len(res.Unknown) >= min(limit, maxListed) {
			break
		}
		if stateAt(nowMS, c) == peerpb.ClaimState_CLAIM_STATE_UNKNOWN {
			res.Unknown = append(res.Unknown, &peerpb.ClaimRecord{
				Key: c.GetKey(), Attempt: c.GetAttempt(), NodeId: c.GetNodeId(), OpenedMs: c.GetOpenedMs(),
				State: peerpb.ClaimState_CLAIM_STATE_UNKNOWN,
			})
		}
	}
	return &peerpb.Result{Claim: res}
}

// SpentAttempts returns the spent attempts, which are not granted any more, oldest first.
func (t *Table) SpentAttempts() []*peerpb.SpentAttempt { return t.spentOrder }

// Restore fills an empty table from a snapshot.
func (t *Table) Restore(records []*peerpb.ClaimRecord, spent []*peerpb.SpentAttempt) {
	for _, c := range records {
		t.claims[keyOf(c)] = c
		if c.GetKeptUnknown() {
			t.unknowns = append(t.unknowns, c)
		} else {
			t.order = append(t.order, c)
		}
		t.answersBytes += len(c.GetAnswer().GetBody())
	}
	for _, s := range spent {
		t.spent[s.GetAttempt()] = s
		t.spentOrder = append(t.spentOrder, s)
	}
}

func keyOf(c *peerpb.ClaimRecord) Key {
	return Key{Account: c.GetKey().GetAccount(), Value: c.GetKey().GetValue()}
}

func rejection(kind fault.Kind, remedy, format string, args ...any) *peerpb.Result {
	return &peerpb.Result{FaultKind: string(kind), FaultRemedy: remedy, FaultDetail: fmt.Sprintf(format, args...)}
}

// stateName returns the name of a state as shown to operators.
func stateName(s peerpb.ClaimState) string {
	name := strings.TrimPrefix(s.String(), "CLAIM_STATE_")
	return strings.ReplaceAll(strings.ToLower(name), "_", "-")
}
