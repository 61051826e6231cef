package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// lossSlack is the time after a request's last byte from which its entry has read it.
	lossSlack = 200 * time.Millisecond
	// killSlack is the time from the end of the grace period in which a planned stop may still cut a request.
	killSlack = time.Second
	// reloadTime is the time after SIGHUP in which requests may meet the changed settings.
	reloadTime = 2 * time.Second
	// maxOtherLosses is the number of requests that may be passed on and lost while no planned work is near.
	maxOtherLosses = 3
)

// logTime is the form in which the summary gives times.
const logTime = "15:04:05.000"

// processStop is one planned stop of a process.
type processStop struct {
	termAt time.Time
	// startedAt is when the harness started the process; zero for the first one of a node.
	startedAt time.Time
	// restartedAt is zero until the next process was started.
	restartedAt time.Time
	// killed is true if the process was still running at the end of the grace period.
	killed bool
	// story tells what else the process was sent, and how it ended.
	story []string
}

// stopLog holds the planned stops and reloads of all nodes.
type stopLog struct {
	mu      sync.Mutex
	stops   map[*node][]*processStop
	reloads map[*node][]time.Time
}

func (l *stopLog) begin(n *node) *processStop {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &processStop{termAt: time.Now()}
	if stops := l.stops[n]; len(stops) > 0 {
		s.startedAt = stops[len(stops)-1].restartedAt
	}
	l.stops[n] = append(l.stops[n], s)
	return s
}

// counts tells how many stops there were, how many the end of the grace period met, and how late entries handled SIGTERM.
func (l *stopLog) counts() (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all, killed, latest, where := 0, 0, time.Duration(0), ""
	for n, stops := range l.stops {
		handled, err := stopTimes(n)
		if err != nil {
			return "", err
		}
		all += len(stops)
		for _, s := range stops {
			if s.killed {
				killed++
			}
			// A process that was still starting ends at once, without a line.
			at := slices.IndexFunc(handled, func(t time.Time) bool { return !t.Before(s.termAt.Truncate(time.Millisecond)) })
			if at >= 0 && !handled[at].After(s.termAt.Add(longGrace)) && (s.restartedAt.IsZero() || handled[at].Before(s.restartedAt)) {
				if late := handled[at].Sub(s.termAt); late > latest {
					latest, where = late, fmt.Sprintf(" (%s at %s, started at %s)", n.name, s.termAt.UTC().Format(logTime), s.startedAt.UTC().Format(logTime))
				}
			}
		}
	}
	return fmt.Sprintf("%d planned stops, %d of them ended by SIGKILL, SIGTERM handled at most %.3f s late%s", all, killed, latest.Seconds(), where), nil
}

// stopTimes returns when a node logged that it handles SIGTERM.
func stopTimes(n *node) ([]time.Time, error) {
	lines, err := linesOf(n, "event=node_stopping ")
	var all []time.Time
	for _, line := range lines {
		text, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return nil, err
		}
		all = append(all, at)
	}
	return all, err
}

func (l *stopLog) kill(s *processStop) {
	l.mu.Lock()
	s.killed = true
	l.mu.Unlock()
	l.tell(s, "SIGKILL")
}

func (l *stopLog) tell(s *processStop, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.story = append(s.story, fmt.Sprintf("%s at %.3f s", what, time.Since(s.termAt).Seconds()))
}

func (l *stopLog) restarted(s *processStop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.restartedAt = time.Now()
}

func (l *stopLog) reload(n *node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reloads[n] = append(l.reloads[n], time.Now())
}

// takesCallers reports whether a load balancer sends a new connection to a node: it learns of a stop late.
func (l *stopLog) takesCallers(n *node) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stops := l.stops[n]
	if len(stops) == 0 {
		return true
	}
	last := stops[len(stops)-1]
	return !last.restartedAt.IsZero() || time.Since(last.termAt) < balancerLag
}

// near returns the latest stop and the latest reload of a node before a time; nil and zero if there is none.
func (l *stopLog) near(n *node, at time.Time) (stop *processStop, reload time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.stops[n] {
		if !s.termAt.After(at) {
			stop = s
		}
	}
	for _, t := range l.reloads[n] {
		if !t.After(at) {
			reload = t
		}
	}
	return stop, reload
}

// work is the run of a request at an upstream.
type work struct {
	began time.Time
	// ended is zero while the upstream is at work; brokeOff is true if the upstream ended the run early.
	ended           time.Time
	whole, brokeOff bool
}

// cutRequest is a request whose connection ended without its whole answer.
type cutRequest struct {
	// begunAt is when its first byte was sent, sentAt its last one, zero if it was not; cutAt is when the connection ended.
	begunAt, sentAt, cutAt time.Time
	deadline               time.Duration
	runs                   []work
}

// lossClass is how a cut request counts.
type lossClass string

const (
	lostInStop    lossClass = "lost in a planned stop"
	lostByReload  lossClass = "lost after SIGHUP"
	lostElsewhere lossClass = "lost away from planned work"
	cutUnread     lossClass = "not read"
	cutUpstream   lossClass = "broken off by its upstream"
	cutLate       lossClass = "out of time"
	cutAtEnd      lossClass = "still running at the end of the stop"
)

// classify tells how a cut request counts, given when its entry got SIGTERM and SIGHUP last before the cut.
func (c *cutRequest) classify(termAt, reloadAt time.Time) lossClass {
	inStop := !termAt.IsZero() && c.cutAt.Sub(termAt) <= longGrace+killSlack
	lastSixth := termAt.Add(longGrace * 5 / 6)
	atWork := slices.ContainsFunc(c.runs, func(w work) bool { return w.ended.IsZero() || !w.ended.Before(lastSixth) })
	switch {
	case c.sentAt.IsZero(), len(c.runs) == 0 && c.cutAt.Sub(c.sentAt) <= lossSlack:
		return cutUnread
	case len(c.runs) > 0 && c.runs[len(c.runs)-1].brokeOff:
		return cutUpstream
	case c.cutAt.Sub(c.begunAt) >= c.deadline:
		return cutLate
	case inStop && atWork && !c.cutAt.Before(lastSixth) && !c.sentAt.After(termAt.Add(lateRequestTime)):
		return cutAtEnd
	case inStop:
		return lostInStop
	case !reloadAt.IsZero() && !c.sentAt.After(reloadAt.Add(reloadTime)):
		return lostByReload
	default:
		return lostElsewhere
	}
}

// linesOf returns the lines of a node's log that contain a text at the end of a field.
func linesOf(n *node, text string) ([]string, error) {
	log, err := os.Open(filepath.Join(n.folder, "log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	var found []string
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxChunk)
	for lines.Scan() {
		if strings.Contains(lines.Text()+" ", text) {
			found = append(found, lines.Text())
		}
	}
	return found, lines.Err()
}
