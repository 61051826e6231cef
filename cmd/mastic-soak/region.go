package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/samber/lo"
)

const (
	keeperCount = 3
	// All nodes use the same ports, on different addresses.
	callerPort  = 18421
	readyPort   = 18422
	controlPort = 18423
	peerPort    = 18430
	// announceInterval is the time between two announcements of an upstream.
	announceInterval = 300 * time.Millisecond
)

// node is one process with its settings.
type node struct {
	name, role, ip, folder string
	mu                     sync.Mutex
	process                *exec.Cmd
	exited                 chan struct{}
	// stopping is true once the process was asked to stop.
	stopping bool
	// faultMu is held while a fault is injected into the node.
	faultMu sync.Mutex
	// received are the signals that disturbed the node.
	received []disturbance
	// startedAt and exitedAt are when the node's processes started and exited, in order.
	startedAt, exitedAt []time.Time
}

// region holds all processes of the system under test.
type region struct {
	binary  string
	subnet  int
	timing  timing
	entries []*node
	// repeats counts the requests and arrivals of each service.
	repeats *repeatLedger
	// handed records what upstreams receive from each entry.
	handed *handedLedger
	mu     sync.Mutex
	// keepers are those of the platform's list, lost those that were removed from it. Only soakReplacements changes
	// either after the start.
	keepers, lost []*node
	// unexpectedExits describes the processes that exited without being asked to.
	unexpectedExits []string
}

// timing is the grace period of planned stops, and what engines do at once and how fast.
type timing struct {
	grace time.Duration
	// slots is the number of requests that an engine runs at once, step the time of a token as the configuration states it.
	slots int
	step  time.Duration
	// slowness is by how much an engine takes longer than its step; nil if engines write without regard to it.
	slowness func(engine string) float64
	// plainAttempts is the max_attempts of the routes of plain services.
	plainAttempts int
	// keepers is the number of keepers at the start, catchUp the catch-up time in their settings; 0 states none.
	keepers int
	catchUp time.Duration
}

var usualTiming = timing{grace: stopGrace, slots: engineSlots, step: engineStep, plainAttempts: usualAttempts, keepers: keeperCount}

func startRegion(binary, folder string, subnet, entries int, t timing) (*region, error) {
	r := &region{binary: binary, subnet: subnet, timing: t, repeats: newRepeatLedger(), handed: newHandedLedger()}
	for i := range t.keepers + entries {
		n := &node{name: fmt.Sprintf("keeper-%d", i), role: "keeper", ip: fmt.Sprintf("127.0.%d.%d", subnet, i+1)}
		if i >= t.keepers {
			n.name, n.role = fmt.Sprintf("entry-%d", i-t.keepers), "entry"
			r.entries = append(r.entries, n)
		} else {
			r.keepers = append(r.keepers, n)
		}
		n.folder = filepath.Join(folder, n.name)
	}
	for i, n := range r.nodes() {
		if err := r.startNew(n, i, true); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// startNew starts a node with an empty disk.
func (r *region) startNew(n *node, i int, bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(n.folder, "data"), 0o755); err != nil {
		return err
	}
	if err := r.writeSettings(n, i, bootstrap); err != nil {
		return err
	}
	return r.start(n)
}

// endpoint returns the listen address of engines and links.
func (r *region) endpoint() string { return fmt.Sprintf("127.0.%d.%d:0", r.subnet, endpointHost) }

func (r *region) nodes() []*node { return append(r.listedKeepers(), r.entries...) }

// listedKeepers returns the keepers of the platform's list.
func (r *region) listedKeepers() []*node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.keepers)
}

// keeperInTurn returns a keeper of the platform's list, in rotation.
func (r *region) keeperInTurn(turn int) *node {
	keepers := r.listedKeepers()
	return keepers[turn%len(keepers)]
}

// allNodes returns the nodes with those that were lost.
func (r *region) allNodes() []*node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Concat(r.keepers, r.lost, r.entries)
}

