// Package dispatch sends one request to one upstream and brings back its whole
// answer or a CallError that says how far the request got. It never retries and
// never decides whether a request may run again.
package dispatch

import "time"

// Headers that masticmount exchanges with upstreams.
const (
	// HeaderRequestID carries the request identifier; upstreams echo it.
	HeaderRequestID = "Masticmount-Request-Id"
	// HeaderGroup and HeaderGeneration name the group that a request is meant for.
	HeaderGroup      = "Masticmount-Group"
	HeaderGeneration = "Masticmount-Generation"
	// HeaderPriority orders requests in an engine; lower runs first.
	HeaderPriority = "Masticmount-Priority"
	// HeaderResumeFrom asks an engine to go on after that many tokens. The
	// tokens' text stands in the body as the last, partial assistant message.
	HeaderResumeFrom = "Masticmount-Resume-From"
	// HeaderAccount names the client account.
	HeaderAccount = "Masticmount-Account"
	// HeaderIdempotencyKey passes the caller's key on to plain services.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Call is one request to an upstream. Its byte slices belong to the call.
type Call struct {
	RequestID   string
	Address     string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// Headers are set on the request besides the ones above.
	Headers map[string]string
	// Target and Host, when set, go into the request line and the Host header as
	// they are, in place of Path and Query.
	Target, Host string
	// Lines are headers that may come more than once, in their order.
	Lines    []HeaderLine
	Deadline time.Time
	// FreshConnection keeps the call off connections that were used before. A
	// call that may not be repeated needs one: an upstream that closes an idle
	// connection would leave its outcome unknown.
	FreshConnection bool
	// FreshWithin, above 0, keeps the call off connections that were idle for longer.
	FreshWithin time.Duration
	// StallTimeout bounds the silence of a stream after its first token; 0 means
	// that only the deadline does.
	StallTimeout time.Duration
}

// HeaderLine is one line of a request's or an answer's header.
type HeaderLine struct{ Name, Value string }

// Answer is an upstream's whole answer.
type Answer struct {
	Status      int
	ContentType string
	// Headers are those of PassedHeaders that the answer has; nil when none.
	Headers map[string]string
	Body    []byte
}

// PassedHeaders are the headers of an upstream's answer that callers get besides
// its content type. All others concern the connection or masticmount itself.
var PassedHeaders = []string{
	"Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Range",
	"Etag", "Expires", "Last-Modified", "Location", "Vary",
}
