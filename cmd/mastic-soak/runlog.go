package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// streamRun is one run of a stream on an engine, with what it sent.
type streamRun struct {
	request, engine, signature string
	// number is the run's number among those of the request, from 1; status is that of its
	// answer.
	number, status int
	// after is the event after which the run was asked to resume; 0 for the beginning.
	after int
	// base is the event before the first one that the run sends; it differs from after if the
	// run resumes at a wrong offset.
	base    int
	events  []string
	framing framing
	// began is when the run began; path is its connection on the engine's link.
	began time.Time
	path  *linkConn
	// fails is true if the run's plan has a failure; engineEnded reports whether the engine or
	// its group ended between two times.
	fails       bool
	engineEnded func(from, to time.Time) bool
	mu          sync.Mutex
	// sent is the number of bytes of the events passed to the network, firstSentAt when the
	// first of them were.
	sent        int
	firstSentAt time.Time
	// end describes how the run ended, endedAt when it did.
	end     string
	endedAt time.Time
}

// addSent counts bytes before they are passed to the network.
func (r *streamRun) addSent(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sent == 0 {
		r.firstSentAt = time.Now()
	}
	r.sent += bytes
}

// beganSending reports whether the run sent its first bytes between two times.
func (r *streamRun) beganSending(from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.firstSentAt.Before(from) && !r.firstSentAt.After(to)
}

// endCancelled is how a run ended that an order of a keeper cancelled.
const endCancelled = "cancelled by an order"

// recordClientDisconnect records that the client closed the connection, unless an order ended the
// run.
func (r *streamRun) recordClientDisconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != endCancelled {
		r.end, r.endedAt = "client disconnected", time.Now()
	}
}

func (r *streamRun) setEnd(how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end, r.endedAt = how, time.Now()
}

// upstreamEnded reports whether the engine or its link ended the run, up to a time.
func (r *streamRun) upstreamEnded(until time.Time) bool {
	return r.fails || r.path == nil || r.path.harmed.Load() || r.engineEnded(r.began, until)
}

// sentPart returns the sent bytes of an event, and whether they are the complete event.
func (r *streamRun) sentPart(id int) (part string, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id <= r.base || id > r.base+len(r.events) {
		return "", false
	}
	before := 0
	for _, event := range r.events[:id-r.base-1] {
		before += len(event)
	}
	event := r.events[id-r.base-1]
	sent := min(max(r.sent-before, 0), len(event))
	return event[:sent], sent == len(event)
}

func (r *streamRun) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("run %d at %s after %d: %d events %s, %d bytes sent, %s",
		r.number, r.engine, r.after, len(r.events), r.framing, r.sent, r.end)
}

// runLog records all runs.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]*streamRun
	// numbers counts the runs of each request, including refused ones.
	numbers map[string]int
	// unexpected are requests that reached an engine and that no caller sent.
	unexpected []string
	failures   map[string]int
}

func newRunLog() *runLog {
	return &runLog{runs: map[string][]*streamRun{}, numbers: map[string]int{}, failures: map[string]int{}}
}

// nextNumber returns the number of a request's next run.
func (l *runLog) nextNumber(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.numbers[request]++
	return l.numbers[request]
}

func (l *runLog) add(r *streamRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.request] = append(l.runs[r.request], r)
}

// countFailure counts a failed run by its failure mode.
func (l *runLog) countFailure(mode string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures[mode]++
}

func (l *runLog) addUnexpected(description string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unexpected = append(l.unexpected, description)
}

// violations returns the requests that no caller sent, and those that ran more often than
// their route allows.
func (l *runLog) violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := append([]string(nil), l.unexpected...)
	for request, runs := range l.runs {
		if len(runs) > streamAttempts {
			found = append(found, fmt.Sprintf("stream %s ran %d times: %v", request, len(runs), runs))
		}
	}
	return found
}

// failureCounts returns the number of failed runs by failure mode.
func (l *runLog) failureCounts() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.failures)
}

func (l *runLog) runsOf(request string) []*streamRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*streamRun(nil), l.runs[request]...)
}

// requestOf returns the request whose run has an event; empty if no run has it.
func (l *runLog) requestOf(event string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for request, runs := range l.runs {
		for _, r := range runs {
			if slices.Contains(r.events, event) {
				return request
			}
		}
	}
	return ""
}
