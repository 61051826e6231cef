package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plainService is a fake plain service. It counts the runs of each request.
type plainService struct {
	region *region
	name   string
	mu     sync.Mutex
	runs   map[string]int
	// broken counts the runs that the upstream failed: it closed the connection instead of an answer, or answered with an error
	// although the request ran.
	broken    map[string]int
	total     int
	upstreams []*upstream
	// crashing records the requests that crash upstreams; nil in a service without such ones.
	crashing *crashLedger
	// repeats records what arrives; nil in a service without callers.
	repeats *repeatLedger
	// handed records what arrives from each entry; nil in a service without callers.
	handed *handedLedger
	// press has most requests fail; nil otherwise.
	press *retryPress
	// faultsActive is true while faults are injected; then one answer in dropOneIn is lost.
	faultsActive atomic.Bool
	done         chan struct{}
	workers      sync.WaitGroup
}

// upstream is one instance of the service.
type upstream struct {
	service *plainService
	number  int
	addr    string
	mu      sync.Mutex
	// incarnation numbers the starts. isDown is true between a crash and the next start, isStopped
	// once there is none.
	incarnation       int
	isDown, isStopped bool
	startTime         int64
	server            *http.Server
	// dropsAnswers closes connections after the request ran; refuses answers that requests
	// were not executed.
	dropsAnswers, refuses atomic.Bool
	// executed counts the runs of this upstream.
	executed atomic.Int64
	// silent suspends announcements.
	silent atomic.Bool
	// pauses are the silences of a sound upstream.
	pauses silence
	// paused is the time for which it wants no work.
	paused statedPause
	// leaving is true if it states in all its answers that it leaves.
	leaving atomic.Bool
	// limit is what it states in its answers.
	limit statedLimit
}

const (
	deskCount = 2
	dropOneIn = 40
	// headerTimeout is longer than all silences, so that none ends a connection.
	headerTimeout = 10 * time.Second
)

func newPlainService(r *region, name string, count int, crashing *crashLedger) *plainService {
	s := &plainService{region: r, repeats: r.repeats, handed: r.handed, name: name, crashing: crashing, runs: map[string]int{}, broken: map[string]int{}, done: make(chan struct{})}
	for i := range count {
		u := &upstream{service: s, number: i, addr: r.endpoint()}
		u.start()
		s.upstreams = append(s.upstreams, u)
		s.workers.Go(u.announce)
	}
	return s
}

// start starts an incarnation at the address of the one before.
func (u *upstream) start() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isStopped {
		return
	}
	listener, err := net.Listen("tcp", u.addr)
	must(err)
	u.addr = listener.Addr().String()
	u.incarnation++
	u.isDown, u.startTime = false, time.Now().UnixMilli()
	server := &http.Server{Handler: u, ReadHeaderTimeout: headerTimeout}
	u.server = server
	go func() { _ = server.Serve(&pausableListener{listener, &u.pauses}) }()
}

// stop ends the upstream for good.
func (u *upstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.isStopped = true
	_ = u.server.Close()
}

// instance is the ID of the current incarnation.
func (u *upstream) instance() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.instanceLocked()
}

func (u *upstream) instanceLocked() string {
	return fmt.Sprintf("%s-%d.%d", u.service.name, u.number, u.incarnation)
}

// ServeHTTP executes a request and answers it according to the active faults.
func (u *upstream) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Request-Id")
	u.service.repeats.arrive(u.service.name, id)
	u.service.handed.arrive(u.service.name, u.addr, id, req.Header)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Response-Stamp", "soak")
	instance := u.instance()
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != instance {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.limit.apply(w)
	if u.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
		u.service.handed.leave(u.service.name, u.addr, id)
	}
	dropped, refused := u.service.press.draw()
	switch {
	case u.paused.left() > 0 && !u.leaving.Load():
		left := u.paused.left()
		u.service.handed.pause(u.service.name, u.addr, id, left)
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", retryAfter(left))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case u.refuses.Load(), refused:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case u.service.crashing != nil:
		u.serveOrCrash(w, req, instance)
		return
	}
	number := int(u.executed.Add(1))
	failed := number%dropOneIn == 0 && strings.HasPrefix(id, oncePrefix) && u.service.faultsActive.Load()
	switch broken := u.service.recordRun(id, failed || u.dropsAnswers.Load() || dropped); {
	case failed:
		w.WriteHeader(failureStatuses[number/dropOneIn%len(failureStatuses)])
		return
	case broken:
		breakAnswer(w, id, number)
		return
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
		u.mu.Lock()
		isDown, id := u.isDown, u.instanceLocked()
		fields := map[string]any{
			"service": u.service.name, "address": u.addr, "zone": "zone-0", "slots": 50, "state": "ready", "seq": seq, "born": u.startTime,
		}
		u.mu.Unlock()
		if isDown {
			continue
		}
		body, err := json.Marshal(fields)
		must(err)
		post(client, u.service.region.keeperInTurn(seq), "instances/"+id+"/heartbeat", body)
	}
}

func (s *plainService) stop() {
	close(s.done)
	s.workers.Wait()
	for _, u := range s.upstreams {
		u.stop()
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
