// Package placement decides which VMs form which groups. It does no I/O: the time, the
// coordinator's lease and a snapshot of the upstreams go in, orders come out.
//
// Invariants:
//   - A VM is a member of at most one group in the plan, and it has one standing order.
//   - A VM is free only if it has announced no group for a whole membership lease, with
//     a generation not below that of the last order to it: by then no entry holds an
//     echo of its former group.
//   - Orders take effect on a VM in order of generation: an engine that honours fencing
//     rejects lower numbers; for other engines the planner waits until the previous
//     order is answered or can no longer be delivered.
package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/internal/faultinject"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// OrderTimeout limits how long an order may be in flight before the sender gives up.
	OrderTimeout = time.Second
	// OrderLifetime is OrderTimeout plus the drift of both clocks and the time that a
	// received order may wait in an engine's socket buffer.
	OrderLifetime = OrderTimeout + 300*time.Millisecond
	// ResendInterval is the time between two sends of an order that was not accepted.
	ResendInterval = 800 * time.Millisecond
	// acceptedResend is the time between two sends of an order that was accepted but is
	// not echoed yet, for example while the engine loads weights.
	acceptedResend = 5 * time.Second
	// acceptTimeout is how long a member may fail to accept an order before it is replaced.
	acceptTimeout = 15 * time.Second
	// adoptionWait is how long the planner waits for announcements of all members of an
	// adopted or reappearing group before it replaces missing ones.
	adoptionWait = 2 * time.Second
	// freeAfter is how long a VM must echo no group before it may be assigned to one.
	freeAfter = membership.LeaseDuration
	// minLeaseLeft is the minimum remaining time of the lease for sending an order.
	minLeaseLeft = 100 * time.Millisecond
	// consolidateAfter is how long a group lacks members before another broken group is
	// dissolved to repair it.
	consolidateAfter = 3 * time.Second
	// abandonAfter is how long a group that cannot be repaired keeps its members.
	abandonAfter = 30 * time.Second
	// prepareTimeout limits the wait for a spare to load weights before a drain.
	prepareTimeout = 20 * time.Second
	// retireDelay is the time from the decision to retire a group until every entry has
	// stopped sending requests to it and its reported load reflects this.
	retireDelay = 2 * time.Second
	// drainTimeout limits the wait for the requests in flight of a group that drains or retires.
	drainTimeout = 60 * time.Second
)

const (
	// counterBits is the number of low bits of a generation that count the orders of one term.
	counterBits = 20
	// maxCounter is the count at which a term requests a higher fencing number.
	maxCounter = 1<<counterBits - 1<<10
)

// Generation returns the n-th generation of a fencing number.
func Generation(fence, n uint64) uint64 { return fence<<counterBits | n }

// FenceOf returns the fencing number of a generation.
func FenceOf(generation uint64) uint64 { return generation >> counterBits }

// VM is the planner's view of one engine.
type VM struct {
	Announcement api.Announcement
	// Labels are the announced labels, overridden by the configured ones.
	Labels labels.Set
	// SeenAt is the time at which the last announcement was received.
	SeenAt time.Time
	// UngroupedSince is the time since which the VM has echoed no group.
	UngroupedSince time.Time
	// Live is true while the lease is current.
	Live bool
	// Fresh is true when the last announcement reflects the current state.
	Fresh bool
	// Lost is true when the VM may be replaced in its group.
	Lost    bool
	Leaving bool
}

func (v *VM) id() string { return v.Announcement.ID }

func (v *VM) busy() bool { return v.Announcement.Load.Running+v.Announcement.Load.Waiting > 0 }

// Lease is the coordinator's right to issue orders.
type Lease struct {
	Fence uint64
	// Incarnation identifies the coordinator's incarnation. It keeps group names unique if a
	// fencing number is reused because every node that stored it lost its state.
	Incarnation string
	// Since is the time at which the lease was acquired, Until its end.
	Since time.Time
	Until time.Time
}

// Input is the snapshot from which a plan is made.
type Input struct {
	Specs []state.Group
	// VMs are sorted by identifier.
	VMs []*VM
}

// Action is an output of the Planner.
type Action interface{ action() }

