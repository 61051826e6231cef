package coordinator

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/masticmount/masticmount/internal/faultinject"
)

// TestSessions replays the scripts in testdata/sessions: each command is followed
// by the expected election events.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		var s *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "domain" {
				s = newSimulation(d.CmdArgs[0].Vals)
				for _, name := range s.voters {
					s.start(name)
				}
				return s.drainEvents()
			}
			runCommand(t, s, d)
			return s.drainEvents()
		})
	})
}

func runCommand(t *testing.T, s *simulation, d *datadriven.TestData) {
	for _, arg := range d.CmdArgs {
		name := arg.Key
		switch d.Cmd {
		case "run":
			duration, err := time.ParseDuration(name)
			require.NoError(t, err)
			s.advance(duration)
		case "kill":
			s.nodes[name].up = false
		case "start":
			s.start(name)
		case "pause":
			s.nodes[name].paused = true
		case "resume":
			s.nodes[name].paused = false
		case "stop":
			s.step(name, Stop{})
		case "cut":
			s.blocked[[2]string{name, arg.Vals[0]}] = true
		case "heal":
			delete(s.blocked, [2]string{name, arg.Vals[0]})
		case "seen":
			var fence uint64
			arg.Scan(t, 0, &fence)
			s.step(name, FenceSeen{Fence: fence})
		case "rate":
			arg.Scan(t, 0, &s.nodes[name].rate)
		default:
			t.Fatalf("unknown command %q", d.Cmd)
		}
	}
}

// chooser returns a generated number in [0, n).
type chooser func(n int) int

// simulateFaults simulates a domain under generated faults. It returns the violated
// invariant and the event log, or an empty string.
func simulateFaults(pick chooser, injected faultinject.Faults) string {
	names := []string{"a", "b", "c", "d", "e"}[:2+pick(4)]
	s := newSimulation(names)
	s.injected = injected
	delays := []time.Duration{0, simStep, simStep, simStep, simStep, 5 * simStep, 300 * time.Millisecond, time.Second}
	s.delay = func(string, string) (time.Duration, bool) {
		delay := delays[pick(len(delays))]
		return delay, delay != 0
	}
	for _, name := range names {
		s.nodes[name].rate = int64(1000 - MaxClockDrift + pick(2*MaxClockDrift+1))
		s.start(name)
	}
	s.advance(MaxLease)
	for range 3 + pick(25) {
		injectFault(pick, s, names[pick(len(names))], names[pick(len(names))])
		s.advance(time.Duration(1+pick(120)) * simStep)
		if s.violation != "" {
			return s.violation + "\n" + s.drainEvents()
		}
	}
	return ""
}

func injectFault(pick chooser, s *simulation, name, other string) {
	n := s.nodes[name]
	switch pick(7) {
	case 0, 1:
		s.start(name)
	case 2:
		n.paused = true
	case 3:
		n.paused = false
	case 4:
		s.blocked[[2]string{name, other}] = true
	case 5:
		clear(s.blocked)
	case 6:
		if n.up {
			s.step(name, Stop{})
		}
	}
}

// Fixed seeds make the generated cases reproducible.
const (
	rapidSeed = "20261204"
	seedCount = 400
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": rapidSeed, "rapid.nofailfile": "true", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestAtMostOneCoordinatorUnderFaults checks under generated faults that at most
// one node is coordinator at any time and that fencing numbers strictly increase.
func TestAtMostOneCoordinatorUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if violation := simulateFaults(pick, 0); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestSeededFaults checks the same properties over the seeds with which
// TestInjectedFaultsAreDetected detects the injected faults.
func TestSeededFaults(t *testing.T) {
	for seed := range uint64(seedCount) {
		require.Empty(t, simulateFaults(rand.New(rand.NewPCG(seed, 0)).IntN, 0), "seed %d", seed)
	}
}

// TestInjectedFaultsAreDetected checks that the generated faults of
// TestSeededFaults detect each fault injected into the election.
func TestInjectedFaultsAreDetected(t *testing.T) {
	variants := map[string]faultinject.Faults{
		"no abstention after restart": faultinject.NoAbstentionAfterRestart,
		"fence from own memory":       faultinject.FenceFromOwnMemory,
		"own lease ignored":           faultinject.IgnoreOwnLease,
	}
	for name, injected := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seedCount) {
				if violation := simulateFaults(rand.New(rand.NewPCG(seed, 0)).IntN, injected); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatal("no seed detected the injected fault")
		})
	}
}

func TestChooseVoters(t *testing.T) {
	nodes := []Node{{"a1", "fd-a"}, {"a2", "fd-a"}, {"b1", "fd-b"}, {"b2", "fd-b"}, {"b3", "fd-b"}, {"c1", "fd-c"}, {"c2", "fd-c"}}
	require.Equal(t, []string{"a1", "a2", "b1"}, ChooseVoters("fd-a", nodes))
	require.Equal(t, []string{"b1", "b2", "b3"}, ChooseVoters("fd-b", nodes))
	require.Equal(t, []string{"c1", "c2", "a1"}, ChooseVoters("fd-c", nodes))
	require.Equal(t, []string{"a1", "a2"}, ChooseVoters("fd-a", nodes[:2]))
}

func TestVotersChangeOneAtATime(t *testing.T) {
	m := New(epoch, Options{Domain: "fd-a", Self: Holder{Node: "a"}, Voters: []string{"a", "b", "c"}})
	require.ErrorContains(t, m.SetVoters(epoch.Add(MaxLease), []string{"a", "d", "c"}), "one voter at a time")
	require.ErrorContains(t, m.SetVoters(epoch.Add(time.Second), []string{"a", "b"}), "maximal lease")
	require.NoError(t, m.SetVoters(epoch.Add(MaxLease), []string{"a", "b", "c", "d"}))
	require.ErrorContains(t, m.SetVoters(epoch.Add(MaxLease+time.Second), []string{"a", "b", "c"}), "maximal lease")
}
