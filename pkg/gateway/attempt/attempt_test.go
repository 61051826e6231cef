package attempt

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fault"
)

// TestSessions replays recorded events and compares the resulting actions.
func TestSessions(t *testing.T) {
	datadriven.RunTest(t, "testdata/sessions.txt", func(_ *testing.T, d *datadriven.TestData) string {
		m := New(Request{Idempotent: !d.HasArg("non-idempotent"), Numbered: d.HasArg("numbered"), MaxAttempts: 3})
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			line = strings.TrimSpace(line)
			fmt.Fprintln(&out, line)
			for _, a := range m.Step(parseEvent(line)) {
				fmt.Fprintf(&out, "  %s\n", String(a))
			}
		}
		return out.String()
	})
}

func parseEvent(line string) Event {
	words := strings.Fields(line)
	has := func(word string) bool { return strings.Contains(line, " "+word) }
	upstreamFailure := func() *fault.Error { return fault.New(fault.UpstreamFailed, "remedy", "detail") }
	switch words[0] {
	case "arrived":
		return Arrived{}
	case "claim-granted":
		return ClaimGranted{}
	case "claim-failed":
		return ClaimFailed{Err: fault.New(fault.NoQuorum, "remedy", "detail")}
	case "claim-taken":
		return ClaimConflict{Err: fault.New(fault.InProgress, "remedy", "detail").WithOutcome(fault.Unknown)}
	case "claim-answered":
		return AnswerRecorded{}
	case "placed":
		return SlotAssigned{Group: words[1]}
	case "not-placed":
		return SlotRefused{Err: fault.New(fault.Overloaded, "remedy", "detail")}
	case "failed":
		return Failed{Err: upstreamFailure(), NotRun: has("not-run"), Final: has("final")}
	case "delivered":
		n, _ := strconv.Atoi(words[1])
		return Delivered{Tokens: n, Unnumbered: has("unnumbered")}
	case "answered":
		return Answered{}
	case "preempted":
		return Preempted{}
	case "group-broke":
		return GroupBroken{}
	case "suspected":
		return Suspected{}
	case "successor-continued":
		return SuccessorContinued{Group: words[1]}
	case "successor-failed":
		return SuccessorFailed{Group: words[1], NotRun: has("not-run")}
	case "successor-not-placed":
		return SuccessorFailed{NotRun: true}
	case "quarantined":
		return Quarantined{Err: fault.New(fault.RequestQuarantined, "remedy", "detail")}
	default:
		return ClientDisconnected{}
	}
}

// oracle tracks the actual state of a request independently of the machine and checks each action against it.
type oracle struct {
	req        Request
	claimed    bool
	slots      int
	mayHaveRun int
	delivered  int
	unnumbered bool
	begun      bool
	// successor is true while a successor runs.
	successor bool
	// quarantined is true once the request must not be sent any more.
	quarantined bool
	settled     int
	endings     int
}

func (o *oracle) check(m *Machine, event Event, actions []Action) error {
	o.recordEvent(event)
	_, suspected := event.(Suspected)
	for _, action := range actions {
		if _, starts := action.(StartSuccessor); suspected && !starts {
			return fmt.Errorf("after %T: %s although the attempt may go on", event, String(action))
		}
		if err := o.checkAction(action); err != nil {
			return fmt.Errorf("after %T: %w", event, err)
		}
	}
	if !m.Ended() {
		if o.quarantined {
			return fmt.Errorf("after %T: goes on although its content is quarantined", event)
		}
		return nil
	}
	if o.successor {
		return fmt.Errorf("after %T: successor still running", event)
	}
	if o.slots != 0 {
		return fmt.Errorf("after %T: %d slots not released", event, o.slots)
	}
	if o.claimed && o.settled != 1 {
		return fmt.Errorf("after %T: claim settled %d times", event, o.settled)
	}
	return nil
}

