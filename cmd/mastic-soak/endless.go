package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryLimit is the limit on a process's memory in its settings, in MiB.
	memoryLimit = 256
	// minEndless and maxEndless bound the time for which an engine sends endless answers, endlessInterval that between two of them.
	minEndless, maxEndless = 300 * time.Millisecond, time.Second
	endlessInterval        = time.Second
)

// endlessAnswers are answers without end, in a head or a body: their first bytes, which name the request, and those that are repeated.
var endlessAnswers = []struct{ head, repeated string }{
	{"", strings.Repeat("\x00\xff", 4<<10)},
	{"HTTP/1.1 200 ", strings.Repeat("x", 8<<10)},
	{"HTTP/1.1 200 X\r\nA: ", strings.Repeat("b", 8<<10)},
	{"HTTP/1.1 200 X\r\n", strings.Repeat("A: b\r\n", 1<<10)},
	{"", strings.Repeat("HTTP/1.1 103 X\r\nLink: a\r\n\r\n", 300)},
	{"HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Response-Stamp: endless\r\nContent-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("y", 64<<10)},
	{"HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Response-Stamp: endless\r\nTransfer-Encoding: chunked\r\n\r\n5;name=", strings.Repeat("v", 8<<10)},
	{"HTTP/1.1 200 X\r\nX-Request-Id: %s\r\nX-Response-Stamp: endless\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: b\r\n", 1<<10)},
	{"HTTP/1.1 500 X\r\nX-Request-Id: %s\r\nX-Response-Stamp: endless\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("z", 64<<10) + "\r\n"},
}

// sendEndless sends bytes until the caller closes.
func (e *engine) sendEndless(conn net.Conn, id string) error {
	form := endlessAnswers[int(e.endlessSent.Add(1))%len(endlessAnswers)]
	if strings.Contains(form.head, "%s") {
		form.head = fmt.Sprintf(form.head, id)
	}
	_, err := io.WriteString(conn, form.head)
	for err == nil {
		_, err = io.WriteString(conn, form.repeated)
	}
	return err
}

// runEndless has single engines send answers without end, one after the other, until a time.
func (l *losses) runEndless(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(endlessInterval)
		e := l.engines.all[random.IntN(len(l.engines.all))]
		if e.service != engineService {
			continue
		}
		e.endless.Store(true)
		time.Sleep(minEndless + time.Duration(random.Int64N(int64(maxEndless-minEndless))))
		e.endless.Store(false)
	}
}

// memoryViolations returns the processes whose peak memory is above their limit, and the highest peak in MiB.
func (r *region) memoryViolations() (violations []string, highest int) {
	for _, n := range r.allNodes() {
		n.mu.Lock()
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
		n.mu.Unlock()
		peak := peakMemory(string(status))
		if err == nil && peak > memoryLimit {
			violations = append(violations, fmt.Sprintf("%s used %d MiB at its peak; its limit is %d", n.name, peak, memoryLimit))
		}
		highest = max(highest, peak)
	}
	return violations, highest
}

// peakMemory returns the peak resident memory that a process's status names, in MiB; 0 if it names none.
func peakMemory(status string) int {
	for line := range strings.Lines(status) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes >> 10
		}
	}
	return 0
}
