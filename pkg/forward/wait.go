package forward

import (
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// waitShare of the objective is the longest wait for a target: the rest is needed
	// to read the prompt and to make the first event.
	waitShare = 0.5
	// returningWait is the longest wait of a caller that was refused before; it is late
	// already and would not come back again.
	returningWait = 1200 * time.Millisecond
)

// work describes the request to the placer.
func (s *session) work() Work {
	r := s.r
	patience := time.Duration(waitShare * float64(r.route.Objective))
	if r.returning {
		patience = returningWait
	}
	priority := r.route.Priority
	if r.account != nil && r.account.HasPriority {
		priority = r.account.Priority
	}
	now := boottime.Now()
	giveUp := now.Add(patience - time.Since(r.arrivedAt))
	if s.history.sends > 0 {
		giveUp = now.Add(patience)
	}
	w := Work{
		Service: r.service.Name, GiveUpAt: giveUp, Excluded: s.excluded, Hold: r.hold,
		Rank: rank(priority, r.hold, r.returning || s.history.sends > 0),
	}
	if r.service.Engine != nil {
		w.Model = r.modelName
	}
	return w
}

// rankOfPriority separates priorities by more than any hold time in seconds.
const rankOfPriority = 1000

// rank puts urgent requests first, then those that were sent or refused before, then
// short ones: they gain the most of their objective for each slot.
func rank(priority int, hold time.Duration, again bool) float64 {
	rank := float64(priority)*rankOfPriority + hold.Seconds()
	if again {
		rank -= rankOfPriority / 2
	}
	return rank
}

// acquire gets a place at a target.
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
	return s.wait(w, granted)
}

// wait waits for a place until its caller's patience ends.
func (s *session) wait(w Work, granted chan *attach.Target) *fault.Error {
	began := time.Now()
	patience := time.NewTimer(min(w.GiveUpAt.Sub(boottime.Now()), time.Until(s.r.deadline)))
	defer patience.Stop()
	defer func() { s.queued += time.Since(began) }()
	select {
	case s.target = <-granted:
		return nil
	case <-patience.C:
	case <-s.ctx.Done():
	}
	e := s.e
	e.mu.Lock()
	p, waiting := e.placer.GiveUp(w)
	delete(e.waiters, w.ID)
	e.mu.Unlock()
	if !waiting {
		s.target = <-granted
		return nil
	}
	return s.crowded(p)
}

func (s *session) crowded(p Placement) *fault.Error {
	if s.lastFail != nil {
		return s.history.refusal(s.lastFail.Reason, p.RetryAfter)
	}
	return fault.New(fault.Overloaded, "come back after the time in Retry-After", "no place for the request: %s", p.Reason).After(p.RetryAfter)
}