func (o *oracle) recordEvent(event Event) {
	switch e := event.(type) {
	case ClaimGranted:
		o.claimed = true
	case SlotAssigned:
		o.slots++
	case SuccessorContinued:
		o.mayHaveRun++
	case SuccessorFailed:
		o.successor = false
		if !e.NotRun {
			o.mayHaveRun++
		}
	case Failed:
		if !e.NotRun {
			o.mayHaveRun++
		}
	case Preempted, GroupBroken:
		if o.req.Idempotent {
			o.mayHaveRun++
		}
	case Quarantined:
		if o.slots > 0 && !o.req.Idempotent {
			break
		}
		o.quarantined = true
		o.mayHaveRun += o.slots
		if o.successor {
			o.mayHaveRun++
		}
	case Delivered:
		o.begun = true
		o.delivered += e.Tokens
		o.unnumbered = o.unnumbered || e.Unnumbered
	}
}

// checkQuarantine checks that a quarantined request is neither sent on nor to be sent again.
func (o *oracle) checkQuarantine(action Action) error {
	if !o.quarantined {
		return nil
	}
	if sendsOn(action) {
		return fmt.Errorf("sent on although its content is quarantined")
	}
	if a, refuses := action.(Refuse); refuses && a.Err.RetryAfter > 0 {
		return fmt.Errorf("a quarantined request is to be sent again")
	}
	return nil
}

func (o *oracle) checkAction(action Action) error {
	if err := o.checkQuarantine(action); err != nil {
		return err
	}
	switch a := action.(type) {
	case StartSuccessor, AwaitSuccessor, AdoptSuccessor, CancelSuccessor:
		return o.checkSuccessor(a)
	case Acquire:
		if o.successor {
			return fmt.Errorf("scheduled again beside its successor")
		}
		if !o.req.Idempotent && !o.claimed {
			return fmt.Errorf("scheduled before its claim was committed")
		}
	case Dispatch:
		if !o.req.Idempotent && o.mayHaveRun > 0 {
			return fmt.Errorf("non-idempotent request dispatched again")
		}
		if a.ResumeFrom != o.delivered || o.unnumbered || !o.req.Numbered && o.delivered > 0 {
			return fmt.Errorf("resumed from %d of %d delivered", a.ResumeFrom, o.delivered)
		}
	case Release:
		o.slots--
	case Settle:
		o.settled++
		if a.To == Abandon && o.mayHaveRun > 0 {
			return fmt.Errorf("key freed although the request may have run")
		}
	case Refuse:
		o.endings++
		if a.Err.Outcome == fault.NotRun && o.mayHaveRun > 0 {
			return fmt.Errorf("outcome not-run reported although the request may have run")
		}
	case Answer, Discard:
		o.endings++
	}
	if o.endings > 1 {
		return fmt.Errorf("ended %d times", o.endings)
	}
	return nil
}

// sendsOn reports whether an action is one of a request that goes on to another attempt.
func sendsOn(action Action) bool {
	switch action.(type) {
	case Acquire, Dispatch, StartSuccessor, AwaitSuccessor, AdoptSuccessor:
		return true
	default:
		return false
	}
}

// checkSuccessor checks that a successor continues a resumable stream at the right token, that there
// is one at a time, and that it becomes the running attempt only with a slot of its own.
func (o *oracle) checkSuccessor(action Action) error {
	switch a := action.(type) {
	case StartSuccessor:
		if o.successor || o.slots != 1 {
			return fmt.Errorf("successor started beside %d attempts", o.slots)
		}
		if !o.req.Idempotent || !o.req.Numbered || o.unnumbered || !o.begun || a.ResumeFrom != o.delivered {
			return fmt.Errorf("successor resumed from %d of %d delivered", a.ResumeFrom, o.delivered)
		}
		o.successor = true
	case AwaitSuccessor:
		if !o.successor || o.slots != 0 {
			return fmt.Errorf("awaited a successor beside %d attempts", o.slots)
		}
	case AdoptSuccessor:
		if !o.successor || o.slots != 0 {
			return fmt.Errorf("adopted a successor beside %d attempts", o.slots)
		}
		o.successor = false
		o.slots++
	case CancelSuccessor:
		if !o.successor {
			return fmt.Errorf("canceled a successor that does not run")
		}
		o.successor = false
	}
	return nil
}

