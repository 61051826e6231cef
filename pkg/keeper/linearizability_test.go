package keeper

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// operation is one call on the single object of the history.
type operation struct {
	read bool
	// expected is the expected revision of a change.
	expected uint64
}

// callResult is the result of a call.
type callResult struct {
	revision uint64
	refused  bool
	unknown  bool
}

// registerModel is a compare-and-set register of the object's revision. A change
// with an unknown outcome may take effect at any time after its call, or never,
// which is equivalent to taking effect after all other calls.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, op, result := state.(uint64), input.(operation), output.(callResult)
		switch {
		case op.read:
			return result.revision == current, current
		case result.refused:
			return op.expected != current, current
		case op.expected != current:
			return result.unknown, current
		default:
			return result.unknown || result.revision == current+1, current + 1
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// history records the calls of concurrent clients.
type history struct {
	mu    sync.Mutex
	calls []porcupine.Operation
	// notRun holds the changes that were rejected with the outcome not-run.
	notRun []*peerpb.ProposeRequest
}

func (h *history) addNotRun(change *peerpb.ProposeRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notRun = append(h.notRun, change)
}

func (h *history) add(client int, op operation, call int64, result callResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returnTime := time.Now().UnixNano()
	if result.unknown {
		returnTime = math.MaxInt64
	}
	h.calls = append(h.calls, porcupine.Operation{ClientId: client, Input: op, Call: call, Output: result, Return: returnTime})
}

// runClient reads and changes the object through random keepers.
func (c *cluster) runClient(h *history, id int, random *rand.Rand, calls int) {
	var seen uint64
	for i := range calls {
		m := c.pick(random)
		call := time.Now().UnixNano()
		if random.IntN(2) == 0 {
			err := m.keeper.ReadConfirmed(context.Background(), func() { seen = m.machine.Revision() })
			if err == nil {
				h.add(id, operation{read: true}, call, callResult{revision: seen})
			}
			continue
		}
		op := operation{expected: seen}
		change := casChange(fmt.Sprint(id, "-", i), seen)
		resp, err := m.keeper.Propose(context.Background(), change)
		result := resp.GetResult()
		switch {
		case err == nil:
			h.add(id, op, call, callResult{revision: result.GetObjectRevision(), refused: result.GetFaultKind() != ""})
			seen = result.GetObjectRevision()
		case FaultOf(err).Outcome != fault.NotRun:
			h.add(id, op, call, callResult{unknown: true})
		default:
			h.addNotRun(change)
		}
		<-time.After(time.Duration(random.IntN(100)) * time.Millisecond)
	}
}

func casChange(changeID string, expected uint64) *peerpb.ProposeRequest {
	return &peerpb.ProposeRequest{Command: &peerpb.Command{Body: &peerpb.Command_ConfigChange{ConfigChange: &peerpb.ConfigChange{
		ChangeId: changeID, Kind: "labels", Name: "vm", ExpectedRevision: expected, Spec: []byte(`{}`),
	}}}}
}

// pick returns a random running keeper.
func (c *cluster) pick(random *rand.Rand) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := lo.Keys(c.listeners)
	slices.Sort(ids)
	return c.members[ids[random.IntN(len(ids))]]
}

// injectFaults injects one fault at a time until done is closed.
func (c *cluster) injectFaults(random *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(500+random.IntN(2000)) * time.Millisecond):
		}
		m := c.pick(random)
		id := m.keeper.opts.NodeID
		outage := time.Duration(random.IntN(3000)) * time.Millisecond
		switch random.IntN(3) {
		case 0:
			c.stop(m, m.keeper.Kill)
			<-time.After(outage)
			c.start(id)
		case 1:
			c.setPartitioned(id, true)
			<-time.After(outage)
			c.setPartitioned(id, false)
		default:
			c.setDropping(id, true)
			<-time.After(outage)
			c.setDropping(id, false)
		}
	}
}

// Guards against lost, reordered or stale results while keepers are killed, partitioned
// or lose packets: changes and confirmed reads of one object through all keepers must be
// linearizable, and a change rejected as not-run must not have been applied.
func TestHistoryUnderFaultsIsLinearizable(t *testing.T) {
	const seeds, clients, calls = 4, 4, 60
	for seed := range uint64(seeds) {
		inCluster(t, func(c *cluster) {
			var h history
			var running, injecting sync.WaitGroup
			done := make(chan struct{})
			injecting.Go(func() { c.injectFaults(rand.New(rand.NewPCG(seed, 0)), done) })
			for id := range clients {
				running.Go(func() { c.runClient(&h, id, rand.New(rand.NewPCG(seed, uint64(id+1))), calls) })
			}
			running.Wait()
			close(done)
			injecting.Wait()
			assert.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, h.calls, 0), "seed %d", seed)
			for _, change := range h.notRun {
				resp, err := c.leader().keeper.Propose(context.Background(), change)
				assert.NoError(t, err)
				assert.False(t, resp.GetResult().GetRepeated(), "seed %d: %v was applied", seed, change)
			}
			changes := lo.CountBy(h.calls, func(o porcupine.Operation) bool { return !o.Input.(operation).read })
			unknown := lo.CountBy(h.calls, func(o porcupine.Operation) bool { return o.Output.(callResult).unknown })
			t.Logf("seed %d: %d calls, %d changes, %d unknown, %d not run", seed, len(h.calls), changes, unknown, len(h.notRun))
		})
	}
}
