package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// testEvent returns an event of a run; it differs from those of all other runs.
func testEvent(request string, run, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s of run %d\n\n", id, request, run)
}

// testRun returns a run that sent the events after one up to last completely, and part
// bytes of the next one.
func testRun(request string, number, after, last, part int) *streamRun {
	r := &streamRun{request: request, number: number, after: after, base: after, signature: fmt.Sprintf("stamp %d", number), status: 200, end: "tested"}
	for id := after + 1; id <= last; id++ {
		r.events = append(r.events, testEvent(request, number, id))
	}
	r.sent = len(strings.Join(r.events, "")) + part
	r.events = append(r.events, testEvent(request, number, last+1))
	return r
}

// streamBody concatenates events of request r, each given as run and event ID.
func streamBody(events ...[2]int) string {
	text := ""
	for _, e := range events {
		text += testEvent("r", e[0], e[1])
	}
	return text
}

// streamRuns returns the runs of request r: run 1 sent events 1 to 3 and nine bytes of 4,
// run 2 resumed after 3, run 3 was asked to resume after 1, and run 4 is wrongOffsetRun.
func streamRuns() *runLog {
	l := newRunLog()
	for _, r := range []*streamRun{
		testRun("r", 1, 0, 3, 9), testRun("r", 2, 3, 5, 0), testRun("r", 3, 1, 5, 0), testRun("other", 1, 0, 5, 0), wrongOffsetRun(),
	} {
		l.add(r)
	}
	return l
}

// wrongOffsetRun returns a run that was asked to resume after 2 and resumed after 1.
func wrongOffsetRun() *streamRun {
	r := testRun("r", 4, 1, 5, 0)
	r.after = 2
	return r
}

func TestStreamsAreComparedWithRuns(t *testing.T) {
	whole := [][2]int{{1, 1}, {1, 2}, {1, 3}, {2, 4}, {2, 5}}
	next := testEvent("r", 2, 4)
	for name, row := range map[string]struct {
		after  int
		body   string
		ending ending
		found  string
	}{
		"complete, of two runs":                {0, streamBody(whole...), endedComplete, ""},
		"complete, of one run and a later one": {0, streamBody([][2]int{{1, 1}, {3, 2}, {3, 3}, {3, 4}, {3, 5}}...), endedComplete, ""},
		"resumed by its caller":                {3, streamBody([2]int{2, 4}, [2]int{2, 5}), endedComplete, ""},
		"truncated between events":             {0, streamBody(whole[:2]...), endedBroken, ""},
		"truncated before its first event":     {0, "", endedBroken, ""},
		"truncated inside an event":            {0, streamBody(whole[:3]...) + next[:20], endedBroken, ""},
		"truncated inside a partly sent event": {0, streamBody(whole[:3]...) + testEvent("r", 1, 4)[:9], endedBroken, ""},
		"client disconnect":                    {0, streamBody(whole[:4]...), endedDisconnected, ""},
		"spliced in its first event":           {0, "id: " + streamBody(whole...), endedComplete, "event that no run sent"},
		"spliced in a later event":             {0, streamBody(whole[:3]...) + next[:20] + next, endedBroken, "event that no run sent"},
		"spliced where it is truncated":        {0, streamBody(whole[:3]...) + "id: " + next[:20], endedBroken, "bytes that no run sent at this position"},
		"more of an event than was sent":       {0, streamBody(whole[:3]...) + testEvent("r", 1, 4), endedBroken, "event that no run sent"},
		"more of a part than was sent":         {0, streamBody(whole[:3]...) + strings.TrimSpace(testEvent("r", 1, 4)), endedBroken, "bytes that no run sent at this position"},
		"repeated":                             {0, streamBody([2]int{1, 1}, [2]int{1, 2}, [2]int{3, 2}), endedBroken, "event 2 repeated after 2"},
		"repeated from an earlier attempt":     {3, streamBody([2]int{1, 3}), endedBroken, "event 3, which the caller already had"},
		"missing":                              {0, streamBody([2]int{1, 1}, [2]int{1, 3}), endedBroken, "events between 1 and 3 are missing"},
		"missing at the beginning":             {0, streamBody([2]int{2, 4}), endedBroken, "events between 0 and 4 are missing"},
		"wrong order":                          {0, streamBody([2]int{1, 1}, [2]int{1, 2}, [2]int{1, 1}), endedBroken, "event 1 repeated after 2"},
		"of a run with another offset":         {0, streamBody([2]int{1, 1}, [2]int{1, 2}, [2]int{3, 3}), endedBroken, "asked to resume after 1"},
		"begun by a run with another offset":   {1, streamBody([2]int{1, 2}), endedBroken, "asked to resume after 0"},
		"of a run that repeats":                {0, streamBody([2]int{1, 1}, [2]int{1, 2}, [2]int{4, 2}), endedBroken, "event 2 repeated after 2"},
		"of a run that began too early":        {2, streamBody([2]int{4, 2}), endedBroken, "event 2, which the caller already had"},
		"of another request":                   {0, testEvent("other", 1, 1), endedBroken, "event of request other"},
		"of another request in the middle":     {0, streamBody(whole[:1]...) + testEvent("other", 1, 2), endedBroken, "event of request other"},
		"begun by another request":             {0, testEvent("other", 1, 1)[:20], endedBroken, "bytes that no run sent at this position"},
		"complete before its last event":       {0, streamBody(whole[:4]...), endedComplete, "ends as complete after event 4 of 5"},
		"complete before its first event":      {0, "", endedComplete, "ends as complete after event 0 of 5"},
		"complete inside an event":             {0, streamBody(whole...) + "id", endedComplete, "ends as complete inside an event"},
		"complete inside an event of its own":  {0, streamBody(whole[:3]...) + next[:20], endedComplete, "ends as complete inside an event"},
	} {
		t.Run(name, func(t *testing.T) {
			a := &attempt{request: "r", kind: plainStream, after: row.after, total: 5, status: 200, echoedID: "r", signature: "stamp 1", ending: row.ending}
			a.body.WriteString(row.body)
			assertFound(t, row.found, a.violations(streamRuns()))
		})
	}
}

