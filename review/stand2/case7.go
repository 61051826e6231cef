//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["ran-and-refused"] = ranAndRefused }

const (
	// plainServers is the number of servers, of which one is grey: a share of 0.125.
	plainServers = 8
	// failEvery makes the grey server fail each third of its requests: a share of 0.33.
	failEvery = 3
	grants    = 360
	clients   = 12
)

// ledger is what the servers of a plain service have run.
type ledger struct {
	mu sync.Mutex
	// ran counts the runs of each request, grants those of each grant.
	ran, grants map[string]int
	failed      int
	// promised counts the requests that ran and were answered with a status that promises that they have not.
	promised int
}

// ranAndRefused has a grey server run requests and answer them with a failure of its own. No request that ran may be answered with a
// status that promises that it has not.
func ranAndRefused(w *world, trouble bool) (int, error) {
	l := &ledger{ran: map[string]int{}, grants: map[string]int{}}
	stop := make(chan struct{})
	defer close(stop)
	if err := w.startDesk(l, trouble, stop); err != nil {
		return 0, err
	}
	var workers sync.WaitGroup
	var next atomic.Int32
	for range clients {
		workers.Go(func() {
			for i := int(next.Add(1)); i <= grants; i = int(next.Add(1)) {
				l.recordGrant(w, i)
			}
		})
	}
	workers.Wait()
	again := 0
	for grant, n := range l.grants {
		if n > 1 {
			again++
			w.note("%s was recorded %d times", grant, n)
		}
	}
	w.note("%d grants, %d failed by their server, %d ran and were answered as not run, %d were recorded twice", grants, l.failed, l.promised, again)
	switch {
	case l.promised > 0:
		return broken, nil
	case trouble && l.failed == 0:
		return 0, fmt.Errorf("the grey server got no request")
	}
	return held, nil
}

// recordGrant has a client record one grant. It sends it once more after an answer that promises that it has not run.
func (l *ledger) recordGrant(w *world, i int) {
	grant := fmt.Sprintf("grant-%d", i)
	for try := 1; try <= 2; try++ {
		id := fmt.Sprintf("%s-try-%d", grant, try)
		status, err := w.grant(i%len(w.entries), id, grant)
		promise := status == 503 || status == 429 || status == 408 || status == 421
		l.mu.Lock()
		ran := l.ran[id] > 0
		if promise && ran {
			l.promised++
		}
		l.mu.Unlock()
		w.note("%s: status %d, ran %v, %v", id, status, ran, err)
		if !promise {
			return
		}
	}
}

// startDesk starts the processes and a plain service.
func (w *world) startDesk(l *ledger, trouble bool, stop <-chan struct{}) error {
	if err := w.start(3, 2); err != nil {
		return err
	}
	m := emptyManifest(1)
	m["routes"] = []any{
		map[string]any{"name": "r-grant", "host": host, "path_prefix": "/grant/", "kind": "non_idempotent", "timeout_ms": 1500, "slo_ms": 120, "priority": 1, "service": "desk", "max_attempts": 1, "public": true},
	}
	m["services"] = []any{map[string]any{"name": "desk", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}}
	if err := w.replace(m); err != nil {
		return err
	}
	for i := range plainServers {
		grey := trouble && i == 0
		u, err := w.newUpstream(61+i, fmt.Sprintf("i-desk-%d", i), "desk", func(u *upstream, c net.Conn) { l.serve(u, c, grey) })
		if err != nil {
			return err
		}
		go w.beatForever(u, stop)
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(2500 * time.Millisecond)
	return nil
}

// serve serves one connection of a plain server.
func (l *ledger) serve(u *upstream, c net.Conn, grey bool) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		q, err := readRequest(r)
		if err != nil {
			return
		}
		id := q.headers.Get("X-Request-Id")
		if expected := q.headers.Get("X-Expect-Instance"); expected != "" && expected != u.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: "+id+"\r\nX-Not-Executed: 1\r\nAt-Server: "+expected+"\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		time.Sleep(15 * time.Millisecond)
		fails := l.run(u, id, string(q.body), grey)
		status, body := "200 OK", "recorded"
		if fails {
			status, body = "503 Service Unavailable", "recorded, but the archive did not answer"
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, u.id, len(body), body); err != nil {
			return
		}
	}
}

// run records the run of a request, and reports whether it fails.
func (l *ledger) run(u *upstream, id, grant string, grey bool) (fails bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[id]++
	l.grants[grant]++
	u.mu.Lock()
	u.runs++
	fails = grey && u.runs%failEvery == 0
	u.mu.Unlock()
	if fails {
		l.failed++
	}
	return fails
}

// grant sends a request to record a grant, and returns the status of its answer.
func (w *world) grant(entry int, id, grant string) (status int, err error) {
	text, err := w.raw(entry, fmt.Sprintf("POST /grant/a HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", host, id, len(grant), grant), 3*time.Second)
	if err != nil {
		return 0, err
	}
	_, err = fmt.Sscanf(strings.TrimPrefix(text, "HTTP/1.1 "), "%d", &status)
	return status, err
}
