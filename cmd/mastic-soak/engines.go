package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineService = "engines"
	groupService  = "groups"
	engineSlots   = 24
	engineStep    = 5 * time.Millisecond
	// endpointHost is the last byte of the addresses of engines and links; nodes use lower
	// ones.
	endpointHost = 250
	// Idle connections are closed after a random time in this range, so that a request may
	// arrive just as its connection closes.
	minIdle = 50 * time.Millisecond
	maxIdle = 2 * time.Second
)

// engineSet holds the fake upstreams that answer with streams.
type engineSet struct {
	region *region
	seed   uint64
	runs   *runLog
	// crashes counts requests that crash engines. variesEndings has these end in different ways, losesHeads before the headers of their
	// answers have left them.
	crashes                   crashLog
	variesEndings, losesHeads bool
	// loss ends engines as they begin an answer; nil without one.
	loss atomic.Pointer[plannedLoss]
	all  []*engine
	// joins counts the joins that engines got.
	joins atomic.Int64
	// faultsActive is true while faults are injected.
	faultsActive atomic.Bool
	done         chan struct{}
	workers      sync.WaitGroup
}

// engine is one fake upstream. It writes its answers to the socket itself, so that they
// can be malformed.
type engine struct {
	set     *engineSet
	id      string
	service string
	// slowness is that of the region's timing; 0 without one.
	slowness float64
	group    membership
	listener net.Listener
	link     *link
	// startTime, in Unix milliseconds, and seq are reset with each incarnation.
	startTime, seq atomic.Int64
	inFlight       atomic.Int32
	// silent suspends announcements; draining announces the state draining; isFull refuses all
	// requests, which reports do not show.
	silent, draining, isFull atomic.Bool
	mu                       sync.Mutex
	conns                    map[net.Conn]bool
	// streams are the runs in progress.
	streams map[net.Conn]*streamRun
	// isEnding is true while its connections are closed and its listener is not.
	isEnding atomic.Bool
	// endless is true while it sends answers without end, endlessSent counts these.
	endless     atomic.Bool
	endlessSent atomic.Int64
	// paused is the time for which it wants no work.
	paused statedPause
	// pauses are the silences of a sound engine.
	pauses silence
	// endTimes are when its incarnation, or that of a member of its group, ended.
	endTimes []time.Time
}

func newEngineSet(r *region, seed uint64, single, grouped int) (*engineSet, error) {
	es := &engineSet{region: r, seed: seed, runs: newRunLog(), done: make(chan struct{})}
	for i := range single + grouped {
		listener, err := net.Listen("tcp", r.endpoint())
		if err != nil {
			return nil, fmt.Errorf("engine %d: %w", i, err)
		}
		e := &engine{set: es, id: fmt.Sprintf("engine-%d", i), service: engineService, listener: listener, conns: map[net.Conn]bool{}, streams: map[net.Conn]*streamRun{}}
		if i >= single {
			e.service = groupService
		}
		if r.timing.slowness != nil {
			e.slowness = r.timing.slowness(e.id)
		}
		e.startTime.Store(time.Now().UnixMilli())
		if e.link, err = newLink(r.endpoint(), listener.Addr().String(), randomSource(seed, e.id), &es.faultsActive); err != nil {
			return nil, fmt.Errorf("engine %d: %w", i, err)
		}
		es.all = append(es.all, e)
		es.workers.Go(e.accept)
		es.workers.Go(e.announce)
	}
	return es, nil
}

// randomSource returns the random source that a seed gives to a named part of the run.
func randomSource(seed uint64, part string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(part))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func (es *engineSet) stop() {
	close(es.done)
	for _, e := range es.all {
		_ = e.listener.Close()
		e.link.stop()
		e.resetConns()
	}
	es.workers.Wait()
}

