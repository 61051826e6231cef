package keeper

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

func leaderStatus(members []*peerpb.Member, active ...uint64) regionlog.Status {
	s := regionlog.Status{
		Identity: 1, Role: regionlog.Leader, Commit: 10, Membership: &peerpb.Membership{Members: members},
		Match: map[uint64]uint64{}, Active: map[uint64]bool{},
	}
	for _, id := range active {
		s.Match[id], s.Active[id] = 10, true
	}
	return s
}

func TestLearnersArePromotedUpToTarget(t *testing.T) {
	members := []*peerpb.Member{{Identity: 1}, {Identity: 2}, {Identity: 3}, {Identity: 4, Learner: true}}
	var p voterPlanner
	require.Nil(t, p.next(0, leaderStatus(members, 1, 2, 3, 4), 3), "enough voters")
	change := p.next(1, leaderStatus(members, 1, 2, 3, 4), 5)
	require.Equal(t, peerpb.MembershipChange_ACTION_PROMOTE, change.GetAction())
	require.EqualValues(t, 4, change.GetIdentity())
	behind := leaderStatus(members, 1, 2, 3, 4)
	behind.Match[4] = 9
	require.Nil(t, p.next(2, behind, 5))
	require.Nil(t, p.next(3, leaderStatus(members, 1, 2, 3), 5), "the learner does not respond")
	follower := leaderStatus(members, 1, 2, 3, 4)
	follower.Role = regionlog.Follower
	require.Nil(t, p.next(4, follower, 5))
}

func TestAbsentVoterIsReplaced(t *testing.T) {
	members := []*peerpb.Member{{Identity: 1}, {Identity: 2}, {Identity: 3}, {Identity: 4, Learner: true}}
	var p voterPlanner
	status := leaderStatus(members, 1, 2, 4)
	require.Nil(t, p.next(0, status, 3), "the absence is counted from the leader's first check")
	require.Nil(t, p.next(absentTicks-1, status, 3))
	change := p.next(absentTicks, status, 3)
	require.Equal(t, peerpb.MembershipChange_ACTION_REMOVE, change.GetAction())
	require.EqualValues(t, 3, change.GetIdentity())
	p = voterPlanner{}
	require.Nil(t, p.next(0, leaderStatus(members[:3], 1, 2), 3))
	require.Nil(t, p.next(2*absentTicks, leaderStatus(members[:3], 1, 2), 3), "without a replacement the voter stays")
}

func TestVotersSpreadOverFailureDomains(t *testing.T) {
	members := []*peerpb.Member{
		{Identity: 1, FailureDomain: "a"},
		{Identity: 2, FailureDomain: "b"},
		{Identity: 3, FailureDomain: "b"},
		{Identity: 4, FailureDomain: "b", Learner: true},
		{Identity: 5, FailureDomain: "c", Learner: true},
		{Identity: 6, FailureDomain: "a", Learner: true},
	}
	var p voterPlanner
	require.EqualValues(t, 5, p.next(0, leaderStatus(members, 1, 2, 3, 4, 5, 6), 5).GetIdentity())
	members[4].Learner = false
	require.EqualValues(t, 6, p.next(1, leaderStatus(members, 1, 2, 3, 4, 5, 6), 5).GetIdentity())
}

// Guards against a delay between the two changes that replace a voter: between them the
// log tolerates the loss of one keeper less.
func TestSecondReplacementChangeIsNotDelayed(t *testing.T) {
	var s changeSchedule
	require.True(t, s.due(0))
	s.idle(40)
	require.False(t, s.due(40+replacementTicks-1))
	require.True(t, s.due(40+replacementTicks))
	s.proposed(60, nil)
	require.True(t, s.due(61))
	s.proposed(61, regionlog.ErrChangePending)
	require.True(t, s.due(62), "the first change is not committed yet")
	s.proposed(62, regionlog.ErrNotCaughtUp)
	require.False(t, s.due(63))
	require.True(t, s.due(62+replacementTicks))
}

// Guards against a learner that cannot be promoted because its node's older identity is
// still a member: a voter lost later would be removed without a replacement.
func TestLearnerThatLostItsDiskIsPromoted(t *testing.T) {
	members := []*peerpb.Member{
		{Identity: 1, NodeId: "a"},
		{Identity: 2, NodeId: "b"},
		{Identity: 3, NodeId: "c"},
		{Identity: 4, NodeId: "d", Learner: true},
		{Identity: 5, NodeId: "d", Learner: true},
	}
	var p voterPlanner
	change := p.next(0, leaderStatus(members, 1, 2, 3, 5), 3)
	require.Equal(t, peerpb.MembershipChange_ACTION_REMOVE, change.GetAction())
	require.EqualValues(t, 4, change.GetIdentity(), "the older identity is removed before a voter is lost")
	members = append(members[:3:3], members[4])
	require.Nil(t, p.next(1, leaderStatus(members, 1, 2, 3, 5), 3))
	change = p.next(1+absentTicks, leaderStatus(members, 1, 2, 5), 3)
	require.Equal(t, peerpb.MembershipChange_ACTION_REMOVE, change.GetAction())
	require.EqualValues(t, 3, change.GetIdentity())
	members = append(members[:2:2], members[3])
	change = p.next(2+absentTicks, leaderStatus(members, 1, 2, 5), 3)
	require.Equal(t, peerpb.MembershipChange_ACTION_PROMOTE, change.GetAction())
	require.EqualValues(t, 5, change.GetIdentity())
}
