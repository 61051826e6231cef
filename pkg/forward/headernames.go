package forward

import "time"

// HeaderNames holds the names of the headers that the gateway uses with callers and upstreams.
type HeaderNames struct {
	// RequestID identifies a request; answers echo it.
	RequestID string
	// TimeLeft is the time that the caller still waits, in milliseconds.
	TimeLeft string
	// Key is the caller's secret; it is never passed to upstreams.
	Key string
	// Account names the client account to the upstream.
	Account string
	// ExpectedUpstream names the upstream that the request is meant for; any other one refuses
	// it.
	ExpectedUpstream string
	// Signature marks an answer as made by an upstream.
	Signature string
	// LastEvent is the identifier after which a stream is resumed.
	LastEvent string
	Model     string
	// Priority orders requests in an engine.
	Priority string
	// PromptParts returns the identifiers of the parts of a request's prompt in order; none where
	// the request does not list them. The last part belongs to the request or to its session. May
	// be nil.
	PromptParts func(peek func(name string) []byte) []string
	// Tokens returns the number of prompt tokens and the expected number of generated ones.
	Tokens func(peek func(name string) []byte) (prompt, generated int)
}

// setByGateway reports whether the gateway sets a header itself, so that the caller's value is
// dropped.
func (h *HeaderNames) setByGateway(name string) bool {
	switch name {
	case h.TimeLeft, h.Key, h.Account, h.ExpectedUpstream, h.Priority, h.RequestID:
		return true
	default:
		return false
	}
}

// hopByHop are the headers that apply to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// millisecond is the unit of times in headers.
const millisecond = time.Millisecond
