package keeper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticmount/masticmount/pkg/regionlog"
)

// view is what the log duty last published of the protocol. It is immutable.
type view struct {
	status regionlog.Status
	// leaderless is since when no leader has been known.
	leaderless time.Time
	// changed is closed when a newer view is published.
	changed chan struct{}
}

func (v *view) leads() bool { return v.status.Role == regionlog.Leader }

func (v *view) formed() bool { return len(v.status.Membership.GetMembers()) > 0 }

// wait returns true once a newer view was published, false when ctx ends first.
func (v *view) wait(ctx context.Context) bool {
	select {
	case <-v.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// viewCell holds the last view.
type viewCell struct{ last atomic.Pointer[view] }

func (c *viewCell) init() {
	c.last.Store(&view{leaderless: time.Now(), changed: make(chan struct{})})
}

func (c *viewCell) get() *view { return c.last.Load() }

// publish replaces the view; the log duty alone calls it.
func (c *viewCell) publish(status regionlog.Status) {
	old := c.last.Load()
	next := &view{status: status, changed: make(chan struct{})}
	if status.Leader == 0 {
		next.leaderless = old.leaderless
		if old.status.Leader != 0 || next.leaderless.IsZero() {
			next.leaderless = time.Now()
		}
	}
	c.last.Store(next)
	close(old.changed)
}

// progressMark is an index that only rises and that can be waited for.
type progressMark struct {
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
}

func (p *progressMark) init() { p.changed = make(chan struct{}) }

func (p *progressMark) set(index uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index = index
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *progressMark) get() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.index
}

// wait returns true once the mark reached index, false when ctx ends first.
func (p *progressMark) wait(ctx context.Context, index uint64) bool {
	for {
		p.mu.Lock()
		reached, changed := p.index >= index, p.changed
		p.mu.Unlock()
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

// LeaderlessFor returns for how long no leader has been known; 0 while one is.
func (k *Keeper) LeaderlessFor() time.Duration {
	v := k.view.get()
	if v.status.Leader != 0 {
		return 0
	}
	return time.Since(v.leaderless)
}
