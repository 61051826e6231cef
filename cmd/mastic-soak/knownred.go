package main

import (
	"io"
	"os"
	"strings"
	"time"
)

const (
	// youngEntry is the name in KNOWN-RED.txt of the streams that an entry gave up as it had started within retryWindow before, and had
	// no retry left.
	youngEntry  = "young-entry-without-retries"
	retryWindow = 10 * time.Second
	// knownRedPackage begins the lines of the soak in KNOWN-RED.txt.
	knownRedPackage = "cmd/mastic-soak"
)

// listsKnownRed reports whether the file at a path lists a failure of the soak under a name; no path lists none.
func listsKnownRed(path, name string) (bool, error) {
	if path == "" {
		return false, nil
	}
	list, err := os.ReadFile(path)
	if err != nil {
		return false, err
	}
	for line := range strings.Lines(string(list)) {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == knownRedPackage && fields[1] == name {
			return true, nil
		}
	}
	return false, nil
}

// isYoung reports whether the entry's process had started within retryWindow before a time.
func (n *node) isYoung(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, started := range n.startedAt {
		if !started.After(at) && at.Sub(started) < retryWindow {
			return true
		}
	}
	return false
}

// logsExhaustedBudget reports whether a log tells that the budget for retries of a request was exhausted.
func logsExhaustedBudget(log io.Reader, request string) (exhausted bool, err error) {
	err = eachLine(log, func(line string) bool {
		exhausted = exhausted || strings.Contains(line, " request_id="+request+" ") && strings.Contains(line, " budget_exhausted=true ")
		return !exhausted
	})
	return exhausted, err
}

// withoutRetries reports whether a stream was given up because its entry was young and had no retry left.
func (a *attempt) withoutRetries() (exhausted bool, err error) {
	if !a.entry.isYoung(a.endedAt) {
		return false, nil
	}
	err = a.entry.readLog(func(log io.Reader) (err error) {
		exhausted, err = logsExhaustedBudget(log, a.request)
		return err
	})
	return exhausted, err
}
