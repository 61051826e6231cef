package domain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/internal/faultinject"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/coordinator"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/placement"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	simStep = TickInterval
	// maxPacketDelay is the longest delay of a packet. A restarted entry cannot
	// determine the delay of a peer's first packet.
	maxPacketDelay = 900 * time.Millisecond
	// detectionSlack is added to the lease for the delay of an announcement and the
	// granularity of steps.
	detectionSlack = maxPacketDelay + 300*time.Millisecond
)

// chooser returns a generated number in [0, n).
type chooser func(n int) int

// simulation simulates the entries and engines of failure domain fd-a in memory.
// The entries run the production Core; the test controls time and message
// delivery.
type simulation struct {
	now      time.Time
	start    time.Time
	pick     chooser
	injected faultinject.Faults
	nodes    []coordinator.Node
	entries  map[string]*simEntry
	engines  map[string]*simEngine
	// config is the configuration that a starting entry finds; nil if it finds none.
	config  *state.Config
	blocked map[[2]string]bool
	packets []simPacket
	orders  []simOrder
	// holdOrders keeps orders to the named engines in flight.
	holdOrders map[string]bool
	// orderDelays holds the delays of the next orders to each engine.
	orderDelays map[string][]time.Duration
	lossy       bool
	events      []string
	muted       bool
	violation   string
	wholeGroups map[string]string
}

type simEntry struct {
	core        *Core
	incarnation uint64
	up, paused  bool
	view        *View
}

type simEngine struct {
	announcement   api.Announcement
	entryIndex     int
	announceOffset time.Duration
	up, paused     bool
	order          api.Order
	readyAt        time.Time
	loadTime       time.Duration
	// lastHeld maps each group and generation to the time when the engine last held
	// and served it.
	lastHeld map[string]time.Time
}

type simPacket struct {
	deliverAt time.Time
	from      string
	to        string
	packet    *peerpb.DomainPacket
}

type simOrder struct {
	deliverAt time.Time
	to        string
	order     api.Order
}

func newSimulation(entries int) *simulation {
	s := &simulation{
		start: time.Unix(1_000_000, 0).UTC(), entries: map[string]*simEntry{}, engines: map[string]*simEngine{},
		config: &state.Config{}, blocked: map[[2]string]bool{}, holdOrders: map[string]bool{}, orderDelays: map[string][]time.Duration{}, wholeGroups: map[string]string{},
		pick: func(int) int { return 0 },
	}
	s.now = s.start
	for i := range entries {
		s.nodes = append(s.nodes, coordinator.Node{Node: fmt.Sprintf("a%d", i+1), FailureDomain: "fd-a"})
	}
	return s
}

func (s *simulation) startEntry(name string) {
	e := s.entries[name]
	if e == nil {
		e = &simEntry{}
		s.entries[name] = e
	}
	// Packets to the previous process are lost with its connections.
	s.packets = slices.DeleteFunc(s.packets, func(p simPacket) bool { return p.to == name })
	e.incarnation++
	e.up, e.paused, e.view = true, false, &View{}
	e.core = NewCore(s.now, CoreOptions{
		Node: name, Incarnation: e.incarnation, FailureDomain: "fd-a", Nodes: s.nodes, InjectedFaults: s.injected,
	})
	if s.config != nil {
		s.execute(name, e.core.Step(s.now, ConfigChanged{s.config}))
	}
	for _, node := range s.nodes {
		if peer := s.entries[node.Node]; peer != nil && peer.up && node.Node != name {
			s.execute(node.Node, peer.core.Step(s.now, PeerConnected{Peer: name}))
			s.execute(name, e.core.Step(s.now, PeerConnected{Peer: node.Node}))
		}
	}
}

func (s *simulation) addEngine(id, fabric string, honoursFencing bool, labels map[string]string) {
	s.engines[id] = &simEngine{
		up: true, entryIndex: len(s.engines), announceOffset: time.Duration(len(s.engines)%10) * simStep, lastHeld: map[string]time.Time{},
		announcement: api.Announcement{
			ID: id, Address: id, FailureDomain: "fd-a", FabricDomain: fabric, Kind: api.UpstreamEngine, Service: "captioner",
			Labels: labels, Accelerators: 4, Incarnation: 1, HonoursFencing: honoursFencing,
		},
	}
}

func (s *simulation) configure(config *state.Config) {
	s.config = config
	for _, name := range s.entryNames() {
		e := s.entries[name]
		if e.up {
			s.execute(name, e.core.Step(s.now, ConfigChanged{config}))
		}
	}
}

func (s *simulation) entryNames() []string  { return slices.Sorted(maps.Keys(s.entries)) }
func (s *simulation) engineNames() []string { return slices.Sorted(maps.Keys(s.engines)) }

func (s *simulation) recordEvent(format string, args ...any) {
	if !s.muted {
		s.events = append(s.events, fmt.Sprintf("%7dms ", s.now.Sub(s.start).Milliseconds())+fmt.Sprintf(format, args...))
	}
}

func (s *simulation) recordViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("%7dms FAULT ", s.now.Sub(s.start).Milliseconds()) + fmt.Sprintf(format, args...)
	}
}

