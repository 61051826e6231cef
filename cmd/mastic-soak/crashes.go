package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashingPart is the part of a prompt that crashes each engine of a group that begins to
	// answer it; the shared parts are in all prompts for groups.
	crashingPart, sharedPart, otherSharedPart = "dead0001", "5c1e07a2", "91bd3f06"
	// crashTime is how long a crashed engine refuses connections.
	crashTime = 700 * time.Millisecond
	// crashSeedStep: in one of so many seeds, prompts crash engines during the faults, too. In
	// the others groups serve more streams.
	crashSeedStep = 2
	// crashingPause is the pause between two requests with crashingPart.
	crashingPause = 250 * time.Millisecond
	// quarantineLimit is the number of crashes by which the part must be quarantined: three
	// separate ones, and those that happen while nodes and links are disturbed.
	quarantineLimit = 30
	// contactTime is the time within which all entries must know of a quarantine.
	contactTime = 3 * time.Second
	// crashingTries is the number of requests that each entry must refuse at the end.
	crashingTries = 3
)

// crashLog records the requests with crashingPart that reached engines.
type crashLog struct {
	arrivals atomic.Int64
	mu       sync.Mutex
	seen     []crashArrival
}

// crashArrival is one of these requests; inTouch is true if its entry was not disturbed for contactTime.
type crashArrival struct {
	at      time.Time
	inTouch bool
}

func (l *crashLog) record(inTouch bool) {
	l.arrivals.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = append(l.seen, crashArrival{time.Now(), inTouch})
}

// promptPrefix returns the header line that lists the parts of a request's prompt: two that all prompts for groups share, and one
// of those for the same model.
func promptPrefix(request, model string, crashing bool) string {
	parts := fmt.Sprintf("%s:40,%s:30,%x:20,", sharedPart, otherSharedPart, model)
	if crashing {
		parts += crashingPart + ":40,"
	}
	return fmt.Sprintf("X-Prompt-Prefix: %s%x:10\r\n", parts, request)
}

// crash begins the answer to a request and ends the engine's incarnation: its connections break,
// and nothing listens at its address for crashTime.
func (e *engine) crash(conn net.Conn, id string) error {
	e.set.crashes.record(e.set.region.handed.isInTouch(e.service, id))
	how, delay := listenerFirst, time.Duration(0)
	if e.set.variesEndings {
		random := randomSource(e.set.seed, id)
		how, delay = engineEnding(random.IntN(int(endingCount))), time.Duration(random.Int64N(int64(maxListenerDelay)))
	}
	return e.end(conn, id, how, delay)
}

// hasCrashingPart reports whether a request's prompt has crashingPart.
func hasCrashingPart(req *http.Request) bool {
	return strings.Contains(req.Header.Get("X-Prompt-Prefix"), crashingPart)
}

// goDown refuses connections for a time. Open connections are reset.
func (l *link) goDown(d time.Duration) {
	l.mu.Lock()
	if l.isDown || l.stopped {
		l.mu.Unlock()
		return
	}
	l.isDown = true
	address := l.listener.Addr().String()
	_ = l.listener.Close()
	l.mu.Unlock()
	l.resetAll()
	time.AfterFunc(d, func() { l.listenAgain(address) })
}

const (
	// listenTimeout bounds the wait for an address to be free again, listenInterval is the time between two tries.
	listenTimeout  = 20 * time.Second
	listenInterval = 20 * time.Millisecond
)

// listenAgain accepts connections again at the address from before.
func (l *link) listenAgain(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	listener, err := net.Listen("tcp", address)
	for end := time.Now().Add(listenTimeout); err != nil && time.Now().Before(end); listener, err = net.Listen("tcp", address) {
		// A connection of another link may have got the port as its own meanwhile.
		time.Sleep(listenInterval)
	}
	if err != nil {
		panic(fmt.Sprintf("the link at %s does not listen again: %v", address, err))
	}
	l.listener, l.isDown = listener, false
	go l.accept(listener)
}

// sendSound sends one request with the shared parts alone and returns the status of the answer; 0 for none.
func (s *streamCallers) sendSound(name string, entry int) int {
	c := s.caller(name, entry)
	defer c.closeConn()
	a := &attempt{request: name, kind: pairStream, total: 5}
	c.attempt(a, false)
	s.record(a)
	s.report(a.violations(s.engines.runs)...)
	return a.status
}

// sendCrashing sends one request with crashingPart and returns the status of the answer, 400 if it is refused for that part; 0 for none.
func (s *streamCallers) sendCrashing(name string, entry int) int {
	c := s.caller(name, entry)
	defer c.closeConn()
	a := &attempt{request: name, kind: pairStream, total: 1, crashing: true}
	c.attempt(a, false)
	if a.ending == endedComplete && a.status == http.StatusOK {
		s.report(fmt.Sprintf("request %s crashes engines, and its caller got a complete answer", name))
	}
	if strings.Contains(a.body.String(), `"type":"prompt-suspected"`) {
		// Until trials have crashed engines, too, the request may be sent again later.
		return http.StatusBadRequest
	}
	return a.status
}

// runCrashing sends requests with crashingPart to the entries in rotation until a time.
func (s *streamCallers) runCrashing(until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		s.sendCrashing(fmt.Sprintf("crashing-%d", i), i)
		time.Sleep(crashingPause)
	}
}

// checkQuarantine returns violations after the faults: once one entry refuses requests with
// crashingPart, all must do so after contactTime, and none may reach an engine. With sound requests in
// between, none of those may be refused for its content then. Without whole groups there are no crashes to
// learn from, which is checked elsewhere.
func (s *streamCallers) checkQuarantine(withSound bool) []string {
	log := &s.engines.crashes
	end := time.Now().Add(streamWaitLimit)
	for i := 0; s.sendCrashing(fmt.Sprintf("learn-%d", i), 0) != http.StatusBadRequest; i++ {
		if withSound {
			s.sendSound(fmt.Sprintf("beside-%d", i), i)
		}
		if log.arrivals.Load() > quarantineLimit {
			return []string{fmt.Sprintf("a part of prompts crashed engines %d times and is not quarantined", log.arrivals.Load())}
		}
		if time.Now().After(end) {
			fmt.Printf("no quarantine after %d crashes: groups serve too seldom to learn from\n", log.arrivals.Load())
			return nil
		}
		time.Sleep(crashingPause)
	}
	time.Sleep(contactTime)
	before := log.arrivals.Load()
	var violations []string
	for entry := range s.entryAddresses {
		for i := range crashingTries {
			if status := s.sendCrashing(fmt.Sprintf("late-%d-%d", entry, i), entry); status != http.StatusBadRequest {
				violations = append(violations, fmt.Sprintf("entry %d answered %d to a request with a quarantined part", entry, status))
			}
			if withSound && s.sendSound(fmt.Sprintf("sound-%d-%d", entry, i), entry) == http.StatusBadRequest {
				violations = append(violations, fmt.Sprintf("entry %d refuses a sound request that shares parts with the quarantined one", entry))
			}
		}
	}
	if n := log.arrivals.Load() - before; n > toleratedSends {
		violations = append(violations, fmt.Sprintf("%d requests with a quarantined part reached engines %s after the quarantine began", n, contactTime))
	}
	return violations
}
