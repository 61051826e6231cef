package claims

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// simulationSeeds is the number of seeds, 0 to simulationSeeds-1, of the simulation.
const simulationSeeds = 2000

// randomStep is one random step of a simulation: action selects the kind of step, pick
// and flag its details.
type randomStep struct {
	action, pick int
	flag         bool
}

// randomSteps generates the steps of a simulation. Equal seeds give equal steps.
func randomSteps() *rapid.Generator[[]randomStep] {
	one := rapid.Custom(func(t *rapid.T) randomStep {
		return randomStep{
			action: rapid.IntRange(0, 99).Draw(t, "what"),
			pick:   rapid.IntRange(0, 1<<20).Draw(t, "pick"),
			flag:   rapid.Bool().Draw(t, "flag"),
		}
	})
	return rapid.SliceOfN(one, 60, 160)
}

// caller is one attempt of an entry to run a request.
type caller struct {
	id       string
	key      Key
	granted  bool
	done     bool
	deadline int64
}

// sentRequest is one dispatch of a request that reached the upstream's network.
type sentRequest struct {
	key Key
	// until is the time from which the upstream has either executed the request or
	// never will.
	until int64
	ran   bool
}

// simulation has one table, entries, an upstream, an operator, and a network that
// loses, duplicates and delays steps.
type simulation struct {
	table   *Table
	nowMS   int64
	callers []*caller
	network []*peerpb.ClaimCommand
	sent    []*sentRequest
}

const requestTimeoutMS = 1_000

func (sim *simulation) step(choice randomStep) error {
	switch {
	case choice.action < 18:
		sim.open(Key{Account: "desk", Value: fmt.Sprint("k", choice.pick%2)})
	case choice.action < 55 && len(sim.network) > 0:
		sim.deliver(choice)
	case choice.action < 75 && len(sim.callers) > 0:
		return sim.dispatch(sim.callers[choice.pick%len(sim.callers)], choice)
	case choice.action < 82 && len(sim.callers) > 0:
		sim.giveUp(sim.callers[choice.pick%len(sim.callers)])
	case choice.action < 86 && len(sim.callers) > 0:
		sim.callers[choice.pick%len(sim.callers)].done = true
	case choice.action < 92:
		sim.nowMS += int64(choice.pick % (2 * requestTimeoutMS))
	case choice.action < 97:
		sim.settle(Key{Account: "desk", Value: fmt.Sprint("k", choice.pick%2)})
	default:
		sim.table = restored(sim.table)
	}
	return nil
}

func (sim *simulation) open(key Key) {
	c := &caller{id: fmt.Sprint("a", len(sim.callers)), key: key, deadline: sim.nowMS + requestTimeoutMS}
	sim.callers = append(sim.callers, c)
	step := newStep(key, c.id)
	fingerprint := FingerprintOf("POST", "/grants", nil)
	step.Step = &peerpb.ClaimCommand_Open{Open: &peerpb.ClaimOpen{
		Fingerprint: fingerprint[:], LeaseMs: requestTimeoutMS + leaseMargin.Milliseconds(),
	}}
	sim.network = append(sim.network, step)
}

// deliver applies a step in any order. Half of the steps stay in the network and are
// delivered again; a caller that is done ignores the answer.
func (sim *simulation) deliver(choice randomStep) {
	i := choice.pick % len(sim.network)
	step := sim.network[i]
	if choice.flag {
		sim.network = slices.Delete(sim.network, i, i+1)
	}
	res := sim.table.Apply(sim.nowMS, step)
	for _, c := range sim.callers {
		if c.id == step.GetAttempt() && !c.done && res.GetClaim().GetState() == peerpb.ClaimState_CLAIM_STATE_GRANTED {
			c.granted = true
		}
	}
}

// dispatch sends a granted request, which the upstream runs or rejects, or whose
// outcome stays unknown. It returns an error if an earlier request with the key ran or
// may still run.
func (sim *simulation) dispatch(c *caller, choice randomStep) error {
	if !c.granted || c.done || sim.nowMS >= c.deadline {
		return nil
	}
	c.done = true
	for _, s := range sim.sent {
		if s.key == c.key && (s.ran || sim.nowMS < s.until) {
			return fmt.Errorf("key %s dispatched by %s while an earlier request ran or may run", c.key.Value, c.id)
		}
	}
	step := newStep(c.key, c.id)
	switch choice.pick % 3 {
	case 0:
		sim.sent = append(sim.sent, &sentRequest{key: c.key, until: sim.nowMS, ran: true})
		step.Step = &peerpb.ClaimCommand_Record{Record: &peerpb.ClaimAnswer{Status: 201}}
	case 1:
		step.Step = &peerpb.ClaimCommand_Abandon{Abandon: &peerpb.ClaimAbandon{}}
	default:
		sim.sent = append(sim.sent, &sentRequest{key: c.key, until: c.deadline, ran: choice.flag && choice.pick%2 == 0})
		step.Step = &peerpb.ClaimCommand_MarkUnknown{MarkUnknown: &peerpb.ClaimMarkUnknown{}}
	}
	sim.network = append(sim.network, step)
	return nil
}

