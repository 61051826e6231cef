package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// streamHead is the start of a run's answer; the framing headers follow.
const streamHead = "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Type: text/event-stream\r\n"

// failureStatuses are the statuses of runs that fail. Callers take some for a promise that the request did not run.
var failureStatuses = []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// serveStream answers a request with a stream according to a random plan.
func (e *engine) serveStream(conn net.Conn, id string, after, total, step int) error {
	l := e.set.runs
	number := l.nextNumber(id)
	random := randomSource(e.set.seed, fmt.Sprintf("%s run %d", id, number))
	r := &streamRun{request: id, engine: e.id, number: number, after: after, base: after, status: http.StatusOK, end: "in progress"}
	r.signature = fmt.Sprintf("%s.%d", e.id, random.Uint32())
	r.events = generateEvents(random, id, r.signature, after, total, step)
	p := randomPlan(random, r.events, after > 0, e.set.faultsActive.Load())
	if p.fails && p.mode == failWrongOffset {
		r.base = randomWrongOffset(random, after, total)
		r.events = generateEvents(random, id, r.signature, r.base, total, step)
		p.cut, p.fails = len(strings.Join(r.events, "")), r.base != after
	}
	r.framing = p.framing
	r.engineEnded, r.path, r.began, r.fails = e.endedBetween, e.link.ofServer(conn.RemoteAddr()), time.Now(), p.fails
	if p.fails && p.mode == failRefused {
		l.countFailure(p.mode.String())
		return e.refuse(conn, id, http.StatusServiceUnavailable)
	}
	if p.fails && p.mode == failStatus {
		r.status = failureStatuses[random.IntN(len(failureStatuses))]
	}
	l.add(r)
	defer e.beginStream(conn, r)()
	if !p.fails {
		return e.write(conn, r, &p)
	}
	r.path.harm()
	r.setEnd(fmt.Sprintf("%s after %d bytes, inside an event: %t", p.mode, p.cut, p.inside))
	l.countFailure(p.mode.String())
	if p.mode == failStatus {
		_, err := fmt.Fprintf(conn, streamHead+"Content-Length: 0\r\n\r\n", r.status, id, r.signature)
		return err
	}
	if p.mode == failGarbage && p.cut == 0 {
		form := random.IntN(2 * len(invalidHeads))
		if form >= len(invalidHeads) {
			return sendGarbage(conn, r)
		}
		if err := writeInvalidAnswer(conn, form, id, r.signature, "text/event-stream", garbageOf(r)); err != nil {
			return err
		}
		return errConnEnded
	}
	if err := e.write(conn, r, &p); err != nil {
		return err
	}
	return e.fail(conn, r, &p)
}

// fail ends a run's connection by the failure mode of its plan.
func (e *engine) fail(conn net.Conn, r *streamRun, p *streamPlan) error {
	switch p.mode {
	case failClose, failOpenChunk:
		// The peer reads the end of the connection after the sent data.
		_ = conn.Close()
	case failReset:
		// Some bytes arrive before the reset, others are lost with it.
		pause(p.random)
		reset(conn)
	case failStall:
		select {
		case <-time.After(stallTime):
		case <-e.set.done:
		}
		reset(conn)
	case failGarbage:
		return sendGarbage(conn, r)
	case failEndEarly:
		if p.framing == closeDelimited {
			_ = conn.Close()
			return errConnEnded
		}
		return nil
	case failWrongOffset:
		return nil
	case failExtraAnswer:
		if p.framing == closeDelimited {
			return errConnEnded
		}
		return e.secondAnswer(conn, r, p)
	}
	return errConnEnded
}

// sendGarbage sends bytes that are not HTTP and ends the connection.
func sendGarbage(conn net.Conn, r *streamRun) error {
	if _, err := conn.Write([]byte(garbageOf(r))); err != nil {
		return err
	}
	return errConnEnded
}

// garbageOf returns an event that belongs to no stream.
func garbageOf(r *streamRun) string {
	return fmt.Sprintf("id: 1\ndata: garbage of %s\n\n", r.signature)
}

