package regionlog

import (
	"fmt"
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// maxRemovedIdentities limits the removed identities that a membership lists.
const maxRemovedIdentities = 256

func decodeMembership(e *peerpb.LogEntry) (*peerpb.Membership, error) {
	var membership peerpb.Membership
	if err := proto.Unmarshal(e.GetData(), &membership); err != nil {
		return nil, &DamagedLogError{fmt.Sprintf("membership at %d: %v", e.GetIndex(), err)}
	}
	return &membership, nil
}

// FindMember returns the member with the given identity.
func FindMember(membership *peerpb.Membership, identity uint64) (*peerpb.Member, bool) {
	return lo.Find(membership.GetMembers(), func(m *peerpb.Member) bool { return m.GetIdentity() == identity })
}

// Voters returns the identities of the voters, in ascending order.
func Voters(membership *peerpb.Membership) []uint64 {
	voters := lo.FilterMap(membership.GetMembers(), func(m *peerpb.Member, _ int) (uint64, bool) {
		return m.GetIdentity(), !m.GetLearner()
	})
	slices.Sort(voters)
	return voters
}

// quorumValue returns the largest value that a majority of the voters have reached.
func quorumValue(voters []uint64, value func(identity uint64) uint64) uint64 {
	if len(voters) == 0 {
		return 0
	}
	values := lo.Map(voters, func(id uint64, _ int) uint64 { return value(id) })
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// changeMembership returns the membership after one change. A change adds or
// removes at most one voter, so that every majority before the change overlaps
// every majority after it.
func changeMembership(old *peerpb.Membership, change *peerpb.MembershipChange) (*peerpb.Membership, error) {
	next, _ := proto.Clone(old).(*peerpb.Membership)
	member, known := FindMember(next, change.GetIdentity())
	switch change.GetAction() {
	case peerpb.MembershipChange_ACTION_ADD_LEARNER:
		return addLearner(next, change, known)
	case peerpb.MembershipChange_ACTION_PROMOTE:
		return promote(next, member, known)
	case peerpb.MembershipChange_ACTION_REMOVE:
		return remove(next, member, known)
	case peerpb.MembershipChange_ACTION_DEMOTE:
		return demote(next, member, known)
	default:
		return nil, &InvalidChangeError{"unknown action"}
	}
}

func addLearner(next *peerpb.Membership, change *peerpb.MembershipChange, known bool) (*peerpb.Membership, error) {
	if known {
		return nil, &InvalidChangeError{"the keeper is already a member"}
	}
	if change.GetIdentity() == 0 || lo.Contains(next.GetRemoved(), change.GetIdentity()) {
		return nil, &InvalidChangeError{"the identity was removed; empty the data folder so that a new identity is generated"}
	}
	replacing := lo.ContainsBy(next.GetMembers(), func(m *peerpb.Member) bool {
		return m.GetNodeId() == change.GetNodeId() && (!m.GetLearner() || m.GetReplacing())
	})
	next.Members = append(next.Members, &peerpb.Member{
		Identity: change.GetIdentity(), NodeId: change.GetNodeId(), Address: change.GetAddress(),
		Learner: true, Replacing: replacing, FailureDomain: change.GetFailureDomain(),
	})
	return next, nil
}

func promote(next *peerpb.Membership, member *peerpb.Member, known bool) (*peerpb.Membership, error) {
	if !known || !member.GetLearner() {
		return nil, &InvalidChangeError{"only a learner can be promoted"}
	}
	sameNode := lo.CountBy(next.GetMembers(), func(m *peerpb.Member) bool { return m.GetNodeId() == member.GetNodeId() })
	if sameNode > 1 {
		return nil, &InvalidChangeError{"remove the node's older identity first"}
	}
	member.Learner, member.Replacing = false, false
	return next, nil
}

// demote takes the vote of a voter, which keeps its identity and its log and may be promoted
// again.
func demote(next *peerpb.Membership, member *peerpb.Member, known bool) (*peerpb.Membership, error) {
	if !known || member.GetLearner() {
		return nil, &InvalidChangeError{"only a voter can be demoted"}
	}
	if len(Voters(next)) == 1 {
		return nil, &InvalidChangeError{"the last voter cannot be demoted"}
	}
	member.Learner = true
	return next, nil
}

func remove(next *peerpb.Membership, member *peerpb.Member, known bool) (*peerpb.Membership, error) {
	if !known {
		return nil, &InvalidChangeError{"the keeper is not a member"}
	}
	if voters := Voters(next); len(voters) == 1 && voters[0] == member.GetIdentity() {
		return nil, &InvalidChangeError{"the last voter cannot be removed"}
	}
	next.Members = lo.Filter(next.GetMembers(), func(m *peerpb.Member, _ int) bool { return m != member })
	next.Removed = append(next.Removed, member.GetIdentity())
	next.Removed = next.Removed[max(0, len(next.Removed)-maxRemovedIdentities):]
	return next, nil
}

// NextReplacement returns the next change needed for a learner to replace its
// node's lost identity as a voter, or nil. This takes two changes: the lost
// identity is removed first, so that no majority can count both.
func (m *Machine) NextReplacement() *peerpb.MembershipChange {
	if m.role != Leader {
		return nil
	}
	members := m.log.membership().GetMembers()
	learner, ok := lo.Find(members, func(x *peerpb.Member) bool {
		return x.GetLearner() && x.GetReplacing() && m.caughtUp(x.GetIdentity())
	})
	if !ok {
		return nil
	}
	lost, ok := lo.Find(members, func(x *peerpb.Member) bool {
		return x.GetNodeId() == learner.GetNodeId() && x.GetIdentity() != learner.GetIdentity()
	})
	if ok {
		return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_REMOVE, Identity: lost.GetIdentity()}
	}
	return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_PROMOTE, Identity: learner.GetIdentity()}
}

