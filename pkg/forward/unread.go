package forward

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/fault"
)

// refuseUnread answers a request whose head could not be read, or is invalid, and closes the connection: what follows on it may
// be no request.
func (e *Entry) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	ctx.Response.SetConnectionClose()
	id := string(ctx.Request.Header.Peek(e.opts.HeaderNames.RequestID))
	e.refuse(ctx, &request{id: id, arrivedAt: time.Now(), configAge: e.opts.ConfigAge()}, nil, unreadFault(err))
}

// unreadFault returns the refusal of a request whose head could not be read.
func unreadFault(err error) *fault.Error {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &small):
		return fault.New(fault.HeaderTooLarge, "send fewer or shorter headers", "the headers have more than %d bytes", maxHeaderBytes)
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &netErr) && netErr.Timeout():
		return fault.New(fault.SlowRequest, "send the request faster", "the request was not received within %s", readTimeout)
	default:
		return fault.New(fault.InvalidRequest, "send a request in the syntax of HTTP/1.1", "the request was not read: %v", err)
	}
}
