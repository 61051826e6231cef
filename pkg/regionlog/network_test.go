package regionlog

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// crashPoint is the step of processing a Ready batch after which a keeper is killed.
type crashPoint int

const (
	crashNever crashPoint = iota
	crashBeforeSync
	crashAfterSync
	crashAfterSend
)

// disk is the synced state of a keeper.
type disk struct {
	stored   StoredState
	snapshot *peerpb.LogSnapshot
}

// keeperNode is one keeper of the in-memory network.
type keeperNode struct {
	identity uint64
	nodeID   string
	disk     disk
	machine  *Machine // nil while the keeper is down
	// frozen is true while the keeper keeps its state but processes nothing.
	frozen  bool
	applied uint64
	// state holds the data of the applied commands.
	state []string
	// leaderTimeMS is the leader's time of the last applied entry.
	leaderTimeMS int64
	// clock advances by one with each tick.
	clock int64
}

// readCheck is the lowest index at which a read may be confirmed.
type readCheck struct{ minIndex uint64 }

// network simulates the links between machines and checks the invariants while it
// runs.
type network struct {
	nodes         map[uint64]*keeperNode
	inFlight      []*peerpb.LogMessage
	cut           map[[2]uint64]bool
	injectedFault injectedFault
	nextID        uint64
	// nodeOf maps every identity to its node, including lost identities.
	nodeOf   map[uint64]string
	nextRead uint64
	// maxAppendBytes, maxWindowBytes and maxWindowEntries are those of Config.
	maxAppendBytes, maxWindowBytes int
	maxWindowEntries               uint64
	// firstElectionTicks is Config.FirstElectionTicks of every keeper.
	firstElectionTicks int
	// targetVoters makes repair replace a voter whenever there is a caught-up spare; 0
	// does not.
	targetVoters int
	// revisions are Config.Revision by node; 0 if not listed.
	revisions map[string]uint32
	// demotes has surplus voters demoted instead of removed, demotesLeaders every second time the leader; demotions counts them, ownDemotions
	// those of leaders.
	demotes, demotesLeaders bool
	demotions, ownDemotions int
	reads                   map[uint64]readCheck
	// committed is the first committed entry seen at each index.
	committed    map[uint64]*peerpb.LogEntry
	leaders      map[uint64]uint64
	acknowledged uint64 // highest index applied by the leader that proposed it
	violation    error
	// onReady is called with each batch before it is processed.
	onReady func(*keeperNode, Ready)
	// onRefused is called with each rejected message.
	onRefused func(*keeperNode, *peerpb.LogMessage, error)
}

const (
	testElectionTicks = 10
	// testInheritedSilence is Config.MaxInheritedSilence.
	testInheritedSilence = 3 * testElectionTicks
)

func newNetwork(f injectedFault, voters int) *network {
	n := &network{
		maxAppendBytes: 200, maxWindowBytes: 1000, maxWindowEntries: 8,
		nodes: map[uint64]*keeperNode{}, cut: map[[2]uint64]bool{}, injectedFault: f,
		reads: map[uint64]readCheck{}, committed: map[uint64]*peerpb.LogEntry{}, leaders: map[uint64]uint64{},
		nodeOf: map[uint64]string{}, onRefused: func(*keeperNode, *peerpb.LogMessage, error) {}, onReady: func(*keeperNode, Ready) {},
	}
	membership := &peerpb.Membership{}
	for i := range voters {
		k := n.addEmptyKeeper(fmt.Sprintf("k%d", i+1))
		membership.Members = append(membership.Members, &peerpb.Member{Identity: k.identity, NodeId: k.nodeID})
	}
	for _, k := range n.nodes {
		k.disk.snapshot = &peerpb.LogSnapshot{Index: 1, Term: 1, Membership: membership}
		k.disk.stored = StoredState{HardState: &peerpb.HardState{Term: 1, Commit: 1}, Base: Base{Index: 1, Term: 1, Membership: membership}, Applied: 1}
		n.start(k)
	}
	return n
}

func (n *network) addEmptyKeeper(nodeID string) *keeperNode {
	n.nextID++
	k := &keeperNode{identity: n.nextID, nodeID: nodeID}
	n.nodes[k.identity] = k
	n.nodeOf[k.identity] = nodeID
	return k
}

