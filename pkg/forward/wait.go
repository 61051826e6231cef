package forward

import (
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fault"
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
		EndBy: now.Add(r.timeLeft(time.Now(), now)), Begun: s.history.firstEventSent,
	}
	if r.route.Stream && r.route.EventTimeout > 0 {
		w.FirstEventBy = arrivedAt.Add(r.route.EventTimeout)
	}
	if r.service.Engine != nil {
		w.Model = r.modelName
	}
	return w
}

// timeToWait is the time for which the request can wait and still be answered in the caller's time.
func (s *session) timeToWait() time.Duration {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	return max(s.entry.placer.LatestStart(s.newWork()).Sub(boottime.Now()), 0)
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
	s.estimate = p.Estimate
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

// awaitGrant blocks until the request gets a target or could not be answered in the caller's time any more.
func (s *session) awaitGrant(w Work, p Placement, granted chan *attach.Target) *fault.Error {
	now := boottime.Now()
	timer := time.NewTimer(p.WaitUntil.Sub(now))
	defer timer.Stop()
	if !p.NextTarget.IsZero() {
		defer time.AfterFunc(p.NextTarget.Sub(now), s.entry.examineWaiting).Stop()
	}
	select {
	case s.target = <-granted:
		return s.checkGrant()
	case <-timer.C:
	case <-s.ctx.Done():
	}
	refused, waiting := s.endWait(w)
	if !waiting {
		s.target = <-granted
		return s.checkGrant()
	}
	return s.placementRefusal(refused)
}

// examineWaiting hands out the targets that take work again.
func (e *Entry) examineWaiting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.placer.ExamineWaiting(boottime.Now()))
}

// checkGrant examines a request again that got no target: it was quarantined or became a suspect while it waited, no upstream is left
// for it, or it is no longer expected to be answered in its caller's time.
func (s *session) checkGrant() *fault.Error {
	if s.target != nil {
		return nil
	}
	return s.acquireTarget()
}

// endWait ends a wait. It returns false when the request was granted in the meantime.
func (s *session) endWait(w Work) (p Placement, waiting bool) {
	e := s.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if p, waiting = e.placer.Cancel(boottime.Now(), w); waiting {
		delete(e.waiters, w.ID)
	}
	return p, waiting
}

func (s *session) placementRefusal(p Placement) *fault.Error {
	s.limits, s.estimate = p.Limits, p.Estimate
	if s.stopped() {
		return s.stopRefusal()
	}
	if s.lastFailure != nil {
		return s.sendRefusal(s.lastFailure, p.RetryAfter)
	}
	return fault.New(fault.Overloaded, "retry after the time in Retry-After", "no place for the request: %s", p.Reason).WithRetryAfter(p.RetryAfter)
}
