package gateway

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/state"
)

// A watch that is added while the view is stale must not cancel other attempts.
func TestWatchOnStaleViewCancelsNoOtherAttempt(t *testing.T) {
	m, update, cause := newWatchedGroup(t)
	paused := &domain.View{Version: 1}
	update(paused)
	ctx, cancel := context.WithCancelCause(t.Context())
	defer m.watch(&domain.Group{Name: "h", Generation: 1, Whole: true}, cancel)()
	update(paused)
	require.NoError(t, cause())
	require.NoError(t, context.Cause(ctx))
	update(&domain.View{Version: 1, Groups: []*domain.Group{{Name: "g", Generation: 3, Whole: true}}})
	require.NoError(t, cause())
	require.ErrorIs(t, context.Cause(ctx), errGroupBroke, "the next view does not contain the group")
}

// newTestSlot returns a slot that counts its releases.
func newTestSlot(group string, released *atomic.Int32) *slot {
	return &slot{
		ctx: context.Background(), stop: func() {},
		assignment: scheduling.Assignment{
			Group:   &domain.Group{Name: group, Members: []domain.Member{{ID: group}}},
			Release: func(scheduling.Report) { released.Add(1) },
		},
	}
}

// When both the primary attempt and its hedge fail, the reported failure must keep the
// slot of its own attempt. Otherwise it is reported for the wrong upstream.
func TestFailedHedgeKeepsItsSlot(t *testing.T) {
	notRun := &dispatch.CallError{Reason: dispatch.Refused, Sent: true}
	mayHaveRun := &dispatch.CallError{Reason: dispatch.Truncated, Sent: true}
	for name, test := range map[string]struct {
		primary, hedge error
		// noSlot is true if the hedge got no slot.
		noSlot bool
		want   string
	}{
		"neither ran":          {primary: notRun, hedge: notRun, want: "primary"},
		"the primary may have": {primary: mayHaveRun, hedge: notRun, want: "primary"},
		"the hedge may have":   {primary: notRun, hedge: mayHaveRun, want: "hedge"},
		"both may have":        {primary: mayHaveRun, hedge: mayHaveRun, want: "primary"},
		"no hedge":             {primary: notRun, hedge: errors.New("no slot"), noSlot: true, want: "primary"},
	} {
		for _, hedgeFirst := range []bool{false, true} {
			var released atomic.Int32
			primary := newTestSlot("primary", &released)
			primaryResult := result{slot: primary, err: test.primary}
			hedgeResult := result{slot: newTestSlot("hedge", &released), err: test.hedge}
			if test.noSlot {
				hedgeResult.slot = nil
			}
			earlier, later := primaryResult, hedgeResult
			if hedgeFirst {
				earlier, later = hedgeResult, primaryResult
			}
			reported := failureToReport(primary, earlier, later)
			require.NotNil(t, reported.slot, name)
			require.Equal(t, test.want, reported.slot.assignment.Group.Name, name)
			require.Equal(t, map[string]error{"primary": test.primary, "hedge": test.hedge}[test.want], reported.err, name)
			wantReleases := int32(1)
			if test.noSlot {
				wantReleases = 0
			}
			require.Equal(t, wantReleases, released.Load(), "%s: the other slot is released", name)
		}
	}
}

// panickingScheduler is a scheduler that panics.
type panickingScheduler struct{ scheduling.Scheduler }

func (panickingScheduler) Acquire(context.Context, scheduling.Request) (scheduling.Assignment, error) {
	panic("in the scheduler")
}

// A request whose handler panicked must not stay counted as in flight.
func TestPanicLeavesNoRequestInFlight(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"reading a request":    func(o *Options) { o.Config = func() *state.Config { panic("in the configuration") } },
		"scheduling a request": func(o *Options) { o.Scheduler = panickingScheduler{} },
	} {
		h := newHarness(t, change)
		h.addEngine("g1", fakes.Faults{}, nil)
		h.addService("d1", fakes.Faults{})
		for path, body := range map[string]string{chatPath: chatRequest(false, 3), chatPath + "?stream": chatRequest(true, 3), "/lookup": ""} {
			require.Equal(t, http.StatusInternalServerError, h.send(http.MethodPost, path, body).status, "%s, %s", name, path)
			require.Zero(t, h.gw.InFlight(), "%s, %s", name, path)
		}
	}
}

// laterPanickingScheduler panics in every call of Acquire after the first.
type laterPanickingScheduler struct {
	scheduling.Scheduler
	calls atomic.Int32
}

func (s *laterPanickingScheduler) Acquire(ctx context.Context, req scheduling.Request) (scheduling.Assignment, error) {
	if s.calls.Add(1) > 1 {
		panic("in the scheduler")
	}
	return s.Scheduler.Acquire(ctx, req)
}

// A panic while a stream is resumed must not end the process, with all its requests, nor end the
// stream without an error.
func TestPanicInStreamEndsOnlyItsRequest(t *testing.T) {
	for name, test := range map[string]struct {
		faults fakes.Faults
		pause  bool
	}{
		"resuming":             {faults: fakes.Faults{SkipToken: 5}},
		"starting a successor": {pause: true},
	} {
		scheduler := &laterPanickingScheduler{}
		h := newHarness(t, func(o *Options) {
			scheduler.Scheduler, o.Scheduler = o.Scheduler, scheduler
		})
		h.gw.stallTimeout = testStallTimeout
		h.addEngine("g1", test.faults, func(ctx context.Context, token int) {
			if token == 5 && test.pause {
				for scheduler.calls.Load() < 2 {
					runtime.Gosched()
				}
			}
		})
		a := h.chat(true, 9)
		if test.pause {
			h.requireCompleteStream(a, 9)
		} else {
			require.Contains(t, a.body, "event: error", name)
			require.Contains(t, a.body, `"internal"`, name)
		}
		require.Zero(t, h.gw.Drain(context.Background()), name)
	}
}
