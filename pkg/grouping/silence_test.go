package grouping

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fleet"
)

// stallNoticed is the silence after which entries suspect a group.
const stallNoticed = 400 * time.Millisecond

// suspected is a simulation with traffic whose group of the big model has one engine under test:
// its head, or its last member.
func suspected(t *testing.T, role string) (s *simulation, head, engine *fleet.Upstream) {
	s = newSimulation(t, firstStart())
	s.run(4 * time.Second)
	s.planner.StartTraffic()
	s.planner.SetDemand(lowDemand)
	head = s.head("big")
	engine = head
	if role == "member" {
		for _, id := range s.members(head.Group.Group) {
			if s.engines[id].Group.Rank == len(s.members(head.Group.Group))-1 {
				engine = s.engines[id]
			}
		}
		require.NotEqual(t, head, engine)
	}
	// With its announcement just before, only probes can show its silence in time.
	s.deliverReport(engine)
	return s, head, engine
}

// silence makes an engine stand still for a time, in which entries suspect its group.
func (s *simulation) silence(head, engine *fleet.Upstream, pause time.Duration) {
	s.partitioned[engine.ID] = true
	for silent := time.Duration(0); silent < pause; silent += tick {
		if silent >= stallNoticed {
			s.planner.RecordSuspicion(s.now, head.ID)
		}
		s.run(tick)
	}
	delete(s.partitioned, engine.ID)
}

// changes returns the orders after the first n that change groups, as "kind engine group".
func (s *simulation) changes(n int) []string {
	var changes []string
	for _, o := range s.orders[n:] {
		if o.Kind != Probe && o.Kind != Stage {
			changes = append(changes, fmt.Sprintf("%s %s %s", o.Kind, o.Upstream, o.Group))
		}
	}
	return changes
}

// Guards against dissolving a group, with all its requests, because a sound engine of it was
// silent for a second or so.
func TestGroupOutlastsPauseOfItsEngine(t *testing.T) {
	for _, role := range []string{"head", "member"} {
		for pause := 600 * time.Millisecond; pause <= 1600*time.Millisecond; pause += 200 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%v", role, pause), func(t *testing.T) {
				s, head, engine := suspected(t, role)
				before := len(s.orders)
				s.silence(head, engine, pause)
				s.run(5 * time.Second)
				assert.Empty(t, s.changes(before))
			})
		}
	}
}

// Guards against adding the pauses of a sound engine up: its answers between them show that it
// is alive.
func TestPausesOfEngineAreNotAddedUp(t *testing.T) {
	for _, between := range []time.Duration{300 * time.Millisecond, time.Second, 20 * time.Second} {
		for _, role := range []string{"head", "member"} {
			t.Run(fmt.Sprintf("%s/%v", role, between), func(t *testing.T) {
				s, head, engine := suspected(t, role)
				before := len(s.orders)
				for range 4 {
					s.silence(head, engine, 1200*time.Millisecond)
					// One suspicion, as an entry reports a stall for a while after its end.
					s.planner.RecordSuspicion(s.now, head.ID)
					s.run(between)
				}
				s.run(5 * time.Second)
				assert.Empty(t, s.changes(before))
			})
		}
	}
}

// Guards against unanswered probes that count although the group answered entries between them.
func TestAnswerOfGroupEndsSilenceOfItsEngines(t *testing.T) {
	s, head, engine := suspected(t, "member")
	before := len(s.orders)
	s.unresponsive[engine.ID] = true
	for range 4 {
		for range 8 {
			s.planner.RecordSuspicion(s.now, head.ID)
			s.run(tick)
		}
		s.planner.RecordAnswer(s.now, head.ID)
		s.run(tick)
	}
	delete(s.unresponsive, engine.ID)
	s.run(5 * time.Second)
	assert.Empty(t, s.changes(before))
}

// Guards against taking two unanswered probes for one silence with nothing known between them.
func TestUnansweredProbesFarApartAreNotOneSilence(t *testing.T) {
	s := newSimulation(t, withSpares())
	s.run(4 * time.Second)
	var engine *fleet.Upstream
	for _, e := range s.engines {
		if _, size, _ := ParseGroupName(e.Group.Group); size == standbySize {
			engine = e
		}
	}
	missed := Result{Order: Order{Kind: Probe, Upstream: engine.ID, StartTime: engine.StartTime}, Outcome: Unanswered}
	s.planner.RecordResult(s.now, missed)
	s.run(5 * time.Second)
	s.planner.RecordResult(s.now, missed)
	assert.True(t, s.planner.reachable(incarnation{engine.ID, engine.StartTime}))
}

// Guards against keeping a group for long whose engine stays silent, also where entries report
// the stall only once.
func TestEngineThatStaysSilentIsReplaced(t *testing.T) {
	for _, role := range []string{"head", "member"} {
		for _, reports := range []int{1, 50} {
			t.Run(fmt.Sprintf("%s/%d reports", role, reports), func(t *testing.T) {
				s, head, engine := suspected(t, role)
				s.partitioned[engine.ID] = true
				s.run(stallNoticed)
				silentSince, before := s.now.Add(-stallNoticed), len(s.orders)
				for i := 0; len(s.changes(before)) == 0 && i < 50; i++ {
					if i < reports {
						s.planner.RecordSuspicion(s.now, head.ID)
					}
					s.run(tick)
				}
				require.NotEmpty(t, s.changes(before))
				assert.LessOrEqual(t, s.now.Sub(silentSince), 2800*time.Millisecond)
			})
		}
	}
}

// Guards against slowing down the replacement of engines that have certainly ended.
func TestEngineThatEndedIsReplacedAtOnce(t *testing.T) {
	for _, role := range []string{"head", "member"} {
		t.Run(role+" refuses connections", func(t *testing.T) {
			s, head, engine := suspected(t, role)
			s.refusesConnections = true
			s.partitioned[engine.ID] = true
			s.run(stallNoticed)
			before := len(s.orders)
			s.planner.RecordSuspicion(s.now, head.ID)
			s.run(2 * tick)
			assert.NotEmpty(t, s.changes(before))
		})
		t.Run(role+" restarted", func(t *testing.T) {
			s, _, engine := suspected(t, role)
			before := len(s.orders)
			engine.StartTime, engine.Sequence, engine.Group = engine.StartTime+1, 0, fleet.Membership{}
			s.deliverReport(engine)
			s.run(2 * tick)
			assert.NotEmpty(t, s.changes(before))
		})
	}
}

// Guards against taking a sound engine's pause for its end where engines announce themselves so
// often that it misses several announcements.
func TestFrequentAnnouncementsDoNotShortenPause(t *testing.T) {
	for _, role := range []string{"head", "member"} {
		for _, every := range []time.Duration{tick, 300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%s/%v", role, every), func(t *testing.T) {
				s, _, engine := suspected(t, role)
				s.announceInterval = every
				s.elect(Options{Term: 5})
				s.run(5 * time.Second)
				before := len(s.orders)
				s.partitioned[engine.ID] = true
				s.run(1600 * time.Millisecond)
				delete(s.partitioned, engine.ID)
				s.run(5 * time.Second)
				assert.Empty(t, s.changes(before))
				before = len(s.orders)
				s.partitioned[engine.ID] = true
				s.run(max(2*time.Second, 2*every) + 2*every + 2*tick)
				assert.NotEmpty(t, s.changes(before), "it stays silent")
			})
		}
	}
}