func (s *simulation) execute(from string, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SendPacket:
			s.sendPacket(from, a)
		case SendOrder:
			s.sendOrder(from, a)
		case CoordinatorChanged:
			s.handleCoordinatorChange(from, a)
		case GroupChanged:
			s.recordEvent("%s %s %s %v", from, a.Change, s.trimDomain(a.Group), a.Members)
		}
	}
}

func (s *simulation) trimDomain(group string) string { return strings.TrimPrefix(group, "fd-a/") }

func (s *simulation) handleCoordinatorChange(from string, a CoordinatorChanged) {
	if a.Fence == 0 {
		s.recordEvent("%s is no longer coordinator: %s", from, a.Reason)
		return
	}
	s.recordEvent("%s is coordinator, fence %d", from, a.Fence)
	if held := s.heldFence(); a.Fence <= held {
		s.recordViolation("fencing number of %s is %d, an engine holds an order of %d", from, a.Fence, held)
	}
}

// heldFence returns the highest fencing number that engines announce.
func (s *simulation) heldFence() uint64 {
	var held uint64
	for _, e := range s.engines {
		if e.up && !e.paused {
			held = max(held, placement.FenceOf(e.announcement.Fence))
		}
	}
	return held
}

func (s *simulation) packetDelay() (time.Duration, bool) {
	if !s.lossy {
		return simStep, true
	}
	delays := []time.Duration{0, simStep, simStep, simStep, simStep, simStep, 2 * simStep, 6 * simStep, maxPacketDelay}
	d := delays[s.pick(len(delays))]
	return d, d != 0
}

// orderDelay returns the delay of an order, at most OrderTimeout, after which the sender
// gives up, and whether the order arrives.
func (s *simulation) orderDelay(to string) (time.Duration, bool) {
	if scripted := s.orderDelays[to]; len(scripted) > 0 {
		s.orderDelays[to] = scripted[1:]
		return scripted[0], true
	}
	if !s.lossy {
		return simStep, true
	}
	delays := []time.Duration{0, simStep, simStep, 2 * simStep, 10 * simStep, placement.OrderTimeout}
	d := delays[s.pick(len(delays))]
	return d, d != 0
}

func (s *simulation) sendPacket(from string, a SendPacket) {
	delay, ok := s.packetDelay()
	if !ok || s.blocked[[2]string{from, a.To}] {
		return
	}
	s.packets = append(s.packets, simPacket{deliverAt: s.now.Add(delay), from: from, to: a.To, packet: a.Packet})
}

func (s *simulation) sendOrder(from string, a SendOrder) {
	s.recordEvent("%s orders %s: group %q generation %d prepare=%v", from, a.To, s.trimDomain(a.Order.Group), a.Order.Generation, a.Order.Prepare)
	delay, ok := s.orderDelay(a.To)
	if !ok || s.blocked[[2]string{from, a.To}] {
		return
	}
	s.orders = append(s.orders, simOrder{deliverAt: s.now.Add(delay), to: a.To, order: a.Order})
}

func (s *simulation) advance(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until); {
		s.now = s.now.Add(simStep)
		s.deliverPackets()
		s.deliverOrders()
		s.announce()
		for _, name := range s.entryNames() {
			s.tick(name)
		}
		s.checkInvariants()
	}
}

func (s *simulation) deliverPackets() {
	inFlight := s.packets
	s.packets = nil
	for _, queued := range inFlight {
		e := s.entries[queued.to]
		switch {
		case e == nil || !e.up || s.blocked[[2]string{queued.from, queued.to}]:
		case queued.deliverAt.After(s.now) || e.paused:
			s.packets = append(s.packets, queued)
		default:
			s.execute(queued.to, e.core.Step(s.now, PacketReceived{queued.packet}))
		}
	}
}

func (s *simulation) deliverOrders() {
	inFlight := s.orders
	s.orders = nil
	for _, queued := range inFlight {
		e := s.engines[queued.to]
		switch {
		case !e.up:
		case queued.deliverAt.After(s.now) || e.paused || s.holdOrders[queued.to]:
			s.orders = append(s.orders, queued)
		default:
			s.handleOrder(e, queued.order)
		}
	}
}

// handleOrder makes an engine refuse or take an order. It checks that the generation of
// the engine's order never decreases.
func (s *simulation) handleOrder(e *simEngine, order api.Order) {
	if e.announcement.HonoursFencing && order.Fence < e.order.Fence {
		s.recordEvent("%s refuses generation %d", e.announcement.ID, order.Generation)
		return
	}
	if order.Generation < e.order.Generation {
		s.recordViolation("order of %s decreases from generation %d to %d", e.announcement.ID, e.order.Generation, order.Generation)
	}
	if order.Generation != e.order.Generation {
		e.readyAt = s.now.Add(e.loadTime)
	}
	e.order = order
}

