package forward

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
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
	// brokeAt is that time by the boot clock.
	brokeAt time.Time
	// suspects are these requests.
	suspects []suspect
	// done is closed once the evidence has the verdict.
	done chan struct{}
}

// suspect is a request whose answer was not complete when its upstream may have crashed.
type suspect struct {
	requestID, content string
	// contents are those that the crash is evidence against.
	contents []string
	// unbegun is true if the upstream is an engine that had not sent the header of its answer, which it does when it begins the answer.
	unbegun bool
	// trial is the content against which a crash confirms the evidence, as the request was sent as its trial; empty otherwise.
	trial string
	// at is when the send broke, ran the time since it began.
	at  time.Time
	ran time.Duration
}

// suspectsCrash reports whether a failed send is one that may have crashed its upstream: the
// connection broke before the answer was complete. A stream is only suspected at its beginning.
func (s *session) suspectsCrash(r *upstreamRun, err *dispatch.CallError) bool {
	return err.Sent && err.Reason == dispatch.Truncated && r.eventCount() <= beginningEvents
}

// newSuspect describes a request whose given send broke with the given run.
func (s *session) newSuspect(failed send, r *upstreamRun) suspect {
	return suspect{
		requestID: s.request.id, trial: failed.confirming, content: s.request.content, contents: s.request.contents, at: s.entry.opts.EvidenceClock(), ran: time.Since(failed.at),
		unbegun: r == nil && s.request.service.Engine != nil,
	}
}

// suspectCrash records that a request may have crashed its target. The first one starts a probe
// of the upstream; the caller holds the lock.
func (e *Entry) suspectCrash(t *attach.Target, found suspect) *crashCheck {
	key := incarnation{t.ID, t.StartTime}
	check := e.crashChecks[key]
	if check == nil {
		check = &crashCheck{target: *t, at: found.at, brokeAt: boottime.Now(), done: make(chan struct{})}
		e.crashChecks[key] = check
		go e.probeCrashed(check)
	}
	check.suspects = append(check.suspects, found)
	return check
}

// recheckDelays are the times after the first probe at which it is found out again whether the upstream has ended: a process may close
// its connections before its listener, and one that starts again at once accepts connections as another incarnation, which its
// announcements tell.
var recheckDelays = [...]time.Duration{30 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}

// maxRechecked bounds the upstreams that are checked again at the same time.
const maxRechecked = 256

// probeCrashed logs the suspects, and records them as evidence if their upstream has ended: if nothing listens at its address any more,
// or another incarnation does. A broken connection alone proves nothing: networks and upstreams break single connections, too.
func (e *Entry) probeCrashed(check *crashCheck) {
	crashed, err := e.hasEnded(check, true)
	rechecks := e.recordVerdict(check, crashed, err)
	for i := 0; rechecks && !crashed && i < len(recheckDelays); i++ {
		wait := recheckDelays[i]
		if i > 0 {
			wait -= recheckDelays[i-1]
		}
		time.Sleep(wait)
		if crashed, err = e.hasEnded(check, !e.answeredSince(check)); crashed {
			e.opts.Metrics.Add("crash_checks.late", 1)
		}
	}
	if rechecks {
		e.endRechecks(check, crashed, err)
	}
	if crashed && e.opts.OnNews != nil {
		e.opts.OnNews()
	}
}

// hasEnded reports whether the upstream of a check has ended, as a connection to it or its announcements show.
func (e *Entry) hasEnded(check *crashCheck, probes bool) (ended bool, err error) {
	for i := 0; probes && i < maxProbes; i++ {
		// A timeout shows neither.
		if err = e.opts.Client.Probe(context.Background(), check.target.Address); err == nil || dispatch.IsConnectionRefused(err) {
			break
		}
	}
	return dispatch.IsConnectionRefused(err) || e.opts.View().Succeeded(&check.target), err
}

// answeredSince reports whether the upstream of a check has answered since its connection broke.
func (e *Entry) answeredSince(check *crashCheck) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placer.AnsweredSince(&check.target, check.brokeAt)
}

// recordVerdict ends a check with the result of its first probe. It reports whether the upstream is to be checked again.
func (e *Entry) recordVerdict(check *crashCheck, crashed bool, err error) (rechecks bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(check.done)
	key := incarnation{check.target.ID, check.target.StartTime}
	delete(e.crashChecks, key)
	e.logCheck(check, crashed, err)
	if crashed {
		e.recordCrash(check)
		return false
	}
	if earlier := e.rechecks[key]; earlier != nil {
		earlier.suspects = append(earlier.suspects, check.suspects[:min(len(check.suspects), maxSuspects-min(len(earlier.suspects), maxSuspects))]...)
		return false
	}
	if len(e.rechecks) >= maxRechecked {
		return false
	}
	e.rechecks[key] = check
	return true
}

