package gateway

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/gateway/attempt"
	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
	"github.com/masticmount/masticmount/pkg/quarantine/report"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// beginningEvents is the number of events up to which a stream has only begun: its engine
	// may have crashed because of it.
	beginningEvents = 1
	// successEvents is the number of events from which a stream shows that its request crashes
	// no engine.
	successEvents = 3
	// maxProbes bounds the attempts to find out whether an upstream ended.
	maxProbes = 3
	// maxMessageContents bounds the messages of a chat that are examined.
	maxMessageContents = 32
	// messagePrefix distinguishes the identifiers of messages.
	messagePrefix = "message:"
	// messageHashBytes is the length of the hash in the identifier of a message.
	messageHashBytes = 16
)

// contentsOf returns the identifiers of the contents that later requests may share: the whole
// request, and each message of a chat but the last.
func contentsOf(req *request) []string {
	whole := quarantine.RequestContent(req.account, req.call.Method, "", req.call.Path+"?"+req.call.Query, req.call.Body)
	var messages []json.RawMessage
	if req.chat == nil || json.Unmarshal(req.chat.Messages, &messages) != nil || len(messages) == 0 {
		return quarantine.Contents(whole, nil)
	}
	shared := messages[:min(len(messages)-1, maxMessageContents)]
	return quarantine.Contents(whole, lo.Map(shared, func(m json.RawMessage, _ int) string { return messageContent(m) }))
}

// messageContent returns the identifier of a message, whatever its white space.
func messageContent(message json.RawMessage) string {
	var compact bytes.Buffer
	if json.Compact(&compact, message) != nil {
		compact.Write(message)
	}
	sum := sha256.Sum256(compact.Bytes())
	return messagePrefix + hex.EncodeToString(sum[:messageHashBytes])
}

// errQuarantined is the cause of the end of a wait or an attempt whose request was quarantined.
var errQuarantined = errors.New("a content of the request was quarantined")

// incarnation identifies one start of an upstream.
type incarnation struct {
	upstream string
	number   uint64
}

// suspect is a request whose answer was not complete when its upstream may have crashed.
type suspect struct {
	requestID string
	contents  []string
	// trial is the content against which a crash confirms the evidence, as the request was sent as its trial; empty otherwise.
	trial string
	// ran is the time since the request was sent.
	ran time.Duration
}

// crashCheck collects the requests that broke at one incarnation, until a probe shows whether the
// upstream ended.
type crashCheck struct {
	incarnation
	group    *domain.Group
	at       time.Time
	suspects []suspect
	// done is closed when the evidence is recorded.
	done chan struct{}
}

// crashWatch finds out which requests crash upstreams, and ends the waits and the unanswered
// attempts of requests whose content is quarantined.
type crashWatch struct {
	store   *evidence.Store
	client  *dispatch.Client
	metrics *telemetry.Registry
	log     zerolog.Logger
	view    func() *domain.View

	mu     sync.Mutex
	checks map[incarnation]*crashCheck
	// rechecks are the checks whose first probe was accepted.
	rechecks map[incarnation]*crashCheck
	// unanswered are the waits and attempts to cancel when their contents are quarantined.
	unanswered map[*unanswered]struct{}
	// isolated has for each route a channel that is full while a suspect of it is in flight.
	isolated map[string]chan struct{}
}

// unanswered is a wait or an attempt without an answer.
type unanswered struct {
	contents []string
	// trial is true for a request that is sent as a trial; its end is awaited.
	trial bool
	// sent is true for an attempt, false for a wait.
	sent   bool
	cancel context.CancelCauseFunc
}

// crashesEndingAttempts is the number of crashes of a content from which unanswered attempts are canceled although another
// cause is possible. With fewer they show whether the content is the cause.
const crashesEndingAttempts = 5

// mustEnd reports whether the wait or attempt ends as its content is quarantined. A wait has not been sent.
func (u *unanswered) mustEnd(f *quarantine.Finding) bool {
	return !u.trial && (!u.sent || f.Confirmed || !f.Answered || f.Crashes >= crashesEndingAttempts)
}

func newCrashWatch(opts Options) *crashWatch {
	w := &crashWatch{
		store: opts.Evidence, client: opts.Client, metrics: cmp.Or(opts.Metrics, telemetry.New("")), log: opts.Log, view: opts.View,
		checks: map[incarnation]*crashCheck{}, rechecks: map[incarnation]*crashCheck{}, unanswered: map[*unanswered]struct{}{}, isolated: map[string]chan struct{}{},
	}
	w.store.Subscribe(w.cancelQuarantined)
	return w
}

// watch has a wait or an attempt canceled with errQuarantined if its contents are quarantined
// before stop is called, where that ends it.
func (w *crashWatch) watch(u *unanswered) (stop func()) {
	w.mu.Lock()
	w.unanswered[u] = struct{}{}
	w.mu.Unlock()
	if finding, quarantined := w.store.Check(u.contents); quarantined && u.mustEnd(&finding) {
		u.cancel(errQuarantined)
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.unanswered, u)
	}
}

