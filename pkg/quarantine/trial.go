package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// trialValidity is how long a node may begin a trial after it was granted.
	trialValidity = 3 * time.Second
	// trialReportTime is the time after that by which all nodes know whether it was begun.
	trialReportTime = time.Second
	// wishTime is how long a wish counts, wishInterval the time between two wishes for one content.
	wishTime, wishInterval = 2 * time.Second, 500 * time.Millisecond
	// quietTime is the time without a crash in the service before a trial: engines that end in one event would refute or confirm
	// nothing. maxQuietWait bounds the wait for it.
	quietTime, maxQuietWait = time.Second, 5 * time.Second
)

// trialDelays are the times from the last crash or trial of a content to its next trial, by the number of trials that were
// begun since its last success. A content that was answered shortly before its crashes is the less likely cause.
var (
	trialDelays           = [...]time.Duration{30 * time.Second, 30 * time.Second, time.Minute, QuarantineTime}
	trialDelaysIfAnswered = [...]time.Duration{time.Second, 3 * time.Second, 30 * time.Second, QuarantineTime}
)

// crashDelays are the least of these times by the number of trials that have crashed an upstream.
var crashDelays = [...]time.Duration{0, 10 * time.Second, time.Minute, QuarantineTime}

// crashesToConfirm is the number of such trials after which another cause is out of the question.
const crashesToConfirm = 2

// Trial lets one node send one request with a quarantined content. Without trials no request with the content would be sent any
// more, and no success could refute the evidence against it.
type Trial struct {
	Content string
	// Number counts the trials of a content; the highest one is in force.
	Number uint32
	// Node is the one that may send the request.
	Node string
	// At is when the trial was granted.
	At time.Time
	// Begun is true once the request was sent.
	Begun bool
	// BegunBefore is the number of earlier trials that were begun since the last success of the content.
	BegunBefore uint32
}

// begun is the number of trials that were begun, this one among them.
func (t *Trial) begun() uint32 {
	if t.Begun {
		return t.BegunBefore + 1
	}
	return t.BegunBefore
}

type trialRecord struct {
	Trial
	version uint64
}

// Wish is the latest request with a quarantined content that a node refused, and would send as a trial.
type Wish struct {
	Content, Node string
	At            time.Time
}

type wishRecord struct {
	Wish
	version uint64
}

// RecordWish records that a node has a request with the content of a finding, and reports whether a node that grants trials has to
// know. Such a request may wait for TrialWait if a trial is due by then.
func (t *Table) RecordWish(now time.Time, f *Finding, node string) (recorded, due bool) {
	dueAt := t.trialDueAt(f)
	if now.Add(wishTime).Before(dueAt) || !t.addWish(Wish{f.Content, node, now}, wishInterval) {
		return false, false
	}
	return true, now.Add(TrialWait).After(latest(dueAt, t.quietAt(f)))
}

// TrialWait is how long a request that its node wishes to send as a trial waits for the grant: with little traffic the next request
// would come long after it.
const TrialWait = 500 * time.Millisecond

// addWish records a wish unless one is known that is hardly older.
func (t *Table) addWish(w Wish, interval time.Duration) bool {
	if known, found := t.wishes[w.Content]; found && w.At.Sub(known.At) < interval {
		return false
	}
	t.version++
	t.wishes[w.Content] = wishRecord{w, t.version}
	return true
}

// trialOf returns the latest trial of a content since its last success.
func (t *Table) trialOf(content string) (Trial, bool) {
	r, found := t.trials[content]
	if !found || !r.At.After(t.successes[content].at) {
		return Trial{}, false
	}
	return r.Trial, true
}

