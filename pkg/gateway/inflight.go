package gateway

import (
	"context"
	"sync"

	"github.com/masticmount/masticmount/pkg/fault"
)

// maxBytesInFlight limits the total body size of queued and running requests.
const maxBytesInFlight = 256 << 20

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
func (t *inFlightTracker) track(bytes int) (untrack func(), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return nil, stoppingError()
	}
	if t.bytes+bytes > maxBytesInFlight {
		return nil, fault.New(fault.Overloaded, "retry after the time in Retry-After", "the requests in flight use too much memory").
			WithRetryAfter(fault.MinRetryAfter)
	}
	t.requests++
	t.bytes += bytes
	return sync.OnceFunc(func() { t.untrack(bytes) }), nil
}

func stoppingError() *fault.Error {
	return fault.New(fault.Stopping, "send the request again; another entry will accept it", "this entry is stopping").
		WithRetryAfter(fault.MinRetryAfter)
}

func (t *inFlightTracker) untrack(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests--
	t.bytes -= bytes
	if t.stopping && t.requests == 0 {
		close(t.drained)
	}
}

func (t *inFlightTracker) stop() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return t.drained
	}
	t.stopping = true
	t.drained = make(chan struct{})
	if t.requests == 0 {
		close(t.drained)
	}
	return t.drained
}

// isStopping reports whether new requests are refused.
func (t *inFlightTracker) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
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

// RefuseRemaining ends the requests that are still in flight after Drain: those without an answer
// are refused with their outcome, streams end with an error event. It waits until that is done
// or ctx is done, and returns the number of requests still in flight.
func (g *Gateway) RefuseRemaining(ctx context.Context) (remaining int) {
	g.cancel(errStopping)
	return g.Drain(ctx)
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	return g.inFlight.requests
}
