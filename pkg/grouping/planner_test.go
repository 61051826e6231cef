package grouping

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

// Guards against a report with an epoch near the largest number, which makes the epochs after it begin again at 0, so
// that engines reject every join.
func TestEpochOfAnotherWriterIsNotContinued(t *testing.T) {
	for name, group := range map[string]fleet.Membership{
		"the largest number":          {Group: groupName("big", 4, ^uint64(0)), Epoch: ^uint64(0), Rank: 1, State: fleet.Ready},
		"beyond all terms":            {Group: groupName("big", 4, 1<<50), Epoch: 1 << 50, Rank: 1, State: fleet.Ready},
		"not the one in its own name": {Group: "big.4.x", Epoch: 1 << 45, Rank: 1, State: fleet.Ready},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, firstStart())
			s.add("odd", "fab")
			s.engines["odd"].Group = group
			s.run(10 * time.Second)
			assert.Equal(t, initialGroups, s.openGroups())
			for _, o := range s.orders {
				if o.Kind == Join && o.Group != group.Group {
					assert.EqualValues(t, firstStart().Term, o.Epoch>>epochBits)
				}
			}
		})
	}
}

func firstStart() Options { return Options{Term: 2, UnlimitedLoads: true} }

// withSpares disables the mechanisms that use engines for two models.
func withSpares() Options {
	opts := firstStart()
	opts.Mechanisms = mechanism.Set{mechanism.FullDomains: true, mechanism.SecondWeights: true, mechanism.Moves: true}
	return opts
}

func TestFirstStartUsesAllEnginesAndStagesOtherModel(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	assert.Equal(t, initialGroups, s.openGroups())
	for id, e := range s.engines {
		model, _, _ := ParseGroupName(e.Group.Group)
		other := map[string]string{"big": "small", "small": "big"}[model]
		assert.Equal(t, []string{other}, e.Staged, "%s serves %s", id, model)
	}
	stats := s.planner.Stats()
	assert.EqualValues(t, 1, stats["groups.big.open"])
	assert.EqualValues(t, 3, stats["groups.small.open"])
	assert.EqualValues(t, 0, stats["engines.stranded"])
	assert.EqualValues(t, 0, stats["engines.loading"])
}

func TestSparesKeptStagedWithoutFullDomains(t *testing.T) {
	s := newSimulation(t, withSpares())
	s.run(4 * time.Second)
	assert.Equal(t, initialGroupsWithSpares, s.openGroups())
	spares := map[string]int{}
	for _, e := range s.engines {
		if _, size, _ := ParseGroupName(e.Group.Group); size == standbySize {
			spares[e.Staged[0]]++
		}
	}
	assert.Equal(t, map[string]int{"big": 1, "small": 1}, spares)
	stats := s.planner.Stats()
	assert.EqualValues(t, 1, stats["groups.big.open"])
	assert.EqualValues(t, 2, stats["groups.small.open"])
	assert.EqualValues(t, 2, stats["engines.stranded"])
}

// Guards against small first groups formed of the engines that announced first: the
// announcements arrive spread over one interval.
func TestFirstGroupsWaitForAllEngines(t *testing.T) {
	s := newSimulation(t, firstStart())
	for i := range engineCount {
		s.lastReport[fmt.Sprintf("e%02d", i)] = s.now.Add(time.Duration(i)*interval/engineCount - interval)
	}
	s.run(5 * time.Second)
	assert.Equal(t, initialGroups, s.openGroups())
}

// loseMember removes a member, other than the head, of a model's group.
func (s *simulation) loseMember(model string) {
	head := s.head(model)
	for _, id := range s.members(head.Group.Group) {
		if id != head.ID {
			s.partitioned[id] = true
			delete(s.engines, id)
			return
		}
	}
}

func TestLostMemberReplacedByStagedSpare(t *testing.T) {
	s := newSimulation(t, withSpares())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	s.loseMember("big")
	s.run(6 * time.Second)
	assert.Equal(t, initialGroupsWithSpares, s.openGroups())
}

