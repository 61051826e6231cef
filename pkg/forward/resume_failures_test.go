package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/document"
)

func streamWithLength(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Signature: p\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

// When a resumption is rejected for its first event, the log line must state whether this
// send, not the one before, used a reused connection.
func TestRejectedResumptionLogsItsOwnConnection(t *testing.T) {
	runs := 0
	upstream := func(_ *http.Request, _ string, _ net.Conn) (string, bool) {
		if runs++; runs == 1 {
			return fmt.Sprintf(streamHead, "p") + chunk(event(1)+event(2)), false
		}
		return streamWithLength("r1", event(2)+event(3)), true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		_, _, err := h.call("POST", "/stream/x", "prompt")
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, 2, runs)
		for line := range strings.SplitSeq(h.log.String(), "\n") {
			if strings.Contains(line, "event=send_failed") && strings.Contains(line, "send=2") {
				assert.Contains(t, line, "reused=false", "each send had a new connection")
				return
			}
		}
		assert.Fail(t, "no send_failed line for send 2", h.log.String())
	})
}

// A stream that falls silent after the data of a chunk but before its line break must be
// detected as silent and resumed.
func TestSilentStreamAfterPartialChunkIsResumed(t *testing.T) {
	for name, part := range map[string]string{
		"inside an event": event(1) + event(2) + "id: 3\nda", "between events": event(1) + event(2), "in the size of a chunk": event(1),
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
				if runs++; runs > 1 {
					return resumedStreamAnswer(req, 4), true
				}
				wire := strings.TrimSuffix(chunk(part), "\r\n")
				if name == "in the size of a chunk" {
					wire = chunk(part) + "1"
				}
				_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+wire)
				_, _ = conn.Read(make([]byte, 1))
				return "", false
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				began := time.Now()
				_, body, err := h.call("POST", "/stream/x", "prompt")
				assert.NoError(t, err)
				assert.Equal(t, event(1)+event(2)+event(3)+event(4), body)
				assert.Less(t, time.Since(began), unknownStartTimeout+eventGapTimeout)
			})
		})
	}
}

// Guards against a leaked slot: an answer to HEAD has no body whose end could release it.
func TestHeadOnStreamRouteReleasesSlot(t *testing.T) {
	for _, answer := range []string{fmt.Sprintf(streamHead, "p"), streamWithLength("r1", ""), unframedHead} {
		inBubble(t, map[string]script{"a:1": alwaysAnswer(answer)}, func(h *harness) {
			conn := h.open()
			h.send(conn, "HEAD", "/stream/x", "")
			resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodHead})
			if assert.NoError(t, err) {
				assert.Equal(t, 200, resp.StatusCode)
				_ = resp.Body.Close()
			}
			<-time.After(time.Second)
			synctest.Wait()
			assert.Zero(t, h.entry.inFlight.Load())
			_ = conn.Close()
		})
	}
}

// The body must be passed on byte for byte, including bytes after the last event.
func TestBytesAfterLastEventArePassedOn(t *testing.T) {
	for _, tail := range []string{"\n", " ", "\n\n", ": end\n\n"} {
		inBubble(t, map[string]script{"a:1": alwaysAnswer(fmt.Sprintf(streamHead, "p") + chunk(event(1)) + chunk(tail) + "0\r\n\r\n")}, func(h *harness) {
			_, body, err := h.call("POST", "/stream/x", "prompt")
			assert.NoError(t, err)
			assert.Equal(t, event(1)+tail, body)
		})
	}
}

// On a route that may not be resumed, a broken stream must pass on whole events only and must
// not end as if it were complete.
func TestNonResumableStreamPassesOnWholeEventsOnly(t *testing.T) {
	sent := event(1) + event(2)
	for endName := range streamEnds {
		for cut := range len(sent) + 1 {
			part, runs := sent[:cut], 0
			upstream := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
				runs++
				streamEnds[endName](part, conn)
				return "", false
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				h.view.Document.Routes = slices.Clone(h.view.Document.Routes)
				h.view.Document.Routes[3].Idempotency = document.AtMostOnce
				assert.NoError(t, h.view.Document.Index())
				h.entry.UpdateView(h.view)
				resp, body, err := h.call("POST", "/stream/x", "prompt")
				assert.Equal(t, 1, runs)
				wholeEvents := part[:strings.LastIndex("\n\n"+part, "\n\n")]
				if resp.StatusCode != http.StatusOK {
					assert.Empty(t, wholeEvents, "%s, truncated at byte %d", endName, cut)
					return
				}
				assert.Equal(t, wholeEvents, body, "%s, truncated at byte %d", endName, cut)
				if !regularEnds[endName] || wholeEvents != part {
					assert.Error(t, err, "%s, truncated at byte %d", endName, cut)
				}
				<-time.After(6 * time.Second)
				synctest.Wait()
				assert.Zero(t, h.entry.inFlight.Load())
			})
		}
	}
}

