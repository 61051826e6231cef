package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/grouping"
)

// spareEngine is an engine with staged weights that gets joins and answers none of them.
type spareEngine struct {
	t *testing.T
	c *Control
	// now is the coordinator's time.
	now      time.Time
	sequence uint64
	// joins are the epochs of the joins that it got, in order.
	joins []uint64
	// dropped is the number of orders that are still to be dropped unsent.
	dropped int
}

func newSpareEngine(t *testing.T, c *Control) *spareEngine {
	c.document = &document.Document{Version: 1, Services: map[string]*document.Service{"pool": {Name: "pool", Engine: &document.Engine{
		Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: 7, StagedModels: 1,
		Models: []document.Model{{Name: "m", GroupSize: 2, Share: 1, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: time.Second}},
	}}}}
	c.trafficSeen = true
	return &spareEngine{t: t, c: c, now: boottime.Now()}
}

// run plays the coordinator for a time, in steps.
func (s *spareEngine) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		s.sequence++
		s.c.record(fleet.Upstream{ID: "e3", StartTime: 1, Sequence: s.sequence, Service: "pool", Address: "e3:1", Slots: 17, Staged: []string{"m"}, AnnouncedAt: s.now})
		s.c.plan(s.now)
		for s.c.orders.Len() > 0 {
			queued := <-s.c.orders.Chan()
			o := queued.order
			outcome := grouping.Accepted
			switch {
			case s.dropped > 0:
				s.dropped--
				outcome = grouping.NotSent
			case o.Kind == grouping.Join:
				s.joins = append(s.joins, o.Epoch)
				outcome = grouping.Unanswered
			}
			orderDone{grouping.Result{Order: o, Outcome: outcome}, queued.term}.handle(s.c, s.now)
		}
	}
}

// Guards against a coordinator that stands still for half a second, makes a new planner in its term, and gives the
// epochs of orders that may still be carried out to other groups.
func TestPausedCoordinatorKeepsItsPlanner(t *testing.T) {
	withLeader(t, func(t *testing.T, c *Control, _ string) {
		defer c.opts.Keeper.Close()
		s := newSpareEngine(t, c)
		s.run(8 * time.Second)
		require.GreaterOrEqual(t, len(s.joins), 2)
		for range 3 {
			before := len(s.joins)
			s.now = s.now.Add(pauseThreshold + 10*time.Millisecond)
			s.run(pauseRecovery - 200*time.Millisecond)
			assert.Zero(t, c.leaderTerm.Load(), "planning is suspended")
			assert.Len(t, s.joins, before, "no order is given meanwhile")
			s.run(10 * time.Second)
			assert.Greater(t, len(s.joins), before)
		}
		for i := range s.joins[1:] {
			assert.Greater(t, s.joins[i+1], s.joins[i])
		}
	})
}

// Guards against an engine that gets no orders any more because one was dropped while planning was suspended, and
// against results of an earlier term.
func TestDroppedOrderIsGivenAgain(t *testing.T) {
	withLeader(t, func(t *testing.T, c *Control, _ string) {
		defer c.opts.Keeper.Close()
		s := newSpareEngine(t, c)
		s.dropped = 5
		s.run(20 * time.Second)
		assert.Zero(t, s.dropped)
		require.NotEmpty(t, s.joins)
		before := len(s.joins)
		refused := grouping.Result{Order: grouping.Order{Kind: grouping.Stage, Upstream: "e3", StartTime: 1}, Outcome: grouping.ConnectionRefused}
		orderDone{refused, c.plannerTerm - 1}.handle(c, s.now)
		s.run(8 * time.Second)
		assert.Greater(t, len(s.joins), before, "a result of another term does not count")
	})
}
