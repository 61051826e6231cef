package state

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	historySeeds   = 150
	historySteps   = 160
	historyClients = 4
	historyNodes   = 3
)

// registers are the names of the objects and keys that clients access concurrently.
var registers = []string{"r0", "r1"}

// intent is the input of an operation: a compare-and-set or a read of an object, or
// a step of a claim.
type intent struct {
	register string
	claim    bool
	read     bool
	expected uint64
	attempt  string
	abandon  bool
}

// outcome is the output of an operation. A client that gave up has none.
type outcome struct {
	gaveUp   bool
	ok       bool
	revision uint64
	state    peerpb.ClaimState
}

// replica is a copy of the machine and the snapshot from which it can restart.
type replica struct {
	machine  *Machine
	applied  int
	snapshot []byte
	// snapshotIndex is the number of commands that the snapshot covers.
	snapshotIndex int
}

// cluster is a committed log with replicas that restart and become leader.
type cluster struct {
	t        require.TestingT
	log      []*peerpb.Command
	replicas []*replica
	leader   int
}

func newCluster(t require.TestingT, faults injectedFaults) *cluster {
	c := &cluster{t: t}
	for range historyNodes {
		m := New()
		m.faults = faults
		data, err := m.Snapshot()
		require.NoError(t, err)
		c.replicas = append(c.replicas, &replica{machine: m, snapshot: data})
	}
	return c
}

// commit appends a command to the log and returns the result at the leader.
func (c *cluster) commit(cmd *peerpb.Command) (res *peerpb.Result) {
	clone, _ := proto.Clone(cmd).(*peerpb.Command)
	clone.LeaderTimeMs = int64(len(c.log))
	c.log = append(c.log, clone)
	return c.catchUp(c.replicas[c.leader])
}

func (c *cluster) catchUp(r *replica) (last *peerpb.Result) {
	for ; r.applied < len(c.log); r.applied++ {
		last = r.machine.Apply(uint64(r.applied+1), c.log[r.applied])
	}
	return last
}

func (c *cluster) takeSnapshot(r *replica) {
	data, err := r.machine.Snapshot()
	require.NoError(c.t, err)
	r.snapshot, r.snapshotIndex = data, r.applied
}

func (c *cluster) restart(r *replica) {
	fresh := New()
	fresh.faults = r.machine.faults
	require.NoError(c.t, fresh.Restore(r.snapshot))
	r.machine, r.applied = fresh, r.snapshotIndex
}

// operation is one call of a client, which sends it until it gets an answer.
type operation struct {
	client int
	intent intent
	cmd    *peerpb.Command
	call   int64
}

// recorder drives clients against a cluster and records the history.
type recorder struct {
	cluster *cluster
	clock   int64
	// pending are the operations without an answer, completed those whose commands may
	// be delivered again although the client got an answer or gave up.
	pending      []*operation
	completed    []*operation
	history      []porcupine.Operation
	commandCount int
	// lastSeen is the last revision of each object that a client observed.
	lastSeen map[string]uint64
	// opened are the opening steps whose client got an answer or gave up.
	opened []intent
}

// noReturn is the return time of an operation whose client gave up.
const noReturn = int64(1) << 60

type randomStep struct{ action, pick, other int }

func randomSteps() *rapid.Generator[[]randomStep] {
	one := rapid.Custom(func(t *rapid.T) randomStep {
		draw := func(label string) int { return rapid.IntRange(0, 999).Draw(t, label) }
		return randomStep{draw("what"), draw("pick"), draw("other")}
	})
	return rapid.SliceOfN(one, historySteps, historySteps)
}

