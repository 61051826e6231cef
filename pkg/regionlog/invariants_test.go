package regionlog

import (
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

// healthy reports whether every keeper runs, is a voter that still has its disk,
// and has no pending membership change. After one more loss a majority then still
// holds all acknowledged entries.
func (n *network) healthy() bool {
	return lo.EveryBy(lo.Values(n.nodes), func(k *keeperNode) bool {
		if k.machine == nil || k.frozen || k.machine.log.changePending() {
			return false
		}
		voters := Voters(k.machine.log.membership())
		return slices.Equal(voters, n.ids())
	})
}

// checkLogs checks the log matching property: if two logs have an entry with the
// same index and term, they are identical up to that entry.
func (n *network) checkLogs() {
	ids := n.ids()
	for i, a := range ids {
		for _, b := range ids[i+1:] {
			n.checkLogPair(n.nodes[a], n.nodes[b])
		}
	}
}

func (n *network) checkLogPair(a, b *keeperNode) {
	if a.machine == nil || b.machine == nil {
		return
	}
	logA, logB := a.machine.log, b.machine.log
	agreed := false
	for i := min(logA.last(), logB.last()); i > max(logA.base.Index, logB.base.Index); i-- {
		same := proto.Equal(logA.at(i), logB.at(i))
		if agreed && !same {
			n.fail("keepers %d and %d have the same entry after entry %d but differ at it", a.identity, b.identity, i)
		}
		agreed = agreed || logA.at(i).GetTerm() == logB.at(i).GetTerm()
		if agreed && !same {
			n.fail("keepers %d and %d have different entries %d with the same term", a.identity, b.identity, i)
		}
	}
}

// converge repairs all links and keepers, runs the network, and checks that every
// keeper has applied the same log.
func (n *network) converge() {
	n.cut = map[[2]uint64]bool{}
	n.targetVoters = 0
	for _, k := range n.nodes {
		k.frozen = false
		if k.machine == nil {
			n.start(k)
		}
	}
	const rounds = 40 * testElectionTicks
	for range rounds {
		for _, id := range n.ids() {
			n.tick(n.nodes[id])
		}
		n.drain()
		n.repair()
	}
	n.checkLogs()
	if k := n.leader(); k == nil {
		n.fail("no leader although all links are restored")
	} else if k.machine.log.commit < n.acknowledged {
		n.fail("acknowledged entry %d is lost: the leader's commit index is %d", n.acknowledged, k.machine.log.commit)
	} else {
		n.checkApplied(k)
	}
}

func (n *network) checkApplied(leader *keeperNode) {
	for _, id := range n.ids() {
		k := n.nodes[id]
		if k.applied != leader.applied || !slices.Equal(k.state, leader.state) {
			n.fail("keeper %d applied %d %v, the leader %d applied %d %v", id, k.applied, k.state, leader.identity, leader.applied, leader.state)
		}
	}
}

// drain delivers messages until none is in flight.
func (n *network) drain() {
	const limit = 10000
	for range limit {
		if len(n.inFlight) == 0 {
			return
		}
		n.deliver(0, false)
	}
	n.fail("messages are still in flight after the maximum number of deliveries")
}