func (s *simulation) announce() {
	for _, id := range s.engineNames() {
		e := s.engines[id]
		if !e.up || e.paused {
			continue
		}
		e.announcement.Fence = e.order.Fence
		if !s.now.Before(e.readyAt) {
			a := &e.announcement
			a.Group, a.Generation, a.Rank, a.Size = e.order.Group, e.order.Generation, e.order.Rank, len(e.order.Members)
			a.Prepared = e.order.Prepare
		}
		if e.order.Group != "" && !s.now.Before(e.readyAt) {
			e.lastHeld[heldKey(e.order.Group, e.order.Generation)] = s.now
		}
		if (s.now.Sub(s.start)-e.announceOffset)%api.AnnounceInterval == 0 {
			s.announceOne(id, e)
		}
	}
}

// announceOne sends an announcement to the engine's entry, or to the next one that
// is reachable.
func (s *simulation) announceOne(id string, e *simEngine) {
	e.announcement.Sequence++
	names := s.entryNames()
	for range names {
		name := names[e.entryIndex%len(names)]
		entry := s.entries[name]
		if entry.up && !entry.paused && !s.blocked[[2]string{id, name}] {
			s.execute(name, entry.core.Step(s.now, AnnouncementReceived{e.announcement}))
			return
		}
		e.entryIndex++
	}
}

func heldKey(group string, generation uint64) string { return fmt.Sprintf("%s#%d", group, generation) }

func (s *simulation) tick(name string) {
	e := s.entries[name]
	if !e.up || e.paused {
		return
	}
	s.execute(name, e.core.Step(s.now, Tick{}))
	e.view = e.core.View(s.now)
	s.recordWholeGroups(name, e.view)
}

// recordWholeGroups records changes of the whole groups in the view of the first
// running entry.
func (s *simulation) recordWholeGroups(name string, view *View) {
	first, _ := lo.Find(s.entryNames(), func(n string) bool { return s.entries[n].up && !s.entries[n].paused })
	if name != first {
		return
	}
	whole := map[string]string{}
	for _, g := range view.Groups {
		if g.Whole {
			members := lo.Map(g.Members, func(m Member, _ int) string { return m.ID })
			whole[g.Name] = fmt.Sprintf("%v leaving=%v", members, g.Leaving)
		}
	}
	for _, group := range slices.Sorted(maps.Keys(s.wholeGroups)) {
		if _, ok := whole[group]; !ok {
			s.recordEvent("%s sees %s broken", name, s.trimDomain(group))
		}
	}
	for _, group := range slices.Sorted(maps.Keys(whole)) {
		if s.wholeGroups[group] != whole[group] {
			s.recordEvent("%s sees %s whole %s", name, s.trimDomain(group), whole[group])
		}
	}
	s.wholeGroups = whole
}

// checkInvariants checks the invariants of the failure domain after each step.
func (s *simulation) checkInvariants() {
	var coordinators []string
	groupOf := map[string]string{}
	for _, name := range s.entryNames() {
		e := s.entries[name]
		if !e.up {
			continue
		}
		if _, ok := e.core.Coordinator(s.now); ok {
			coordinators = append(coordinators, name)
		}
		if !e.paused {
			s.checkView(name, e.view, groupOf)
		}
	}
	if len(coordinators) > 1 {
		s.recordViolation("%v are coordinators at the same time", coordinators)
	}
}

// checkView checks that each whole group in an entry's view was held by all its
// members within the detection time, and that no VM is in two whole groups across
// the views of all entries.
func (s *simulation) checkView(name string, view *View, groupOf map[string]string) {
	for _, g := range view.Groups {
		if !g.Whole {
			continue
		}
		for _, m := range g.Members {
			if other := groupOf[m.ID]; other != "" && other != g.Name {
				s.recordViolation("%s is in %s and in %s (%s)", m.ID, other, g.Name, name)
			}
			groupOf[m.ID] = g.Name
			lastHeld := s.engines[m.ID].lastHeld[heldKey(g.Name, g.Generation)]
			if s.now.Sub(lastHeld) > membership.LeaseDuration+detectionSlack {
				s.recordViolation("%s sees %s whole, %s has not held it since %v", name, g.Name, m.ID, lastHeld.Sub(s.start))
			}
		}
	}
}

func (s *simulation) drainEvents() string {
	if s.violation != "" {
		s.events = append(s.events, s.violation)
	}
	defer func() { s.events = nil }()
	if len(s.events) == 0 {
		return "nothing\n"
	}
	return strings.Join(s.events, "\n") + "\n"
}

// restartEngine restarts an engine, which then holds no order.
func (s *simulation) restartEngine(id string) {
	e := s.engines[id]
	e.up, e.paused, e.order, e.readyAt = true, false, api.Order{}, time.Time{}
	e.announcement.Incarnation++
	e.announcement.Sequence = 0
	e.announcement.Group, e.announcement.Generation, e.announcement.Fence = "", 0, 0
	e.announcement.Prepared = false
}

// reportRefusal reports to an entry that a connection to an engine was refused.
func (s *simulation) reportRefusal(entry, id string) {
	e := s.entries[entry]
	evidence := membership.Evidence{Upstream: id, Kind: membership.Refused}
	s.execute(entry, e.core.Step(s.now, EvidenceReported{evidence}))
}
