package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

// testStallTimeout is the shortest stall timeout that dispatch.Stream accepts.
const testStallTimeout = 501 * time.Millisecond

// successorScheduler reports when the second slot of a request was refused or released.
type successorScheduler struct {
	scheduling.Scheduler
	mu    sync.Mutex
	slots int
	ended chan struct{}
}

func (s *successorScheduler) Acquire(ctx context.Context, req scheduling.Request) (scheduling.Assignment, error) {
	a, err := s.Scheduler.Acquire(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots++; s.slots != 2 {
		return a, err
	}
	if err != nil {
		close(s.ended)
		return a, err
	}
	release := a.Release
	a.Release = func(r scheduling.Report) {
		release(r)
		close(s.ended)
	}
	return a, err
}

// newSuccessorHarness returns a harness whose first engine pauses before token 5 until its
// successor has ended.
func newSuccessorHarness(t *testing.T) *harness {
	scheduler := &successorScheduler{ended: make(chan struct{})}
	h := newHarness(t, func(o *Options) {
		scheduler.Scheduler, o.Scheduler = o.Scheduler, scheduler
		o.DefaultDeadline = 5 * time.Second
	})
	h.gw.stallTimeout = testStallTimeout
	h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, token int) {
		if token != 5 {
			return
		}
		select {
		case <-scheduler.ended:
		case <-ctx.Done():
		}
	})
	return h
}

// failingSuccessors are the second groups that do not continue the stream of the first one.
func failingSuccessors() map[string]func(h *harness) {
	failing := func(f fakes.Faults) func(h *harness) {
		return func(h *harness) { h.addEngine("g2", f, nil) }
	}
	return map[string]func(h *harness){
		"missing":                 func(*harness) {},
		"refuses":                 failing(fakes.Faults{Refuse: true}),
		"fails":                   failing(fakes.Faults{PlainError: true}),
		"dead":                    failing(fakes.Faults{Dead: true}),
		"closes after reading":    failing(fakes.Faults{CloseAfterRead: true}),
		"answers another request": failing(fakes.Faults{WrongRequestID: true}),
		"skips a token":           failing(fakes.Faults{SkipToken: 5}),
	}
}

// Guards against streams that are cut although their engine only paused: the silent answer was
// given up before another group continued it.
func TestSilentStreamIsNotGivenUpBeforeItsSuccessorIsCertain(t *testing.T) {
	for name, addSuccessor := range failingSuccessors() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newSuccessorHarness(t)
			addSuccessor(h)
			h.requireCompleteStream(h.chat(true, 12), 12)
			require.Zero(t, h.gw.Drain(context.Background()))
		})
	}
}

// Guards against streams that are cut although the head of their group still answers: a group
// that was no longer whole was given up before another one continued its stream.
func TestStreamOfBrokenGroupIsNotGivenUpBeforeItsSuccessorIsCertain(t *testing.T) {
	for name, addSuccessor := range failingSuccessors() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newSuccessorHarness(t)
			addSuccessor(h)
			resp := h.open(context.Background(), http.MethodPost, chatPath, chatRequest(true, 12))
			prefix := readUntil(t, resp.unread, "w4 ")
			h.changeGroup("g1", func(g *domain.Group) { g.Whole = false })
			h.requireCompleteStream(h.readRemaining(resp, prefix), 12)
			require.Zero(t, h.gw.Drain(context.Background()))
		})
	}
}

// Guards against a status without a stream: a group that breaks before its first token has no
// successor here, so the request is refused.
func TestRequestOfBrokenGroupIsRefusedBeforeItsAnswerBegins(t *testing.T) {
	for _, stream := range []bool{true, false} {
		h := newHarness(t)
		h.addUnansweredGroup("g1", func() {
			h.changeGroup("g1", func(g *domain.Group) { g.Whole = false })
		})
		a := h.chat(stream, 12)
		require.Equal(t, http.StatusServiceUnavailable, a.status, a.body)
		require.Equal(t, "unknown", a.outcome)
	}
}

// Guards against a silent stream that waits for its engine although another group continues it.
func TestSilentStreamIsContinuedByAnotherGroup(t *testing.T) {
	h := newSuccessorHarness(t)
	second := h.addEngine("g2", fakes.Faults{}, nil)
	h.requireCompleteStream(h.chat(true, 12), 12)
	require.EqualValues(t, 1, second.Finished())
}

// Guards against a successor that keeps running, or whose tokens are passed on, after the silent
// stream has continued.
func TestSuccessorEndsWhenSilentStreamContinues(t *testing.T) {
	h := newHarness(t, func(o *Options) { o.DefaultDeadline = 5 * time.Second })
	h.gw.stallTimeout = testStallTimeout
	began, canceled := make(chan struct{}), make(chan struct{})
	h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, token int) {
		if token != 5 {
			return
		}
		select {
		case <-began:
		case <-ctx.Done():
		}
	})
	h.addEngine("g2", fakes.Faults{}, func(ctx context.Context, _ int) {
		if ctx.Err() == nil {
			close(began)
			<-ctx.Done()
			close(canceled)
		}
	})
	h.requireCompleteStream(h.chat(true, 12), 12)
	<-canceled
	require.Zero(t, h.gw.Drain(context.Background()))
}

// Guards against a stream that ends without an error event, or looks complete, when no group is left
// to resume it.
func TestFailedStreamWithoutAnotherGroupEndsWithError(t *testing.T) {
	h := newHarness(t)
	h.addEngine("g1", fakes.Faults{SkipToken: 5}, nil)
	a := h.chat(true, 9)
	require.Contains(t, a.body, "w4 ")
	require.Contains(t, a.body, "event: error")
	require.Contains(t, a.body, `"no-whole-group"`)
	require.Contains(t, a.body, `"outcome":"unknown"`)
	require.NotContains(t, a.body, "[DONE]")
}
