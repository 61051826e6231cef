package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamTimeout is the deadline of one request; streamReadTimeout is how long a caller
	// waits for bytes before it resumes at another entry.
	streamTimeout     = 8 * time.Second
	streamReadTimeout = 3 * time.Second
	// maxStreamEvents bounds the events of a stream.
	maxStreamEvents = 40
	// maxStreamTries bounds the requests of a caller for one stream.
	maxStreamTries = 12
	// The caller of one in disconnectOneIn requests disconnects; one in slowOneIn callers
	// reads slowly.
	disconnectOneIn = 12
	slowOneIn       = 6
	maxSlowPause    = 20 * time.Millisecond
	// maxRetryPause bounds the pause before the next request for a stream, maxStreamPause
	// that before the next stream.
	maxRetryPause  = 150 * time.Millisecond
	maxStreamPause = 30 * time.Millisecond
	// streamWaitLimit bounds the wait for streams at the start and the end: many times what a
	// region needs, so that a busy machine gives the same result.
	streamWaitLimit = 60 * time.Second
	// requiredStreams is the number of consecutive complete streams after which the region
	// counts as serving them.
	requiredStreams = 10
)

// streamCounts are printed for information; no check depends on them.
type streamCounts struct {
	attempts, complete, broken, disconnected, refused, resumed, finished, byGroups, abandoned, events atomic.Int64
}

func (n *streamCounts) String() string {
	return fmt.Sprintf("%d requests: %d complete, %d broken, %d disconnected by the client, %d refused; %d resumed; streams: %d finished, %d of them by groups, %d given up; %d events",
		n.attempts.Load(), n.complete.Load(), n.broken.Load(), n.disconnected.Load(), n.refused.Load(), n.resumed.Load(), n.finished.Load(), n.byGroups.Load(),
		n.abandoned.Load(), n.events.Load())
}

// streamCallers request streams and check what they receive.
type streamCallers struct {
	engines *engineSet
	// entryAddresses are the addresses of the links in front of the entries.
	entryAddresses []string
	entryLinks     []*link
	entries        []*node
	// kinds are requested in rotation.
	kinds  []*streamKind
	counts streamCounts
	// denials are the sound requests that were refused as wrong.
	denials denials
	mu      sync.Mutex
	found   []string
	// notExecuted are the requests that must run at most once and whose answers state that
	// they were not executed.
	notExecuted []*attempt
	// incomplete are the requests without a complete stream.
	incomplete []*attempt
}

func (s *streamCallers) violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.found...)
}

func (s *streamCallers) report(violations ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found = append(s.found, violations...)
}

// streamCaller is one caller. It reuses its connection until that fails.
type streamCaller struct {
	callers *streamCallers
	name    string
	random  *rand.Rand
	kinds   []*streamKind
	slow    bool
	entry   int
	conn    *clientConn
	streams int
}

func (s *streamCallers) caller(name string, entry int) *streamCaller {
	random := randomSource(s.engines.seed, name)
	return &streamCaller{callers: s, name: name, random: random, kinds: s.kinds, slow: random.IntN(slowOneIn) == 0, entry: entry % len(s.entryAddresses)}
}

// run has each caller request one stream after another until a time.
func (s *streamCallers) run(count int, until time.Time) {
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() {
			c := s.caller(fmt.Sprintf("caller%d", i), i)
			defer c.closeConn()
			for time.Now().Before(until) {
				c.stream(until)
				time.Sleep(between(c.random, 0, maxStreamPause))
			}
		})
	}
	all.Wait()
}

// waitServed reports whether requiredStreams streams of the given kinds in a row are
// complete within the wait limit.
func (s *streamCallers) waitServed(name string, kinds []*streamKind) bool {
	c := s.caller(name, 0)
	c.kinds = kinds
	defer c.closeConn()
	completed := 0
	for end := time.Now().Add(streamWaitLimit); time.Now().Before(end); {
		if !c.stream(end) {
			completed = 0
			time.Sleep(between(c.random, 0, maxRetryPause))
			continue
		}
		if completed++; completed == requiredStreams {
			return true
		}
	}
	return false
}

func (c *streamCaller) closeConn() {
	if c.conn != nil {
		c.conn.close()
		c.conn = nil
	}
}

