package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/httphead"
	"github.com/masticmount/masticmount/pkg/statement"
)

// errNoLength is the cause of a failure when the end of a response cannot be
// distinguished from a broken connection.
var errNoLength = errors.New("response has neither a content length nor chunked encoding")

// identityContentLength is the content length that fasthttp reports for a body that ends
// with its connection.
const identityContentLength = -2

// chunkedContentLength is the content length that fasthttp reports for a body in chunks.
const chunkedContentLength = -1

// exchange is one request and its response on one connection.
type exchange struct {
	client *Client
	call   Call
	ctx    context.Context
	conn   *conn
	resp   *fasthttp.Response
	// bodyStream reads the body; nil if there is none.
	bodyStream io.Reader
	// chunked is bodyStream for a body in chunks.
	chunked chunkedBody
	// stopCancel cancels the callback that closes the connection when ctx ends. It returns
	// false if the callback has already been started.
	stopCancel func() bool
	// echoed is true if the response carries this request's identifier.
	echoed bool
	sent   bool
	// reused is true if the connection had served an earlier call. It is a copy, because
	// at the end of the exchange the connection passes to the next one.
	reused bool
}

// begin sends the request and reads the header of the response.
func (c *Client) begin(ctx context.Context, call Call, skipBody bool) (*exchange, error) {
	x := &exchange{client: c, call: call, ctx: ctx}
	conn, err := c.connect(ctx, call)
	if err != nil {
		return nil, x.fail(reasonOf(ctx, err, DialFailed), err)
	}
	x.conn, x.reused = conn, conn.hasServed()
	x.stopCancel = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := x.send(); err != nil {
		return nil, x.abort(reasonOf(ctx, err, WriteFailed), err)
	}
	// The answer may last long, and the body is not needed for it.
	x.call.Body = nil
	if err := httphead.AwaitFinal(conn.reader); err != nil {
		return nil, x.abort(headReason(ctx, err), err)
	}
	x.resp = fasthttp.AcquireResponse()
	x.resp.StreamBody = true
	x.resp.SkipBody = skipBody
	if err := x.resp.ReadLimitBody(conn.reader, maxBufferedBodyBytes); err != nil {
		return nil, x.abort(reasonOf(ctx, err, Truncated), err)
	}
	x.openBody()
	if err := x.checkHeader(); err != nil {
		return nil, err
	}
	return x, nil
}

// openBody makes the body readable, if the response has one.
func (x *exchange) openBody() {
	x.bodyStream = x.resp.BodyStream()
	if x.bodyStream != nil && x.resp.Header.ContentLength() == chunkedContentLength {
		buffered, _ := x.conn.reader.Peek(x.conn.reader.Buffered())
		x.conn.trailer.Follow(buffered)
		x.chunked = chunkedBody{x.bodyStream, x.conn.trailer}
		x.bodyStream = &x.chunked
	}
}

// chunkedBody reads a body in chunks. In place of its end it returns an error if one of its trailer fields is invalid.
type chunkedBody struct {
	io.Reader
	trailer *httphead.TrailerReader
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		err = cmp.Or(b.trailer.Err(), err)
	}
	return n, err
}

// headReason returns the reason of a response whose head could not be read. Bytes that are no status line at all count as
// a truncated response, as an upstream that crashes may leave them.
func headReason(ctx context.Context, err error) Reason {
	var invalid *httphead.InvalidError
	if errors.As(err, &invalid) && strings.HasPrefix(invalid.Line, "HTTP/") {
		return Malformed
	}
	return reasonOf(ctx, err, Truncated)
}

func (x *exchange) send() error {
	_ = x.conn.SetDeadline(x.call.Deadline)
	before := x.conn.raw.written.Load()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	fillRequest(req, x.call, x.client.opts.Protocol.RequestID)
	err := req.Write(x.conn.writer)
	if err == nil {
		err = x.conn.writer.Flush()
	}
	x.sent = x.conn.raw.written.Load() != before
	if x.client.opts.fault == failedWriteIsNotSent {
		x.sent = err == nil
	}
	if err != nil {
		return fmt.Errorf("send: %w", err)
	}
	return nil
}

