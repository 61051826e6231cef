package forward

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
)

func TestRetryableFailures(t *testing.T) {
	unsent := &dispatch.CallError{Reason: dispatch.DialFailed}
	refused := &dispatch.CallError{Reason: dispatch.Refused, Sent: true}
	lost := &dispatch.CallError{Reason: dispatch.Truncated, Sent: true}
	for name, test := range map[string]struct {
		kind       document.Idempotency
		failure    *dispatch.CallError
		sends      int
		firstEvent bool
		want       bool
	}{
		"once, not sent":                  {document.AtMostOnce, unsent, 1, false, true},
		"once, refused":                   {document.AtMostOnce, refused, 1, false, true},
		"once, answer lost":               {document.AtMostOnce, lost, 1, false, false},
		"repeatable, answer lost":         {document.Idempotent, lost, 1, false, true},
		"repeatable, partly passed on":    {document.Idempotent, lost, 1, true, false},
		"resumable, partly passed on":     {document.Resumable, lost, 1, true, true},
		"no attempt left":                 {document.Idempotent, lost, 2, false, false},
		"refused, but no attempt is left": {document.AtMostOnce, refused, 2, false, false},
	} {
		h := sendHistory{sends: test.sends, firstEventSent: test.firstEvent}
		h.recordFailure(test.failure)
		assert.Equal(t, test.want, h.mayRetry(test.kind, 2), name)
	}
}

// A refusal may state "not run" only if no send can have run.
func TestRefusalsStateWhetherRequestRan(t *testing.T) {
	for name, test := range map[string]struct {
		failures []*dispatch.CallError
		status   int
		outcome  fault.Outcome
	}{
		"refused twice":      {[]*dispatch.CallError{{Reason: dispatch.Refused, Sent: true}, {Reason: dispatch.Refused, Sent: true}}, 503, fault.NotRun},
		"never connected":    {[]*dispatch.CallError{{Reason: dispatch.DialFailed}}, 503, fault.NotRun},
		"lost, then refused": {[]*dispatch.CallError{{Reason: dispatch.Truncated, Sent: true}, {Reason: dispatch.Refused, Sent: true}}, 502, fault.Unknown},
		"no answer in time":  {[]*dispatch.CallError{{Reason: dispatch.TimedOut, Sent: true}}, 504, fault.Unknown},
		"malformed answer":   {[]*dispatch.CallError{{Reason: dispatch.Malformed, Sent: true}}, 502, fault.Unknown},
	} {
		var h sendHistory
		for _, f := range test.failures {
			h.recordFailure(f)
		}
		refusal := h.refusal(test.failures[len(test.failures)-1].Reason, time.Second)
		assert.Equal(t, test.status, refusal.Status(), name)
		assert.Equal(t, test.outcome, refusal.Outcome, name)
		assert.Equal(t, test.outcome == fault.NotRun, refusal.RetryAfter > 0, name)
	}
}

func TestEventSplitterReturnsWholeEvents(t *testing.T) {
	var s eventSplitter
	assert.Empty(t, s.feed([]byte("id: 1\ndata: a\n")))
	assert.True(t, s.partial())
	events := s.feed([]byte("\nid: 2\ndata: id: 9\n\nid: 3\nda"))
	assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n", string(events))
	assert.Equal(t, []string{"1", "2"}, slices.Collect(identifiers(events)), "an id: inside a data line is not an identifier")
	assert.True(t, s.partial())
	assert.Equal(t, len("id: 3\nda"), s.pending())
	events = s.feed([]byte("ta: c\n\n"))
	assert.Equal(t, "id: 3\ndata: c\n\n", string(events), "each event is returned once")
	assert.False(t, s.partial())
	assert.Empty(t, s.feed(nil))
}
