// Package quarantine decides which contents of requests crash the upstreams that run them. A
// content is a whole request, or a part of a prompt that other requests may share.
//
// Nodes collect two kinds of evidence: crashes, each an upstream that ended while it ran a
// request, with the contents of that request; and successes, each a content of a request that an
// upstream answered. A content with a crash since its last success is a suspect. After
// crashesToQuarantine separate crashes it is quarantined, provided that upstreams of the service
// answer other requests. Contents that were in the same crashes are quarantined together: a request
// is refused if it has all of them, and one that lacks any of them is sent and shows whether that one
// is the cause. A whole request that other ones explain is held for a time that grows with each crash.
// The crashes of a quarantined content may have had another cause in common: an event that ended several upstreams, however long it took
// until nodes noticed. From time to time one node of all sends one request with the content as its trial. A success refutes the
// evidence; crashesToConfirm crashes confirm it, and from then on requests with the content are refused for good.
//
// The evidence of several nodes is merged in any order, and merging it again changes nothing.
//
// A content that was answered shortly before its crashes is the less likely cause: it is not blamed for
// crashes that others explain which were not.
//
// While no request of a service is answered, its upstreams may fail by themselves. If the service
// was working before the crashes, contents that were never answered are refused for UnconfirmedTime;
// others not at all.
//
// The package is pure: the caller passes the time, and a Table is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// crashesToQuarantine is the number of separate crashes, since its last success, that
	// quarantine a content.
	crashesToQuarantine = 3
	// crashesIfUnbegun is that number if some of them are Unbegun: the upstream's queue held other requests, too.
	crashesIfUnbegun = 4
	// correlationWindow is the time within which crashes count once: the loss of power or of a
	// switch ends several upstreams together, and a frequent content is in many of them. A crash
	// under a request that was sent after another crash is always separate from it.
	correlationWindow = 50 * time.Millisecond
	// QuarantineTime is how long a content stays quarantined after its last crash. After that
	// requests with it are sent again, and one more crash quarantines it again.
	QuarantineTime = 10 * time.Minute
	// UnconfirmedTime is how long a prompt part stays quarantined after its last crash while no request
	// of the service has been answered since the first one.
	UnconfirmedTime = 30 * time.Second
	// workingTime is how long after an answer an upstream's service still counts as working.
	workingTime = 10 * time.Minute
	// answeredInterval is the time between two answers of a service that nodes tell each other of
	// although they refute nothing.
	answeredInterval = time.Minute
	// SettleTime is how long a whole request is held instead of quarantined after a crash: other
	// nodes may have seen other requests in that crash, and their evidence takes that long.
	SettleTime = 500 * time.Millisecond
	// endedTime is how long an incarnation is known to have ended: longer than it takes until the
	// views of all nodes lack it.
	endedTime = 10 * time.Second
	// evidenceTime is how long a crash counts.
	evidenceTime = time.Hour
	// maxCrashes bounds the recorded crashes. Those without a content that was in
	// crashesToQuarantine crashes make room first.
	maxCrashes = 256
	// maxParts bounds the prompt parts of one crash; the parts beyond it are not examined.
	maxParts = 32
	// maxContents bounds the contents of one crash: the whole request and its parts.
	maxContents = maxParts + 1
	// maxContentBytes bounds the length of a content's identifier; a longer one is hashed.
	maxContentBytes = 64
	// maxRecentSuccesses bounds each of the two generations of remembered successes, for whole
	// requests and for prompt parts.
	maxRecentSuccesses = 2048
)

// holdTimes are the times for which an ambiguous whole request is held after
// crashesToQuarantine crashes and each further one.
var holdTimes = [...]time.Duration{4 * time.Second, 16 * time.Second, QuarantineTime}