// writeSettings writes a node's settings file with the given bootstrap flag.
func (r *region) writeSettings(n *node, i int, bootstrap bool) error {
	var seeds []string
	for _, k := range r.listedKeepers() {
		seeds = append(seeds, fmt.Sprintf("%s:%d", k.ip, controlPort))
	}
	listen := map[string]string{"control": fmt.Sprintf("%s:%d", n.ip, controlPort)}
	if n.role == "entry" {
		listen = map[string]string{"front": fmt.Sprintf("%s:%d", n.ip, callerPort), "ready": fmt.Sprintf("%s:%d", n.ip, readyPort)}
	}
	bounds := map[string]float64{"grace_s": r.timing.grace.Seconds(), "config_apply_ms": float64(applyTime.Milliseconds()), "revoke_ms": float64(revokeTime.Milliseconds()), "stall_ms": 4000}
	if r.timing.catchUp > 0 {
		bounds["catch_up_s"] = r.timing.catchUp.Seconds()
	}
	data, err := json.Marshal(map[string]any{
		"node": n.name, "ip": n.ip, "zone": fmt.Sprintf("zone-%d", i%keeperCount), "listen": listen,
		"internal_port_range": []int{peerPort, peerPort + 3}, "seeds": seeds, "bootstrap": bootstrap,
		"limits": map[string]int{"memory_mb": memoryLimit}, "data_dir": filepath.Join(n.folder, "data"),
		"heartbeat_interval_ms": announceInterval.Milliseconds(), "fault_tolerance": map[string]int{"machines": (r.timing.keepers - 1) / 2},
		"bounds": bounds,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings(), data, 0o600)
}

func (n *node) settings() string { return filepath.Join(n.folder, "settings.json") }

func (r *region) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(n.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = false
	n.process = exec.Command(r.binary, n.role, "--settings", n.settings())
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return fmt.Errorf("start %s: %w; build it with make build", n.name, err)
	}
	n.startedAt = append(n.startedAt, time.Now())
	process, exited := n.process, make(chan struct{})
	n.exited = exited
	go func() {
		// The process logs the cause of its exit.
		err := process.Wait()
		n.mu.Lock()
		stopping := n.stopping
		n.endDisturbances()
		n.exitedAt = append(n.exitedAt, time.Now())
		n.mu.Unlock()
		if !stopping {
			r.mu.Lock()
			r.unexpectedExits = append(r.unexpectedExits, fmt.Sprintf("%s exited unexpectedly: %v", n.name, err))
			r.mu.Unlock()
		}
		close(exited)
		if !stopping {
			r.restartAfterExit(n, process)
		}
	}()
	return nil
}

// restartAfterExit restarts a node whose process exited unexpectedly, unless a fault has
// already restarted it.
func (r *region) restartAfterExit(n *node, ended *exec.Cmd) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	n.mu.Lock()
	handled := n.stopping || n.process != ended
	n.mu.Unlock()
	if handled {
		return
	}
	must(r.start(n))
}

// violations returns the processes that exited unexpectedly.
func (r *region) violations() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.unexpectedExits...)
}

// signal sends a signal to the node's current process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s == syscall.SIGCONT {
		n.endDisturbances()
	} else {
		n.received = append(n.received, disturbance{signal: s, from: time.Now()})
	}
	// Fails only if the process has already exited.
	_ = n.process.Process.Signal(s)
}

// endDisturbances records that the disturbances have ended; the caller holds the lock.
func (n *node) endDisturbances() {
	for i := range n.received {
		if n.received[i].to.IsZero() {
			n.received[i].to = time.Now()
		}
	}
}

// wasDown reports whether the node had no process at a time.
func (n *node) wasDown(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := func(times []time.Time) int {
		return lo.CountBy(times, func(t time.Time) bool { return !t.After(at) })
	}
	return before(n.exitedAt) >= before(n.startedAt)
}

func (n *node) disturbances() []disturbance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.received)
}

// stopWith sends the process a signal and waits for its exit; after stopTimeout it kills
// the process.
func (n *node) stopWith(s syscall.Signal) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.signal(s)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		n.signal(syscall.SIGKILL)
		<-exited
	}
}

// stopTimeout bounds a planned stop: twice the grace period of the settings.
const stopTimeout = 2 * stopGrace

// wipe deletes a keeper's data.
func (n *node) wipe() error {
	if err := os.RemoveAll(filepath.Join(n.folder, "data")); err != nil {
		return err
	}
	return os.MkdirAll(filepath.Join(n.folder, "data"), 0o755)
}

func (r *region) stop() {
	for _, n := range r.allNodes() {
		n.signal(syscall.SIGCONT)
		n.stopWith(syscall.SIGKILL)
	}
}