func (r *recorder) step(choice randomStep) {
	r.clock++
	c := r.cluster
	switch {
	case choice.action < 250 && len(r.pending) < historyClients:
		r.start(choice)
	case choice.action < 600 && len(r.pending) > 0:
		r.deliver(choice.pick%len(r.pending), choice.other%3 == 0)
	case choice.action < 640 && len(r.pending) > 0:
		r.giveUp(choice.pick % len(r.pending))
	case choice.action < 750 && len(r.completed) > 0:
		c.commit(r.completed[choice.pick%len(r.completed)].cmd)
	case choice.action < 850:
		c.leader = choice.pick % historyNodes
		c.catchUp(c.replicas[c.leader])
	case choice.action < 920:
		c.takeSnapshot(c.replicas[choice.pick%historyNodes])
	default:
		c.restart(c.replicas[choice.pick%historyNodes])
		c.catchUp(c.replicas[c.leader])
	}
}

func (r *recorder) start(choice randomStep) {
	client := 0
	for slices.ContainsFunc(r.pending, func(o *operation) bool { return o.client == client }) {
		client++
	}
	r.commandCount++
	op := &operation{client: client, call: r.clock, intent: r.intent(choice)}
	op.cmd = op.intent.command(r.commandCount)
	r.pending = append(r.pending, op)
}

func (r *recorder) intent(choice randomStep) intent {
	register := registers[choice.pick%len(registers)]
	switch choice.other % 5 {
	case 0:
		return intent{register: register, read: true}
	case 1, 2:
		return intent{register: register, expected: r.lastSeen[register]}
	case 3:
		return intent{register: register, claim: true, attempt: fmt.Sprint("a", r.commandCount)}
	default:
		if len(r.opened) == 0 {
			return intent{register: register, read: true}
		}
		abandon := r.opened[choice.pick%len(r.opened)]
		abandon.abandon = true
		return abandon
	}
}

func (i intent) command(number int) *peerpb.Command {
	switch {
	case i.claim:
		step := &peerpb.ClaimCommand{Key: &peerpb.ClaimKey{Account: "desk", Value: i.register}, Attempt: i.attempt}
		step.Step = &peerpb.ClaimCommand_Open{Open: &peerpb.ClaimOpen{LeaseMs: claims.Retention.Milliseconds()}}
		if i.abandon {
			step.Step = &peerpb.ClaimCommand_Abandon{Abandon: &peerpb.ClaimAbandon{}}
		}
		return &peerpb.Command{Body: &peerpb.Command_Claim{Claim: step}}
	case i.read:
		return &peerpb.Command{}
	default:
		return command(&peerpb.ConfigChange{
			ChangeId: fmt.Sprint("change-", number), Kind: string(api.KindLabels), Name: i.register,
			ExpectedRevision: i.expected, Spec: []byte(`{"labels":{}}`),
		}, 0)
	}
}

// deliver commits an operation's command. If the answer is lost, the operation
// stays open and the client sends the command again later.
func (r *recorder) deliver(i int, lost bool) {
	op := r.pending[i]
	res := r.cluster.commit(op.cmd)
	if lost {
		return
	}
	r.pending = slices.Delete(r.pending, i, i+1)
	if !op.intent.read {
		r.completed = append(r.completed, op)
	}
	out := r.outcome(op.intent, res)
	r.clock++
	r.record(op, out, r.clock)
}

func (r *recorder) record(op *operation, out outcome, returnTime int64) {
	if op.intent.claim && !op.intent.abandon {
		r.opened = append(r.opened, op.intent)
	}
	r.history = append(r.history, porcupine.Operation{
		ClientId: op.client, Input: op.intent, Call: op.call, Output: out, Return: returnTime,
	})
}

// giveUp ends an opening step without an answer. Its command may still be
// committed later.
func (r *recorder) giveUp(i int) {
	op := r.pending[i]
	if !op.intent.claim || op.intent.abandon {
		return
	}
	r.pending = slices.Delete(r.pending, i, i+1)
	r.completed = append(r.completed, op)
	r.record(op, outcome{gaveUp: true}, noReturn)
}