// Crash is an upstream that ended while it ran a request.
type Crash struct {
	// Upstream and StartTime identify the incarnation of the upstream.
	Upstream  string
	StartTime uint64
	// Service is the upstream's service. It may be empty in evidence of older nodes.
	Service string
	// Contents are the contents of the request, as Contents returns them.
	Contents []string
	At       time.Time
	// Ran is how long the request had run, as the node that sent it knows; 0 elsewhere.
	Ran time.Duration
	// AfterCrash is true if the request was sent after another crash with one of its contents
	// within correlationWindow. The node that sent it decides that, as its times are not exact
	// elsewhere.
	AfterCrash bool
	// ServiceAnswered is true if a node knew, when it learnt of the crash, that the service had answered
	// a request within workingTime before.
	ServiceAnswered bool
	// Trial is the content as whose trial the request was sent; empty for an ordinary request.
	Trial string
	// Answered has bit i set if a node knew, when it learnt of the crash, that a request with Contents[i]
	// was answered within workingTime before.
	Answered uint64
	// Unbegun is true if the upstream had sent no header of an answer to the request, so that it may have crashed under another one.
	// Such a crash is no evidence where another request is known whose answer the upstream had begun.
	Unbegun bool
}

// Success is the latest request with a content that an upstream answered.
type Success struct {
	Content string
	At      time.Time
}

// Finding is the evidence against a content.
type Finding struct {
	Content string
	// Crashes is the number of separate crashes since the last success.
	Crashes int
	// Upstreams are the upstreams that crashed, in order of time.
	Upstreams []string
	// First and Last are the times of the first and the last crash, Until the end of the
	// quarantine.
	First, Last, Until time.Time
	// Companions were beside the content in all these crashes, in the same request or in others, so
	// that any of them may be the cause. Only requests that have all of them beside the content are
	// quarantined. Empty when the content alone explains the crashes.
	Companions []string
	// Confirmed is true once crashesToConfirm trials of the content have crashed an upstream as well. Until then the crashes may have
	// another cause that they had in common, and requests with the content are refused for the time being.
	Confirmed bool
	// Answered is true if a node saw the content answered shortly before one of the crashes.
	Answered bool
	// trialCrashes is the number of trials that crashed an upstream.
	trialCrashes int
	// unbegun is how many of the crashes are Unbegun, sufficedAt the time of the one from which there were enough.
	unbegun    int
	sufficedAt time.Time
	// Unconfirmed is true if no request of the service was answered since the first crash, although
	// some were before it.
	Unconfirmed bool
}

// Change is the beginning, the confirmation or the end of a content's quarantine.
type Change struct {
	Finding
	Quarantined bool
}

type incarnation struct {
	upstream  string
	startTime uint64
}

func (c *Crash) incarnation() incarnation { return incarnation{c.Upstream, c.StartTime} }

type crashRecord struct {
	Crash
	version uint64
}

type successRecord struct {
	at      time.Time
	version uint64
}

// Table holds the evidence that a node knows and the findings that follow from it.
type Table struct {
	version   uint64
	crashes   map[string]crashRecord
	successes map[string]successRecord
	// crashTimes are the times of the recorded crashes of each content.
	crashTimes map[string][]time.Time
	// trials are the latest trial of each content, wishes the latest wish for one.
	trials map[string]trialRecord
	wishes map[string]wishRecord
	// requests and others are the successes that this node observed itself. A crash that becomes
	// known later may precede them. Whole requests are kept apart, as most come only once.
	requests, others recentSuccesses
	// suspects has all contents with a crash since the last success, findings those with enough
	// crashes for a quarantine. Both follow from the evidence; examined is false when they are
	// to be derived again.
	suspects map[string]Finding
	findings map[string]Finding
	// ended is when each incarnation was first noticed to have ended.
	ended    map[incarnation]time.Time
	examined bool
	// reported are the contents that Changes reported as quarantined.
	reported map[string]Finding
}

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{
		crashes: map[string]crashRecord{}, successes: map[string]successRecord{}, crashTimes: map[string][]time.Time{}, reported: map[string]Finding{},
		trials: map[string]trialRecord{}, wishes: map[string]wishRecord{},
	}
}