// maxSuspects bounds the suspects of one upstream that is checked again.
const maxSuspects = 64

// endRechecks ends the checks of an upstream that accepted the first probe.
func (e *Entry) endRechecks(check *crashCheck, crashed bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.rechecks, incarnation{check.target.ID, check.target.StartTime})
	if crashed {
		e.logCheck(check, true, err)
		e.recordCrash(check)
	}
}

// logCheck logs the suspects of a check; the caller holds the lock.
func (e *Entry) logCheck(check *crashCheck, crashed bool, err error) {
	now := e.opts.EvidenceClock()
	for _, found := range check.suspects {
		e.opts.Log.Info().Str("upstream", check.target.ID).Str("group", check.target.Group).Str("service", check.target.Service).
			Str("suspect", found.requestID).Str("content", found.content).Str("prompt_parts", promptPartsOf(found.contents)).Bool("begun", !found.unbegun).Str("trial", found.trial).
			Bool("crashed", crashed).Bool("succeeded", e.opts.View().Succeeded(&check.target)).AnErr("probe", err).Dur("crash_age_ms", now.Sub(check.at)).Msg("engine_crash_checked")
	}
}

// recordCrash records the suspects of a check as evidence; the caller holds the lock.
func (e *Entry) recordCrash(check *crashCheck) {
	now := e.opts.EvidenceClock()
	if check.target.Group == "" {
		e.opts.Metrics.Add("upstream_crashes.plain", 1)
		e.placer.RecordFailure(boottime.Now(), &check.target)
		e.placer.RecordCrash(boottime.Now(), check.target.Service)
	} else {
		e.opts.Metrics.Add("engine_crashes.at_first_event", 1)
	}
	for _, found := range evidenceOf(check.suspects) {
		e.crashes.AddCrash(now, quarantine.Crash{
			Upstream: check.target.ID, StartTime: check.target.StartTime, Service: check.target.Service, Contents: found.contents, At: found.at, Ran: found.ran, Trial: found.trial,
			Unbegun: found.unbegun,
		})
	}
	e.applyQuarantines(now)
	e.applyQuarantinesLater()
}

// maxUnbegun bounds the requests of one crash that are evidence although their answers had not begun.
const maxUnbegun = 4

// evidenceOf returns the suspects of a crash that are evidence: those whose answers had begun. Without any, the header may have been lost
// with the upstream; then it is those that were sent first, as upstreams begin their queues in about that order.
func evidenceOf(suspects []suspect) []suspect {
	unbegun, begun := lo.FilterReject(suspects, func(s suspect, _ int) bool { return s.unbegun })
	if len(begun) > 0 {
		return begun
	}
	slices.SortStableFunc(unbegun, func(a, b suspect) int { return cmp.Compare(b.ran, a.ran) })
	return unbegun[:min(len(unbegun), maxUnbegun)]
}

// applyQuarantinesLater applies the quarantines that begin once the evidence known now has settled.
func (e *Entry) applyQuarantinesLater() {
	time.AfterFunc(quarantine.SettleTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.applyQuarantines(e.opts.EvidenceClock())
	})
}

// MergeCrashEvidence adds the crash evidence of other nodes.
func (e *Entry) MergeCrashEvidence(now time.Time, evidence *peerpb.CrashEvidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.crashes.Merge(now, evidence) {
		return
	}
	for _, c := range evidence.GetCrashes() {
		e.placer.RecordCrash(boottime.Now().Add(-time.Duration(c.GetAgeMs())*time.Millisecond), c.GetService())
	}
	e.applyQuarantines(now)
	if len(evidence.GetCrashes())+len(evidence.GetUnbegunCrashes()) > 0 {
		e.applyQuarantinesLater()
	}
}

// recordSuccess records that an upstream answered the request, an engine beyond the beginning of
// the answer; the caller holds the lock.
func (s *session) recordSuccess() {
	now := s.entry.opts.EvidenceClock()
	if s.entry.crashes.ObserveSuccess(now, s.request.service.Name, s.request.contents) {
		s.entry.applyQuarantines(now)
	}
}

// survived reports whether an answer with an error shows that the request crashes no upstream: a
// plain upstream has run the request to its end.
func (s *session) survived(err *dispatch.CallError) bool {
	return err.Reason == dispatch.Failed && s.request.service.Engine == nil
}

