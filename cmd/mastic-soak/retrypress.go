package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// pressedAttempts is the max_attempts of plain services in this mode: more than the budget should allow for.
	pressedAttempts = 5
	// pressedUpstreams is the number of upstreams of each plain service.
	pressedUpstreams = 4
	// The times between two requests of the plain services, about 100 and 17 a second.
	deskInterval  = 10 * time.Millisecond
	kioskInterval = 60 * time.Millisecond
	// pressCalm is the time before the first failure, breakInterval that between two engines whose connections break.
	pressCalm     = 3 * time.Second
	breakInterval = 400 * time.Millisecond
	// The times between two restarts of all entries, between the restarts of entries one after another, and for which keepers
	// stand still.
	minRestartGap  = 3 * time.Second
	maxRestartGap  = 5 * time.Second
	seriesInterval = time.Second
	minStill       = 3 * time.Second
	maxStill       = 6 * time.Second
	// longRestartGap is the time after two restarts of all entries: their starts are in no window with the next ones.
	longRestartGap = repeatWindow
)

// retryPress has upstreams drop most answers and refuse other requests, in parts that a seed draws.
type retryPress struct {
	active atomic.Bool
	mu     sync.Mutex
	random *rand.Rand
	// droppedPart and refusedPart are in percent.
	droppedPart, refusedPart int
}

func newRetryPress(seed uint64) *retryPress {
	random := randomSource(seed, "failing upstreams")
	return &retryPress{random: random, droppedPart: 60 + random.IntN(25), refusedPart: random.IntN(15)}
}

// draw returns how the next request fails, if it does.
func (p *retryPress) draw() (dropped, refused bool) {
	if p == nil || !p.active.Load() {
		return false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.random.IntN(100)
	return n < p.droppedPart, n >= p.droppedPart && n < p.droppedPart+p.refusedPart
}

// pressScenarios are what happens to the nodes, again and again, while requests fail.
var pressScenarios = []struct {
	name string
	play func(f *faults, turn int, until time.Time)
}{
	{"all entries killed twice", func(f *faults, _ int, until time.Time) { f.restartTwice(f.killNode, until) }},
	{"entries restarted in series", func(f *faults, turn int, _ time.Time) {
		restarts := []func(*node){f.killNode, f.terminateNode}
		restarts[f.random.IntN(len(restarts))](f.region.entries[turn%len(f.region.entries)])
		time.Sleep(seriesInterval)
	}},
	{"all entries killed beside keepers that stand still", func(f *faults, _ int, until time.Time) {
		f.standStill()
		f.restartAll(f.killNode)
		time.Sleep(f.randomTime(minRestartGap, maxRestartGap))
		f.standStill()
		time.Sleep(min(longRestartGap, max(time.Until(until), 0)))
	}},
	{"all entries stopped twice", func(f *faults, _ int, until time.Time) { f.restartTwice(f.terminateNode, until) }},
}

func (f *faults) restartTwice(restart func(*node), until time.Time) {
	f.restartAll(restart)
	time.Sleep(f.randomTime(minRestartGap, maxRestartGap))
	f.restartAll(restart)
	time.Sleep(min(longRestartGap, max(time.Until(until), 0)))
}

func (f *faults) restartAll(restart func(*node)) {
	var all sync.WaitGroup
	for _, n := range f.region.entries {
		all.Go(func() { restart(n) })
	}
	all.Wait()
}

// standStill suspends all keepers for some time, so that entries know late what others sent.
func (f *faults) standStill() {
	for _, n := range f.region.keepers {
		n.signal(syscall.SIGSTOP)
	}
	time.Sleep(f.randomTime(minStill, maxStill))
	for _, n := range f.region.keepers {
		n.signal(syscall.SIGCONT)
	}
}

// breakStreams breaks the connections of one engine after another, and has every second one refuse requests for as long.
func breakStreams(engines *engineSet, random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		e, full := engines.all[random.IntN(len(engines.all))], engines.all[random.IntN(len(engines.all))]
		full.isFull.Store(true)
		e.link.resetAll()
		time.Sleep(breakInterval)
		full.isFull.Store(false)
	}
}

// sendRepeatable sends one request that may run again after another, to the entries in rotation, until a time.
func (c *callers) sendRepeatable(path, key string, interval time.Duration, until time.Time) {
	c.sendAll(interval, before(until), func(int) {
		number := c.nextNumber()
		// Contents differ, so that none is suspected to crash upstreams.
		c.send(plainRequest{method: "POST", path: fmt.Sprintf("%s%d", path, number), key: key, body: fmt.Sprintf("content %d", number)}, number, number)
	})
}

// soakRetries runs one seed in which most requests fail while entries restart.
func soakRetries(args *arguments, seed uint64) (*result, error) {
	t := usualTiming
	t.plainAttempts = pressedAttempts
	sys, err := args.startSystem("-retries", seed, t)
	if err != nil {
		return nil, err
	}
	defer sys.close()
	r := sys.region
	kiosk, press := sys.startPlain(kioskService, pressedUpstreams, nil), newRetryPress(seed)
	if err := sys.startParts(args, seed, pressedUpstreams, 0, false); err != nil {
		return nil, err
	}
	desk, engines, streams := sys.desk, sys.engines, sys.streams
	desk.press, kiosk.press = press, press
	deskCalls, kioskCalls := &callers{region: r}, &callers{region: r}
	if !deskCalls.waitServed() || !streams.waitServed("start", streamKinds(false)) {
		return sys.notServing(), nil
	}
	from := time.Now().Add(pressCalm)
	until := from.Add(args.Faults)
	scenario := pressScenarios[seed%uint64(len(pressScenarios))]
	var all sync.WaitGroup
	all.Go(func() { deskCalls.sendRepeatable("/lookup/", "", deskInterval, until) })
	all.Go(func() { kioskCalls.sendRepeatable(quotePath, accountKey(otherAccount), kioskInterval, until) })
	all.Go(func() { streams.run(args.Callers, until) })
	all.Go(func() {
		time.Sleep(time.Until(from))
		press.active.Store(true)
		engines.faultsActive.Store(true)
		random := randomSource(seed, "press")
		all.Go(func() { breakStreams(engines, random, until) })
		f := &faults{region: r, random: randomSource(seed, "restarts")}
		time.Sleep(f.randomTime(0, minRestartGap))
		for turn := 0; time.Now().Before(until); turn++ {
			scenario.play(f, turn, until)
		}
	})
	all.Wait()
	violations, margins := r.repeats.check()
	fmt.Printf("seed %d: %s; %d%% dropped, %d%% refused; %s; %s\n", seed, scenario.name, press.droppedPart, press.refusedPart, margins, &streams.counts)
	violations = slices.Concat(violations, desk.violations(deskCalls.answers()), kiosk.violations(kioskCalls.answers()), streams.violations(), engines.runs.violations())
	return sys.finish(seed, violations)
}
