package domain

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/masticmount/masticmount/internal/faultinject"
	"github.com/masticmount/masticmount/pkg/placement"
)

// Fixed seeds make the generated cases reproducible.
const (
	rapidSeed   = "20261204"
	rapidChecks = "40"
	faultSeeds  = 60
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.nofailfile": "true", "rapid.checks": rapidChecks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// newFaultySimulation returns a simulation of three entries and two fabric
// domains with engines that honour fencing and engines that ignore it. Its links
// lose, delay and reorder messages.
func newFaultySimulation(pick chooser, injected faultinject.Faults) *simulation {
	s := newSimulation(3)
	s.pick, s.injected, s.lossy, s.muted = pick, injected, true, false
	for _, node := range s.nodes {
		s.startEntry(node.Node)
	}
	for i := range 7 {
		s.addEngine(fmt.Sprintf("e%d", i), fmt.Sprintf("f%d", i/4), pick(2) == 0, map[string]string{"pool": "p"})
	}
	s.addSpec("captions", "pool=p", 2, 0)
	return s
}

// simulateFaults simulates a domain under generated faults. It returns the event
// log, which ends with the violated invariant, or an empty string.
func simulateFaults(pick chooser, injected faultinject.Faults) string {
	s := newFaultySimulation(pick, injected)
	s.advance(5 * time.Second)
	for range 5 + pick(25) {
		s.injectFault()
		s.advance(time.Duration(1+pick(60)) * simStep)
		if s.violation != "" {
			return s.drainEvents()
		}
	}
	s.endFaults()
	s.advance(40 * time.Second)
	s.checkAllWhole()
	if s.violation != "" {
		return s.drainEvents()
	}
	return ""
}

func (s *simulation) injectFault() {
	entry := s.entryNames()[s.pick(len(s.entries))]
	engine := s.engineNames()[s.pick(len(s.engines))]
	switch s.pick(14) {
	case 0, 1:
		s.engines[engine].up = false
	case 2, 3:
		s.restartEngine(engine)
	case 4:
		s.engines[engine].paused = true
	case 5:
		s.engines[engine].paused = false
	case 6:
		s.startEntry(entry)
	case 7:
		s.entries[entry].up = false
	case 8:
		s.entries[entry].paused = true
	case 9:
		s.entries[entry].paused = false
	case 10:
		other := s.entryNames()[s.pick(len(s.entries))]
		s.blocked[[2]string{entry, other}] = true
		s.blocked[[2]string{entry, engine}] = true
	case 11:
		clear(s.blocked)
	case 12:
		s.addSpec("captions", "pool=p", 1+s.pick(3), s.pick(3))
	case 13:
		for i := range 4 {
			s.engines[fmt.Sprintf("e%d", i)].paused = s.pick(2) == 0
		}
	}
	s.recordEvent("injected a fault for %s and %s", entry, engine)
}

// endFaults restores links, entries and engines, and the original specification.
func (s *simulation) endFaults() {
	s.lossy = false
	clear(s.blocked)
	for _, name := range s.entryNames() {
		s.entries[name].paused = false
		if !s.entries[name].up {
			s.startEntry(name)
		}
	}
	for _, id := range s.engineNames() {
		s.engines[id].paused = false
		if !s.engines[id].up {
			s.restartEngine(id)
		}
	}
	s.addSpec("captions", "pool=p", 2, 0)
}

// checkAllWhole checks that the view of every entry contains all groups that can be
// formed: two groups of two VMs in the first fabric domain and one in the second.
func (s *simulation) checkAllWhole() {
	for _, name := range s.entryNames() {
		wholeCount := 0
		for _, g := range s.entries[name].view.Groups {
			if g.Whole {
				wholeCount++
			}
		}
		if wholeCount != 3 {
			s.recordViolation("%s sees %d whole groups, want 3", name, wholeCount)
		}
	}
}

// TestInvariantsUnderFaults checks under generated faults that no VM is in two
// groups, that there is at most one coordinator, that fencing numbers and the
// generations of engines' orders never decrease, that a group is whole only while
// all its members hold it, and that all groups are whole after the faults end.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if violation := simulateFaults(pick, 0); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestSeededFaults checks the same properties over a fixed range of seeds.
func TestSeededFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		require.Empty(t, simulateFaults(rand.New(rand.NewPCG(seed, 0)).IntN, 0), "seed %d", seed)
	}
}