func assertFound(t *testing.T, want string, found []string) {
	t.Helper()
	if want == "" {
		assert.Empty(t, found)
		return
	}
	assert.Len(t, found, 1)
	assert.Contains(t, strings.Join(found, "\n"), want)
}

func TestAnswersOfStreamsAreComparedWithRuns(t *testing.T) {
	for name, row := range map[string]struct {
		status        int
		echoed, stamp string
		malformed     string
		found         string
	}{
		"no answer":                          {},
		"refused by the entry":               {status: 503},
		"refused by the entry with its ID":   {status: 503, echoed: "r"},
		"refused by an engine":               {status: 421, echoed: "r", stamp: refusalSignature},
		"failed by a run":                    {status: 500, echoed: "r", stamp: "failed"},
		"failed by the entry":                {status: 502, echoed: "r"},
		"of another request":                 {status: 200, echoed: "other", stamp: "stamp 1", found: "the answer belongs to request \"other\""},
		"refusal of another request":         {status: 503, echoed: "other", found: "the answer belongs to request \"other\""},
		"success of no request":              {status: 200, stamp: "stamp 1", found: "the answer belongs to request \"\""},
		"success of no run":                  {status: 200, echoed: "r", found: "a success without a run's signature"},
		"success with a refusal's signature": {status: 200, echoed: "r", stamp: refusalSignature, found: "a success without a run's signature"},
		"success of an unknown run":          {status: 200, echoed: "r", stamp: "stamp 9", found: "which no run sent"},
		"success where the run failed":       {status: 200, echoed: "r", stamp: "failed", found: "which no run sent"},
		"failure where the run succeeded":    {status: 502, echoed: "r", stamp: "stamp 1", found: "which no run sent"},
		"bytes that are not HTTP":            {malformed: "status line \"id: 1\"", found: "malformed answer"},
		"invalid body after a valid head":    {status: 200, echoed: "r", stamp: "stamp 1", malformed: "chunk length", found: "malformed answer"},
	} {
		t.Run(name, func(t *testing.T) {
			l := streamRuns()
			l.add(&streamRun{request: "r", number: 4, status: 500, signature: "failed"})
			a := &attempt{request: "r", kind: plainStream, total: 5, status: row.status, echoedID: row.echoed, signature: row.stamp, malformed: row.malformed, ending: endedBroken}
			assertFound(t, row.found, a.violations(l))
		})
	}
}

func TestLastEventIsTheLastCompleteOne(t *testing.T) {
	a := &attempt{request: "r", after: 2, total: 5, status: 200}
	a.body.WriteString(streamBody([2]int{1, 3}) + testEvent("r", 1, 4)[:9])
	assert.Equal(t, 3, a.lastEvent())
	a.status = 503
	assert.Equal(t, 2, a.lastEvent(), "a refusal has no events")
}

func TestNonResumableStreamRunsAtMostOnce(t *testing.T) {
	l := newRunLog()
	l.add(testRun("r", 1, 0, 4, 0))
	a := &attempt{request: "r", kind: onceStream, total: 4, status: 200, echoedID: "r", signature: "stamp 1", ending: endedBroken}
	assertFound(t, "", a.violations(l))
	l.add(&streamRun{request: "r", number: 2, status: 200, signature: "stamp 2"})
	assertFound(t, "must run at most once and ran 2 times", a.violations(l))
	a.kind = plainStream
	assertFound(t, "", a.violations(l))
}

func TestNotExecutedAnswersAreComparedWithRuns(t *testing.T) {
	s := &streamCallers{engines: &engineSet{runs: newRunLog()}}
	s.record(&attempt{request: "not run", kind: onceStream, status: 503, ending: endedComplete})
	s.record(&attempt{request: "failed", kind: onceStream, status: 502, ending: endedComplete})
	s.record(&attempt{request: "repeatable", kind: plainStream, status: 503, ending: endedComplete})
	for _, ran := range []string{"failed", "repeatable"} {
		s.engines.runs.add(&streamRun{request: ran, number: 1})
	}
	assert.Empty(t, s.executedDespiteRefusal())
	s.engines.runs.add(&streamRun{request: "not run", number: 1})
	assertFound(t, "stream not run was answered 503, which means not executed, but ran", s.executedDespiteRefusal())
}
