package grouping

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

const (
	stall    = 4 * time.Second
	interval = time.Second
	tick     = 100 * time.Millisecond
	// engineCount is enough for one group of four and three groups of two.
	engineCount = 10
)

// simulation is a set of engines that execute orders immediately and report every interval.
type simulation struct {
	t       *testing.T
	now     time.Time
	planner *Planner
	engines map[string]*fleet.Upstream
	// reported holds the last report of each engine that reached the coordinator.
	reported map[string]fleet.Upstream
	// partitioned engines neither report nor answer; unresponsive ones report but do not
	// answer orders.
	partitioned  map[string]bool
	unresponsive map[string]bool
	// refusesConnections makes orders to unreachable engines fail with a refused connection.
	refusesConnections bool
	// lastReport is the time of each engine's last report.
	lastReport map[string]time.Time
	// incompleteSince is the time since which an open head has lacked a member.
	incompleteSince map[string]time.Time
	// busy heads finish requests: they are closing, not ready, after an order to close that waits.
	busy map[string]bool
	// delayedReports makes engines report an executed order only in their next announcement.
	delayedReports bool
	// everReady holds the members that have been ready, by group.
	everReady map[string]map[string]bool
	orders    []Order
	// sentAt is the send time of each of the orders.
	sentAt []time.Time
	// startedOrders counts the orders that each incarnation has started.
	startedOrders map[incarnation]uint64
	// loadedModel is the model of each incarnation's last group.
	loadedModel map[incarnation]string
	engineSpec  *document.Engine
	// announceInterval is the time between two reports of an engine.
	announceInterval time.Duration
	// delay returns how much later than it was sent an order is carried out, without an answer; 0 for
	// an ordinary one. It may be nil.
	delay func(o Order) time.Duration
	late  []lateOrder
	// highestEpoch is the highest epoch that each incarnation has seen.
	highestEpoch map[incarnation]uint64
	// onViolation is called when a rule is broken; nil fails the test.
	onViolation func(text string)
}

// lateOrder is an order without an answer that is carried out later.
type lateOrder struct {
	order Order
	at    time.Time
}

func newSimulation(t *testing.T, opts Options) *simulation {
	s := newEmptySimulation(t)
	for i := range engineCount {
		s.add(fmt.Sprintf("e%02d", i), "fab")
	}
	s.elect(opts)
	return s
}

func newEmptySimulation(t *testing.T) *simulation {
	return &simulation{
		t: t, now: time.Unix(1000, 0), engines: map[string]*fleet.Upstream{}, reported: map[string]fleet.Upstream{},
		partitioned: map[string]bool{}, unresponsive: map[string]bool{}, lastReport: map[string]time.Time{},
		incompleteSince: map[string]time.Time{}, everReady: map[string]map[string]bool{}, busy: map[string]bool{}, startedOrders: map[incarnation]uint64{},
		loadedModel: map[incarnation]string{}, announceInterval: interval, highestEpoch: map[incarnation]uint64{},
		engineSpec: &document.Engine{
			Slots: 17, LoadsPerSecond: 5, LoadsAtOnce: 7, StagedModels: 1,
			Models: []document.Model{
				{Name: "big", GroupSize: 4, Share: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: time.Second},
				{Name: "small", GroupSize: 2, Share: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: time.Second},
			},
		},
	}
}

func (s *simulation) add(id, fabricDomain string) {
	s.engines[id] = &fleet.Upstream{
		ID: id, StartTime: 1, Service: "pool", Address: id + ":1", FailureDomain: "fd", FabricDomain: fabricDomain, Slots: 17,
	}
}

// elect replaces the planner, as the election of a new coordinator does.
func (s *simulation) elect(opts Options) {
	opts.StallTimeout, opts.AnnounceInterval = stall, s.announceInterval
	s.planner = New(s.now, opts)
	s.planner.Configure(map[string]*document.Service{"pool": {Name: "pool", Engine: s.engineSpec}})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		s.breakHeads()
		s.carryOutLate()
		s.report()
		s.execute(s.planner.Plan(s.now))
	}
}

// breakHeads marks as broken the open heads that have lacked a member for the stall time.
func (s *simulation) breakHeads() {
	for id, e := range s.engines {
		_, size, ok := ParseGroupName(e.Group.Group)
		if !ok || e.Group.State != fleet.Open || len(s.members(e.Group.Group)) == size {
			delete(s.incompleteSince, id)
			continue
		}
		if since, known := s.incompleteSince[id]; !known {
			s.incompleteSince[id] = s.now
		} else if s.now.Sub(since) >= stall {
			e.Group.State = fleet.Broken
		}
	}
}

func (s *simulation) report() {
	for id, e := range s.engines {
		if !s.partitioned[id] && s.now.Sub(s.lastReport[id]) >= s.announceInterval {
			s.deliverReport(e)
		}
	}
	var upstreams []fleet.Upstream
	for _, u := range s.reported {
		u.Silent = s.now.Sub(u.AnnouncedAt) > 3*s.announceInterval
		upstreams = append(upstreams, u)
	}
	s.planner.Observe(upstreams)
}

func (s *simulation) deliverReport(e *fleet.Upstream) {
	e.Sequence++
	s.lastReport[e.ID] = s.now
	u := *e
	u.AnnouncedAt = s.now
	s.reported[e.ID] = u
}

// carryOutLate carries out the late orders that are due.
func (s *simulation) carryOutLate() {
	s.late = slices.DeleteFunc(s.late, func(l lateOrder) bool {
		if l.at.After(s.now) {
			return false
		}
		if e := s.engines[l.order.Upstream]; e.StartTime == l.order.StartTime && s.apply(e, l.order) == Accepted {
			s.startedOrders[incarnation{e.ID, e.StartTime}]++
		}
		return true
	})
}