// Without a spare, a lost member must be replaced by an engine of the other model, which has
// the weights staged, and no load may be ordered before the group is open.
func TestLostMemberReplacedByEngineOfOtherModel(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	s.planner.SetDemand(lowDemand)
	s.loseMember("big")
	before := len(s.orders)
	s.run(6 * time.Second)
	assert.Equal(t, groupsOfNine, s.openGroups())
	for _, o := range s.orders[before:] {
		if o.Kind == Open && o.Group != "" {
			break
		}
		assert.NotEqual(t, Stage, o.Kind, "no load is ordered before the group is open")
	}
}

// Demand that exceeds the capacity of one model's groups moves engines to it, and back when
// the demand shifts. Guards against moves that repeat while the demand is constant.
func TestEnginesFollowDemand(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	s.planner.SetDemand(map[string]float64{"big": 1.6, "small": 0.4})
	s.run(30 * time.Second)
	assert.Equal(t, map[string]int{"big": 2, "small": 1}, s.openGroups())
	s.planner.SetDemand(map[string]float64{"big": 0.3, "small": 2.4})
	s.run(30 * time.Second)
	assert.Equal(t, initialGroups, s.openGroups())
	before := len(s.orders)
	s.run(30 * time.Second)
	for _, o := range s.orders[before:] {
		assert.NotEqual(t, Close, o.Kind, "no group closes while the demand is constant")
	}
}

func TestMembersOfLostHeadQuarantinedForStallTime(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	s.planner.SetDemand(lowDemand)
	head := s.head("big")
	s.partitioned[head.ID] = true
	s.run(14 * time.Second)
	require.Equal(t, groupsOfNine, s.openGroups(), "the remaining members serve again")
	leftAt := map[string]time.Time{}
	rejoined := 0
	for i, o := range s.orders {
		leaveTime, hasLeft := leftAt[o.Upstream]
		switch {
		case o.Kind == Leave && o.Group == head.Group.Group:
			assert.NotEqual(t, head.ID, o.Upstream)
			leftAt[o.Upstream] = s.sentAt[i]
		case o.Kind == Join && hasLeft:
			rejoined++
			assert.GreaterOrEqual(t, s.sentAt[i].Sub(leaveTime), stall, "%s joined another group before the stall time of its old head", o.Upstream)
		}
	}
	assert.Len(t, leftAt, 3)
	assert.Positive(t, rejoined)
}

// Guards against dissolving groups that still serve: when the coordinator is partitioned from
// a failure domain, all members of its groups appear lost.
func TestPartitionedFailureDomainKeepsGroups(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	before := len(s.orders)
	for id := range s.engines {
		s.partitioned[id] = true
	}
	s.run(8 * time.Second)
	for _, o := range s.orders[before:] {
		assert.Equal(t, Probe, o.Kind)
	}
	clear(s.partitioned)
	s.run(3 * time.Second)
	assert.Equal(t, initialGroups, s.openGroups())
}

// Guards against releasing groups whose heads report last, as can happen after a full restart.
func TestNewCoordinatorWaitsForGroupHeads(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	for id, e := range s.engines {
		s.partitioned[id] = e.Group.State == fleet.Open
	}
	s.reported = map[string]fleet.Upstream{}
	s.elect(Options{Term: 5})
	s.run(6 * time.Second)
	clear(s.partitioned)
	s.run(8 * time.Second)
	assert.Equal(t, initialGroups, s.openGroups())
}

// Guards against reusing a serving head because the first announcement that reaches a new
// coordinator was delayed and shows it without a group.
func TestDelayedAnnouncementDoesNotFreeHead(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	s.reported = map[string]fleet.Upstream{}
	s.elect(Options{Term: 5})
	for id, e := range s.engines {
		s.deliverReport(e)
		if e.Group.State == fleet.Open {
			delayed := s.reported[id]
			delayed.Group, delayed.Sequence = fleet.Membership{}, 1
			s.reported[id] = delayed
			s.lastReport[id] = s.now.Add(2 * interval)
		}
	}
	s.run(10 * time.Second)
	assert.Equal(t, initialGroups, s.openGroups())
}

