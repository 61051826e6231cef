package forward

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
)

var (
	runSeeds      = flag.Uint64("seeds", 2000, "number of random sequences of runs to test")
	failuresShown = flag.Int("seeds-shown", 10, "number of failed sequences to print in detail")
	runSeedFrom   = flag.Uint64("seed-from", 0, "seed of the first sequence")
)

// maxRuns is the limit of sends for a request in these tests.
const maxRuns = 4

// streamEvent is one event, or comment, as one run generated it.
type streamEvent struct {
	// position is its number in the whole stream, from 1, or comment.
	position int
	text     string
}

// comment is the position of stand-alone comments, which may be lost or repeated.
const comment = 0

// ending classifies whether the bytes written of an answer complete it.
type ending int

const (
	endTruncated ending = iota
	// endAmbiguous is a last chunk without its final line break, which may be accepted or not.
	endAmbiguous
	endComplete
)

// What happens to the connection at the end of a run.
const (
	kept   = "kept"
	closed = "closed"
	reset  = "reset"
	silent = "silent"
)

// Framings of a body.
const (
	chunked = iota
	withLength
	unframed
)

// engineRun is the upstream's handling of one send of a request.
type engineRun struct {
	number int
	// lastEventID is the Last-Event-Id of the send.
	lastEventID string
	// status is that of the answer; failure is the body of an answer that is not a stream.
	status    int
	failure   string
	generated []streamEvent
	bodyEnd   ending
	// correct is true if the run sent all requested events and the end of the stream.
	correct bool
	// silentUntilDeadline is true if the run fell silent before the end of its header, or in an
	// answer that is not a stream. The entry tolerates this until the deadline.
	silentUntilDeadline bool
	framing             int
	// writes are the run's writes in order; connEnd is what happens to the connection afterwards.
	writes  []string
	connEnd string
}

// sequence is a request for a stream with all its runs.
type sequence struct {
	// events is the number of events of the stream.
	events int
	// resumeAfter is the event that the caller's Last-Event-Id names; 0 for none.
	resumeAfter int
	// eventID returns the identifier of an event.
	eventID func(position int) string
	// mayEndBroken is true if identifiers do not show whether a run continues after the
	// requested event. Such a stream may end broken.
	mayEndBroken bool
	// plan sets the events, writes and end of a run.
	plan func(r *engineRun)
	// mu guards runs and the plan: a silent run and its successors begin beside each other.
	mu   sync.Mutex
	runs []*engineRun
}

// serve is the script of all upstreams; each request is the next run.
func (s *sequence) serve(req *http.Request, _ string, conn net.Conn) (string, bool) {
	s.mu.Lock()
	r := &engineRun{number: len(s.runs) + 1, lastEventID: req.Header.Get("Last-Event-Id"), status: http.StatusOK}
	s.plan(r)
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	if r.connEnd == reset {
		conn.(*upstreamSide).entrySide.reset.Store(true)
	}
	last := len(r.writes) - 1
	for i, text := range r.writes {
		if i == last && r.connEnd != silent {
			return text, r.connEnd == kept
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return "", false
		}
	}
	if r.connEnd == silent {
		_, _ = conn.Read(make([]byte, 1))
	}
	return "", false
}

// resettable is the entry's side of a connection that can end in a reset. As in the operating
// system, one read reports the reset and later ones return io.EOF.
type resettable struct {
	net.Conn
	reset atomic.Bool
}

