//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// statedLimit is what the worker states, in requests a second.
	statedLimit = 2.0
	// idleTime is the time without a request before the burst.
	idleTime = 33 * time.Second
	// burstRequests come at once, over all entries.
	burstRequests = 60
)

// runIdleLimit has a worker that states a limit get no request for a time, and then many users come at once.
func runIdleLimit(rec *record, binary string, subnet int, trouble bool) int {
	d, err := newDeployment(rec, binary, subnet, 3, 3)
	if err != nil {
		return notRun
	}
	defer d.stopAll()
	if d.startAll() != nil || !d.replace(manifest(), time.Now().Add(10*time.Second)) {
		return notRun
	}
	var mu sync.Mutex
	var arrivals []time.Time
	w := &worker{d: d, id: "i-desk-0", service: "desk", slots: 30, limit: statedLimit, work: 400 * time.Millisecond}
	w.onArrival = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, time.Now())
		rec.add("request %s reaches %s", id, w.id)
	}
	if w.start() != nil {
		return notRun
	}
	defer w.stop()
	if !d.awaitReady(time.Now().Add(10 * time.Second)) {
		return notRun
	}
	time.Sleep(3 * time.Second)
	send := func(e *node, id string) (status int) {
		r, _ := http.NewRequest(http.MethodPost, "http://"+e.front()+readPath+id, strings.NewReader("body"))
		r.Host = host
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Key", key)
		r.Header.Set("X-Deadline-Ms", "2500")
		resp, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
		if err != nil {
			rec.add("request %s: %v", id, err)
			return 0
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		rec.add("request %s answered %d", id, resp.StatusCode)
		return resp.StatusCode
	}
	// Every entry passes on answers that state the limit.
	passed := map[int]bool{}
	for n := 0; len(passed) < len(d.entries) && n < 40; n++ {
		if i := n % len(d.entries); send(d.entries[i], fmt.Sprintf("first-%d", n)) == http.StatusOK {
			passed[i] = true
		}
		time.Sleep(300 * time.Millisecond)
	}
	if len(passed) < len(d.entries) {
		return notRun
	}
	wait := 4 * time.Second
	if trouble {
		wait = idleTime
	}
	rec.add("no request for %s", wait)
	time.Sleep(wait)
	var users sync.WaitGroup
	for i := range burstRequests {
		users.Go(func() { send(d.entries[i%len(d.entries)], fmt.Sprintf("burst-%d", i)) })
	}
	users.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i, at := range arrivals {
		n, _ := slices.BinarySearchFunc(arrivals[i:], at.Add(4*time.Second), func(a, b time.Time) int { return a.Compare(b) })
		most = max(most, n)
	}
	allowed := 1.5*statedLimit*4 + 5
	rec.add("at most %d requests in 4 s, %.0f are allowed", most, allowed)
	fmt.Println("most", most, "allowed", allowed)
	if float64(most) > allowed {
		return broken
	}
	return held
}
