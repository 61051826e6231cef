package bench

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/loadgen"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/state"
)

// Parameters of the simulated engines.
const (
	modelGroups   = 15
	modelSlots    = 16
	modelEntries  = 3
	tokenInterval = 10 * time.Millisecond
	// resumeCost is the time that an engine needs to resume a preempted request.
	resumeCost = 100 * time.Millisecond
	// cancelDelay is the time from a preemption until the slot is free.
	cancelDelay = 3 * time.Millisecond
	// Loads are reported every reportInterval and reach the entries reportLag later.
	reportInterval = 500 * time.Millisecond
	reportLag      = 250 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	// maxAttempts bounds the attempts of a request, retries included.
	maxAttempts   = 3
	modelService  = "captioner"
	failureTime   = 20 * time.Millisecond
	modelCapacity = float64(modelGroups*modelSlots) / (float64(tokenInterval) / float64(time.Second))
)

var modelEpoch = time.Unix(1_800_000_000, 0)

// decider is one entry's policy: scheduling.Core or the baseline.
type decider interface {
	Step(now time.Time, event scheduling.Event) []scheduling.Action
}

// baselineDecider is the baseline as a state machine: it dispatches every request
// immediately to the group with the least outstanding work, and the engine queues
// it.
type baselineDecider struct {
	router *routing.LeastOutstanding
	view   *domain.View
	groups map[scheduling.ID]string
}

func newBaselineDecider() *baselineDecider {
	return &baselineDecider{router: routing.NewLeastOutstanding(), view: &domain.View{}, groups: map[scheduling.ID]string{}}
}

// Step implements decider.
func (p *baselineDecider) Step(_ time.Time, event scheduling.Event) []scheduling.Action {
	switch e := event.(type) {
	case scheduling.ViewChanged:
		p.view = e.View
	case scheduling.Finish:
		p.router.Finish(p.groups[e.ID])
		delete(p.groups, e.ID)
	case scheduling.Submit:
		group, err := p.router.Pick(p.view, e.Request.Route, e.Request.Request)
		if err != nil {
			return []scheduling.Action{scheduling.Refuse{ID: e.ID}}
		}
		p.groups[e.ID] = group.Name
		return []scheduling.Action{scheduling.Start{ID: e.ID, Group: group}}
	}
	return nil
}

// modelRequest is the state of one arrival in the model.
type modelRequest struct {
	arrival loadgen.Arrival
	entry   int
	id      scheduling.ID
	// done is the number of tokens that the caller has received.
	done     int
	attempts int
	exclude  []string
	engine   *modelEngine
	// startedAt is when the engine started to generate; zero while the request is
	// queued.
	startedAt time.Time
	finishAt  time.Time
	priority  int
	sequence  int
	index     int
	spans     []span
	outcome   outcome
	ended     time.Time
	preempts  int
}

// span is a time interval in which a request occupied a slot.
type span struct{ from, to time.Time }

type outcome int

const (
	pending outcome = iota
	completed
	refusedOutcome
	missed
)

// modelEngine is the engine of a group, with slots and a priority queue.
type modelEngine struct {
	name    string
	running map[*modelRequest]struct{}
	queue   engineQueue
	failing bool
}

// model simulates entries and engines in virtual time.
type model struct {
	now           time.Time
	route         *state.Route
	entries       []decider
	engines       []*modelEngine
	byName        map[string]*modelEngine
	timers        timerHeap
	sequence      int
	lastID        scheduling.ID
	active        map[scheduling.ID]*modelRequest
	requests      []*modelRequest
	retries       int
	firstAttempts int
}

func newModel(newDecider func(entry int) decider) *model {
	m := &model{
		now: modelEpoch, route: &state.Route{Name: "all", Requests: labels.Everything(), Groups: labels.Everything()},
		byName: map[string]*modelEngine{}, active: map[scheduling.ID]*modelRequest{},
	}
	for i := range modelGroups {
		e := &modelEngine{name: fmt.Sprintf("g%02d", i), running: map[*modelRequest]struct{}{}}
		m.engines = append(m.engines, e)
		m.byName[e.name] = e
	}
	for i := range modelEntries {
		m.entries = append(m.entries, newDecider(i))
	}
	return m
}