func (c *resettable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.reset.Swap(false) {
		err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// upstreamSide is the upstream's side of a resettable connection.
type upstreamSide struct {
	net.Conn
	entrySide *resettable
}

// callerAnswer is what the caller received.
type callerAnswer struct {
	status       int
	signature    string
	body         string
	headErr, err error
}

// play sends the request through an entry that has more upstreams than maxRuns and no state
// about them yet, and returns what the caller received.
func (s *sequence) play(t *testing.T) (received callerAnswer) {
	scripts := map[string]script{}
	for _, name := range []string{"a:1", "b:1", "c:1", "d:1", "e:1"} {
		scripts[name] = s.serve
	}
	inBubble(t, scripts, func(h *harness) {
		d := testDocument(t)
		for i := range d.Routes {
			d.Routes[i].MaxAttempts, d.Routes[i].Timeout = maxRuns, 30*time.Second
		}
		require.NoError(t, d.Index())
		h.view = &attach.View{Document: d, Targets: h.view.Targets}
		h.entry.placer = NewPlacer("fd", rand.New(rand.NewPCG(1, 1)))
		h.entry.UpdateView(h.view)
		received = s.call(h)
	})
	return received
}

// call sends the request as the caller and reads the answer.
func (s *sequence) call(h *harness) callerAnswer {
	conn := h.open()
	defer func() { _ = conn.Close() }()
	var headers []string
	if s.resumeAfter > 0 {
		headers = []string{"Last-Event-Id: " + s.eventID(s.resumeAfter)}
	}
	h.send(conn, "POST", "/stream/x", "prompt", headers...)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerAnswer{headErr: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return callerAnswer{status: resp.StatusCode, signature: resp.Header.Get("Test-Signature"), body: string(body), err: err}
}

// String describes the runs for failure messages.
func (s *sequence) String() string {
	text := fmt.Sprintf("  %d events, caller's Last-Event-Id %d", s.events, s.resumeAfter)
	for _, r := range s.runs {
		positions := make([]int, 0, len(r.generated))
		for _, e := range r.generated {
			positions = append(positions, e.position)
		}
		text += fmt.Sprintf("\n  run %d: asked after %q, status %d, %s, events %v, last bytes %q, then %s, complete: %s, correct: %t",
			r.number, r.lastEventID, r.status, [...]string{"chunked", "with a length", "unframed"}[r.framing], positions, r.tail(), r.connEnd, [...]string{"no", "ambiguous", "yes"}[r.bodyEnd], r.correct)
	}
	return text
}

// tail returns the last bytes that a run wrote.
func (r *engineRun) tail() string {
	text := strings.Join(r.writes, "")
	return text[max(0, len(text)-24):]
}

func signatureOf(r *engineRun) string { return "p" + strconv.Itoa(r.number) }

// abbreviate quotes a text, truncated to 120 bytes.
func abbreviate(text string) string {
	if len(text) > 120 {
		return fmt.Sprintf("%q and %d bytes more", text[:120], len(text)-120)
	}
	return strconv.Quote(text)
}

// assertNoProblems plays random sequences and reports those in which check finds a problem.
func assertNoProblems(t *testing.T, sequences uint64, check func(s *sequence, received callerAnswer) string) {
	failed := 0
	for seed := *runSeedFrom; seed < *runSeedFrom+sequences; seed++ {
		s := generateSequence(seed)
		problem := check(s, s.play(t))
		if problem == "" {
			continue
		}
		if failed++; failed <= *failuresShown {
			t.Errorf("seed %d: %s\n%s", seed, problem, s)
		}
	}
	assert.Zero(t, failed, "of %d sequences", sequences)
}

// Guards against spliced, repeated and missing events: each event that the caller receives
// must have been generated by one run and must follow the event before.
func TestEventsAreGeneratedByOneRunAndInOrder(t *testing.T) {
	assertNoProblems(t, *runSeeds, (*sequence).checkAnswer)
}

// Guards against a stream reported as broken although a run completed it.
func TestCompletedStreamsAreNotBroken(t *testing.T) {
	assertNoProblems(t, max(*runSeeds/4, 1), (*sequence).checkCompleted)
}

// Guards against a broken stream while the request may still be sent again.
func TestStreamsBreakOnlyAfterLastSend(t *testing.T) {
	assertNoProblems(t, max(*runSeeds/4, 1), (*sequence).checkAllSendsUsed)
}