// The actions of the Planner.
type (
	// SendOrder sends an order to an engine before a deadline.
	SendOrder struct {
		To       string
		Address  string
		Order    api.Order
		Deadline time.Time
	}
	// GroupChanged reports that a group was formed, changed or dissolved.
	GroupChanged struct {
		Group  string
		Change Change
		// Members by rank, after the change.
		Members []string
	}
	// RaiseFence requests a higher fencing number: the generations of the current one are
	// nearly used up, or another coordinator has used it.
	RaiseFence struct{}
)

func (SendOrder) action()    {}
func (GroupChanged) action() {}
func (RaiseFence) action()   {}

// Change is the kind of a group's change.
type Change string

// The changes of a group.
const (
	Formed    Change = "formed"
	Adopted   Change = "adopted"
	Repaired  Change = "repaired"
	Reformed  Change = "reformed"
	Drained   Change = "drained"
	Dissolved Change = "dissolved"
)

type group struct {
	name       string
	spec       string
	fabric     string
	generation uint64
	members    []string
	// settledAt is the time from which missing members may be replaced.
	settledAt time.Time
	// brokenSince is the time since which a member has been missing; zero while none is.
	brokenSince time.Time
	// leavingSince is the time since which a member has been leaving; spare replaces it.
	leavingSince time.Time
	spare        string
	// unwantedSince is the time since which the group has not matched its specification,
	// excessSince the time since which the group has exceeded the specification's count.
	unwantedSince time.Time
	excessSince   time.Time
}

// standingOrder is the last order to one VM.
type standingOrder struct {
	order     api.Order
	notBefore time.Time
	firstSent time.Time
	sentAt    time.Time
	// accepted is true once the engine announces at least the order's fencing number.
	accepted bool
	// echoed is the incarnation that has echoed the order; 0 while none has.
	echoed uint64
}

// Planner plans the groups of one failure domain while this node is its coordinator.
type Planner struct {
	failureDomain string

	fence       uint64
	incarnation string
	since       time.Time
	counter     uint64
	groups      map[string]*group
	// memberOf is the planned group of each VM that has one.
	memberOf map[string]string
	orders   map[string]*standingOrder
	// dissolved holds the last generation of dissolved groups.
	dissolved map[string]uint64

	now   time.Time
	specs map[string]*state.Group
	// specNames, ids and the identifiers in each fabric domain are sorted.
	specNames []string
	vms       map[string]*VM
	ids       []string
	byFabric  map[string][]string
	actions   []Action

	// InjectedFaults enables injected faults in tests.
	InjectedFaults faultinject.Faults
}

// NewPlanner returns a planner for a failure domain.
func NewPlanner(failureDomain string) *Planner {
	p := &Planner{failureDomain: failureDomain}
	p.reset(Lease{})
	return p
}

// reset discards the plan of an earlier term; the members' echoes restore it.
func (p *Planner) reset(lease Lease) {
	p.fence, p.incarnation, p.since, p.counter = lease.Fence, lease.Incarnation, lease.Since, 0
	p.groups = map[string]*group{}
	p.memberOf = map[string]string{}
	p.orders = map[string]*standingOrder{}
	p.dissolved = map[string]uint64{}
}

// Plan returns the actions that are due. Call it only while the lease is valid.
func (p *Planner) Plan(now time.Time, lease Lease, in Input) []Action {
	if lease.Fence != p.fence {
		p.reset(lease)
	}
	p.loadInput(now, in)
	p.recordEchoes()
	p.adopt()
	p.repair()
	p.releaseUnplanned()
	p.form()
	p.send(lease)
	if p.counter >= maxCounter || p.hasForeignOrder() {
		p.actions = append(p.actions, RaiseFence{})
	}
	return p.actions
}

func (p *Planner) loadInput(now time.Time, in Input) {
	p.now, p.actions = now, nil
	p.specs = map[string]*state.Group{}
	for i := range in.Specs {
		p.specs[in.Specs[i].Name] = &in.Specs[i]
	}
	p.specNames = slices.Sorted(maps.Keys(p.specs))
	p.byFabric = map[string][]string{}
	p.vms = make(map[string]*VM, len(in.VMs))
	p.ids = p.ids[:0]
	for _, vm := range in.VMs {
		if vm.Announcement.Kind != api.UpstreamEngine {
			continue
		}
		p.vms[vm.id()] = vm
		p.ids = append(p.ids, vm.id())
		fabric := vm.Announcement.FabricDomain
		p.byFabric[fabric] = append(p.byFabric[fabric], vm.id())
	}
}