// Guards against a data race: a second stream uses the upstream connection while a slow caller
// has not yet read the end of the stream before it. Run with -race.
func TestSlowCallersOnReusedUpstreamConnection(t *testing.T) {
	upstream := func(req *http.Request, _ string, _ net.Conn) (string, bool) {
		return streamWithLength(req.Header.Get("Test-Id"), event(1)), true
	}
	inBubble(t, map[string]script{"a:1": upstream}, func(h *harness) {
		h.received, h.headers = make(chan string, 4096), make(chan http.Header, 4096)
		var wg sync.WaitGroup
		for range 20 {
			first := h.open()
			h.send(first, "POST", "/stream/x", "prompt")
			synctest.Wait()
			// The first answer is not read by its caller yet, but its upstream connection is free.
			second := h.open()
			h.send(second, "POST", "/stream/x", "prompt")
			for _, conn := range []net.Conn{first, second} {
				wg.Go(func() {
					_, body, err := h.receive(conn)
					assert.NoError(t, err)
					assert.Equal(t, event(1), body)
				})
			}
		}
		wg.Wait()
	})
}

// When the retry budget is exhausted during a resumption, the stream must not end as if it
// were complete.
func TestRetryBudgetExhaustedDuringResumption(t *testing.T) {
	upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		after := 0
		_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &after)
		return fmt.Sprintf(streamHead, "p") + chunk(event(after+1)+"id: "), false
	}
	scripts := map[string]script{"a:1": upstream, "b:1": upstream, "c:1": upstream, "d:1": upstream}
	inBubble(t, scripts, func(h *harness) {
		h.view.Document.Routes[3].MaxAttempts = 4
		assert.NoError(t, h.view.Document.Index())
		h.entry.UpdateView(h.view)
		h.entry.mu.Lock()
		for h.entry.retryBudget.Left(boottime.Now(), "desk") > 1 {
			h.entry.retryBudget.Spend(boottime.Now(), "desk")
		}
		h.entry.mu.Unlock()
		_, body, err := h.call("POST", "/stream/x", "prompt")
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, event(1)+event(2), body)
		synctest.Wait()
		assert.Zero(t, h.entry.inFlight.Load())
		assert.Regexp(t, `event=stream_not_resumed .*budget_exhausted=true`, h.log.String())
		assert.Equal(t, 1, strings.Count(h.log.String(), "event=retry_budget_exhausted"), "logged once while it is exhausted")
	})
}

// On a reused connection, an answer without a request ID may be trailing bytes of the answer
// before it and must not be passed on.
func TestAnswerWithoutRequestIDOnReusedConnection(t *testing.T) {
	var conns []net.Conn
	upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		if conns = append(conns, conn); len(conns) == 2 {
			return strings.Replace(streamWithLength("", "id: 1\ndata: another's\n\n"), "Test-Id: \r\n", "", 1), true
		}
		return streamWithLength(req.Header.Get("Test-Id"), event(1)), true
	}
	inBubble(t, map[string]script{"a:1": upstream}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		assert.NoError(t, err)
		assert.Equal(t, event(1), body)
		_, body, _ = h.call("POST", "/stream/x", "prompt")
		assert.Same(t, conns[0], conns[1], "the connection is reused")
		assert.NotContains(t, body, "another's")
	})
}

// A panic while an answer is written must release the slot and the in-flight count.
func TestPanicWhileWritingAnswerReleasesRequest(t *testing.T) {
	upstream := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)))
		_, _ = conn.Read(make([]byte, 1))
		return "", false
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		conn := h.open()
		h.send(conn, "POST", "/stream/x", "prompt")
		reader := bufio.NewReader(conn)
		synctest.Wait()
		// Without a retry budget the entry panics.
		h.entry.mu.Lock()
		h.entry.retryBudget = nil
		h.entry.mu.Unlock()
		resp, err := http.ReadResponse(reader, nil)
		if assert.NoError(t, err) {
			_, err = io.ReadAll(resp.Body)
			assert.Error(t, err)
			_ = resp.Body.Close()
		}
		<-time.After(10 * time.Second)
		synctest.Wait()
		assert.Zero(t, h.entry.inFlight.Load(), "requests in flight")
		assert.Contains(t, h.log.String(), "request_id=r1", "the log names the request")
	})
}