// AddCrash records a crash and reports whether it was new.
func (t *Table) AddCrash(now time.Time, c Crash) bool {
	c.Contents, c.Trial = normalize(c.Contents), shortened(c.Trial)
	key := c.Upstream + "/" + strconv.FormatUint(c.StartTime, 10) + "/" + strings.Join(c.Contents, ",")
	if len(c.Contents) == 0 || now.Sub(c.At) >= evidenceTime {
		return false
	}
	c.AfterCrash = c.AfterCrash || c.Ran > 0 && t.crashedBefore(&c)
	c.ServiceAnswered = c.ServiceAnswered || t.answeredBefore(&c)
	c.Answered |= t.contentsAnsweredBefore(&c)
	if record, known := t.crashes[key]; known {
		merged := record.Crash
		merged.AfterCrash = merged.AfterCrash || c.AfterCrash
		merged.ServiceAnswered = merged.ServiceAnswered || c.ServiceAnswered
		merged.Answered |= c.Answered
		merged.Trial = cmp.Or(merged.Trial, c.Trial)
		merged.Unbegun = merged.Unbegun && c.Unbegun
		if merged.sameEvidence(&record.Crash) {
			return false
		}
		t.version++
		t.crashes[key], t.examined = crashRecord{merged, t.version}, false
		return true
	}
	t.version++
	t.crashes[key] = crashRecord{c, t.version}
	for _, content := range c.withService() {
		t.crashTimes[content] = append(t.crashTimes[content], c.At)
		if at, known := t.recentOf(content).at(content); known && at.After(c.At) {
			t.addSuccess(content, at)
		}
	}
	t.examined = false
	if len(t.crashes) > 2*maxCrashes {
		t.examine()
	}
	return true
}

// sameEvidence reports whether two records of one crash tell the same.
func (c *Crash) sameEvidence(other *Crash) bool {
	return c.AfterCrash == other.AfterCrash && c.ServiceAnswered == other.ServiceAnswered && c.Answered == other.Answered && c.Trial == other.Trial && c.Unbegun == other.Unbegun
}

// crashedBefore reports whether a crash with a content of c, shortly before it, preceded its request.
func (t *Table) crashedBefore(c *Crash) bool {
	sentAt := c.At.Add(-c.Ran)
	return slices.ContainsFunc(c.Contents, func(content string) bool {
		return slices.ContainsFunc(t.crashTimes[content], func(at time.Time) bool {
			return !at.After(sentAt) && c.At.Sub(at) <= correlationWindow
		})
	})
}

// answeredBefore reports whether this node, or one that told it so, saw the service of a crash answer a request shortly
// before.
func (t *Table) answeredBefore(c *Crash) bool {
	service := anyRequestOf(c.Service)
	own, known := t.others.at(service)
	told, answered := t.successes[service]
	return known && c.shortlyAfter(own) || answered && c.shortlyAfter(told.at)
}

// contentsAnsweredBefore returns the bits of the contents that this node saw answered shortly before a crash.
func (t *Table) contentsAnsweredBefore(c *Crash) (answered uint64) {
	for i, content := range c.Contents {
		if at, known := t.recentOf(content).at(content); known && c.shortlyAfter(at) {
			answered |= 1 << i
		}
	}
	return answered
}

// shortlyAfter reports whether a crash was within workingTime after a time.
func (c *Crash) shortlyAfter(at time.Time) bool { return !at.After(c.At) && c.At.Sub(at) < workingTime }

// withService returns the contents of a crash and what stands for all requests of its service.
func (c *Crash) withService() []string {
	return append([]string{anyRequestOf(c.Service)}, c.Contents...)
}

// ObserveSuccess records that an upstream of a service answered a request with the given
// contents, as this node saw, and reports whether that refutes evidence.
func (t *Table) ObserveSuccess(now time.Time, service string, contents []string) bool {
	refuted := false
	for _, content := range append([]string{anyRequestOf(service), anyRequestOf("")}, normalize(contents)...) {
		t.recentOf(content).record(content, now)
		refuted = t.addSuccess(content, now) || refuted
	}
	if service != "" {
		t.recordAnswered(anyRequestOf(service), now, answeredInterval)
	}
	return refuted
}

