package fleetnode

import (
	"context"
	"time"
)

const (
	// beatInterval is the time between two beats of a process; a beat that comes lateBeat after the one before is late. One that
	// comes within earlyBeat proves nothing: after a pause of the process the next beat can be due at once.
	beatInterval = 100 * time.Millisecond
	lateBeat     = 250 * time.Millisecond
	earlyBeat    = beatInterval / 2
	// killReserve is the time from the end of a planned stop to the kill at the end of the grace period.
	killReserve = 400 * time.Millisecond
)

// heartbeat bounds how late a process notices a signal: it had not come before the last beats that were on time.
type heartbeat struct{ last, steady time.Time }

func newHeartbeat(now time.Time) heartbeat { return heartbeat{now, now} }

// beat records that the process runs and has noticed no signal.
func (h *heartbeat) beat(now time.Time) {
	if now.Sub(h.last) < earlyBeat {
		return
	}
	if now.Sub(h.last) < lateBeat {
		h.steady = h.last
	}
	h.last = now
}

// signalLag is the longest time for which a signal that is noticed now can have been pending.
func (h *heartbeat) signalLag(now time.Time) time.Duration { return now.Sub(h.steady) }

// awaitSignal waits until ctx ends and returns the longest time for which that can have been pending.
func awaitSignal(ctx context.Context) time.Duration {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	h := newHeartbeat(time.Now())
	for {
		select {
		case <-ticker.C:
			if ctx.Err() == nil {
				h.beat(time.Now())
			}
		case <-ctx.Done():
			return h.signalLag(time.Now())
		}
	}
}

// stopPlan holds the times of a planned stop.
type stopPlan struct {
	// estimatesUntil is until when requests are accepted by their expected duration: the load balancer still sends callers here, and
	// EstimateTime since the signal is not over, whenever that came.
	estimatesUntil time.Time
	// acceptedEnd is by when each request that is accepted has to end, and before which those without an answer are refused. It is
	// before the kill, whenever the signal came.
	acceptedEnd time.Time
	// end is when answers that have begun are cut.
	end time.Time
}

// planStop plans a stop whose signal is noticed now and may have come up to lag before. The grace period counts from the signal. What is
// accepted or refused assumes that it came early, so that the kill cuts no caller without an answer. An answer that has begun goes on as if
// it came now: to its caller a cut is no better than the kill.
func planStop(now time.Time, lag time.Duration, opts *EntryOptions) stopPlan {
	end := now.Add(opts.StopTimeout)
	plan := stopPlan{now.Add(opts.BalancerWait), end, end}
	if opts.Grace > 0 {
		earliest := now.Add(-lag)
		plan.estimatesUntil = earlier(plan.estimatesUntil, earliest.Add(opts.EstimateTime))
		plan.acceptedEnd = earlier(end, earliest.Add(opts.Grace-killReserve))
	}
	return plan
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