func (w *crashWatch) cancelQuarantined() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for u := range w.unanswered {
		if finding, quarantined := w.store.Check(u.contents); quarantined && u.mustEnd(&finding) {
			u.cancel(errQuarantined)
		}
	}
}

// suspectCrash records that a request may have crashed the upstream of its group. The first one
// starts a probe. The result is closed when it is known whether the upstream ended.
func (w *crashWatch) suspectCrash(group *domain.Group, s suspect) (verdict <-chan struct{}) {
	first := group.Members[0]
	key := incarnation{first.ID, first.Incarnation}
	w.mu.Lock()
	defer w.mu.Unlock()
	check := w.checks[key]
	if check == nil {
		check = &crashCheck{incarnation: key, group: group, at: w.store.Now(), done: make(chan struct{})}
		w.checks[key] = check
		go w.probeCrashed(check)
	}
	check.suspects = append(check.suspects, s)
	return check.done
}

// recheckDelays are the times after the first probe at which it is found out again whether the upstream has ended: a process may close
// its connections before its listener, and one that starts again at once accepts connections as another incarnation, which its
// announcements tell.
var recheckDelays = [...]time.Duration{30 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second}

// probeCrashed records the suspects as evidence if their upstream has ended: if nothing listens at its address any more, or another
// incarnation does. A broken connection alone proves nothing: networks and upstreams break single connections, too.
func (w *crashWatch) probeCrashed(check *crashCheck) {
	crashed, err := w.hasEndedNow(check)
	w.mu.Lock()
	delete(w.checks, check.incarnation)
	w.mu.Unlock()
	w.recordCheck(check, crashed, err)
	close(check.done)
	if crashed || !w.checkAgain(check) {
		return
	}
	for i, delay := range recheckDelays {
		if i > 0 {
			delay -= recheckDelays[i-1]
		}
		time.Sleep(delay)
		if crashed, err = w.hasEndedNow(check); crashed {
			break
		}
	}
	w.mu.Lock()
	delete(w.rechecks, check.incarnation)
	w.mu.Unlock()
	if crashed {
		w.metrics.Add("crash_checks.late", 1)
		w.recordCheck(check, true, err)
	}
}

// maxSuspects bounds the suspects of one upstream that is checked again, maxRechecked the upstreams.
const maxSuspects, maxRechecked = 64, 256

// checkAgain reports whether the upstream of a check is to be checked again. If that is under way, its suspects are added there.
func (w *crashWatch) checkAgain(check *crashCheck) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	earlier := w.rechecks[check.incarnation]
	switch {
	case earlier != nil:
		room := maxSuspects - min(len(earlier.suspects), maxSuspects)
		earlier.suspects = append(earlier.suspects, check.suspects[:min(len(check.suspects), room)]...)
		return false
	case len(w.rechecks) >= maxRechecked:
		return false
	}
	w.rechecks[check.incarnation] = check
	return true
}

// hasEndedNow reports whether the upstream of a check has ended, as a connection to it or its announcements show.
func (w *crashWatch) hasEndedNow(check *crashCheck) (ended bool, err error) {
	for range maxProbes {
		// A timeout shows neither.
		if err = w.client.Probe(context.Background(), check.group.Address()); err == nil || dispatch.IsConnectionRefused(err) {
			break
		}
	}
	newest, known := w.view().Upstreams[check.upstream]
	return dispatch.IsConnectionRefused(err) || known && newest.Incarnation > check.number, err
}

// recordCheck logs the suspects of a check, and records them as evidence if their upstream has ended.
func (w *crashWatch) recordCheck(check *crashCheck, crashed bool, err error) {
	now := w.store.Now()
	crashes := make([]quarantine.Crash, 0, len(check.suspects))
	for _, s := range check.suspects {
		w.log.Info().Str("upstream", check.upstream).Str("group", check.group.Name).Str("service", check.group.Service).
			Str("suspect", s.requestID).Str("content", s.contents[0]).Str("prompt_parts", strings.Join(s.contents[1:], ",")).Str("trial", s.trial).
			Bool("crashed", crashed).AnErr("probe", err).Dur("crash_age_ms", now.Sub(check.at)).Msg("engine_crash_checked")
		crashes = append(crashes, quarantine.Crash{Upstream: check.upstream, StartTime: check.number, Service: check.group.Service, Contents: s.contents, At: check.at, Ran: s.ran, Trial: s.trial})
	}
	if !crashed {
		return
	}
	if check.group.Kind == api.UpstreamEngine {
		w.metrics.Add("engine_crashes.at_first_event", 1)
	} else {
		w.metrics.Add("upstream_crashes.plain", 1)
	}
	w.store.AddCrashes(crashes)
}

