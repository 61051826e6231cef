package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// The grace period, the places of an engine and the time of a token in this mode: streams take about 2 s, and
	// callers wait for engines.
	longGrace = 8 * time.Second
	fewSlots  = 8
	longStep  = 50 * time.Millisecond
	// maxEntryDelay bounds the delay between callers and entries, in one of slowLinksOneIn seeds.
	maxEntryDelay  = 40 * time.Millisecond
	slowLinksOneIn = 3
	// calmTime is the time before the first stop, in which groups form and callers fill the engines.
	calmTime = 4 * time.Second
	// maxRestartPause bounds the time from the exit of a process to its next start, maxStopGap that between two stops of
	// the sequence.
	maxRestartPause = 800 * time.Millisecond
	maxStopGap      = 2 * time.Second
	// stopSequences is the number of sequences of stops that run concurrently.
	stopSequences = 2
	// A signal soon after the start comes in this range of time.
	minStartTime = 20 * time.Millisecond
	maxStartTime = 600 * time.Millisecond
)

// slownessFactors are by how much sound engines are slower than the configuration says.
var slownessFactors = []float64{1, 1.5, 2.5, 4}

// drawSlowness returns the slowness of a seed's engines: the same for all, or one for each.
func drawSlowness(seed uint64) func(engine string) float64 {
	draw := func(part string) float64 {
		return slownessFactors[randomSource(seed, "slowness of "+part).IntN(len(slownessFactors))]
	}
	if seed%2 == 0 {
		return func(string) float64 { return draw("all") }
	}
	return draw
}

// plannedStops is one sequence of planned stops, as an operator's platform brings them about.
type plannedStops struct {
	region *region
	log    *stopLog
	random *rand.Rand
	// stopsKeepers is true in one sequence only: a region tolerates the loss of one keeper at a time.
	stopsKeepers bool
}

// runStops runs all sequences until a time.
func runStops(r *region, log *stopLog, seed uint64, until time.Time) {
	var all sync.WaitGroup
	for i := range stopSequences {
		p := &plannedStops{region: r, log: log, random: randomSource(seed, fmt.Sprintf("planned stops %d", i)), stopsKeepers: i == 0}
		all.Go(func() { p.run(until) })
	}
	all.Wait()
}

// run stops nodes until a time: one entry, several entries at once, those with a keeper, or a keeper.
func (p *plannedStops) run(until time.Time) {
	for time.Now().Before(until) {
		entries, keepers := 1, 0
		switch p.random.IntN(5) {
		case 0:
			entries = 2
		case 1:
			entries, keepers = max(len(p.region.entries)-1, 1), 1
		case 2:
			entries, keepers = 0, 1
		}
		if !p.stopsKeepers {
			entries, keepers = 1, 0
		}
		var all sync.WaitGroup
		for _, n := range append(p.draw(p.region.entries, entries), p.draw(p.region.keepers, keepers)...) {
			random := rand.New(rand.NewPCG(p.random.Uint64(), 0))
			all.Go(func() {
				one := &plannedStops{region: p.region, log: p.log, random: random}
				time.Sleep(between(one.random, 0, maxStopGap))
				inject(n, func() { one.stop(n) })
			})
		}
		all.Wait()
		time.Sleep(between(p.random, 0, maxStopGap))
	}
}

// draw returns different random nodes.
func (p *plannedStops) draw(nodes []*node, count int) []*node {
	var drawn []*node
	for _, i := range p.random.Perm(len(nodes))[:min(count, len(nodes))] {
		drawn = append(drawn, nodes[i])
	}
	return drawn
}

// oneIn reports true once in n draws.
func (p *plannedStops) oneIn(n int) bool { return p.random.IntN(n) == 0 }

// reload tells an entry that its settings may have changed, unless its process is still starting: before it has begun to
// handle the signal, that ends it as it would any process.
func (p *plannedStops) reload(n *node) {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(n.ip, fmt.Sprint(callerPort)), dialTimeout)
	if err != nil {
		return
	}
	_ = conn.Close()
	p.log.reload(n)
	n.signal(syscall.SIGHUP)
}

// stop stops a node and starts it again, now and then with SIGHUP before, during and after, and once more soon after the
// start.
func (p *plannedStops) stop(n *node) {
	if n.role == "entry" && p.oneIn(3) {
		p.reload(n)
		time.Sleep(between(p.random, 0, maxStartTime))
	}
	for again := true; again; {
		p.stopOnce(n)
		if again = p.oneIn(5); again {
			time.Sleep(between(p.random, minStartTime, maxStartTime))
		}
	}
	if n.role == "entry" && p.oneIn(3) {
		time.Sleep(between(p.random, maxStartTime, 2*maxStartTime))
		p.reload(n)
	}
}