// reportQuarantines logs the quarantines that began or ended.
func (e *Entry) reportQuarantines() {
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Changes(e.opts.EvidenceClock(), e.crashes, e.opts.Metrics, e.opts.Log)
}

// unansweredSend is a send to an upstream that has not begun the answer.
type unansweredSend struct {
	contents []string
	cancel   context.CancelCauseFunc
}

// cancelWhenQuarantined returns a context for one send, which ends with the given one, or if the request is quarantined before stop is
// called: an upstream that has not begun to run it then never does. Requests with a content that was answered until then go on
// while it is only suspected, as they show whether it is the cause. A run-once request is left to its upstream, as it could not be
// sent again, and so is a trial.
func (s *session) cancelWhenQuarantined(parent context.Context) (ctx context.Context, stop func()) {
	if s.request.route.Idempotency == document.AtMostOnce || s.currentSend.trial {
		return parent, func() {}
	}
	e := s.entry
	ctx, cancel := context.WithCancelCause(parent)
	u := &unansweredSend{s.request.contents, cancel}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unanswered[u] = struct{}{}
	if finding, quarantined := e.crashes.Check(e.opts.EvidenceClock(), s.request.contents); quarantined && endsSends(&finding) {
		// The quarantine began after the request got its target.
		cancel(errQuarantined)
	}
	return ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.unanswered, u)
	}
}

// crashesEndingSends is the number of crashes of a content from which no upstream is left to begin a request with it, even
// if another cause is possible.
const crashesEndingSends = 5

// endsSends reports whether unanswered sends end on a finding.
func endsSends(f *quarantine.Finding) bool {
	return f.Confirmed || !f.Answered || f.Crashes >= crashesEndingSends
}

// errQuarantined is the cause of the end of a send that was quarantined.
var errQuarantined = errors.New("a content of the request was quarantined")

// applyQuarantines logs changed quarantines, and ends the waits of requests that were quarantined
// or became suspects, and the unanswered sends of quarantined ones; the caller holds the lock.
func (e *Entry) applyQuarantines(now time.Time) {
	report.Changes(now, e.crashes, e.opts.Metrics, e.opts.Log)
	e.markCrashed(now)
	for id, w := range e.waiters {
		if !e.mustExamine(now, &w) {
			continue
		}
		if _, waiting := e.placer.Cancel(now, w.work); waiting {
			delete(e.waiters, id)
			w.granted <- nil
		}
	}
	for u := range e.unanswered {
		if finding, quarantined := e.crashes.Check(now, u.contents); quarantined && endsSends(&finding) {
			u.cancel(errQuarantined)
		}
	}
}

// markCrashed has the placer know which incarnations have ended; the caller holds the lock.
func (e *Entry) markCrashed(now time.Time) {
	e.placer.MarkCrashed(func(id string, startTime uint64) bool { return e.crashes.Crashed(now, id, startTime) })
}

// mustExamine reports whether a waiting request was quarantined, or became a suspect that waits for a
// target of ordinary requests.
func (e *Entry) mustExamine(now time.Time, w *waiter) bool {
	if _, quarantined := e.crashes.Check(now, w.contents); quarantined && !w.trial {
		return true
	}
	if w.work.Isolated || w.engine {
		return false
	}
	_, suspected := e.suspicion(now, w.contents[0])
	return suspected
}

// quarantined returns the refusal of a request with a quarantined content; nil when the request may
// be sent, which may be as the trial of one.
func (s *session) quarantined() *fault.Error {
	finding, found, due := s.checkContents(true)
	if found && due {
		finding, found = s.awaitTrial()
	}
	if !found {
		return nil
	}
	return s.refuseContent(finding)
}

// checkContents returns the evidence on which the request is refused; false when it may be sent, which may be as a trial. wishes has
// keepers know that the request may be a trial; due is then true if one may be granted soon.
func (s *session) checkContents(wishes bool) (finding quarantine.Finding, found, due bool) {
	e, now := s.entry, s.entry.opts.EvidenceClock()
	e.mu.Lock()
	finding, found = e.crashes.Check(now, s.request.contents)
	found = found && !s.takeTrial(now)
	recorded := false
	if found && wishes {
		recorded, due = e.crashes.RecordWish(now, &finding, e.opts.NodeID)
	}
	e.mu.Unlock()
	if recorded && e.opts.OnNews != nil {
		e.opts.OnNews()
	}
	return finding, found, due
}

// trialPollInterval is the time between two checks whether a trial was granted.
const trialPollInterval = 20 * time.Millisecond

