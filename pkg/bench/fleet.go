package bench

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/coordinator"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// frameBytes is the overhead of one packet: gRPC and HTTP/2 frame headers, TCP
	// and IP headers.
	frameBytes = 14 + 52
	// fleetVMs is the size of each group.
	fleetVMs = 4
	// fabricVMs is the number of VMs in one fabric domain.
	fabricVMs = 16
	// spareEvery leaves one VM in spareEvery out of the groups as a spare.
	spareEvery = 16
	// fleetWarmup is the simulated time until all groups are whole.
	fleetWarmup = 12 * time.Second
	// fleetMeasured is the simulated length of the measurement.
	fleetMeasured = 20 * time.Second
	// fleetService is the model that the fleet's engines serve.
	fleetService = "captioner"
)

// fleetConfig requests groups of four VMs and leaves a spare in each fabric domain.
func fleetConfig(upstreams int) *state.Config {
	selector, _ := labels.Parse("pool=captions")
	count := (upstreams - upstreams/spareEvery) / fleetVMs
	return &state.Config{Revision: 1, Groups: []state.Group{{
		Name: "captions", Selector: selector,
		Spec: api.GroupSpec{Service: fleetService, Selector: "pool=captions", VMs: fleetVMs, Count: count},
	}}}
}

// fleetEngine is a fake engine that applies orders immediately.
type fleetEngine struct {
	announcement api.Announcement
	// home is the index of the node that the engine announces to.
	home int
}

func newFleetEngine(i int) *fleetEngine {
	id := fmt.Sprintf("fd-a-engine-%04d", i)
	return &fleetEngine{home: i, announcement: api.Announcement{
		ID: id, Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), FailureDomain: "fd-a",
		FabricDomain: fmt.Sprintf("fd-a-fabric-%03d", i/fabricVMs), Kind: api.UpstreamEngine, Service: fleetService,
		Labels: map[string]string{"pool": "captions", "model": "captioner-4x"}, Accelerators: 4,
		Load: api.Load{Slots: 64}, Incarnation: 1, HonoursFencing: i%2 == 0,
	}}
}

func (e *fleetEngine) apply(order api.Order) {
	a := &e.announcement
	a.Group, a.Generation, a.Fence = order.Group, order.Generation, order.Fence
	a.Rank, a.Size, a.Prepared = order.Rank, len(order.Members), order.Prepare
}

// nextAnnouncement returns the engine's next announcement; its load changes each
// time.
func (e *fleetEngine) nextAnnouncement() api.Announcement {
	e.announcement.Sequence++
	e.announcement.Load.Running = int(e.announcement.Sequence) % e.announcement.Load.Slots
	e.announcement.Load.KVUsed = float64(e.announcement.Load.Running) / float64(e.announcement.Load.Slots)
	return e.announcement
}

// usage is the CPU time and network traffic of one node of a fleet.
type usage struct {
	cpu                      time.Duration
	sent, received           int
	sentBytes, receivedBytes int
}

type fleetNode struct {
	name string
	core *domain.Core
	usage
}

// fleet runs the cores of one failure domain in simulated time.
type fleet struct {
	now     time.Time
	nodes   []*fleetNode
	byName  map[string]*fleetNode
	engines []*fleetEngine
	byID    map[string]*fleetEngine
	packets []domain.SendPacket
	orders  []domain.SendOrder
}

func newFleet(nodes, upstreams int) *fleet {
	f := &fleet{now: time.Unix(1_000_000, 0), byName: map[string]*fleetNode{}, byID: map[string]*fleetEngine{}}
	var allNodes []coordinator.Node
	for i := range nodes {
		allNodes = append(allNodes, coordinator.Node{Node: fmt.Sprintf("fd-a-node-%02d", i), FailureDomain: "fd-a"})
	}
	config := fleetConfig(upstreams)
	for _, p := range allNodes {
		n := &fleetNode{name: p.Node, core: domain.NewCore(f.now, domain.CoreOptions{
			Node: p.Node, Incarnation: 1, FailureDomain: "fd-a", Nodes: allNodes,
		})}
		n.core.Step(f.now, domain.ConfigChanged{Config: config})
		f.nodes = append(f.nodes, n)
		f.byName[n.name] = n
	}
	for i := range upstreams {
		e := newFleetEngine(i)
		f.engines = append(f.engines, e)
		f.byID[e.announcement.ID] = e
	}
	return f
}

