package forward

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

// BeginStop begins a planned stop that ends at a given time: from now on every answer closes
// its connection, and requests that cannot be answered before the end are refused.
func (e *Entry) BeginStop(end time.Time) { e.stopAt.Store(end.UnixNano()) }

// stopTimeLeft reports whether a planned stop has begun, and the time until it ends.
func (e *Entry) stopTimeLeft(now time.Time) (left time.Duration, begun bool) {
	end := e.stopAt.Load()
	return time.Duration(end - now.UnixNano()), end != 0
}

// A request is accepted during a planned stop if stopMargin times its expected service time,
// and stopReserve for the network, fit into the time that is left.
const (
	stopMargin  = 2
	stopReserve = 500 * time.Millisecond
)

// checkStop refuses a request that the end of a planned stop would cut off.
func (e *Entry) checkStop(r *request) *fault.Error {
	left, begun := e.stopTimeLeft(r.arrivedAt)
	if !begun || stopMargin*r.serviceTime+stopReserve < left {
		return nil
	}
	return fault.New(fault.Stopping, "retry over a new connection", "this node is stopping").WithRetryAfter(stopRetry)
}

// stopRetry is the Retry-After of such a refusal. It is short, as other nodes can serve
// the retry immediately.
const stopRetry = 50 * time.Millisecond

// Drain waits for the requests in flight. It returns the number left when ctx ended.
func (e *Entry) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for e.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return int(e.inFlight.Load())
		}
	}
	return 0
}

// drainPollInterval is the time between two checks for requests in flight.
const drainPollInterval = 50 * time.Millisecond

// closeTimeout bounds one wait for callers' connections to close: reading a request that has
// been sent takes less.
const closeTimeout = 400 * time.Millisecond

// Finish answers the requests that callers have sent and closes their connections, until ctx
// ends. A request may arrive after the last one was answered and before its connection was
// closed: it is answered like the others. It returns the number of requests that are left.
func (e *Entry) Finish(ctx context.Context) int {
	for {
		left := e.Drain(ctx)
		closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
		err := e.server.ShutdownWithContext(closeCtx)
		cancel()
		if ctx.Err() != nil {
			return left
		}
		if e.inFlight.Load() > 0 {
			continue
		}
		if err != nil {
			e.opts.Log.Info().Err(err).Msg("connections_left")
		}
		return 0
	}
}
