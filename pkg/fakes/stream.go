package fakes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"

	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/dispatch"
)

// stream sends the tokens from the resume position on. Each event has the position
// of its token as identifier. A disconnect of the client cancels the request, also
// between two tokens.
func (e *Engine) stream(c fiber.Ctx, req chatRequest) error {
	ctx, cancel := untilDisconnect(c)
	conn := c.RequestCtx().Conn()
	c.Set(dispatch.HeaderRequestID, req.id)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer cancel()
		if w.Flush() != nil {
			return
		}
		out := &eventWriter{w: w, conn: conn, duplicated: req.faults.Duplicated}
		if !e.generate(ctx, out, req) {
			e.canceled.Add(1)
		}
	})
}

// generate reports whether the complete response was sent.
func (e *Engine) generate(ctx context.Context, out *eventWriter, req chatRequest) bool {
	leave, ok := e.prefill(ctx, req)
	if !ok {
		return false
	}
	defer leave()
	out.event("", chunk(req.id, `{"role":"assistant"}`, "null"))
	for n := req.from; n < req.MaxTokens; n++ {
		e.pace(ctx, req, n)
		f := e.current()
		if f.Dead || req.faults.TruncateAfter > 0 && n >= req.from+req.faults.TruncateAfter {
			_ = out.conn.Close()
			return false
		}
		e.delay(ctx, Faults{Paused: f.Paused})
		if req.faults.SkipToken > 0 && n == req.faults.SkipToken {
			continue
		}
		out.event(fmt.Sprintf("id: %d\n", n), chunk(req.id, fmt.Sprintf(`{"content":%q}`, tokenText(n)), "null"))
		if out.err != nil {
			return false
		}
	}
	out.duplicated = false
	out.event("", chunk(req.id, "{}", `"stop"`))
	if req.faults.OmitDone {
		return false
	}
	// Counted before the last event is sent, because a test may read the counter as
	// soon as it receives that event.
	e.finished.Add(1)
	out.event("", "[DONE]")
	if out.err != nil {
		e.finished.Add(-1)
	}
	return out.err == nil
}

func chunk(id, delta, finish string) string {
	return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":%s,"finish_reason":%s}]}`, id, delta, finish)
}

// eventWriter writes events until the first error.
type eventWriter struct {
	w          *bufio.Writer
	conn       net.Conn
	duplicated bool
	err        error
}

func (o *eventWriter) event(id, data string) {
	if o.err != nil {
		return
	}
	text := id + "data: " + data + "\n\n"
	if o.duplicated {
		text += text
	}
	if _, o.err = io.WriteString(o.w, text); o.err == nil {
		o.err = o.w.Flush()
	}
}
