package regionlog

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rapidSeed makes the random sequences reproducible.
const rapidSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", rapidSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// randomSource chooses the next event.
type randomSource interface{ IntN(n int) int }

type rapidSource struct{ t *rapid.T }

func (s rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(s.t, "choice") }

// runRandomEvents runs random events and returns the first violated invariant.
func runRandomEvents(random randomSource, f injectedFault, voters, steps int) error {
	n := newNetwork(f, voters)
	if voters > 3 {
		n.firstElectionTicks = testFirstTicks
	}
	return n.runEvents(random, steps)
}

// runEvents runs random events, repairs the network and returns the first violated
// invariant.
func (n *network) runEvents(random randomSource, steps int) (violation error) {
	defer func() {
		if r := recover(); r != nil {
			violation = fmt.Errorf("%v", r)
		}
	}()
	for i := range steps {
		n.randomEvent(random, i)
		if i%16 == 0 {
			n.checkLogs()
		}
		if n.targetVoters > 0 && i%16 == 0 {
			n.repair()
		}
		if n.violation != nil {
			return n.violation
		}
	}
	n.converge()
	return n.violation
}

// randomEvent weights deliveries and ticks higher than faults, so that each fault
// lasts for several events.
func (n *network) randomEvent(random randomSource, i int) {
	ids := n.ids()
	k := n.nodes[ids[random.IntN(len(ids))]]
	switch event := random.IntN(200); {
	case event < 110:
		n.randomDelivery(random)
	case event < 155:
		for range 1 + random.IntN(4) {
			n.tick(k)
		}
	case event < 177:
		n.propose(k, fmt.Sprintf("c%d", i), int64(random.IntN(20)-10), crashPoint(max(0, random.IntN(24)-20)))
	case event < 184:
		n.read(k)
	case event < 186:
		n.repair()
	case event < 190:
		n.compact(k, uint64(random.IntN(4)))
	default:
		n.randomFault(random, k, ids[random.IntN(len(ids))])
	}
}

// randomFault injects a fault, half of the time at the leader.
func (n *network) randomFault(random randomSource, k *keeperNode, other uint64) {
	if l := n.leader(); l != nil && random.IntN(2) == 0 {
		k = l
	}
	switch random.IntN(10) {
	case 0:
		n.cut[[2]uint64{k.identity, other}] = true
	case 1:
		n.isolate(k)
	case 2:
		clear(n.cut)
	case 3:
		n.crash(k)
	case 4:
		k.frozen = true
	case 5, 6:
		n.resumeAll()
	case 7:
		if k.machine != nil && !k.frozen {
			_ = k.machine.Transfer(other)
			n.processReady(k, crashNever)
		}
	case 8:
		n.removeMember(k, other)
	default:
		if n.healthy() {
			n.loseDisk(k)
		}
	}
}

func (n *network) randomDelivery(random randomSource) {
	if len(n.inFlight) == 0 {
		return
	}
	const maxInFlight = 64
	if len(n.inFlight) > maxInFlight {
		n.inFlight = n.inFlight[len(n.inFlight)-maxInFlight:]
	}
	i := 0
	if random.IntN(4) == 0 {
		i = random.IntN(len(n.inFlight))
	}
	n.deliver(i, random.IntN(10) == 0)
}

// votersOf alternates between three and five voters by seed.
func votersOf(seed uint64) int { return 3 + 2*int(seed%2) }

func TestRandomFaultsPreserveInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		require.NoError(rt, runRandomEvents(rapidSource{rt}, faultNone, 3, 400))
	})
}

func TestLongRandomFaultsPreserveInvariants(t *testing.T) {
	const seeds, steps = 150, 3000
	for seed := range uint64(seeds) {
		require.NoError(t, runRandomEvents(rand.New(rand.NewPCG(seed, 1)), faultNone, votersOf(seed), steps), "seed %d", seed)
	}
}

// Guards against random tests that would not detect a violated rule of the protocol:
// each injected fault must break an invariant. Faults that need a longer sequence of
// events are covered by the sessions in testdata.
func TestInjectedFaultsAreDetected(t *testing.T) {
	const seeds, steps = 100, 3000
	for _, f := range []injectedFault{
		faultVoteWithoutLogCheck, faultReadWithoutQuorum, faultAppendWithoutMatch,
		faultNoTimeFloor, faultAcceptOldIdentity,
	} {
		t.Run(string(f), func(t *testing.T) {
			var detected error
			seed := uint64(0)
			for ; seed < seeds && detected == nil; seed++ {
				detected = runRandomEvents(rand.New(rand.NewPCG(seed, 1)), f, votersOf(seed), steps)
			}
			assert.Error(t, detected, "no random sequence detected the injected fault")
			t.Logf("seed %d: %v", seed-1, detected)
		})
	}
}
