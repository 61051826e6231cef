package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// lastChunkTimeout bounds the wait for the end of a body after [DONE] or a refusal.
	lastChunkTimeout = 20 * time.Millisecond
	// stallGrace is the last part of the stall timeout. It is waited for by a second read,
	// so that data which arrived during a pause of this process ends the silence.
	stallGrace = 500 * time.Millisecond
)

// Event is one server-sent event of a stream. Its data is valid until the next
// call of Next.
type Event struct {
	Data []byte
	// Token is true if the event carries a token; Position is then the position of
	// that token, from 0.
	Token    bool
	Position int
}

// Stream is the response of an engine, read event by event.
type Stream struct {
	exchange *exchange
	events   *eventReader
	// nextPosition is the expected position of the next token.
	nextPosition    int
	hasFinishReason bool
	// stallTimeout is the time after which the stream counts as silent; 0 before the
	// first token and without a stall timeout.
	stallTimeout  time.Duration
	stallDisabled bool
	// onStall is called when the stream is silent; it may be nil.
	onStall func()
	// done is true after [DONE]; closed is true once the exchange has released its
	// connection.
	done, closed bool
	// endErr is how the events ended; nil before. After that the body must not be read: its
	// buffers may belong to another response.
	endErr error
}

var (
	errGap      = errors.New("gap in token positions")
	errNoFinish = errors.New("[DONE] received before a finish reason")
)

// OpenStream sends a call that asks for a stream of tokens, starting at a position. If the
// engine does not stream, OpenStream returns its complete response instead, such as an error.
func (c *Client) OpenStream(ctx context.Context, call Call, from int) (*Stream, *BufferedResponse, error) {
	x, err := c.begin(ctx, call, false)
	if err != nil {
		return nil, nil, err
	}
	if x.resp.StatusCode() != http.StatusOK || !isEventStream(x.resp.Header.ContentType()) {
		response, err := x.readResponse()
		return nil, response, err
	}
	return &Stream{exchange: x, events: newEventReader(x.bodyStream), nextPosition: from}, nil, nil
}

// Next returns the next event, or io.EOF after the complete response. Tokens that the
// caller already has are skipped; a gap in their positions is a failure.
func (s *Stream) Next() (Event, error) {
	for s.endErr == nil {
		s.startIdleTimeout()
		raw, err := s.events.next()
		if err != nil {
			return Event{}, s.readFailed(err)
		}
		if raw.done {
			return Event{}, s.handleDone()
		}
		event, repeated, err := s.accept(raw)
		if err != nil {
			return Event{}, err
		}
		if !repeated {
			return event, nil
		}
	}
	return Event{}, s.endErr
}

func (s *Stream) accept(raw rawEvent) (event Event, repeated bool, err error) {
	s.hasFinishReason = s.hasFinishReason || HasFinishReason(raw.data)
	if !raw.hasPosition {
		return Event{Data: raw.data}, false, nil
	}
	if raw.position < s.nextPosition {
		return Event{}, true, nil
	}
	if raw.position > s.nextPosition {
		return Event{}, false, s.abort(Truncated, fmt.Errorf("%w: expected %d, got %d", errGap, s.nextPosition, raw.position))
	}
	s.nextPosition++
	if s.exchange.call.StallTimeout > stallGrace && !s.stallDisabled {
		s.stallTimeout = s.exchange.call.StallTimeout
	}
	return Event{Data: raw.data, Token: true, Position: raw.position}, false, nil
}

// handleDone handles [DONE], which is only valid after a finish reason.
func (s *Stream) handleDone() error {
	if !s.hasFinishReason && s.exchange.client.opts.fault != acceptTruncated {
		return s.abort(Truncated, errNoFinish)
	}
	s.done, s.endErr = true, io.EOF
	s.exchange.detachContext()
	return io.EOF
}

func (s *Stream) readFailed(err error) error {
	if errors.Is(err, errEventTooLong) {
		return s.abort(Malformed, err)
	}
	if errors.Is(err, io.EOF) {
		if s.exchange.client.opts.fault == acceptTruncated {
			_ = s.abort(Truncated, err)
			s.endErr = io.EOF
			return io.EOF
		}
		err = io.ErrUnexpectedEOF
	}
	return s.abort(reasonOf(s.exchange.ctx, err, Truncated), err)
}

// OnStall sets a function that Next calls each time the stream has been silent for the
// stall timeout. The stream goes on: silence does not show that its engine has failed.
func (s *Stream) OnStall(onStall func()) { s.onStall = onStall }

// DisableStallTimeout disables the stall timeout, for a stream that cannot be resumed on
// another engine.
func (s *Stream) DisableStallTimeout() {
	if s.endErr != nil {
		return
	}
	s.stallDisabled, s.stallTimeout = true, 0
	s.stopIdleTimeout()
	_ = s.exchange.conn.SetReadDeadline(s.exchange.call.Deadline)
}

func (s *Stream) stopIdleTimeout() {
	s.exchange.conn.raw.idle, s.exchange.conn.raw.grace = idleTimeout{}, 0
}

// startIdleTimeout starts the stall timeout of the next event. Bytes that are no event, such
// as comments, do not extend it.
func (s *Stream) startIdleTimeout() {
	if s.stallTimeout == 0 {
		return
	}
	raw := s.exchange.conn.raw
	if raw.idle.timeout == 0 {
		raw.grace = stallGrace
		raw.idle = idleTimeout{timeout: s.stallTimeout, onTimeout: s.stalled, deadline: s.exchange.call.Deadline}
	}
	raw.idle.since = time.Now()
}

func (s *Stream) stalled() (abort bool) {
	if s.onStall != nil {
		s.onStall()
	}
	return false
}

func (s *Stream) abort(reason Reason, cause error) *CallError {
	s.closed = true
	failure := s.exchange.abort(reason, cause)
	s.endErr = failure
	return failure
}

// Close ends the stream. After a complete response its connection is kept if the end of
// the body follows within lastChunkTimeout. Otherwise it is closed, which cancels the
// work at the engine.
func (s *Stream) Close() {
	if s.closed {
		return
	}
	if !s.done {
		_ = s.abort(Canceled, context.Canceled)
		return
	}
	s.closed = true
	s.stopIdleTimeout()
	_ = s.exchange.conn.SetReadDeadline(time.Now().Add(lastChunkTimeout))
	if !s.events.atEOF() {
		s.exchange.echoed = false
	}
	s.exchange.finish()
}