func (s *simulation) execute(orders []Order) {
	for _, o := range orders {
		s.orders, s.sentAt = append(s.orders, o), append(s.sentAt, s.now)
		e := s.engines[o.Upstream]
		if e == nil || s.partitioned[o.Upstream] || s.unresponsive[o.Upstream] {
			outcome := Unanswered
			if s.refusesConnections {
				outcome = ConnectionRefused
			}
			s.planner.RecordResult(s.now, Result{Order: o, Outcome: outcome})
			continue
		}
		if s.delay != nil {
			if by := s.delay(o); by > 0 {
				s.late = append(s.late, lateOrder{o, s.now.Add(by)})
				s.planner.RecordResult(s.now, Result{Order: o, Outcome: Unanswered})
				continue
			}
		}
		outcome := s.apply(e, o)
		if outcome == Accepted && o.Kind != Probe {
			s.startedOrders[incarnation{e.ID, e.StartTime}]++
		}
		s.planner.RecordResult(s.now, Result{o, outcome, Report{e.Group, s.startedOrders[incarnation{e.ID, e.StartTime}]}})
		if !s.delayedReports {
			s.deliverReport(e)
		}
	}
}

func (s *simulation) apply(e *fleet.Upstream, o Order) Outcome {
	if o.HasExpected && o.Expected != s.startedOrders[incarnation{e.ID, e.StartTime}] {
		return Rejected
	}
	switch o.Kind {
	case Join:
		if o.Epoch < s.highestEpoch[incarnation{e.ID, e.StartTime}] {
			return Rejected
		}
		s.checkJoin(e, o)
		s.highestEpoch[incarnation{e.ID, e.StartTime}] = o.Epoch
		rank := 0
		for i, id := range o.Members {
			if id == e.ID {
				rank = i
			}
		}
		e.Group = fleet.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: fleet.Ready}
		if current := (incarnation{e.ID, e.StartTime}); s.loadedModel[current] != o.Model {
			require.True(s.t, s.planner.opts.UnlimitedLoads || e.HasStaged(o.Model) || s.delay != nil, "%s joins %s without its weights", e.ID, o.Group)
			s.loadedModel[current] = o.Model
			e.Staged = []string{o.Model}
		}
		if s.everReady[o.Group] == nil {
			s.everReady[o.Group] = map[string]bool{}
		}
		s.everReady[o.Group][e.ID] = true
	case Open:
		if e.Group.Group != o.Group || e.Group.State != fleet.Ready {
			return Rejected
		}
		s.checkWhole(o)
		e.Group.State = fleet.Open
	case Close:
		s.closeHead(e, o)
	case Leave:
		if e.Group.Group == o.Group {
			e.Group = fleet.Membership{}
		}
	case Stage:
		e.Staged = []string{o.Model}
	case Probe:
	}
	return Accepted
}

func (s *simulation) closeHead(e *fleet.Upstream, o Order) {
	if e.Group.Group != o.Group || e.Group.State != fleet.Open {
		return
	}
	e.Group.State = fleet.Ready
	if s.busy[e.ID] && !o.Cancel {
		e.Group.State = fleet.Closing
	}
}

// checkJoin asserts that no engine joins a group while the head of its previous group is open.
// A head that has lacked a member for the stall time is broken and no longer open.
func (s *simulation) checkJoin(e *fleet.Upstream, o Order) {
	if e.Group.Group == "" || e.Group.Group == o.Group {
		return
	}
	for _, head := range s.engines {
		isOpen := head.Group.Group == e.Group.Group && head.Group.Rank == 0 && head.Group.State == fleet.Open
		if !isOpen {
			continue
		}
		text := fmt.Sprintf("%s joined %s while %s of %s was open", e.ID, o.Group, e.Group.Group, head.ID)
		require.NotNil(s.t, s.onViolation, text)
		s.onViolation(text)
	}
}

// checkWhole asserts that a group opens only after each of its members has been ready in it;
// a member may have been lost since.
func (s *simulation) checkWhole(o Order) {
	_, size, ok := ParseGroupName(o.Group)
	require.True(s.t, ok)
	require.Len(s.t, s.everReady[o.Group], size, "members of %s", o.Group)
}

func (s *simulation) openGroups() map[string]int {
	open := map[string]int{}
	for id, e := range s.engines {
		if e.Group.State == fleet.Open && !s.partitioned[id] {
			model, _, _ := ParseGroupName(e.Group.Group)
			open[model]++
		}
	}
	return open
}

var (
	// initialGroups are the groups of the first start.
	initialGroups = map[string]int{"big": 1, "small": 3}
	// groupsOfNine are the groups that nine engines form, with one spare.
	groupsOfNine = map[string]int{"big": 1, "small": 2}
	// initialGroupsWithSpares are the groups of the first start when a fifth of the engines
	// is kept as spares.
	initialGroupsWithSpares = map[string]int{"big": 1, "small": 2}
	// lowDemand keeps one group of each model busy for half of the time.
	lowDemand = map[string]float64{"big": 0.5, "small": 0.5}
)

func (s *simulation) head(model string) *fleet.Upstream {
	for _, id := range []string{"e00", "e01", "e02", "e03", "e04", "e05", "e06", "e07", "e08", "e09"} {
		e := s.engines[id]
		if name, _, _ := ParseGroupName(e.Group.Group); name == model && e.Group.State == fleet.Open {
			return e
		}
	}
	s.t.Fatalf("no open group of %s", model)
	return nil
}

func (s *simulation) members(group string) []string {
	var ids []string
	for id, e := range s.engines {
		if e.Group.Group == group {
			ids = append(ids, id)
		}
	}
	return ids
}
