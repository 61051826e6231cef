package forward

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// assertValid plays a sequence and applies all checks.
func (s *sequence) assertValid(t *testing.T) {
	received := s.play(t)
	assert.Empty(t, s.checkAnswer(received), "%s", s)
	assert.Empty(t, s.checkCompleted(received), "%s", s)
	assert.Empty(t, s.checkAllSendsUsed(received), "%s", s)
}

// Identifiers that do not rise by one, are not numeric or are too long to compare as numbers.
func letterID(position int) string         { return string(rune('a' + position)) }
func multipleOfFiveID(position int) string { return strconv.Itoa(5 * position) }
func thirtyDigitID(position int) string    { return fmt.Sprintf("9%030d", position) }

// planRuns sets the events of the runs: the first run sends those of first and breaks, the second
// sends those of second and ends regularly, later ones send what was requested.
func (s *sequence) planRuns(first, second func(r *engineRun) []streamEvent) {
	s.plan = func(r *engineRun) {
		generate := s.requestedEvents
		if r.number <= 2 {
			generate = []func(r *engineRun) []streamEvent{first, second}[r.number-1]
		}
		r.generated = generate(r)
		text := fmt.Sprintf(streamHead, signatureOf(r))
		for _, e := range r.generated {
			text += chunk(e.text)
		}
		r.writes, r.connEnd = []string{text}, closed
		if r.number > 1 {
			r.writes, r.connEnd, r.bodyEnd = []string{text + "0\r\n\r\n"}, kept, endComplete
		}
		r.correct = r.number > 2 && !s.mayEndBroken
	}
}

// requestedEvents returns the events after the one that a run was asked to resume after.
func (s *sequence) requestedEvents(r *engineRun) []streamEvent {
	for position := range s.events {
		if s.lastEventID(position) == r.lastEventID {
			return s.eventRange(r, position+1, s.events)
		}
	}
	return nil
}

// eventRange returns a run's events from one position to another; none if from is 0.
func (s *sequence) eventRange(r *engineRun, from, to int) (events []streamEvent) {
	for position := from; position <= to && position > 0; position++ {
		events = append(events, eventWithLine(r, position, "id: "+s.eventID(position)))
	}
	return events
}

// eventWithLine returns an event that starts with the given line, unless it is empty.
func eventWithLine(r *engineRun, position int, line string) streamEvent {
	if line != "" {
		line += "\n"
	}
	return streamEvent{position, fmt.Sprintf("%sdata: %d.%d\n\n", line, r.number, position)}
}

// resumption is a case of a run that breaks and of the run that should resume it.
type resumption struct {
	eventID     func(int) string
	resumeAfter int
	// first and second are the first and last position of the runs' events, out of five. If
	// lines is set, each event of the second run has one of them instead of its identifier.
	first, second [2]int
	lines         []string
	// ambiguousIDs is true if identifiers do not show whether the second run continues correctly.
	ambiguousIDs bool
}

// assertResumptions checks that events of the second run other than the requested ones do not
// reach the caller.
func assertResumptions(t *testing.T, cases map[string]resumption) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &sequence{events: 5, resumeAfter: c.resumeAfter, eventID: strconv.Itoa, mayEndBroken: c.ambiguousIDs}
			if c.eventID != nil {
				s.eventID = c.eventID
			}
			s.planRuns(func(r *engineRun) []streamEvent { return s.eventRange(r, c.first[0], c.first[1]) }, func(r *engineRun) []streamEvent {
				events := s.eventRange(r, c.second[0], c.second[1])
				for i, line := range c.lines {
					events[i] = eventWithLine(r, events[i].position, line)
				}
				return events
			})
			s.assertValid(t)
		})
	}
}