func (r *recorder) outcome(i intent, res *peerpb.Result) outcome {
	if i.claim {
		return outcome{state: res.GetClaim().GetState()}
	}
	revision := res.GetObjectRevision()
	if i.read {
		object, _ := r.cluster.replicas[r.cluster.leader].machine.Config().Object(api.KindLabels, i.register)
		revision = object.Revision
	}
	r.lastSeen[i.register] = revision
	return outcome{ok: res.GetFaultKind() != string(fault.Conflict), revision: revision}
}

// linearState is the state of the sequential model: the revision of a register, or
// the holder and the abandoned attempts of a claim.
type linearState struct {
	revision  uint64
	holder    string
	abandoned string
}

var linearModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			in, _ := op.Input.(intent)
			key := fmt.Sprint(in.register, in.claim)
			parts[key] = append(parts[key], op)
		}
		var out [][]porcupine.Operation
		for _, part := range parts {
			out = append(out, part)
		}
		return out
	},
	Init: func() any { return linearState{} },
	Step: func(s, input, output any) (bool, any) {
		state, _ := s.(linearState)
		in, _ := input.(intent)
		out, _ := output.(outcome)
		if in.claim {
			return stepClaim(state, in, out)
		}
		return stepRegister(state, in, out)
	},
}

func stepRegister(state linearState, in intent, out outcome) (bool, any) {
	switch {
	case in.read:
		return out.revision == state.revision, state
	case in.expected != state.revision:
		return !out.ok && out.revision == state.revision, state
	default:
		return out.ok && out.revision > state.revision, linearState{revision: out.revision}
	}
}

func stepClaim(state linearState, in intent, out outcome) (bool, any) {
	const (
		none       = peerpb.ClaimState_CLAIM_STATE_NONE
		granted    = peerpb.ClaimState_CLAIM_STATE_GRANTED
		inProgress = peerpb.ClaimState_CLAIM_STATE_IN_PROGRESS
	)
	observed := func(s peerpb.ClaimState) bool { return out.gaveUp || out.state == s }
	switch {
	case in.abandon:
		state.abandoned += in.attempt + ","
		if state.holder == in.attempt {
			state.holder = ""
		}
		return true, state // Entries ignore the result of an abandon step.
	case slices.Contains(strings.Split(state.abandoned, ","), in.attempt):
		return observed(none), state
	case state.holder != "":
		return observed(inProgress), state
	default:
		state.holder = in.attempt
		return observed(granted), state
	}
}

// isLinearizable generates a history from a seed and checks it.
func isLinearizable(t require.TestingT, seed int, faults injectedFaults) bool {
	r := &recorder{cluster: newCluster(t, faults), lastSeen: map[string]uint64{}}
	for _, choice := range randomSteps().Example(seed) {
		r.step(choice)
	}
	for len(r.pending) > 0 {
		r.clock++
		r.deliver(0, false)
	}
	return porcupine.CheckOperations(linearModel, r.history)
}

// TestHistoriesAreLinearizable guards against changes, reads and claims that are
// not linearizable under lost answers, resends, late duplicates, restarts from
// snapshots and leader changes.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range historySeeds {
		require.True(t, isLinearizable(t, seed, injectedFaults{}), "seed %d", seed)
	}
}

// TestLinearizabilityCheckDetectsInjectedFaults verifies that the check above fails
// for each injected fault.
func TestLinearizabilityCheckDetectsInjectedFaults(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"no compare before set":           {skipRevisionCheck: true},
		"resent change runs again":        {reapplyResentChange: true},
		"snapshot without first results":  {omitChangesFromSnapshot: true},
		"snapshot without spent attempts": {omitSpentFromSnapshot: true},
	} {
		t.Run(name, func(t *testing.T) {
			found := -1
			for seed := 0; seed < historySeeds && found < 0; seed++ {
				if !isLinearizable(t, seed, faults) {
					found = seed
				}
			}
			assert.NotEqual(t, -1, found, "no seed showed the fault")
			t.Logf("seed %d", found)
		})
	}
}
