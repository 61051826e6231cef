// Package dispatch sends one request to one upstream and returns its complete
// response, or a CallError that says how far the request got. It never retries and
// never decides whether a request may be retried.
package dispatch

import (
	"time"

	"github.com/masticmount/masticmount/pkg/statement"
)

// Headers that masticmount exchanges with upstreams.
const (
	// HeaderRequestID carries the request identifier; upstreams echo it
	// in their response.
	HeaderRequestID = "Masticmount-Request-Id"
	// HeaderGroup and HeaderGeneration name the group that a request is addressed to.
	HeaderGroup      = "Masticmount-Group"
	HeaderGeneration = "Masticmount-Generation"
	// HeaderPriority is the priority of a request in an engine; lower values run first.
	HeaderPriority = "Masticmount-Priority"
	// HeaderResumeFrom asks an engine to resume after that many tokens. Their text
	// is in the body as the last, partial assistant message.
	HeaderResumeFrom = "Masticmount-Resume-From"
	// HeaderAccount names the client account.
	HeaderAccount = "Masticmount-Account"
	// HeaderRateLimit is the number of requests a second that the upstream takes from all
	// nodes together, a decimal number, for as long as its responses carry it.
	HeaderRateLimit = "Masticmount-Rate-Limit"
	// HeaderLeaving is 1 in responses of an upstream that leaves: it gets no new request.
	HeaderLeaving = "Masticmount-Leaving"
	// HeaderIdempotencyKey forwards the caller's key to plain services.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Call is one request to an upstream. The call owns its byte slices: the caller must
// not modify them.
type Call struct {
	RequestID string
	Address   string
	// Upstream is the incarnation that the call is meant for; empty if what the response
	// states of its upstream is not of interest.
	Upstream    statement.Incarnation
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Headers are set on the request in addition to the fields above.
	Headers map[string]string
	// RequestTarget and Host, when set, are written unchanged to the request line and the
	// Host header, in place of Path and Query.
	RequestTarget, Host string
	// HeaderLines are headers that may occur more than once, in order.
	HeaderLines []HeaderLine
	Deadline    time.Time
	// TimeLeft is a header with the time left, which is read when the request is written: opening a connection takes time.
	TimeLeft TimeLeft
	// FreshConnection opens a new connection for the call. A call that must not be
	// retried needs one: an upstream that closes an idle connection while the
	// request is sent would leave its outcome unknown.
	FreshConnection bool
	// MaxIdle, if above 0, limits how long a reused connection may have been idle.
	MaxIdle time.Duration
	// StallTimeout is the time between events of a stream, after its first token, after
	// which the stream counts as silent, see Stream.OnStall; 0 means never.
	StallTimeout time.Duration
}

// TimeLeft is a header with the milliseconds that are left for a request, at least 1.
type TimeLeft struct {
	// Name is the header's name; empty for none.
	Name string
	Left func() time.Duration
}

// HeaderLine is one header field of a request or response.
type HeaderLine struct{ Name, Value string }

// BufferedResponse is an upstream's complete response, read into memory.
type BufferedResponse struct {
	Status      int
	ContentType string
	// Headers holds those of ForwardedHeaders that are present; nil if there are none.
	Headers map[string]string
	Body    []byte
}

// ForwardedHeaders are the response headers that are forwarded to callers in addition to
// the content type. All others concern the connection or masticmount itself.
var ForwardedHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Range",
	"Etag", "Expires", "Last-Modified", "Location", "Vary",
}