func TestResumptionAtWrongPosition(t *testing.T) {
	type lines = []string
	assertResumptions(t, map[string]resumption{
		"continues":                       {first: [2]int{1, 3}, second: [2]int{4, 5}},
		"restarts":                        {first: [2]int{1, 3}, second: [2]int{1, 5}},
		"restarts and ends early":         {first: [2]int{1, 3}, second: [2]int{1, 2}},
		"skips an event":                  {first: [2]int{1, 3}, second: [2]int{5, 5}},
		"repeats the last event":          {first: [2]int{1, 3}, second: [2]int{3, 5}},
		"repeats an earlier event":        {first: [2]int{1, 3}, second: [2]int{2, 5}},
		"has no identifiers":              {first: [2]int{1, 3}, second: [2]int{4, 5}, lines: lines{"", ""}},
		"restarts, no identifiers":        {first: [2]int{1, 3}, second: [2]int{1, 3}, lines: lines{"", "", ""}},
		"restarts, late identifier":       {first: [2]int{1, 3}, second: [2]int{1, 4}, lines: lines{"", "", "", "id: 4"}},
		"has no first identifier":         {first: [2]int{1, 3}, second: [2]int{4, 5}, lines: lines{"", "id: 5"}},
		"has an empty identifier":         {first: [2]int{1, 3}, second: [2]int{4, 5}, lines: lines{"id:", "id: 5"}},
		"has a word as identifier":        {first: [2]int{1, 3}, second: [2]int{1, 2}, lines: lines{"id: four", "id: five"}},
		"has a number and more":           {first: [2]int{1, 3}, second: [2]int{1, 2}, lines: lines{"id: 4x", "id: 5x"}},
		"has its identifier in data":      {first: [2]int{1, 3}, second: [2]int{1, 2}, lines: lines{"data: id: 4", "data: id: 5"}},
		"has its identifier in a comment": {first: [2]int{1, 3}, second: [2]int{1, 2}, lines: lines{":id: 4", ": id: 5"}},
		"has another field of that name":  {first: [2]int{1, 3}, second: [2]int{1, 2}, lines: lines{"idx: 4", "uid: 4"}},
		"caller resumes, continues":       {resumeAfter: 2, first: [2]int{3, 3}, second: [2]int{4, 5}},
		"caller resumes, restarts":        {resumeAfter: 2, first: [2]int{3, 3}, second: [2]int{1, 5}},
		"caller resumes, no event yet":    {resumeAfter: 2, second: [2]int{3, 5}},
		"caller resumes, none, restarts":  {resumeAfter: 2, second: [2]int{1, 5}},
		"caller resumes, first restarts":  {resumeAfter: 2, first: [2]int{1, 3}, second: [2]int{3, 5}},
		"caller resumes, first skips":     {resumeAfter: 2, first: [2]int{4, 5}, second: [2]int{3, 5}},
		"caller resumes, first repeats":   {resumeAfter: 2, first: [2]int{2, 5}, second: [2]int{3, 5}},
		"letters, continues":              {eventID: letterID, first: [2]int{1, 3}, second: [2]int{4, 5}, ambiguousIDs: true},
		"letters, restarts":               {eventID: letterID, first: [2]int{1, 3}, second: [2]int{1, 5}, ambiguousIDs: true},
		"letters, skips":                  {eventID: letterID, first: [2]int{1, 3}, second: [2]int{5, 5}, ambiguousIDs: true},
		"letters, repeats":                {eventID: letterID, first: [2]int{1, 3}, second: [2]int{3, 5}, ambiguousIDs: true},
		"thirty digits, continues":        {eventID: thirtyDigitID, first: [2]int{1, 3}, second: [2]int{4, 5}, ambiguousIDs: true},
		"thirty digits, restarts":         {eventID: thirtyDigitID, first: [2]int{1, 3}, second: [2]int{1, 5}, ambiguousIDs: true},
		"thirty digits, skips":            {eventID: thirtyDigitID, first: [2]int{1, 3}, second: [2]int{5, 5}, ambiguousIDs: true},
	})
}

func TestResumptionWithIdentifiersInStepsOfFive(t *testing.T) {
	assertResumptions(t, map[string]resumption{
		"continues": {eventID: multipleOfFiveID, first: [2]int{1, 3}, second: [2]int{4, 5}, ambiguousIDs: true},
		"restarts":  {eventID: multipleOfFiveID, first: [2]int{1, 3}, second: [2]int{1, 5}, ambiguousIDs: true},
		"skips":     {eventID: multipleOfFiveID, first: [2]int{1, 3}, second: [2]int{5, 5}, ambiguousIDs: true},
		"repeats":   {eventID: multipleOfFiveID, first: [2]int{1, 3}, second: [2]int{3, 5}, ambiguousIDs: true},
	})
}

