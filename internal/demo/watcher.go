package demo

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticmount/masticmount/pkg/admin"
)

// watchInterval is the polling interval of a node's status.
const watchInterval = 100 * time.Millisecond

// watcher polls every node until stopped and checks two invariants: no VM is in two
// whole groups, and the revision of a ready node does not decrease.
type watcher struct {
	stop   chan struct{}
	nodes  sync.WaitGroup
	checks atomic.Int64
	// violations holds the first violation of each node.
	violations chan error
}

func startWatcher(d *Demo) *watcher {
	w := &watcher{stop: make(chan struct{}), violations: make(chan error, len(d.admins))}
	for _, client := range d.admins {
		w.nodes.Go(func() { w.watch(client.Status) })
	}
	return w
}

func (w *watcher) watch(getStatus func() (admin.Status, error)) {
	var highest uint64
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-tick.C:
		}
		status, err := getStatus()
		if err != nil || !status.Ready {
			continue
		}
		w.checks.Add(1)
		if err := violation(status, highest); err != nil {
			w.violations <- err
			return
		}
		highest = status.Revision
	}
}

// violation returns an error if a node's status violates an invariant.
func violation(status admin.Status, highest uint64) error {
	if status.Revision < highest {
		return fmt.Errorf("revision of node %s decreased from %d to %d", status.Node, highest, status.Revision)
	}
	groupOf := map[string]string{}
	for _, g := range status.Groups {
		if !g.Whole {
			continue
		}
		for _, m := range g.Members {
			if other, found := groupOf[m.ID]; found {
				return fmt.Errorf("node %s reports %s as a member of both %s and %s", status.Node, m.ID, other, g.Name)
			}
			groupOf[m.ID] = g.Name
		}
	}
	return nil
}

func (w *watcher) finish() (string, error) {
	close(w.stop)
	w.nodes.Wait()
	select {
	case err := <-w.violations:
		return "", err
	default:
		return fmt.Sprintf("%d status checks of ready nodes", w.checks.Load()), nil
	}
}
