package configwatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/state"
)

// TestCoreSessions runs the golden sessions in testdata/core. Times are relative to
// the start of the session.
func TestCoreSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/core", func(t *testing.T, path string) {
		c := newCore([]string{"relay-1", "relay-2", "keeper-1", "keeper-2"}, 2)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := "0s"
			d.MaybeScanArgs(t, "at", &at)
			since, err := time.ParseDuration(at)
			require.NoError(t, err)
			return sessionStep(t, d, c, time.Unix(0, 0).Add(since)) + "\n" + describeCore(c)
		})
	})
}

func sessionStep(t *testing.T, d *datadriven.TestData, c *core, now time.Time) string {
	source := c.source
	d.MaybeScanArgs(t, "from", &source)
	switch d.Cmd {
	case "start":
		return describeAction(c, c.start(now))
	case "held":
		return describeAction(c, c.onHeldAnswers(now, sessionAnswers(t, d)))
	case "event":
		applied, act, err := c.onEvent(now, source, sessionEvent(t, d))
		if err != nil {
			return "refused: " + err.Error()
		}
		return fmt.Sprintf("applied=%t %s", applied, describeAction(c, act))
	case "lost":
		return describeAction(c, c.onStreamEnd(now, source))
	case "tick":
		return describeAction(c, c.onTick(now))
	default:
		d.Fatalf(t, "unknown step %q", d.Cmd)
		return ""
	}
}

// sessionAnswers parses `held PEER=REVISION ...`. Answers of peers whose name starts
// with "keeper" are confirmed.
func sessionAnswers(t *testing.T, d *datadriven.TestData) []heldRevision {
	var out []heldRevision
	for _, a := range d.CmdArgs {
		if a.Key == "at" {
			continue
		}
		h := heldRevision{peer: a.Key, confirmed: strings.HasPrefix(a.Key, "keeper")}
		_, err := fmt.Sscan(a.Vals[0], &h.revision)
		require.NoError(t, err)
		out = append(out, h)
	}
	return out
}

func sessionEvent(t *testing.T, d *datadriven.TestData) *peerpb.WatchEvent {
	event := &peerpb.WatchEvent{Full: d.HasArg("full")}
	var keeperAge string
	d.MaybeScanArgs(t, "revision", &event.Revision)
	d.MaybeScanArgs(t, "after", &event.FromRevision)
	d.MaybeScanArgs(t, "keeper-age", &keeperAge)
	if keeperAge != "" {
		age, err := time.ParseDuration(keeperAge)
		require.NoError(t, err)
		event.KeeperAgeMs = age.Milliseconds()
	}
	if event.Full || event.FromRevision < event.Revision {
		event.Objects = []*peerpb.ConfigObject{labelsAt(event.Revision)}
	}
	return event
}

func labelsAt(revision uint64) *peerpb.ConfigObject {
	return &peerpb.ConfigObject{Kind: "labels", Name: "vm", Revision: revision, Spec: fmt.Appendf(nil, `{"labels":{"at":"%d"}}`, revision)}
}

func describeAction(c *core, a action) string {
	switch a {
	case actQuery:
		return "ask"
	case actWatch:
		return fmt.Sprintf("watch %s from %d", c.source, c.config.Revision)
	default:
		return "nothing"
	}
}

func describeCore(c *core) string {
	return fmt.Sprintf("ready=%t in_force=%d", c.ready, c.config.Revision)
}

const (
	simulationSeeds = 300
	simulationPeers = 3
)

type randomStep struct{ action, peer, pick int }

func randomSteps() *rapid.Generator[[]randomStep] {
	one := rapid.Custom(func(t *rapid.T) randomStep {
		return randomStep{
			action: rapid.IntRange(0, 99).Draw(t, "what"), peer: rapid.IntRange(0, simulationPeers-1).Draw(t, "peer"),
			pick: rapid.IntRange(0, 999).Draw(t, "pick"),
		}
	})
	return rapid.SliceOfN(one, 120, 120)
}

// simulation has peers that hold different revisions of a committed history, and
// one node that watches them and sometimes restarts.
type simulation struct {
	now     time.Time
	machine *state.Machine
	peers   [simulationPeers]uint64
	node    *core
	faults  injectedFaults
	// reported is the revision below which the node must not become ready.
	reported uint64
}

func (sim *simulation) restart() {
	sim.node = newCore([]string{"p0", "p1", "p2"}, simulationPeers)
	sim.node.faults = sim.faults
	sim.node.start(sim.now)
	sim.reported = 0
}

// event returns an event that a peer may send to the node.
func (sim *simulation) event(peer, pick int) *peerpb.WatchEvent {
	to := sim.peers[peer]
	from := sim.node.config.Revision
	if pick%4 == 0 && to > 2 {
		from = uint64(pick) % to
	}
	if pick%3 == 0 || from >= to {
		return &peerpb.WatchEvent{Revision: to, Full: true, Objects: []*peerpb.ConfigObject{labelsAt(to)}}
	}
	return &peerpb.WatchEvent{Revision: to, FromRevision: from, Objects: []*peerpb.ConfigObject{labelsAt(to)}}
}

