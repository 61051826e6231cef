package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// Seven of ten requests are for streams of a random length in this range: about 2 s at the configured pace.
	streamsInTen  = 7
	minLongEvents = 20
	maxLongEvents = 46
	// Every other caller leaves its connection idle for up to maxIdlePause between two requests, so that some come late
	// in a stop.
	maxIdlePause = 5 * time.Second
	// maxBodyPieces bounds the pieces in which a body is sent, maxPieceGap the time between two of them.
	maxBodyPieces = 4
	maxPieceGap   = 30 * time.Millisecond
	// One in slowSenderOneIn requests has gaps of up to maxSlowGap, one in longBodyOneIn plain ones a body of up to
	// maxBodyRepeats of the usual one.
	slowSenderOneIn = 8
	maxSlowGap      = 600 * time.Millisecond
	longBodyOneIn   = 4
	maxBodyRepeats  = 60
	// balancerLag is for how long after SIGTERM a node is still sent new connections.
	balancerLag = 2300 * time.Millisecond
	// givingUpTime is how long after its deadline a caller goes on waiting.
	givingUpTime = time.Second
	// maxRefusedPause bounds the pause after a request that was not served.
	maxRefusedPause = 400 * time.Millisecond
)

// stopRequest is one request of the callers beside planned stops; kind is nil for one of the plain service.
type stopRequest struct {
	attempt
	method, target, content, framing string
	runOnce                          bool
	begunAt                          time.Time
	// cutBy is how the connection ended; empty if the answer is whole.
	cutBy string
}

// stopCallers keep their connections and use them until the entry says that it closes them, or does so.
type stopCallers struct {
	region  *region
	engines *engineSet
	service *plainService
	stops   *stopLog
	// addresses are those at which callers reach the entries.
	addresses []string
	mu        sync.Mutex
	requests  []*stopRequest
}

// run has each caller send one request after another while goesOn is true.
func (s *stopCallers) run(count int, goesOn func() bool) {
	var all sync.WaitGroup
	for i := range count {
		longest := maxStreamPause
		if i%2 == 0 {
			longest = maxIdlePause
		}
		all.Go(func() {
			c := &stopCaller{callers: s, name: fmt.Sprintf("c%d", i), random: randomSource(s.engines.seed, fmt.Sprintf("stop caller %d", i))}
			defer c.close()
			for goesOn() {
				c.request()
				time.Sleep(time.Duration(c.random.Int64N(int64(longest))))
			}
		})
	}
	all.Wait()
}

// stopCaller sends one request after another.
type stopCaller struct {
	callers *stopCallers
	name    string
	random  *rand.Rand
	conn    *clientConn
	entry   *node
	sent    int
}

func (c *stopCaller) close() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// connect opens a connection to one of the entries that a load balancer would choose.
func (c *stopCaller) connect() error {
	entries := c.callers.region.entries
	start := c.random.IntN(len(entries))
	for i := range entries {
		at := (start + i) % len(entries)
		if !c.callers.stops.takesCallers(entries[at]) {
			continue
		}
		conn, err := dialClient(c.callers.addresses[at], streamTimeout+givingUpTime)
		if err != nil {
			return err
		}
		c.conn, c.entry = conn, entries[at]
		return nil
	}
	return net.ErrClosed
}

// request sends one request and records how it ended.
func (c *stopCaller) request() {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			time.Sleep(maxRetryPause)
			return
		}
	}
	r := c.draw()
	c.callers.region.repeats.send(serviceOf(r.target), r.request)
	err := c.exchange(r)
	r.endedAt = time.Now()
	malformed, isMalformed := protocolErrorOf(err)
	switch {
	case err == nil:
		r.ending = endedComplete
	case isMalformed:
		r.malformed = malformed.detail
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.cutBy = "the caller's time"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		r.cutBy = "reset"
	default:
		r.cutBy = "close"
	}
	if err != nil {
		r.ending = endedBroken
		c.close()
	}
	c.callers.mu.Lock()
	c.callers.requests = append(c.callers.requests, r)
	c.callers.mu.Unlock()
	if r.status != http.StatusOK {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxRefusedPause))))
	}
}

// draw returns the next request.
func (c *stopCaller) draw() *stopRequest {
	c.sent++
	r := &stopRequest{method: http.MethodPost}
	r.entry = c.entry
	if c.random.IntN(10) < streamsInTen {
		kinds := []*streamKind{plainStream, pairStream, singleStream, plainStream, onceStream}
		r.kind, r.total = kinds[c.random.IntN(len(kinds))], minLongEvents+c.random.IntN(maxLongEvents-minLongEvents)
		r.request, r.deadline, r.runOnce = fmt.Sprintf("%s-%d", c.name, c.sent), streamTimeout, r.kind.once
		r.target, r.content = fmt.Sprintf("%s%d", r.kind.path, r.total), prompt(r.request)
		return r
	}
	r.request, r.deadline, r.runOnce, r.target = fmt.Sprintf("%s%s-%d", oncePrefix, c.name, c.sent), callTimeout, true, "/grant/x"
	if c.random.IntN(2) == 0 {
		r.request, r.runOnce, r.target = fmt.Sprintf("%s%s-%d", againPrefix, c.name, c.sent), false, "/lookup/x"
	}
	if r.content = prompt(r.request); c.random.IntN(longBodyOneIn) == 0 {
		r.content = strings.Repeat(r.content, 1+c.random.IntN(maxBodyRepeats))
	}
	return r
}

