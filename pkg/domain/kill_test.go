package domain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// killSteps is the number of simulation steps from the change of specification
// until the group serves.
const killSteps = 24

// simulateKill calls kill the given number of steps after the specification of a
// group was added.
func simulateKill(honoursFencing bool, kill func(*simulation), steps int) *simulation {
	s := newFaultFreeSimulation(0, honoursFencing, "e0", "e1", "e2")
	s.addSpec("captions", "pool=p", 2, 0)
	s.advance(time.Duration(steps) * simStep)
	kill(s)
	s.advance(15 * time.Second)
	return s
}

// TestKillAtEachStepOfGroupFormation kills the coordinator, a member or both at
// each step of the formation of a group, with engines that honour fencing and
// engines that ignore it. No invariant may be violated, and one group must serve
// afterwards.
func TestKillAtEachStepOfGroupFormation(t *testing.T) {
	killCoordinator := func(s *simulation) { s.entries["a1"].up = false }
	killMember := func(s *simulation) { s.engines["e0"].up = false }
	kills := map[string]func(*simulation){
		"steward": killCoordinator,
		"member":  killMember,
		"both":    func(s *simulation) { killCoordinator(s); killMember(s) },
	}
	for name, kill := range kills {
		for _, honoursFencing := range []bool{true, false} {
			for steps := range killSteps {
				s := simulateKill(honoursFencing, kill, steps)
				require.Empty(t, s.violation, "%s at step %d", name, steps)
				require.Len(t, s.wholeGroups, 1, "%s at step %d: %s", name, steps, s.drainEvents())
			}
		}
	}
}
