package regionlog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testFirstTicks = 4

// step ticks every keeper once and delivers all messages.
func (n *network) step() {
	for _, id := range n.ids() {
		n.tick(n.nodes[id])
	}
	n.drain()
}

// Guards against a slow first election: after a power loss all keepers start together
// without a leader, and callers wait until one is elected.
func TestSimultaneousStartElectsWithinElectionTimeout(t *testing.T) {
	for _, voters := range []int{3, 5} {
		n := newNetwork(faultNone, voters)
		n.firstElectionTicks = testFirstTicks
		for _, k := range n.nodes {
			n.crash(k)
			n.start(k)
		}
		for range testElectionTicks - 1 {
			n.step()
		}
		assert.NotNil(t, n.leader(), "%d voters", voters)
		require.NoError(t, n.violation)
	}
}

// Guards against a leader change caused by a restarted voter: its first election
// timeout is short, but the other voters still receive heartbeats from the leader.
func TestRestartedVoterDoesNotDisruptLeader(t *testing.T) {
	n := newNetwork(faultNone, 3)
	n.firstElectionTicks = testFirstTicks
	for range 4 * testElectionTicks {
		n.step()
	}
	leader := n.leader()
	require.NotNil(t, leader)
	term := leader.machine.term
	for _, id := range n.ids() {
		if k := n.nodes[id]; k != leader {
			n.isolate(k)
			n.crash(k)
			n.start(k)
			for range testFirstTicks * 2 {
				n.step()
			}
			clear(n.cut)
			for range testElectionTicks {
				n.step()
			}
		}
	}
	assert.Equal(t, leader, n.leader())
	assert.Equal(t, term, leader.machine.term)
	require.NoError(t, n.violation)
}
