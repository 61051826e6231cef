//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const pingInterval = 1200 * time.Millisecond

// worker is a stand-in for a worker of a plain service.
type worker struct {
	d           *deployment
	id, service string
	zone, slots int
	address     string
	born        int64
	// limit is the Server-Limit that it states, work the time of a request.
	limit float64
	work  time.Duration
	// onArrival is called with each request that reaches the worker.
	onArrival func(id string)
	server    *http.Server
	done      chan struct{}

	mu      sync.Mutex
	seq     uint64
	running int
}

// start begins to serve and to send pings.
func (w *worker) start() error {
	l, err := net.Listen("tcp", net.JoinHostPort(w.d.ip(200+w.zone), "0"))
	if err != nil {
		return err
	}
	w.address, w.born, w.done = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 30 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	go w.ping()
	return nil
}

func (w *worker) stop() {
	close(w.done)
	_ = w.server.Close()
}

func (w *worker) ping() {
	for i := 0; ; i++ {
		w.sendPing(i)
		select {
		case <-w.done:
			return
		case <-time.After(pingInterval):
		}
	}
}

// sendPing sends one ping to one keeper after the other until one acknowledges it.
func (w *worker) sendPing(i int) {
	w.mu.Lock()
	w.seq++
	seq := w.seq
	w.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": fmt.Sprintf("zone-%d", w.zone), "version": "v1", "slots": w.slots, "state": "ready",
		"cold_left_ms": 0, "born": w.born, "seq": seq,
	})
	if err != nil {
		return
	}
	for k := range w.d.keepers {
		if status, _ := w.d.post(w.d.keepers[(i+k)%len(w.d.keepers)], "/api/instances/"+w.id+"/heartbeat", data); status == http.StatusOK {
			return
		}
	}
}

// begin takes a slot; false if none is free.
func (w *worker) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.slots {
		return false
	}
	w.running++
	return true
}

func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.onArrival(id)
	rw.Header().Set("Server-Limit", strconv.FormatFloat(w.limit, 'f', -1, 64))
	if !w.begin() {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.end()
	time.Sleep(w.work)
	rw.Header().Set("X-Response-Stamp", w.id+"."+id)
	_, _ = io.WriteString(rw, "done "+id)
}