// checkHeader returns an error for a response to another request and for an explicit refusal.
func (x *exchange) checkHeader() error {
	header := &x.resp.Header
	echo := header.Peek(x.client.opts.Protocol.RequestID)
	// A call without a request identifier never matches, even if the header is empty.
	x.echoed = len(echo) > 0 && string(echo) == x.call.RequestID
	// Connections are only reused if the upstream echoes request identifiers, so a
	// missing one on a reused connection is an error.
	if !x.echoed && (len(echo) > 0 || x.reused) && x.client.opts.fault != skipRequestIDCheck {
		return x.abort(ResponseMismatch, fmt.Errorf("response carries request ID %q", echo))
	}
	x.reportStatement()
	pause := x.reportPause()
	if !x.refused() {
		return nil
	}
	status := header.StatusCode()
	err := x.fail(Refused, fmt.Errorf("status %d", status))
	err.RetryAfter = pause
	err.AtFault = x.client.opts.Protocol.atFault(header.Peek)
	x.conn.refused = append(x.conn.refused, x.call.RequestID)
	x.discardBody()
	return err
}

// reportStatement reports what the response states of the upstream that the call is meant for.
func (x *exchange) reportStatement() {
	if x.client.onStatement == nil || x.call.Upstream.Upstream == "" {
		return
	}
	if s, ok := x.client.opts.Protocol.Statement(x.resp.StatusCode(), x.resp.Header.PeekAll); ok {
		x.client.onStatement(x.call.Upstream, s)
	}
}

// reportPause reports and returns the time for which a 503 states that the upstream wants no work; 0 if it states none.
func (x *exchange) reportPause() time.Duration {
	if x.resp.StatusCode() != http.StatusServiceUnavailable {
		return 0
	}
	pause, _ := statement.ParseRetryAfter(x.resp.Header.PeekAll(fasthttp.HeaderRetryAfter))
	if pause > 0 && x.client.onPause != nil && x.call.Upstream.Upstream != "" {
		x.client.onPause(x.call.Upstream, pause)
	}
	return pause
}

// discardBody reads the rest of a refusal, so that its connection can be reused, or closes
// the connection.
func (x *exchange) discardBody() {
	_ = x.conn.SetReadDeadline(time.Now().Add(lastChunkTimeout))
	if x.framed() {
		if x.bodyStream != nil {
			if _, err := io.CopyN(io.Discard, x.bodyStream, maxRefusalBytes); !errors.Is(err, io.EOF) {
				x.echoed = false
			}
		}
	} else {
		x.echoed = false
	}
	x.finish()
}

// refused reports whether the upstream stated that the request did not run. A plain
// error status is not a refusal: the request may have run before it.
func (x *exchange) refused() bool {
	status := x.resp.StatusCode()
	if x.client.opts.fault == errorStatusIsRefusal {
		return isRefusalStatus(status)
	}
	return x.execution() == StatedNotRun
}

// execution returns what the response states of whether the request ran.
func (x *exchange) execution() Execution {
	return x.client.opts.Protocol.execution(x.resp.StatusCode(), x.resp.Header.Peek)
}

// framed reports whether a truncated body can be detected.
func (x *exchange) framed() bool {
	return x.resp.SkipBody || x.resp.Header.ContentLength() != identityContentLength || hasNoBody(x.resp.StatusCode())
}

func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

// body reads the complete body into memory.
func (x *exchange) body() ([]byte, error) {
	if !x.framed() && x.client.opts.fault != acceptTruncated {
		return nil, x.abort(Truncated, errNoLength)
	}
	if x.bodyStream == nil {
		return nil, nil
	}
	body, err := x.client.readAll(x.bodyStream, x.resp.Header.ContentLength())
	if err != nil && x.client.opts.fault != acceptTruncated {
		return nil, x.abort(bodyErrorReason(x.ctx, err), err)
	}
	if len(body) > maxBufferedBodyBytes {
		return nil, x.abort(TooLarge, fmt.Errorf("response body exceeds %d bytes", maxBufferedBodyBytes))
	}
	return body, nil
}

// errBufferMemory means that other bodies leave too little of maxBufferedBytes.
var errBufferMemory = errors.New("not enough buffer memory left to read the response body")

// initialBodyBytes is the initial buffer for a body of unknown length.
const initialBodyBytes = 4 << 10

