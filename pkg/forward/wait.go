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
	maxLateWait = 1200 * time.Millisecond
	// waitMargin is the time beyond its service time that a request needs after the wait: with
	// less of the caller's time left it would not be answered in time.
	waitMargin = 200 * time.Millisecond
)

// newWork describes the request to the placer.
func (s *session) newWork() Work {
	r := s.request
	priority := r.route.Priority
	if r.account != nil && r.account.HasPriority {
		priority = r.account.Priority
	}
	now, elapsed := boottime.Now(), time.Since(r.arrivedAt)
	arrivedAt := now.Add(-elapsed)
	w := Work{
		Service: r.service.Name, ReplacementTime: s.entry.replacementTime(r), Excluded: s.excluded, ServiceTime: r.serviceTime, Priority: priority, ArrivedAt: arrivedAt,
		WaitDeadline: earlier(now.Add(maxLateWait), now.Add(time.Until(r.deadline)-r.serviceTime-waitMargin)),
	}
	if !s.history.firstEventSent {
		w.ObjectiveAt = arrivedAt.Add(r.route.Objective)
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

// waiter is a request that waits for a target.
type waiter struct {
	// granted receives the target; nil when the request must be examined again.
	granted  chan *attach.Target
	work     Work
	contents []string
	// engine is true for a request to engines.
	engine bool
	// trial is true for one that is to be sent as a trial.
	trial bool
}

// acquireTarget gets a slot at a target, and waits for one if need be. A request with a
// quarantined content gets none.
func (s *session) acquireTarget() *fault.Error {
	s.awaitCrashCheck()
	if refusal := s.quarantined(); refusal != nil {
		return refusal
	}
	found, suspected := s.suspicion()
	if !found.Until.IsZero() {
		return s.refuseSuspect(found)
	}
	e, w := s.entry, s.newWork()
	w.Isolated, s.isolated = suspected, suspected
	e.mu.Lock()
	e.lastWorkID++
	w.ID = e.lastWorkID
	p := e.placer.Submit(boottime.Now(), w)
	var granted chan *attach.Target
	if p.Waiting {
		granted = make(chan *attach.Target, 1)
		e.waiters[w.ID] = waiter{granted, w, s.request.contents, s.request.service.Engine != nil, s.trial != ""}
	}
	e.mu.Unlock()
	if p.Target != nil {
		s.target = p.Target
		return nil
	}
	if p.Reason == NoIsolation {
		return s.refuseSuspect(found)
	}
	if !p.Waiting {
		return s.placementRefusal(p)
	}
	s.entry.askForGrants()
	waitStart := time.Now()
	defer func() { s.queueTime += time.Since(waitStart) }()
	return s.awaitGrant(w, p, granted)
}

// awaitGrant blocks until the request gets a target or its deadline passes. A request that
// becomes late keeps waiting behind those that are not.
func (s *session) awaitGrant(w Work, p Placement, granted chan *attach.Target) *fault.Error {
	deadline := w.WaitDeadline
	if !p.LateAt.IsZero() {
		deadline = earlier(deadline, p.LateAt)
	}
	timer := time.NewTimer(deadline.Sub(boottime.Now()))
	defer timer.Stop()
	select {
	case s.target = <-granted:
		return s.checkGrant()
	case <-timer.C:
	case <-s.ctx.Done():
	}
	p, waiting := s.endWait(w, deadline)
	switch {
	case !waiting:
		s.target = <-granted
		return s.checkGrant()
	case p.Waiting:
		return s.awaitGrant(w, p, granted)
	default:
		return s.placementRefusal(p)
	}
}

// checkGrant examines a request again that got no target: it was quarantined or became a suspect
// while it waited, or no upstream is left for suspects.
func (s *session) checkGrant() *fault.Error {
	if s.target != nil {
		return nil
	}
	return s.acquireTarget()
}

// endWait ends a wait, or turns it into that of a late request. It returns false when the
// request was granted in the meantime.
func (s *session) endWait(w Work, deadline time.Time) (p Placement, waiting bool) {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ctx.Err() == nil && deadline.Before(w.WaitDeadline) {
		p, waiting = e.placer.MarkLate(boottime.Now(), w)
	} else {
		p, waiting = e.placer.Cancel(boottime.Now(), w)
	}
	if !p.Waiting {
		delete(e.waiters, w.ID)
	}
	return p, waiting
}

func (s *session) placementRefusal(p Placement) *fault.Error {
	s.limits = p.Limits
	if s.stopped() {
		return s.stopRefusal()
	}
	if s.lastFailure != nil {
		return s.sendRefusal(s.lastFailure, p.RetryAfter)
	}
	return fault.New(fault.Overloaded, "retry after the time in Retry-After", "no place for the request: %s", p.Reason).WithRetryAfter(p.RetryAfter)
}