// giveUp abandons an attempt that was not granted.
func (sim *simulation) giveUp(c *caller) {
	if c.done || c.granted {
		return
	}
	c.done = true
	sim.network = append(sim.network, abandonStep(c.key, c.id))
}

// settle acts as an operator who asks the service before settling a claim.
func (sim *simulation) settle(key Key) {
	c := sim.table.claims[key]
	if c == nil {
		return
	}
	ran := false
	for _, s := range sim.sent {
		ran = ran || (s.key == key && s.ran && sim.nowMS >= s.until)
	}
	step := newStep(key, c.GetAttempt())
	step.Step = &peerpb.ClaimCommand_Settle{Settle: &peerpb.ClaimSettle{Ran: ran}}
	sim.table.Apply(sim.nowMS, step)
}

func simulate(seed int, faults injectedFaults) error {
	sim := &simulation{table: NewTable()}
	sim.table.faults = faults
	for _, choice := range randomSteps().Example(seed) {
		if err := sim.step(choice); err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
	}
	return nil
}

// TestKeyRunsAtMostOnce guards against a second request with a key whose first
// request ran or may run. It simulates crashes, resends, lost and delayed steps,
// expired leases, operators' verdicts and restarts.
func TestKeyRunsAtMostOnce(t *testing.T) {
	for seed := range simulationSeeds {
		require.NoError(t, simulate(seed, injectedFaults{}))
	}
}

// TestSimulationDetectsInjectedFaults verifies that the simulation above fails for
// each injected fault.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"unknown claims granted": {grantUnknown: true},
		"any attempt may finish": {anyHolder: true},
		"settled before lease":   {settleEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			seed := slices.IndexFunc(seeds(), func(seed int) bool { return simulate(seed, faults) != nil })
			assert.NotEqual(t, -1, seed, "no seed showed the fault")
			t.Log(simulate(max(seed, 0), faults))
		})
	}
}

func seeds() []int {
	out := make([]int, simulationSeeds)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestAbandonedAttemptIsNeverGranted guards against a delayed opening step that
// claims the key for an attempt which its entry abandoned before. The injected fault
// ignores the stored attempts.
func TestAbandonedAttemptIsNeverGranted(t *testing.T) {
	for _, injected := range []bool{false, true} {
		table := NewTable()
		table.faults.ignoreSpent = injected
		key := Key{Account: "desk", Value: "k1"}
		table.Apply(0, abandonStep(key, "a1"))
		step := newStep(key, "a1")
		step.Step = &peerpb.ClaimCommand_Open{Open: &peerpb.ClaimOpen{LeaseMs: 1}}
		res := table.Apply(1, step)
		assert.Equal(t, injected, res.GetClaim().GetState() == peerpb.ClaimState_CLAIM_STATE_GRANTED)
	}
}

// TestReplicasAgree guards against a table that behaves differently after a restore
// from a snapshot. It compares a table that restarts with one that does not, over
// several days.
func TestReplicasAgree(t *testing.T) {
	for seed := range simulationSeeds / 10 {
		plain, restarting := NewTable(), NewTable()
		var now int64
		for i, choice := range randomSteps().Example(seed) {
			now += int64(choice.pick) * int64(choice.action) / 2
			step := newStep(Key{Account: "desk", Value: fmt.Sprint("k", choice.pick%3)}, fmt.Sprint("a", choice.pick%7))
			switch choice.action % 5 {
			case 0, 1:
				step.Step = &peerpb.ClaimCommand_Open{Open: &peerpb.ClaimOpen{LeaseMs: int64(choice.pick % 5000)}}
			case 2:
				step.Step = &peerpb.ClaimCommand_Record{Record: &peerpb.ClaimAnswer{Status: 201}}
			case 3:
				step.Step = &peerpb.ClaimCommand_Abandon{Abandon: &peerpb.ClaimAbandon{}}
			default:
				step.Step = &peerpb.ClaimCommand_Settle{Settle: &peerpb.ClaimSettle{Ran: choice.flag}}
			}
			plain.Prune(now)
			restarting.Prune(now)
			want, got := plain.Apply(now, step), restarting.Apply(now, step)
			require.True(t, proto.Equal(want, got), "seed %d, step %d: %v, %v", seed, i, want, got)
			if choice.action < 20 {
				restarting = copied(t, restarting)
			}
		}
		assert.Equal(t, len(plain.Records()), len(restarting.Records()))
		assert.Equal(t, plain.answersBytes, restarting.answersBytes)
	}
}

// copied returns a copy restored from an encoded snapshot, as on another keeper. It
// shares no memory with the table.
func copied(t *testing.T, table *Table) *Table {
	data, err := proto.Marshal(&peerpb.Snapshot{Claims: table.Records(), SpentAttempts: table.SpentAttempts()})
	require.NoError(t, err)
	var snapshot peerpb.Snapshot
	require.NoError(t, proto.Unmarshal(data, &snapshot))
	fresh := NewTable()
	fresh.Restore(snapshot.GetClaims(), snapshot.GetSpentAttempts())
	return fresh
}