// ProposeMembership appends one membership change, which takes effect immediately. A leader that demotes itself transfers its
// leadership as well.
func (m *Machine) ProposeMembership(nowMs int64, change *peerpb.MembershipChange) (index, term uint64, err error) {
	if err := m.checkLeading(); err != nil {
		return 0, 0, err
	}
	if !m.committedOwnTerm() {
		return 0, 0, ErrTermNotCommitted
	}
	if m.log.changePending() && m.cfg.injectedFault != faultConcurrentChanges {
		return 0, 0, ErrChangePending
	}
	if change.GetAction() == peerpb.MembershipChange_ACTION_PROMOTE && !m.caughtUp(change.GetIdentity()) {
		return 0, 0, ErrNotCaughtUp
	}
	next, err := changeMembership(m.log.membership(), change)
	if err != nil {
		return 0, 0, err
	}
	if change.GetAction() != peerpb.MembershipChange_ACTION_ADD_LEARNER && !m.quorumResponds(Voters(next)) {
		return 0, 0, ErrQuorumAtRisk
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(next)
	if err != nil {
		return 0, 0, &InvalidChangeError{err.Error()}
	}
	e := m.appendEntry(peerpb.EntryKind_ENTRY_KIND_MEMBERSHIP, nowMs, data)
	m.refreshProgress()
	if change.GetAction() == peerpb.MembershipChange_ACTION_DEMOTE && change.GetIdentity() == m.cfg.Identity {
		m.transferee, m.transferElapsed = m.TransferTarget(), 0
	}
	return e.GetIndex(), e.GetTerm(), nil
}

// quorumResponds reports whether a majority of the voters responded within the last two
// heartbeat intervals. A longer time would count a voter that was just lost, and a change
// in effect cannot be undone without the majority that it requires.
func (m *Machine) quorumResponds(voters []uint64) bool {
	responding := lo.CountBy(voters, func(id uint64) bool {
		return id == m.cfg.Identity || m.progress[id].silentTicks <= 2*m.cfg.HeartbeatTicks
	})
	return responding > len(voters)/2
}

// caughtUp reports whether a peer has replicated every committed entry, or responds and
// lacks no more than one message of them. Without that allowance a peer whose
// acknowledgements take longer than the time between two changes would never count.
func (m *Machine) caughtUp(identity uint64) bool {
	p, ok := m.progress[identity]
	switch {
	case !ok:
		return false
	case p.match >= m.log.commit:
		return true
	case !p.replicating || p.match < m.log.base.Index || p.silentTicks > 2*m.cfg.HeartbeatTicks:
		return false
	}
	missing := 0
	for index := p.match + 1; index <= m.log.commit && missing <= m.cfg.MaxAppendBytes; index++ {
		missing += entrySize(m.log.at(index))
	}
	return missing <= m.cfg.MaxAppendBytes
}

// refreshProgress updates progress and peers to the membership in effect.
func (m *Machine) refreshProgress() {
	members := m.log.membership().GetMembers()
	for _, member := range members {
		if _, ok := m.progress[member.GetIdentity()]; !ok {
			m.progress[member.GetIdentity()] = &progress{next: m.log.last() + 1, active: true}
		}
	}
	for id := range m.progress {
		if _, ok := FindMember(m.log.membership(), id); !ok {
			delete(m.progress, id)
		}
	}
	m.peers = lo.Without(lo.Keys(m.progress), m.cfg.Identity)
	slices.Sort(m.peers)
}
