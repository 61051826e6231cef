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

// plainService is a fake plain service with two upstreams. It counts the runs of each
// request.
type plainService struct {
	region *region
	mu     sync.Mutex
	runs   map[string]int
	// broken counts the runs whose connection the upstream closed instead of an answer.
	broken    map[string]int
	total     int
	upstreams []*upstream
	// faultsActive is true while faults are injected; then one answer in dropOneIn is lost.
	faultsActive atomic.Bool
	done         chan struct{}
	workers      sync.WaitGroup
}

// upstream is one instance of the service.
type upstream struct {
	service   *plainService
	id        string
	startTime int64
	addr      string
	server    *http.Server
	// dropsAnswers closes connections after the request ran; refuses answers that requests
	// were not executed.
	dropsAnswers, refuses atomic.Bool
	// silent suspends announcements.
	silent atomic.Bool
	// pauses are the silences of a sound upstream.
	pauses silence
}

const (
	upstreamCount = 2
	dropOneIn     = 40
	// headerTimeout is longer than all silences, so that none ends a connection.
	headerTimeout = 10 * time.Second
)

func newPlainService(r *region) *plainService {
	s := &plainService{region: r, runs: map[string]int{}, broken: map[string]int{}, done: make(chan struct{})}
	for i := range upstreamCount {
		u := &upstream{service: s, id: fmt.Sprintf("desk-%d", i), startTime: time.Now().UnixMilli()}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		u.addr = listener.Addr().String()
		u.server = &http.Server{Handler: u, ReadHeaderTimeout: headerTimeout}
		go func() { _ = u.server.Serve(&pausableListener{listener, &u.pauses}) }()
		s.upstreams = append(s.upstreams, u)
		s.workers.Go(u.announce)
	}
	return s
}

// ServeHTTP executes a request and answers it according to the active faults.
func (u *upstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "soak")
	if u.refuses.Load() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if u.service.recordRun(id, u.dropsAnswers.Load()) {
		panic(http.ErrAbortHandler)
	}
	// The error is ignored: the client may have disconnected.
	_, _ = fmt.Fprintf(w, "ran %s", id)
}

// recordRun counts a run and reports whether its answer is to be dropped: where the upstream
// drops its answers, and once in dropOneIn runs.
func (s *plainService) recordRun(id string, drop bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.total++
	drop = drop || s.faultsActive.Load() && s.total%dropOneIn == 0
	if drop {
		s.broken[id]++
	}
	return drop
}

// announce sends announcements to the keepers in rotation.
func (u *upstream) announce() {
	client := &http.Client{Timeout: announceInterval}
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for seq := 1; ; seq++ {
		select {
		case <-tick.C:
		case <-u.service.done:
			return
		}
		u.pauses.wait()
		if u.silent.Load() {
			continue
		}
		body, err := json.Marshal(map[string]any{
			"service": "desk", "address": u.addr, "zone": "zone-0", "slots": 50, "state": "ready", "seq": seq, "born": u.startTime,
		})
		if err != nil {
			panic(err)
		}
		keeper := u.service.region.keepers[seq%keeperCount]
		resp, err := client.Post(fmt.Sprintf("http://%s:%d/api/instances/%s/heartbeat", keeper.ip, controlPort, u.id), "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

func (s *plainService) stop() {
	close(s.done)
	s.workers.Wait()
	for _, u := range s.upstreams {
		_ = u.server.Close()
	}
}

// violations compares the runs with the answers that callers received.
func (s *plainService) violations(answers map[string]answer) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []string
	for id, runs := range s.runs {
		if runs > 1 && strings.HasPrefix(id, oncePrefix) {
			found = append(found, fmt.Sprintf("%s ran %d times", id, runs))
		}
	}
	for id, a := range answers {
		switch runs := s.runs[id]; {
		case a.saysNotExecuted() && runs > 0:
			found = append(found, fmt.Sprintf("%s was answered %d, which means not executed, but ran", id, a.status))
		case a.status == http.StatusOK && a.body != "ran "+id:
			found = append(found, fmt.Sprintf("%s got a wrong answer: %q", id, a.body))
		case a.status == http.StatusOK && runs == 0:
			found = append(found, fmt.Sprintf("%s was answered but did not run", id))
		}
	}
	return found
}