// Guards against taking a refused connection as proof that an engine stopped: during a
// network partition connections may be refused although the engines still serve.
func TestRefusedConnectionsDoNotFreeMembers(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	s.refusesConnections = true
	for id, e := range s.engines {
		s.partitioned[id] = true
		s.planner.RecordSuspicion(s.now, e.ID)
	}
	for range 6 {
		s.run(500 * time.Millisecond)
		for id := range s.engines {
			s.planner.RecordSuspicion(s.now, id)
		}
	}
	clear(s.partitioned)
	s.run(3 * time.Second)
	assert.Equal(t, initialGroups, s.openGroups())
}

func TestNewCoordinatorAdoptsOpenGroups(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	before := len(s.orders)
	s.elect(Options{Term: 5})
	s.run(8 * time.Second)
	for _, o := range s.orders[before:] {
		assert.Equal(t, Probe, o.Kind)
	}
}

// Guards against groups that stay down, or that share members with an open group, after
// partitions, restarts, elections, suspicions and changes of the demand in varying order.
func TestGroupsRecoverFromRandomFailures(t *testing.T) {
	for seed := range 200 {
		s := newSimulation(t, firstStart())
		s.run(4 * time.Second)
		s.planner.StartTraffic()
		for step := range 12 {
			id := fmt.Sprintf("e%02d", (seed*7+step*3)%10)
			switch (seed + step*5) % 6 {
			case 0:
				s.partitioned[id] = !s.partitioned[id]
			case 1:
				s.unresponsive[id] = !s.unresponsive[id]
			case 2:
				s.elect(Options{Term: uint64(3 + step)})
			case 3:
				e := s.engines[id]
				e.StartTime, e.Sequence, e.Group = e.StartTime+1, 0, fleet.Membership{}
			case 4:
				clear(s.partitioned)
			default:
				s.planner.RecordSuspicion(s.now, id)
			}
			if seed%2 == 1 {
				s.planner.SetDemand(map[string]float64{"big": 0.2 + float64(step%4), "small": 0.2 + float64((seed+step)%5)})
			}
			s.run(time.Duration(500+seed*37%2500) * time.Millisecond)
		}
		clear(s.partitioned)
		clear(s.unresponsive)
		s.run(45 * time.Second)
		assert.NotEmpty(t, s.openGroups(), "seed %d", seed)
	}
}

// Guards against dissolving a group because the coordinator alone cannot reach a member: the
// group's answers to entries show that it works.
func TestGroupThatAnswersEntriesIsKept(t *testing.T) {
	s := newSimulation(t, firstStart())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	head := s.head("big")
	for _, id := range s.members(head.Group.Group) {
		if id != head.ID {
			s.partitioned[id] = true
			break
		}
	}
	before := head.Group
	for range 60 {
		s.planner.RecordSuspicion(s.now.Add(-150*time.Millisecond), head.ID)
		s.planner.RecordAnswer(s.now.Add(-100*time.Millisecond), head.ID)
		s.run(tick)
	}
	assert.Equal(t, before, s.engines[head.ID].Group)
	for range 10 {
		s.planner.RecordSuspicion(s.now, head.ID)
		s.run(tick)
	}
	assert.NotEqual(t, before, s.engines[head.ID].Group, "a group that answers no entry is dissolved")
}

// Guards against repeated standby orders when the report arrives later than the order's answer.
func TestSpareReceivesOneStandbyOrder(t *testing.T) {
	s := newSimulation(t, withSpares())
	s.delayedReports = true
	s.run(8 * time.Second)
	standbyOrders := map[string]int{}
	for _, o := range s.orders {
		if _, size, _ := ParseGroupName(o.Group); o.Kind == Join && size == standbySize {
			standbyOrders[o.Upstream]++
		}
	}
	for id, n := range standbyOrders {
		assert.Equal(t, 1, n, id)
	}
	assert.NotEmpty(t, standbyOrders)
}

// Guards against the end of the coordinator by a service of engines that names no models.
func TestServiceWithoutModelsIsLeftAlone(t *testing.T) {
	s, _, _ := suspected(t, "head")
	s.add("idle", "fab")
	s.engines["idle"].Service = "models-follow"
	s.planner.Configure(map[string]*document.Service{
		"pool": {Name: "pool", Engine: s.engineSpec}, "models-follow": {Name: "models-follow", Engine: &document.Engine{}},
	})
	before := len(s.orders)
	s.run(5 * time.Second)
	assert.Empty(t, s.changes(before))
}
