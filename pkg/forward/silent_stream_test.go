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
			pause := soundPause
			if before == 0 {
				pause += firstEventTimeout
			}
			if before == 0 && (name == "skips events" || name == "repeats events") {
				// Nothing was passed on that its events could repeat or skip.
				continue
			}
			runs := 0
			upstream := func(req *http.Request, body string, conn net.Conn) (string, bool) {
				if runs++; runs == 1 {
					return pausingStream(before, pause)(req, body, conn)
				}
				return successor(req, body, conn)
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				if successor == nil {
					dials := 0
					h.dialError = func(string) error {
						if dials++; dials > 1 {
							return errors.New("no route to host")
						}
						return nil
					}
				}
				resp, body, err := h.call("POST", "/stream/x", "prompt")
				assert.NoError(t, err, "successor %s, silent after %d events", name, before)
				assert.Equal(t, 200, resp.StatusCode, "successor %s, silent after %d events", name, before)
				assert.Equal(t, event(1)+event(2)+event(3)+event(4), body, "successor %s, silent after %d events", name, before)
				<-time.After(2 * pause)
				synctest.Wait()
				assert.Zero(t, h.entry.inFlight.Load())
				for _, s := range h.entry.placer.targets {
					assert.Zero(t, s.ownRequests, "slots at %s", s.target.ID)
				}
			})
		}
	}
}

// Guards against streams that are cut while the configuration changes in the pause of their
// upstream.
func TestStreamOutlastsPauseBesideConfigurationChange(t *testing.T) {
	changes := map[string]func(v *attach.View){
		"another version": func(*attach.View) {},
		"route removed":   func(v *attach.View) { v.Document.Routes = v.Document.Routes[:1] },
		"service removed": func(v *attach.View) { delete(v.Document.Services, "desk"); v.Targets = nil },
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
