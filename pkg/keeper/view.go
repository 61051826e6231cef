package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticmount/masticmount/pkg/regionlog"
)

// view is the protocol status last published by the log loop. It is immutable.
type view struct {
	status regionlog.Status
	// leaderlessSince is the time since which no leader has been known.
	leaderlessSince time.Time
	// changed is closed when a newer view is published.
	changed chan struct{}
}

func (v *view) isLeader() bool { return v.status.Role == regionlog.Leader }

func (v *view) formed() bool { return len(v.status.Membership.GetMembers()) > 0 }

// progressedFrom reports whether a call that the earlier view's leader refused may succeed.
// Views are published at each event: without a difference that matters, the retry would be
// the event that publishes the next view.
func (v *view) progressedFrom(earlier *view) bool {
	a, b := v.status, earlier.status
	return a.Leader != b.Leader || a.Term != b.Term || a.Role != b.Role || a.Commit != b.Commit
}

// wait returns true once a newer view is published, false if ctx ends first.
func (v *view) wait(ctx context.Context) bool {
	select {
	case <-v.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// viewHolder holds the last published view.
type viewHolder struct{ last atomic.Pointer[view] }

func (h *viewHolder) init() {
	h.last.Store(&view{leaderlessSince: time.Now(), changed: make(chan struct{})})
}

func (h *viewHolder) get() *view { return h.last.Load() }

// publish replaces the view; only the log loop calls it.
func (h *viewHolder) publish(status regionlog.Status) {
	old := h.last.Load()
	next := &view{status: status, changed: make(chan struct{})}
	if status.Leader == 0 {
		next.leaderlessSince = old.leaderlessSince
		if old.status.Leader != 0 || next.leaderlessSince.IsZero() {
			next.leaderlessSince = time.Now()
		}
	}
	h.last.Store(next)
	close(old.changed)
}

// watermark is an increasing index that callers can wait for.
type watermark struct {
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
}

func (w *watermark) init() { w.changed = make(chan struct{}) }

func (w *watermark) set(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index = index
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *watermark) get() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.index
}

// wait returns true once the watermark has reached index, false if ctx ends first.
func (w *watermark) wait(ctx context.Context, index uint64) bool {
	for {
		w.mu.Lock()
		reached, changed := w.index >= index, w.changed
		w.mu.Unlock()
		if reached {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// LeaderlessFor returns how long no leader has been known; 0 while one is known.
func (k *Keeper) LeaderlessFor() time.Duration {
	v := k.view.get()
	if v.status.Leader != 0 {
		return 0
	}
	return time.Since(v.leaderlessSince)
}
