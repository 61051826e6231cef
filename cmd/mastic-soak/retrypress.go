package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
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

// pressFailure is how an upstream answers a request.
type pressFailure int

const (
	pressNone pressFailure = iota
	pressDropped
	pressRefused
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

// draw returns how the next request fails.
func (p *retryPress) draw() pressFailure {
	if p == nil || !p.active.Load() {
		return pressNone
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch n := p.random.IntN(100); {
	case n < p.droppedPart:
		return pressDropped
	case n < p.droppedPart+p.refusedPart:
		return pressRefused
	}
	return pressNone
}

// pressScenario is what happens to the nodes while requests fail.
type pressScenario int

const (
	killAll pressScenario = iota
	restartInSeries
	restartBesideStillKeepers
	termAll
	pressScenarios
)

func (s pressScenario) String() string {
	return [...]string{"all entries killed twice", "entries restarted in series", "all entries killed beside keepers that stand still", "all entries stopped twice"}[s]
}

// restartAll restarts all entries at once.
func (f *faults) restartAll(s syscall.Signal) {
	var all sync.WaitGroup
	for _, n := range f.region.entries {
		all.Go(func() { f.restartEntry(n, s) })
	}
	all.Wait()
}

func (f *faults) restartEntry(n *node, s syscall.Signal) {
	inject(n, func() {
		n.stopWith(s)
		f.restart(n)
	})
}

// standStill suspends all keepers for some time, so that entries know late what others sent, or never.
func (f *faults) standStill() {
	for _, n := range f.region.keepers {
		n.signal(syscall.SIGSTOP)
	}
	time.Sleep(f.randomTime(minStill, maxStill))
	for _, n := range f.region.keepers {
		n.signal(syscall.SIGCONT)
	}
}

// press plays a scenario again and again until a time.
func (f *faults) press(scenario pressScenario, until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		switch scenario {
		case restartInSeries:
			signals := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}
			f.restartEntry(f.region.entries[i%len(f.region.entries)], signals[f.random.IntN(len(signals))])
			time.Sleep(seriesInterval)
			continue
		case restartBesideStillKeepers:
			f.standStill()
			f.restartAll(syscall.SIGKILL)
			time.Sleep(f.randomTime(minRestartGap, maxRestartGap))
			f.standStill()
		default:
			s := syscall.SIGKILL
			if scenario == termAll {
				s = syscall.SIGTERM
			}
			f.restartAll(s)
			time.Sleep(f.randomTime(minRestartGap, maxRestartGap))
			f.restartAll(s)
		}
		time.Sleep(min(longRestartGap, max(time.Until(until), 0)))
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
	var calls sync.WaitGroup
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for time.Now().Before(until) {
		<-tick.C
		number := c.nextNumber()
		// Contents differ, so that none is suspected to crash upstreams.
		r := plainRequest{method: "POST", path: fmt.Sprintf("%s%d", path, number), key: key, body: fmt.Sprintf("content %d", number)}
		calls.Go(func() { c.send(r, number, number) })
	}
	calls.Wait()
}

// soakRetries runs one seed in which most requests fail while entries restart.
func soakRetries(args *arguments, seed uint64) (*result, error) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("mastic-soak-retries-%d-", seed))
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs(args.Binary)
	if err != nil {
		return nil, err
	}
	t := usualTiming
	t.plainAttempts = pressedAttempts
	r, err := startRegion(binary, folder, args.Subnet, args.Entries, t)
	if err != nil {
		return nil, err
	}
	defer r.stop()
	desk, kiosk := newPlainService(r, deskService, pressedUpstreams, nil), newPlainService(r, kioskService, pressedUpstreams, nil)
	defer desk.stop()
	defer kiosk.stop()
	press := newRetryPress(seed)
	desk.press, kiosk.press = press, press
	engines, err := newEngineSet(r, seed, args.Engines, 0)
	if err != nil {
		return nil, err
	}
	defer engines.stop()
	links, err := newEntryLinks(r, seed, new(atomic.Bool))
	defer func() {
		for _, l := range links {
			l.stop()
		}
	}()
	if err != nil {
		return nil, err
	}
	op := &operator{region: r}
	if err := op.publishInitial(); err != nil {
		return nil, err
	}
	deskCalls, kioskCalls := &callers{region: r}, &callers{region: r}
	streams := &streamCallers{engines: engines, entryAddresses: addresses(links), entryLinks: links, entries: r.entries, kinds: streamKinds(false)}
	if !deskCalls.waitServed(startTimeout) || !streams.waitServed("start", streamKinds(false)) {
		return &result{folder: folder, violations: []string{"the region does not serve at the start"}}, nil
	}
	from := time.Now().Add(pressCalm)
	until := from.Add(args.Faults)
	scenario := pressScenario(seed % uint64(pressScenarios))
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
		f.press(scenario, until)
	})
	all.Wait()
	violations, margins := r.repeats.check()
	fmt.Printf("seed %d: %s; %d%% dropped, %d%% refused; %s; %s\n", seed, scenario, press.droppedPart, press.refusedPart, margins, &streams.counts)
	logged, err := r.logViolations()
	if err != nil {
		return nil, err
	}
	violations = append(append(append(violations, desk.violations(deskCalls.answers())...), kiosk.violations(kioskCalls.answers())...), streams.violations()...)
	violations = append(append(append(violations, engines.runs.violations()...), r.violations()...), logged...)
	return &result{folder: folder, violations: violations}, nil
}
