package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
)

// newWatchedGroup returns a monitor with one attempt on a whole group, a function
// that checks a new view, and one that returns why the attempt was canceled.
func newWatchedGroup(t *testing.T) (m *groupMonitor, update func(*domain.View), cause func() error) {
	group := &domain.Group{Name: "g", Generation: 3, Whole: true}
	view := &domain.View{Version: 1, Groups: []*domain.Group{group}}
	m = newGroupMonitor(func() *domain.View { return view })
	ctx, cancel := context.WithCancelCause(t.Context())
	stop := m.watch(group, cancel)
	t.Cleanup(stop)
	m.check()
	require.NoError(t, context.Cause(ctx))
	return m, func(v *domain.View) { view = v; m.check() }, func() error { return context.Cause(ctx) }
}

func TestAttemptsAreCanceledWhenGroupBreaks(t *testing.T) {
	for name, group := range map[string]*domain.Group{
		"a member is missing": {Name: "g", Generation: 3},
		"another generation":  {Name: "g", Generation: 4, Whole: true},
		"the group is gone":   {Name: "other", Generation: 3, Whole: true},
	} {
		_, update, cause := newWatchedGroup(t)
		update(&domain.View{Version: 2, Groups: []*domain.Group{group}})
		require.ErrorIs(t, cause(), errGroupBroke, name)
	}
	_, update, cause := newWatchedGroup(t)
	update(&domain.View{Version: 2})
	require.ErrorIs(t, cause(), errGroupBroke, "the view has no groups")
}

func TestStaleViewDoesNotCancelAttempts(t *testing.T) {
	m, update, cause := newWatchedGroup(t)
	for range maxStaleChecks {
		update(&domain.View{Version: 1})
	}
	require.NoError(t, cause())
	update(&domain.View{Version: 2, Groups: []*domain.Group{{Name: "g", Generation: 3, Whole: true}}})
	require.NoError(t, cause())
	for range maxStaleChecks + 1 {
		update(&domain.View{Version: 2})
	}
	require.ErrorIs(t, cause(), errGroupBroke, "no new view within the limit")
	require.Len(t, m.watched, 1)
}

// TestRunChecksGroupsWhileAttemptsRun breaks the group of each attempt, with idle times
// between the attempts in which Run does not check.
func TestRunChecksGroupsWhileAttemptsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := &domain.Group{Name: "g", Generation: 3, Whole: true}
		var view atomic.Pointer[domain.View]
		view.Store(&domain.View{Version: 1, Groups: []*domain.Group{group}})
		g := &Gateway{opts: Options{Client: dispatch.NewClient()}, monitor: newGroupMonitor(view.Load)}
		running, stop := context.WithCancel(t.Context())
		go g.Run(running)
		for version := range uint64(3) {
			<-time.After(time.Minute)
			view.Store(&domain.View{Version: 2 * version, Groups: []*domain.Group{group}})
			ctx, cancel := context.WithCancelCause(t.Context())
			unwatch := g.monitor.watch(group, cancel)
			<-time.After(time.Second)
			require.NoError(t, ctx.Err())
			view.Store(&domain.View{Version: 2*version + 1, Groups: []*domain.Group{{Name: "h", Whole: true}}})
			<-ctx.Done()
			unwatch()
		}
		stop()
		synctest.Wait()
	})
}
