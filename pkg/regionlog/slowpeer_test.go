package regionlog

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// slowLinkRate is what a keeper with little processor takes in from a link per tick of 50 ms:
	// 300 KB/s.
	slowLinkRate = 15 << 10
	// fastLinkRate does not limit a link.
	fastLinkRate = 1 << 30
	// largeCommand is the size of a configuration of thousands of routes.
	largeCommand = 40 << 10
)

// orderedLink carries messages in order, as one stream does, at a limited rate.
type orderedLink struct {
	queue []queuedMessage
	// rate is in bytes per tick, credit what is left of it.
	rate, credit int
	// delay is the time on the link in ticks.
	delay int
	// entryBytes counts the entries that were put on the link.
	entryBytes int
}

// queuedMessage is a message that arrives no earlier than at the tick due.
type queuedMessage struct {
	message *peerpb.LogMessage
	due     int
}

// rateNetwork delivers messages in order over links of limited rates.
type rateNetwork struct {
	*network
	links map[[2]uint64]*orderedLink
	ticks int
}

func newRateNetwork(voters int) *rateNetwork {
	n := &rateNetwork{network: newNetwork(faultNone, voters), links: map[[2]uint64]*orderedLink{}}
	n.maxAppendBytes, n.maxWindowBytes, n.maxWindowEntries = 128<<10, 1<<20, 8192
	for _, id := range n.ids() {
		n.start(n.nodes[id])
	}
	return n
}

func (n *rateNetwork) link(from, to uint64) *orderedLink {
	key := [2]uint64{from, to}
	if n.links[key] == nil {
		n.links[key] = &orderedLink{rate: fastLinkRate}
	}
	return n.links[key]
}

func entryBytes(m *peerpb.LogMessage) (size int) {
	for _, e := range m.GetEntries() {
		size += len(e.GetData())
	}
	return size
}

// collect moves what the keepers sent onto the links.
func (n *rateNetwork) collect() {
	for _, m := range n.inFlight {
		l := n.link(m.GetFrom(), m.GetTo())
		l.queue = append(l.queue, queuedMessage{m, n.ticks + l.delay})
		l.entryBytes += entryBytes(m)
	}
	n.inFlight = nil
}

// step advances time by one tick.
func (n *rateNetwork) step() {
	n.ticks++
	for _, id := range n.ids() {
		n.tick(n.nodes[id])
	}
	n.collect()
	for _, l := range n.links {
		l.credit += l.rate
	}
	for delivered := true; delivered; {
		delivered = false
		for _, from := range n.ids() {
			for _, to := range n.ids() {
				delivered = n.deliverNext(n.link(from, to)) || delivered
			}
		}
	}
	for _, l := range n.links {
		if len(l.queue) == 0 {
			l.credit = 0
		}
	}
}

// deliverNext delivers the first message of a link if its rate allows.
func (n *rateNetwork) deliverNext(l *orderedLink) bool {
	if len(l.queue) == 0 || n.ticks < l.queue[0].due || l.credit < entryBytes(l.queue[0].message) {
		return false
	}
	m := l.queue[0].message
	l.queue, l.credit = l.queue[1:], l.credit-entryBytes(m)
	n.inFlight = append(n.inFlight, m)
	n.deliver(len(n.inFlight)-1, false)
	n.collect()
	return true
}

// electedRateNetwork returns the leader of a network with three voters, of which the one returned as lost does
// not run, and a learner on the lost one's node that the leader reaches over a link of its own.
func electedRateNetwork(t *testing.T, commands int) (n *rateNetwork, leader, learner *keeperNode, lost uint64) {
	t.Helper()
	n = newRateNetwork(3)
	for range 4 * testElectionTicks {
		n.step()
	}
	leader = n.leader()
	require.NotNil(t, leader)
	for i := range commands {
		n.propose(leader, fmt.Sprintf("%*d", largeCommand, i), 0, crashNever)
		n.step()
	}
	for _, id := range n.ids() {
		if id != leader.identity {
			lost = id
		}
	}
	n.crash(n.nodes[lost])
	learner = n.addEmptyKeeper(n.nodes[lost].nodeID)
	n.start(learner)
	_, _, err := leader.machine.ProposeMembership(0, &peerpb.MembershipChange{
		Action: peerpb.MembershipChange_ACTION_ADD_LEARNER, Identity: learner.identity, NodeId: learner.nodeID,
	})
	require.NoError(t, err)
	n.processReady(leader, crashNever)
	return n, leader, learner, lost
}