func (n *network) ids() []uint64 {
	ids := lo.Keys(n.nodes)
	slices.Sort(ids)
	return ids
}

func (n *network) fail(format string, args ...any) {
	if n.violation == nil {
		n.violation = fmt.Errorf(format, args...)
	}
}

func (n *network) start(k *keeperNode) {
	m, err := New(Config{
		Identity: k.identity, ElectionTicks: testElectionTicks, FirstElectionTicks: n.firstElectionTicks, HeartbeatTicks: 2,
		MaxInheritedSilence: testInheritedSilence, Revision: n.revisions[k.nodeID], MaxAppendBytes: n.maxAppendBytes, MaxWindowBytes: n.maxWindowBytes, MaxWindowEntries: n.maxWindowEntries, MaxUncommittedBytes: 1 << 20,
		Seed: k.identity, injectedFault: n.injectedFault,
	}, k.disk.stored)
	if err != nil {
		n.fail("keeper %d does not start: %v", k.identity, err)
		return
	}
	k.machine, k.applied, k.state, k.leaderTimeMS = m, k.disk.stored.Applied, nil, 0
	n.restore(k, k.disk.snapshot)
}

func (n *network) restore(k *keeperNode, s *peerpb.LogSnapshot) {
	if s == nil {
		return
	}
	if s.GetIndex() < k.applied {
		n.fail("keeper %d applied %d and then restored an older snapshot at %d", k.identity, k.applied, s.GetIndex())
	}
	k.applied, k.leaderTimeMS, k.state = s.GetIndex(), s.GetLeaderTimeMs(), nil
	if len(s.GetData()) > 0 {
		k.state = strings.Split(string(s.GetData()), ",")
	}
}

func (n *network) crash(k *keeperNode) { k.machine, k.frozen = nil, false }

// processReady processes every batch that a keeper has ready.
func (n *network) processReady(k *keeperNode, crash crashPoint) {
	for k.machine != nil && !k.frozen {
		ready, ok := k.machine.Ready()
		if !ok {
			break
		}
		n.onReady(k, ready)
		if crash == crashBeforeSync {
			n.crash(k)
			return
		}
		k.disk.sync(ready)
		if crash == crashAfterSync {
			n.crash(k)
			return
		}
		for _, msg := range ready.Messages {
			n.send(k, msg)
		}
		if crash == crashAfterSend {
			n.crash(k)
			return
		}
		n.apply(k, ready)
		k.machine.Advance()
		n.checkSingleLeader(k)
	}
}

func (d *disk) sync(r Ready) {
	if r.Snapshot != nil {
		s := r.Snapshot
		d.snapshot = s
		d.stored.Base = Base{s.GetIndex(), s.GetTerm(), s.GetLeaderTimeMs(), s.GetMembership()}
		d.stored.Entries, d.stored.Applied = nil, s.GetIndex()
	}
	if r.HardState != nil {
		d.stored.HardState = r.HardState
	}
	for _, e := range r.Entries {
		kept := d.stored.Entries[:e.GetIndex()-d.stored.Base.Index-1]
		d.stored.Entries = append(slices.Clone(kept), e)
	}
}

func (n *network) send(k *keeperNode, msg *peerpb.LogMessage) {
	msg, _ = proto.Clone(msg).(*peerpb.LogMessage)
	if msg.GetKind() == peerpb.MessageKind_MESSAGE_KIND_SNAPSHOT {
		msg.Snapshot = k.disk.snapshot
	}
	n.inFlight = append(n.inFlight, msg)
}

func (n *network) apply(k *keeperNode, r Ready) {
	n.restore(k, r.Snapshot)
	for _, e := range r.Committed {
		if e.GetIndex() != k.applied+1 {
			n.fail("keeper %d applied %d after %d", k.identity, e.GetIndex(), k.applied)
		}
		if known, ok := n.committed[e.GetIndex()]; ok && !proto.Equal(known, e) {
			n.fail("entry %d was committed as %s and as %s", e.GetIndex(), entryNames([]*peerpb.LogEntry{known}), entryNames([]*peerpb.LogEntry{e}))
		}
		if e.GetLeaderTimeMs() < k.leaderTimeMS {
			n.fail("leader time went backwards at entry %d", e.GetIndex())
		}
		n.committed[e.GetIndex()] = e
		k.applied, k.leaderTimeMS = e.GetIndex(), e.GetLeaderTimeMs()
		if e.GetKind() == peerpb.EntryKind_ENTRY_KIND_COMMAND {
			k.state = append(k.state, string(e.GetData()))
		}
		if k.machine.role == Leader && e.GetTerm() == k.machine.term {
			n.acknowledged = max(n.acknowledged, e.GetIndex())
		}
	}
	for _, read := range r.Reads {
		if minIndex := n.reads[read.ID].minIndex; read.Index < minIndex {
			n.fail("read %d got index %d, entry %d had been acknowledged before", read.ID, read.Index, minIndex)
		}
	}
}

