package forward

import (
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/quarantine"
)

// crashCheckTimeout bounds how long a request waits for the verdict on its upstream before it is
// sent again. Without one it is sent as a suspect.
const crashCheckTimeout = 200 * time.Millisecond

// awaitCrashCheck waits until it is known whether the upstream of the last send crashed.
func (s *session) awaitCrashCheck() {
	check := s.crashCheck
	if check == nil {
		return
	}
	s.crashCheck = nil
	timer := time.NewTimer(min(crashCheckTimeout, s.timeToWait()))
	defer timer.Stop()
	select {
	case <-check.done:
	case <-timer.C:
		s.unverified = true
	case <-s.ctx.Done():
	}
}

// suspicion returns the evidence against a request that may crash the next upstream, and whether
// it is a suspect. The evidence is empty while a check is pending; the caller holds the lock.
func (e *Entry) suspicion(now time.Time, content string) (quarantine.Finding, bool) {
	if found, suspected := e.crashes.Suspect(now, content); suspected {
		return found, true
	}
	for _, check := range e.crashChecks {
		for _, suspect := range check.suspects {
			if suspect.content == content {
				return quarantine.Finding{Content: content}, true
			}
		}
	}
	return quarantine.Finding{}, false
}

// suspicion returns the evidence against the session's request, and whether it must be isolated.
// Requests to engines are not: crashes begin with a part that many requests may share.
func (s *session) suspicion() (quarantine.Finding, bool) {
	if s.request.service.Engine != nil {
		return quarantine.Finding{}, false
	}
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	found, suspected := s.entry.suspicion(s.entry.opts.EvidenceClock(), s.request.content)
	return found, suspected || s.unverified
}

// refuseSuspect returns the refusal of a suspect that gets no upstream, or may not be sent yet.
func (s *session) refuseSuspect(f quarantine.Finding) *fault.Error {
	s.finding = &f
	now := s.entry.opts.EvidenceClock()
	reason := "an upstream may have crashed as it ran this request"
	if f.Crashes > 0 {
		s.entry.opts.Metrics.Add("requests.suspects_refused", 1)
		reason = crashesText(now, &f)
	}
	if s.history.mayHaveRun {
		return fault.New(fault.UpstreamFailed, "check whether the request ran before retrying it", "%s; it is not sent again", reason).WithOutcome(fault.Unknown)
	}
	wait, why := s.retryAfter(), "too few other upstreams are left to try it again"
	if !f.Until.IsZero() {
		wait, why = f.Until.Sub(now), "it is held until the cause is known"
	}
	return fault.New(fault.RequestSuspected, "retry after the time in Retry-After", "%s; %s", reason, why).WithRetryAfter(wait)
}