// run simulates the arrivals and returns once no timer is left.
func (m *model) run(arrivals []loadgen.Arrival) {
	r := rand.New(rand.NewPCG(policySeed, 1))
	end := modelEpoch
	m.publish(m.view())
	for _, a := range arrivals {
		req := &modelRequest{arrival: a, entry: r.IntN(modelEntries)}
		m.requests = append(m.requests, req)
		at := modelEpoch.Add(a.At)
		m.at(at, func() { m.submit(req) })
		m.at(at.Add(a.Class.Deadline), func() { m.expire(req) })
		if last := at.Add(a.Class.Deadline); last.After(end) {
			end = last
		}
	}
	m.every(reportInterval, end, func() {
		view := m.view()
		m.after(reportLag, func() { m.publish(view) })
	})
	m.every(tickInterval, end, func() {
		for i := range m.entries {
			m.step(i, scheduling.Tick{})
		}
	})
	for m.timers.Len() > 0 {
		t, _ := heap.Pop(&m.timers).(*timer)
		m.now = t.at
		t.run()
	}
}

func (m *model) view() *domain.View {
	v := &domain.View{}
	for _, e := range m.engines {
		v.Groups = append(v.Groups, &domain.Group{
			Name: e.name, Service: modelService, Kind: api.UpstreamEngine, FailureDomain: "fd", Whole: true, Generation: 1,
			Members: []domain.Member{{
				ID: e.name, ReportedAt: m.now,
				Load: api.Load{Running: len(e.running), Waiting: e.queue.Len(), Slots: modelSlots},
			}},
		})
	}
	return v
}

func (m *model) publish(v *domain.View) {
	for i := range m.entries {
		m.step(i, scheduling.ViewChanged{View: v})
	}
}

func (m *model) submit(req *modelRequest) {
	m.lastID++
	req.id = m.lastID
	m.active[req.id] = req
	if req.attempts == 0 {
		m.firstAttempts++
	}
	a := req.arrival
	m.step(req.entry, scheduling.Submit{ID: req.id, Request: scheduling.Request{
		Request: routing.Request{Account: a.Account.Name, Class: a.Class.Name, Service: modelService, Exclude: req.exclude},
		Route:   m.route, Worth: a.Class.Worth, Weight: a.Account.Weight, Size: a.Class.MaxTokens, Resumed: req.done,
		Deadline: modelEpoch.Add(a.At + a.Class.Deadline), Resumable: true,
	}})
}

func (m *model) step(entry int, event scheduling.Event) {
	// The core reuses the slice, and executing an action may call the core again.
	actions := append([]scheduling.Action(nil), m.entries[entry].Step(m.now, event)...)
	for _, action := range actions {
		switch a := action.(type) {
		case scheduling.Start:
			m.start(m.active[a.ID], m.byName[a.Group.Name], a.Priority)
		case scheduling.Refuse:
			m.end(m.active[a.ID], refusedOutcome)
		case scheduling.Preempt:
			req := m.active[a.ID]
			id := req.id
			m.after(cancelDelay, func() { m.preempted(req, id) })
		}
	}
}

func (m *model) start(req *modelRequest, e *modelEngine, priority int) {
	m.sequence++
	req.engine, req.priority, req.sequence, req.startedAt = e, priority, m.sequence, time.Time{}
	if e.failing {
		id := req.id
		m.after(failureTime, func() { m.failed(req, id) })
		return
	}
	heap.Push(&e.queue, req)
	m.startQueued(e)
}