// AddSuccess records a success that another node observed, and reports whether it refutes
// evidence.
func (t *Table) AddSuccess(s Success) bool {
	content := shortened(s.Content)
	// Nodes know the time to some milliseconds only: half an interval keeps them from telling each other the same answer
	// again and again.
	return t.addSuccess(content, s.At) || content != "" && isAnyRequest(content) && t.recordAnswered(content, s.At, answeredInterval/2)
}

// recordAnswered records that a service was working at a time, unless it is known to have been until shortly before.
func (t *Table) recordAnswered(service string, at time.Time, interval time.Duration) bool {
	if known, answered := t.successes[service]; answered && at.Sub(known.at) < interval {
		return false
	}
	t.version++
	t.successes[service] = successRecord{at, t.version}
	return true
}

// addSuccess records a success if it refutes a crash that the known success does not.
func (t *Table) addSuccess(content string, at time.Time) bool {
	known := t.successes[content].at
	refutes := func(crash time.Time) bool { return crash.After(known) && !crash.After(at) }
	if !slices.ContainsFunc(t.crashTimes[content], refutes) {
		return false
	}
	t.version++
	t.successes[content] = successRecord{at, t.version}
	t.examined = false
	return true
}

func (t *Table) recentOf(content string) *recentSuccesses {
	if IsRequest(content) {
		return &t.requests
	}
	return &t.others
}

// Check returns the evidence on which a request with the given contents is refused as quarantined;
// false when it is not. Confirmed evidence goes first, then a content that alone explains its crashes.
func (t *Table) Check(now time.Time, contents []string) (Finding, bool) {
	return t.check(now, contents, "")
}

// check is Check for a request that may have one of the contents, as it is sent as its trial.
func (t *Table) check(now time.Time, contents []string, onTrial string) (Finding, bool) {
	if len(t.crashes) == 0 {
		return Finding{}, false
	}
	t.examine()
	contents = normalize(contents)
	var first Finding
	refused := false
	for _, content := range contents {
		f, found := t.findings[content]
		if !found || content == onTrial || !now.Before(f.Until) || !t.settled(now, &f) || !containsAll(contents, f.Companions) {
			continue
		}
		if !refused || f.weight() > first.weight() {
			first, refused = f, true
		}
	}
	return first, refused
}

// weight orders findings on which a request is refused.
func (f *Finding) weight() (weight int) {
	if f.Confirmed {
		weight += 2
	}
	if len(f.Companions) == 0 {
		weight++
	}
	return weight
}

// Suspect returns the evidence against a whole request that Check does not refuse; false when no
// upstream crashed under it since its last success. Until is the time until which it is held: it may
// not be sent before. It is zero when the request may be sent.
func (t *Table) Suspect(now time.Time, request string) (Finding, bool) {
	if len(t.crashes) == 0 || request == "" {
		return Finding{}, false
	}
	t.examine()
	f, found := t.suspects[request]
	if !found {
		return Finding{}, false
	}
	f.Until = time.Time{}
	held, found := t.findings[request]
	if !found {
		return f, true
	}
	until := held.Last.Add(SettleTime)
	if len(held.Companions) > 0 {
		until = held.Last.Add(holdTime(&held))
	}
	if now.Before(until) {
		f.Until, f.Companions = until, held.Companions
	}
	return f, true
}

// settled reports whether the evidence for a finding may be taken for complete: other nodes may know of a request that
// explains a crash better. A quarantine that was reported stays settled when further crashes follow.
func (t *Table) settled(now time.Time, f *Finding) bool {
	_, reported := t.reported[f.Content]
	switch {
	case reported:
		return true
	case IsRequest(f.Content):
		return !now.Before(f.Last.Add(SettleTime))
	case f.Crashes-f.unbegun >= crashesToQuarantine:
		return true
	}
	return !now.Before(f.sufficedAt.Add(SettleTime))
}

