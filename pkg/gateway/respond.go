package gateway

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
)

const okStatus = http.StatusOK

// serveComplete runs the request and writes the complete answer.
func (s *session) serveComplete(c fiber.Ctx) error {
	defer s.close()
	s.start()
	return s.respond(c)
}

// respond writes the result of the request to the client.
func (s *session) respond(c fiber.Ctx) error {
	switch {
	case s.refusal != nil:
		c.Locals(sessionKey, s)
		return s.refusal
	case s.answer != nil:
		return writeAnswer(c, s.answer)
	default:
		// The client disconnected; a response without an outcome must not be sent.
		return c.RequestCtx().Conn().Close()
	}
}

func writeAnswer(c fiber.Ctx, a *dispatch.BufferedResponse) error {
	c.Set(fault.OutcomeHeader, string(outcomeOf(a.Status)))
	for name, value := range a.Headers {
		c.Set(name, value)
	}
	c.Set(fiber.HeaderContentType, a.ContentType)
	return c.Status(a.Status).Send(a.Body)
}

// outcomeOf returns the outcome of a request from the status of its answer. After a
// 5xx it is unknown: the upstream may have failed before, during or after the run. So it is
// after a status that promises that the request did not run, where the upstream did not state it.
func outcomeOf(status int) fault.Outcome {
	if status >= http.StatusInternalServerError || dispatch.PromisesNotRun(status) {
		return fault.Unknown
	}
	return fault.Ran
}

// faultOfCall returns the error for the client after a failed attempt.
func faultOfCall(callErr *dispatch.CallError) *fault.Error {
	kind, remedy := fault.UpstreamFailed, "check whether it ran before sending it again"
	if callErr.NotRun() {
		remedy = "send the request again"
	}
	if callErr.Reason == dispatch.TimedOut {
		kind = fault.DeadlinePassed
	}
	if callErr.Reason == dispatch.LimitStated {
		return fault.New(fault.Overloaded, "retry after the time in Retry-After", "the upstream has stated how many requests it takes").
			WithCause(callErr).WithRetryAfter(max(callErr.RetryAfter, fault.MinRetryAfter))
	}
	e := fault.New(kind, remedy, "the upstream returned no complete answer: %s", callErr.Reason).WithCause(callErr)
	if !callErr.NotRun() {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithRetryAfter(max(callErr.RetryAfter, fault.MinRetryAfter))
}

// handleError logs an error and writes it as a problem response.
func (g *Gateway) handleError(c fiber.Ctx, err error) error {
	e := g.faultOfHTTP(err)
	id, _ := c.Locals(requestIDKey).(string)
	if id == "" {
		id = g.assignRequestID(c)
	}
	account, _ := c.Locals(accountKey).(string)
	line := g.opts.Log.Warn()
	if s, ok := c.Locals(sessionKey).(*session); ok {
		line = s.findingFields(line)
	}
	line.Err(e).Str("request_id", id).Str("account", account).Str("kind", string(e.Kind)).
		Str("outcome", string(e.Outcome)).Int("status", e.Status()).Str("detail", e.Detail).Dur("retry_after_ms", e.RetryAfter).Msg("request_refused")
	g.countRefusal(e)
	c.Set(fault.OutcomeHeader, string(e.Outcome))
	if e.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(e.RetryAfterSeconds()))
	}
	if g.inFlight.isStopping() {
		c.RequestCtx().SetConnectionClose()
	}
	c.Set(fiber.HeaderContentType, fault.ProblemType)
	return c.Status(e.Status()).Send(e.JSON(id))
}

// faultOfHTTP converts errors of the HTTP library, which all occur before a request
// is dispatched.
func (g *Gateway) faultOfHTTP(err error) *fault.Error {
	var httpErr *fiber.Error
	if !errors.As(err, &httpErr) {
		return fault.From(err)
	}
	switch httpErr.Code {
	case http.StatusRequestEntityTooLarge:
		return fault.New(fault.TooLarge, "send a smaller request", "the body has more than %d bytes", g.opts.MaxBodyBytes)
	case http.StatusRequestHeaderFieldsTooLarge:
		return fault.New(fault.HeaderTooLarge, "send fewer or shorter headers", "the header has more than %d bytes", maxHeaderBytes)
	case http.StatusRequestTimeout:
		return fault.New(fault.SlowRequest, "send the whole request at once", "the request was not received completely within %s", g.opts.ReadTimeout).
			WithRetryAfter(fault.MinRetryAfter)
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return fault.New(fault.NoRoute, "check the method and the path", "%s", httpErr.Message)
	default:
		return fault.New(fault.InvalidRequest, "send a valid HTTP/1.1 request", "the request cannot be read")
	}
}
