package gateway

import (
	"bufio"
	"errors"
	"io"
	"runtime/debug"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/gateway/attempt"
)

var doneEvent = []byte("[DONE]")

// serveStream runs the request and writes its stream. It waits for the first event
// before it sends the status, so that a request without events gets an error status.
func (s *session) serveStream(c fiber.Ctx) error {
	streaming := false
	defer func() {
		// Also runs after a panic, which a middleware recovers.
		if !streaming {
			s.close()
		}
	}()
	s.start()
	first, err := s.nextEvent()
	if err != nil {
		return s.respond(c)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	c.Set(fault.OutcomeHeader, string(fault.Ran))
	streaming = true
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer s.close()
		defer s.recoverStream(w)
		s.writeStream(w, first)
	})
}

// recoverStream ends an open stream with an error after a panic, which would end the process: the
// stream is written outside of the handler, where no middleware recovers.
func (s *session) recoverStream(w *bufio.Writer) {
	cause := recover()
	if cause == nil {
		return
	}
	s.refusal = fault.From(s.panicError(cause))
	s.writeStreamError(w)
}

// panicError logs a panic and returns it as an error.
func (s *session) panicError(cause any) error {
	err := eris.Errorf("panic: %v", cause)
	s.g.opts.Log.Error().Err(err).Str("request_id", s.req.id).Bytes("stack", debug.Stack()).Msg("request_panicked")
	return err
}

// writeStream writes the stream's events to the client until the stream ends.
func (s *session) writeStream(w *bufio.Writer, event dispatch.Event) {
	for {
		if writeEvent(w, event.Data) != nil {
			s.run(attempt.ClientDisconnected{})
			return
		}
		var err error
		event, err = s.nextEvent()
		if errors.Is(err, io.EOF) {
			_ = writeEvent(w, doneEvent)
			return
		}
		if err != nil {
			s.writeStreamError(w)
			return
		}
	}
}

// writeStreamError ends an open stream with a problem event instead of [DONE].
func (s *session) writeStreamError(w *bufio.Writer) {
	if s.refusal == nil {
		return
	}
	s.findingFields(s.g.opts.Log.Warn()).Err(s.refusal).Str("request_id", s.req.id).Str("account", s.req.account).
		Str("kind", string(s.refusal.Kind)).Int("tokens", s.machine.Delivered()).Msg("stream_failed")
	s.g.countRefusal(s.refusal)
	_, _ = w.WriteString("event: error\n")
	_ = writeEvent(w, s.refusal.JSON(s.req.id))
}

func writeEvent(w *bufio.Writer, data []byte) error {
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	return w.Flush()
}

var errRequestEnded = errors.New("the request has ended")

// nextEvent returns the next event for the client, io.EOF after a complete answer,
// or errRequestEnded if the request ended without one. It resumes the stream on
// another group if the group breaks, the slot is preempted or the attempt fails.
func (s *session) nextEvent() (dispatch.Event, error) {
	for s.stream != nil {
		event, err := s.nextAttemptEvent()
		deliver := false
		if err == nil {
			deliver, err = s.recordDelivery(event)
		}
		if deliver {
			return event, nil
		}
		if err != nil {
			s.finishStream(err)
		}
	}
	if s.refusal == nil && s.answer == nil && !s.discarded && s.machine.Ended() {
		return dispatch.Event{}, io.EOF
	}
	return dispatch.Event{}, errRequestEnded
}

func (s *session) nextAttemptEvent() (dispatch.Event, error) {
	if len(s.buffered) > 0 {
		event := s.buffered[0]
		s.buffered = s.buffered[1:]
		return event, nil
	}
	event, err := s.stream.Next()
	s.recordEvent(s.slot, err)
	return event, err
}

// finishStream passes the end of the open stream to the state machine. If the
// request is resumed, a new stream is open afterwards.
func (s *session) finishStream(err error) {
	stream := s.stream
	s.stream = nil
	s.markStreamEnded()
	if errors.Is(err, io.EOF) {
		s.completed = stream
		s.run(attempt.Answered{})
		return
	}
	stream.Close()
	if s.hasContinuedSuccessor() {
		s.reportFailure(s.slot, &dispatch.CallError{Reason: dispatch.Stalled, Address: s.slot.assignment.Group.Address(), Sent: true})
		s.run(s.awaitSuccessor())
		return
	}
	s.run(s.failureEvent(err))
}

// recordDelivery records an event before it is written to the client. It returns false if the
// client already has the event, and an error if the attempt was canceled.
func (s *session) recordDelivery(event dispatch.Event) (deliver bool, err error) {
	effect, err := s.stepDelivery(event)
	if err != nil || effect.duplicate {
		return false, err
	}
	if effect.unnumbered && s.stream != nil {
		s.stream.DisableStallTimeout()
	}
	s.observeToken(time.Now())
	return true, nil
}

// stepDelivery records an event, unless the attempt was canceled and the event would prevent
// that the stream is resumed: it is the first one, or has no position. The successor is canceled in
// the same step, so that it cannot take over a stream that has continued.
func (s *session) stepDelivery(event dispatch.Event) (delivery, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != nil && s.successor.continued {
		return delivery{}, errSuperseded
	}
	before := s.replay
	effect := s.replay.record(event)
	if effect.duplicate {
		return effect, nil
	}
	if s.slot.ctx.Err() != nil && (effect.unnumbered || !s.machine.Begun()) {
		s.replay = before
		return delivery{}, &dispatch.CallError{Reason: dispatch.Canceled, Address: s.slot.assignment.Group.Address(), Sent: true}
	}
	s.slot.pinned = s.slot.pinned || effect.unnumbered
	tokens := 0
	if event.Token {
		tokens = 1
	}
	for _, action := range s.machine.Step(attempt.Delivered{Tokens: tokens, Unnumbered: effect.unnumbered}) {
		if _, ok := action.(attempt.CancelSuccessor); ok {
			s.dropSuccessor()
		}
	}
	return effect, nil
}
