package forward

import (
	"time"

	"github.com/rs/zerolog"
)

// Estimate holds what the decision on a waiting or refused request was based on.
type Estimate struct {
	// Ahead is the number of waiting requests that go before it.
	Ahead int
	// Slots is this entry's part of the slots of its targets.
	Slots float64
	// Wait is the expected wait, ServiceTime the expected time of the request itself; 0 where nothing is known.
	Wait, ServiceTime time.Duration
	// Start is the usual time to a first event or whole answer; 0 where nothing is known.
	Start time.Duration
	// Left is the time that the caller has, FirstEventLeft that until it leaves without a first event; 0 where it sets no such bound.
	Left, FirstEventLeft time.Duration
}

// estimate describes the decision on a request that is expected to wait for a time.
func (q *requestQueue) estimate(now time.Time, w *Work, capacity targetCapacity, wait time.Duration) *Estimate {
	e := &Estimate{
		Ahead: q.ahead(w), Slots: capacity.slots, Wait: wait, ServiceTime: q.expectedServiceTime(w.ServiceTime), Start: q.startLatency.usual(), Left: w.EndBy.Sub(now),
	}
	if !w.FirstEventBy.IsZero() {
		e.FirstEventLeft = w.FirstEventBy.Sub(now)
	}
	return e
}

// fields adds the estimate to a log line.
func (e *Estimate) fields(line *zerolog.Event) *zerolog.Event {
	if e == nil {
		return line
	}
	line = line.Int("ahead", e.Ahead).Float64("own_slots", e.Slots).Dur("expected_wait_ms", e.Wait).Dur("expected_service_ms", e.ServiceTime).
		Dur("usual_start_ms", e.Start).Dur("time_left_ms", e.Left)
	if e.FirstEventLeft != 0 {
		line = line.Dur("first_event_left_ms", e.FirstEventLeft)
	}
	return line
}
