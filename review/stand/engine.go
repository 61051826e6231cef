//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The model of the stand-in engines.
const (
	modelName = "daka510000"
	loadTime  = 2 * time.Second
	warmTime  = 1100 * time.Millisecond
	lastTime  = 200 * time.Millisecond
	formTime  = 300 * time.Millisecond
	// reportLag is the age of what a report says.
	reportLag = 200 * time.Millisecond
)

// engineManifest has one service of engines, reached by one streaming route.
func engineManifest(version, modelSize int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "caption", "host": "review.example", "path_prefix": "/caption/", "kind": "streaming", "timeout_ms": 8000, "slo_ms": 400, "priority": 1,
			"service": "pool", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 300,
		}},
		"services": []any{map[string]any{
			"name": "pool", "health_path": "/health", "max_conns": 368, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 17, "kv_capacity": 1860000, "stride": 5, "step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0,
				"pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.0, "loads_at_once": 7, "keeps": 1, "far_x": 2.5, "form_ms": 300.0,
				"usual": map[string]any{"prompt": 979, "answer": 154}, "delays": []any{},
				"models": []any{map[string]any{
					"name": modelName, "size": modelSize, "share": 1.0, "pace": 1.0, "load_s": loadTime.Seconds(), "warm_s": warmTime.Seconds(),
				}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "library", "api_keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
}

type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

type order struct {
	Op       string   `json:"op"`
	Group    string   `json:"group"`
	Epoch    uint64   `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
	Mode     string   `json:"mode"`
	Expected *uint64  `json:"expected"`
}

// pool is all stand-in engines of one domain. One lock guards them all.
type pool struct {
	d       *deployment
	mu      sync.Mutex
	engines map[string]*engine
	broken  []string
	// late decides which orders get no answer and are carried out after the returned time; 0 for none.
	late func(e *engine, o order) time.Duration
	// crashes reports whether a request crashes the engine that begins to answer it; nil for none.
	crashes func(r *http.Request) bool
}

// engine is a stand-in for a model worker. Its state is guarded by the pool's lock.
type engine struct {
	pool      *pool
	id        string
	address   string
	born      int64
	http      *http.Server
	state     string
	announced int
	orders    uint64
	staged    []string
	lastModel string
	group     *membership
	members   []string
	seenEpoch uint64
	// reported is what a report says now.
	reported []byte
	changed  chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	// begun are the requests that the engine has begun to answer.
	begun []string
}

func (p *pool) start(id string) (*engine, error) { return p.startStaged(id, []string{}) }

// startStaged starts an engine on a host that holds the given models.
func (p *pool) startStaged(id string, staged []string) (*engine, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.201:0", p.d.base))
	if err != nil {
		return nil, err
	}
	e := &engine{pool: p, id: id, address: l.Addr().String(), born: time.Now().UnixMilli(), state: "ready", staged: staged, changed: make(chan struct{}, 1), done: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", e.report)
	mux.HandleFunc("POST /api/order", e.order)
	mux.HandleFunc("/caption/", e.stream)
	e.http = &http.Server{Handler: mux}
	p.mu.Lock()
	p.engines[id] = e
	e.update()
	p.mu.Unlock()
	go func() { _ = e.http.Serve(l) }()
	go e.announce()
	return e, nil
}

func (e *engine) stop() {
	e.stopOnce.Do(func() {
		close(e.done)
		_ = e.http.Close()
	})
}

// fields is what the engine says of itself; the caller holds the lock.
func (e *engine) fields() map[string]any {
	f := map[string]any{"stage": "hybrid", "models": []any{}, "domain": "d-1", "staged": slices.Clone(e.staged), "born": e.born}
	if e.group != nil {
		f["models"] = []any{map[string]any{"name": e.lastModel, "version": 1, "adapters": []any{}}}
		f["group"] = *e.group
	}
	return f
}

// update makes a change known: at once in a heartbeat, a little later in reports. The caller holds the lock.
func (e *engine) update() {
	f := e.fields()
	f["busy"], f["seq"], f["queued"], f["running"], f["kv_used"], f["kv_total"], f["handles"], f["pace"] = false, e.orders, 0, 0, 0, 1860000, 0, 1.0
	body, _ := json.Marshal(f)
	if e.reported == nil {
		e.reported = body
	}
	time.AfterFunc(reportLag, func() {
		e.pool.mu.Lock()
		defer e.pool.mu.Unlock()
		e.reported = body
	})
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *engine) announce() {
	client := &http.Client{Timeout: time.Second}
	for {
		e.pool.mu.Lock()
		e.announced++
		seq, f := e.announced, e.fields()
		f["service"], f["address"], f["zone"], f["version"], f["slots"], f["state"], f["cold_left_ms"], f["seq"] = "pool", e.address, "zone-a", "v1", 17, e.state, 0, seq
		e.pool.mu.Unlock()
		body, _ := json.Marshal(f)
		for i := range e.pool.d.keepers {
			k := e.pool.d.keepers[(seq+i)%len(e.pool.d.keepers)]
			resp, err := client.Post("http://"+e.pool.d.address(k, "control")+"/api/instances/"+e.id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				break
			}
		}
		select {
		case <-e.changed:
		case <-time.After(heartbeat):
		case <-e.done:
			return
		}
	}
}

func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if expected := r.Header.Get("X-Expect-Instance"); expected == "" || expected == e.id {
		return false
	}
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.pool.mu.Lock()
	body := e.reported
	e.pool.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if e.misdirected(w, r) || json.NewDecoder(r.Body).Decode(&o) != nil {
		return
	}
	record := e.pool.d.record
	text := fmt.Sprintf("order %s %s epoch %d members %v expected %v to %s", o.Op, o.Group, o.Epoch, o.Members, o.Expected != nil, e.id)
	e.pool.mu.Lock()
	delay := time.Duration(0)
	if e.pool.late != nil {
		delay = e.pool.late(e, o)
	}
	if delay > 0 {
		e.pool.mu.Unlock()
		record.add("%s: no answer, to be carried out in %v", text, delay)
		time.AfterFunc(delay, func() {
			e.pool.mu.Lock()
			defer e.pool.mu.Unlock()
			record.add("%s: carried out late: %d", text, e.carryOut(o))
		})
		// No answer: the channel stays open until the caller gives up.
		<-r.Context().Done()
		return
	}
	status := e.carryOut(o)
	e.pool.mu.Unlock()
	record.add("%s: %d", text, status)
	w.WriteHeader(status)
}

// carryOut carries an order out as the pages say and returns the status of its answer. The caller holds the lock.
func (e *engine) carryOut(o order) int {
	if o.Expected != nil && *o.Expected != e.orders {
		return http.StatusConflict
	}
	own := e.group != nil && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		return e.join(o, own)
	case "open":
		if own && e.group.State == "open" {
			return http.StatusOK
		}
		if !own || e.group.Rank != 0 || e.group.State != "ready" {
			return http.StatusConflict
		}
		e.orders++
		e.later(formTime, func() { e.group.State = "open" })
		return http.StatusAccepted
	case "close":
		if !own || e.group.State != "open" {
			return http.StatusConflict
		}
		e.orders++
		e.group.State = "closing"
		e.update()
		e.later(50*time.Millisecond, func() { e.group.State = "ready" })
		return http.StatusAccepted
	case "leave":
		if !own {
			return http.StatusOK
		}
		e.orders++
		e.group, e.members = nil, nil
		e.update()
		return http.StatusAccepted
	case "stage":
		if slices.Contains(e.staged, o.Model) {
			return http.StatusOK
		}
		e.orders++
		time.AfterFunc(loadTime, func() {
			e.pool.mu.Lock()
			defer e.pool.mu.Unlock()
			e.staged = []string{o.Model}
			e.update()
		})
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

func (e *engine) join(o order, own bool) int {
	if o.Epoch < e.seenEpoch || own && !slices.Equal(o.Members, e.members) {
		return http.StatusPreconditionFailed
	}
	if own {
		return http.StatusOK
	}
	// The rule TWO.
	if e.group != nil {
		if head := e.pool.engines[e.members[0]]; head != nil && head.group != nil && head.group.Name == e.group.Name && head.group.Epoch == e.group.Epoch &&
			(head.group.State == "open" || head.group.State == "closing") {
			text := fmt.Sprintf("TWO: %s took a join of group %s (epoch %d) while %s, the head of its group %s (epoch %d), was %s",
				e.id, o.Group, o.Epoch, head.id, e.group.Name, e.group.Epoch, head.group.State)
			e.pool.broken = append(e.pool.broken, text)
			e.pool.d.record.add("%s", text)
		}
	}
	takes := loadTime
	switch {
	case e.lastModel == o.Model:
		takes = lastTime
	case slices.Contains(e.staged, o.Model):
		takes = warmTime
	}
	e.orders++
	e.seenEpoch, e.members = o.Epoch, o.Members
	e.group = &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: "joining"}
	e.update()
	e.later(takes, func() {
		e.group.State, e.lastModel = "ready", o.Model
		if !slices.Contains(e.staged, o.Model) {
			e.staged = []string{o.Model}
		}
	})
	return http.StatusAccepted
}

// later changes the state after a time if the engine is still in the same group. The caller holds the lock.
func (e *engine) later(d time.Duration, change func()) {
	in := *e.group
	time.AfterFunc(d, func() {
		e.pool.mu.Lock()
		defer e.pool.mu.Unlock()
		if e.group != nil && e.group.Name == in.Name && e.group.Epoch == in.Epoch {
			change()
			e.update()
		}
	})
}

// stream answers a request with two events.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.pool.mu.Lock()
	serving := e.group != nil && e.group.Rank == 0 && e.group.State == "open"
	e.pool.mu.Unlock()
	if !serving {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get("X-Request-Id")
	e.pool.mu.Lock()
	e.begun = append(e.begun, id)
	e.pool.mu.Unlock()
	e.pool.d.record.add("request %s begins at %s: parts %s", id, e.id, r.Header.Get("X-Prompt-Prefix"))
	w.Header().Set("X-Response-Stamp", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	if e.pool.crashes != nil && e.pool.crashes(r) {
		e.crash()
		return
	}
	for n := range 4 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n+1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// crash ends the engine as the end of its process would: it listens no longer and its connections break. It comes back
// after backAfter as a new incarnation of the same host, with what is staged there.
func (e *engine) crash() {
	e.pool.d.record.add("%s crashes", e.id)
	e.stop()
	time.AfterFunc(backAfter, func() {
		e.pool.mu.Lock()
		staged, name := e.staged, fmt.Sprintf("i-%d", 100+len(e.pool.engines))
		e.pool.mu.Unlock()
		next, err := e.pool.startStaged(name, staged)
		if err != nil {
			return
		}
		e.pool.d.record.add("%s is back as %s", e.id, next.id)
	})
}

// backAfter is how long an engine that crashed is away.
const backAfter = 3 * time.Second

// groupState returns the engine's membership; the zero value means none.
func (e *engine) groupState() membership {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if e.group == nil {
		return membership{}
	}
	return *e.group
}
