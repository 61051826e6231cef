package grouping

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

// Guards against cutting the streams of a group that finishes them, because another coordinator
// took over.
func TestNewCoordinatorLetsClosingGroupFinish(t *testing.T) {
	s, head, _ := suspected(t, "head")
	name := head.Group.Group
	head.Group.State = fleet.Closing
	s.deliverReport(head)
	s.elect(Options{Term: 3})
	before := len(s.orders)
	s.run(settleTime + drainTimeout - tick)
	for _, o := range s.orders[before:] {
		assert.False(t, o.Cancel, "%s %s %s", o.Kind, o.Upstream, o.Group)
		assert.NotEqual(t, Leave, o.Kind, "%s %s", o.Upstream, o.Group)
	}
	head.Group.State = fleet.Ready
	s.deliverReport(head)
	s.run(5 * time.Second)
	assert.NotContains(t, s.planner.groups, name)
	assert.Equal(t, 1, s.openGroups()["big"])
}

// Guards against cutting the streams of a group that finishes them because a member leaves: a new coordinator closes it and,
// as an open order may still be under way, has its head leave, but only once nothing runs.
func TestNewCoordinatorLetsGroupOfLeavingMemberFinish(t *testing.T) {
	s, head, member := suspected(t, "member")
	name := head.Group.Group
	member.Draining, s.busy[head.ID] = true, true
	s.deliverReport(member)
	s.elect(Options{Term: 3})
	before := len(s.orders)
	s.run(settleTime + drainTimeout - tick)
	assert.Contains(t, s.changes(before), fmt.Sprintf("%s %s %s", Close, head.ID, name))
	assert.Equal(t, fleet.Closing, head.Group.State)
	for _, o := range s.orders[before:] {
		assert.False(t, o.Cancel, "%s %s %s", o.Kind, o.Upstream, o.Group)
		assert.NotEqual(t, Leave, o.Kind, "%s %s", o.Upstream, o.Group)
	}
	head.Group.State, s.busy[head.ID] = fleet.Ready, false
	s.deliverReport(head)
	s.run(2 * interval)
	assert.Contains(t, s.changes(before), fmt.Sprintf("%s %s %s", Leave, head.ID, name))
	assert.NotContains(t, s.planner.groups, name)
}

// Guards against cutting the streams of a group because a member leaves: the member remains while they run.
func TestGroupOfLeavingMemberFinishesItsWork(t *testing.T) {
	const memberRemains = 10 * time.Second
	s, head, member := suspected(t, "member")
	name := head.Group.Group
	member.Draining, s.busy[head.ID] = true, true
	s.deliverReport(member)
	before := len(s.orders)
	s.run(memberRemains - time.Second)
	assert.Contains(t, s.changes(before), fmt.Sprintf("%s %s %s", Close, head.ID, name))
	for _, o := range s.orders[before:] {
		assert.False(t, o.Cancel, "%s %s %s", o.Kind, o.Upstream, o.Group)
	}
	assert.Equal(t, fleet.Closing, head.Group.State)
	s.run(2 * time.Second)
	assert.True(t, slices.ContainsFunc(s.orders[before:], func(o Order) bool { return o.Cancel && o.Group == name }), "its time is over")
}

// Guards against reusing the engines of a group that serves, because its model is no longer
// configured when another coordinator takes over.
func TestEnginesOfGroupWithRemovedModelAreNotReused(t *testing.T) {
	s, head, _ := suspected(t, "head")
	name := head.Group.Group
	spec := *s.engineSpec
	spec.Models = spec.Models[1:]
	s.engineSpec = &spec
	s.elect(Options{Term: 3})
	before := len(s.orders)
	s.run(8 * time.Second)
	assert.Len(t, s.members(name), 4)
	assert.Empty(t, s.changes(before))
}

// Guards against reusing the engines of a group that serves, because its service was not
// configured for a while.
func TestEnginesOfGroupOutlastRemovalOfTheirService(t *testing.T) {
	for _, removed := range []time.Duration{tick, 500 * time.Millisecond, 3 * time.Second} {
		s, head, _ := suspected(t, "head")
		name := head.Group.Group
		s.add("other", "fab")
		s.engines["other"].Service = "another"
		another := &document.Service{Name: "another", Engine: &document.Engine{Models: []document.Model{{Name: "wide", GroupSize: 4}}}}
		before := len(s.orders)
		s.planner.Configure(map[string]*document.Service{"another": another})
		s.run(removed)
		s.planner.Configure(map[string]*document.Service{"another": another, "pool": {Name: "pool", Engine: s.engineSpec}})
		s.run(8 * time.Second)
		assert.Len(t, s.members(name), 4)
		assert.Empty(t, s.changes(before))
	}
}

