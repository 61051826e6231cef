package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
)

// generateSequence returns the random sequence of a seed. Each run has its own random source,
// so that its behavior depends only on the seed, its number and the requested event.
func generateSequence(seed uint64) *sequence {
	random := rand.New(rand.NewPCG(seed, 0))
	s := &sequence{events: 1 + random.IntN(8), eventID: strconv.Itoa}
	if random.IntN(6) == 0 {
		s.resumeAfter = 1 + random.IntN(s.events)
	}
	s.plan = func(r *engineRun) {
		g := runGenerator{Rand: rand.New(rand.NewPCG(seed, uint64(r.number))), engineRun: r, events: s.events}
		g.generate()
	}
	return s
}

// runGenerator generates the behavior of one run.
type runGenerator struct {
	*rand.Rand
	*engineRun
	// events is the number of events of the whole stream.
	events int
	// head is the header of the answer without the framing of the body.
	head string
	body string
	// usable is true if the entry may use the answer; continues is true if its events follow
	// the requested one.
	usable, continues bool
	// stream is true if the body consists of events.
	stream bool
}

// weightedIndex returns a random index by weights.
func (g *runGenerator) weightedIndex(weights ...int) int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	n := g.IntN(sum)
	for i, w := range weights {
		if n -= w; n < 0 {
			return i
		}
	}
	return 0
}

func (g *runGenerator) generate() {
	g.generateBody()
	g.generateHead()
	events, body := g.generated, g.body
	if g.stream && g.IntN(5) == 0 {
		// The answer is truncated but correctly framed.
		g.body = g.body[:g.truncationOffset(g.body)]
	}
	f := g.frame()
	g.framing = f.kind
	offset, connEnd := len(f.text), kept
	if f.kind == unframed {
		connEnd = closed
	}
	breakPercent := 65
	if g.number == maxRuns {
		breakPercent = 25
	}
	if g.IntN(100) < breakPercent {
		offset, connEnd = g.breakOffset(f), []string{closed, reset, silent}[g.weightedIndex(3, 2, 1)]
	}
	g.writes, g.connEnd = g.split(f.text[:offset]), connEnd
	g.silentUntilDeadline = connEnd == silent && (offset < f.head || g.status == http.StatusNotFound)
	if f.kind == unframed && offset >= f.head {
		g.body = g.body[:offset-f.head]
	}
	g.generated = eventsWithin(events, len(g.body))
	g.bodyEnd = g.classifyEnd(f, offset, connEnd)
	g.correct = g.continues && g.bodyEnd == endComplete && g.body == body
	if g.status != http.StatusOK {
		g.failure = g.body
	}
	if !g.usable {
		g.generated, g.bodyEnd, g.correct = nil, endTruncated, false
	}
}

// generateBody generates the events, or a body that is not a stream.
func (g *runGenerator) generateBody() {
	after, _ := strconv.Atoi(g.lastEventID)
	from := after + 1
	g.stream, g.continues = true, true
	if after > 0 {
		kind := g.weightedIndex(50, 8, 8, 8, 8, 8)
		g.continues = kind == 0
		switch kind {
		case 1: // Restarts from the first event.
			from = 1
		case 2: // Skips an event.
			from++
		case 3: // Repeats the last event.
			from--
		case 4: // Has no more events.
			from = g.events + 1
		case 5: // Is not a stream.
			g.stream = false
			g.body = []string{`{"error":"gone"}`, "not a stream\n\n", "<p>\n\n</p>\n", "id\n\n"}[g.IntN(4)]
			return
		}
	}
	for position := from; position <= g.events; position++ {
		if g.IntN(20) == 0 {
			g.generated = append(g.generated, streamEvent{comment, fmt.Sprintf(": comment %d.%d id: 5\n\n", g.number, position)})
		}
		g.generated = append(g.generated, streamEvent{position, g.generateEvent(position)})
	}
	g.body = textOf(g.generated)
}

// generateEvent returns an event whose data names its run and position.
func (g *runGenerator) generateEvent(position int) string {
	id := fmt.Sprintf("id: %d\n", position)
	if g.IntN(6) == 0 {
		id = fmt.Sprintf("id:%d\n", position)
	}
	mark := fmt.Sprintf("%d.%d", g.number, position)
	data := "data: " + mark + g.generateFiller() + "\n"
	for range g.weightedIndex(6, 1, 1) {
		data += []string{"data: id: 7\n", "data:\n", "data: " + g.generateFiller() + "\n", "data: x id: 9 id:\n", "event: token\n"}[g.IntN(5)]
	}
	text := id + data
	if g.IntN(6) == 0 {
		text = data + id
	}
	switch g.weightedIndex(8, 1, 1) {
	case 1:
		text = "x-weight-versions: 3\n" + text
	case 2:
		text = ": comment id: 5\n" + text
	}
	return text + "\n"
}

// generateFiller generates padding for a data line: usually none, rarely more than one read.
func (g *runGenerator) generateFiller() string {
	n := 0
	switch g.weightedIndex(60, 25, 10, 2) {
	case 1:
		n = g.IntN(60)
	case 2:
		n = g.IntN(4 << 10)
	case 3:
		n = readBufferBytes - 40 + g.IntN(4<<10)
	}
	return strings.Repeat("id: 4 ", n/6) + strings.Repeat("x", n%6)
}

