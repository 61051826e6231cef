package fakes

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
)

// wrongRequestID is the request identifier in responses with the fault WrongRequestID.
const wrongRequestID = "another-request"

// responseID returns the request identifier to put into a response.
func responseID(c fiber.Ctx, f Faults) string {
	if f.WrongRequestID {
		return wrongRequestID
	}
	return strings.Clone(c.Get(dispatch.HeaderRequestID))
}

// untilDisconnect returns a context that ends when the client closes its connection,
// provided that the fake is served on a listener that detects disconnects.
func untilDisconnect(c fiber.Ctx) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	conn, ok := c.RequestCtx().Conn().(*disconnect.Conn)
	if !ok {
		return ctx, cancel
	}
	conn.Watch(cancel)
	return ctx, func() {
		conn.Unwatch()
		cancel()
	}
}

// closeConn closes the connection without a response.
func closeConn(c fiber.Ctx) error {
	return c.RequestCtx().Conn().Close()
}

// refuse responds with the outcome not-run, and with the time for which the upstream wants no work, if a fault states one.
func refuse(c fiber.Ctx, status int, f Faults) error {
	c.Set(fault.OutcomeHeader, string(fault.NotRun))
	if f.RetryAfter != "" {
		c.Set(fiber.HeaderRetryAfter, f.RetryAfter)
	}
	return c.SendStatus(status)
}

// sendResponse sends a plain response, truncated or duplicated if a fault says so.
func sendResponse(c fiber.Ctx, f Faults, contentType string, body []byte) error {
	id := responseID(c, f)
	if f.TruncateAfter > 0 || f.Duplicated {
		raw := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n%s: %s\r\n\r\n%s",
			contentType, len(body), dispatch.HeaderRequestID, id, body)
		if f.TruncateAfter > 0 {
			raw = raw[:len(raw)-len(body)/2]
		} else {
			raw = append(raw, raw...)
		}
		return writeRaw(c, raw, f.TruncateAfter > 0)
	}
	c.Set(dispatch.HeaderRequestID, id)
	c.Set(fiber.HeaderContentType, contentType)
	return c.Status(http.StatusOK).Send(body)
}

// writeRaw writes raw bytes to the connection and closes it, immediately or when the
// client does.
func writeRaw(c fiber.Ctx, raw []byte, closeAtOnce bool) error {
	conn := c.RequestCtx().Conn()
	_, _ = conn.Write(raw)
	if !closeAtOnce {
		_, _ = conn.Read(make([]byte, 1))
	}
	return conn.Close()
}
