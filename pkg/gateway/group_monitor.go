package gateway

import (
	"context"
	"errors"
	"sync"

	"github.com/masticmount/masticmount/pkg/domain"
)

// Causes for which a running attempt is canceled.
var (
	errGroupBroke         = errors.New("the group is no longer whole")
	errPreempted          = errors.New("the slot was preempted")
	errClientDisconnected = errors.New("the client disconnected")
	errStopping           = errors.New("the entry is stopping")
	errSuperseded         = errors.New("another attempt continued the stream")
)

// maxStaleChecks is the number of checks for which a stale view is tolerated.
const maxStaleChecks = 10

// groupKey identifies one generation of a group.
type groupKey struct {
	name       string
	generation uint64
}

func keyOf(g *domain.Group) groupKey { return groupKey{g.Name, g.Generation} }

// groupMonitor cancels the attempts on groups that are no longer whole.
type groupMonitor struct {
	view func() *domain.View
	mu   sync.Mutex
	// lastView is the last view that was checked and not stale.
	lastView *domain.View
	// groupAdded is true if a group was added to watched since that check.
	groupAdded bool
	// staleChecks counts the checks since the view became stale.
	staleChecks int
	watched     map[groupKey]map[*watch]struct{}
	// wake receives a value when the first watch is added.
	wake chan struct{}
}

// watch is the subscription of one attempt to its group.
type watch struct{ cancel context.CancelCauseFunc }

func newGroupMonitor(view func() *domain.View) *groupMonitor {
	return &groupMonitor{view: view, watched: map[groupKey]map[*watch]struct{}{}, wake: make(chan struct{}, 1)}
}

// watch calls cancel with errGroupBroke once the group breaks, unless stop was called
// before.
func (m *groupMonitor) watch(group *domain.Group, cancel context.CancelCauseFunc) (stop func()) {
	if m.view == nil {
		return func() {}
	}
	key, w := keyOf(group), &watch{cancel: cancel}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.watched) == 0 {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
	if m.watched[key] == nil {
		m.watched[key] = map[*watch]struct{}{}
		// The group may have broken since the last check.
		m.groupAdded = true
	}
	m.watched[key][w] = struct{}{}
	return func() { m.unwatch(key, w) }
}

// watching reports whether any attempt is watched.
func (m *groupMonitor) watching() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.watched) > 0
}

func (m *groupMonitor) unwatch(key groupKey, w *watch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.watched[key], w)
	if len(m.watched[key]) == 0 {
		delete(m.watched, key)
	}
}

// check cancels the attempts on groups that are not whole in the current view.
func (m *groupMonitor) check() {
	if m.view == nil {
		return
	}
	for _, w := range m.brokenWatches(m.view()) {
		w.cancel(errGroupBroke)
	}
}

func (m *groupMonitor) brokenWatches(view *domain.View) []*watch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if view == m.lastView && !m.groupAdded || m.isStale(view) {
		return nil
	}
	m.lastView, m.groupAdded = view, false
	if len(m.watched) == 0 {
		return nil
	}
	whole := wholeGroups(view)
	var broken []*watch
	for key, watches := range m.watched {
		if whole[key] {
			continue
		}
		for w := range watches {
			broken = append(broken, w)
		}
	}
	return broken
}

// isStale reports whether the view is stale: a node shows an empty view of the same
// version after it was paused. Attempts continue until the next view, or end after
// maxStaleChecks checks.
func (m *groupMonitor) isStale(view *domain.View) bool {
	if m.lastView == nil || len(view.Groups) > 0 || view.Version != m.lastView.Version {
		m.staleChecks = 0
		return false
	}
	m.staleChecks++
	return m.staleChecks <= maxStaleChecks
}

func wholeGroups(view *domain.View) map[groupKey]bool {
	whole := make(map[groupKey]bool, len(view.Groups)+len(view.Remote))
	for _, list := range [][]*domain.Group{view.Groups, view.Remote} {
		for _, g := range list {
			if g.Whole {
				whole[keyOf(g)] = true
			}
		}
	}
	return whole
}
