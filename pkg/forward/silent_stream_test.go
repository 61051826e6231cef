package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/attach"
)

// unknownStartTimeout is the stall timeout before the first event of a service of which nothing is known.
const unknownStartTimeout = eventGapTimeout

// soundPause is how long a sound upstream falls silent before it goes on.
const soundPause = 1200 * time.Millisecond

// pausingStream is an engine that falls silent for soundPause in its stream of four events,
// after the given number of them, and then goes on.
func pausingStream(before int, pause time.Duration) script {
	return func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		text := fmt.Sprintf(streamHead, "p")
		for id := 1; id <= before; id++ {
			text += chunk(event(id))
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return "", false
		}
		<-time.After(pause)
		text = ""
		for id := before + 1; id <= 4; id++ {
			text += chunk(event(id))
		}
		return text + "0\r\n\r\n", true
	}
}

// waitForClose is an upstream that answers with a text and then nothing until its connection is
// closed.
func waitForClose(text string) script {
	return func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, _ = io.WriteString(conn, text)
		_, _ = conn.Read(make([]byte, 1))
		return "", false
	}
}

// Guards against streams that are cut although their upstream only paused: the silent answer was
// given up before another upstream continued it.
func TestSilentStreamIsNotGivenUpBeforeItsSuccessorIsCertain(t *testing.T) {
	head := fmt.Sprintf(streamHead, "p")
	successors := map[string]script{
		"refuses":                     alwaysAnswer(answer(503, "full", "Test-Refused: 1")),
		"fails":                       alwaysAnswer(answer(500, "failed")),
		"breaks without an answer":    func(*http.Request, string, net.Conn) (string, bool) { return "", false },
		"breaks before its event":     func(*http.Request, string, net.Conn) (string, bool) { return head, false },
		"breaks inside its event":     func(*http.Request, string, net.Conn) (string, bool) { return head + chunk("id: 2\nda"), false },
		"falls silent, too":           waitForClose(""),
		"falls silent before events":  waitForClose(head),
		"repeats events":              alwaysAnswer(head + chunk(event(1)+event(2)) + "0\r\n\r\n"),
		"skips events":                alwaysAnswer(head + chunk(event(4)) + "0\r\n\r\n"),
		"accepts no connection":       nil,
		"is not an upstream's answer": alwaysAnswer("HTTP/1.1 200 X\r\nTest-Id: r1\r\nContent-Length: 0\r\n\r\n"),
	}
	for name, successor := range successors {
		for _, before := range []int{0, 1, 3} {
			if before == 0 && (name == "skips events" || name == "repeats events") {
				// Nothing was passed on that its events could repeat or skip.
				continue
			}
			assertStreamOutlastsSuccessor(t, fmt.Sprintf("successor %s, silent after %d events", name, before), successor, before)
		}
	}
}

// assertStreamOutlastsSuccessor plays a stream whose upstream pauses after a number of events,
// and whose successor does not continue it; nil accepts no connection.
func assertStreamOutlastsSuccessor(t *testing.T, name string, successor script, before int) {
	pause := soundPause
	if before == 0 {
		pause += unknownStartTimeout
	}
	runs := 0
	upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
		if runs++; runs == 1 {
			return pausingStream(before, pause)(req, body, conn)
		}
		return successor(req, body, conn)
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		dials := 0
		h.dialError = func(string) error {
			if dials++; dials > 1 && successor == nil {
				return errors.New("no route to host")
			}
			return nil
		}
		resp, body, err := h.call("POST", "/stream/x", "prompt")
		assert.NoError(t, err, name)
		assert.Equal(t, 200, resp.StatusCode, name)
		assert.Equal(t, event(1)+event(2)+event(3)+event(4), body, name)
		<-time.After(2 * pause)
		h.assertNothingInFlight(name)
	})
}

// assertNothingInFlight checks that no request and no slot is left.
func (h *harness) assertNothingInFlight(name string) {
	synctest.Wait()
	assert.Zero(h.t, h.entry.inFlight.Load(), name)
	for _, s := range h.entry.placer.targets {
		assert.Zero(h.t, s.ownRequests, "slots at %s, %s", s.target.ID, name)
	}
}

