package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// desk is the stand-in of a plain service with two upstreams. It counts the runs of
// each request.
type desk struct {
	r         *region
	mu        sync.Mutex
	runs      map[string]int
	total     int
	upstreams []*upstream
	// troubled is true while faults come; then one answer in lostOf is lost.
	troubled atomic.Bool
	stopped  chan struct{}
	duties   sync.WaitGroup
}

// upstream is one instance of the service.
type upstream struct {
	desk   *desk
	id     string
	born   int64
	addr   string
	server *http.Server
	// loses is true while answers of requests that ran are lost, refuses while requests
	// are refused as not run.
	loses, refuses atomic.Bool
	// silent is true while nothing is announced.
	silent atomic.Bool
}

const (
	deskUpstreams = 2
	lostOf        = 40
)

func newDesk(r *region) *desk {
	d := &desk{r: r, runs: map[string]int{}, stopped: make(chan struct{})}
	for i := range deskUpstreams {
		u := &upstream{desk: d, id: fmt.Sprintf("desk-%d", i), born: time.Now().UnixMilli()}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		u.addr = listener.Addr().String()
		u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Second}
		go func() { _ = u.server.Serve(listener) }()
		d.upstreams = append(d.upstreams, u)
		d.duties.Go(u.announce)
	}
	return d
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "soak")
	if u.refuses.Load() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if lost := u.desk.ran(id); lost || u.loses.Load() {
		panic(http.ErrAbortHandler)
	}
	// A caller that left needs no answer.
	_, _ = fmt.Fprintf(w, "ran %s", id)
}

// ran counts a run and reports whether its answer is one that gets lost.
func (d *desk) ran(id string) (lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs[id]++
	d.total++
	return d.troubled.Load() && d.total%lostOf == 0
}

// announce tells keepers of the upstream, another one each time.
func (u *upstream) announce() {
	client := &http.Client{Timeout: announceEvery}
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for seq := 1; ; seq++ {
		select {
		case <-tick.C:
		case <-u.desk.stopped:
			return
		}
		if u.silent.Load() {
			continue
		}
		body, err := json.Marshal(map[string]any{
			"service": "desk", "address": u.addr, "zone": "zone-0", "slots": 50, "state": "ready", "seq": seq, "born": u.born,
		})
		if err != nil {
			panic(err)
		}
		keeper := u.desk.r.keepers[seq%keeperCount]
		resp, err := client.Post(fmt.Sprintf("http://%s:%d/api/instances/%s/heartbeat", keeper.ip, controlPort, u.id), "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

func (d *desk) stop() {
	close(d.stopped)
	d.duties.Wait()
	for _, u := range d.upstreams {
		_ = u.server.Close()
	}
}

// violations compares the runs with what callers were told.
func (d *desk) violations(answers map[string]answer) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []string
	for id, runs := range d.runs {
		if runs > 1 && strings.HasPrefix(id, oncePrefix) {
			found = append(found, fmt.Sprintf("%s ran %d times", id, runs))
		}
	}
	for id, a := range answers {
		switch runs := d.runs[id]; {
		case a.promisedNotRun() && runs > 0:
			found = append(found, fmt.Sprintf("%s was answered %d, which says that it did not run, and ran", id, a.status))
		case a.status == http.StatusOK && a.body != "ran "+id:
			found = append(found, fmt.Sprintf("%s got another answer: %q", id, a.body))
		case a.status == http.StatusOK && runs == 0:
			found = append(found, fmt.Sprintf("%s was answered and did not run", id))
		}
	}
	return found
}
