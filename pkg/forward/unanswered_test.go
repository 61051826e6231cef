package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fault"
)

// slowAnswer is an upstream that takes a time for its answer.
func slowAnswer(took time.Duration, text string) script {
	return func(*http.Request, string, net.Conn) (string, bool) {
		<-time.After(took)
		return text, true
	}
}

// begins is an upstream that sends the beginning of an answer, and the rest after a time.
func begins(beginning string, pause time.Duration, rest string) script {
	return func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		if _, err := io.WriteString(conn, beginning); err != nil {
			return "", false
		}
		<-time.After(pause)
		return rest, true
	}
}

// changedView is the view of a later configuration.
func (h *harness) changedView(change func(v *attach.View)) {
	v := &attach.View{Document: testDocument(h.t), Targets: append([]attach.Target(nil), h.view.Targets...)}
	v.Document.Version = h.view.Document.Version + 1
	change(v)
	require.NoError(h.t, v.Document.Index())
	h.view = v
	h.entry.UpdateView(v)
}

// configurationChanges are the changes that must not touch a request that was read before.
var configurationChanges = map[string]func(v *attach.View){
	"another version": func(*attach.View) {},
	"route removed":   func(v *attach.View) { v.Document.Routes = v.Document.Routes[:1] },
	"route moved to another service": func(v *attach.View) {
		v.Document.Services["other"] = &document.Service{Name: "other"}
		for i := range v.Document.Routes {
			v.Document.Routes[i].Services = []document.WeightedService{{Service: "other", Weight: 1}}
		}
	},
	"account removed": func(v *attach.View) { v.Document.Accounts = nil },
	"key removed":     func(v *attach.View) { v.Document.Accounts[0].Keys = []string{"other"} },
	"key moved":       func(v *attach.View) { v.Document.Accounts[0].Name = "university" },
	"service and upstreams removed": func(v *attach.View) {
		v.Document.Services, v.Document.Routes = nil, nil
		v.Targets = nil
	},
	"upstreams replaced": func(v *attach.View) {
		for i := range v.Targets {
			v.Targets[i].ID += "new"
		}
	},
	"upstreams restarted": func(v *attach.View) {
		for i := range v.Targets {
			v.Targets[i].StartTime++
		}
	},
}

const runTime = time.Second

// Guards against requests that a change of the configuration cuts while an upstream works on
// them.
func TestRequestInFlightOutlastsConfigurationChange(t *testing.T) {
	head := "HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: p\r\nContent-Length: 4\r\n\r\n"
	stream := fmt.Sprintf(streamHead, "p")
	events := chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"
	stages := map[string]struct {
		target   string
		upstream script
		body     string
	}{
		"before its answer":            {"/once/x", slowAnswer(runTime, answer(200, "text")), "text"},
		"before a repeatable answer":   {"/repeat/x", slowAnswer(runTime, answer(200, "text")), "text"},
		"in its answer":                {"/once/x", begins(head+"te", runTime, "xt"), "text"},
		"before its stream":            {"/stream/x", slowAnswer(runTime, stream+events), event(1) + event(2)},
		"before its first event":       {"/stream/x", begins(stream, runTime, events), event(1) + event(2)},
		"in its stream":                {"/stream/x", begins(stream+chunk(event(1)), eventGapTimeout/2, chunk(event(2))+"0\r\n\r\n"), event(1) + event(2)},
		"before the end of its stream": {"/stream/x", begins(stream+chunk(event(1))+chunk(event(2)), eventGapTimeout/2, "0\r\n\r\n"), event(1) + event(2)},
	}
	for name, change := range configurationChanges {
		for stage, s := range stages {
			t.Run(name+"/"+stage, func(t *testing.T) {
				inBubble(t, map[string]script{"a:1": s.upstream}, func(h *harness) {
					conn := h.open()
					defer func() { _ = conn.Close() }()
					h.send(conn, "POST", s.target, "text")
					<-time.After(eventGapTimeout / 4)
					synctest.Wait()
					h.changedView(change)
					resp, body, err := h.receive(conn)
					require.NoError(t, err)
					assert.Equal(t, 200, resp.StatusCode)
					assert.Equal(t, s.body, body)
					synctest.Wait()
					h.assertNothingHeld()
				})
			})
		}
	}
}