func (e *engine) accept() {
	for {
		accepted, err := e.listener.Accept()
		if err != nil {
			return
		}
		conn := &pausableConn{Conn: accepted, silence: &e.pauses}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

// restart resets all connections of the engine and starts a new incarnation.
func (e *engine) restart() {
	e.startTime.Store(time.Now().UnixMilli())
	e.seq.Store(0)
	e.group.restart()
	e.recordEnd()
	for _, other := range e.set.all {
		if other.group.memberLost(time.Now(), e.id) {
			other.recordEnd()
		}
	}
	e.resetConns()
}

// beginStream registers a run in progress and returns the function that ends it.
func (e *engine) beginStream(conn net.Conn, r *streamRun) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams[conn] = r
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.streams, conn)
	}
}

// cancelStreams breaks all runs in progress, as an order asked for.
func (e *engine) cancelStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn, r := range e.streams {
		r.setEnd(endCancelled)
		reset(conn)
	}
}

func (e *engine) recordEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endTimes = append(e.endTimes, time.Now())
}

// endedBetween reports whether the engine or its group ended between two times.
func (e *engine) endedBetween(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.endTimes, func(t time.Time) bool { return !t.Before(from) && !t.After(to) })
}

func (e *engine) resetConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		reset(conn)
	}
}

// reset closes a connection and discards unsent data.
func reset(conn net.Conn) {
	if pausable, ok := conn.(*pausableConn); ok {
		pausable.wasReset.Store(true)
		conn = pausable.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Fails only if the connection is already closed.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// serve answers the requests of one connection.
func (e *engine) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	random := randomSource(e.set.seed, conn.RemoteAddr().String())
	for {
		idle := minIdle + time.Duration(random.Int64N(int64(maxIdle-minIdle)))
		if err := conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if err := e.answer(conn, req, string(body)); err != nil {
			return
		}
	}
}

// errConnEnded is returned when a run's plan ends its connection.
var errConnEnded = errors.New("the run ended its connection")

func (e *engine) answer(conn net.Conn, req *http.Request, body string) error {
	id := req.Header.Get("X-Request-Id")
	if isStream := !strings.HasPrefix(req.URL.Path, "/api/"); isStream {
		e.set.region.repeats.arrive(e.service, id)
		e.set.region.handed.arrive(e.service, e.id, id, req.Header)
	}
	if e.isEnding.Load() {
		return errConnEnded
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		return e.refuse(conn, id, http.StatusMisdirectedRequest)
	}
	if e.service == groupService && strings.HasPrefix(req.URL.Path, "/api/") {
		return e.handleControl(conn, req, body)
	}
	kind := kindOf(req.URL.Path)
	after, total, valid := parseStreamRequest(req, kind)
	switch {
	case !valid || kind.service != e.service || body != prompt(id):
		e.set.runs.addUnexpected(fmt.Sprintf("%s got request %q for %q with %d bytes and %v, which no caller sent", e.id, id, req.URL.Path, len(body), req.Header))
		return e.refuse(conn, id, http.StatusBadRequest)
	case e.service == groupService && !e.group.begin(time.Now(), req.Header.Get("X-Model")):
		return e.refuse(conn, id, http.StatusServiceUnavailable)
	case e.service == groupService:
		defer e.group.end()
	}
	loss := e.set.loss.Load()
	switch {
	case hasCrashingPart(req):
		return e.crash(conn, id)
	case loss.takes(req.Header.Get("X-Model")):
		return e.end(conn, id, loss.how, loss.delay)
	case e.endless.Load():
		return e.sendEndless(conn, id)
	case e.paused.left() > 0:
		return e.refuseFor(conn, id, e.paused.left())
	case e.isFull.Load():
		return e.refuse(conn, id, http.StatusServiceUnavailable)
	case int(e.inFlight.Add(1)) > e.set.region.timing.slots:
		e.inFlight.Add(-1)
		return e.refuse(conn, id, http.StatusServiceUnavailable)
	}
	defer e.inFlight.Add(-1)
	return e.serveStream(conn, id, after, total, kind.step)
}

// parseStreamRequest returns the event after which a request resumes, 0 for the start, and
// the stream's last event. It returns false if the request differs from what callers send.
func parseStreamRequest(req *http.Request, kind *streamKind) (after, total int, ok bool) {
	if kind == nil {
		return 0, 0, false
	}
	total, err := strconv.Atoi(strings.TrimPrefix(req.URL.Path, kind.path))
	if err != nil || req.Header.Get("X-Request-Id") == "" {
		return 0, 0, false
	}
	if text := req.Header.Get("Last-Event-Id"); text != "" {
		eventID, err := strconv.Atoi(text)
		after = eventID / kind.step
		if err != nil || kind.once || after <= 0 || after > total || eventID%kind.step != 0 {
			return 0, 0, false
		}
	}
	timeLeft, err := strconv.ParseInt(req.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil || timeLeft <= 0 || timeLeft > streamTimeout.Milliseconds() {
		return 0, 0, false
	}
	if kind.model != "" && req.Header.Get("X-Token-Counts") != tokenCounts(total) {
		return 0, 0, false
	}
	return after, total, true
}

// prompt returns the request body that belongs to a request ID.
func prompt(id string) string { return strings.Repeat(id+" ", 1+len(id)%7*40) }

// refusalSignature is the signature of refusals; no run has it.
const refusalSignature = "refused"

// refuse answers that the request was not executed.
func (e *engine) refuse(conn net.Conn, id string, status int) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		status, id, refusalSignature)
	return err
}

