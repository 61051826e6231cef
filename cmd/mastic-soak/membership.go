package main

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// The states of an engine in its group.
const (
	groupJoining = "joining"
	groupReady   = "ready"
	groupOpen    = "open"
	groupClosing = "closing"
	groupBroken  = "broken"
)

const (
	// Short times, so that groups form and dissolve during the run of a seed.
	loadTime = 300 * time.Millisecond
	warmTime = 100 * time.Millisecond
	openTime = 100 * time.Millisecond
	// maxStagedModels is how many models a VM keeps staged.
	maxStagedModels = 2
)

// order is the body of a keeper's order to an engine.
type order struct {
	Op       string   `json:"op"`
	Mode     string   `json:"mode"`
	Group    string   `json:"group"`
	Epoch    uint64   `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
	Expected *uint64  `json:"expected"`
}

// membership is the state machine of an engine's membership in a group, as the published
// protocol defines it. It has no clock: callers pass the time.
type membership struct {
	mu sync.Mutex
	// begun counts the orders that started a state change in this incarnation.
	begun, lastEpoch uint64
	staged           []string
	model, group     string
	epoch            uint64
	members          []string
	rank             int
	state            string
	// nextState is the state entered at nextAt; empty if no change is scheduled.
	nextState string
	nextAt    time.Time
	// running is the number of requests that the engine executes as the head of a group.
	running int
}

// applyDue enters the scheduled state once it is due. The caller holds the lock.
func (m *membership) applyDue(now time.Time) {
	if m.nextState != "" && !now.Before(m.nextAt) {
		m.state, m.nextState = m.nextState, ""
	}
}

// groupStatus is the membership as engines report it.
type groupStatus struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// status returns the fields that announcements and reports share.
func (m *membership) status(now time.Time) map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue(now)
	models := []map[string]any{}
	if m.model != "" {
		models = append(models, map[string]any{"name": m.model, "version": 1, "adapters": []string{}})
	}
	fields := map[string]any{"models": models, "staged": append([]string{}, m.staged...)}
	if m.group != "" {
		fields["group"] = groupStatus{m.group, m.epoch, m.rank, m.state}
	}
	return fields
}

func (m *membership) ordersBegun() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun
}

// restart starts a new incarnation; the VM keeps its staged models.
func (m *membership) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begun, m.lastEpoch = 0, 0
	m.leave()
}

// serves reports whether the engine executes requests for a model; only the head, rank 0,
// does. The caller holds the lock.
func (m *membership) serves(now time.Time, model string) bool {
	m.applyDue(now)
	return m.group != "" && m.rank == 0 && m.state == groupOpen && m.model == model
}

// begin admits a request for a model if the engine serves it; the caller then ends it by end.
func (m *membership) begin(now time.Time, model string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.serves(now, model) {
		return false
	}
	m.running++
	return true
}

// end ends a request that begin admitted. A closing head is ready again once nothing runs.
func (m *membership) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
	if m.running == 0 && m.state == groupClosing {
		m.state = groupReady
	}
}

// memberLost marks the group as broken if the engine is its head and the member is in it. It
// reports whether the member is in the engine's group.
func (m *membership) memberLost(now time.Time, member string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue(now)
	isMember := slices.Contains(m.members, member)
	if m.rank == 0 && (m.state == groupOpen || m.state == groupClosing) && isMember {
		m.state, m.nextState = groupBroken, ""
	}
	return isMember
}

// execute carries out an order on the engine with the ID self and returns the HTTP status
// of the answer.
func (m *membership) execute(now time.Time, o order, self string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDue(now)
	if o.Expected != nil && *o.Expected != m.begun {
		return http.StatusConflict
	}
	switch o.Op {
	case "join":
		return m.join(now, o, self)
	case "open":
		switch {
		case !m.matches(o) || m.rank != 0 || m.state == groupJoining || m.state == groupClosing || m.state == groupBroken:
			return http.StatusConflict
		case m.state == groupOpen:
			return http.StatusOK
		}
		return m.schedule(now.Add(openTime), groupOpen)
	case "close":
		if !m.matches(o) {
			return http.StatusConflict
		}
		m.close(o.Mode)
		return http.StatusOK
	case "leave":
		if !m.matches(o) {
			return http.StatusConflict
		}
		m.leave()
		return http.StatusOK
	case "stage":
		m.stage(o.Model)
		return http.StatusOK
	default:
		return http.StatusBadRequest
	}
}

// cancelsStreams reports whether an order ends the streams that the engine serves as the head of its
// group.
func (m *membership) cancelsStreams(o order) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.matches(o) && m.rank == 0 && (o.Op == "leave" || o.Op == "close" && o.Mode == "cancel")
}

// matches reports whether an order names the engine's current group and epoch.
func (m *membership) matches(o order) bool {
	return m.group != "" && o.Group == m.group && o.Epoch == m.epoch
}

func (m *membership) join(now time.Time, o order, self string) int {
	rank := slices.Index(o.Members, self)
	same := m.matches(o) && slices.Equal(m.members, o.Members)
	switch {
	case rank < 0:
		return http.StatusBadRequest
	case o.Epoch < m.lastEpoch, m.matches(o) && !same:
		return http.StatusPreconditionFailed
	case same:
		return http.StatusOK
	}
	duration := loadTime
	if slices.Contains(m.staged, o.Model) {
		duration = warmTime
	}
	m.stage(o.Model)
	m.group, m.epoch, m.lastEpoch, m.model, m.members, m.rank = o.Group, o.Epoch, o.Epoch, o.Model, o.Members, rank
	m.state = groupJoining
	return m.schedule(now.Add(duration), groupReady)
}

// close makes a head stop serving; it is closing while it finishes its requests.
func (m *membership) close(mode string) {
	switch {
	case m.state == groupOpen && m.running > 0 && mode != "cancel":
		m.state, m.nextState = groupClosing, ""
	case m.state == groupOpen, m.state == groupClosing && mode == "cancel", m.nextState == groupOpen:
		m.state, m.nextState = groupReady, ""
	}
}

func (m *membership) stage(model string) {
	m.staged = slices.DeleteFunc(m.staged, func(have string) bool { return have == model })
	m.staged = append(m.staged, model)
	m.staged = m.staged[max(len(m.staged)-maxStagedModels, 0):]
}

// leave takes the engine out of its group.
func (m *membership) leave() {
	m.group, m.model, m.members, m.state, m.nextState = "", "", nil, "", ""
}

// schedule schedules a state change and counts the order as begun.
func (m *membership) schedule(at time.Time, state string) int {
	m.begun++
	m.nextState, m.nextAt = state, at
	return http.StatusAccepted
}