// Guards against requests that neither run nor get a refusal because the configuration changed
// while they waited for a target.
func TestWaitingRequestIsAnsweredAfterConfigurationChange(t *testing.T) {
	for name, change := range configurationChanges {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": slowAnswer(runTime/4, answer(200, "text"))}, func(h *harness) {
				h.view.Targets[0].Slots = 1
				h.entry.UpdateView(h.view)
				first, second := h.open(), h.open()
				defer func() { _, _ = first.Close(), second.Close() }()
				h.send(first, "POST", "/once/x", "first")
				synctest.Wait()
				h.send(second, "POST", "/once/x", "second")
				synctest.Wait()
				require.Len(t, h.entry.waiters, 1)
				h.changedView(change)
				resp, _, err := h.receive(first)
				require.NoError(t, err)
				assert.Equal(t, 200, resp.StatusCode)
				resp, _, err = h.receive(second)
				require.NoError(t, err)
				if resp.StatusCode == http.StatusServiceUnavailable {
					assert.Equal(t, string(fault.NotRun), resp.Header.Get(fault.OutcomeHeader))
					assert.Len(t, h.received, 1, "it was not sent")
				} else {
					assert.Equal(t, 200, resp.StatusCode)
				}
				synctest.Wait()
				h.assertNothingHeld()
			})
		})
	}
}

const answerHead = "HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: p\r\nContent-Length: 4\r\n\r\n"

// unanswered is a way in which a request gets no answer from an upstream, and what its caller must
// get instead: a status with an outcome, or a cut-off answer where it has begun.
type unanswered struct {
	name, target string
	upstream     script
	status       int
	outcome      fault.Outcome
}

// silentEndings are requests whose upstream answers no more.
func silentEndings(timedOut int) []unanswered {
	head := fmt.Sprintf(streamHead, "p")
	return []unanswered{
		{"no answer", "/once/x", waitForClose(""), timedOut, fault.Unknown},
		{"no answer to a repeatable request", "/repeat/x", waitForClose(""), timedOut, fault.Unknown},
		{"part of an answer", "/once/x", waitForClose(answerHead + "te"), timedOut, fault.Unknown},
		{"part of a repeatable answer", "/repeat/x", waitForClose(answerHead + "te"), timedOut, fault.Unknown},
		{"no stream", "/stream/x", waitForClose(""), timedOut, fault.Unknown},
		{"no event", "/stream/x", waitForClose(head), timedOut, fault.Unknown},
		{"part of an event", "/stream/x", waitForClose(head + chunk("id: 1\nda")), timedOut, fault.Unknown},
		{"part of a stream", "/stream/x", waitForClose(head + chunk(event(1))), 200, ""},
	}
}

// check asserts that a caller gets what the ending states.
func (e *unanswered) check(h *harness, conn net.Conn) {
	resp, body, err := h.receive(conn)
	assert.Equal(h.t, e.status, resp.StatusCode)
	if e.status == http.StatusOK {
		assert.ErrorIs(h.t, err, io.ErrUnexpectedEOF, "it must not look complete")
		assert.Equal(h.t, event(1), body)
		return
	}
	assert.NoError(h.t, err)
	assert.Equal(h.t, string(e.outcome), resp.Header.Get(fault.OutcomeHeader))
	assert.NotEmpty(h.t, body)
	assert.Equal(h.t, e.outcome == fault.NotRun, resp.Header.Get("Retry-After") != "", "only what never ran is sent again")
}

// occupied is an entry's only upstream with one slot, which a request occupies until the
// returned function is called.
func (h *harness) occupied() (release func()) {
	h.view.Targets[0].Slots = 1
	h.entry.UpdateView(h.view)
	first := h.open()
	h.send(first, "POST", "/once/x", "first")
	synctest.Wait()
	require.Len(h.t, h.received, 1)
	return func() { _ = first.Close() }
}