// awaitTrial waits for the grant of a trial, and returns the evidence on which the request is refused if it has none.
func (s *session) awaitTrial() (finding quarantine.Finding, found bool) {
	waitStart := time.Now()
	defer func() { s.queueTime += time.Since(waitStart) }()
	poll := time.NewTicker(trialPollInterval)
	defer poll.Stop()
	longest := min(quarantine.TrialWait, s.timeToWait())
	for {
		select {
		case <-poll.C:
		case <-s.ctx.Done():
		}
		finding, found, _ = s.checkContents(false)
		if !found || s.ctx.Err() != nil || time.Since(waitStart) >= longest {
			return finding, found
		}
	}
}

// refuseContent returns the refusal of a request on evidence against one of its contents. Only evidence that a trial has confirmed
// tells the caller not to send the request again.
func (s *session) refuseContent(finding quarantine.Finding) *fault.Error {
	e, now := s.entry, s.entry.opts.EvidenceClock()
	s.finding = &finding
	refusal := quarantineRefusal(now, &finding)
	switch {
	case finding.Confirmed && s.history.mayHaveRun:
		return refusal.WithOutcome(fault.Unknown)
	case finding.Confirmed:
		return refusal
	case s.history.mayHaveRun:
		return fault.New(fault.UpstreamFailed, "check whether the request ran before retrying it", "%s; it is not sent again", refusal.Detail).WithOutcome(fault.Unknown)
	}
	e.mu.Lock()
	wait := e.crashes.RetryAfter(now, &finding)
	e.mu.Unlock()
	return refusal.WithRetryAfter(wait)
}

// takeTrial reports whether the request may be sent as the trial of a quarantined content, which no other request takes
// then; the caller holds the lock.
func (s *session) takeTrial(now time.Time) bool {
	e := s.entry
	content, granted := e.crashes.GrantedTrial(now, e.opts.NodeID, s.request.contents)
	if !granted || e.trials[content] != nil && e.trials[content] != s {
		return false
	}
	s.trial, e.trials[content] = content, s
	return true
}

// beginTrial records that the current send is the trial that the request has taken, if any. It reports false if that may not be
// begun any more.
func (s *session) beginTrial() bool {
	if s.trial == "" {
		return true
	}
	e := s.entry
	e.mu.Lock()
	content := s.trial
	s.endTrial()
	confirms, begun := e.crashes.BeginTrial(e.opts.EvidenceClock(), e.opts.NodeID, content, s.request.contents)
	e.mu.Unlock()
	if !begun {
		return false
	}
	if s.currentSend.trial = true; confirms {
		s.currentSend.confirming = content
	}
	e.opts.Metrics.Add("quarantine.trials", 1)
	e.opts.Log.Info().Str("request_id", s.request.id).Str("part", content).Str("target", s.target.ID).Msg("quarantine_trial_sent")
	if e.opts.OnNews != nil {
		e.opts.OnNews()
	}
	return true
}

// endTrial leaves a trial that the request has taken to another one; the caller holds the lock.
func (s *session) endTrial() {
	if s.trial != "" && s.entry.trials[s.trial] == s {
		delete(s.entry.trials, s.trial)
	}
	s.trial = ""
}

func quarantineRefusal(now time.Time, f *quarantine.Finding) *fault.Error {
	if quarantine.IsRequest(f.Content) {
		if f.Confirmed {
			return fault.New(fault.RequestQuarantined, "do not send this request again", "%s", crashesText(now, f))
		}
		return fault.New(fault.RequestSuspected, "retry after the time in Retry-After", "%s", crashesText(now, f))
	}
	kind, remedy := fault.PromptSuspected, "retry after the time in Retry-After, or leave the named part out of the prompt"
	if f.Confirmed {
		kind, remedy = fault.PromptQuarantined, "leave the named part out of the prompt"
	}
	return fault.New(kind, remedy, "%d engines crashed as they began to answer prompts with part %s%s, the last one %d s ago",
		len(f.Upstreams), f.Content, companionsText(f), int(now.Sub(f.Last).Seconds()))
}

// companionsText names the prompt parts that were in all crashes, too.
func companionsText(f *quarantine.Finding) string {
	parts := promptPartsOf(f.Companions)
	if parts == "" {
		return ""
	}
	return " together with " + parts
}

// crashesText describes the evidence against a whole request.
func crashesText(now time.Time, f *quarantine.Finding) string {
	return fmt.Sprintf("%d upstreams crashed as they ran this request, the last one %d s ago", len(f.Upstreams), int(now.Sub(f.Last).Seconds()))
}

// promptPartsOf lists the prompt parts among the contents of a request.
func promptPartsOf(contents []string) string {
	return strings.Join(lo.Reject(contents, func(content string, _ int) bool { return quarantine.IsRequest(content) }), ",")
}
