package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/lo"
)

// engineEnding is how an engine's process ends.
type engineEnding int

const (
	// listenerFirst refuses new connections before the open ones break.
	listenerFirst engineEnding = iota
	// connectionsFirst breaks the open connections some time before new ones are refused.
	connectionsFirst
	// backAtOnce breaks the open connections and accepts new ones as the next incarnation at once.
	backAtOnce
	endingCount
)

const (
	// maxListenerDelay bounds the time between the end of the connections and that of the listener.
	maxListenerDelay = 80 * time.Millisecond
	// The engines of one loss end between minLossGap and maxLossGap apart.
	minLossGap, maxLossGap = 10 * time.Millisecond, 500 * time.Millisecond
	// The time between two losses.
	minLossPause, maxLossPause = 1500 * time.Millisecond, 4 * time.Second
	// beginTime is the time within which an engine that is to end may begin an answer.
	beginTime = 700 * time.Millisecond
	// minLost and maxLost bound the engines of one loss.
	minLost, maxLost = 3, 6
	// lossSlots is the number of requests that an engine runs at once: few, so that several groups are formed.
	lossSlots = 4
	// The times for which an upstream wants no work, and between two of them.
	minStatedPause, maxStatedPause = time.Second, 3 * time.Second
	pauseInterval                  = time.Second
	// afterPowerLoss is the time for which callers go on after all nodes were lost.
	afterPowerLoss = 5 * time.Second
	// toleratedDenied, and one in deniedOneIn of the requests, may be refused as wrong.
	toleratedDenied, deniedOneIn = 5, 500
	// toleratedCrashes is the number of crashes by a part after which contactTime begins, toleratedSends the number of
	// requests with it that may reach engines after that.
	toleratedCrashes, toleratedSends = 5, 3
	// lostHeadsStep: in one of so many seeds, engines end before the headers of their answers have left them.
	lostHeadsStep = 4
	// maxShownDenials bounds the denials that a violation lists.
	maxShownDenials = 5
)

// drawEnding draws how an engine ends: most often in the way that any probe notices.
func drawEnding(random *rand.Rand) engineEnding {
	if random.IntN(2) == 0 {
		return listenerFirst
	}
	return engineEnding(random.IntN(int(endingCount)))
}

// denials are the sound requests that were refused as wrong.
type denials struct {
	mu       sync.Mutex
	requests int
	statuses map[int]int
	shown    []string
}

// isDenial reports whether a status says that the request is wrong.
func isDenial(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
}

func (d *denials) record(name string, status int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests++
	if !isDenial(status) {
		return
	}
	if d.statuses == nil {
		d.statuses = map[int]int{}
	}
	d.statuses[status]++
	if len(d.shown) < maxShownDenials {
		d.shown = append(d.shown, fmt.Sprintf("%s answered %d at %s", name, status, time.Now().UTC().Format("15:04:05.000")))
	}
}

// check returns a violation if more requests were refused as wrong than are tolerated, and the counts.
func (d *denials) check() (violations []string, counts string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	denied := 0
	for _, n := range d.statuses {
		denied += n
	}
	if denied > toleratedDenied+d.requests/deniedOneIn {
		violations = append(violations, fmt.Sprintf("%d of %d sound requests were refused as wrong %v: %s", denied, d.requests, d.statuses, strings.Join(d.shown, ", ")))
	}
	return violations, fmt.Sprintf("%d of %d sound requests refused as wrong", denied, d.requests)
}

// end begins the answer to a request and ends the engine's incarnation. Where heads are lost, that of the answer is, too.
func (e *engine) end(conn net.Conn, id string, how engineEnding, delay time.Duration) error {
	if e.set.losesHeads {
		e.vanish(how, delay)
		return errConnEnded
	}
	path := e.link.ofServer(conn.RemoteAddr())
	var before int64
	if path != nil {
		before = path.answered.Load()
	}
	_, err := fmt.Fprintf(conn, streamHead+"Transfer-Encoding: chunked\r\n\r\n", http.StatusOK, id, e.id)
	path.awaitAnswered(before)
	e.vanish(how, delay)
	if err != nil {
		return err
	}
	return errConnEnded
}