// TestInjectedFaultsAreDetected checks that each fault injected into the code violates an
// invariant under the generated faults of the seed listed for it.
func TestInjectedFaultsAreDetected(t *testing.T) {
	variants := []struct {
		name     string
		injected faultinject.Faults
		seed     uint64
		want     string
	}{
		{"lease ignored in groups", faultinject.IgnoreLeaseInGroups, 1, "has not held it since"},
		{"no abstention after restart", faultinject.NoAbstentionAfterRestart, 46, "an engine holds an order of"},
		{"fence from own memory", faultinject.FenceFromOwnMemory, 1, "an engine holds an order of"},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			violation := simulateFaults(rand.New(rand.NewPCG(v.seed, 0)).IntN, v.injected)
			require.Contains(t, violation, v.want)
		})
	}
}

// newFaultFreeSimulation returns a simulation of three entries and the given
// engines, over links without faults.
func newFaultFreeSimulation(injected faultinject.Faults, honoursFencing bool, engines ...string) *simulation {
	s := newSimulation(3)
	s.injected = injected
	for _, node := range s.nodes {
		s.startEntry(node.Node)
	}
	for _, id := range engines {
		s.addEngine(id, "f0", honoursFencing, map[string]string{"pool": "p"})
	}
	s.advance(4 * time.Second)
	return s
}

// simulateDelayedOrder hands over the coordinator's lease while an order to e1 is
// in flight. The order arrives after the next coordinator could have sent e1 a
// new one.
func simulateDelayedOrder(injected faultinject.Faults, honoursFencing bool) *simulation {
	s := newFaultFreeSimulation(injected, honoursFencing, "e0", "e1", "e2")
	s.orderDelays["e1"] = []time.Duration{placement.OrderTimeout}
	s.addSpec("captions", "pool=p", 2, 0)
	s.advance(2 * planInterval)
	s.execute("a1", s.entries["a1"].core.Step(s.now, Stopping{}))
	s.restartEngine("e0")
	s.addSpec("captions", "pool=p", 1, 0)
	s.advance(10 * time.Second)
	return s
}

// TestDelayedOrderDoesNotReplaceNewerOrder checks that a delayed order of the
// previous coordinator does not replace an order of the next one, for engines
// that honour fencing and for engines that ignore it.
func TestDelayedOrderDoesNotReplaceNewerOrder(t *testing.T) {
	require.Empty(t, simulateDelayedOrder(0, true).violation)
	require.Empty(t, simulateDelayedOrder(0, false).violation)
	require.Contains(t, simulateDelayedOrder(faultinject.ReassignWithoutWait, false).violation, "decreases from generation")
}

// simulateStaleView dissolves a group while one entry is partitioned from the
// relay, so that its view is stale.
func simulateStaleView(injected faultinject.Faults) *simulation {
	s := newFaultFreeSimulation(injected, true, "e0", "e1", "e2", "e3")
	for _, e := range s.engines {
		e.entryIndex = 0
	}
	s.addSpec("large", "pool=p", 4, 0)
	s.advance(3 * time.Second)
	s.addSpec("small", "pool=p", 2, 0)
	deleteSpec(s, "large")
	s.advance(retireDelay + planInterval)
	s.blocked[[2]string{"a1", "a3"}] = true
	s.blocked[[2]string{"a2", "a3"}] = true
	s.advance(6 * time.Second)
	return s
}

// retireDelay is how long a group that is no longer specified keeps its members.
const retireDelay = 2 * time.Second

// TestMemberIsNotReassignedWhileAViewIsStale checks that a VM does not serve in
// another group while the view of any entry may still show its previous group as
// whole.
func TestMemberIsNotReassignedWhileAViewIsStale(t *testing.T) {
	require.Empty(t, simulateStaleView(0).violation)
	require.Contains(t, simulateStaleView(faultinject.FreeWithoutEcho).violation, "in fd-a/large")
}

// restartWithoutConfig restarts every entry without a configuration. It returns the
// group that engine e0 holds afterwards.
func restartWithoutConfig(injected faultinject.Faults) (group string) {
	s := newFaultFreeSimulation(injected, true, "e0", "e1")
	s.addSpec("captions", "pool=p", 2, 0)
	s.advance(3 * time.Second)
	s.config = nil
	for _, name := range s.entryNames() {
		s.startEntry(name)
	}
	s.advance(20 * time.Second)
	return s.engines["e0"].order.Group
}

// TestCoordinatorWithoutConfigurationKeepsGroups checks that entries that restart
// without a configuration do not dissolve the existing groups.
func TestCoordinatorWithoutConfigurationKeepsGroups(t *testing.T) {
	require.Contains(t, restartWithoutConfig(0), "captions")
	require.Empty(t, restartWithoutConfig(faultinject.PlanUnconfigured))
}
