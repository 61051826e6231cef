package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// departureInterval is the time between two departures during the faults, knownTime how long an
	// upstream announces itself before it leaves.
	departureInterval = 700 * time.Millisecond
	knownTime         = time.Second
	// maxKillDelay bounds the time from an acknowledgement to the end of the keeper that gave it.
	maxKillDelay = 40 * time.Millisecond
	// departureWait is the time after an acknowledgement and the last fault in which requests may still
	// reach an upstream that has left: until all nodes know of it, and the requests sent by then have ended.
	departureWait = contactTime + callTimeout
	// departureWatch is how long requests are sent after that.
	departureWatch = 2 * time.Second
)

// departures has upstreams of the desk say that they leave, serve on, and count the requests that still come.
type departures struct {
	region  *region
	service *plainService
	mu      sync.Mutex
	left    []*leftUpstream
	started int
}

// leftUpstream is an upstream whose departure a keeper acknowledged.
type leftUpstream struct {
	*upstream
	keeper string
	ackAt  time.Time
}

// run has upstreams leave until a time. After some of the acknowledgements the keeper that gave it is killed.
func (d *departures) run(seed uint64, until time.Time) {
	random := randomSource(seed, "departures")
	for time.Now().Add(knownTime).Before(until) {
		d.leave(random, random.IntN(2) == 0)
		time.Sleep(departureInterval)
	}
}

// leave starts an upstream, has it say that it leaves and, if the statement is acknowledged, kills and restarts
// the keeper.
func (d *departures) leave(random *rand.Rand, kill bool) {
	u := d.start()
	time.Sleep(knownTime)
	u.silent.Store(true)
	// The statement comes after announcements that are on their way.
	time.Sleep(2 * time.Millisecond)
	keeper, drains, delay := d.region.keepers[random.IntN(keeperCount)], random.IntN(2) == 0, time.Duration(random.Int64N(int64(maxKillDelay)))
	acknowledged := false
	inject(keeper, func() {
		if acknowledged = u.sayLeaving(keeper, drains); !acknowledged {
			return
		}
		l := &leftUpstream{upstream: u, keeper: keeper.name, ackAt: time.Now()}
		d.mu.Lock()
		d.left = append(d.left, l)
		d.mu.Unlock()
		if !kill {
			return
		}
		time.Sleep(delay)
		keeper.stopWith(syscall.SIGKILL)
		time.Sleep(delay)
		if err := d.region.start(keeper); err != nil {
			panic(fmt.Sprintf("%s did not restart: %v", keeper.name, err))
		}
	})
	if !acknowledged {
		u.stop()
	}
}

func (d *departures) start() *upstream {
	d.mu.Lock()
	d.started++
	u := &upstream{service: d.service, number: 100 + d.started, addr: d.region.endpoint()}
	d.mu.Unlock()
	u.start()
	d.service.workers.Go(u.announce)
	return u
}

// sayLeaving announces to a keeper that the upstream drains, or deregisters it, and reports whether the keeper
// acknowledged it.
func (u *upstream) sayLeaving(keeper *node, drains bool) bool {
	u.mu.Lock()
	id, call := u.instanceLocked(), "deregister"
	var body []byte
	if drains {
		call = "heartbeat"
		var err error
		body, err = json.Marshal(map[string]any{
			"service": u.service.name, "address": u.addr, "zone": "zone-0", "slots": 50, "state": "draining", "seq": 1 << 20, "born": u.startTime,
		})
		must(err)
	}
	u.mu.Unlock()
	return post(&http.Client{Timeout: time.Second}, keeper, "instances/"+id+"/"+call, body)
}

// check has one more upstream leave in calm, its keeper killed, and returns the upstreams that got requests although
// all nodes must know that they have left.
func (d *departures) check(seed uint64, c *callers) []string {
	d.leave(randomSource(seed, "last departure"), true)
	calls := make(chan struct{})
	go func() {
		c.run(before(time.Now().Add(departureWait + departureWatch)))
		close(calls)
	}()
	time.Sleep(departureWait)
	d.mu.Lock()
	defer d.mu.Unlock()
	before := map[*leftUpstream]int64{}
	for _, l := range d.left {
		before[l] = l.executed.Load()
	}
	<-calls
	var violations []string
	for _, l := range d.left {
		if late := l.executed.Load() - before[l]; late > 0 {
			violations = append(violations, fmt.Sprintf("%s left at %s, as %s acknowledged, and got %d requests later than %s after the last fault",
				l.instance(), l.ackAt.UTC().Format(time.RFC3339Nano), l.keeper, late, departureWait))
		}
		l.stop()
	}
	fmt.Printf("seed %d: %d upstreams left\n", seed, len(d.left))
	return violations
}