// Guards against streams that are cut while the configuration changes in the pause of their
// upstream.
func TestStreamOutlastsPauseBesideConfigurationChange(t *testing.T) {
	changes := map[string]func(v *attach.View){
		"another version": func(*attach.View) {},
		"route removed":   func(v *attach.View) { v.Document.Routes = v.Document.Routes[:1] },
		"service removed": func(v *attach.View) { v.Document.Routes, v.Document.Services, v.Targets = nil, nil, nil },
		"account removed": func(v *attach.View) { v.Document.Accounts[0].Keys = []string{"other"} },
	}
	for name, change := range changes {
		runs := 0
		upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
			if runs++; runs == 1 {
				return pausingStream(1, soundPause)(req, body, conn)
			}
			return answer(503, "full", "Test-Refused: 1"), true
		}
		inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
			go func() {
				for version := uint64(2); version < 6; version++ {
					<-time.After(300 * time.Millisecond)
					v := &attach.View{Document: testDocument(t), Targets: h.view.Targets}
					v.Document.Version = version
					change(v)
					assert.NoError(t, v.Document.Index())
					h.view = v
					h.entry.UpdateView(v)
				}
			}()
			_, body, err := h.call("POST", "/stream/x", "prompt")
			assert.NoError(t, err, name)
			assert.Equal(t, event(1)+event(2)+event(3)+event(4), body, name)
			<-time.After(2 * soundPause)
		})
	}
}

// taggedEvents are the events from one number to another of a run, whose data names the run.
func taggedEvents(run string, from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", id, run)
	}
	return text
}

// pauseBesideSuccessor is a pause of a stream's upstream, after which it goes on or breaks, and
// the time that its successor takes to the next event.
type pauseBesideSuccessor struct {
	pause, delay time.Duration
	breaks       bool
}

// Guards against a stream that is made up of both runs, or cut, when the silent upstream and its
// successor send their next events at any distance of time.
func TestStreamIsContinuedByFirstOfSilentUpstreamAndSuccessor(t *testing.T) {
	for _, pause := range []time.Duration{eventGapTimeout + 50*time.Millisecond, eventGapTimeout + 300*time.Millisecond, soundPause} {
		for _, delay := range []time.Duration{0, 50 * time.Millisecond, 295 * time.Millisecond, 310 * time.Millisecond, time.Second} {
			for _, breaks := range []bool{false, true} {
				pauseBesideSuccessor{pause, delay, breaks}.play(t)
			}
		}
	}
}

func (p pauseBesideSuccessor) play(t *testing.T) {
	const events = 4
	head, runs := fmt.Sprintf(streamHead, "p"), 0
	upstream := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		if runs++; runs > 1 {
			<-time.After(p.delay)
			return head + chunk(taggedEvents("second", 2, events)) + "0\r\n\r\n", true
		}
		_, _ = io.WriteString(conn, head+chunk(taggedEvents("first", 1, 1)))
		<-time.After(p.pause)
		if p.breaks {
			return "", false
		}
		return chunk(taggedEvents("first", 2, events)) + "0\r\n\r\n", true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		name := fmt.Sprintf("%+v", p)
		assert.NoError(t, err, name)
		begun := taggedEvents("first", 1, 1)
		assert.Contains(t, []string{begun + taggedEvents("first", 2, events), begun + taggedEvents("second", 2, events)}, body, name)
		if p.breaks || eventGapTimeout+p.delay+successorPollInterval < p.pause {
			assert.Contains(t, body, "second", name)
		}
		if !p.breaks && p.pause < eventGapTimeout+p.delay {
			assert.NotContains(t, body, "second", name)
		}
		<-time.After(2 * soundPause)
		h.assertNothingInFlight(name)
		assert.Equal(t, 2, runs, name)
	})
}

// Guards against a successor that goes on after its caller has left.
func TestSuccessorEndsWithItsCaller(t *testing.T) {
	var ended chan struct{}
	runs := 0
	upstream := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		if runs++; runs == 1 {
			return waitForClose(fmt.Sprintf(streamHead, "p")+chunk(event(1)))(nil, "", conn)
		}
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return "", false
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		ended = make(chan struct{})
		conn := h.open()
		h.send(conn, "POST", "/stream/x", "prompt")
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		<-time.After(unknownStartTimeout + 2*eventGapTimeout)
		synctest.Wait()
		assert.Equal(t, 2, runs)
		_ = conn.Close()
		<-ended
		<-time.After(time.Second)
		assert.Zero(t, h.entry.inFlight.Load())
	})
}