// step passes one event to a core and counts the CPU time and the packets sent.
func (f *fleet) step(n *fleetNode, event domain.Event) {
	start := time.Now()
	actions := n.core.Step(f.now, event)
	n.cpu += time.Since(start)
	for _, action := range actions {
		switch a := action.(type) {
		case domain.SendPacket:
			f.packets = append(f.packets, a)
			n.sent++
			n.sentBytes += packetBytes(a.Packet)
		case domain.SendOrder:
			f.orders = append(f.orders, a)
		}
	}
}

func packetBytes(p *peerpb.DomainPacket) int { return proto.Size(p) + frameBytes }

// run advances the simulation by d.
func (f *fleet) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(domain.TickInterval)
		f.deliver()
		f.announce()
		for i, n := range f.nodes {
			f.step(n, domain.Tick{})
			f.view(n, i)
		}
	}
}

func (f *fleet) deliver() {
	packets, orders := f.packets, f.orders
	f.packets, f.orders = nil, nil
	for _, p := range packets {
		if n := f.byName[p.To]; n != nil {
			n.received++
			n.receivedBytes += packetBytes(p.Packet)
			f.step(n, domain.PacketReceived{Packet: p.Packet})
		}
	}
	for _, o := range orders {
		f.byID[o.To].apply(o.Order)
	}
}

// announce delivers announcements, two per second from each engine to one node.
// Engines announce in different ticks.
func (f *fleet) announce() {
	phases := int(api.AnnounceInterval / domain.TickInterval)
	phase := int(f.now.UnixMilli()/domain.TickInterval.Milliseconds()) % phases
	for i, e := range f.engines {
		if i%phases == phase {
			f.step(f.nodes[e.home%len(f.nodes)], domain.AnnouncementReceived{Announcement: e.nextAnnouncement()})
		}
	}
}

// view builds a view every other tick, as often as a node publishes one.
func (f *fleet) view(n *fleetNode, i int) {
	if (f.now.UnixMilli()/domain.TickInterval.Milliseconds()+int64(i))%2 != 0 {
		return
	}
	start := time.Now()
	n.core.View(f.now)
	n.cpu += time.Since(start)
}

func (f *fleet) whole() int {
	whole := 0
	for _, g := range f.nodes[0].core.View(f.now).Groups {
		if g.Whole {
			whole++
		}
	}
	return whole
}

// measure runs a fleet and returns the usage per second of its coordinator, and
// the mean usage per second of its other nodes.
func (f *fleet) measure() (coordinatorUsage, others usage) {
	f.run(fleetWarmup)
	for _, n := range f.nodes {
		n.usage = usage{}
	}
	f.run(fleetMeasured)
	count := 0
	for _, n := range f.nodes {
		if _, ok := n.core.Coordinator(f.now); ok {
			coordinatorUsage = n.usage
			continue
		}
		others.add(n.usage)
		count++
	}
	return coordinatorUsage.per(fleetMeasured.Seconds()), others.per(fleetMeasured.Seconds() * float64(max(count, 1)))
}

func (u *usage) add(v usage) {
	u.cpu += v.cpu
	u.sent += v.sent
	u.received += v.received
	u.sentBytes += v.sentBytes
	u.receivedBytes += v.receivedBytes
}

func (u usage) per(seconds float64) usage {
	return usage{
		cpu: time.Duration(float64(u.cpu) / seconds), sent: int(float64(u.sent) / seconds), received: int(float64(u.received) / seconds),
		sentBytes: int(float64(u.sentBytes) / seconds), receivedBytes: int(float64(u.receivedBytes) / seconds),
	}
}

// keptHeap returns the result of build and the heap bytes that it retains.
func keptHeap[T any](build func() T) (result T, bytes float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result = build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return result, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