// recordFailure records the evidence of an attempt without a complete answer: it may have crashed
// its upstream if it was sent and broke, at engines as the answer began.
func (s *session) recordFailure(sl *slot, err error) {
	callErr, ok := dispatch.CallErrorOf(err)
	if !ok || !callErr.Sent || sl.assignment.Group.Kind == api.UpstreamEngine && sl.events > beginningEvents {
		return
	}
	groupBroke := callErr.Reason == dispatch.Canceled && s.lostGroup(sl)
	if callErr.Reason == dispatch.Truncated || callErr.Reason == dispatch.WriteFailed || groupBroke {
		sl.verdict = s.g.crashes.suspectCrash(sl.assignment.Group, suspect{s.req.id, s.req.contents, s.confirming, time.Since(sl.started)})
	}
}

// lostGroup reports whether the group of a canceled attempt broke. Its successor may have been the one
// that canceled it.
func (s *session) lostGroup(sl *slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sl.groupBroke || errors.Is(context.Cause(sl.ctx), errGroupBroke)
}

// recordSuccess records that an upstream answered the request beyond the beginning.
func (s *session) recordSuccess(sl *slot) {
	s.g.opts.Evidence.ObserveSuccess(sl.assignment.Group.Service, s.req.contents)
}

// recordEvent records the evidence of reading a stream: an event, its end or its failure.
func (s *session) recordEvent(sl *slot, err error) {
	switch {
	case err == nil:
		sl.events++
		if sl.events == 1 {
			sl.answerBegan()
		}
		if sl.events == successEvents {
			s.recordSuccess(sl)
		}
	case errors.Is(err, io.EOF):
		s.recordSuccess(sl)
	default:
		s.recordFailure(sl, err)
	}
}

// onTrial reports whether the request, whose content is quarantined, is sent as a trial.
func (s *session) onTrial() bool {
	if s.trial != "" {
		return !s.trialEnded
	}
	content, confirms, begun := s.g.opts.Evidence.BeginTrial(s.req.contents)
	if !begun {
		return false
	}
	if s.trial = content; confirms {
		s.confirming = content
	}
	s.g.crashes.metrics.Add("quarantine.trials", 1)
	s.g.opts.Log.Info().Str("request_id", s.req.id).Str("part", content).Msg("quarantine_trial_sent")
	return true
}

// quarantined returns the event of the refusal of a request with quarantined content; nil when the
// request may be sent.
func (s *session) quarantined() attempt.Event {
	store := s.g.opts.Evidence
	finding, found := store.Check(s.req.contents)
	if !found || s.trial != "" && !s.trialEnded {
		return nil
	}
	s.finding = &finding
	wait := store.RecordWish(&finding)
	age := int(store.Now().Sub(finding.Last).Seconds())
	kind, remedy, text := fault.PromptQuarantined, "leave the named message out of the chat",
		fmt.Sprintf("%d engines crashed as they began to answer chats with %s, the last one %d s ago", len(finding.Upstreams), finding.Content, age)
	if quarantine.IsRequest(finding.Content) {
		kind, remedy, text = fault.RequestQuarantined, "do not send this request again unchanged",
			fmt.Sprintf("%d upstreams crashed as they ran this request, the last one %d s ago", len(finding.Upstreams), age)
	}
	if finding.Confirmed {
		return attempt.Quarantined{Err: fault.New(kind, remedy, "%s", text)}
	}
	kind = fault.PromptSuspected
	if quarantine.IsRequest(finding.Content) {
		kind = fault.RequestSuspected
	}
	return attempt.Quarantined{Err: fault.New(kind, "retry after the time in Retry-After", "%s", text).WithRetryAfter(wait)}
}

// refusedForContent returns the event of the refusal of a request before it is sent: its content is
// quarantined, or it is held while other requests explain the crashes under it as well. It is nil
// when the request may be sent.
func (s *session) refusedForContent() attempt.Event {
	if _, found := s.g.opts.Evidence.Check(s.req.contents); found && s.onTrial() {
		return nil
	}
	if refusal := s.quarantined(); refusal != nil {
		return refusal
	}
	finding, held := s.g.opts.Evidence.CheckHeld(s.req.contents[0])
	if !held {
		return nil
	}
	s.finding = &finding
	s.g.crashes.metrics.Add("requests.suspects_refused", 1)
	refusal := fault.New(fault.RequestSuspected, "retry after the time in Retry-After", "%d upstreams crashed while this request and others ran; it is held", len(finding.Upstreams))
	return attempt.SlotRefused{Err: refusal.WithRetryAfter(finding.Until.Sub(s.g.opts.Evidence.Now()))}
}

// findingFields adds the evidence of the request's refusal to a log line.
func (s *session) findingFields(line *zerolog.Event) *zerolog.Event {
	if s.finding == nil {
		return line
	}
	return report.Fields(s.g.opts.Evidence.Now(), *s.finding, line).Str("content", s.req.contents[0]).
		Str("prompt_parts", strings.Join(s.req.contents[1:], ","))
}
