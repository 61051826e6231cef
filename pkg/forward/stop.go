package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
)

// plannedStop is when a planned stop began, until when the load balancer sends new callers, and by when the requests that are accepted in
// it must have ended.
type plannedStop struct{ began, balancerUntil, end time.Time }

// BeginStop begins a planned stop: from now on every answer closes its connection, and requests
// that cannot be answered before the given end are refused. Until balancerUntil the load balancer
// may open connections; callers that come later can reach another entry at once.
func (e *Entry) BeginStop(balancerUntil, end time.Time) {
	e.plannedStop.Store(&plannedStop{time.Now(), balancerUntil, end})
}

// stopping reports whether a planned stop has begun.
func (e *Entry) stopping() bool { return e.plannedStop.Load() != nil }

// A request that arrives in the first part of a planned stop is accepted if stopMargin times its
// expected service time, and stopReserve for the network, fit into the time that is left.
const (
	stopMargin  = 2
	stopReserve = 500 * time.Millisecond
)

// fits reports whether a request may be accepted during the stop. A run may take longer than
// expected, up to the request's deadline. The entry takes that risk only as long as callers
// have no better choice, and for no request that could not be sent again.
func (p *plannedStop) fits(r *request, expected time.Duration) bool {
	return p.needs(r, expected) < p.end.Sub(r.arrivedAt)
}

// needs is the time that a request may take during the stop, by its expected service time where that counts.
func (p *plannedStop) needs(r *request, expected time.Duration) time.Duration {
	if !r.arrivedAt.Before(p.balancerUntil) || r.route.Idempotency == document.AtMostOnce {
		return r.deadline.Sub(r.arrivedAt) + stopReserve
	}
	return stopMargin*expected + stopReserve
}

// checkStop refuses a request that the end of a planned stop may cut off, or the exit after it.
func (e *Entry) checkStop(r *request) *fault.Error {
	planned := e.plannedStop.Load()
	if !e.finished.Load() && (planned == nil || planned.fits(r, e.expectedServiceTime(r))) {
		return nil
	}
	detail := "this node is stopping"
	if planned != nil {
		detail = fmt.Sprintf("this node is stopping: of the %s until its end the request may need %s", planned.end.Sub(r.arrivedAt).Round(time.Millisecond),
			planned.needs(r, e.expectedServiceTime(r)).Round(time.Millisecond))
	}
	return fault.New(fault.Stopping, "retry over a new connection", "%s", detail).WithRetryAfter(stopRetry)
}

// expectedServiceTime is the time that a target is expected to take for a request; 0 where nothing is known.
func (e *Entry) expectedServiceTime(r *request) time.Duration {
	w := Work{Service: r.service.Name, ServiceTime: r.serviceTime}
	if r.service.Engine != nil {
		w.Model = r.modelName
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placer.ExpectedServiceTime(w)
}

// stopRetry is the Retry-After of such a refusal. It is short, as other nodes can serve
// the retry immediately.
const stopRetry = 50 * time.Millisecond

// errStopping is the cause of the end of a request that a planned stop could not wait for.
var errStopping = errors.New("this node stopped")

// unbegunSessions are the sessions whose callers have been sent nothing. The entry's lock guards
// them.
type unbegunSessions struct {
	sessions map[*session]struct{}
	// ended is true once a planned stop ended them.
	ended bool
}

// add adds a session, and ends it if the others were.
func (u *unbegunSessions) add(s *session) {
	u.sessions[s] = struct{}{}
	if u.ended {
		s.cancel(errStopping)
	}
}

func (u *unbegunSessions) remove(s *session) { delete(u.sessions, s) }

// end ends all sessions, so that their callers are refused.
func (u *unbegunSessions) end() {
	u.ended = true
	for s := range u.sessions {
		s.cancel(errStopping)
	}
}

// refusalTime is the part of a planned stop in which requests without an answer are refused. It
// is shorter than stopReserve, so that none is accepted in it.
const refusalTime = 300 * time.Millisecond

// refuseUnbegun refuses the requests whose callers have been sent nothing.
func (e *Entry) refuseUnbegun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unbegun.end()
}

// stopped reports whether a planned stop ended the request.
func (s *session) stopped() bool { return errors.Is(context.Cause(s.ctx), errStopping) }

// stopRefusal is the answer to a request that a planned stop ended.
func (s *session) stopRefusal() *fault.Error {
	if s.history.mayHaveRun {
		return fault.New(fault.UpstreamFailed, "check whether the request ran before retrying it",
			"this node stopped before the answer began").WithOutcome(fault.Unknown)
	}
	return fault.New(fault.Stopping, "retry over a new connection", "this node is stopping").WithRetryAfter(stopRetry)
}

// Drain waits for the requests in flight, those that are being read among them, and until their answers are written. It returns the
// number left when ctx ended.
func (e *Entry) Drain(ctx context.Context) int { return awaitNone(ctx, e.unwritten.count) }

// awaitNone waits until a count is 0 and returns the count when ctx ended.
func awaitNone(ctx context.Context, count func() int) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for count() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return count()
		}
	}
	return 0
}

// drainPollInterval is the time between two checks for requests in flight.
const drainPollInterval = 50 * time.Millisecond

// closeTimeout bounds one wait for callers' connections to close: reading a request that has
// been sent takes less.
const closeTimeout = 400 * time.Millisecond

// closeConnections takes no more connections and closes those without a request. It returns an error if others are left.
func (e *Entry) closeConnections(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	return e.server.ShutdownWithContext(ctx)
}

// Finish answers the requests that callers have sent and closes their connections, until ctx
// ends. A request may arrive after the last one was answered and before its connection was
// closed: it is answered like the others. Those that arrive later are refused, and shortly before the end of accepted requests, or of ctx,
// those whose answer has not begun. It returns the number of requests that are left.
func (e *Entry) Finish(ctx context.Context) int {
	if end, ends := ctx.Deadline(); ends {
		if planned := e.plannedStop.Load(); planned != nil {
			end = earlier(end, planned.end)
		}
		timer := time.AfterFunc(time.Until(end)-refusalTime, e.refuseUnbegun)
		defer timer.Stop()
	}
	for {
		if e.Drain(ctx) > 0 {
			left := e.logCutOff()
			_ = e.closeConnections(ctx)
			return left
		}
		err := e.closeConnections(ctx)
		if ctx.Err() != nil {
			return e.logCutOff()
		}
		if e.unwritten.count() > 0 {
			continue
		}
		e.finished.Store(true)
		if e.unwritten.count() > 0 {
			// It was counted before the others are refused.
			continue
		}
		if err != nil {
			e.opts.Log.Info().Err(err).Msg("connections_left")
		}
		awaitNone(ctx, e.unwritten.lingering)
		return 0
	}
}