// generateHead generates the status and header, and with them the validity of the answer.
func (g *runGenerator) generateHead() {
	status, id, signature, extraHeaders := "200", "r1", "Test-Signature: "+signatureOf(g.engineRun)+"\r\n", "Content-Type: text/event-stream\r\n"
	if !g.stream && g.IntN(2) == 0 {
		extraHeaders = "Content-Type: application/json\r\n"
	}
	g.usable = true
	switch g.weightedIndex(60, 5, 3, 3, 3) {
	case 1:
		g.status = []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusNotFound}[g.weightedIndex(3, 1, 1)]
		status = strconv.Itoa(g.status)
		failed := "run " + strconv.Itoa(g.number) + " failed"
		g.replaceBody([]string{failed, failed + "\n\n", ""}[g.weightedIndex(2, 1, 1)])
	case 2:
		g.status, status, g.usable = http.StatusServiceUnavailable, "503", false
		extraHeaders += "Test-Refused: 1\r\n"
		g.replaceBody("full")
	case 3:
		signature, g.usable = "", false
	case 4:
		id, g.usable = "r0", false
	}
	g.head = fmt.Sprintf("HTTP/1.1 %s X\r\nTest-Id: %s\r\n%s%s", status, id, signature, extraHeaders)
}

func (g *runGenerator) replaceBody(body string) {
	g.generated, g.body, g.stream, g.continues = nil, body, false, false
}

// classifyEnd classifies how the answer ended by the bytes that were written.
func (g *runGenerator) classifyEnd(f framedAnswer, offset int, connEnd string) ending {
	switch {
	case offset < f.head || !g.wellFormed():
		return endTruncated
	case f.kind == unframed:
		// Without an event, the end of the connection is no evidence of a complete stream.
		if connEnd == closed && (g.status != http.StatusOK || lastPosition(g.engineRun) != comment) {
			return endComplete
		}
		return endTruncated
	case offset == len(f.text):
		return endComplete
	case f.kind == chunked && offset >= len(f.text)-2:
		return endAmbiguous
	default:
		return endTruncated
	}
}

// wellFormed reports whether the written body can be a complete one.
func (g *runGenerator) wellFormed() bool {
	return g.status != http.StatusOK || g.body == "" || g.stream && strings.HasSuffix(g.body, "\n\n")
}

// eventsWithin returns the events that lie entirely in the first n bytes of their body.
func eventsWithin(events []streamEvent, n int) []streamEvent {
	for i, e := range events {
		if n -= len(e.text); n < 0 {
			return events[:i]
		}
	}
	return events
}

// framedAnswer is an answer with the framing of its body.
type framedAnswer struct {
	kind int
	text string
	// head is the length of the header.
	head int
	// chunkDataEnds are the offsets after the data of each chunk, before its line break.
	chunkDataEnds []int
}

func (g *runGenerator) frame() framedAnswer {
	f := framedAnswer{kind: g.weightedIndex(6, 2, 2)}
	switch f.kind {
	case withLength:
		f.text = g.head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(g.body))
		f.head = len(f.text)
		f.text += g.body
		return f
	case unframed:
		f.text = g.head + "\r\n"
		f.head = len(f.text)
		f.text += g.body
		return f
	}
	f.text = g.head + "Transfer-Encoding: chunked\r\n\r\n"
	f.head = len(f.text)
	chunks := g.split(g.body)
	if g.IntN(2) == 0 {
		chunks = strings.SplitAfter(g.body, "\n\n")
	}
	for _, text := range chunks {
		if text != "" {
			f.text += fmt.Sprintf("%x\r\n%s", len(text), text)
			f.chunkDataEnds = append(f.chunkDataEnds, len(f.text))
			f.text += "\r\n"
		}
	}
	f.text += "0\r\n\r\n"
	return f
}

// split divides a text into one part, a few parts or single bytes.
func (g *runGenerator) split(text string) (parts []string) {
	cuts := g.IntN(6)
	if g.IntN(8) == 0 && len(text) < 400 {
		cuts = len(text)
	}
	for i := cuts; i > 0 && text != ""; i-- {
		n := 1 + g.IntN(max(1, 2*len(text)/(i+1)))
		if cuts > 6 {
			n = 1
		}
		n = min(n, len(text))
		parts, text = append(parts, text[:n]), text[n:]
	}
	return append(parts, text)
}

// truncationOffset returns a random offset at which to truncate a body: any byte, or between
// two events.
func (g *runGenerator) truncationOffset(body string) int {
	if len(g.generated) > 0 && g.IntN(3) == 0 {
		n := 0
		for _, e := range g.generated[:g.IntN(len(g.generated))] {
			n += len(e.text)
		}
		return n
	}
	return g.IntN(len(body) + 1)
}

// breakOffset returns a random offset at which an answer breaks.
func (g *runGenerator) breakOffset(f framedAnswer) int {
	bodyBytes := len(f.text) - f.head
	switch g.weightedIndex(1, 1, 3, 3, 2, 1, 4) {
	case 0: // Before the header.
		return 0
	case 1: // In the header.
		return 1 + g.IntN(f.head-1)
	case 2: // Near the first event.
		return f.head + g.IntN(min(bodyBytes, 50)+1)
	case 3: // After the data of a chunk, before its line break.
		if len(f.chunkDataEnds) > 0 {
			return f.chunkDataEnds[g.IntN(len(f.chunkDataEnds))]
		}
	case 4: // After a chunk.
		if len(f.chunkDataEnds) > 0 {
			return f.chunkDataEnds[g.IntN(len(f.chunkDataEnds))] + 2
		}
	case 5: // Near the end.
		return len(f.text) - g.IntN(min(bodyBytes, 8)+1)
	}
	return f.head + g.IntN(bodyBytes+1)
}