// stopOnce sends SIGTERM, after the grace period SIGKILL, and starts the node again.
func (p *plannedStops) stopOnce(n *node) {
	n.mu.Lock()
	n.stopping = true
	exited := n.exited
	n.mu.Unlock()
	s := p.log.begin(n)
	n.signal(syscall.SIGTERM)
	kill := time.After(longGrace)
	var repeat, reload <-chan time.Time
	if p.oneIn(3) {
		repeat = time.After(time.Duration(p.random.Int64N(int64(longGrace))))
	}
	if n.role == "entry" && p.oneIn(3) {
		reload = time.After(time.Duration(p.random.Int64N(int64(longGrace))))
	}
	for running := true; running; {
		select {
		case <-exited:
			running = false
		case <-repeat:
			n.signal(syscall.SIGTERM)
			p.log.tell(s, "SIGTERM")
		case <-reload:
			p.log.reload(n)
			n.signal(syscall.SIGHUP)
			p.log.tell(s, "SIGHUP")
		case <-kill:
			n.signal(syscall.SIGKILL)
			p.log.kill(s)
		}
	}
	p.log.tell(s, "exit")
	time.Sleep(between(p.random, 0, maxRestartPause))
	if err := p.region.start(n); err != nil {
		panic(fmt.Sprintf("%s did not restart: %v", n.name, err))
	}
	p.log.restarted(s)
}

// entryAddresses returns where callers reach the entries, and whether that is over links that delay, as in some seeds.
func (s *system) entryAddresses(seed uint64) (reached []string, delayed bool) {
	random := randomSource(seed, "delay of entries")
	if random.IntN(slowLinksOneIn) != 0 {
		for _, n := range s.region.entries {
			reached = append(reached, net.JoinHostPort(n.ip, fmt.Sprint(callerPort)))
		}
		return reached, false
	}
	for _, l := range s.links {
		l.delay.Store(random.Int64N(int64(maxEntryDelay)))
	}
	return addresses(s.links), true
}

// soakStops runs one seed in which nothing happens but planned stops, reloads and changes of the configuration, while
// sound engines are slower than the configuration says.
func soakStops(args *arguments, seed uint64) (*result, error) {
	t := timing{grace: longGrace, keepers: keeperCount, slots: fewSlots, step: longStep, plainAttempts: usualAttempts, slowness: drawSlowness(seed)}
	sys, err := args.startSystem("-stops", seed, t)
	if err != nil {
		return nil, err
	}
	defer sys.close()
	r := sys.region
	if err := sys.startParts(args, seed, deskCount, args.Grouped, false); err != nil {
		return nil, err
	}
	service, engines := sys.desk, sys.engines
	reached, delayed := sys.entryAddresses(seed)
	if !(&callers{region: r}).waitServed() {
		return sys.notServing(), nil
	}
	stops := &stopLog{stops: map[*node][]*processStop{}, reloads: map[*node][]time.Time{}}
	c := &stopCallers{region: r, engines: engines, service: service, stops: stops, addresses: reached}
	until := time.Now().Add(calmTime + args.Faults)
	var stopping atomic.Bool
	stopping.Store(true)
	var all sync.WaitGroup
	all.Go(func() {
		time.Sleep(calmTime)
		if seed%3 != 0 {
			all.Go(func() { sys.checks.run(before(until)) })
			sys.op.run(before(until))
		}
	})
	all.Go(func() {
		time.Sleep(calmTime)
		runStops(r, stops, seed, until)
		stopping.Store(false)
	})
	// The last stop meets callers too.
	all.Go(func() { c.run(args.Callers, stopping.Load) })
	all.Wait()
	violations, counts, err := c.violations()
	if err != nil {
		return nil, err
	}
	repeated, margins := r.repeats.check()
	fmt.Printf("seed %d: %s\n", seed, margins)
	fmt.Printf("seed %d: %s; slowness of engine-0 %g, delay at entries: %v\n", seed, counts, t.slowness("engine-0"), delayed)
	return sys.finish(seed, append(violations, repeated...))
}

// violations checks all requests: lost, answered falsely, run twice, run though refused.
func (s *stopCallers) violations() ([]string, string, error) {
	found := s.engines.runs.violations()
	answers, classes := map[string]answer{}, map[lossClass]int{}
	streams := &streamCallers{engines: s.engines}
	statuses := map[int]int{}
	var elsewhere []string
	for _, r := range s.requests {
		if r.kind == nil {
			answers[r.request] = answer{exchange: r.exchange, status: r.status, body: r.body.String()}
		} else {
			found = append(found, r.violations(s.engines.runs)...)
			streams.record(&r.attempt)
		}
		if r.ending == endedComplete {
			statuses[r.status]++
			continue
		}
		stop, reload := s.stops.near(r.entry, r.endedAt)
		if stop == nil {
			stop = &processStop{}
		}
		cut := s.cut(r)
		class := cut.classify(stop.termAt, reload)
		classes[class]++
		if class != lostInStop && class != lostByReload && class != lostElsewhere {
			continue
		}
		text, err := s.describe(r, cut, class, stop)
		switch {
		case err != nil:
			return nil, "", err
		case class != lostElsewhere:
			found = append(found, text)
		case len(cut.runs) > 0:
			elsewhere = append(elsewhere, text)
		}
	}
	if len(elsewhere) > maxOtherLosses {
		found = append(found, elsewhere...)
	}
	found = append(append(found, s.service.violations(answers)...), streams.executedDespiteRefusal()...)
	if streams.counts.complete.Load() == 0 {
		found = append(found, "no stream was served")
	}
	counts, err := s.stops.counts()
	return found, fmt.Sprintf("%s; %d requests, answered by status: %v, complete streams: %d, cut: %v", counts, len(s.requests), statuses, streams.counts.complete.Load(), classes), err
}
