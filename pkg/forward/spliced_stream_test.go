package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/attach"
)

const unframedHead = "HTTP/1.1 200 X\r\nTest-Id: r1\r\nTest-Signature: p\r\nContent-Type: text/event-stream\r\n\r\n"

// streamEnds are the ways in which a run can end after a part of its stream. The keys name where
// the upstream closes, falls silent or ends the body.
var streamEnds = map[string]func(part string, conn net.Conn){
	"closed": func(part string, conn net.Conn) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunkUnlessEmpty(part))
	},
	"closed inside a chunk": func(part string, conn net.Conn) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+fmt.Sprintf("%x\r\n%s", 1000, part))
	},
	"closed after the data of a chunk": func(part string, conn net.Conn) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+strings.TrimSuffix(chunkUnlessEmpty(part), "\r\n"))
	},
	"silent": func(part string, conn net.Conn) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunkUnlessEmpty(part))
		_, _ = conn.Read(make([]byte, 1))
	},
	"ended": func(part string, conn net.Conn) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunkUnlessEmpty(part)+"0\r\n\r\n")
	},
	"closed without a length": func(part string, conn net.Conn) {
		_, _ = io.WriteString(conn, unframedHead+part)
	},
	"ended before its length": func(part string, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Replace(unframedHead, "\r\n\r\n", "\r\nContent-Length: 1000\r\n\r\n", 1)+part)
	},
	"ended at its length": func(part string, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.Replace(unframedHead, "\r\n\r\n", fmt.Sprintf("\r\nContent-Length: %d\r\n\r\n", len(part)), 1)+part)
	},
}

// regularEnds are the ways that end a stream regularly unless an event is truncated.
var regularEnds = map[string]bool{"ended": true, "closed without a length": true, "ended at its length": true}

func chunkUnlessEmpty(text string) string {
	if text == "" {
		return ""
	}
	return chunk(text)
}

// resumedStreamAnswer returns a stream of the events after the request's Last-Event-Id, up to last.
func resumedStreamAnswer(req *http.Request, last int) string {
	after := 0
	// Without the header the stream starts with the first event.
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &after)
	text := fmt.Sprintf(streamHead, "p")
	for id := after + 1; id <= last; id++ {
		text += chunk(event(id))
	}
	return text + "0\r\n\r\n"
}

// assertEventsNotSpliced breaks the first run of a stream at each byte and checks that the
// caller receives each event exactly once, with all its bytes from one run.
func assertEventsNotSpliced(t *testing.T, endName string) {
	sent := event(1) + event(2) + event(3)
	want := sent + event(4)
	for cut := range len(sent) + 1 {
		part, runs := sent[:cut], 0
		upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
			if runs++; runs == 1 {
				streamEnds[endName](part, conn)
				return "", false
			}
			return resumedStreamAnswer(req, 4), true
		}
		inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
			_, body, err := h.call("POST", "/stream/x", "prompt")
			emptyIsRegular := part == "" && endName != "closed without a length"
			if regularEnds[endName] && (emptyIsRegular || strings.HasSuffix(part, "\n\n")) {
				assert.Equal(t, part, body, "truncated at byte %d", cut)
				return
			}
			assert.NoError(t, err, "truncated at byte %d", cut)
			assert.Equal(t, want, body, "truncated at byte %d", cut)
		})
	}
}

func TestEventIsNotSplicedFromTwoRuns(t *testing.T) {
	for _, endName := range []string{"closed", "closed inside a chunk", "silent", "ended", "closed without a length", "ended before its length"} {
		t.Run(endName, func(t *testing.T) { assertEventsNotSpliced(t, endName) })
	}
}

func TestEventsAtEndOfBodyAreNotLost(t *testing.T) {
	assertEventsNotSpliced(t, "ended at its length")
}

func TestStreamIsNotReadAfterBodyRelease(t *testing.T) {
	assertEventsNotSpliced(t, "closed after the data of a chunk")
}

// Guards against reading a released body: after a run breaks right after an event, another
// request's stream may get its pooled body, and its bytes must not reach the first caller.
func TestStreamContainsNoEventsOfOtherRequest(t *testing.T) {
	// On one processor, the pool returns the body that was released last.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var proceed chan struct{}
	runs := 0
	upstream := func(req *http.Request, _ string, conn net.Conn) (string, bool) {
		if runs++; runs > 1 {
			return resumedStreamAnswer(req, 4), true
		}
		streamEnds["closed after the data of a chunk"](event(1), conn)
		return "", false
	}
	other := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
		_, _ = io.WriteString(conn, fmt.Sprintf(streamHead, "p")+chunk("id: 1\ndata: other\n\n"))
		<-proceed
		return chunk("id: 2\ndata: other\n\n") + chunk("id: 3\ndata: other\n\n") + "0\r\n\r\n", true
	}
	scripts := map[string]script{"a:1": upstream, "b:1": upstream, "c:1": other}
	inBubble(t, scripts, func(h *harness) {
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
		assert.Equal(t, "id: 1\ndata: other\n\nid: 2\ndata: other\n\nid: 3\ndata: other\n\n", body)
		assert.Equal(t, fmt.Sprint(event(1)+event(2)+event(3)+event(4), nil), <-bodies)
	})
}