// holdTime is how long a request is held after its last crash. It differs between requests that
// are held for the same crashes, so that they are sent again one after the other.
func holdTime(f *Finding) time.Duration {
	hold := holdTimes[min(f.Crashes-crashesToQuarantine, len(holdTimes)-1)]
	return hold + hold*time.Duration(xxhash.Sum64String(f.Content)%holdSpread)/holdSpread
}

// holdSpread is the number of steps by which the hold times of two requests may differ.
const holdSpread = 64

// Crashed reports whether an upstream's incarnation is known to have ended within endedTime: after
// that its announcements have stopped, or it lives and refused a connection for another reason.
func (t *Table) Crashed(now time.Time, upstream string, startTime uint64) bool {
	t.examine()
	at, ended := t.ended[incarnation{upstream, startTime}]
	return ended && now.Sub(at) < endedTime
}

// Evidence is what a table knows, or a part of it.
type Evidence struct {
	Crashes   []Crash
	Successes []Success
	Trials    []Trial
	Wishes    []Wish
}

func (e *Evidence) isEmpty() bool {
	return len(e.Crashes)+len(e.Successes)+len(e.Trials)+len(e.Wishes) == 0
}

// Since returns the evidence that was added after a version of the table, and its version now.
func (t *Table) Since(version uint64) (e Evidence, current uint64) {
	if version == t.version {
		return e, version
	}
	t.examine()
	for _, key := range slices.Sorted(maps.Keys(t.crashes)) {
		if c := t.crashes[key]; c.version > version {
			e.Crashes = append(e.Crashes, c.Crash)
		}
	}
	for _, content := range slices.Sorted(maps.Keys(t.successes)) {
		if s := t.successes[content]; s.version > version {
			e.Successes = append(e.Successes, Success{content, s.at})
		}
	}
	for _, content := range slices.Sorted(maps.Keys(t.trials)) {
		if r := t.trials[content]; r.version > version {
			e.Trials = append(e.Trials, r.Trial)
		}
	}
	for _, content := range slices.Sorted(maps.Keys(t.wishes)) {
		if r := t.wishes[content]; r.version > version {
			e.Wishes = append(e.Wishes, r.Wish)
		}
	}
	return e, t.version
}

// Changes deletes the evidence that has expired, and returns the quarantines that began, were confirmed or ended
// since the last call, ordered by content. Whole requests that are held count as quarantined.
func (t *Table) Changes(now time.Time) []Change {
	t.expire(now)
	t.examine()
	current := map[string]Finding{}
	for content, f := range t.findings {
		if now.Before(f.Until) && t.settled(now, &f) && !slices.ContainsFunc(f.Companions, isAnyRequest) {
			current[content] = f
		}
	}
	var changes []Change
	for _, content := range slices.Sorted(maps.Keys(current)) {
		if before, known := t.reported[content]; !known || current[content].Confirmed && !before.Confirmed {
			changes = append(changes, Change{current[content], true})
		}
	}
	for _, content := range slices.Sorted(maps.Keys(t.reported)) {
		if _, still := current[content]; !still {
			changes = append(changes, Change{t.reported[content], false})
		}
	}
	t.reported = current
	return changes
}

// Quarantined is the number of prompt parts and of whole requests that Changes last reported as
// quarantined.
func (t *Table) Quarantined() (parts, requests int) {
	for content := range t.reported {
		if IsRequest(content) {
			requests++
		} else {
			parts++
		}
	}
	return parts, requests
}

// AwaitingTrial is the number of contents that Changes last reported as quarantined without a crash in a trial.
func (t *Table) AwaitingTrial() int {
	return lo.CountBy(lo.Values(t.reported), func(f Finding) bool { return !f.Confirmed })
}

// Crashes is the number of recorded crashes.
func (t *Table) Crashes() int { return len(t.crashes) }

func (t *Table) expire(now time.Time) {
	t.expireTrials(now)
	before := len(t.crashes)
	maps.DeleteFunc(t.crashes, func(_ string, c crashRecord) bool { return now.Sub(c.At) >= evidenceTime })
	if len(t.crashes) < before {
		t.reindex()
	}
	maps.DeleteFunc(t.successes, func(content string, s successRecord) bool {
		return t.crashTimes[content] == nil && now.Sub(s.at) >= evidenceTime
	})
}

