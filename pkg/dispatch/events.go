package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one line of an event stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLong = errors.New("event exceeds 1 MiB")
	dataField       = []byte("data:")
	idField         = []byte("id:")
	doneMarker      = []byte("[DONE]")
	finishField     = []byte(`"finish_reason":`)
	eventStreamType = []byte("text/event-stream")
)

// rawEvent is one event as received.
type rawEvent struct {
	data        []byte
	hasPosition bool
	position    int
	done        bool
}

// eventReader splits a body into server-sent events. An event's identifier, if it is a
// number, is the position of its token.
type eventReader struct {
	lines *bufio.Scanner
	body  io.Reader
	data  []byte
}

func newEventReader(body io.Reader) *eventReader {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, writeBufferBytes), maxEventBytes)
	return &eventReader{lines: lines, body: body}
}

// next returns the next event that has data, or io.EOF at the end of the body.
func (r *eventReader) next() (rawEvent, error) {
	event := rawEvent{}
	r.data = r.data[:0]
	hasData := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if !hasData {
				event = rawEvent{}
				continue
			}
			event.data = r.data
			event.done = bytes.Equal(r.data, doneMarker)
			return event, nil
		}
		if value, ok := field(line, dataField); ok {
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			hasData = true
		} else if value, ok := field(line, idField); ok {
			event.position, event.hasPosition = parsePosition(value)
		}
		if len(r.data) > maxEventBytes {
			return rawEvent{}, errEventTooLong
		}
	}
	if errors.Is(r.lines.Err(), bufio.ErrTooLong) {
		return rawEvent{}, errEventTooLong
	}
	if r.lines.Err() != nil {
		return rawEvent{}, r.lines.Err()
	}
	return rawEvent{}, io.EOF
}

// atEOF reports whether the body ends without further lines.
func (r *eventReader) atEOF() bool {
	if r.lines.Scan() || r.lines.Err() != nil {
		return false
	}
	return true
}

func field(line, name []byte) ([]byte, bool) {
	value, ok := bytes.CutPrefix(line, name)
	if !ok {
		return nil, false
	}
	return bytes.TrimPrefix(value, []byte(" ")), true
}

func parsePosition(value []byte) (int, bool) {
	n, err := strconv.ParseUint(string(value), 10, 31)
	return int(n), err == nil
}

// HasFinishReason reports whether a chunk contains a finish reason. Inside a JSON
// string the quotes of the field's name are escaped, so text that a model generates
// cannot match.
func HasFinishReason(chunk []byte) bool {
	for {
		_, rest, ok := bytes.Cut(chunk, finishField)
		if !ok {
			return false
		}
		if value := bytes.TrimLeft(rest, " "); len(value) > 0 && value[0] == '"' {
			return true
		}
		chunk = rest
	}
}

func isEventStream(contentType []byte) bool {
	return bytes.HasPrefix(contentType, eventStreamType)
}
