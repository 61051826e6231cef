package forward

import (
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

// minRetryAfter is the shortest time that the header states.
const minRetryAfter = 10 * time.Millisecond

// RetryAfter is the time until a target is expected for a request that is refused. It does not depend on the time that the caller
// has: one that leaves before knows so.
func (p *Placer) RetryAfter(now time.Time, w Work) time.Duration {
	// Whoever returns may be sent to any target.
	w.Excluded = nil
	if capacity := p.capacity(now, &w); !capacity.none() {
		return max(p.queueOf(w).expectedWait(&w, capacity), minRetryAfter)
	}
	if at, found := p.nextTarget(now, &w); found {
		return max(at.Sub(now), minRetryAfter)
	}
	return w.ReplacementTime
}

// nextTarget is when the first of a request's targets that get no work ends its pause or backoff; false if there is none.
// A request does not return to a target that it was sent to.
func (p *Placer) nextTarget(now time.Time, w *Work) (first time.Time, found bool) {
	for _, s := range p.targets {
		if s.seenInView != p.viewNumber || s.target.Service != w.Service || s.target.Model != w.Model || slices.Contains(w.Excluded, s.target.ID) || p.statements.Leaving(incarnationOf(&s.target)) {
			continue
		}
		at := s.backoffUntil
		if end, paused := p.pauses.Until(now, incarnationOf(&s.target)); paused && end.After(at) {
			at = end
		}
		if at.After(now) && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

// retryAfter is the Retry-After of a refusal.
func (s *session) retryAfter() time.Duration {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	return s.entry.placer.RetryAfter(boottime.Now(), s.newWork())
}

// replacementTime is how long it takes until another target is expected where a request has none: a group is formed by engines that
// hold the weights, an upstream of a plain service has announced itself.
func (e *Entry) replacementTime(r *request) time.Duration {
	if r.model == nil {
		return e.opts.AnnounceInterval
	}
	return r.model.WarmLoadTime + r.service.Engine.OpenTime
}

// startupRetryAfter is the Retry-After for callers that reach an entry before its first configuration: the time until it should
// serve, spread so that not all retry at once.
func (e *Entry) startupRetryAfter(now time.Time) time.Duration {
	if !e.opts.Mechanisms.Enabled(mechanism.StartupRetryDelay) {
		return e.opts.ConfirmInterval
	}
	return max(startupTime-now.Sub(e.startedAt), 0) + time.Duration(e.randomFloat()*float64(startupRetrySpread))
}
