package forward

import (
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/disconnect"
)

// answerStage is how far the answer to a request has got.
type answerStage string

const (
	// stageReading is a request of which the first byte was read.
	stageReading answerStage = "reading"
	// stageWaiting is a request that was read and is at no upstream.
	stageWaiting answerStage = "waiting"
	// stageSent is a request that was sent to an upstream and whose caller has been sent nothing.
	stageSent answerStage = "sent"
	// stageBegun is an answer that the upstream is still writing.
	stageBegun answerStage = "begun"
	// stageEnded is an answer that the upstream has ended and the caller has not been sent whole.
	stageEnded answerStage = "ended"
	// stageWritten is an answer that the client may not have received whole.
	stageWritten answerStage = "written"
	// stageRefused is a refusal that the caller has not been sent whole.
	stageRefused answerStage = "refused"
)

// unwrittenAnswer is an answer that is not written to its end. It is safe for concurrent use.
type unwrittenAnswer struct {
	mu       sync.Mutex
	request  *request
	stage    answerStage
	upstream string
	events   int
	// heldBytes are the bytes of events that were read and not given to the server.
	heldBytes int
}

// reach records how far the answer has got, and of which upstream; empty leaves the upstream as it is.
func (a *unwrittenAnswer) reach(stage answerStage, upstream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stage = stage
	if upstream != "" {
		a.upstream = upstream
	}
}

// reached returns how far the answer has got.
func (a *unwrittenAnswer) reached() answerStage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stage
}

func (a *unwrittenAnswer) setRequest(r *request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.request, a.stage = r, stageWaiting
}

func (a *unwrittenAnswer) setEvents(events, heldBytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events, a.heldBytes = events, heldBytes
}

// describe adds the answer's fields to a log line of an entry.
func (a *unwrittenAnswer) describe(e *Entry, line *zerolog.Event, now time.Time) *zerolog.Event {
	a.mu.Lock()
	defer a.mu.Unlock()
	line = line.Str("stage", string(a.stage)).Str("target", a.upstream).Int("events", a.events).Int("held_bytes", a.heldBytes)
	if r := a.request; r != nil {
		line = line.Str("request_id", r.id).Str("class", r.class()).Str("account", r.accountName()).Dur("took_ms", now.Sub(r.arrivedAt))
		if !r.deadline.IsZero() {
			line = line.Dur("time_left_ms", r.deadline.Sub(now))
		}
	}
	return e.stopFields(line, a.request)
}

// unwrittenAnswers are the answers that are not written to their end, from the first byte of their
// requests on, by the callers' connections. It is safe for concurrent use.
type unwrittenAnswers struct{ conns sync.Map }

// add returns the answer that is due on a connection, and adds it if there is none.
func (u *unwrittenAnswers) add(c net.Conn) *unwrittenAnswer {
	a, _ := u.conns.LoadOrStore(c, &unwrittenAnswer{stage: stageReading})
	added, _ := a.(*unwrittenAnswer)
	return added
}

// remove returns the answer that was not written to its end on a connection; nil if there is none.
func (u *unwrittenAnswers) remove(c net.Conn) *unwrittenAnswer {
	a, _ := u.conns.LoadAndDelete(c)
	removed, _ := a.(*unwrittenAnswer)
	return removed
}

// linger has a closed connection's answer counted until the connection no longer waits for its client, and reports
// whether it waits.
func (u *unwrittenAnswers) linger(c *disconnect.Conn) bool {
	lingering := c.Lingering()
	value, due := u.conns.Load(c)
	a, _ := value.(*unwrittenAnswer)
	if lingering == nil || !due || a == nil {
		return false
	}
	a.reach(stageWritten, "")
	go func() {
		<-lingering
		u.conns.Delete(c)
	}()
	return true
}

// count returns the number of answers that are not written.
func (u *unwrittenAnswers) count() int {
	return u.countStages(func(s answerStage) bool { return s != stageWritten })
}

// lingering returns the number of answers that are written, but may not have been received whole.
func (u *unwrittenAnswers) lingering() int {
	return u.countStages(func(s answerStage) bool { return s == stageWritten })
}

func (u *unwrittenAnswers) countStages(match func(answerStage) bool) int {
	n := 0
	u.conns.Range(func(_, value any) bool {
		if a, _ := value.(*unwrittenAnswer); a != nil && match(a.reached()) {
			n++
		}
		return true
	})
	return n
}

// observeConn records that a request begins on a connection, and that the server has written its answer
// or closed the connection.
func (e *Entry) observeConn(c net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateActive {
		e.unwritten.add(c)
		return
	}
	conn, watched := c.(*disconnect.Conn)
	if state == fasthttp.StateClosed && watched && e.unwritten.linger(conn) {
		return
	}
	a := e.unwritten.remove(c)
	if a == nil || !watched || state != fasthttp.StateClosed || !conn.WriteFailed() {
		return
	}
	// The server reports no answer that a caller's reset ends.
	e.opts.Metrics.Add("answers.not_written", 1)
	a.describe(e, e.opts.Log.Info(), time.Now()).Str("caller_end", string(conn.End())).Msg("answer_not_written")
}

// maxCutOffLines bounds the log lines about requests that one planned stop cuts.
const maxCutOffLines = 64

// logCutOff logs the requests that the end of a planned stop cuts and returns their number.
func (e *Entry) logCutOff() int {
	n, now := 0, time.Now()
	e.unwritten.conns.Range(func(key, value any) bool {
		a, _ := value.(*unwrittenAnswer)
		if a == nil || a.reached() == stageWritten {
			return true
		}
		if n++; n > maxCutOffLines {
			return true
		}
		line := a.describe(e, e.opts.Log.Warn(), now)
		if conn, ok := key.(*disconnect.Conn); ok {
			line = line.Int("unwritten_bytes", conn.Unwritten()).Str("caller_end", string(conn.End()))
		}
		line.Msg("request_cut_off")
		return true
	})
	e.opts.Metrics.Add("stop.requests_cut_off", int64(n))
	return n
}

// stopFields adds the times of a request and of its line within a planned stop, if there is one. A
// request that arrived before the stop has a negative time.
func (e *Entry) stopFields(line *zerolog.Event, r *request) *zerolog.Event {
	planned := e.plannedStop.Load()
	if planned == nil {
		return line
	}
	if r != nil {
		line = line.Dur("arrived_in_stop_ms", r.arrivedAt.Sub(planned.began))
	}
	return line.Dur("in_stop_ms", time.Since(planned.began))
}
