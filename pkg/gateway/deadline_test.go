package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

// Guards against a request that ends at its deadline without a refusal, or without an error event if
// its answer has begun.
func TestDeadlineEndsRequestWithError(t *testing.T) {
	withDeadline := func(o *Options) { o.DefaultDeadline = 300 * time.Millisecond }
	for _, stream := range []bool{true, false} {
		h := newHarness(t, withDeadline)
		h.addUnansweredGroup("g1", func() {})
		a := h.chat(stream, 9)
		require.Equal(t, http.StatusGatewayTimeout, a.status, a.body)
		require.Equal(t, "deadline", a.kind())
		require.Equal(t, string(fault.Unknown), a.outcome)
	}
	h := newHarness(t, withDeadline)
	h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, token int) {
		if token == 5 {
			<-ctx.Done()
		}
	})
	a := h.chat(true, 9)
	require.Contains(t, a.body, "w4 ")
	require.Contains(t, a.body, "event: error")
	require.Contains(t, a.body, `"deadline"`)
	require.NotContains(t, a.body, "[DONE]")
}

// refusingScheduler refuses each request with an error.
type refusingScheduler struct {
	scheduling.Scheduler
	err *fault.Error
}

func (s *refusingScheduler) Acquire(context.Context, scheduling.Request) (scheduling.Assignment, error) {
	return scheduling.Assignment{}, s.err
}

// Guards against callers that are told to come back although their request takes longer than its deadline allows whenever it is sent.
func TestRequestThatNeverFitsItsDeadlineIsNotAskedBack(t *testing.T) {
	for kind, asked := range map[fault.Kind]bool{fault.DeadlinePassed: false, fault.Overloaded: true} {
		h := newHarness(t, func(o *Options) {
			o.Scheduler = &refusingScheduler{o.Scheduler, fault.New(kind, "allow more time", "the request takes 4s and its deadline is in 2s")}
		})
		h.addEngine("g1", fakes.Faults{}, func(context.Context, int) {})
		a := h.chat(false, 9)
		require.Equal(t, string(fault.NotRun), a.outcome, kind)
		require.Equal(t, string(kind), a.kind())
		require.Equal(t, asked, a.header.Get("Retry-After") != "", kind)
		require.Contains(t, h.logs.String(), `"retry_after_ms":`+map[bool]string{true: "1000", false: "0"}[asked]+",")
	}
}
