package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/gateway/attempt"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/state"
)

// newRunningSession returns a session of a stream whose attempt on a group runs.
func newRunningSession(t *testing.T, h *harness) *session {
	req := &request{
		id: "r", chat: &chatBody{Stream: true}, route: &state.Route{Name: "captions"}, routing: routing.Request{Service: "captioner"},
	}
	s := newSession(h.gw, req, func() {})
	t.Cleanup(func() { s.cancel(nil) })
	s.machine.Step(attempt.Arrived{})
	s.slot = s.newSlot(s.ctx, scheduling.Assignment{
		Group:   &domain.Group{Name: "g1", Whole: true, Members: []domain.Member{{ID: "g1", Address: "g1"}}},
		Release: func(scheduling.Report) {},
	})
	s.machine.Step(attempt.SlotAssigned{Group: "g1"})
	s.slot.streaming = true
	return s
}

// Guards against a stream that is cut because it was preempted just before an event after which it
// cannot be resumed.
func TestPreemptedStreamStaysResumable(t *testing.T) {
	token := dispatch.Event{Data: []byte(`{"content":"a"}`), Token: true}
	unnumbered := dispatch.Event{Data: []byte(`{"content":"b"}`)}
	h := newHarness(t)
	s := newRunningSession(t, h)
	deliver, err := s.recordDelivery(token)
	require.NoError(t, err)
	require.True(t, deliver)
	s.preempt(s.slot)
	deliver, err = s.recordDelivery(unnumbered)
	require.Error(t, err, "the event would pin a stream that has lost its slot")
	require.False(t, deliver)
	require.Equal(t, "a", string(s.replay.text))
	require.IsType(t, attempt.Preempted{}, s.failureEvent(err))

	s = newRunningSession(t, h)
	deliver, err = s.recordDelivery(unnumbered)
	require.NoError(t, err)
	require.True(t, deliver)
	s.preempt(s.slot)
	require.NoError(t, s.slot.ctx.Err(), "a stream that cannot be resumed keeps its slot")
}

// Guards against a complete answer that is thrown away because its slot was lost when it arrived.
func TestCompleteAnswerOutlastsLossOfSlot(t *testing.T) {
	body := []byte(`{"choices":[{"finish_reason":"stop"}]}`)
	for _, cause := range []error{errPreempted, errGroupBroke, errStopping} {
		s := newRunningSession(t, newHarness(t))
		s.req.chat.Stream = false
		s.slot.cancel(cause)
		event := s.handleResult(result{slot: s.slot, answer: &dispatch.BufferedResponse{Status: http.StatusOK, Body: body}})
		require.IsType(t, attempt.Answered{}, event, cause)
		require.NotNil(t, s.answer)
	}
	s := newRunningSession(t, newHarness(t))
	s.req.chat.Stream = false
	s.slot.cancel(errGroupBroke)
	event := s.handleResult(result{slot: s.slot, answer: &dispatch.BufferedResponse{Status: http.StatusServiceUnavailable}})
	require.IsType(t, attempt.GroupBroken{}, event, "the failure of a broken group is no answer")
}
