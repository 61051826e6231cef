package forward

import (
	"bytes"
	"iter"
)

// maxEventBytes bounds the size of one event, which is buffered until it is complete.
const maxEventBytes = 256 << 10

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
	// eventStreamType is the media type of a series of events.
	eventStreamType = []byte("text/event-stream")
)

// isEventStream reports whether a Content-Type is that of a series of events. Media types are
// compared without regard to case.
func isEventStream(contentType []byte) bool {
	n := len(eventStreamType)
	return len(contentType) >= n && bytes.EqualFold(contentType[:n], eventStreamType)
}

// eventSplitter splits the bytes of one upstream run into complete events.
type eventSplitter struct {
	buf []byte
	// consumed is the length of the events at the start of buf that were returned.
	consumed int
}

// feed appends bytes and returns the events that they complete. The result is valid until the
// next call.
func (s *eventSplitter) feed(p []byte) []byte {
	s.buf = append(s.buf[:copy(s.buf, s.buf[s.consumed:])], p...)
	s.consumed = 0
	if end := bytes.LastIndex(s.buf, eventEnd); end >= 0 {
		s.consumed = end + len(eventEnd)
	}
	return s.buf[:s.consumed]
}

// flush returns all buffered bytes at the end of a body: the events that the last bytes
// completed and whatever follows them.
func (s *eventSplitter) flush() []byte {
	s.consumed = len(s.buf)
	return s.buf
}

// pending is the number of buffered bytes of an incomplete event.
func (s *eventSplitter) pending() int { return len(s.buf) - s.consumed }

// partial reports whether an incomplete event is buffered.
func (s *eventSplitter) partial() bool { return len(bytes.TrimSpace(s.buf[s.consumed:])) > 0 }

// identifiers yields the identifier of each event in a series of complete events; empty for an
// event without one. Comments are not events.
func identifiers(events []byte) iter.Seq[string] {
	return func(yield func(string) bool) {
		for block := range bytes.SplitSeq(events, eventEnd) {
			if id, isEvent := identifier(block); isEvent && !yield(id) {
				return
			}
		}
	}
}

func identifier(block []byte) (id string, isEvent bool) {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		isEvent = true
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id, isEvent
}

// firstIdentifier returns the identifier of the first event in a series; false when there is
// none.
func firstIdentifier(events []byte) (string, bool) {
	for id := range identifiers(events) {
		return id, true
	}
	return "", false
}