// Guards against requests whose caller learns nothing at its deadline.
func TestRequestAtItsDeadlineIsAnswered(t *testing.T) {
	const left = 700 * time.Millisecond
	for _, e := range silentEndings(http.StatusGatewayTimeout) {
		t.Run(e.name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": e.upstream}, func(h *harness) {
				conn, began := h.open(), time.Now()
				defer func() { _ = conn.Close() }()
				h.send(conn, "POST", e.target, "text", "Test-Left: 700")
				e.check(h, conn)
				assert.LessOrEqual(t, time.Since(began), left+100*time.Millisecond)
			})
		})
	}
	t.Run("waiting", func(t *testing.T) {
		inBubble(t, map[string]script{"a:1": waitForClose("")}, func(h *harness) {
			defer h.occupied()()
			conn, began := h.open(), time.Now()
			defer func() { _ = conn.Close() }()
			h.send(conn, "POST", "/repeat/x", "text", "Test-Left: 700")
			(&unanswered{status: http.StatusServiceUnavailable, outcome: fault.NotRun}).check(h, conn)
			assert.LessOrEqual(t, time.Since(began), left)
			assert.Len(t, h.received, 1, "it was not sent")
		})
	})
}

// Guards against requests whose caller learns nothing when their upstream ends or leaves.
func TestRequestWhoseUpstreamEndsIsAnswered(t *testing.T) {
	breaks := func(text string) script {
		return func(*http.Request, string, net.Conn) (string, bool) { return text, false }
	}
	head := fmt.Sprintf(streamHead, "p")
	endings := []unanswered{
		{"before its answer", "/once/x", breaks(""), 502, fault.Unknown},
		{"before a repeatable answer", "/repeat/x", breaks(""), 502, fault.Unknown},
		{"in its answer", "/once/x", breaks(answerHead + "te"), 502, fault.Unknown},
		{"in a repeatable answer", "/repeat/x", breaks(answerHead + "te"), 502, fault.Unknown},
		{"before its stream", "/stream/x", breaks(""), 502, fault.Unknown},
		{"before its first event", "/stream/x", breaks(head), 502, fault.Unknown},
		{"in its first event", "/stream/x", breaks(head + chunk("id: 1\nda")), 502, fault.Unknown},
		{"in its stream", "/stream/x", breaks(head + chunk(event(1))), 200, ""},
		{"by refusing it", "/once/x", breaks(answer(503, "full", "Test-Refused: 1")), 503, fault.NotRun},
		{"by refusing its stream", "/stream/x", breaks(answer(503, "full", "Test-Refused: 1")), 503, fault.NotRun},
	}
	for _, e := range endings {
		for _, upstreams := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, one of %d", e.name, upstreams), func(t *testing.T) {
				all := map[string]script{"a:1": e.upstream, "b:1": e.upstream}
				if upstreams == 1 {
					delete(all, "b:1")
				}
				inBubble(t, all, func(h *harness) {
					conn := h.open()
					defer func() { _ = conn.Close() }()
					h.send(conn, "POST", e.target, "text")
					e.check(h, conn)
					synctest.Wait()
					h.assertNothingHeld()
				})
			})
		}
	}
	t.Run("no connection", func(t *testing.T) {
		inBubble(t, map[string]script{"a:1": nil, "b:1": nil}, func(h *harness) {
			h.dialError = func(string) error { return errors.New("no route to host") }
			conn := h.open()
			defer func() { _ = conn.Close() }()
			h.send(conn, "POST", "/once/x", "text")
			(&unanswered{status: 503, outcome: fault.NotRun}).check(h, conn)
		})
	})
	t.Run("all removed while it waits", func(t *testing.T) {
		inBubble(t, map[string]script{"a:1": waitForClose("")}, func(h *harness) {
			defer h.occupied()()
			conn := h.open()
			defer func() { _ = conn.Close() }()
			h.send(conn, "POST", "/once/x", "text")
			synctest.Wait()
			h.changedView(func(v *attach.View) { v.Targets = nil })
			(&unanswered{status: 503, outcome: fault.NotRun}).check(h, conn)
			assert.Len(t, h.received, 1, "it was not sent")
		})
	})
	t.Run("refused and then removed", func(t *testing.T) {
		inBubble(t, map[string]script{"a:1": slowAnswer(runTime/4, answer(503, "full", "Test-Refused: 1"))}, func(h *harness) {
			conn := h.open()
			defer func() { _ = conn.Close() }()
			h.send(conn, "POST", "/once/x", "text")
			synctest.Wait()
			h.changedView(func(v *attach.View) { v.Targets = nil })
			(&unanswered{status: 503, outcome: fault.NotRun}).check(h, conn)
		})
	})
}