// stream requests one stream and resumes it at another entry when it fails. It reports
// whether the stream was received to its end.
func (c *streamCaller) stream(until time.Time) bool {
	c.streams++
	total, after := 1+c.random.IntN(maxStreamEvents), 0
	kind := c.kinds[c.streams%len(c.kinds)]
	for try := range maxStreamTries {
		a := &attempt{request: fmt.Sprintf("%s-%d-%d", c.name, c.streams, try), kind: kind, after: after, total: total}
		disconnect := c.callers.engines.faultsActive.Load() && c.random.IntN(disconnectOneIn) == 0
		c.attempt(a, disconnect)
		c.callers.record(a)
		found := a.violations(c.callers.engines.runs)
		c.callers.report(found...)
		switch {
		case len(found) > 0:
			c.closeConn()
			return false
		case a.ending == endedComplete && a.status == http.StatusOK:
			c.callers.counts.finished.Add(1)
			if kind.model != "" {
				c.callers.counts.byGroups.Add(1)
			}
			return true
		case a.ending == endedDisconnected || time.Now().After(until):
			return false
		}
		if after = a.lastEvent(); kind.once {
			// Such a stream is not resumed: the next request starts at the first event.
			after = 0
		}
		time.Sleep(between(c.random, 0, maxRetryPause))
	}
	c.callers.counts.abandoned.Add(1)
	return false
}

// executedDespiteRefusal returns the requests that ran although their answers stated that
// they were not and will not be executed.
func (s *streamCallers) executedDespiteRefusal() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for _, a := range s.notExecuted {
		if runs := s.engines.runs.runsOf(a.request); len(runs) > 0 {
			found = append(found, fmt.Sprintf("stream %s was answered %d, which means not executed, but ran: %v", a.request, a.status, runs))
		}
	}
	return found
}

// record counts how a request ended.
func (s *streamCallers) record(a *attempt) {
	if a.kind.once && (answer{status: a.status}).saysNotExecuted() {
		s.mu.Lock()
		s.notExecuted = append(s.notExecuted, a)
		s.mu.Unlock()
	}
	if a.ending != endedComplete || a.status != http.StatusOK {
		s.mu.Lock()
		s.incomplete = append(s.incomplete, a)
		s.mu.Unlock()
	}
	s.denials.record(a.request, a.status)
	n := &s.counts
	n.attempts.Add(1)
	n.events.Add(int64(a.lastEvent() - a.after))
	if a.after > 0 {
		n.resumed.Add(1)
	}
	switch {
	case a.ending == endedDisconnected:
		n.disconnected.Add(1)
	case a.ending == endedBroken:
		n.broken.Add(1)
	case a.status != http.StatusOK:
		n.refused.Add(1)
	default:
		n.complete.Add(1)
	}
}

// attempt sends one request and records its answer.
func (c *streamCaller) attempt(a *attempt, disconnect bool) {
	a.ending = endedBroken
	a.entry, a.deadline = c.callers.entries[c.entry], streamTimeout
	err := c.exchange(a, disconnect)
	a.endedAt, a.callerLeft = time.Now(), errors.Is(err, os.ErrDeadlineExceeded)
	if c.conn != nil {
		a.path = c.callers.entryLinks[c.entry].ofClient(c.conn.conn.LocalAddr())
	}
	malformed, ok := protocolErrorOf(err)
	switch {
	case ok:
		a.malformed = malformed.detail
	case errors.Is(err, errClientDisconnect):
		a.ending = endedDisconnected
	case err == nil:
		a.ending = endedComplete
		return
	}
	c.closeConn()
	c.entry = (c.entry + 1) % len(c.callers.entryAddresses)
}

func (c *streamCaller) exchange(a *attempt, disconnect bool) error {
	c.callers.engines.region.repeats.send(a.kind.service, a.request)
	c.callers.engines.region.handed.send(a.kind.service, a.request, a.entry, streamTimeout)
	if c.conn == nil {
		conn, err := dialClient(c.callers.entryAddresses[c.entry], streamReadTimeout)
		if err != nil {
			return err
		}
		c.conn = conn
	}
	if text := c.conn.unsolicited(); text != "" {
		return &protocolError{fmt.Sprintf("unsolicited bytes before the request: %s", quoted(text))}
	}
	if err := c.conn.send(a); err != nil {
		return err
	}
	a.sentAt = time.Now()
	h, err := c.conn.readHead()
	if err != nil {
		return err
	}
	a.status, a.echoedID, a.signature = h.status, h.header.Get("X-Request-Id"), h.header.Get("X-Response-Stamp")
	disconnectAt := c.random.IntN(maxStreamEvents * fillerBytes)
	err = c.conn.readBody(h, func(data []byte) error {
		a.body.Write(data)
		if disconnect && a.body.Len() > disconnectAt {
			return errClientDisconnect
		}
		if c.slow {
			time.Sleep(between(c.random, 0, maxSlowPause))
		}
		return nil
	})
	if err == nil && h.header.Get("Connection") == "close" {
		c.closeConn()
	}
	return err
}

// newEntryLinks starts a link in front of each entry.
func newEntryLinks(r *region, seed uint64, faultsActive *atomic.Bool) ([]*link, error) {
	var links []*link
	for _, entry := range r.entries {
		l, err := newLink(r.endpoint(), net.JoinHostPort(entry.ip, fmt.Sprint(callerPort)), randomSource(seed, "door of "+entry.name), faultsActive)
		if err != nil {
			return links, err
		}
		links = append(links, l)
	}
	return links, nil
}