// vanish ends the engine's incarnation.
func (e *engine) vanish(how engineEnding, delay time.Duration) {
	switch how {
	case connectionsFirst:
		e.isEnding.Store(true)
		e.link.resetAll()
		e.resetConns()
		time.Sleep(delay)
		e.link.goDown(crashTime)
		e.isEnding.Store(false)
	case backAtOnce:
		e.link.resetAll()
	default:
		e.link.goDown(crashTime)
	}
	e.restart()
}

// losses ends engines in groups, and has upstreams want no work.
type losses struct {
	region  *region
	engines *engineSet
	service *plainService
	random  *rand.Rand
	ended   atomic.Int64
}

// run has engines of a model end, some time apart, again and again until a time. Each ends as it begins an answer, unless none is begun
// within beginTime. Meanwhile hardly any request for that model is answered, and those for the other one are.
func (l *losses) run(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(minLossPause + time.Duration(l.random.Int64N(int64(maxLossPause-minLossPause))))
		loss := &plannedLoss{
			model: []string{pairModel, singleModel}[l.random.IntN(2)],
			how:   drawEnding(l.random), delay: time.Duration(l.random.Int64N(int64(maxListenerDelay))),
		}
		gap := minLossGap + time.Duration(l.random.Int64N(int64(maxLossGap-minLossGap)))
		l.engines.loss.Store(loss)
		for range minLost + l.random.IntN(maxLost-minLost+1) {
			loss.due.Store(true)
			time.Sleep(min(gap, beginTime))
			if loss.due.Swap(false) {
				l.endIdle(loss)
			}
			time.Sleep(max(gap-beginTime, 0))
		}
		l.engines.loss.Store(nil)
		l.ended.Add(loss.ended.Load())
	}
}

// endIdle ends a head of a model's group that begins no answer.
func (l *losses) endIdle(loss *plannedLoss) {
	heads := l.engines.heads(loss.model)
	if len(heads) == 0 {
		return
	}
	loss.ended.Add(1)
	heads[l.random.IntN(len(heads))].vanish(loss.how, loss.delay)
}

// heads returns the engines that serve as heads of a model's groups.
func (es *engineSet) heads(model string) []*engine {
	return slices.DeleteFunc(slices.Clone(es.all), func(e *engine) bool { return e.service != groupService || !e.group.isOpenHead(time.Now(), model) })
}

// isOpenHead reports whether the engine serves as the head of one of a model's groups.
func (m *membership) isOpenHead(now time.Time, model string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serves(now, model)
}

// plannedLoss ends engines as they begin an answer for a model.
type plannedLoss struct {
	model string
	how   engineEnding
	delay time.Duration
	// due is true while an engine is to end.
	due   atomic.Bool
	ended atomic.Int64
}

// takes reports whether the engine that begins an answer for a model now ends. A nil loss takes none.
func (p *plannedLoss) takes(model string) bool {
	if p == nil || p.model != model || !p.due.CompareAndSwap(true, false) {
		return false
	}
	p.ended.Add(1)
	return true
}

// runPauses has single engines and upstreams of the plain service want no work for a time, one after the other, until a time.
func (l *losses) runPauses(random *rand.Rand, until time.Time) {
	var pauses []*statedPause
	for _, e := range l.engines.all {
		if e.service == engineService {
			pauses = append(pauses, &e.paused)
		}
	}
	for _, u := range l.service.upstreams {
		pauses = append(pauses, &u.paused)
	}
	for time.Now().Before(until) {
		pauses[random.IntN(len(pauses))].begin(minStatedPause + time.Duration(random.Int64N(int64(maxStatedPause-minStatedPause))))
		time.Sleep(pauseInterval)
	}
}

