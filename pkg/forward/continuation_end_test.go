package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
)

// continuedStreams are the ways in which an upstream comes to be asked for the events after the second of five. The script is
// that of the run before; nil if the caller asks by itself.
var continuedStreams = map[string]script{
	"silent run": func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)+event(2)))
		<-time.After(time.Second)
		return chunk(event(3)+event(4)+event(5)) + "0\r\n\r\n", true
	},
	"broken run": func(*http.Request, string, net.Conn) (string, bool) {
		return fmt.Sprintf(streamHead, "p") + chunk(event(1)+event(2)), false
	},
	"run broken inside an event": func(*http.Request, string, net.Conn) (string, bool) {
		return unframedHead + event(1) + event(2) + "id: 3\nda", false
	},
	"silent run that breaks": func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)+event(2)))
		<-time.After(eventGapTimeout + 10*successorPollInterval)
		return "", false
	},
	"caller's request": nil,
}

// playContinuation asks for a stream of five events. The run that is asked for the events after the second one answers with the
// given text and closes its connection; a later one sends them.
func playContinuation(t *testing.T, name, text string, maxAttempts int, check func(h *harness, r reply, ids string, err error)) {
	before, runs := continuedStreams[name], 0
	upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
		switch runs++; {
		case runs == 1 && before != nil:
			return before(req, body, conn)
		case runs == 1 || runs == 2 && before != nil:
			return text, false
		default:
			return resumedStreamAnswer(req, 5), true
		}
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream, "c:1": upstream}, func(h *harness) {
		h.view.Document.Routes[3].MaxAttempts = maxAttempts
		require.NoError(t, h.view.Document.Index())
		var headers []string
		if before == nil {
			headers = []string{"Last-Event-Id: 2"}
		}
		r, body, err := h.call("POST", "/stream/x", "prompt", headers...)
		check(h, r, strings.Join(slices.Collect(identifiers([]byte(body))), " "), err)
		<-time.After(time.Second)
		h.assertNothingInFlight(name)
	})
}

// eventless are texts without an event.
var eventless = map[string]string{"nothing": "", "a comment": ": ping\n\n", "two comments": ": a\n: b\n\n: c\n\n", "blank lines": "\n\n\n", "a line break": "\n"}

// Guards against a stream that ends as complete before its last event: an upstream that was asked to continue it crashed before
// the first event of an answer without framing.
func TestContinuationThatEndsBeforeItsFirstEventIsNotComplete(t *testing.T) {
	for name, before := range continuedStreams {
		had, sends := "1 2", 2
		if before == nil {
			had, sends = "", 1
		}
		whole := strings.TrimSpace(had + " 3 4 5")
		for content, text := range eventless {
			t.Run(name+", "+content, func(t *testing.T) {
				playContinuation(t, name, unframedHead+text, sends+1, func(h *harness, r reply, ids string, err error) {
					assert.NoError(t, err)
					assert.Equal(t, http.StatusOK, r.StatusCode)
					assert.Equal(t, whole, ids, "the silent upstream or a third one sends the rest")
					assert.Contains(t, h.log.String(), errContinuationWithoutEvent.Error())
				})
				playContinuation(t, name, unframedHead+text, sends, func(_ *harness, r reply, ids string, err error) {
					switch {
					case name == "silent run":
						assert.NoError(t, err)
						assert.Equal(t, whole, ids, "the silent run stays in place")
					case r.StatusCode == http.StatusOK:
						assert.Error(t, err, "a stream that is not continued is broken off")
						assert.Equal(t, had, ids)
					default:
						assert.Equal(t, http.StatusBadGateway, r.StatusCode)
						assert.Empty(t, r.Header.Get("Test-Signature"), "the answer is the entry's own")
					}
				})
			})
		}
	}
}

// An upstream that states by its framing that no event is left completes the stream.
func TestFramedContinuationWithoutEventsCompletesTheStream(t *testing.T) {
	for name, before := range continuedStreams {
		for _, text := range []string{streamWithLength("r1", ""), fmt.Sprintf(streamHead, "p") + "0\r\n\r\n"} {
			playContinuation(t, name, text, 2, func(_ *harness, r reply, ids string, err error) {
				assert.NoError(t, err, name)
				assert.Equal(t, http.StatusOK, r.StatusCode, name)
				assert.Equal(t, before != nil, ids == "1 2", name)
			})
		}
	}
}

// The end of a continuation counts by its framing, whatever type the answer states, and media types have no case.
func TestTypeOfUnframedStreamDoesNotMakeItComplete(t *testing.T) {
	const typeLine = "Content-Type: text/event-stream\r\n"
	for _, line := range []string{"", "Content-Type: text/plain\r\n", "Content-Type: Text/Event-Stream; charset=utf-8\r\n"} {
		head := strings.Replace(unframedHead, typeLine, line, 1)
		for name := range continuedStreams {
			playContinuation(t, name, head, 3, func(_ *harness, _ reply, ids string, err error) {
				assert.NoError(t, err, "%s %s", name, line)
				assert.True(t, strings.HasSuffix(ids, "3 4 5"), "%s %s: %s", name, line, ids)
			})
		}
	}
	runs := 0
	upstream := func(req *http.Request, _ string, _ net.Conn) (string, bool) {
		if runs++; runs == 1 {
			return strings.Replace(unframedHead, typeLine, "Content-Type: Text/Event-Stream\r\n", 1), false
		}
		return resumedStreamAnswer(req, 3), true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		assert.NoError(t, err)
		assert.Equal(t, event(1)+event(2)+event(3), body, "a first run without an event is followed by another")
	})
}

// Guards against an endless round: a caller that asks for what follows the last event gets a final answer after the sends that
// its route allows, and a way to the whole stream.
func TestCallerThatAsksAfterTheLastEventIsAnswered(t *testing.T) {
	upstream := func(*http.Request, string, net.Conn) (string, bool) { return unframedHead, false }
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream, "c:1": upstream}, func(h *harness) {
		began := time.Now()
		r, body, err := h.call("POST", "/stream/x", "prompt", "Last-Event-Id: 5")
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadGateway, r.StatusCode)
		assert.Contains(t, body, "without its last event's identifier, the whole stream follows")
		assert.Equal(t, "unknown", r.Header.Get(fault.OutcomeHeader))
		assert.Len(t, h.received, 2, "the sends that the route allows")
		assert.Less(t, time.Since(began), time.Second)
		assert.Contains(t, h.entry.opts.Metrics.String(), "streams.continuations_without_event")

		h.view.Document.Routes[3].Idempotency = document.AtMostOnce
		require.NoError(t, h.view.Document.Index())
		r, body, err = h.call("POST", "/stream/x", "prompt", "Last-Event-Id: 5")
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadGateway, r.StatusCode)
		assert.Contains(t, body, "check whether the request ran", "a stream that runs once is not to be sent again")
		assert.Len(t, h.received, 3)
	})
}
