package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// stoppingRetryAfter is the Retry-After while the entry stops; another entry accepts
	// the retry.
	stoppingRetryAfter = time.Second
	// maxBytesInFlight limits the total body size of queued and running requests.
	maxBytesInFlight = 256 << 20
	// overloadRetryAfter is the Retry-After while maxBytesInFlight is exceeded.
	overloadRetryAfter = time.Second
)

// inFlightTracker counts the requests in flight. It refuses new ones while the
// gateway stops and while their bodies would exceed maxBytesInFlight.
type inFlightTracker struct {
	mu       sync.Mutex
	requests int
	bytes    int
	stopping bool
	// drained is closed when a stopping gateway has no more requests in flight.
	drained chan struct{}
}

// track registers a request with a body of the given size.
func (f *inFlightTracker) track(bytes int) (untrack func(), err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return nil, fault.New(fault.Stopping, "send the request again; another entry will accept it", "this entry is stopping").
			WithRetryAfter(stoppingRetryAfter)
	}
	if f.bytes+bytes > maxBytesInFlight {
		return nil, fault.New(fault.Overloaded, "retry after the time in Retry-After", "the requests in flight use too much memory").
			WithRetryAfter(overloadRetryAfter)
	}
	f.requests++
	f.bytes += bytes
	return sync.OnceFunc(func() { f.untrack(bytes) }), nil
}

func (f *inFlightTracker) untrack(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests--
	f.bytes -= bytes
	if f.stopping && f.requests == 0 {
		close(f.drained)
	}
}

func (f *inFlightTracker) stop() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return f.drained
	}
	f.stopping = true
	f.drained = make(chan struct{})
	if f.requests == 0 {
		close(f.drained)
	}
	return f.drained
}

// isStopping reports whether new requests are refused.
func (f *inFlightTracker) isStopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping
}

// Drain refuses new requests and waits until those in flight have ended or ctx is
// done. It returns the number of requests still in flight.
func (g *Gateway) Drain(ctx context.Context) (remaining int) {
	drained := g.inFlight.stop()
	select {
	case <-drained:
		return 0
	case <-ctx.Done():
		return g.InFlight()
	}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	return g.inFlight.requests
}
