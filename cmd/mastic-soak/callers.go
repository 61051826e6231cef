package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// oncePrefix is the ID prefix of requests that must run at most once, againPrefix that of
	// the others.
	oncePrefix  = "once-"
	againPrefix = "again-"
	// callInterval is the time between two requests.
	callInterval = 20 * time.Millisecond
	// callTimeout is the deadline of a request.
	callTimeout = 1500 * time.Millisecond
	// requiredSuccesses is the number of consecutive successes after which the region counts
	// as serving.
	requiredSuccesses = 20
)

// answer is what a caller received; status 0 if the connection failed.
type answer struct {
	exchange
	status int
	body   string
}

// saysNotExecuted reports whether the status states that the request was never executed.
func (a answer) saysNotExecuted() bool {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// callers send requests to the plain service and record the answers. Half of the requests
// use persistent connections.
type callers struct {
	region *region
	// keepAlive holds the persistent connections.
	keepAlive  http.Transport
	mu         sync.Mutex
	received   map[string]answer
	denials    denials
	lastNumber int
}

func (c *callers) answers() map[string]answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// nextNumber returns the number of the next request.
func (c *callers) nextNumber() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	return c.lastNumber
}

// call sends one request and records its answer.
func (c *callers) call(runOnce bool) answer {
	number := c.nextNumber()
	r := plainRequest{method: http.MethodPost, path: "/grant/x", runOnce: true}
	if !runOnce {
		r = plainRequest{method: http.MethodGet, path: "/lookup/x"}
	}
	return c.send(r, number, number)
}

// plainRequest is what a request of a plain service asks for; its ID is not part of it.
type plainRequest struct {
	method, path, key, body string
	runOnce                 bool
}

// send sends a request to an entry and records its answer. The number makes the request's ID.
func (c *callers) send(r plainRequest, number, entry int) answer {
	prefix := againPrefix
	if r.runOnce {
		prefix = oncePrefix
	}
	id := prefix + strconv.Itoa(number)
	transport := &c.keepAlive
	if number/2%2 == 0 {
		transport = &http.Transport{DisableKeepAlives: true}
	}
	x := exchange{entry: c.region.entries[entry%len(c.region.entries)], sentAt: time.Now(), deadline: callTimeout}
	c.region.repeats.send(serviceOf(r.path), id)
	c.region.handed.send(serviceOf(r.path), id, x.entry, callTimeout)
	a := sendPlain(transport, x.entry, id, r)
	x.endedAt = time.Now()
	a.exchange = x
	c.denials.record(id, a.status)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.received == nil {
		c.received = map[string]answer{}
	}
	c.received[id] = a
	return a
}

func sendPlain(transport *http.Transport, entry *node, id string, r plainRequest) answer {
	req, err := http.NewRequest(r.method, fmt.Sprintf("http://%s:%d%s", entry.ip, callerPort, r.path), strings.NewReader(r.body))
	must(err)
	if r.method == http.MethodGet {
		// The transport sends a GET again by itself if a persistent connection ends, unless it
		// cannot get its body again.
		req.Body, req.GetBody = io.NopCloser(strings.NewReader(r.body)), nil
	}
	req.Host = soakHost
	req.Header.Set("X-Request-Id", id)
	if r.key != "" {
		req.Header.Set("X-Key", r.key)
	}
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	client := &http.Client{Timeout: 2 * callTimeout, Transport: transport}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: resp.StatusCode, body: strings.TrimSpace(string(body))}
}

// run sends requests while active returns true.
func (c *callers) run(active func() bool) {
	c.sendAll(callInterval, active, func(i int) { c.call(i%2 == 0) })
}

// sendAll calls send in each interval while active returns true.
func (c *callers) sendAll(interval time.Duration, active func() bool, send func(i int)) {
	var calls sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 0; active(); i++ {
		<-tick.C
		calls.Go(func() { send(i) })
	}
	calls.Wait()
}

// waitServed reports whether requiredSuccesses requests in a row succeed before the start timeout.
func (c *callers) waitServed() bool {
	return waitSuccesses(startTimeout, func(successes int) answer { return c.call(successes%2 == 0) })
}

// waitSuccesses reports whether requiredSuccesses calls in a row succeed within a time. Each is
// given the number of successes before it.
func waitSuccesses(within time.Duration, call func(successes int) answer) bool {
	successes := 0
	for end := time.Now().Add(within); time.Now().Before(end); {
		if call(successes).status != http.StatusOK {
			successes = 0
			time.Sleep(callInterval)
			continue
		}
		if successes++; successes == requiredSuccesses {
			return true
		}
	}
	return false
}