// A comment before the first event of a resumption must not cause its rejection.
func TestCommentBeforeValidResumption(t *testing.T) {
	runs := 0
	upstream := func(_ *http.Request, _ string, _ net.Conn) (string, bool) {
		if runs++; runs == 1 {
			return fmt.Sprintf(streamHead, "p") + chunk(": warm\n\n"+event(1)+event(2)), false
		}
		return fmt.Sprintf(streamHead, "p") + chunk(": warm\n\n") + chunk(event(3)) + "0\r\n\r\n", true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		assert.NoError(t, err)
		assert.Equal(t, ": warm\n\n"+event(1)+event(2)+": warm\n\n"+event(3), body)
	})
}

// A resumption whose answer is for another request, unsigned, encoded or not a success must
// not be spliced into the stream, and a further send must still resume it.
func TestInvalidAnswerToResumptionIsSkipped(t *testing.T) {
	for name, second := range map[string]string{
		"status":   strings.Replace(streamWithLength("r1", event(2)+event(3)), "200", "404", 1),
		"unsigned": strings.Replace(streamWithLength("r1", event(2)+event(3)), "Test-Signature: p\r\n", "", 1),
		"encoded":  strings.Replace(streamWithLength("r1", event(2)+event(3)), "Test-Signature", "Content-Encoding: gzip\r\nTest-Signature", 1),
		"crossed":  streamWithLength("r0", event(2)+event(3)),
		"refused":  strings.Replace(streamWithLength("r1", event(2)), "Test-Signature", "Test-Refused: 1\r\nTest-Signature", 1),
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			upstream := func(req *http.Request, _ string, _ net.Conn) (string, bool) {
				switch runs++; runs {
				case 1:
					return fmt.Sprintf(streamHead, "p") + chunk(event(1)+"id: "), false
				case 2:
					return second, true
				default:
					return resumedStreamAnswer(req, 4), true
				}
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream, "c:1": upstream}, func(h *harness) {
				h.view.Document.Routes[3].MaxAttempts = 3
				assert.NoError(t, h.view.Document.Index())
				h.entry.UpdateView(h.view)
				_, body, err := h.call("POST", "/stream/x", "prompt")
				assert.NoError(t, err)
				assert.Equal(t, event(1)+event(2)+event(3)+event(4), body)
				assert.Equal(t, 3, runs)
			})
		})
	}
}

// A stream had begun and broke off, and the next upstream answered with an error: its text or head was appended to the
// stream, or the stream ended as if it were complete.
func TestErrorOfNextUpstreamIsNoPartOfBegunStream(t *testing.T) {
	for name, second := range map[string]string{
		"server error":   answer(500, "out of memory\n\n"),
		"client error":   answer(400, "bad prompt\n\n"),
		"refusal":        answer(503, "full\n\n", "Test-Refused: 1"),
		"truncated head": "HTTP/1.1 500 Internal",
		"head in a body": answer(500, "HTTP/1.1 200 OK\r\n\r\n"+event(2)),
	} {
		t.Run(name, func(t *testing.T) {
			runs := 0
			upstream := func(*http.Request, string, net.Conn) (string, bool) {
				if runs++; runs == 1 {
					return fmt.Sprintf(streamHead, "p") + chunk(event(1)), false
				}
				return second, false
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream, "c:1": upstream}, func(h *harness) {
				_, body, err := h.call("POST", "/stream/x", "prompt")
				assert.Error(t, err, "the stream must not look complete")
				assert.Equal(t, event(1), body)
				assert.Greater(t, runs, 1)
			})
		})
	}
}

