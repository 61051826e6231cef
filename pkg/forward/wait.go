package forward

import (
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// maxLateWait is the longest wait for a target once the objective cannot be met. When no
	// capacity becomes free by then, none will soon, and the caller may be served faster
	// elsewhere.
	lateWait = 1200 * time.Millisecond
	// waitMargin is the time beyond its service time that a request needs after the wait: with
	// less of the caller's time left it would not be answered in time.
	minEndTime = 200 * time.Millisecond
)

// newWork describes the request to the placer.
func (s *session) work() Work {
	r := s.r
	priority := r.route.Priority
	if r.account != nil && r.account.HasPriority {
		priority = r.account.Priority
	}
	now, elapsed := boottime.Now(), time.Since(r.arrivedAt)
	arrivedAt := now.Add(-elapsed)
	w := Work{
		Left: time.Until(r.deadline), Service: r.service.Name, Excluded: s.excluded, Hold: r.hold, Rank: rank(priority, r.hold, s.history.sends > 0),
		GiveUpAt: earlier(now.Add(lateWait), now.Add(time.Until(r.deadline)-r.hold-minEndTime)),
	}
	if !s.history.firstEvent {
		w.ObjectiveAt, w.Late = arrivedAt.Add(r.route.Objective), r.returning
	}
	if r.service.Engine != nil {
		w.Model = r.modelName
	}
	return w
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// priorityRankStep is the difference in rank between two priorities: more than any service
// time in seconds.
const rankOfPriority = 1000

// rank orders urgent requests first, then those that were sent before, then short ones, which
// gain the most for each slot.
func rank(priority int, serviceTime time.Duration, retry bool) float64 {
	rank := float64(priority)*rankOfPriority + serviceTime.Seconds()
	if retry {
		rank -= rankOfPriority / 4
	}
	return rank
}

// acquireTarget gets a slot at a target, and waits for one if need be.
func (s *session) acquire() *fault.Error {
	e, w := s.e, s.work()
	e.mu.Lock()
	e.lastWork++
	w.ID = e.lastWork
	p := e.placer.Arrive(boottime.Now(), w)
	var granted chan *attach.Target
	if p.Waiting {
		granted = make(chan *attach.Target, 1)
		e.waiters[w.ID] = granted
	}
	e.mu.Unlock()
	if p.Target != nil {
		s.target = p.Target
		return nil
	}
	if !p.Waiting {
		return s.crowded(p)
	}
	waitStart := time.Now()
	defer func() { s.queued += time.Since(waitStart) }()
	return s.wait(w, p, granted)
}

// awaitGrant blocks until the request gets a target or its deadline passes. A request that
// becomes late keeps waiting behind those that are not.
func (s *session) wait(w Work, p Placement, granted chan *attach.Target) *fault.Error {
	deadline := w.GiveUpAt
	if !p.LateAt.IsZero() {
		deadline = earlier(deadline, p.LateAt)
	}
	timer := time.NewTimer(deadline.Sub(boottime.Now()))
	defer timer.Stop()
	select {
	case s.target = <-granted:
		return nil
	case <-timer.C:
	case <-s.ctx.Done():
	}
	p, waiting := s.turnAway(w, deadline)
	switch {
	case !waiting:
		s.target = <-granted
		return nil
	case p.Waiting:
		return s.wait(w, p, granted)
	default:
		return s.crowded(p)
	}
}

// endWait ends a wait, or turns it into that of a late request. It returns false when the
// request was granted in the meantime.
func (s *session) turnAway(w Work, deadline time.Time) (p Placement, waiting bool) {
	e := s.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ctx.Err() == nil && deadline.Before(w.GiveUpAt) {
		p, waiting = e.placer.Delayed(boottime.Now(), w)
	} else {
		p, waiting = e.placer.GiveUp(boottime.Now(), w)
	}
	if !p.Waiting {
		delete(e.waiters, w.ID)
	}
	return p, waiting
}

func (s *session) crowded(p Placement) *fault.Error {
	if s.lastFail != nil {
		return s.history.refusal(s.lastFail.Reason, p.RetryAfter)
	}
	return fault.New(fault.Overloaded, "retry after the time in Retry-After", "no place for the request: %s", p.Reason).After(p.RetryAfter)
}
