// Package quarantine decides which parts of prompts crash the engines that answer them.
//
// Nodes collect two kinds of evidence: crashes, each an engine that ended as it began an
// answer, with the parts of that request; and successes, each a part of a request that an engine
// answered beyond the beginning. A part is quarantined after crashesToQuarantine separate
// crashes without a success, provided that engines answer other requests. The evidence of several nodes is merged in any order, and merging it
// again changes nothing.
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

	"github.com/cespare/xxhash/v2"
)

const (
	// crashesToQuarantine is the number of separate crashes, since its last success, that
	// quarantine a part.
	crashesToQuarantine = 3
	// correlationWindow is the time within which crashes count once: the loss of power or of a
	// switch ends several engines together, and a frequent part is in many of them.
	correlationWindow = 50 * time.Millisecond
	// QuarantineTime is how long a part stays quarantined after its last crash. After that
	// requests with it are sent again, and one more crash quarantines it again.
	QuarantineTime = 10 * time.Minute
	// evidenceTime is how long a crash counts.
	evidenceTime = time.Hour
	// maxCrashes bounds the recorded crashes. Those without a quarantined part make room first.
	maxCrashes = 256
	// maxParts bounds the parts of one crash; the parts beyond it are not examined.
	maxParts = 32
	// maxPartBytes bounds the length of a part's identifier; a longer one is hashed.
	maxPartBytes = 64
	// maxRecentSuccesses bounds each of the two generations of remembered successes.
	maxRecentSuccesses = 2048
	// anyRequest stands for what all requests have in common. When no request succeeds between
	// crashes, it explains them, and no part is quarantined.
	anyRequest = ""
)

// Crash is an engine that ended as it began the answer to a request.
type Crash struct {
	// Upstream and StartTime identify the incarnation of the engine.
	Upstream  string
	StartTime uint64
	// Parts are the parts of the request's prompt that other requests may share.
	Parts []string
	At    time.Time
}

// Success is the latest request with a part that an engine answered beyond the beginning.
type Success struct {
	Part string
	At   time.Time
}

// Finding is the evidence against a quarantined part.
type Finding struct {
	Part string
	// Crashes is the number of separate crashes since the last success.
	Crashes int
	// Upstreams are the engines that crashed, in order of time.
	Upstreams []string
	// First and Last are the times of the first and the last crash, Until the end of the
	// quarantine.
	First, Last, Until time.Time
	// Companions were in the requests of all these crashes, too, so that any of them may be
	// the cause. Only requests that have one of them beside the part are refused. Empty when
	// the part alone explains the crashes.
	Companions []string
}

// Change is the beginning or the end of a part's quarantine.
type Change struct {
	Finding
	Quarantined bool
}

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
	// recent and older are two generations of the successes that this node observed itself. A
	// crash that becomes known later may precede them.
	recent, older map[string]time.Time
	findings      map[string]Finding
	// reported are the parts that Changes reported as quarantined.
	reported map[string]Finding
}

// NewTable returns a table without evidence.
func NewTable() *Table {
	return &Table{
		crashes: map[string]crashRecord{}, successes: map[string]successRecord{}, recent: map[string]time.Time{}, older: map[string]time.Time{},
		findings: map[string]Finding{}, reported: map[string]Finding{},
	}
}

// AddCrash records a crash and reports whether it was new.
func (t *Table) AddCrash(now time.Time, c Crash) bool {
	c.Parts = normalize(c.Parts)
	key := c.Upstream + "/" + strconv.FormatUint(c.StartTime, 10) + "/" + strings.Join(c.Parts, ",")
	if _, known := t.crashes[key]; known || len(c.Parts) == 0 || now.Sub(c.At) >= evidenceTime {
		return false
	}
	t.version++
	t.crashes[key] = crashRecord{c, t.version}
	t.evict(now)
	for _, part := range append([]string{anyRequest}, c.Parts...) {
		if at, known := t.observedSuccess(part); known && at.After(c.At) {
			t.addSuccess(part, at)
		}
	}
	t.findings = t.examine()
	return true
}

