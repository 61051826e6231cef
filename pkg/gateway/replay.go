package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/fault"
)

// maxReplayBytes limits the text that is kept to resume a stream on another group;
// a longer stream cannot be resumed.
const maxReplayBytes = 1 << 20

var (
	contentField = []byte(`"content":`)
	roleField    = []byte(`"role":`)
)

// replay tracks the part of a stream that was delivered to the client.
type replay struct {
	// started is true once any event was delivered.
	started bool
	// role, finished and trailer are true once the role, the finish reason and an
	// event after the finish reason were delivered.
	role, finished, trailer bool
	// text is the delivered content, escaped as in a JSON string.
	text       []byte
	overflowed bool
}

// delivery describes how an event is handled.
type delivery struct {
	// duplicate is true if the event was delivered before.
	duplicate bool
	// unnumbered is true if the stream cannot be resumed after the event.
	unnumbered bool
}

// record records an event that is about to be delivered. Repeated tokens were already
// dropped by dispatch.Stream; the role, the finish reason and the usage have no
// position and are delivered once.
func (r *replay) record(event dispatch.Event) delivery {
	content := contentOf(event.Data)
	if once := r.onceFlag(event, len(content) > 0); once != nil {
		delivered := *once
		*once, r.started = true, true
		return delivery{duplicate: delivered}
	}
	r.started = true
	if len(r.text)+len(content) > maxReplayBytes {
		r.overflowed = true
	} else {
		r.text = append(r.text, content...)
	}
	return delivery{unnumbered: r.overflowed || !event.Token}
}

// onceFlag returns the flag of an event that is delivered only once, or nil for
// other events.
func (r *replay) onceFlag(event dispatch.Event, hasContent bool) *bool {
	switch {
	case event.Token || hasContent:
		return nil
	case dispatch.HasFinishReason(event.Data):
		return &r.finished
	case bytes.Contains(event.Data, roleField):
		return &r.role
	case r.finished:
		return &r.trailer
	default:
		return nil
	}
}

// contentOf returns the JSON string of the first "content" field of a chunk, without
// quotes and with its escapes.
func contentOf(chunk []byte) []byte {
	_, rest, ok := bytes.Cut(chunk, contentField)
	if !ok {
		return nil
	}
	rest = bytes.TrimLeft(rest, " ")
	if len(rest) == 0 || rest[0] != '"' {
		return nil
	}
	for i := 1; i < len(rest); i++ {
		switch rest[i] {
		case '\\':
			i++
		case '"':
			return rest[1:i]
		}
	}
	return nil
}

// resumeBody appends the delivered text to a request as a partial assistant message.
func (r *replay) resumeBody(body []byte, chat *chatBody) ([]byte, error) {
	var fields map[string]json.RawMessage
	var messages []json.RawMessage //nolint:prealloc // its length is that of the request
	err := errors.Join(json.Unmarshal(body, &fields), json.Unmarshal(chat.Messages, &messages))
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "send a JSON chat completion request", "the body cannot be resumed").WithCause(err)
	}
	// Field names are matched case-insensitively, as encoding/json does.
	for name := range fields {
		if strings.EqualFold(name, "messages") {
			delete(fields, name)
		}
	}
	partial := append([]byte(`{"role":"assistant","content":"`), r.text...)
	messages = append(messages, append(partial, `"}`...))
	if fields["messages"], err = json.Marshal(messages); err == nil {
		body, err = json.Marshal(fields)
	}
	if err != nil {
		return nil, fault.New(fault.UpstreamFailed, "send the request again", "the delivered text cannot be added to the request").WithCause(err)
	}
	return body, nil
}