// evict deletes the oldest crashes while there are too many: first those that are no evidence, then those without a finding
// against one of their contents. It reports whether it deleted any.
func (t *Table) evict() bool {
	excess := len(t.crashes) - maxCrashes
	if excess <= 0 {
		return false
	}
	begun := t.begunIncarnations()
	needed := func(key string) int {
		if c := t.crashes[key]; c.isSuperseded(begun) {
			return -1
		}
		hasFinding := func(content string) bool { _, found := t.findings[content]; return found }
		if slices.ContainsFunc(t.crashes[key].Contents, hasFinding) {
			return 1
		}
		return 0
	}
	keys := slices.Sorted(maps.Keys(t.crashes))
	slices.SortStableFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(needed(a), needed(b)), t.crashes[a].At.Compare(t.crashes[b].At))
	})
	for _, key := range keys[:excess] {
		delete(t.crashes, key)
	}
	t.reindex()
	return true
}

// reindex derives the times of crashes again after some were deleted, and deletes successes of
// contents without a crash.
func (t *Table) reindex() {
	clear(t.crashTimes)
	for _, c := range t.crashes {
		for _, content := range c.withService() {
			t.crashTimes[content] = append(t.crashTimes[content], c.At)
		}
	}
	maps.DeleteFunc(t.successes, func(content string, _ successRecord) bool {
		return t.crashTimes[content] == nil && !isAnyRequest(content)
	})
	t.examined = false
}

// examine derives what follows from the evidence.
func (t *Table) examine() {
	for !t.examined {
		t.derive()
		t.examined = !t.evict()
	}
}

// crashSet has the crashes that are evidence against a content.
type crashSet map[incarnation]crashTimes

type crashTimes struct {
	at time.Time
	// afterCrash is true if a request with the content was sent after another crash.
	afterCrash bool
	// trials are the contents as whose trials the requests were sent, where no other upstream of the service ended about then.
	trials []string
	// serviceAnswered is true if the service was working before the crash, answered if the content was
	// answered shortly before.
	serviceAnswered, answered bool
	// unbegun is true if the upstream had begun no answer to a request with the content.
	unbegun bool
}

// begunIncarnations returns the incarnations that crashed under a request whose answer they had begun.
func (t *Table) begunIncarnations() map[incarnation]bool {
	begun := map[incarnation]bool{}
	for _, c := range t.crashes {
		if !c.Unbegun {
			begun[c.incarnation()] = true
		}
	}
	return begun
}

// isSuperseded reports whether another request explains a crash better.
func (c *Crash) isSuperseded(begun map[incarnation]bool) bool {
	return c.Unbegun && begun[c.incarnation()]
}

// crashSets returns the crashes since the last success of each content.
func (t *Table) crashSets() map[string]crashSet {
	sets, begun := map[string]crashSet{}, t.begunIncarnations()
	for _, c := range t.crashes {
		if c.isSuperseded(begun) {
			continue
		}
		for i, content := range c.withService() {
			if !c.At.After(t.successes[content].at) {
				continue
			}
			if sets[content] == nil {
				sets[content] = crashSet{}
			}
			times := sets[content][c.incarnation()]
			times.at, times.unbegun = t.ended[c.incarnation()], c.Unbegun
			times.afterCrash = times.afterCrash || c.AfterCrash
			if c.Trial != "" && t.endedAlone(&c.Crash) {
				times.trials = append(times.trials, c.Trial)
			}
			times.serviceAnswered = times.serviceAnswered || c.ServiceAnswered
			times.answered = times.answered || i > 0 && c.Answered&(1<<(i-1)) != 0
			sets[content][c.incarnation()] = times
		}
	}
	return sets
}

// endedAlone reports whether no other upstream of a crash's service is known to have ended within quietTime of it.
func (t *Table) endedAlone(c *Crash) bool {
	at := t.ended[c.incarnation()]
	for _, other := range t.crashes {
		if other.Service == c.Service && other.incarnation() != c.incarnation() && t.ended[other.incarnation()].Sub(at).Abs() <= quietTime {
			return false
		}
	}
	return true
}

