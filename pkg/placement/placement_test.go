package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/state"
)

// session replays a script against a planner with simulated VMs and specifications.
type session struct {
	t       *testing.T
	planner *Planner
	now     time.Time
	lease   Lease
	input   Input
}

// TestSessions replays the scripts in testdata and checks the orders that each plan
// sends. A VM echoes an order from the next plan on.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		start := time.Unix(1_000_000, 0)
		s := &session{t: t, planner: NewPlanner("fd-a"), now: start, lease: Lease{Fence: 1, Incarnation: "r", Since: start}}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.command(d) })
	})
}

func (s *session) command(d *datadriven.TestData) string {
	switch d.Cmd {
	case "vms":
		s.addVMs(d)
	case "spec":
		s.addSpec(d)
	case "lost":
		s.forEachVM(d, func(vm *VM) { vm.Live, vm.Fresh, vm.Lost = false, false, true })
	case "back":
		s.forEachVM(d, func(vm *VM) { vm.Live, vm.Fresh, vm.Lost = true, true, false })
	case "steward":
		d.ScanArgs(s.t, "fence", &s.lease.Fence)
		s.lease.Since = s.now
	case "plan":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		require.NoError(s.t, err)
		return s.plan(wait)
	default:
		s.t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func (s *session) forEachVM(d *datadriven.TestData, fn func(*VM)) {
	for _, arg := range d.CmdArgs {
		for _, vm := range s.input.VMs {
			if vm.id() == arg.Key {
				fn(vm)
			}
		}
	}
}

func (s *session) addVMs(d *datadriven.TestData) {
	var fabric, pool string
	d.ScanArgs(s.t, "fabric", &fabric)
	d.ScanArgs(s.t, "pool", &pool)
	ids, _ := d.Arg("ids")
	for _, id := range ids.Vals {
		s.input.VMs = append(s.input.VMs, &VM{
			Announcement: api.Announcement{
				ID: id, Address: id, FabricDomain: fabric, Kind: api.UpstreamEngine, Service: "m", Incarnation: 1, HonoursFencing: !d.HasArg("ignore-fencing"),
			},
			Labels: labels.Set{"pool": pool}, Live: true, Fresh: true, UngroupedSince: s.now.Add(-freeAfter),
		})
	}
}

func (s *session) addSpec(d *datadriven.TestData) {
	var vms, count int
	var selector string
	d.ScanArgs(s.t, "vms", &vms)
	d.ScanArgs(s.t, "selector", &selector)
	if d.HasArg("count") {
		d.ScanArgs(s.t, "count", &count)
	}
	parsed, err := labels.Parse(selector)
	require.NoError(s.t, err)
	s.input.Specs = append(s.input.Specs, state.Group{
		Name: d.CmdArgs[0].Key, Selector: parsed, Spec: api.GroupSpec{Service: "m", VMs: vms, Count: count},
	})
}

// plan advances the time, plans once and applies the orders to the announcements of the VMs.
func (s *session) plan(wait time.Duration) string {
	s.now = s.now.Add(wait)
	s.lease.Until = s.now.Add(time.Second)
	for _, vm := range s.input.VMs {
		if vm.Live {
			vm.SeenAt = s.now
		}
	}
	var b strings.Builder
	for _, action := range s.planner.Plan(s.now, s.lease, s.input) {
		switch a := action.(type) {
		case SendOrder:
			fmt.Fprintf(&b, "%s gets %q generation %d rank %d\n", a.To, a.Order.Group, a.Order.Generation, a.Order.Rank)
			s.echoOrder(a)
		case GroupChanged:
			fmt.Fprintf(&b, "%s %s %v\n", a.Change, a.Group, a.Members)
		case RaiseFence:
			b.WriteString("raise the fencing number\n")
		}
	}
	return b.String()
}

func (s *session) echoOrder(o SendOrder) {
	for _, vm := range s.input.VMs {
		if vm.id() != o.To {
			continue
		}
		a := &vm.Announcement
		a.Group, a.Generation, a.Fence, a.Rank, a.Size = o.Order.Group, o.Order.Generation, o.Order.Fence, o.Order.Rank, len(o.Order.Members)
		vm.SeenAt = s.now
		vm.UngroupedSince = s.now
	}
}
