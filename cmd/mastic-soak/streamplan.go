package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// framing is how an answer delimits its body.
type framing int

const (
	chunked framing = iota
	closeDelimited
	contentLength
	framingCount
)

func (f framing) String() string {
	return [...]string{"in chunks", "delimited by close", "with Content-Length"}[f]
}

// failureMode is how a run's answer fails.
type failureMode int

const (
	failClose failureMode = iota
	failReset
	failStall
	// failEndEarly ends the answer correctly before the stream is complete.
	failEndEarly
	// failOpenChunk sends a chunk's bytes without the chunk's end.
	failOpenChunk
	// failGarbage sends bytes that are not HTTP where a chunk or an answer is expected.
	failGarbage
	// failExtraAnswer sends a second answer, or more bytes, after the complete first one.
	failExtraAnswer
	// failWrongOffset sends a complete stream that resumes after another event than requested.
	failWrongOffset
	failStatus
	failRefused
	failureModeCount
)

func (m failureMode) String() string {
	return [...]string{"closed", "reset", "silent", "ended early", "open chunk", "garbage", "second answer", "wrong offset", "error status", "refused"}[m]
}

// completesAnswer reports whether the answer itself is complete in this mode.
func (m failureMode) completesAnswer() bool { return m == failExtraAnswer || m == failWrongOffset }

// cutPoint is where a stream is cut.
type cutPoint int

const (
	beforeFirst cutPoint = iota
	insideFirst
	insideLater
	betweenEvents
	afterLast
	cutPointCount
)

const (
	// One in failOneIn runs fails: about what the entries' retry budget covers.
	failOneIn = 6
	// One in wrongOffsetOneIn of the failing runs that resume a stream resumes it after
	// another event than requested.
	wrongOffsetOneIn = 3
	// One in connCloseOneIn answers has Connection: close.
	connCloseOneIn = 20
	// One in longEventOneIn events is longer than one read of an entry.
	longEventOneIn = 60
	longEventBytes = 12 << 10
	// One in heavyStreamOneIn streams consists of a few events that are almost as long as an
	// entry accepts: entries must buffer them for callers that read slowly.
	heavyStreamOneIn     = 40
	heavyEventBytes      = 200 << 10
	maxHeavyStreamEvents = 6
	fillerBytes          = 120
	maxWritePause        = 25 * time.Millisecond
	// stallTime is how long a stalled run keeps its connection open.
	stallTime = 3 * time.Second
	// excessLength is how many bytes Content-Length exceeds the body of a failing run.
	excessLength = 100
)

// streamPlan is how one run answers.
type streamPlan struct {
	framing framing
	fails   bool
	mode    failureMode
	// connClose is true if the answer has Connection: close.
	connClose bool
	// cut is the number of bytes of the stream that are sent.
	cut int
	// inside is true if the cut is inside an event.
	inside bool
	random *rand.Rand
}

// randomPlan generates the plan of a run that sends the given events. Failures are planned
// only while faults are active.
func randomPlan(random *rand.Rand, events []string, resumes, injectFaults bool) streamPlan {
	text := strings.Join(events, "")
	p := streamPlan{framing: framing(random.IntN(int(framingCount))), cut: len(text), random: random}
	p.connClose = random.IntN(connCloseOneIn) == 0
	if !injectFaults || random.IntN(failOneIn) != 0 {
		if len(events) == 0 && p.framing == closeDelimited {
			// Without an event, only a length or a last chunk states that none is left.
			p.framing = contentLength
		}
		return p
	}
	p.fails, p.mode = true, failureMode(random.IntN(int(failureModeCount)))
	if resumes && random.IntN(wrongOffsetOneIn) == 0 {
		p.mode = failWrongOffset
	}
	if p.mode.completesAnswer() || len(events) == 0 {
		return p
	}
	p.cut, p.inside = randomCut(random, events, cutPoint(random.IntN(int(cutPointCount))))
	if p.mode == failOpenChunk || p.mode == failGarbage {
		p.framing = chunked
	}
	// A correct end between two events is a valid answer: no entry can detect the failure. One
	// without framing before the first event is none, also where the run resumes a stream.
	ends := p.mode == failEndEarly || p.mode == failClose && p.framing == closeDelimited
	detectable := p.inside || p.cut == 0 && p.framing == closeDelimited
	if ends && !detectable && p.cut < len(text) {
		p.mode = failReset
	}
	return p
}

// randomCut returns the number of bytes before the cut, and whether it is inside an event.
func randomCut(random *rand.Rand, events []string, where cutPoint) (cut int, inside bool) {
	before := func(n int) (bytes int) {
		for _, event := range events[:n] {
			bytes += len(event)
		}
		return bytes
	}
	switch where {
	case beforeFirst:
		return 0, false
	case insideFirst:
		return 1 + random.IntN(len(events[0])-1), true
	case insideLater:
		n := random.IntN(len(events))
		return before(n) + 1 + random.IntN(len(events[n])-1), true
	case betweenEvents:
		return before(random.IntN(len(events))), false
	default:
		return before(len(events)), false
	}
}

// randomWrongOffset returns the event before the first one of a run that ignores the
// requested offset: the run repeats some events, or omits one. Neither is detectable in a run
// from the beginning, so 0 is returned unchanged; an omitted event is detectable only if
// another event follows it.
func randomWrongOffset(random *rand.Rand, after, total int) int {
	switch {
	case after == 0:
		return after
	case after+1 < total && random.IntN(2) == 0:
		return after + 1
	default:
		return random.IntN(after)
	}
}

// generateEvents returns the events of a run, which differ from those of every other run.
// Event IDs rise by step.
func generateEvents(random *rand.Rand, request, signature string, base, total, step int) []string {
	var events []string
	heavy := total <= maxHeavyStreamEvents && random.IntN(heavyStreamOneIn*maxHeavyStreamEvents/maxStreamEvents) == 0
	for id := (base + 1) * step; id <= total*step; id += step {
		var head string
		if random.IntN(10) == 0 {
			head = fmt.Sprintf("x-weight-versions: %d\n", 1+random.IntN(9))
		}
		filler := strings.Repeat("id: 9 ", random.IntN(fillerBytes/6))
		switch {
		case heavy:
			filler = strings.Repeat("heavy ", random.IntN(heavyEventBytes/6))
		case random.IntN(longEventOneIn) == 0:
			filler = strings.Repeat("long ", longEventBytes/5)
		}
		events = append(events, fmt.Sprintf("%sid: %d\ndata: %s %s %d %s\n\n", head, id, request, signature, id, filler))
	}
	return events
}