func (sim *simulation) step(choice randomStep) error {
	before, wasReady := sim.node.config, sim.node.ready
	source := fmt.Sprint("p", choice.peer)
	switch {
	case choice.action < 15:
		sim.peers[choice.peer] = max(sim.peers[choice.peer], uint64(choice.pick)%40)
	case choice.action < 55:
		_, _, err := sim.node.onEvent(sim.now, sim.node.source, sim.event(choice.peer, choice.pick))
		if err != nil {
			return err
		}
	case choice.action < 65:
		sim.answerQuery(choice)
	case choice.action < 75:
		sim.node.onStreamEnd(sim.now, source)
	case choice.action < 95:
		sim.now = sim.now.Add(time.Duration(choice.pick) * 10 * time.Millisecond)
		sim.node.onTick(sim.now)
	default:
		sim.restart()
		return nil
	}
	if sim.node.config.Revision < before.Revision {
		return fmt.Errorf("revision decreased from %d to %d", before.Revision, sim.node.config.Revision)
	}
	if sim.node.ready && !wasReady && sim.node.config.Revision < sim.reported {
		return fmt.Errorf("ready at revision %d, but revision %d was reported", sim.node.config.Revision, sim.reported)
	}
	return nil
}

// answerQuery answers the node's query with the revisions of some of the peers.
func (sim *simulation) answerQuery(choice randomStep) {
	if sim.node.ready {
		return
	}
	var answers []heldRevision
	for p, revision := range sim.peers {
		if (choice.pick>>p)%2 == 0 {
			answers = append(answers, heldRevision{peer: fmt.Sprint("p", p), confirmed: p == 0, revision: revision})
			sim.reported = max(sim.reported, revision)
		}
	}
	sim.node.onHeldAnswers(sim.now, answers)
	sim.reported = sim.node.targetRevision
}

func simulate(seed int, faults injectedFaults) error {
	sim := &simulation{now: time.Unix(0, 0), machine: state.New(), faults: faults}
	sim.restart()
	for i, choice := range randomSteps().Example(seed) {
		if err := sim.step(choice); err != nil {
			return fmt.Errorf("seed %d, step %d: %w", seed, i, err)
		}
	}
	return nil
}

// TestRevisionNeverDecreases guards against a revision in force that decreases, and
// against a node that becomes ready below the highest revision reported to it. It
// simulates lagging peers, ended streams, gaps, silent sources and restarts.
func TestRevisionNeverDecreases(t *testing.T) {
	for seed := range simulationSeeds {
		require.NoError(t, simulate(seed, injectedFaults{}))
	}
}

// TestSimulationDetectsInjectedFaults verifies that the simulation above fails for
// each injected fault.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"lower revisions applied": {applyLowerRevision: true},
		"ready before caught up":  {readyEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			for seed := 0; seed < simulationSeeds && err == nil; seed++ {
				err = simulate(seed, faults)
			}
			assert.Error(t, err)
			t.Log(err)
		})
	}
}

// TestSimultaneousRestartWaitsForQuorum guards against a node that starts below the
// revision that was in force, because it trusts unconfirmed answers of peers that
// restart at the same time. The injected fault makes the node trust them.
func TestSimultaneousRestartWaitsForQuorum(t *testing.T) {
	for _, injected := range []bool{false, true} {
		c := newCore([]string{"p0"}, 1)
		c.faults.trustUnconfirmed = injected
		now := time.Unix(0, 0)
		c.start(now)
		act := c.onHeldAnswers(now, []heldRevision{{peer: "p0"}})
		assert.Equal(t, injected, c.ready, "ready at revision 0")
		assert.Equal(t, injected, act == actWatch)
	}
}

// TestRevisionGapRestartsWatch guards against an object that keeps its old value
// because the event that changed it was lost. The injected fault skips the check.
func TestRevisionGapRestartsWatch(t *testing.T) {
	for _, injected := range []bool{false, true} {
		c := newCore([]string{"p0"}, 1)
		c.faults.ignoreGap = injected
		now := time.Unix(0, 0)
		c.start(now)
		c.onHeldAnswers(now, []heldRevision{{peer: "p0", confirmed: true, revision: 1}})
		_, _, err := c.onEvent(now, "p0", &peerpb.WatchEvent{Revision: 1, Full: true})
		require.NoError(t, err)
		applied, act, err := c.onEvent(now, "p0", &peerpb.WatchEvent{Revision: 4, FromRevision: 3, Objects: []*peerpb.ConfigObject{labelsAt(4)}})
		require.NoError(t, err)
		assert.Equal(t, injected, applied)
		assert.Equal(t, !injected, act == actWatch)
	}
}

// TestTreeHasTwoRelaysInEachDomain checks the planned tree of 720 nodes in 35 failure
// domains: two relays in each domain watch keepers, and no node has too many watchers.
func TestTreeHasTwoRelaysInEachDomain(t *testing.T) {
	var peers []Peer
	for i := range 720 {
		peers = append(peers, Peer{ID: fmt.Sprint("n", i), FailureDomain: fmt.Sprint("fd", i%35), Keeper: i < 5})
	}
	watchers := map[string]int{}
	direct := 0
	for _, p := range peers {
		tree := planTree(p.ID, peers)
		require.NotEmpty(t, tree.sources)
		if strings.HasPrefix(tree.sources[0], "n") && tree.preferredCount == 5 {
			direct++
		} else {
			watchers[tree.sources[0]]++
		}
		assert.LessOrEqual(t, len(tree.startPeers), 21+5)
	}
	assert.Equal(t, 2*35, direct)
	for relay, n := range watchers {
		assert.LessOrEqual(t, n, 18, relay)
	}
}