// Guards against unbounded buffering of an event that never ends; the events before it must
// be passed on.
func TestUnterminatedEventIsBounded(t *testing.T) {
	runs := 0
	upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		if runs++; runs > 1 {
			return resumedStreamAnswer(req, 4), true
		}
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk(event(1)+"id: 2\ndata: "))
		for range 1024 {
			if _, err := io.WriteString(conn, chunk(strings.Repeat("x", 1024))); err != nil {
				return "", false
			}
		}
		return chunk("\n\n") + "0\r\n\r\n", true
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		_, body, err := h.call("POST", "/stream/x", "prompt")
		assert.NoError(t, err)
		assert.Equal(t, event(1)+event(2)+event(3)+event(4), body)
	})
}

// On a route that may not be resumed, the entry must not check the events against the
// caller's Last-Event-Id.
func TestCallersLastEventIDOnNonResumableRoute(t *testing.T) {
	inBubble(t, map[string]script{"a:1": alwaysAnswer(streamWithLength("r1", event(1)+event(2)))}, func(h *harness) {
		h.view.Document.Routes = slices.Clone(h.view.Document.Routes)
		h.view.Document.Routes[3].Idempotency = document.AtMostOnce
		assert.NoError(t, h.view.Document.Index())
		h.entry.UpdateView(h.view)
		_, body, err := h.call("POST", "/stream/x", "prompt", "Last-Event-Id: 7")
		assert.NoError(t, err)
		assert.Equal(t, event(1)+event(2), body)
	})
}

// A stream that falls silent after its first event must be abandoned after the timeout between
// events, not after the longer one for the first event.
func TestSilentStreamIsAbandonedAfterEventTimeout(t *testing.T) {
	runs := 0
	upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		if runs++; runs > 1 {
			return resumedStreamAnswer(req, 3), true
		}
		streamEnds["silent"](event(1), conn)
		return "", false
	}
	inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
		began := time.Now()
		_, body, err := h.call("POST", "/stream/x", "prompt")
		assert.NoError(t, err)
		assert.Equal(t, event(1)+event(2)+event(3), body)
		assert.Less(t, time.Since(began), eventGapTimeout+100*time.Millisecond)
	})
}

// Guards against a partial event completed by bytes of another request: a run breaks while a
// part of an event is buffered, and another request's stream gets its pooled body.
func TestPartialEventIsNotCompletedByOtherStream(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, part := range []string{event(1) + "id: ", event(1) + "id: 2\nda", event(1) + "id: 2\n"} {
		var proceed chan struct{}
		runs := 0
		upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
			if runs++; runs > 1 {
				return strings.Replace(resumedStreamAnswer(req, 4), "Test-Id: r1", "Test-Id: "+req.Header.Get("Test-Id"), 1), true
			}
			streamEnds["closed after the data of a chunk"](part, conn)
			return "", false
		}
		other := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
			_, _ = io.WriteString(conn, strings.Replace(fmt.Sprintf(streamHead, "p"), "r1", "r2", 1)+chunk("id: 1\ndata: other\n\n"))
			<-proceed
			for id := 2; id < 8; id++ {
				_, _ = io.WriteString(conn, chunk(fmt.Sprintf("id: %d\ndata: other\n\n", id)))
				<-time.After(10 * time.Millisecond)
			}
			return "0\r\n\r\n", true
		}
		inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream, "c:1": other}, func(h *harness) {
			proceed = make(chan struct{})
			useTargets := func(addresses ...string) {
				v := *h.view
				v.Targets = lo.Filter(h.view.Targets, func(x attach.Target, _ int) bool { return slices.Contains(addresses, x.Address) })
				h.entry.UpdateView(&v)
			}
			useTargets("a:1", "b:1")
			first := h.open()
			h.send(first, "POST", "/stream/x", "prompt")
			synctest.Wait()
			useTargets("c:1")
			h.requestID = "r2"
			second := h.open()
			h.send(second, "POST", "/stream/x", "prompt")
			synctest.Wait()
			useTargets("a:1", "b:1")
			bodies := make(chan string, 1)
			go func() {
				_, body, err := h.receive(first)
				bodies <- fmt.Sprint(body, err)
			}()
			synctest.Wait()
			close(proceed)
			_, body, err := h.receive(second)
			assert.NoError(t, err)
			want := ""
			for id := 1; id < 8; id++ {
				want += fmt.Sprintf("id: %d\ndata: other\n\n", id)
			}
			assert.Equal(t, want, body)
			assert.Equal(t, fmt.Sprint(event(1)+event(2)+event(3)+event(4), nil), <-bodies)
			assert.Contains(t, logLineOf(h.log.String(), "send_failed"), "request_id=r1")
		})
	}
}