// finishing stops the entry within a grace period. It returns the connection of a caller that was
// open before, and the number of requests that are left at the end.
func (h *harness) finishing(grace time.Duration, send func(conn net.Conn)) (caller net.Conn, left <-chan int) {
	listener := &chanListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	go func() { _ = h.entry.Serve(disconnect.WrapListener(listener)) }()
	caller, server := net.Pipe()
	listener.conns <- server
	send(caller)
	synctest.Wait()
	h.entry.BeginStop(time.Now().Add(grace), time.Now().Add(grace))
	unfinished := make(chan int, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		unfinished <- h.entry.Finish(ctx)
	}()
	return caller, unfinished
}

// Guards against requests that the exit of a stopping process cuts before their answer has begun.
func TestPlannedStopAnswersRequestsThatItCannotFinish(t *testing.T) {
	const grace = 2 * time.Second
	check := func(t *testing.T, h *harness, u *unanswered, headers ...string) {
		began := time.Now()
		conn, left := h.finishing(grace, func(conn net.Conn) { h.send(conn, "POST", u.target, "text", headers...) })
		u.check(h, conn)
		assert.Less(t, time.Since(began), grace, "before the process exits")
		assert.Zero(t, <-left)
		_ = conn.Close()
		h.assertNothingHeld()
		// Lets the idle workers of fasthttp exit.
		<-time.After(time.Minute)
	}
	for _, u := range silentEndings(http.StatusBadGateway) {
		if u.status == http.StatusOK {
			continue
		}
		t.Run(u.name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": u.upstream, "b:1": u.upstream}, func(h *harness) { check(t, h, &u) })
		})
	}
	late := []struct {
		name      string
		upstreams map[string]script
		prepare   func(h *harness) (end func())
	}{
		{"waiting", map[string]script{"a:1": waitForClose("")}, (*harness).occupied},
		{"connecting", map[string]script{"a:1": waitForClose(""), "b:1": waitForClose(""), "c:1": waitForClose(""), "d:1": waitForClose("")}, func(h *harness) func() {
			end := h.occupied()
			h.dialError = func(string) error {
				<-time.After(grace / 8)
				return errors.New("no route to host")
			}
			return end
		}},
	}
	for _, row := range late {
		t.Run(row.name, func(t *testing.T) {
			inBubble(t, row.upstreams, func(h *harness) {
				defer row.prepare(h)()
				sentBefore := len(h.received)
				began := time.Now()
				conn, left := h.finishing(grace, func(net.Conn) {})
				<-time.After(grace - stopReserve - 100*time.Millisecond)
				h.send(conn, "POST", "/repeat/x", "text")
				(&unanswered{status: http.StatusServiceUnavailable, outcome: fault.NotRun}).check(h, conn)
				assert.Less(t, time.Since(began), grace, "before the process exits")
				assert.Len(t, h.received, sentBefore, "it was not sent")
				_ = conn.Close()
				<-left
				<-time.After(time.Minute)
			})
		})
	}
}

// Guards against cutting a stream before the end of a planned stop, with the requests whose
// answer has not begun.
func TestPlannedStopLetsBegunStreamContinue(t *testing.T) {
	const grace = 2 * time.Second
	upstream := begins(fmt.Sprintf(streamHead, "p")+chunk(event(1)), grace-refusalTime/3, chunk(event(2))+"0\r\n\r\n")
	inBubble(t, map[string]script{"a:1": upstream}, func(h *harness) {
		conn, left := h.finishing(grace, func(conn net.Conn) { h.send(conn, "POST", "/stream/x", "text") })
		resp, body, err := h.receive(conn)
		require.NoError(t, err)
		assert.Equal(t, 200, resp.StatusCode)
		assert.Equal(t, event(1)+event(2), body)
		assert.Zero(t, <-left)
		_ = conn.Close()
		<-time.After(time.Minute)
	})
}