// readAll reads a body into memory. Above guaranteedBodyBytes it fails with
// errBufferMemory as soon as the body's own buffer exceeds what is left of
// maxBufferedBytes, so that longer bodies fail before shorter ones.
func (c *Client) readAll(stream io.Reader, length int) ([]byte, error) {
	body := make([]byte, 0, initialBodyBytes)
	if length >= 0 {
		body = make([]byte, 0, min(length, guaranteedBodyBytes)+1)
	}
	reserved := int64(0)
	defer func() { c.bufferedBytes.Add(-reserved) }()
	for len(body) <= maxBufferedBodyBytes {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		if growth := int64(cap(body)) - reserved; growth > 0 {
			reserved += growth
			if total := c.bufferedBytes.Add(growth); reserved > guaranteedBodyBytes && reserved > maxBufferedBytes-total {
				return body, errBufferMemory
			}
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			if length >= 0 && len(body) < length {
				err = io.ErrUnexpectedEOF
				return body, err
			}
			return body, nil
		case err != nil:
			return body, err
		}
	}
	return body, nil
}

// bodyErrorReason returns TooLarge for errBufferMemory, and otherwise the reason of a body
// that could not be read completely.
func bodyErrorReason(ctx context.Context, err error) Reason {
	if errors.Is(err, errBufferMemory) {
		return TooLarge
	}
	return reasonOf(ctx, err, Truncated)
}

// detachContext stops ctx from closing the connection: the work is done and only the end
// of the body is outstanding.
func (x *exchange) detachContext() {
	stopped := x.stopCancel()
	x.stopCancel = func() bool { return stopped }
}

// finish returns the connection to the pool after a complete response. A connection is
// only reused if the upstream echoes request identifiers: a late or duplicated response
// then cannot be mistaken for that of another request.
func (x *exchange) finish() {
	reusable := x.stopCancel() && x.echoed && !x.resp.ConnectionClose()
	c := x.detachConn()
	c.keepAlive = keepAliveOf(x.resp.Header.Peek("Keep-Alive"))
	x.releaseResponse()
	if !reusable {
		_ = c.Close()
		return
	}
	x.client.pool.put(c, time.Now())
}

// detachConn removes the connection from the exchange, because the next exchange may use
// it immediately.
func (x *exchange) detachConn() *conn {
	c := x.conn
	x.conn = nil
	return c
}

// keepAliveOf returns the idle time in a Keep-Alive header; 0 if it states none.
func keepAliveOf(value []byte) time.Duration {
	_, after, ok := strings.Cut(string(value), "timeout=")
	if !ok {
		return 0
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// abort closes the connection, which cancels the work on an engine, and returns
// the failure.
func (x *exchange) abort(reason Reason, cause error) *CallError {
	x.stopCancel()
	x.releaseResponse()
	c := x.detachConn()
	if x.client.opts.fault == reuseAfterTimeout && reason == TimedOut {
		x.client.pool.put(c, time.Now())
		return x.fail(reason, cause)
	}
	_ = c.Close()
	return x.fail(reason, cause)
}

func (x *exchange) releaseResponse() {
	if x.resp == nil {
		return
	}
	_ = x.resp.CloseBodyStream()
	fasthttp.ReleaseResponse(x.resp)
	x.resp = nil
}

func (x *exchange) fail(reason Reason, cause error) *CallError {
	return &CallError{Reason: reason, Address: x.call.Address, Sent: x.sent, Reused: x.reused, cause: cause}
}

// fillRequest copies the call into a request. The library encodes the path and removes
// line breaks from header values.
func fillRequest(req *fasthttp.Request, call Call, requestID string) {
	req.Header.SetNoDefaultContentType(true)
	if call.RequestTarget == "" {
		uri := req.URI()
		uri.SetScheme("http")
		uri.SetHost(call.Address)
		uri.SetPath(call.Path)
		uri.SetQueryString(call.Query)
	}
	req.Header.SetMethod(call.Method)
	for k, v := range call.Headers {
		req.Header.Set(k, v)
	}
	if call.RequestTarget != "" {
		// The library sends the target unchanged as long as its URI is not parsed.
		req.Header.SetRequestURI(call.RequestTarget)
		req.Header.SetHost(cmp.Or(call.Host, call.Address))
	}
	for _, h := range call.HeaderLines {
		req.Header.Add(h.Name, h.Value)
	}
	if call.TimeLeft.Name != "" {
		req.Header.Set(call.TimeLeft.Name, strconv.FormatInt(max(call.TimeLeft.Left().Milliseconds(), 1), 10))
	}
	req.Header.Set(requestID, call.RequestID)
	if len(call.Body) > 0 {
		if call.ContentType != "" {
			req.Header.SetContentType(call.ContentType)
		}
		req.SetBodyRaw(call.Body)
	}
}