// ObserveSuccess records that an engine answered a request with the given parts beyond the
// beginning, as this node saw, and reports whether that refutes evidence.
func (t *Table) ObserveSuccess(now time.Time, parts []string) bool {
	if len(t.recent) >= maxRecentSuccesses {
		t.older, t.recent = t.recent, map[string]time.Time{}
	}
	refuted := false
	for _, part := range append([]string{anyRequest}, normalize(parts)...) {
		t.recent[part] = now
		refuted = t.addSuccess(part, now) || refuted
	}
	if refuted {
		t.findings = t.examine()
	}
	return refuted
}

// AddSuccess records a success that another node observed, and reports whether it refutes
// evidence.
func (t *Table) AddSuccess(s Success) bool {
	if !t.addSuccess(identifier(s.Part), s.At) {
		return false
	}
	t.findings = t.examine()
	return true
}

// addSuccess records a success if it refutes a crash that the known success does not.
func (t *Table) addSuccess(part string, at time.Time) bool {
	known := t.successes[part]
	for _, c := range t.crashes {
		if c.At.After(known.at) && !c.At.After(at) && (part == anyRequest || slices.Contains(c.Parts, part)) {
			t.version++
			t.successes[part] = successRecord{at, t.version}
			return true
		}
	}
	return false
}

func (t *Table) observedSuccess(part string) (time.Time, bool) {
	if at, known := t.recent[part]; known {
		return at, true
	}
	at, known := t.older[part]
	return at, known
}

// Check returns the evidence on which a request with the given parts is refused; false when the
// request may be sent.
func (t *Table) Check(now time.Time, parts []string) (Finding, bool) {
	if len(t.findings) == 0 {
		return Finding{}, false
	}
	parts = normalize(parts)
	for _, part := range parts {
		f, found := t.findings[part]
		if found && part != anyRequest && now.Before(f.Until) && (len(f.Companions) == 0 || containsAny(parts, f.Companions)) {
			return f, true
		}
	}
	return Finding{}, false
}

// Since returns the evidence that was added after a version of the table, and its version now.
func (t *Table) Since(version uint64) (crashes []Crash, successes []Success, current uint64) {
	if version == t.version {
		return nil, nil, version
	}
	for _, key := range slices.Sorted(maps.Keys(t.crashes)) {
		if c := t.crashes[key]; c.version > version {
			crashes = append(crashes, c.Crash)
		}
	}
	for _, part := range slices.Sorted(maps.Keys(t.successes)) {
		if s := t.successes[part]; s.version > version {
			successes = append(successes, Success{part, s.at})
		}
	}
	return crashes, successes, t.version
}

// Changes deletes the evidence that has expired, and returns the quarantines that began or ended
// since the last call, ordered by part.
func (t *Table) Changes(now time.Time) []Change {
	t.expire(now)
	current := map[string]Finding{}
	for part, f := range t.findings {
		if part != anyRequest && now.Before(f.Until) && !slices.Contains(f.Companions, anyRequest) {
			current[part] = f
		}
	}
	var changes []Change
	for _, part := range slices.Sorted(maps.Keys(current)) {
		if _, known := t.reported[part]; !known {
			changes = append(changes, Change{current[part], true})
		}
	}
	for _, part := range slices.Sorted(maps.Keys(t.reported)) {
		if _, still := current[part]; !still {
			changes = append(changes, Change{t.reported[part], false})
		}
	}
	t.reported = current
	return changes
}

// Quarantined is the number of parts that Changes last reported as quarantined.
func (t *Table) Quarantined() int { return len(t.reported) }

// Crashes is the number of recorded crashes.
func (t *Table) Crashes() int { return len(t.crashes) }