// startQueued starts queued requests in the engine's free slots.
func (m *model) startQueued(e *modelEngine) {
	for len(e.running) < modelSlots && e.queue.Len() > 0 {
		req, _ := heap.Pop(&e.queue).(*modelRequest)
		e.running[req] = struct{}{}
		req.startedAt = m.now
		if req.done > 0 {
			req.startedAt = m.now.Add(resumeCost)
		}
		req.finishAt = req.startedAt.Add(time.Duration(req.arrival.Tokens-req.done) * tokenInterval)
		id := req.id
		m.at(req.finishAt, func() { m.complete(req, id) })
	}
}

func (m *model) complete(req *modelRequest, id scheduling.ID) {
	if m.active[id] != req {
		return
	}
	report := scheduling.Report{Duration: m.now.Sub(req.startedAt), Tokens: req.arrival.Tokens - req.done, FirstToken: tokenInterval}
	m.release(req)
	m.end(req, completed)
	m.step(req.entry, scheduling.Finish{ID: id, Report: report})
}

// release removes a request from its engine and keeps its generated tokens.
func (m *model) release(req *modelRequest) {
	e := req.engine
	req.engine = nil
	if _, ran := e.running[req]; !ran {
		heap.Remove(&e.queue, req.index)
		return
	}
	delete(e.running, req)
	if m.now.After(req.startedAt) {
		req.spans = append(req.spans, span{req.startedAt, m.now})
		req.done = min(req.done+int(m.now.Sub(req.startedAt)/tokenInterval), req.arrival.Tokens)
	}
	m.startQueued(e)
}

func (m *model) preempted(req *modelRequest, id scheduling.ID) {
	if m.active[id] != req {
		return
	}
	before := req.done
	m.release(req)
	delete(m.active, id)
	req.preempts++
	m.step(req.entry, scheduling.Finish{ID: id, Report: scheduling.Report{Tokens: req.done - before}})
	m.submit(req)
}

func (m *model) failed(req *modelRequest, id scheduling.ID) {
	if m.active[id] != req {
		return
	}
	delete(m.active, id)
	name := req.engine.name
	req.engine = nil
	m.step(req.entry, scheduling.Finish{ID: id, Report: scheduling.Report{Failed: true}})
	req.attempts++
	if req.attempts >= maxAttempts {
		m.end(req, missed)
		return
	}
	req.exclude = append(req.exclude, name)
	m.submit(req)
	if req.outcome != refusedOutcome {
		m.retries++
	}
}

// expire ends a request at its deadline, when its caller disconnects.
func (m *model) expire(req *modelRequest) {
	if req.outcome != pending {
		return
	}
	id := req.id
	if req.engine == nil {
		m.end(req, missed)
		m.step(req.entry, scheduling.Disconnect{ID: id})
		return
	}
	if !req.engine.failing {
		m.release(req)
	}
	m.end(req, missed)
	m.step(req.entry, scheduling.Finish{ID: id})
}

func (m *model) end(req *modelRequest, o outcome) {
	delete(m.active, req.id)
	req.outcome, req.ended = o, m.now
}

// timer is a function that is called at a virtual time.
type timer struct {
	at       time.Time
	sequence int
	run      func()
}

func (m *model) at(at time.Time, run func()) {
	m.sequence++
	heap.Push(&m.timers, &timer{at: at, sequence: m.sequence, run: run})
}

func (m *model) after(d time.Duration, run func()) { m.at(m.now.Add(d), run) }

func (m *model) every(d time.Duration, end time.Time, run func()) {
	var again func()
	again = func() {
		run()
		if m.now.Before(end) {
			m.after(d, again)
		}
	}
	m.at(m.now, again)
}

type timerHeap []*timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h *timerHeap) Push(x any) {
	t, _ := x.(*timer)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// engineQueue orders requests by priority, then by arrival.
type engineQueue []*modelRequest

func (q engineQueue) Len() int { return len(q) }
func (q engineQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].priority, q[j].priority), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}

func (q engineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *engineQueue) Push(x any) {
	req, _ := x.(*modelRequest)
	req.index = len(*q)
	*q = append(*q, req)
}

func (q *engineQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