// message returns the pieces in which a request is sent.
func (c *stopCaller) message(r *stopRequest) []string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.target, soakHost, r.request, r.deadline.Milliseconds())
	if r.kind != nil && r.kind.model != "" {
		head += fmt.Sprintf("X-Model: %s\r\nX-Token-Counts: %s\r\n%s", r.kind.model, tokenCounts(r.total), promptPrefix(r.request, r.kind.model, false))
	}
	body, chunked := r.content, c.random.IntN(2) == 0
	var pieces []string
	for n := 1 + c.random.IntN(maxBodyPieces); n > 0; n-- {
		size := len(body)
		if n > 1 {
			size = c.random.IntN(len(body))
		}
		if piece := body[:size]; chunked && size > 0 {
			pieces = append(pieces, fmt.Sprintf("%x\r\n%s\r\n", size, piece))
		} else {
			pieces = append(pieces, piece)
		}
		body = body[size:]
	}
	if chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
		if end := "0\r\n\r\n"; c.random.IntN(2) == 0 {
			pieces = append(pieces, end)
		} else {
			pieces[len(pieces)-1] += end
		}
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(r.content))
	}
	pieces[0] = head + pieces[0]
	pieces = slices.DeleteFunc(pieces, func(p string) bool { return p == "" })
	r.framing = fmt.Sprintf("body in chunks: %v, %d pieces", chunked, len(pieces))
	return pieces
}

func (c *stopCaller) exchange(r *stopRequest) error {
	pieces, longest := c.message(r), maxPieceGap
	if c.random.IntN(slowSenderOneIn) == 0 {
		longest = maxSlowGap
	}
	r.begunAt = time.Now()
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(time.Duration(c.random.Int64N(int64(longest))))
		}
		if err := c.conn.conn.SetWriteDeadline(time.Now().Add(c.conn.timeout)); err != nil {
			return err
		}
		if _, err := c.conn.conn.Write([]byte(piece)); err != nil {
			return err
		}
	}
	r.sentAt = time.Now()
	h, err := c.conn.readHead()
	if err != nil {
		return err
	}
	r.status, r.echoedID, r.signature = h.status, h.header.Get("X-Request-Id"), h.header.Get("X-Response-Stamp")
	err = c.conn.readBody(h, func(data []byte) error { r.body.Write(data); return nil })
	if err == nil && h.header.Get("Connection") == "close" {
		c.close()
	}
	return err
}

// cut returns a request that ended without its whole answer as the rule sees it.
func (s *stopCallers) cut(r *stopRequest) *cutRequest {
	cut := &cutRequest{begunAt: r.begunAt, sentAt: r.sentAt, cutAt: r.endedAt, deadline: r.deadline}
	if r.kind == nil {
		s.service.mu.Lock()
		defer s.service.mu.Unlock()
		// Plain upstreams answer at once.
		cut.runs = slices.Repeat([]work{{began: r.sentAt, ended: r.sentAt, whole: true}}, s.service.runs[r.request])
		return cut
	}
	for _, run := range s.engines.runs.runsOf(r.request) {
		run.mu.Lock()
		cut.runs = append(cut.runs, work{began: run.began, ended: run.endedAt, whole: run.end == "whole", brokeOff: run.end == endCancelled})
		run.mu.Unlock()
	}
	// A run that the entry ended with the request was at work until then.
	for i := range cut.runs {
		if !cut.runs[i].ended.IsZero() && !cut.runs[i].ended.Before(cut.cutAt) {
			cut.runs[i].ended, cut.runs[i].whole = time.Time{}, false
		}
	}
	return cut
}

// describe gives all that is known of a lost request, with times since the SIGTERM of its entry.
func (s *stopCallers) describe(r *stopRequest, c *cutRequest, class lossClass, stop *processStop) (string, error) {
	since := func(t time.Time) string {
		switch {
		case t.IsZero():
			return "-"
		case stop.termAt.IsZero():
			return t.UTC().Format("15:04:05.000")
		}
		return fmt.Sprintf("%.3f s", t.Sub(stop.termAt).Seconds())
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s: %s %s (%s) from %s: sent %s, cut %s by %s, status %d, %d of %d events; since SIGTERM: %v", class, r.request, r.target, r.framing,
		r.entry.name, since(r.sentAt), since(r.endedAt), r.cutBy, r.status, strings.Count(r.body.String(), eventEnd), r.total, stop.story)
	for _, w := range c.runs {
		fmt.Fprintf(&text, "; run begun %s, ended %s, whole %v, broken off %v", since(w.began), since(w.ended), w.whole, w.brokeOff)
	}
	lines, err := linesOf(r.entry, "request_id="+r.request+" ")
	for _, line := range lines {
		text.WriteString("\n    " + line)
	}
	return text.String(), err
}
