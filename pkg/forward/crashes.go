package forward

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/quarantine/report"
)

const (
	// beginningEvents is the number of events up to which a stream has only begun: its engine
	// may have crashed because of it.
	beginningEvents = 1
	// successEvents is the number of events from which a stream shows that its prompt crashes
	// no engine.
	successEvents = 3
	// maxProbes bounds the attempts to find out whether an engine ended.
	maxProbes = 3
)

// incarnation identifies one start of an upstream.
type incarnation struct {
	upstream  string
	startTime uint64
}

// crashCheck collects the requests whose answers were incomplete when an upstream's connections
// broke, until a probe shows whether the upstream ended.
type crashCheck struct {
	target attach.Target
	at     time.Time
	// suspects are these requests.
	suspects []suspect
}

// suspect is a request whose answer was not complete when its upstream may have crashed.
type suspect struct {
	requestID, content string
	// parts are the prompt parts, where the crash is evidence against them.
	parts []string
}

// suspectsCrash reports whether a failed send is one that may have crashed its upstream: the
// connection broke before the answer was complete. A stream is only suspected at its beginning.
func (s *session) suspectsCrash(r *upstreamRun, err *dispatch.CallError) bool {
	return err.Sent && err.Reason == dispatch.Truncated && r.eventCount() <= beginningEvents
}

// newSuspect describes a request whose send broke with the given run. An engine that crashes by a
// prompt part has begun the answer.
func (s *session) newSuspect(r *upstreamRun) suspect {
	found := suspect{requestID: s.request.id, content: s.request.content}
	if r != nil && s.hasPromptParts() {
		found.parts = s.request.promptParts
	}
	return found
}

// suspectCrash records that a request may have crashed its target. The first one starts a probe
// of the upstream; the caller holds the lock.
func (e *Entry) suspectCrash(now time.Time, t *attach.Target, found suspect) {
	key := incarnation{t.ID, t.StartTime}
	check := e.crashChecks[key]
	if check == nil {
		check = &crashCheck{target: *t, at: now}
		e.crashChecks[key] = check
		go e.probeCrashed(check)
	}
	check.suspects = append(check.suspects, found)
}

// probeCrashed logs the suspects, and records their prompt parts as evidence if nothing listens at
// their upstream's address any more. A broken connection alone proves nothing: networks and
// upstreams break single connections, too.
func (e *Entry) probeCrashed(check *crashCheck) {
	var err error
	for range maxProbes {
		// A timeout shows neither.
		if err = e.opts.Client.Probe(context.Background(), check.target.Address); err == nil || dispatch.IsConnectionRefused(err) {
			break
		}
	}
	crashed := dispatch.IsConnectionRefused(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.crashChecks, incarnation{check.target.ID, check.target.StartTime})
	now := e.opts.EvidenceClock()
	for _, found := range check.suspects {
		e.opts.Log.Info().Str("upstream", check.target.ID).Str("group", check.target.Group).Str("service", check.target.Service).
			Str("suspect", found.requestID).Str("content", found.content).Str("prompt_parts", strings.Join(found.parts, ",")).
			Bool("crashed", crashed).AnErr("probe", err).Dur("crash_age_ms", now.Sub(check.at)).Msg("engine_crash_checked")
	}
	if !crashed {
		return
	}
	if check.target.Group == "" {
		e.opts.Metrics.Add("upstream_crashes.plain", 1)
	} else {
		e.opts.Metrics.Add("engine_crashes.at_first_event", 1)
	}
	for _, found := range check.suspects {
		e.crashes.AddCrash(now, quarantine.Crash{Upstream: check.target.ID, StartTime: check.target.StartTime, Service: check.target.Service, Contents: quarantine.Contents("", found.parts), At: check.at})
	}
	e.applyQuarantines(now)
}

// MergeCrashEvidence adds the crash evidence of other nodes.
func (e *Entry) MergeCrashEvidence(now time.Time, evidence *peerpb.CrashEvidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashes.Merge(now, evidence) {
		e.applyQuarantines(now)
	}
}

// recordSuccess records that an engine answered the request beyond the beginning, which also
// shows, without prompt parts, that engines answer; the caller holds the lock.
func (s *session) recordSuccess() {
	if s.request.service.Engine == nil {
		return
	}
	now := s.entry.opts.EvidenceClock()
	if s.entry.crashes.ObserveSuccess(now, s.request.service.Name, quarantine.Contents("", s.request.promptParts)) {
		s.entry.applyQuarantines(now)
	}
}

// reportQuarantines logs the quarantines that began or ended.
func (e *Entry) reportQuarantines() {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Changes(e.opts.EvidenceClock(), e.crashes, e.opts.Metrics, e.opts.Log)
}

// cancelWhenQuarantined returns a context for one send, which ends if the request is quarantined
// before stop is called: an engine that has not begun the answer then never begins it.
func (s *session) cancelWhenQuarantined() (ctx context.Context, stop func()) {
	if !s.hasPromptParts() {
		return s.ctx, func() {}
	}
	e := s.entry
	ctx, cancel := context.WithCancelCause(s.ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unanswered[s] = cancel
	if _, quarantined := e.crashes.Check(e.opts.EvidenceClock(), s.request.promptParts); quarantined {
		// The quarantine began after the request got its target.
		cancel(errQuarantined)
	}
	return ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.unanswered, s)
	}
}

// errQuarantined is the cause of the end of a send that was quarantined.
var errQuarantined = errors.New("a part of the prompt was quarantined")

// hasPromptParts reports whether the request goes to engines and names prompt parts that others
// may share.
func (s *session) hasPromptParts() bool {
	return s.request.service.Engine != nil && len(s.request.promptParts) > 0
}

// applyQuarantines logs changed quarantines and ends the waits and the unanswered sends of
// quarantined requests; the caller holds the lock.
func (e *Entry) applyQuarantines(now time.Time) {
	report.Changes(now, e.crashes, e.opts.Metrics, e.opts.Log)
	for id, w := range e.waiters {
		if _, quarantined := e.crashes.Check(now, w.parts); !quarantined {
			continue
		}
		if _, waiting := e.placer.Cancel(now, w.work); waiting {
			delete(e.waiters, id)
			w.granted <- nil
		}
	}
	for s, cancel := range e.unanswered {
		if _, quarantined := e.crashes.Check(now, s.request.promptParts); quarantined {
			cancel(errQuarantined)
		}
	}
}

// quarantined returns the refusal of a request with a quarantined part; nil when the request may
// be sent.
func (s *session) quarantined() *fault.Error {
	if !s.hasPromptParts() {
		return nil
	}
	now := s.entry.opts.EvidenceClock()
	s.entry.mu.Lock()
	finding, found := s.entry.crashes.Check(now, s.request.promptParts)
	s.entry.mu.Unlock()
	if !found {
		return nil
	}
	s.finding = &finding
	refusal := fault.New(fault.PromptQuarantined, "leave the named part out of the prompt",
		"%d engines crashed as they began to answer prompts with part %s, the last one %d s ago", len(finding.Upstreams), finding.Content, int(now.Sub(finding.Last).Seconds()))
	if s.history.mayHaveRun {
		return refusal.WithOutcome(fault.Unknown)
	}
	return refusal
}