func (t *Table) derive() {
	// Nodes notice the end of an incarnation at different times; the first one counts.
	t.ended = map[incarnation]time.Time{}
	for _, c := range t.crashes {
		if at, known := t.ended[c.incarnation()]; !known || c.At.Before(at) {
			t.ended[c.incarnation()] = c.At
		}
	}
	sets := t.crashSets()
	t.suspects, t.findings = map[string]Finding{}, map[string]Finding{}
	explanations := map[string]Finding{}
	for content, set := range sets {
		f := set.finding(content)
		if f.suffices() {
			explanations[content] = f
		}
		if !isAnyRequest(content) {
			t.suspects[content] = f
		}
	}
	for content, f := range explanations {
		if isAnyRequest(content) {
			continue
		}
		if blamed := t.blame(sets, explanations, &f); blamed {
			t.findings[content] = f
		}
	}
}

// blame completes the finding against a content by its companions, and reports whether it is blamed.
func (t *Table) blame(sets map[string]crashSet, explanations map[string]Finding, f *Finding) bool {
	content, set := f.Content, sets[f.Content]
	likelier := likelierCauses(sets, explanations, content)
	if isPart(content) && len(likelier) > 0 {
		return false
	}
	for _, other := range slices.Sorted(maps.Keys(explanations)) {
		switch {
		case other == content || !sets[other].includes(set):
		case isPart(content) && !set.answered() && isAnyRequest(other) && set.serviceAnswered():
			f.Unconfirmed, f.Until = true, f.Last.Add(UnconfirmedTime)
		case isPart(content) && !set.answered() && isPart(other) && sets[other].answered():
		default:
			f.Companions = append(f.Companions, other)
		}
	}
	if len(f.Companions) == 0 && IsRequest(content) {
		f.Companions = likelier
	}
	if len(f.Companions) == 0 && IsRequest(content) {
		f.Companions = t.jointExplanation(sets, content)
	}
	f.Answered = set.answered()
	f.trialCrashes = set.onTrial(append([]string{content}, f.Companions...))
	f.Confirmed = !f.Unconfirmed && f.trialCrashes >= crashesToConfirm
	return true
}

// likelierCauses returns the prompt parts, or whole requests, that were not answered before their crashes and
// explain so many of those of another one, which was, that too few are left. A sound content may be beside
// several crashing ones in turn, and in a crash whose cause no node reported.
func likelierCauses(sets map[string]crashSet, explanations map[string]Finding, content string) []string {
	if !sets[content].answered() {
		return nil
	}
	left := maps.Clone(sets[content])
	var causes []string
	for _, other := range slices.Sorted(maps.Keys(explanations)) {
		if isAnyRequest(other) || IsRequest(other) != IsRequest(content) || sets[other].answered() {
			continue
		}
		before := len(left)
		maps.DeleteFunc(left, func(i incarnation, _ crashTimes) bool { _, found := sets[other][i]; return found })
		if len(left) < before {
			causes = append(causes, other)
		}
	}
	if len(left) > 0 {
		if f := left.finding(content); f.suffices() {
			return nil
		}
	}
	return causes
}

// suffices reports whether there are enough crashes for a quarantine.
func (f *Finding) suffices() bool {
	return f.Crashes-f.unbegun >= crashesToQuarantine || f.Crashes >= crashesIfUnbegun
}

// jointExplanation returns the other whole requests that together were in all crashes of one; nil if it
// was alone in one of them. A sound request may be beside several crashing ones in turn, of which some
// have crashed nothing else yet.
func (t *Table) jointExplanation(sets map[string]crashSet, request string) []string {
	unexplained := maps.Clone(sets[request])
	var rivals []string
	for _, other := range slices.Sorted(maps.Keys(t.suspects)) {
		if other == request || !IsRequest(other) {
			continue
		}
		before := len(unexplained)
		maps.DeleteFunc(unexplained, func(i incarnation, _ crashTimes) bool { _, found := sets[other][i]; return found })
		if len(unexplained) < before {
			rivals = append(rivals, other)
		}
	}
	if len(unexplained) > 0 {
		return nil
	}
	return rivals
}

