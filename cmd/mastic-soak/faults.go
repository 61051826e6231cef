package main

import (
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"time"
)

// faults injects faults into a region, one after another, because a region tolerates
// the loss of only one keeper at a time.
type faults struct {
	region  *region
	service *plainService
	random  *rand.Rand
	// wipedAt is when a disk was last wiped; the wiped voter must be replaced before the next
	// wipe. stoppedAt is when all keepers were last stopped at once.
	wipedAt, stoppedAt time.Time
}

// minWipeInterval is the least time between two wipes, or a wipe and a stop of all keepers.
const minWipeInterval = 6 * time.Second

func faultSource(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 77)) }

// randomTime returns a random duration of at least from and less than to.
func (f *faults) randomTime(from, to time.Duration) time.Duration {
	return between(f.random, from, to)
}

// run injects faults until a time and leaves all nodes running.
func (f *faults) run(until time.Time) {
	kinds := []func(){f.kill, f.term, f.freeze, f.wipe, f.killEntry, f.dropAnswers, f.refuse, f.silence, f.stopKeepers, f.fillDisks}
	f.runSequence(until, kinds)
}

// runSequence injects random faults of the given kinds, one at a time, until a time.
func (f *faults) runSequence(until time.Time, kinds []func()) {
	for time.Now().Before(until) {
		kinds[f.random.IntN(len(kinds))]()
		time.Sleep(f.randomTime(200*time.Millisecond, time.Second))
	}
}

// entry returns a random entry.
func (f *faults) entry() *node { return f.region.entries[f.random.IntN(len(f.region.entries))] }

// node returns a random keeper or entry.
func (f *faults) node() *node {
	nodes := f.region.nodes()
	return nodes[f.random.IntN(len(nodes))]
}

// inject runs a fault on a node unless another fault is already active there.
func inject(n *node, fault func()) {
	if !n.faultMu.TryLock() {
		return
	}
	defer n.faultMu.Unlock()
	fault()
}

// restartNode ends a node's process with a signal and starts it again after a pause.
func (f *faults) restartNode(n *node, s syscall.Signal, pause time.Duration) {
	inject(n, func() {
		n.stopWith(s)
		time.Sleep(pause)
		must(f.region.start(n))
	})
}

func (f *faults) kill() {
	n := f.region.keepers[f.random.IntN(keeperCount)]
	f.restartNode(n, syscall.SIGKILL, f.randomTime(100*time.Millisecond, 1500*time.Millisecond))
}
func (f *faults) term()                 { f.terminateNode(f.node()) }
func (f *faults) terminateNode(n *node) { f.restartNode(n, syscall.SIGTERM, 0) }
func (f *faults) killEntry()            { f.killNode(f.entry()) }
func (f *faults) killNode(n *node)      { f.restartNode(n, syscall.SIGKILL, 0) }
func (f *faults) freeze()               { f.freezeNode(f.node()) }
func (f *faults) freezeNode(n *node) {
	inject(n, func() {
		n.signal(syscall.SIGSTOP)
		time.Sleep(f.randomTime(200*time.Millisecond, 2500*time.Millisecond))
		n.signal(syscall.SIGCONT)
	})
}

// mayLoseQuorum reports whether a fault of the quorum is far enough from the one before.
func (f *faults) mayLoseQuorum() bool {
	return time.Since(f.wipedAt) >= minWipeInterval && time.Since(f.stoppedAt) >= minWipeInterval
}

// wipe restarts a keeper with an empty disk and with bootstrap off in its settings.
func (f *faults) wipe() {
	if !f.mayLoseQuorum() {
		return
	}
	i := f.random.IntN(keeperCount)
	n := f.region.keepers[i]
	inject(n, func() {
		n.stopWith(syscall.SIGKILL)
		must(n.wipe())
		must(f.region.writeSettings(n, i, false))
		must(f.region.start(n))
	})
	f.wipedAt = time.Now()
	time.Sleep(minWipeInterval / 2)
}

// stopKeepers kills all keepers at about the same time and restarts them with their disks.
func (f *faults) stopKeepers() {
	if !f.mayLoseQuorum() {
		return
	}
	// A keeper with another fault is left out.
	var stopped []*node
	for _, n := range f.region.keepers {
		if n.faultMu.TryLock() {
			n.stopWith(syscall.SIGKILL)
			stopped = append(stopped, n)
		}
	}
	for _, n := range stopped {
		time.Sleep(f.randomTime(0, 150*time.Millisecond))
		must(f.region.start(n))
		n.faultMu.Unlock()
	}
	f.stoppedAt = time.Now()
}

func (f *faults) upstream() *upstream { return f.service.upstreams[f.random.IntN(deskCount)] }

// during sets a flag for a random time.
func (f *faults) during(flag *atomic.Bool, from, to time.Duration) {
	flag.Store(true)
	time.Sleep(f.randomTime(from, to))
	flag.Store(false)
}

func (f *faults) dropAnswers() {
	f.during(&f.upstream().dropsAnswers, 100*time.Millisecond, time.Second)
}
func (f *faults) refuse()  { f.during(&f.upstream().refuses, 100*time.Millisecond, time.Second) }
func (f *faults) silence() { f.during(&f.upstream().silent, 500*time.Millisecond, 3*time.Second) }