// recordEchoes records which orders were accepted and echoed by their engines.
func (p *Planner) recordEchoes() {
	for id, s := range p.orders {
		vm := p.vms[id]
		if vm == nil || !vm.Fresh {
			continue
		}
		s.accepted = vm.Announcement.Fence >= s.order.Fence
		if echoes(vm, s.order) {
			s.accepted = true
			s.echoed = vm.Announcement.Incarnation
		}
	}
}

func echoes(vm *VM, order api.Order) bool {
	a := vm.Announcement
	return a.Group == order.Group && a.Generation == order.Generation
}

func (p *Planner) nextGeneration() uint64 {
	p.counter++
	return Generation(p.fence, p.counter)
}

// order replaces the standing order to a VM.
func (p *Planner) order(id string, order api.Order) {
	p.orders[id] = &standingOrder{order: order, notBefore: p.earliestSend(id)}
}

// earliestSend returns the time from which another order may be sent to a VM. By then no
// earlier order that its engine would not reject can still be in flight.
func (p *Planner) earliestSend(id string) time.Time {
	vm := p.vms[id]
	if p.InjectedFaults.Has(faultinject.ReassignWithoutWait) || vm == nil || vm.Announcement.HonoursFencing {
		return p.now
	}
	earliest := p.since.Add(OrderLifetime)
	if s := p.orders[id]; s != nil {
		earliest = lo.Latest(earliest, s.notBefore)
		if s.mayBeInFlight() {
			earliest = lo.Latest(earliest, s.sentAt.Add(OrderLifetime))
		}
	}
	return earliest
}

// mayBeInFlight reports whether a copy of the order may still be delivered: it was not
// accepted, or it was sent more than once.
func (s *standingOrder) mayBeInFlight() bool {
	return !s.sentAt.IsZero() && (!s.accepted || !s.sentAt.Equal(s.firstSent))
}

// release orders a VM to leave its group.
func (p *Planner) release(id string) {
	generation := p.nextGeneration()
	order := api.Order{Fence: generation, Generation: generation}
	if vm := p.vms[id]; vm != nil {
		// The engine keeps the weights of its service.
		order.Service = vm.Announcement.Service
	}
	p.order(id, order)
}

// send sends the standing orders that are not echoed and are due.
func (p *Planner) send(lease Lease) {
	deadline := lo.Earliest(p.now.Add(OrderTimeout), lease.Until)
	if deadline.Sub(p.now) < minLeaseLeft {
		return
	}
	for _, id := range p.ids {
		s, vm := p.orders[id], p.vms[id]
		if s == nil || !vm.Live || echoes(vm, s.order) || p.now.Before(s.notBefore) {
			continue
		}
		interval := lo.Ternary(s.accepted, acceptedResend, ResendInterval)
		if !s.sentAt.IsZero() && p.now.Sub(s.sentAt) < interval {
			continue
		}
		if s.firstSent.IsZero() {
			s.firstSent = p.now
		}
		s.sentAt = p.now
		p.actions = append(p.actions, SendOrder{To: id, Address: vm.Announcement.Address, Order: s.order, Deadline: deadline})
	}
}

func (p *Planner) emitChange(g *group, change Change) {
	p.actions = append(p.actions, GroupChanged{Group: g.name, Change: change, Members: slices.Clone(g.members)})
}

// Member returns the group to which the plan assigns a VM, or "".
func (p *Planner) Member(id string) string { return p.memberOf[id] }

// assign assigns a rank of a group to a VM and removes the VM that had it.
func (p *Planner) assign(g *group, rank int, id string) {
	if before := g.members[rank]; before != "" {
		delete(p.memberOf, before)
	}
	g.members[rank] = id
	p.memberOf[id] = g.name
}

// Groups returns the members of each planned group, by rank; "" stands for a missing one.
func (p *Planner) Groups() map[string][]string {
	return lo.MapValues(p.groups, func(g *group, _ string) []string { return g.members })
}
