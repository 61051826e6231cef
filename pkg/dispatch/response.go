package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Response is an upstream's response whose body has not been read yet. The first call of
// Finish or Abort, or the first failed Read, ends it. After that another exchange may use
// the buffers of its body and header: Read returns how the response ended, and Status,
// Length, Header and HeaderLines must not be called.
type Response struct {
	exchange *exchange
	body     io.Reader
	// end is how the response ended: io.EOF after Finish, or a *CallError; nil before.
	end error
}

// Begin sends a call and returns as soon as the header of the response has been read, or
// a *CallError. The connection is closed when ctx ends.
func (c *Client) Begin(ctx context.Context, call Call) (*Response, error) {
	x, err := c.begin(ctx, call, call.Method == http.MethodHead)
	if err != nil {
		return nil, err
	}
	if !x.framed() && !c.opts.Protocol.AllowUnframed {
		return nil, x.abort(Truncated, errNoLength)
	}
	return &Response{exchange: x, body: x.bodyStream}, nil
}

// Status returns the status code.
func (r *Response) Status() int { return r.exchange.resp.StatusCode() }

// Execution returns what the response states of whether the request ran; never StatedNotRun, for
// which Begin returns a failure.
func (r *Response) Execution() Execution { return r.exchange.execution() }

// Reused reports whether the connection had served an earlier call.
func (r *Response) Reused() bool { return r.exchange.reused }

// Length returns the length of the body; negative if it is not stated.
func (r *Response) Length() int { return r.exchange.resp.Header.ContentLength() }

// Framed reports whether the body's end is marked by a length or a last chunk, and not only by the
// end of the connection.
func (r *Response) Framed() bool { return r.exchange.framed() }

// Header returns the value of one header; nil if it is absent.
func (r *Response) Header(name string) []byte { return r.exchange.resp.Header.Peek(name) }

// HeaderLines returns the header fields, except those for the framing of the body.
func (r *Response) HeaderLines() []HeaderLine {
	var lines []HeaderLine
	for name, value := range r.exchange.resp.Header.All() {
		lines = append(lines, HeaderLine{string(name), string(value)})
	}
	return lines
}

// SetIdleTimeout sets an idle timeout: onTimeout is called whenever no byte has arrived for d.
// If it returns true, Read fails with Stalled; otherwise reading continues. If d is 0,
// only the deadline applies.
func (r *Response) SetIdleTimeout(d time.Duration, onTimeout func() bool) {
	if r.end != nil {
		return
	}
	r.exchange.conn.raw.idle = idleTimeout{timeout: d, onTimeout: onTimeout, deadline: r.exchange.call.Deadline}
	_ = r.exchange.conn.SetReadDeadline(r.exchange.call.Deadline)
}

// Read reads the body. It returns io.EOF after the complete body, or a *CallError, which
// further calls return again. Either may be returned together with data.
func (r *Response) Read(p []byte) (int, error) {
	if r.end != nil {
		return 0, r.end
	}
	if r.body == nil {
		return 0, io.EOF
	}
	n, err := r.body.Read(p)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, r.abort(r.reasonOf(err), err)
}

// reasonOf returns Stalled for an idle timeout, and otherwise the reason for err.
func (r *Response) reasonOf(err error) Reason {
	if errors.Is(r.exchange.conn.raw.readErr, errIdleTimeout) {
		return Stalled
	}
	return reasonOf(r.exchange.ctx, err, Truncated)
}

// ReadAll reads the complete body and ends the response.
func (r *Response) ReadAll() ([]byte, error) {
	if r.end != nil {
		return nil, r.end
	}
	if r.body == nil {
		r.Finish()
		return nil, nil
	}
	body, err := r.exchange.client.readAll(r.body, r.Length())
	if err != nil {
		return nil, r.abort(bodyErrorReason(r.exchange.ctx, err), err)
	}
	if len(body) > maxBufferedBodyBytes {
		return nil, r.abort(TooLarge, errors.New("response body exceeds the size limit"))
	}
	r.Finish()
	return body, nil
}

// Finish returns the connection to the pool. It must be called after the complete body
// has been read.
func (r *Response) Finish() {
	if r.end != nil {
		return
	}
	r.markEnded(io.EOF)
	if !r.exchange.framed() {
		r.exchange.echoed = false
	}
	r.exchange.finish()
}

// Abort closes the connection, which cancels the work at the upstream, and returns the
// failure. Once the response has ended, Abort only returns the failure.
func (r *Response) Abort(reason Reason, cause error) *CallError { return r.abort(reason, cause) }

func (r *Response) abort(reason Reason, cause error) *CallError {
	if r.end != nil {
		return r.exchange.fail(reason, cause)
	}
	failure := r.exchange.abort(reason, cause)
	r.markEnded(failure)
	return failure
}

// markEnded records how the response ended and drops its body, which returns to the
// library's pool.
func (r *Response) markEnded(end error) { r.end, r.body = end, nil }
