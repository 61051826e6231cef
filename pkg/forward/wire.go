package forward

import "time"

// Wire names the headers that the gateway works with, on both sides.
type Wire struct {
	// RequestID names a request; answers echo it.
	RequestID string
	// TimeLeft is the time for which the caller waits, in milliseconds.
	TimeLeft string
	// Key is the caller's secret; upstreams never get it.
	Key string
	// Account names the client account to the upstream.
	Account string
	// ExpectedUpstream has any other upstream refuse the request.
	ExpectedUpstream string
	// Signature marks the answers that an upstream made.
	Signature string
	// LastEvent is the identifier after which a stream goes on.
	LastEvent string
	Model     string
	// Priority orders requests in an engine.
	Priority string
	// Tokens returns the prompt's tokens and the expected number of generated ones.
	Tokens func(peek func(name string) []byte) (prompt, generated int)
}

// own reports whether a header is set by the gateway, whatever the caller sent.
func (w *Wire) own(name string) bool {
	switch name {
	case w.TimeLeft, w.Key, w.Account, w.ExpectedUpstream, w.Priority, w.RequestID:
		return true
	default:
		return false
	}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// millisecond is the unit of the times on the wire.
const millisecond = time.Millisecond
