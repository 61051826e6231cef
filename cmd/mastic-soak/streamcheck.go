package main

import (
	"fmt"
	"net/http"
	"strings"
)

// ending is how an answer ended for its caller.
type ending string

const (
	endedComplete     ending = "whole"
	endedBroken       ending = "broken"
	endedDisconnected ending = "client disconnected"
)

const eventEnd = "\n\n"

// attempt is one request for a stream and what its caller received.
type attempt struct {
	request string
	kind    *streamKind
	// after is the last event that the caller already has; total is the stream's last event.
	after, total int
	// crashing requests have a part in their prompt that crashes engines.
	crashing            bool
	status              int
	echoedID, signature string
	body                strings.Builder
	ending              ending
	exchange
	// path is the caller's connection on the entry's link.
	path *linkConn
	// callerLeft is true if the caller gave up waiting.
	callerLeft bool
	// lastSender is the number of the run that sent the last event; 0 for none.
	lastSender int
	// malformed describes bytes that are not a valid answer.
	malformed string
}

// lastEvent returns the ID of the last complete event.
func (a *attempt) lastEvent() int {
	if a.status != http.StatusOK {
		return a.after
	}
	return a.after + strings.Count(a.body.String(), eventEnd)
}

// violations compares what a caller received with what the runs of its request sent.
func (a *attempt) violations(l *runLog) []string {
	c := &streamCheck{attempt: a, runLog: l, runs: l.runsOf(a.request), last: a.after}
	if a.kind.once && len(c.runs) > 1 {
		c.report("must run at most once and ran %d times", len(c.runs))
	}
	switch {
	case a.malformed != "":
		c.report("malformed answer: %s", a.malformed)
	case a.status == 0:
		// The connection failed before an answer.
	case a.echoedID != a.request && (a.echoedID != "" || a.status == http.StatusOK):
		c.report("the answer belongs to request %q", a.echoedID)
	case a.signature != "" && a.signature != refusalSignature && !c.signedByRun():
		c.report("status %d with signature %q, which no run sent", a.status, a.signature)
	case a.status == http.StatusOK && !c.signedByRun():
		c.report("a success without a run's signature: %q", a.signature)
	case a.status == http.StatusOK:
		c.checkStream()
	}
	if c.sender != nil {
		a.lastSender = c.sender.number
	}
	return c.found
}

// streamCheck checks the events of one answer in order.
type streamCheck struct {
	attempt *attempt
	runLog  *runLog
	runs    []*streamRun
	// last is the ID of the last checked event, sender is the run that sent it.
	last   int
	sender *streamRun
	found  []string
}

func (c *streamCheck) report(format string, args ...any) {
	text := fmt.Sprintf("stream %s after %d: ", c.attempt.request, c.attempt.after) + fmt.Sprintf(format, args...)
	for _, r := range c.runs {
		text += "; " + r.String()
	}
	c.found = append(c.found, text)
}

// signedByRun reports whether a run sent the answer's signature with its status.
func (c *streamCheck) signedByRun() bool {
	for _, r := range c.runs {
		if r.signature == c.attempt.signature && r.status == c.attempt.status {
			return true
		}
	}
	return false
}

func (c *streamCheck) checkStream() {
	rest := c.attempt.body.String()
	for {
		event, after, complete := strings.Cut(rest, eventEnd)
		if !complete {
			break
		}
		if !c.checkEvent(event + eventEnd) {
			return
		}
		rest = after
	}
	switch {
	case rest != "" && c.attempt.ending == endedComplete:
		c.report("ends as complete inside an event: %s", quoted(rest))
	case rest != "" && !c.isPartOfNext(rest):
		c.report("ends with bytes that no run sent at this position: %s", quoted(rest))
	case c.attempt.ending == endedComplete && c.last != c.attempt.total:
		c.report("ends as complete after event %d of %d", c.last, c.attempt.total)
	}
}

// checkEvent checks one complete event and reports whether to continue.
func (c *streamCheck) checkEvent(event string) bool {
	var senders []*streamRun
	id := 0
	for _, r := range c.runs {
		for i, sent := range r.events {
			if sent != event {
				continue
			}
			if _, complete := r.sentPart(r.base + 1 + i); complete {
				senders, id = append(senders, r), r.base+1+i
			}
		}
	}
	switch {
	case len(senders) == 0:
		if owner := c.runLog.requestOf(event); owner != "" && owner != c.attempt.request {
			c.report("event of request %s: %s", owner, quoted(event))
		} else {
			c.report("event that no run sent: %s", quoted(event))
		}
		return false
	case id <= c.last && id > c.attempt.after:
		c.report("event %d repeated after %d", id, c.last)
		return false
	case id <= c.last:
		c.report("event %d, which the caller already had", id)
		return false
	case id != c.last+1:
		c.report("events between %d and %d are missing", c.last, id)
		return false
	}
	if r := senders[0]; r != c.sender && r.after != c.last {
		c.report("event %d is from run %d, which was asked to resume after %d", id, r.number, r.after)
		return false
	}
	c.last, c.sender = id, senders[0]
	return true
}

// isPartOfNext reports whether rest is the beginning of the next event as a run sent it.
func (c *streamCheck) isPartOfNext(rest string) bool {
	for _, r := range c.runs {
		if sent, _ := r.sentPart(c.last + 1); strings.HasPrefix(sent, rest) && (r == c.sender || r.after == c.last) {
			return true
		}
	}
	return false
}

// maxQuotedBytes bounds the part of an event quoted in a message.
const maxQuotedBytes = 160

func quoted(event string) string {
	if len(event) > maxQuotedBytes {
		return fmt.Sprintf("%q and %d more bytes", event[:maxQuotedBytes], len(event)-maxQuotedBytes)
	}
	return fmt.Sprintf("%q", event)
}