func (n *network) checkSingleLeader(k *keeperNode) {
	if k.machine == nil || k.machine.role != Leader {
		return
	}
	if other, ok := n.leaders[k.machine.term]; ok && other != k.identity {
		n.fail("keepers %d and %d both lead term %d", other, k.identity, k.machine.term)
	}
	n.leaders[k.machine.term] = k.identity
}

// deliver delivers the i-th message in flight, or drops it if the link is cut.
func (n *network) deliver(i int, duplicate bool) {
	msg := n.inFlight[i]
	if !duplicate {
		n.inFlight = slices.Delete(n.inFlight, i, i+1)
	}
	to := n.recipient(msg)
	if to == nil || to.machine == nil || n.cut[[2]uint64{msg.GetFrom(), msg.GetTo()}] {
		if from := n.nodes[msg.GetFrom()]; from != nil && from.machine != nil {
			from.machine.SnapshotFailed(msg.GetTo())
		}
		return
	}
	if to.frozen {
		n.inFlight = append(n.inFlight, msg)
		return
	}
	copied, _ := proto.Clone(msg).(*peerpb.LogMessage)
	if err := to.machine.Step(copied); err != nil {
		n.onRefused(to, copied, err)
	}
	n.processReady(to, crashNever)
}

// recipient returns the keeper at the address of the target identity. After a lost
// disk this is the same node under a new identity.
func (n *network) recipient(msg *peerpb.LogMessage) *keeperNode {
	if to := n.nodes[msg.GetTo()]; to != nil {
		return to
	}
	for _, k := range n.nodes {
		if k.nodeID == n.nodeOf[msg.GetTo()] {
			return k
		}
	}
	return nil
}

func (n *network) leader() *keeperNode {
	var found *keeperNode
	for _, id := range n.ids() {
		k := n.nodes[id]
		if k.machine != nil && !k.frozen && k.machine.role == Leader && (found == nil || k.machine.term > found.machine.term) {
			found = k
		}
	}
	return found
}

func (n *network) tick(k *keeperNode) {
	if k.machine != nil && !k.frozen {
		k.clock++
		k.machine.Tick()
		n.processReady(k, crashNever)
	}
}

func (n *network) propose(k *keeperNode, data string, clockSkew int64, crash crashPoint) {
	if k.machine == nil || k.frozen {
		return
	}
	if _, _, err := k.machine.Propose(k.clock+clockSkew, []byte(data)); err == nil {
		n.processReady(k, crash)
	}
}

func (n *network) read(k *keeperNode) {
	if k.machine == nil || k.frozen {
		return
	}
	n.nextRead++
	n.reads[n.nextRead] = readCheck{n.acknowledged}
	if k.machine.Read(n.nextRead) == nil {
		n.processReady(k, crashNever)
	}
}

// compact takes a snapshot of a keeper's state and compacts its log, keeping the
// last entries.
func (n *network) compact(k *keeperNode, keep uint64) {
	if k.machine == nil || k.frozen || k.applied <= k.machine.BaseIndex() {
		return
	}
	base := k.machine.BaseAt(k.applied)
	k.disk.snapshot = &peerpb.LogSnapshot{
		Index: base.Index, Term: base.Term, LeaderTimeMs: base.LeaderTimeMs,
		Membership: base.Membership, Data: []byte(strings.Join(k.state, ",")),
	}
	k.disk.stored.Applied = base.Index
	cutAt := max(k.machine.BaseIndex(), base.Index-min(keep, base.Index))
	k.disk.stored.Base = k.machine.BaseAt(cutAt)
	k.disk.stored.Entries = slices.Clone(k.machine.EntriesAfter(cutAt))
	k.machine.Compact(cutAt)
}

