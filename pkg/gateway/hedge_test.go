package gateway

import (
	"context"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

// hedgingScheduler requests a hedge immediately, refuses further slots except for
// hedges, and counts the slots in use.
type hedgingScheduler struct {
	scheduling.Scheduler
	onHedge   func() error
	inUse     sync.WaitGroup
	hedges    atomic.Int32
	primaries atomic.Int32
}

func (s *hedgingScheduler) Acquire(ctx context.Context, req scheduling.Request) (scheduling.Assignment, error) {
	if err := s.admit(req); err != nil {
		return scheduling.Assignment{}, err
	}
	a, err := s.Scheduler.Acquire(ctx, req)
	if err != nil {
		return a, err
	}
	s.inUse.Add(1)
	release := a.Release
	a.Release = func(r scheduling.Report) {
		release(r)
		s.inUse.Done()
	}
	if !req.Hedge {
		a.HedgeAfter = 1
	}
	return a, nil
}

func (s *hedgingScheduler) admit(req scheduling.Request) error {
	if !req.Hedge {
		if s.primaries.Add(1) > 1 {
			return fault.New(fault.Overloaded, "retry later", "there is one slot")
		}
		return nil
	}
	s.hedges.Add(1)
	if s.onHedge != nil {
		return s.onHedge()
	}
	return nil
}

func newHedgingHarness(t *testing.T, scheduler *hedgingScheduler) *harness {
	return newHarness(t, func(o *Options) {
		scheduler.Scheduler = o.Scheduler
		o.Scheduler = scheduler
	})
}

func TestSlowAttemptIsHedged(t *testing.T) {
	scheduler := &hedgingScheduler{}
	h := newHedgingHarness(t, scheduler)
	slow := h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, _ int) { <-ctx.Done() })
	h.addEngine("g2", fakes.Faults{}, nil)
	a := h.chat(false, 9)
	require.Equal(t, http.StatusOK, a.status, a.body)
	scheduler.inUse.Wait()
	require.EqualValues(t, 1, scheduler.hedges.Load())
	require.Zero(t, slow.Finished())
}

func TestHedgedStreamContinuesAfterFirstToken(t *testing.T) {
	scheduler := &hedgingScheduler{}
	h := newHedgingHarness(t, scheduler)
	h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, _ int) { <-ctx.Done() })
	gate := make(chan struct{})
	h.addEngine("g2", fakes.Faults{}, func(ctx context.Context, token int) {
		if token != 5 {
			return
		}
		select {
		case <-gate:
		case <-ctx.Done():
		}
	})
	resp := h.open(context.Background(), http.MethodPost, chatPath, chatRequest(true, 9))
	prefix := readUntil(t, resp.unread, "w4 ")
	close(gate)
	h.requireCompleteStream(h.readRemaining(resp, prefix), 9)
	scheduler.inUse.Wait()
	require.EqualValues(t, 1, scheduler.hedges.Load())
}

func TestRefusedHedgeKeepsPrimaryAttempt(t *testing.T) {
	refused := make(chan struct{})
	scheduler := &hedgingScheduler{onHedge: func() error {
		close(refused)
		return fault.New(fault.Overloaded, "retry later", "the retry budget is exhausted")
	}}
	h := newHedgingHarness(t, scheduler)
	h.addEngine("g1", fakes.Faults{}, func(context.Context, int) { <-refused })
	h.requireCompleteStream(h.chat(true, 9), 9)
	scheduler.inUse.Wait()
}

// TestOutcomeUnknownWhenHedgeMayHaveRun has the primary attempt refused explicitly
// after the upstream closed the connection of the hedge. The hedge may have run.
func TestOutcomeUnknownWhenHedgeMayHaveRun(t *testing.T) {
	scheduler := &hedgingScheduler{}
	h := newHedgingHarness(t, scheduler)
	first := h.addEngine("g1", fakes.Faults{Refuse: true, Paused: true}, nil)
	h.addEngine("g2", fakes.Faults{CloseAfterRead: true}, nil)
	scheduler.onHedge = func() error {
		first.Set(fakes.Faults{Refuse: true})
		return nil
	}
	a := h.chat(false, 9)
	require.Equal(t, string(fault.Unknown), a.outcome, a.body)
	scheduler.inUse.Wait()
}

// Guards against an attempt that is given up for the failure of its hedge, or the other way round: a
// 5xx is an answer only if neither attempt has a better one.
func TestFailedAnswerEndsNoOtherAttempt(t *testing.T) {
	answered := func(status int) result { return result{answer: &dispatch.BufferedResponse{Status: status}} }
	for name, test := range map[string]struct {
		first, second result
		want          int
	}{
		"a failure, then an answer":    {answered(503), answered(200), 200},
		"an answer":                    {answered(404), answered(200), 404},
		"two failures":                 {answered(503), answered(500), 503},
		"a failure, then a broken one": {answered(503), result{err: &dispatch.CallError{Reason: dispatch.Truncated, Sent: true}}, 503},
		"a broken one, then a failure": {result{err: &dispatch.CallError{Reason: dispatch.Truncated, Sent: true}}, answered(503), 503},
	} {
		for _, hedgeFirst := range []bool{false, true} {
			var released atomic.Int32
			primary, hedge := newTestSlot("primary", &released), newTestSlot("hedge", &released)
			first, second := test.first, test.second
			first.slot, second.slot = primary, hedge
			if hedgeFirst {
				first.slot, second.slot = hedge, primary
			}
			results := make(chan result, 2)
			results <- first
			results <- second
			r := firstSuccess(primary, results, func() {})
			require.NoError(t, r.err, name)
			require.Equal(t, test.want, r.answer.Status, name)
			for released.Load() == 0 {
				runtime.Gosched()
			}
			require.EqualValues(t, 1, released.Load(), "%s: only the other slot is released", name)
		}
	}
}

func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	scheduler := &hedgingScheduler{}
	h := newHedgingHarness(t, scheduler)
	service1, service2 := h.addService("d1", fakes.Faults{}), h.addService("d2", fakes.Faults{})
	require.Equal(t, http.StatusOK, h.grant("k1", "{}").status)
	scheduler.inUse.Wait()
	require.Zero(t, scheduler.hedges.Load())
	require.Equal(t, 1, service1.Runs()["k1"]+service2.Runs()["k1"])
}