func (t *Table) expire(now time.Time) {
	before := len(t.crashes)
	maps.DeleteFunc(t.crashes, func(_ string, c crashRecord) bool { return now.Sub(c.At) >= evidenceTime })
	if len(t.crashes) < before {
		t.findings = t.examine()
	}
}

// evict deletes the oldest crash while there are too many: one without a quarantined part, if
// there is any.
func (t *Table) evict(now time.Time) {
	for len(t.crashes) > maxCrashes {
		var oldest, oldestUnneeded string
		for _, key := range slices.Sorted(maps.Keys(t.crashes)) {
			c := t.crashes[key]
			if oldest == "" || c.At.Before(t.crashes[oldest].At) {
				oldest = key
			}
			if _, needed := t.Check(now, c.Parts); !needed && (oldestUnneeded == "" || c.At.Before(t.crashes[oldestUnneeded].At)) {
				oldestUnneeded = key
			}
		}
		delete(t.crashes, cmp.Or(oldestUnneeded, oldest))
	}
}

// examine returns the findings that follow from the evidence, and deletes successes of parts
// without a crash.
func (t *Table) examine() map[string]Finding {
	byPart := map[string][]Crash{}
	parts := map[string]bool{}
	for _, c := range t.crashes {
		for _, part := range append([]string{anyRequest}, c.Parts...) {
			parts[part] = true
			if c.At.After(t.successes[part].at) {
				byPart[part] = append(byPart[part], c.Crash)
			}
		}
	}
	maps.DeleteFunc(t.successes, func(part string, _ successRecord) bool { return !parts[part] })
	findings := map[string]Finding{}
	for part, crashes := range byPart {
		if f := findingOf(part, crashes); f.Crashes >= crashesToQuarantine {
			findings[part] = f
		}
	}
	for part, f := range findings {
		for _, other := range slices.Sorted(maps.Keys(findings)) {
			if other != part && explains(byPart[other], byPart[part]) {
				f.Companions = append(f.Companions, other)
			}
		}
		findings[part] = f
	}
	return findings
}

// findingOf summarizes the crashes of a part.
func findingOf(part string, crashes []Crash) Finding {
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Upstream, b.Upstream))
	})
	f := Finding{Part: part, First: crashes[0].At, Last: crashes[len(crashes)-1].At}
	f.Until = f.Last.Add(QuarantineTime)
	var counted time.Time
	for _, c := range crashes {
		if f.Crashes == 0 || c.At.Sub(counted) > correlationWindow {
			f.Crashes++
			counted = c.At
		}
		if !slices.Contains(f.Upstreams, c.Upstream) {
			f.Upstreams = append(f.Upstreams, c.Upstream)
		}
	}
	return f
}

// explains reports whether the crashes of one part include all crashes of another.
func explains(crashes, others []Crash) bool {
	incarnations := map[incarnation]bool{}
	for _, c := range crashes {
		incarnations[incarnation{c.Upstream, c.StartTime}] = true
	}
	return !slices.ContainsFunc(others, func(c Crash) bool { return !incarnations[incarnation{c.Upstream, c.StartTime}] })
}

type incarnation struct {
	upstream  string
	startTime uint64
}

func containsAny(parts, others []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return part != anyRequest && slices.Contains(others, part) })
}

// normalize returns the identifiers of the parts that are examined.
func normalize(parts []string) []string {
	parts = parts[:min(len(parts), maxParts)]
	if !slices.ContainsFunc(parts, func(part string) bool { return len(part) > maxPartBytes }) {
		return parts
	}
	short := make([]string, 0, len(parts))
	for _, part := range parts {
		short = append(short, identifier(part))
	}
	return short
}

// identifier returns the identifier of a part, hashed when it is too long.
func identifier(part string) string {
	if len(part) <= maxPartBytes {
		return part
	}
	return strconv.FormatUint(xxhash.Sum64String(part), 16)
}