// isolate cuts all links of a keeper in both directions.
func (n *network) isolate(k *keeperNode) {
	for id := range n.nodes {
		n.cut[[2]uint64{k.identity, id}] = true
		n.cut[[2]uint64{id, k.identity}] = true
	}
}

// resumeAll starts the keepers that are down and resumes those that are frozen.
func (n *network) resumeAll() {
	for _, id := range n.ids() {
		k := n.nodes[id]
		k.frozen = false
		if k.machine == nil {
			n.start(k)
		}
		n.processReady(k, crashNever)
	}
}

// removeMember simulates an operator's removal of a member that is not lost.
func (n *network) removeMember(k *keeperNode, identity uint64) {
	if !n.healthy() {
		return
	}
	change := &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_REMOVE, Identity: identity}
	if _, _, err := k.machine.ProposeMembership(k.clock, change); err == nil {
		n.processReady(k, crashNever)
	}
}

// replaceRemoved gives a new identity to each keeper whose removal is committed.
func (n *network) replaceRemoved(leader *keeperNode) {
	log := leader.machine.log
	for _, id := range log.membershipAt(log.commit).GetRemoved() {
		if k := n.nodes[id]; k != nil && leader.machine.committedOwnTerm() {
			n.loseDisk(k)
		}
	}
}

// loseDisk replaces a keeper by an empty one under a new identity. With the injected
// fault accept-old-identity the empty keeper keeps the old identity.
func (n *network) loseDisk(k *keeperNode) {
	if n.injectedFault == faultAcceptOldIdentity {
		k.disk, k.applied = disk{}, 0
		n.start(k)
		return
	}
	delete(n.nodes, k.identity)
	replacement := n.addEmptyKeeper(k.nodeID)
	n.start(replacement)
}

// repair makes the next change that replaces a lost identity, as the keeper of the
// leader does, or else one that an operator would make.
func (n *network) repair() {
	k := n.leader()
	if k == nil {
		return
	}
	n.replaceRemoved(k)
	change, ok := lo.Coalesce(n.nextAddition(k), k.machine.NextReplacement(), n.nextSurplusRemoval(k), n.nextPromotion(k))
	if !ok {
		return
	}
	if _, _, err := k.machine.ProposeMembership(k.clock, change); err == nil {
		if change.GetAction() == peerpb.MembershipChange_ACTION_DEMOTE {
			n.demotions++
			if change.GetIdentity() == k.identity {
				n.ownDemotions++
			}
		}
		n.processReady(k, crashNever)
	}
}

// nextAddition returns a change that adds a keeper which is not a member, or nil.
func (n *network) nextAddition(k *keeperNode) *peerpb.MembershipChange {
	for _, id := range n.ids() {
		if _, ok := FindMember(k.machine.log.membership(), id); !ok {
			return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_ADD_LEARNER, Identity: id, NodeId: n.nodes[id].nodeID}
		}
	}
	return nil
}

// nextSurplusRemoval returns the removal, or the demotion, of the voter that was silent for
// longest if there are more than the target, or nil.
func (n *network) nextSurplusRemoval(k *keeperNode) *peerpb.MembershipChange {
	voters := lo.Without(Voters(k.machine.log.membership()), k.identity)
	if n.targetVoters == 0 || len(voters) < n.targetVoters {
		return nil
	}
	silent := lo.MaxBy(voters, func(a, b uint64) bool { return k.machine.progress[a].silentTicks > k.machine.progress[b].silentTicks })
	if n.demotesLeaders && n.demotions%2 == 1 {
		return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_DEMOTE, Identity: k.identity}
	}
	if n.demotes {
		return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_DEMOTE, Identity: silent}
	}
	return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_REMOVE, Identity: silent}
}

// nextPromotion returns the promotion of a learner that an operator removed earlier.
func (n *network) nextPromotion(k *keeperNode) *peerpb.MembershipChange {
	for _, m := range k.machine.log.membership().GetMembers() {
		if m.GetLearner() && !m.GetReplacing() {
			return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_PROMOTE, Identity: m.GetIdentity()}
		}
	}
	return nil
}