// Guards against entries that are sent to a slow keeper again while the first copy is on its way,
// so that a keeper which lost its disk is not promoted while the configuration changes.
func TestSlowLearnerIsSentEachEntryOnce(t *testing.T) {
	const before = 56
	n, leader, learner, _ := electedRateNetwork(t, before)
	n.link(leader.identity, learner.identity).rate = slowLinkRate
	const changeTicks = 6
	changes, caughtUpAt := 0, 0
	for tick := 1; tick <= 1200 && caughtUpAt == 0; tick++ {
		if tick%changeTicks == 0 {
			changes++
			n.propose(leader, fmt.Sprintf("%*d", largeCommand, changes), 0, crashNever)
		}
		n.step()
		if leader.machine.caughtUp(learner.identity) {
			caughtUpAt = tick
		}
	}
	require.NoError(t, n.violation)
	needed := (before + changes) * largeCommand
	sent := n.link(leader.identity, learner.identity).entryBytes
	t.Logf("caught up after %d ticks, %d bytes sent of %d needed", caughtUpAt, sent, needed)
	require.NotZero(t, caughtUpAt, "caught up")
	require.LessOrEqual(t, sent, needed*5/4, "bytes sent to the learner")
	// The link needs 264 ticks for what was there and what comes meanwhile.
	require.LessOrEqual(t, caughtUpAt, 400, "ticks until the learner has caught up")
}

// Guards against a learner that is not promoted because changes come faster than it acknowledges them.
func TestLearnerIsPromotedWhileConfigurationChanges(t *testing.T) {
	n, leader, learner, lost := electedRateNetwork(t, 4)
	n.link(leader.identity, learner.identity).delay = 4
	n.link(learner.identity, leader.identity).delay = 4
	// A change is committed every 300 ms and acknowledged by the learner after 400 ms; the leader looks each 250 ms.
	const changeTicks, lookTicks = 6, 5
	promotedAt := 0
	for tick := 1; tick <= 400 && promotedAt == 0; tick++ {
		if tick%changeTicks == 0 {
			n.propose(leader, fmt.Sprintf("%*d", largeCommand, tick), 0, crashNever)
		}
		if change := leader.machine.NextReplacement(); tick%lookTicks == 0 && change != nil {
			_, _, _ = leader.machine.ProposeMembership(0, change)
			n.processReady(leader, crashNever)
		}
		n.step()
		if member, ok := FindMember(leader.machine.log.membership(), learner.identity); ok && !member.GetLearner() {
			promotedAt = tick
		}
	}
	require.NoError(t, n.violation)
	t.Logf("promoted after %d ticks", promotedAt)
	require.NotZero(t, promotedAt, "promoted")
	require.LessOrEqual(t, promotedAt, 40, "ticks until the learner has the vote")
	_, listed := FindMember(leader.machine.log.membership(), lost)
	require.False(t, listed, "the lost identity is a member")
}

// Guards against entries that are lost on their way and sent again only after a timeout.
func TestLostEntriesAreSentAgainAfterNextHeartbeat(t *testing.T) {
	n, leader, learner, _ := electedRateNetwork(t, 4)
	for range 2 * testElectionTicks {
		n.step()
	}
	require.True(t, leader.machine.caughtUp(learner.identity))
	n.propose(leader, "lost", 0, crashNever)
	n.collect()
	n.link(leader.identity, learner.identity).queue = nil
	for range 2 * n.nodes[leader.identity].machine.cfg.HeartbeatTicks {
		n.step()
	}
	require.Equal(t, leader.machine.log.last(), leader.machine.progress[learner.identity].match)
}

// Guards against a snapshot that is sent again while it is on its way, as entries sent before it were lost. It takes another
// connection than heartbeats, so that a response to them says nothing of it.
func TestSnapshotOnItsWayIsNotSentAgain(t *testing.T) {
	n, leader, learner, _ := electedRateNetwork(t, 4)
	n.compact(leader, 0)
	p := leader.machine.progress[learner.identity]
	p.replicating, p.next = true, leader.machine.log.base.Index
	p.inFlight = []sentEntries{{last: p.next}}
	leader.machine.sendAppend(learner.identity, p)
	require.True(t, p.installing)
	require.NoError(t, leader.machine.Step(&peerpb.LogMessage{
		Kind: peerpb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, From: learner.identity, To: leader.identity, Term: leader.machine.term, Read: leader.machine.reads.sent,
	}))
	require.True(t, p.installing)
}
