package regionlog

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// upgrade restarts a keeper with a later revision.
func (n *network) upgrade(k *keeperNode) {
	if n.revisions == nil {
		n.revisions = map[string]uint32{}
	}
	n.revisions[k.nodeID] = 1
	n.crash(k)
	n.start(k)
}

// takeoverTicks is the longest time before the first takeover, and that of an election.
const takeoverTicks = 4*testElectionTicks + 2*testElectionTicks

// Guards against an upgrade in which a keeper of an earlier version leads on, and replaces
// lost voters only after its own, longer time.
func TestUpgradedVoterTakesLeadershipOver(t *testing.T) {
	n := electedNetwork(t)
	old := n.leader()
	followers := lo.Filter(n.ids(), func(id uint64, _ int) bool { return id != old.identity })
	upgraded := n.nodes[followers[0]]
	n.upgrade(upgraded)
	n.stepFor(takeoverTicks)
	require.Same(t, upgraded, n.leader())
	term := upgraded.machine.term
	for _, id := range n.ids() {
		if id != upgraded.identity {
			n.upgrade(n.nodes[id])
			n.stepFor(takeoverTicks)
		}
	}
	n.stepFor(takeoverTicks)
	require.Same(t, upgraded, n.leader(), "nothing is left to take over")
	require.Equal(t, term, upgraded.machine.term)
	require.NoError(t, n.violation)
}

// Guards against two upgraded voters that disturb each other without end, and against a
// leader that is challenged again and again although it can't be replaced.
func TestUpgradedVotersTakeOverOnce(t *testing.T) {
	n := electedNetwork(t)
	old := n.leader()
	for _, id := range n.ids() {
		if id != old.identity {
			n.upgrade(n.nodes[id])
		}
	}
	n.stepFor(4 * takeoverTicks)
	leader := n.leader()
	require.NotSame(t, old, leader)
	term := leader.machine.term
	n.stepFor(4 * takeoverTicks)
	require.Equal(t, term, leader.machine.term)
	require.NoError(t, n.violation)
}

// Guards against a takeover by a keeper that cannot lead: a learner, or one whose log is not
// known to be whole.
func TestTakeoverNeedsVoteAndWholeLog(t *testing.T) {
	n := electedNetwork(t)
	leader := n.leader()
	spare := n.addEmptyKeeper("spare")
	n.upgrade(spare)
	n.repair()
	n.stepFor(2 * takeoverTicks)
	require.Same(t, leader, n.leader(), "a learner has no vote")
	follower := n.nodes[lo.Without(n.ids(), leader.identity, spare.identity)[0]]
	n.upgrade(follower)
	for range 2 * takeoverTicks {
		follower.machine.log.commit--
		require.False(t, follower.machine.takesOver(), "an entry is not known to be committed")
		follower.machine.log.commit++
	}
}
