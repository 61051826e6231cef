//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// leader returns the keeper that gives orders to engines, by its log; nil if there is none.
func (d *deployment) leader() *node {
	for _, k := range d.keepers {
		log, _ := os.ReadFile(filepath.Join(k.folder, "log"))
		if strings.LastIndex(string(log), "event=steward_began") > strings.LastIndex(string(log), "event=steward_ended") {
			return k
		}
	}
	return nil
}

func await(within time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v: %s", within, what)
}

// freezeTime is how long the leading keeper stands still: long enough that it counts itself as paused.
const freezeTime = 510 * time.Millisecond

// lateBy are the times after which the orders without an answer are carried out.
var lateBy = [...]time.Duration{12 * time.Second, 8500 * time.Millisecond}

// lateJoin leaves two joins of one worker without an answer, has the leading keeper stand still for half a second, has
// another worker leave as planned, and carries the joins out late. No worker may take a join of another group while the
// head of its group is open.
func lateJoin(d *deployment, trouble bool) ([]string, error) {
	p := &pool{d: d, engines: map[string]*engine{}}
	ordered := make(chan struct{})
	withheld := 0
	p.late = func(e *engine, o order) time.Duration {
		if e.id != "i-3" || o.Op != "join" || withheld == len(lateBy) {
			return 0
		}
		if withheld++; withheld == len(lateBy) || !trouble {
			withheld = len(lateBy)
			close(ordered)
		}
		if !trouble {
			return 0
		}
		return lateBy[withheld-1]
	}
	for _, id := range []string{"i-1", "i-2"} {
		e, err := p.start(id)
		if err != nil {
			return nil, err
		}
		defer e.stop()
	}
	if err := d.replace(engineManifest(3, 2), 10*time.Second); err != nil {
		return nil, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	if err := await(20*time.Second, "the first group open", func() bool {
		return p.engines["i-1"].groupState().State == "open" || p.engines["i-2"].groupState().State == "open"
	}); err != nil {
		return nil, err
	}
	// A few requests, so that the region is in ordinary service.
	c := newClients(d)
	for i := range 5 {
		c.sendHeaders(http.DefaultClient, d.entries[0], http.MethodPost, fmt.Sprintf("/caption/%d", i), 6*time.Second, []byte("x"), map[string]string{
			"X-Model": modelName, "X-Token-Counts": "400,80", "X-Prompt-Prefix": "5c1e07a2:200,91bd3f06:200",
		})
		time.Sleep(100 * time.Millisecond)
	}
	spare, err := p.start("i-3")
	if err != nil {
		return nil, err
	}
	defer spare.stop()
	select {
	case <-ordered:
	case <-time.After(30 * time.Second):
		return nil, fmt.Errorf("the spare got too few joins within 30 s")
	}
	at := time.Now()
	time.Sleep(200 * time.Millisecond)
	leader := d.leader()
	if leader == nil {
		return nil, fmt.Errorf("no keeper leads")
	}
	if trouble {
		leader.signal(syscall.SIGSTOP)
		d.record.add("%s stands still", leader.name)
		time.Sleep(freezeTime)
		leader.signal(syscall.SIGCONT)
		d.record.add("%s goes on", leader.name)
	}
	time.Sleep(time.Until(at.Add(3500 * time.Millisecond)))
	leaving := p.engines["i-2"]
	if p.engines["i-2"].groupState().Rank == 0 {
		leaving = p.engines["i-1"]
	}
	p.mu.Lock()
	leaving.state = "draining"
	leaving.update()
	p.mu.Unlock()
	d.record.add("%s reports draining", leaving.id)
	time.Sleep(time.Until(at.Add(lateBy[1] + time.Second)))
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.broken, nil
}