// Guards against requests that are sent on, and cut, while the process exits: its connections
// stay open after the last request was answered.
func TestStoppedEntrySendsNothingOn(t *testing.T) {
	const grace = 5 * time.Second
	inBubble(t, map[string]script{"a:1": slowAnswer(runTime, answer(200, "text"))}, func(h *harness) {
		conn, left := h.finishing(grace, func(net.Conn) {})
		assert.Zero(t, <-left)
		h.send(conn, "POST", "/once/x", "text")
		(&unanswered{status: http.StatusServiceUnavailable, outcome: fault.NotRun}).check(h, conn)
		assert.Empty(t, h.received)
		_ = conn.Close()
		<-time.After(time.Minute)
	})
}

// Guards against a process that exits while it writes an answer to a caller that reads slowly.
func TestPlannedStopWaitsForAnswerToBeWritten(t *testing.T) {
	const grace, pause = 5 * time.Second, 2 * time.Second
	stream := fmt.Sprintf(streamHead, "p") + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"
	for target, text := range map[string]string{"/once/x": answer(200, "text"), "/stream/x": stream, "/nowhere/": "", "/repeat/x": answer(500, "failed")} {
		t.Run(target, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": alwaysAnswer(text)}, func(h *harness) {
				conn, left := h.finishing(grace, func(conn net.Conn) { h.send(conn, "POST", target, "text") })
				<-time.After(pause)
				select {
				case <-left:
					t.Error("stopped before the answer was written")
				default:
				}
				_, _, err := h.receive(conn)
				require.NoError(t, err)
				_ = conn.Close()
				<-time.After(time.Minute)
			})
		})
	}
}

// Guards against streams that end because the configuration changed while they waited to be
// resumed. Where all upstreams are removed the stream ends, and must not look complete.
func TestStreamIsResumedAfterConfigurationChange(t *testing.T) {
	const breakAfter, busyFor = 100 * time.Millisecond, 300 * time.Millisecond
	stream := fmt.Sprintf(streamHead, "p")
	rest := stream + chunk(event(2)) + "0\r\n\r\n"
	broken := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		if req.Header.Get("Last-Event-Id") != "" {
			return rest, true
		}
		_, _ = io.WriteString(conn, stream+chunk(event(1)))
		<-time.After(breakAfter)
		return "", false
	}
	busy := func(req *http.Request, body string, conn net.Conn) (string, bool) {
		if req.Header.Get("Last-Event-Id") != "" {
			return rest, true
		}
		return slowAnswer(busyFor, answer(200, "first"))(req, body, conn)
	}
	for name, change := range configurationChanges {
		t.Run(name, func(t *testing.T) {
			inBubble(t, map[string]script{"a:1": waitForClose("")}, func(h *harness) {
				target := h.view.Targets[0]
				target.Slots = 1
				h.upstreams = map[string]script{"a:1": broken, "b:1": busy}
				useOnly := func(address string) {
					target.ID, target.Address = address, address
					h.view.Targets = append(h.view.Targets, target)
					h.entry.UpdateView(h.view)
				}
				h.view.Targets = nil
				useOnly("b:1")
				first, second := h.open(), h.open()
				defer func() { _, _ = first.Close(), second.Close() }()
				h.send(first, "POST", "/once/x", "first")
				synctest.Wait()
				useOnly("a:1")
				h.send(second, "POST", "/stream/x", "second")
				go func() {
					<-time.After(2 * breakAfter)
					synctest.Wait()
					assert.Len(h.t, h.entry.waiters, 1, "it waits to be resumed")
					h.changedView(change)
				}()
				resp, body, err := h.receive(second)
				assert.Equal(h.t, 200, resp.StatusCode)
				if len(h.view.Targets) == 0 {
					assert.ErrorIs(h.t, err, io.ErrUnexpectedEOF)
					assert.Equal(h.t, event(1), body)
				} else {
					require.NoError(h.t, err)
					assert.Equal(h.t, event(1)+event(2), body)
				}
				resp, _, err = h.receive(first)
				require.NoError(h.t, err)
				assert.Equal(h.t, 200, resp.StatusCode)
				h.assertNothingHeld()
			})
		})
	}
}
