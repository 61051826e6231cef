package grouping

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/fleet"
)

const (
	pauseSeeds = 24
	// pausedRounds is the number of pauses of the coordinator in one run.
	pausedRounds = 12
)

// playPauses plays a coordinator that is paused again and again within its term, while engines come, leave and
// carry some orders out late, and returns the broken rules. after is called at the end of each pause.
func playPauses(t *testing.T, seed uint64, after func(s *simulation)) []string {
	r := rand.New(rand.NewPCG(seed, 11))
	s := newSimulation(t, firstStart())
	var violations []string
	s.onViolation = func(text string) { violations = append(violations, text) }
	s.run(6 * time.Second)
	s.planner.StartTraffic()
	s.delay = func(o Order) time.Duration {
		if o.Kind != Join || r.IntN(2) == 0 {
			return 0
		}
		return 2*time.Second + time.Duration(r.Int64N(int64(10*time.Second)))
	}
	for round := range pausedRounds {
		added := fmt.Sprintf("f%02d", round)
		s.add(added, "fab")
		s.engines[added].Staged = []string{[]string{"big", "small"}[r.IntN(2)]}
		s.run(time.Duration(1+r.IntN(5)) * time.Second)
		if round%3 == 2 {
			// A member of an open group crashes; its next incarnation has the weights on its VM.
			head := s.engines[fmt.Sprintf("e%02d", r.IntN(engineCount))]
			head.StartTime++
			head.Group = fleet.Membership{}
		}
		s.now = s.now.Add(600 * time.Millisecond)
		after(s)
		s.run(time.Duration(3+r.IntN(6)) * time.Second)
	}
	return violations
}

// Guards against a coordinator that gives the epochs of its term again after it was paused: a join that is
// carried out late takes an engine out of an open group that has the same epoch.
func TestPausedCoordinatorGivesNoEpochAgain(t *testing.T) {
	forgotten := 0
	for seed := range uint64(pauseSeeds) {
		epochs := map[uint64]string{}
		check := func(s *simulation) {
			for _, o := range s.orders {
				if o.Kind == Join {
					assert.Contains(t, []string{"", o.Group}, epochs[o.Epoch], "seed %d: two groups with one epoch", seed)
					epochs[o.Epoch] = o.Group
				}
			}
		}
		violations := playPauses(t, seed, func(s *simulation) {
			s.planner.Resume(s.now)
			check(s)
		})
		assert.Empty(t, violations, "seed %d", seed)
		forgotten += len(playPauses(t, seed, func(s *simulation) { s.elect(Options{Term: firstStart().Term}) }))
	}
	t.Log("broken rules with a new planner in the same term:", forgotten)
	assert.Positive(t, forgotten, "a new planner in the same term must break the rule, or the simulation shows nothing")
}