// refuseFor answers that the request was not executed and that the engine wants no work for a time.
func (e *engine) refuseFor(conn net.Conn, id string, d time.Duration) error {
	e.set.region.handed.pause(e.service, e.id, id, d)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nX-Not-Executed: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n",
		http.StatusServiceUnavailable, id, refusalSignature, retryAfter(d))
	return err
}

// announce sends announcements to the keepers in rotation.
func (e *engine) announce() {
	client := &http.Client{Timeout: announceInterval}
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for turn := 0; ; turn++ {
		e.pauses.wait()
		if !e.silent.Load() {
			e.heartbeat(client, e.set.region.keepers[turn%keeperCount])
		}
		select {
		case <-tick.C:
		case <-e.set.done:
			return
		}
	}
}

func (e *engine) heartbeat(client *http.Client, keeper *node) {
	body, err := json.Marshal(e.announcement())
	must(err)
	post(client, keeper, "instances/"+e.id+"/heartbeat", body)
}

func (e *engine) announcement() map[string]any {
	fields := map[string]any{}
	if e.service == groupService {
		fields = e.group.status(time.Now())
		fields["domain"] = "fabric-0"
	}
	fields["state"] = "ready"
	if e.draining.Load() {
		fields["state"] = "draining"
	}
	fields["service"], fields["address"], fields["zone"], fields["slots"] = e.service, e.link.address(), "zone-0", e.set.region.timing.slots
	fields["born"], fields["seq"] = e.startTime.Load(), e.seq.Add(1)
	return fields
}

// handleControl answers orders and probes.
func (e *engine) handleControl(conn net.Conn, req *http.Request, body string) error {
	status, fields := http.StatusOK, e.group.status(time.Now())
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/api/report":
		fields["stage"], fields["seq"], fields["born"], fields["running"] = "hybrid", e.group.ordersBegun(), e.startTime.Load(), e.inFlight.Load()
	case req.Method == http.MethodPost && req.URL.Path == "/api/order":
		var o order
		if err := json.Unmarshal([]byte(body), &o); err != nil {
			e.set.runs.addUnexpected(fmt.Sprintf("%s got a malformed order: %v", e.id, err))
		}
		if e.set.delaysOrder(o) {
			e.carryOutLate(o)
			return nil
		}
		e.checkJoin(o)
		cancels := e.group.cancelsStreams(o)
		status, fields = e.group.execute(time.Now(), o, e.id), map[string]any{}
		if cancels && status == http.StatusOK {
			e.cancelStreams()
		}
	default:
		status = http.StatusNotFound
	}
	text, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, req.Header.Get("X-Request-Id"), len(text), text)
	return err
}
