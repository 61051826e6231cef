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
	// cutMargin is the time from when the grace period lets streams be cut until they are.
	cutMargin = 100 * time.Millisecond
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
	// estimatesUntil is until when requests are accepted by their expected duration.
	estimatesUntil time.Time
	// acceptedEnd is the end of a request that is accepted by its deadline: it is before the kill, whenever the signal came.
	acceptedEnd time.Time
	// end is when what is left is cut.
	end time.Time
}

// planStop plans a stop whose signal is noticed now and may have come up to lag before. The grace period counts from the
// signal: accepting assumes that it came early, and cutting, which must not be before the last sixth of it, that it came late.
func planStop(now time.Time, lag time.Duration, opts *EntryOptions) stopPlan {
	end := now.Add(opts.StopTimeout)
	if opts.Grace == 0 {
		return stopPlan{now.Add(opts.BalancerWait), end, end}
	}
	earliest := now.Add(-lag)
	accepted := earlier(end, earliest.Add(opts.Grace-killReserve))
	mayCut := now.Add(opts.Grace*5/6 + cutMargin)
	if accepted.After(mayCut) {
		mayCut = accepted
	}
	return stopPlan{earlier(now.Add(opts.BalancerWait), earliest.Add(opts.EstimateTime)), accepted, earlier(end, mayCut)}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
