package demo

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// grantInterval is the time between two new grants.
	grantInterval = 20 * time.Millisecond
	// grantAttempts bounds how often a caller sends one grant.
	grantAttempts = 8
	// grantRetryDelay is a caller's delay between two attempts.
	grantRetryDelay = 300 * time.Millisecond
	// loadSeed makes the callers' choice of nodes reproducible.
	loadSeed = 17
)

// grant is the outcome that a caller got for one key.
type grant struct {
	ran bool
	// unknown is true when an attempt ended without an outcome or with the outcome
	// unknown.
	unknown bool
}

// grantLoad sends grants, each with its own key, until stopped. A caller that did not
// get a successful response retries the same key through a random node.
type grantLoad struct {
	d       *Demo
	stop    chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	random  *rand.Rand
	grants  map[string]*grant
}

func startGrants(d *Demo) *grantLoad {
	l := &grantLoad{
		d: d, stop: make(chan struct{}), grants: map[string]*grant{},
		random: rand.New(rand.NewPCG(loadSeed, loadSeed)), //nolint:gosec // the choice of nodes needs no secrecy.
	}
	l.callers.Go(l.run)
	return l
}

func (l *grantLoad) run() {
	tick := time.NewTicker(grantInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
			key := fmt.Sprintf("grant-load-%d", n)
			l.callers.Go(func() { l.send(key) })
		case <-l.stop:
			return
		}
	}
}

func (l *grantLoad) send(key string) {
	g := &grant{}
	body := fmt.Appendf(nil, `{"grant":%q}`, key)
	for range grantAttempts {
		r, err := l.d.caller.send(http.MethodPost, l.node(), "/grants", key, body)
		if err == nil && r.status == http.StatusOK {
			g.ran = true
			break
		}
		if err != nil || r.outcome != fault.NotRun {
			g.unknown = true
		}
		time.Sleep(grantRetryDelay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grants[key] = g
}

func (l *grantLoad) node() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.d.opts.Callers[l.random.IntN(len(l.d.opts.Callers))]
}

// finish stops the load and compares the outcomes reported to callers with the runs.
func (l *grantLoad) finish() (string, error) {
	close(l.stop)
	l.callers.Wait()
	runs, err := l.d.runsByKey()
	if err != nil {
		return "", err
	}
	var ran, unknown int
	for key, g := range l.grants {
		switch n := runs[key]; {
		case n > 1:
			return "", fmt.Errorf("%s ran %d times", key, n)
		case g.ran && n != 1:
			return "", fmt.Errorf("%s was reported as run but ran %d times", key, n)
		case !g.ran && !g.unknown && n != 0:
			return "", fmt.Errorf("%s was reported as not-run at each attempt but ran", key)
		}
		if g.ran {
			ran++
		} else if g.unknown {
			unknown++
		}
	}
	seen := fmt.Sprintf("%d grants: %d ran once, %d unknown, %d not run", len(l.grants), ran, unknown, len(l.grants)-ran-unknown)
	if ran == 0 {
		return "", fmt.Errorf("no grant ran: %s", seen)
	}
	return seen, nil
}

// runsByKey returns how often each key ran, summed over all services.
func (d *Demo) runsByKey() (map[string]int, error) {
	total := map[string]int{}
	for _, service := range d.opts.Services {
		runs, err := d.runsAt(service)
		if err != nil {
			return nil, err
		}
		for key, n := range runs {
			total[key] += n
		}
	}
	return total, nil
}

// runsAt returns how often the service at an address ran each key.
func (d *Demo) runsAt(service string) (map[string]int, error) {
	r, err := d.caller.send(http.MethodGet, service, "/fake/runs", "", nil)
	if err != nil {
		return nil, err
	}
	var runs map[string]int
	if err := json.Unmarshal(r.body, &runs); err != nil {
		return nil, fmt.Errorf("decode runs of service %s: %w", service, err)
	}
	return runs, nil
}
