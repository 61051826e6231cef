package main

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// stopGrace is the grace period of a planned stop in the settings.
	stopGrace = 4 * time.Second
	// A planned stop excuses the end of a request that was sent at most lateRequestTime after
	// SIGTERM and that an upstream still ran in the last sixth of the grace period.
	lateRequestTime = 3 * time.Second
	graceUsed       = stopGrace * 5 / 6
	// stopAnswerTime is the time after SIGTERM from which an entry may answer, in time before its
	// exit, what an upstream still runs.
	stopAnswerTime = stopGrace * 2 / 3
	// unreadTime is the time after which an entry has read a request: a connection that ends
	// sooner without an answer may have been closed before the entry read the request.
	unreadTime = 500 * time.Millisecond
	// rejectionTime bounds the time from a run's first event to the entry's answer that rejects it.
	rejectionTime = 300 * time.Millisecond
)

// disturbance is the time from a signal to its end: the exit of the process, or SIGCONT.
type disturbance struct {
	signal syscall.Signal
	from   time.Time
	// to is zero until the end.
	to time.Time
}

// overlaps reports whether the disturbance and an interval have a moment in common.
func (d disturbance) overlaps(from, to time.Time) bool {
	return !d.from.After(to) && (d.to.IsZero() || !d.to.Before(from))
}

// exchange is when and where a request was sent and its answer ended.
type exchange struct {
	entry *node
	// sentAt is when the request was sent completely; zero if it was not.
	sentAt, endedAt time.Time
	deadline        time.Duration
}

// String gives the times as the logs do, so that a violation can be traced there.
func (x *exchange) String() string {
	return fmt.Sprintf("%s at %s, %s after it was sent", x.entry.name, x.endedAt.UTC().Format("15:04:05.000"), x.endedAt.Sub(x.sentAt))
}

// isExcused reports whether the entry may end the request although an upstream runs it: by an
// answer of its own, or without one.
func (x *exchange) isExcused(answered bool) bool {
	stopTime := graceUsed
	if answered {
		stopTime = stopAnswerTime
	}
	return x.sentAt.IsZero() || x.endedAt.Sub(x.sentAt) >= x.deadline || slices.ContainsFunc(x.entry.disturbances(), func(d disturbance) bool {
		switch d.signal {
		case syscall.SIGKILL:
			return d.overlaps(x.sentAt, x.endedAt)
		case syscall.SIGTERM:
			return d.overlaps(x.sentAt, x.endedAt) && !x.sentAt.After(d.from.Add(lateRequestTime)) && !x.endedAt.Before(d.from.Add(stopTime))
		default:
			return false
		}
	})
}

// mayBeUnread reports whether the connection may have ended before the entry read the request. A request that was sent while the
// entry had no process is the link's, which resets the connection once it finds that out.
func (x *exchange) mayBeUnread() bool {
	return x.endedAt.Sub(x.sentAt) <= unreadTime || x.entry.wasDown(x.sentAt) || slices.ContainsFunc(x.entry.disturbances(), func(d disturbance) bool {
		return d.signal == syscall.SIGSTOP && d.overlaps(x.sentAt, x.endedAt)
	})
}

// isRejected reports whether the entry rejected the first event of a stream that its caller
// resumed: an entry that has not seen yet by which step the service numbers its events takes the
// next one for a gap.
func (a *attempt) isRejected(runs []*streamRun) bool {
	return a.after > 0 && a.kind.step > 1 && a.status == http.StatusBadGateway && slices.ContainsFunc(runs, func(r *streamRun) bool {
		return r.beganSending(a.endedAt.Add(-rejectionTime), a.endedAt)
	})
}

// givenUp describes a stream that ended although an upstream still ran it, or a request that got
// no answer; empty if there is none. An upstream that falls silent and goes on has not ended.
func (a *attempt) givenUp(runs []*streamRun) string {
	switch {
	case a.ending == endedComplete && a.status == http.StatusOK, a.ending == endedDisconnected, a.callerLeft,
		a.path != nil && a.path.harmed.Load(), a.isExcused(a.ending == endedComplete), a.isRejected(runs):
		return ""
	}
	for _, r := range runs {
		if r.number >= a.lastSender && !r.upstreamEnded(a.endedAt) {
			return fmt.Sprintf("stream %s got status %d, %d of %d events, %s, from %s, but run %d did not end: %v",
				a.request, a.status, a.lastEvent(), a.total, a.ending, &a.exchange, r.number, runs)
		}
	}
	// Without a path the link had no connection to the entry: nothing listened there.
	if len(runs) == 0 && a.status == 0 && a.path != nil && !a.mayBeUnread() {
		return fmt.Sprintf("stream %s got no answer from %s, and did not run%s", a.request, &a.exchange, a.path.describe(a.endedAt))
	}
	return ""
}

// givenUp returns the streams that ended although an upstream still ran them, and the requests
// without an answer. knownRed are those of them that an entry without a retry gave up shortly after its start, if the file at a path lists these.
func (s *streamCallers) givenUp(listPath string) (found, knownRed []string, err error) {
	listed, err := listsKnownRed(listPath, youngEntry)
	if err != nil {
		return nil, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.incomplete {
		text := a.givenUp(s.engines.runs.runsOf(a.request))
		if text == "" {
			continue
		}
		exhausted, err := a.withoutRetries()
		if err != nil {
			return nil, nil, err
		}
		if exhausted && listed {
			knownRed = append(knownRed, text)
		} else {
			found = append(found, text)
		}
	}
	return found, knownRed, nil
}

// givenUp returns the requests that ended without the answer of an upstream that ran them and
// did not break, and those without an answer.
func (s *plainService) givenUp(answers map[string]answer) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for id, a := range answers {
		if a.status == http.StatusOK || a.isExcused(a.status != 0) {
			continue
		}
		sound := s.runs[id] - s.broken[id]
		switch {
		case sound > 0:
			found = append(found, fmt.Sprintf("%s got status %d from %s, but %d upstreams ran it to the end", id, a.status, &a.exchange, sound))
		case a.status == 0 && s.runs[id] == 0 && !a.mayBeUnread():
			found = append(found, fmt.Sprintf("%s got no answer from %s, and did not run", id, &a.exchange))
		}
	}
	return found
}
