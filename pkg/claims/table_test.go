package claims

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// TestTableSessions runs the golden sessions in testdata/table. Each directive is one
// step, such as `open key=K attempt=A body=B lease=D at=T`.
func TestTableSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		table := NewTable()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := argument(t, d, "at", "0s")
			now, err := time.ParseDuration(at)
			require.NoError(t, err)
			table.Prune(now.Milliseconds())
			if d.Cmd == "restart" {
				table = restored(table)
				return fmt.Sprintf("claims=%d", table.Len())
			}
			return describe(table.Apply(now.Milliseconds(), sessionStep(t, d)))
		})
	})
}

func sessionStep(t *testing.T, d *datadriven.TestData) *peerpb.ClaimCommand {
	step := newStep(Key{Account: "desk", Value: argument(t, d, "key", "k1")}, argument(t, d, "attempt", operatorAttempt))
	switch d.Cmd {
	case "open":
		lease, err := time.ParseDuration(argument(t, d, "lease", "30s"))
		require.NoError(t, err)
		fingerprint := FingerprintOf("POST", "/grants", []byte(argument(t, d, "body", "x")))
		step.Step = &peerpb.ClaimCommand_Open{Open: &peerpb.ClaimOpen{
			Fingerprint: fingerprint[:], NodeId: "a1", LeaseMs: lease.Milliseconds(),
		}}
	case "record":
		body := strings.Repeat("b", len(argument(t, d, "body", "b")))
		if argument(t, d, "size", "") == "large" {
			body = strings.Repeat("b", MaxAnswerBytes+1)
		}
		step.Step = &peerpb.ClaimCommand_Record{Record: &peerpb.ClaimAnswer{Status: 201, Body: []byte(body)}}
	case "abandon":
		step.Step = &peerpb.ClaimCommand_Abandon{Abandon: &peerpb.ClaimAbandon{}}
	case "mark-unknown":
		step.Step = &peerpb.ClaimCommand_MarkUnknown{MarkUnknown: &peerpb.ClaimMarkUnknown{}}
	case "settle":
		step.Step = &peerpb.ClaimCommand_Settle{Settle: &peerpb.ClaimSettle{Ran: argument(t, d, "ran", "false") == "true"}}
	case "lookup":
		step.Step = &peerpb.ClaimCommand_Lookup{Lookup: &peerpb.ClaimLookup{}}
	default:
		d.Fatalf(t, "unknown step %q", d.Cmd)
	}
	return step
}

func argument(t *testing.T, d *datadriven.TestData, name, fallback string) string {
	value := fallback
	d.MaybeScanArgs(t, name, &value)
	return value
}

func describe(res *peerpb.Result) string {
	if res.GetFaultKind() != "" {
		return fmt.Sprintf("refused %s: %s", res.GetFaultKind(), res.GetFaultDetail())
	}
	c := res.GetClaim()
	text := stateName(c.GetState())
	if c.GetAttempt() != "" {
		text += " attempt=" + c.GetAttempt()
	}
	if c.GetAnswer() != nil {
		text += fmt.Sprintf(" status=%d omitted=%t", c.GetAnswer().GetStatus(), c.GetAnswer().GetBodyOmitted())
	}
	if c.GetSettled() {
		text += " settled"
	}
	return text
}

// restored returns a new table with the records and spent attempts of t.
func restored(t *Table) *Table {
	fresh := NewTable()
	fresh.faults = t.faults
	fresh.Restore(t.Records(), t.SpentAttempts())
	return fresh
}
