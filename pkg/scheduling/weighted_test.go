package scheduling

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// testScheduler runs a Weighted scheduler with one group within a synctest bubble,
// where time is virtual and advances only when every goroutine is blocked.
type testScheduler struct {
	*Weighted
	view    atomic.Pointer[domain.View]
	metrics *telemetry.Registry
	stop    context.CancelFunc
}

func newTestScheduler(t *testing.T, faults injectedFaults) *testScheduler {
	s := &testScheduler{metrics: telemetry.New("")}
	s.setSlots(1)
	opts := testOptions()
	opts.faults = faults
	s.Weighted = NewWeighted(WeightedOptions{Core: opts, View: s.view.Load, Metrics: s.metrics, Log: zerolog.Nop()})
	ctx, stop := context.WithCancel(t.Context())
	s.stop = stop
	go s.Run(ctx)
	return s
}

func (s *testScheduler) setSlots(slots int) {
	view := &domain.View{}
	if slots > 0 {
		view.Groups = append(view.Groups, testGroup("g1", slots))
	}
	s.view.Store(view)
}

func testRequest(size int) Request {
	return Request{
		Route: testRoute(), Size: size, Weight: 1, Resumable: true, Deadline: time.Now().Add(time.Minute),
		Request: routing.Request{Account: "school", Class: "caption", Service: "captioner"},
	}
}

func TestAcquireWaitsForFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, injectedFaults{})
		defer s.stop()
		first, err := s.Acquire(t.Context(), testRequest(50))
		require.NoError(t, err)
		assert.Equal(t, "g1", first.Group.Name)
		go func() {
			<-time.After(200 * time.Millisecond)
			first.Release(Report{Tokens: 50, Duration: 200 * time.Millisecond})
		}()
		begun := time.Now()
		_, err = s.Acquire(t.Context(), testRequest(50))
		require.NoError(t, err)
		assert.Equal(t, 200*time.Millisecond, time.Since(begun))
	})
}

func TestAcquireRefusesInfeasibleImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, injectedFaults{})
		defer s.stop()
		_, err := s.Acquire(t.Context(), testRequest(100))
		require.NoError(t, err)
		late := testRequest(100)
		late.Deadline = time.Now().Add(3 * time.Second)
		begun := time.Now()
		_, err = s.Acquire(t.Context(), late)
		require.True(t, fault.IsKind(err, fault.Overloaded))
		assert.Positive(t, fault.From(err).RetryAfter)
		assert.Equal(t, fault.NotRun, fault.From(err).Outcome)
		assert.Zero(t, time.Since(begun))
		assert.Contains(t, s.metrics.String(), `"scheduling.refused.overloaded":1`)
	})
}

// waitingAfterDisconnect returns the number of waiting requests after the only
// waiting client has disconnected.
func waitingAfterDisconnect(t *testing.T, faults injectedFaults) (waiting int) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, faults)
		_, err := s.Acquire(t.Context(), testRequest(50))
		require.NoError(t, err)
		ctx, disconnect := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() {
			_, err := s.Acquire(ctx, testRequest(50))
			result <- err
		}()
		synctest.Wait()
		disconnect()
		require.True(t, fault.IsKind(<-result, fault.DeadlinePassed))
		synctest.Wait()
		s.stop()
		synctest.Wait()
		waiting = s.core.Waiting()
	})
	return waiting
}

func TestDisconnectRemovesWaitingRequest(t *testing.T) {
	assert.Zero(t, waitingAfterDisconnect(t, injectedFaults{}))
	assert.Equal(t, 1, waitingAfterDisconnect(t, injectedFaults{ignoreDisconnects: true}), "the injected fault must be detected")
}

func TestDisconnectDuringStartReleasesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, injectedFaults{})
		defer s.stop()
		// The core starts the request while its client disconnects.
		caller := &waiter{id: 77, request: testRequest(50), decision: make(chan Action, 1), preempted: make(chan struct{})}
		s.requests.Add(1)
		s.submits.Push(caller)
		synctest.Wait()
		require.Equal(t, 1, s.core.Running())
		s.completions.Push(completion{waiter: caller, disconnected: true})
		synctest.Wait()
		assert.Zero(t, s.core.Running())
		assert.Zero(t, s.requests.Load())
	})
}

func TestViewChangeReevaluatesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, injectedFaults{})
		defer s.stop()
		_, err := s.Acquire(t.Context(), testRequest(50))
		require.NoError(t, err)
		result := make(chan error, 1)
		go func() {
			_, err := s.Acquire(t.Context(), testRequest(50))
			result <- err
		}()
		synctest.Wait()
		s.setSlots(2)
		require.NoError(t, <-result)
		go func() {
			_, err := s.Acquire(t.Context(), testRequest(50))
			result <- err
		}()
		synctest.Wait()
		s.setSlots(0)
		assert.True(t, fault.IsKind(<-result, fault.NoWholeGroup), "waiting requests are refused when no group is left")
	})
}

func TestShortRequestPreemptsLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, injectedFaults{})
		defer s.stop()
		long, err := s.Acquire(t.Context(), testRequest(2000))
		require.NoError(t, err)
		<-time.After(time.Second)
		go func() {
			<-long.Preempted
			long.Release(Report{Tokens: 40})
		}()
		short, err := s.Acquire(t.Context(), testRequest(50))
		require.NoError(t, err)
		assert.Zero(t, short.Priority)
	})
}

func TestStopRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestScheduler(t, injectedFaults{})
		held, err := s.Acquire(t.Context(), testRequest(50))
		require.NoError(t, err)
		result := make(chan error, 1)
		go func() {
			_, err := s.Acquire(t.Context(), testRequest(50))
			result <- err
		}()
		synctest.Wait()
		s.stop()
		assert.True(t, fault.IsKind(<-result, fault.Stopping))
		held.Release(Report{})
		_, err = s.Acquire(t.Context(), testRequest(50))
		assert.True(t, fault.IsKind(err, fault.Stopping))
	})
}