// A stream cannot be resumed after an event without an identifier: it must end broken there.
func TestResumptionAfterEventWithoutIdentifier(t *testing.T) {
	for name, lines := range map[string][]string{
		"none has one": {"", "", ""}, "the last has none": {"id: 1", "id: 2", ""}, "an empty one": {"id: 1", "id: 2", "id:"},
		"the first has none": {"", "id: 2", "id: 3"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &sequence{events: 5, eventID: strconv.Itoa, mayEndBroken: true}
			s.planRuns(func(r *engineRun) (events []streamEvent) {
				for i, line := range lines {
					events = append(events, eventWithLine(r, i+1, line))
				}
				return events
			}, s.requestedEvents)
			s.assertValid(t)
		})
	}
}

// A resumption after the last event has nothing left to send. An empty answer that states so by
// its framing must end the stream, whether the caller or the entry asked for it. One that ends
// with its connection may be that of an upstream that crashed: no run completes the stream, and
// it ends broken after the last send.
func TestResumptionWithoutFurtherEvents(t *testing.T) {
	for name, c := range map[string]struct {
		end     string
		kept    string
		bodyEnd ending
		sends   int
	}{
		"chunked":       {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", kept, endComplete, 1},
		"with a length": {"Content-Length: 0\r\n\r\n", kept, endComplete, 1},
		"unframed":      {"\r\n", closed, endTruncated, maxRuns},
	} {
		for resumeAfter, first := range map[int]int{0: 3, 3: 0} {
			t.Run(fmt.Sprintf("%s, caller's Last-Event-Id %d", name, resumeAfter), func(t *testing.T) {
				s := &sequence{events: 3, resumeAfter: resumeAfter, eventID: strconv.Itoa}
				s.plan = func(r *engineRun) {
					head, _, _ := strings.Cut(fmt.Sprintf(streamHead, signatureOf(r)), "Transfer-Encoding")
					if r.number == 1 && first > 0 {
						r.generated = s.eventRange(r, 1, first)
						r.writes, r.connEnd = []string{head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(textOf(r.generated))}, closed
						return
					}
					r.writes, r.connEnd, r.bodyEnd, r.correct = []string{head + c.end}, c.kept, c.bodyEnd, c.bodyEnd == endComplete
				}
				s.assertValid(t)
				assert.Len(t, s.runs, min(c.sends+min(first, 1), maxRuns), "an empty answer ends the stream only by its framing")
			})
		}
	}
}

// A silent run must be replaced by another, at whatever byte of the chunk framing it stops.
func TestSilenceInsideChunk(t *testing.T) {
	for name, text := range map[string]string{
		"before a chunk":              "%s",
		"in the size of a chunk":      "%s1",
		"in the line of a chunk size": "%s12\r",
		"after the size of a chunk":   "%s12\r\n",
		"in the data of a chunk":      "%s12\r\nid",
		"after the data of a chunk":   "%s4\r\nid: ",
		"in the end of a chunk":       "%s4\r\nid: \r",
		"in the last chunk":           "%s0\r",
	} {
		for _, events := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("%s, %d events", name, events), func(t *testing.T) {
				s := &sequence{events: 4, eventID: strconv.Itoa}
				s.plan = func(r *engineRun) {
					head := fmt.Sprintf(streamHead, signatureOf(r))
					if r.number == 1 {
						r.generated = s.eventRange(r, 1, events)
						r.writes, r.connEnd = []string{head + fmt.Sprintf(text, chunkUnlessEmpty(textOf(r.generated)))}, silent
						return
					}
					r.generated = s.requestedEvents(r)
					r.writes, r.connEnd, r.bodyEnd, r.correct = []string{head + chunk(textOf(r.generated)) + "0\r\n\r\n"}, kept, endComplete, true
				}
				s.assertValid(t)
			})
		}
	}
}

// textOf concatenates the texts of events.
func textOf(events []streamEvent) (text string) {
	for _, e := range events {
		text += e.text
	}
	return text
}