// Guards against cutting the streams of a group, because its model has another size when another
// coordinator takes over.
func TestNewCoordinatorLetsGroupOfFormerSizeFinish(t *testing.T) {
	s, head, _ := suspected(t, "head")
	name := head.Group.Group
	spec := *s.engineSpec
	spec.Models = slices.Clone(spec.Models)
	spec.Models[0].GroupSize = 5
	s.engineSpec = &spec
	s.elect(Options{Term: 3})
	before := len(s.orders)
	s.run(8 * time.Second)
	orders := lo.Filter(s.orders[before:], func(o Order, _ int) bool { return o.Group == name && o.Kind != Probe })
	assert.NotEmpty(t, orders)
	assert.Equal(t, Close, orders[0].Kind)
	assert.False(t, orders[0].Cancel)
}

// Guards against an engine that joins another group while the group that it leads is open: a join
// of an earlier coordinator may be carried out after another one has opened the group anew.
func TestNewCoordinatorOpensNoGroupOfFormerTerm(t *testing.T) {
	const term = 3
	s, head, _ := suspected(t, "head")
	name := head.Group.Group
	head.Group.State = fleet.Ready
	s.deliverReport(head)
	s.elect(Options{Term: term})
	before := len(s.orders)
	s.run(8 * time.Second)
	for _, o := range s.orders[before:] {
		assert.False(t, o.Kind == Open && o.Group == name, "%s %s of %s", o.Kind, o.Upstream, o.Group)
	}
	assert.Equal(t, 1, s.openGroups()["big"])
	for _, g := range s.planner.groups {
		if g.model.Name == "big" {
			assert.GreaterOrEqual(t, g.epoch, uint64(term)<<epochBits, "a later epoch rejects the join: %s", g.name)
		}
	}
}

// Guards against two groups of one engine: a late join of an earlier coordinator forms one while another one is being formed with the
// same engine. If it were opened, the engine would join the other one while the group that it leads is open.
func TestLateJoinOfFormerTermForcesNoSecondGroup(t *testing.T) {
	const term = 3
	for name, state := range map[string]fleet.GroupState{"joining": fleet.Joining, "open": fleet.Open} {
		t.Run(name, func(t *testing.T) {
			s := newEmptySimulation(t)
			s.engineSpec.Models = []document.Model{{Name: "pair", GroupSize: 2, Share: 1, TimeFactor: 1, LoadTime: time.Second, WarmLoadTime: time.Second}}
			for _, id := range []string{"e0", "e1", "e2"} {
				s.add(id, "fab")
			}
			s.elect(Options{Term: term, UnlimitedLoads: true})
			head := s.engines["e0"]
			s.delay = func(o Order) time.Duration {
				if o.Upstream == head.ID && o.Kind == Join {
					return time.Hour
				}
				return 0
			}
			claims := func() bool {
				return lo.SomeBy(lo.Values(s.planner.groups), func(g *group) bool {
					return lo.SomeBy(g.members, func(m incarnation) bool { return m.id == head.ID })
				})
			}
			for range 100 {
				if s.run(tick); claims() {
					break
				}
			}
			assert.True(t, claims(), "a group is formed with the engine")
			other, _ := lo.Find([]string{"e1", "e2"}, func(id string) bool { return s.engines[id].Group.Group == "" })
			former := "pair.2.former"
			epoch := uint64(term-1) << epochBits
			head.Group = fleet.Membership{Group: former, Epoch: epoch, State: state}
			s.engines[other].Group = fleet.Membership{Group: former, Epoch: epoch, Rank: 1, State: fleet.Ready}
			s.everReady[former] = map[string]bool{head.ID: true, other: true}
			before := len(s.orders)
			s.deliverReport(head)
			s.deliverReport(s.engines[other])
			s.run(tick)
			if head.Group.State == fleet.Joining {
				head.Group.State = fleet.Ready
				s.deliverReport(head)
			}
			s.run(2 * time.Second)
			s.delay = nil
			s.run(8 * time.Second)
			for _, o := range s.orders[before:] {
				assert.False(t, o.Kind == Open && o.Group == former, "%s %s of %s", o.Kind, o.Upstream, o.Group)
			}
			assert.Equal(t, map[string]int{"pair": 1}, s.openGroups())
		})
	}
}