// nextEvent returns a random event that is possible in the machine's phase.
func nextEvent(r *rand.Rand, m *Machine) Event {
	refused := fault.New(fault.Overloaded, "remedy", "detail")
	switch m.phase {
	case phaseNew:
		return Arrived{}
	case phaseClaiming:
		return pick(r, ClaimGranted{}, ClaimGranted{}, ClaimConflict{Err: refused}, AnswerRecorded{}, ClaimFailed{Err: refused})
	case phaseQueued:
		return pick(r, SlotAssigned{Group: strconv.Itoa(r.IntN(9))}, SlotAssigned{Group: "x"}, SlotAssigned{Group: "y"}, SlotRefused{Err: refused}, ClientDisconnected{}, Quarantined{Err: refused})
	case phaseAwaiting:
		return pick(r, SuccessorContinued{Group: "s"}, SuccessorFailed{Group: "s"}, SuccessorFailed{NotRun: true}, ClientDisconnected{}, Quarantined{Err: refused})
	default:
		if m.hasSuccessor && r.IntN(3) == 0 {
			return pick(r, SuccessorContinued{Group: "s"}, SuccessorFailed{Group: "s", NotRun: r.IntN(2) == 0}, SuccessorFailed{NotRun: true})
		}
		return pick(r, Suspected{}, Suspected{},
			Delivered{Tokens: 1 + r.IntN(3)}, Delivered{Unnumbered: true}, Answered{}, Preempted{}, GroupBroken{}, ClientDisconnected{}, Quarantined{Err: refused},
			Failed{Err: refused, NotRun: r.IntN(2) == 0, Final: r.IntN(4) == 0},
		)
	}
}

func pick(r *rand.Rand, events ...Event) Event { return events[r.IntN(len(events))] }

// runRandomSessions returns the first violated invariant in randomly generated sessions.
func runRandomSessions(injected injectedFault) error {
	const sessions, maxEvents = 20000, 40
	for seed := range uint64(sessions) {
		r := rand.New(rand.NewPCG(seed, 1))
		req := Request{Idempotent: r.IntN(2) == 0, Numbered: r.IntN(2) == 0, MaxAttempts: 4}
		m := New(req)
		m.injected = injected
		o := &oracle{req: req}
		for range maxEvents {
			if m.Ended() {
				break
			}
			event := nextEvent(r, m)
			if err := o.check(m, event, m.Step(event)); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
		}
	}
	return nil
}

func TestRandomSessionsHoldInvariants(t *testing.T) {
	require.NoError(t, runRandomSessions(0))
}

func TestInjectedFaultsAreDetected(t *testing.T) {
	for name, injected := range map[string]injectedFault{
		"forgetEarlierAttempts": forgetEarlierAttempts, "retryEverything": retryEverything,
		"dispatchBeforeClaim": dispatchBeforeClaim, "restartStream": restartStream, "abandonAlways": abandonAlways,
		"giveUpSuspected": giveUpSuspected, "retryQuarantined": retryQuarantined,
	} {
		err := runRandomSessions(injected)
		require.Error(t, err, name)
		t.Logf("%s: %v", name, err)
	}
}

// Guards against a request that ends one group after the other: a group that breaks before it
// delivered a token may have broken because of the request.
func TestGroupsThatBreakBeforeFirstTokenAreBounded(t *testing.T) {
	m := New(Request{Idempotent: true, Numbered: true, MaxAttempts: 3})
	m.Step(Arrived{})
	sends := 0
	for m.phase != phaseEnded && sends < 20 {
		m.Step(SlotAssigned{Group: fmt.Sprint("g", sends)})
		sends++
		m.Step(GroupBroken{})
	}
	assert.Equal(t, 3, sends)

	m = New(Request{Idempotent: true, Numbered: true, MaxAttempts: 3})
	m.Step(Arrived{})
	for i := range 20 {
		m.Step(SlotAssigned{Group: fmt.Sprint("g", i)})
		m.Step(Delivered{Tokens: 1})
		m.Step(GroupBroken{})
		m.Step(SlotAssigned{Group: fmt.Sprint("h", i)})
		m.Step(Preempted{})
	}
	assert.NotEqual(t, phaseEnded, m.phase, "a stream that gets on is resumed, a preempted one too")
}
