package gateway

import (
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/gateway/attempt"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

// newStreamingSession returns a session that has passed on one token of a stream, and whose
// successor has not answered yet.
func newStreamingSession(t *testing.T) (*session, *successor) {
	s := &session{g: &Gateway{}, machine: attempt.New(attempt.Request{Idempotent: true, Numbered: true, MaxAttempts: maxAttempts})}
	ctx, cancel := context.WithCancelCause(context.Background())
	s.slot = &slot{assignment: scheduling.Assignment{Group: &domain.Group{Name: "g1"}}, ctx: ctx, cancel: cancel, streaming: true}
	s.step(attempt.Arrived{})
	s.step(attempt.SlotAssigned{Group: "g1"})
	deliverToken(t, s, 0)
	require.Len(t, s.step(attempt.Suspected{}), 1)
	sc := &successor{cancel: func() {}, result: make(chan result, 1)}
	s.successor = sc
	return s, sc
}

func deliverToken(t *testing.T, s *session, position int) {
	_, err := s.stepDelivery(dispatch.Event{Data: []byte(`{"content":"w"}`), Token: true, Position: position})
	require.NoError(t, err)
}

// Guards against a stream that is cut although it went on: its successor has the next token at the
// same moment.
func TestStreamThatWentOnIsNotSuperseded(t *testing.T) {
	s, sc := newStreamingSession(t)
	deliverToken(t, s, 1)
	s.supersede(s.slot, sc)
	require.NoError(t, s.slot.ctx.Err())
}

// Guards against a successor whose slot is never released, as another one takes its place while it
// is cancelled.
func TestSuccessorIsCancelledWithTheTokenThatMakesItNeedless(t *testing.T) {
	s, sc := newStreamingSession(t)
	ended := errors.New("cancelled")
	result := make(chan error, 1)
	sc.cancel = func() { result <- ended }
	deliverToken(t, s, 1)
	require.Nil(t, s.successor)
	require.ErrorIs(t, <-result, ended)
}