// losePower ends all nodes at the same moment and starts them again.
func (r *region) losePower() {
	nodes := r.allNodes()
	for _, n := range nodes {
		n.faultMu.Lock()
		n.mu.Lock()
		n.stopping = true
		n.mu.Unlock()
		n.signal(syscall.SIGKILL)
	}
	for _, n := range nodes {
		n.stopWith(syscall.SIGKILL)
		if err := r.start(n); err != nil {
			panic(fmt.Sprintf("%s did not restart: %v", n.name, err))
		}
		n.faultMu.Unlock()
	}
}

// lateCrashes counts the requests with crashingPart that reached engines, from entries in touch, later than contactTime after the
// tolerated crashes.
func (l *crashLog) lateCrashes() (late, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.seen {
		if len(l.seen) >= toleratedCrashes && a.at.After(l.seen[toleratedCrashes-1].at.Add(contactTime)) && a.inTouch {
			late++
		}
	}
	return late, len(l.seen)
}

// soakLosses runs one seed in which engines end in groups, some upstreams want no work for a time or send answers without
// end, and all nodes lose power at the end. In every second seed a part of prompts crashes engines, too.
func soakLosses(args *arguments, seed uint64) (*result, error) {
	t := usualTiming
	t.slots = lossSlots
	sys, err := args.startSystem("-losses", seed, t)
	if err != nil {
		return nil, err
	}
	defer sys.close()
	r := sys.region
	if err := sys.startParts(args, seed, deskCount, args.Grouped, false); err != nil {
		return nil, err
	}
	service, engines, streams := sys.desk, sys.engines, sys.streams
	c := &callers{region: r}
	if !c.waitServed() || !streams.waitServed("start", streamKinds(true)) {
		return sys.notServing(), nil
	}
	until := time.Now().Add(args.Faults)
	end := until.Add(afterPowerLoss)
	engines.variesEndings, engines.losesHeads = true, seed%lostHeadsStep == 0
	l := &losses{region: r, engines: engines, service: service, random: randomSource(seed, "losses")}
	disturbed := &faultSequence{faults: faults{region: r, random: randomSource(seed, "entries")}}
	crashes := seed%2 == 0
	var all sync.WaitGroup
	all.Go(func() { sys.op.run(before(until)) })
	all.Go(func() { sys.checks.run(before(end)) })
	all.Go(func() { c.run(before(end)) })
	all.Go(func() { streams.run(args.Callers, end) })
	all.Go(func() { l.run(until) })
	all.Go(func() { l.runEndless(randomSource(seed, "endless"), until) })
	all.Go(func() { l.runPauses(randomSource(seed, "pauses"), until) })
	if crashes {
		all.Go(func() { streams.runCrashing(end) })
		all.Go(func() { disturbed.runSequence(until, []func(){disturbed.kill, disturbed.term, disturbed.freeze}) })
	}
	time.Sleep(time.Until(until) / 2)
	// The busiest upstream serves on for longer than the entries may send to it.
	lo.MaxBy(service.upstreams, func(a, b *upstream) bool { return a.executed.Load() > b.executed.Load() }).leaving.Store(true)
	time.Sleep(time.Until(until))
	overLimit, peak := r.memoryViolations()
	r.losePower()
	all.Wait()
	violations, denied := streams.denials.check()
	violations = append(violations, overLimit...)
	plainDenied, deniedPlain := c.denials.check()
	late, arrived := engines.crashes.lateCrashes()
	if late > toleratedSends {
		violations = append(violations, fmt.Sprintf("%d requests with a part that crashes engines reached them later than %s after the fifth crash", late, contactTime))
	}
	repeated, margins := r.repeats.check()
	handed, counts := r.handed.check()
	violations = append(append(append(violations, plainDenied...), repeated...), handed...)
	fmt.Printf("seed %d: %d engines ended; %d MiB at most; %s, %s; %d requests with a crashing part reached engines, %d of them late; %s; %s; %s\n", seed, l.ended.Load(), peak, denied, deniedPlain, arrived, late, counts, margins, &streams.counts)
	violations = slices.Concat(violations, service.violations(c.answers()), streams.violations(), streams.executedDespiteRefusal(), engines.runs.violations())
	return sys.finish(seed, violations)
}