// secondAnswer sends an unsolicited answer, or bytes that are not an answer.
func (e *engine) secondAnswer(conn net.Conn, r *streamRun, p *streamPlan) error {
	pause(p.random)
	id := r.request
	if p.random.IntN(2) == 0 {
		id = "nobody-" + id
	}
	event := fmt.Sprintf("id: 1\ndata: second answer of %s\n\n", r.signature)
	if p.random.IntN(3) == 0 {
		_, err := conn.Write([]byte(event))
		return err
	}
	_, err := fmt.Fprintf(conn, streamHead+"Content-Length: %d\r\n\r\n%s", http.StatusOK, id, r.signature+".second", len(event), event)
	return err
}

// write sends a run's bytes in pieces that are not aligned to events.
func (e *engine) write(conn net.Conn, r *streamRun, p *streamPlan) error {
	text := strings.Join(r.events, "")
	head := fmt.Sprintf(streamHead, http.StatusOK, r.request, r.signature)
	switch p.framing {
	case chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case contentLength:
		length := len(text)
		if p.fails && p.mode == failEndEarly {
			length = p.cut
		} else if p.fails && !p.mode.completesAnswer() {
			length += excessLength
		}
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	if p.connClose {
		head += "Connection: close\r\n"
	}
	if _, err := conn.Write([]byte(head + "\r\n")); err != nil {
		r.recordClientDisconnect()
		return err
	}
	for rest := text[:p.cut]; rest != ""; {
		piece := rest[:e.pieceLength(p.random, rest)]
		rest = rest[len(piece):]
		r.addSent(len(piece))
		if _, err := conn.Write([]byte(p.frame(piece, rest == ""))); err != nil {
			r.recordClientDisconnect()
			return err
		}
		if rest != "" {
			e.pause(p.random, strings.HasSuffix(piece, eventEnd))
		}
	}
	return e.finish(conn, r, p)
}

// pause sleeps between two writes: after an event as long as the engine takes for the next one, or at random.
func (e *engine) pause(random *rand.Rand, afterEvent bool) {
	switch {
	case e.slowness == 0:
		pause(random)
	case afterEvent:
		time.Sleep(time.Duration(e.slowness * float64(e.set.region.timing.step)))
	}
}

// finish ends the body of an answer whose plan has a correct end.
func (e *engine) finish(conn net.Conn, r *streamRun, p *streamPlan) error {
	if p.fails && p.mode != failEndEarly && !p.mode.completesAnswer() {
		return nil
	}
	if !p.fails {
		r.setEnd("whole")
	}
	if p.framing == chunked {
		if _, err := conn.Write([]byte("0\r\n\r\n")); err != nil {
			return err
		}
	}
	if p.framing == closeDelimited || p.connClose {
		_ = conn.Close()
		return errConnEnded
	}
	return nil
}

// frame encodes a piece for the plan's framing.
func (p *streamPlan) frame(piece string, last bool) string {
	if p.framing != chunked {
		return piece
	}
	text := fmt.Sprintf("%x\r\n%s", len(piece), piece)
	if last && p.fails && p.mode == failOpenChunk {
		return text
	}
	return text + "\r\n"
}

// pieceLength returns the length of the next write: at most to the end of the event if the engine keeps its pace.
func (e *engine) pieceLength(random *rand.Rand, rest string) int {
	length := pieceLength(random, rest)
	if at := strings.Index(rest, eventEnd); e.slowness > 0 && at >= 0 {
		length = min(length, at+len(eventEnd))
	}
	return length
}

// pieceLength returns a random length of the next write: often to the end of the event,
// sometimes several events, sometimes a part of one.
func pieceLength(random *rand.Rand, rest string) int {
	switch random.IntN(6) {
	case 0:
		return 1 + random.IntN(len(rest))
	case 1:
		return min(1+random.IntN(fillerBytes), len(rest))
	default:
		if at := strings.Index(rest, eventEnd); at >= 0 {
			return at + len(eventEnd)
		}
		return len(rest)
	}
}

// pause sleeps for a random time, or not at all.
func pause(random *rand.Rand) {
	if random.IntN(3) != 0 {
		time.Sleep(time.Duration(random.Int64N(int64(maxWritePause))))
	}
}