// finding summarizes the crashes of a content.
func (s crashSet) finding(content string) Finding {
	crashed := slices.SortedFunc(maps.Keys(s), func(a, b incarnation) int {
		return cmp.Or(s[a].at.Compare(s[b].at), strings.Compare(a.upstream, b.upstream), cmp.Compare(a.startTime, b.startTime))
	})
	f := Finding{Content: content, First: s[crashed[0]].at, Last: s[crashed[len(crashed)-1]].at}
	f.Until = f.Last.Add(QuarantineTime)
	// Nodes know times to some milliseconds only, so that a crash under a request that was sent after another
	// crash may come before that one here: both count.
	var counted time.Time
	firstCounted := false
	for _, i := range crashed {
		c := s[i]
		if f.Crashes == 0 || c.at.Sub(counted) > correlationWindow {
			firstCounted = false
		}
		if c.afterCrash || !firstCounted {
			f.Crashes++
			counted = c.at
			if c.unbegun {
				f.unbegun++
			}
			if f.unbegun > 0 && f.sufficedAt.IsZero() && f.suffices() {
				f.sufficedAt = c.at
			}
		}
		firstCounted = firstCounted || !c.afterCrash
		if !slices.Contains(f.Upstreams, i.upstream) {
			f.Upstreams = append(f.Upstreams, i.upstream)
		}
	}
	return f
}

// serviceAnswered reports whether the service was working before one of the crashes.
func (s crashSet) serviceAnswered() bool {
	return lo.SomeBy(slices.Collect(maps.Values(s)), func(c crashTimes) bool { return c.serviceAnswered })
}

// answered reports whether the content was answered shortly before one of the crashes.
func (s crashSet) answered() bool {
	return lo.SomeBy(slices.Collect(maps.Values(s)), func(c crashTimes) bool { return c.answered })
}

// onTrial counts the crashes that were under a trial of any of the given contents, and no part of a larger event.
func (s crashSet) onTrial(contents []string) int {
	return lo.CountBy(lo.Values(s), func(c crashTimes) bool { return lo.Some(c.trials, contents) })
}

// includes reports whether a content explains all crashes of another.
func (s crashSet) includes(other crashSet) bool {
	for i := range other {
		if _, found := s[i]; !found {
			return false
		}
	}
	return true
}

// recentSuccesses remembers the latest successes in two generations of bounded size.
type recentSuccesses struct{ recent, older map[string]time.Time }

func (r *recentSuccesses) record(content string, at time.Time) {
	if r.recent == nil || len(r.recent) >= maxRecentSuccesses {
		r.older, r.recent = r.recent, map[string]time.Time{}
	}
	r.recent[content] = at
}

func (r *recentSuccesses) at(content string) (time.Time, bool) {
	if at, known := r.recent[content]; known {
		return at, true
	}
	at, known := r.older[content]
	return at, known
}

func containsAll(contents, others []string) bool {
	return !slices.ContainsFunc(others, func(other string) bool { return !slices.Contains(contents, other) })
}

// normalize returns the identifiers of the contents that are examined.
func normalize(contents []string) []string {
	contents = contents[:min(len(contents), maxContents)]
	if !slices.ContainsFunc(contents, isUnsuitable) {
		return contents
	}
	short := make([]string, 0, len(contents))
	for _, content := range contents {
		short = append(short, shortened(content))
	}
	return short
}

// isUnsuitable reports whether an identifier is too long, or can't be sent to other nodes as text.
func isUnsuitable(content string) bool {
	return len(content) > maxContentBytes || !utf8.ValidString(content)
}

// shortened returns the identifier of a content, hashed when it is unsuitable.
func shortened(content string) string {
	if !isUnsuitable(content) {
		return content
	}
	return strconv.FormatUint(xxhash.Sum64String(content), 16)
}