// trialDueAt is when the next trial of a content may be granted.
func (t *Table) trialDueAt(f *Finding) time.Time {
	trial, known := t.trialOf(f.Content)
	delays := trialDelays
	if f.Answered {
		delays = trialDelaysIfAnswered
	}
	delay, since := delays[min(int(trial.begun()), len(delays)-1)], f.Last
	delay = max(delay, crashDelays[min(f.trialCrashes, len(crashDelays)-1)])
	if !known {
		return since.Add(delay)
	}
	if trial.Begun {
		since = latest(since, trial.At)
	}
	return latest(since.Add(delay), trial.At.Add(trialValidity+trialReportTime))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// quietAt is when a trial of a content may begin as far as the other crashes of its services are concerned.
func (t *Table) quietAt(f *Finding) time.Time {
	services := map[string]bool{}
	for _, c := range t.crashes {
		if slices.Contains(c.Contents, f.Content) {
			services[c.Service] = true
		}
	}
	last := f.Last
	for _, c := range t.crashes {
		if services[c.Service] {
			last = latest(last, t.ended[c.incarnation()])
		}
	}
	if quiet := last.Add(quietTime); quiet.Before(f.Last.Add(maxQuietWait)) {
		return quiet
	}
	return f.Last.Add(maxQuietWait)
}

// GrantTrials grants the trials that are due, each to the node that last wished for one, and returns them. Only one node of a region
// may call it at a time.
func (t *Table) GrantTrials(now time.Time) []Trial {
	if len(t.wishes) == 0 {
		return nil
	}
	t.examine()
	var granted []Trial
	for _, content := range slices.Sorted(maps.Keys(t.wishes)) {
		wish := t.wishes[content]
		f, found := t.findings[content]
		if !found || now.Sub(wish.At) > wishTime || !now.Before(f.Until) || now.Before(t.trialDueAt(&f)) || now.Before(t.quietAt(&f)) {
			continue
		}
		before, _ := t.trialOf(content)
		trial := Trial{Content: content, Number: t.trials[content].Number + 1, Node: wish.Node, At: now, BegunBefore: before.begun()}
		t.addTrial(trial)
		granted = append(granted, trial)
	}
	return granted
}

// addTrial records a trial, and reports whether that changes anything.
func (t *Table) addTrial(trial Trial) bool {
	known, found := t.trials[trial.Content]
	switch {
	case found && trial.Number < known.Number:
		return false
	case found && trial.Number == known.Number:
		if trial.Begun == known.Begun || known.Begun {
			return false
		}
		known.Begun = true
		trial = known.Trial
	}
	t.version++
	t.trials[trial.Content] = trialRecord{trial, t.version}
	return true
}

// GrantedTrial returns the content as whose trial a node may send a request with the given contents; false if there is none. One with
// another quarantined content, which may be the cause of a crash, is left aside for soleTrialTime.
func (t *Table) GrantedTrial(now time.Time, node string, contents []string) (content string, granted bool) {
	t.examine()
	contents = normalize(contents)
	for _, content := range contents {
		trial, known := t.trialOf(content)
		if !known || !trial.mayBegin(now, node) {
			continue
		}
		if other, refused := t.check(now, contents, content); refused && other.Confirmed {
			continue
		}
		if now.Sub(trial.At) >= soleTrialTime || t.explainsCrash(now, contents, content) {
			return content, true
		}
	}
	return "", false
}

// soleTrialTime is how long a trial is kept for a request without other quarantined contents.
const soleTrialTime = time.Second

// mayBegin reports whether a node may begin the trial now.
func (t *Trial) mayBegin(now time.Time, node string) bool {
	return !t.Begun && t.Node == node && now.Sub(t.At) < trialValidity
}

// explainsCrash reports whether no other content of a request is quarantined, or only those that were in all crashes of the given one.
func (t *Table) explainsCrash(now time.Time, contents []string, content string) bool {
	companions := t.findings[content].Companions
	return !slices.ContainsFunc(contents, func(other string) bool {
		f, found := t.findings[other]
		return found && other != content && now.Before(f.Until) && !slices.Contains(companions, other)
	})
}

// BeginTrial records that the trial of a content is sent now, with a request that has the given contents. begun is false if it may not be
// sent, as another one began it or it was granted too long ago; confirms tells whether a crash confirms the evidence against the content.
func (t *Table) BeginTrial(now time.Time, node, content string, contents []string) (confirms, begun bool) {
	trial, known := t.trialOf(content)
	if !known || !trial.mayBegin(now, node) {
		return false, false
	}
	t.examine()
	trial.Begun = true
	return t.explainsCrash(now, normalize(contents), content), t.addTrial(trial)
}

// RetryAfter is the time after which the next trial of a finding's content may have shown whether it is the cause.
func (t *Table) RetryAfter(now time.Time, f *Finding) time.Duration {
	return max(latest(t.trialDueAt(f), t.quietAt(f)).Sub(now), 0) + trialTime
}

// trialTime is about how long a trial takes from the moment at which it is due until all nodes know its result.
const trialTime = time.Second

// expireTrials deletes the trials and wishes that no longer matter.
func (t *Table) expireTrials(now time.Time) {
	maps.DeleteFunc(t.wishes, func(_ string, w wishRecord) bool {
		return now.Sub(w.At) >= evidenceTime || now.Sub(w.At) > wishTime && t.crashTimes[w.Content] == nil
	})
	maps.DeleteFunc(t.trials, func(content string, r trialRecord) bool {
		return t.crashTimes[content] == nil && now.Sub(r.At) >= evidenceTime
	})
}
