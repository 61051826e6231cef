package keeper

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

// leaderStatus is a leader's view in which the given members respond and have replicated
// all entries. The others have not responded for the given ticks.
func leaderStatus(members []*peerpb.Member, silentTicks int, responding ...uint64) regionlog.Status {
	s := regionlog.Status{
		Identity: 1, Role: regionlog.Leader, Commit: 10, Membership: &peerpb.Membership{Members: members},
		Match: map[uint64]uint64{}, SilentTicks: map[uint64]int{},
	}
	for _, m := range members {
		s.SilentTicks[m.GetIdentity()] = silentTicks
	}
	for _, id := range responding {
		s.Match[id], s.SilentTicks[id] = 10, 0
	}
	return s
}

func requireChange(t *testing.T, action peerpb.MembershipChange_Action, identity uint64, p plan) {
	t.Helper()
	require.Equal(t, action, p.change.GetAction())
	require.Equal(t, identity, p.change.GetIdentity())
}

func requireWaiting(t *testing.T, waiting string, p plan) {
	t.Helper()
	require.Nil(t, p.change)
	require.Equal(t, waiting, p.waiting)
}

var (
	threeVoters = newVoterPlanner(3, 4*time.Second)
	fiveVoters  = newVoterPlanner(5, 4*time.Second)
	absentTicks = threeVoters.absentTicks
)

func TestLearnersArePromotedUpToTarget(t *testing.T) {
	members := []*peerpb.Member{{Identity: 1}, {Identity: 2}, {Identity: 3}, {Identity: 4, Learner: true}}
	requireWaiting(t, noVoterIsAbsent, threeVoters.next(leaderStatus(members, 0, 1, 2, 3, 4)))
	requireChange(t, peerpb.MembershipChange_ACTION_PROMOTE, 4, fiveVoters.next(leaderStatus(members, 0, 1, 2, 3, 4)))
	behind := leaderStatus(members, 0, 1, 2, 3, 4)
	behind.Match[4] = 9
	requireWaiting(t, learnerIsBehind, fiveVoters.next(behind))
	requireWaiting(t, learnerIsSilent, fiveVoters.next(leaderStatus(members, 2*heartbeatTicks+1, 1, 2, 3)))
	follower := leaderStatus(members, 0, 1, 2, 3, 4)
	follower.Role = regionlog.Follower
	require.Equal(t, plan{}, fiveVoters.next(follower))
}

func TestAbsentVoterIsReplaced(t *testing.T) {
	members := []*peerpb.Member{{Identity: 1}, {Identity: 2}, {Identity: 3}, {Identity: 4, Learner: true}}
	requireWaiting(t, noVoterIsAbsent, threeVoters.next(leaderStatus(members, absentTicks-1, 1, 2, 4)))
	requireChange(t, peerpb.MembershipChange_ACTION_PROMOTE, 4, threeVoters.next(leaderStatus(members, absentTicks, 1, 2, 4)))
	members[3] = &peerpb.Member{Identity: 4}
	requireChange(t, peerpb.MembershipChange_ACTION_REMOVE, 3, threeVoters.next(leaderStatus(members, absentTicks, 1, 2, 4)))
	require.Equal(t, plan{}, threeVoters.next(leaderStatus(members, 0, 1, 2, 3, 4)), "a voter that returned in between keeps its vote")
	require.Equal(t, plan{}, threeVoters.next(leaderStatus(members[:3], 2*absentTicks, 1, 2)), "without a replacement the voter stays")
}

// Guards against a voter that is removed before its successor has a vote, and against two
// surplus votes of absent voters.
func TestTwoAbsentVotersAreReplacedOneByOne(t *testing.T) {
	members := []*peerpb.Member{
		{Identity: 1},
		{Identity: 2},
		{Identity: 3},
		{Identity: 4},
		{Identity: 5},
		{Identity: 6, Learner: true},
		{Identity: 7, Learner: true},
	}
	var changes []string
	for {
		change := fiveVoters.next(leaderStatus(members, absentTicks, 1, 2, 3, 6, 7)).change
		if change == nil {
			break
		}
		changes = append(changes, fmt.Sprint(change.GetAction(), change.GetIdentity()))
		if change.GetAction() == peerpb.MembershipChange_ACTION_REMOVE {
			members = lo.Reject(members, func(m *peerpb.Member, _ int) bool { return m.GetIdentity() == change.GetIdentity() })
			continue
		}
		member, _ := regionlog.FindMember(&peerpb.Membership{Members: members}, change.GetIdentity())
		member.Learner = false
	}
	require.Equal(t, []string{"ACTION_PROMOTE 6", "ACTION_REMOVE 4", "ACTION_PROMOTE 7", "ACTION_REMOVE 5"}, changes)
}

func TestAbsenceIsDerivedFromCatchUpTime(t *testing.T) {
	require.Equal(t, int(2*time.Second/tickInterval), newVoterPlanner(3, 4*time.Second).absentTicks)
	require.Equal(t, int(8*time.Second/tickInterval), newVoterPlanner(3, DefaultCatchUp).absentTicks)
	require.Equal(t, 2*electionTicks, newVoterPlanner(3, time.Second).absentTicks, "a leader without a quorum has stepped down by then")
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
	requireChange(t, peerpb.MembershipChange_ACTION_PROMOTE, 5, fiveVoters.next(leaderStatus(members, 0, 1, 2, 3, 4, 5, 6)))
	members[4].Learner = false
	requireChange(t, peerpb.MembershipChange_ACTION_PROMOTE, 6, fiveVoters.next(leaderStatus(members, 0, 1, 2, 3, 4, 5, 6)))
	members = []*peerpb.Member{
		{Identity: 1, FailureDomain: "a"},
		{Identity: 2, FailureDomain: "b"},
		{Identity: 3, FailureDomain: "c"},
		{Identity: 4, FailureDomain: "a", Learner: true},
		{Identity: 5, FailureDomain: "c", Learner: true},
	}
	requireChange(t, peerpb.MembershipChange_ACTION_PROMOTE, 5, threeVoters.next(leaderStatus(members, absentTicks, 1, 2, 4, 5)))
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
	change := threeVoters.next(leaderStatus(members, 0, 1, 2, 3, 5))
	requireChange(t, peerpb.MembershipChange_ACTION_REMOVE, 4, change) // the older identity, before a voter is lost
	members = append(members[:3:3], members[4])
	requireWaiting(t, noVoterIsAbsent, threeVoters.next(leaderStatus(members, 0, 1, 2, 3, 5)))
	requireChange(t, peerpb.MembershipChange_ACTION_PROMOTE, 5, threeVoters.next(leaderStatus(members, absentTicks, 1, 2, 5)))
	members[3] = &peerpb.Member{Identity: 5, NodeId: "d"}
	requireChange(t, peerpb.MembershipChange_ACTION_REMOVE, 3, threeVoters.next(leaderStatus(members, absentTicks, 1, 2, 5)))
}

// Guards against a stopping voter whose vote goes to a learner that cannot commit, or to none.
func TestSuccessionNeedsReadyLearner(t *testing.T) {
	members := []*peerpb.Member{{Identity: 1}, {Identity: 2}, {Identity: 3}, {Identity: 4, Learner: true}}
	behind := leaderStatus(members, 0, 1, 2, 3, 4)
	behind.Match[4] = 0
	follower := leaderStatus(members, 0, 1, 2, 3, 4)
	follower.Role = regionlog.Follower
	var invalid *regionlog.InvalidChangeError
	var notLeader *regionlog.NotLeaderError
	for name, c := range map[string]struct {
		planner  voterPlanner
		status   regionlog.Status
		voter    uint64
		promoted uint64
		refused  any
	}{
		"learner ready":                {threeVoters, leaderStatus(members, 0, 1, 2, 3, 4), 3, 4, nil},
		"the leader itself":            {threeVoters, leaderStatus(members, 0, 1, 2, 3, 4), 1, 4, nil},
		"learner behind":               {threeVoters, behind, 3, 0, regionlog.ErrNotCaughtUp},
		"learner silent":               {threeVoters, leaderStatus(members, absentTicks, 1, 2, 3), 3, 0, regionlog.ErrNoLearnerReady},
		"no learner":                   {threeVoters, leaderStatus(members[:3], 0, 1, 2, 3), 3, 0, regionlog.ErrNoLearnerReady},
		"membership left to operators": {newVoterPlanner(0, 4*time.Second), leaderStatus(members, 0, 1, 2, 3, 4), 3, 0, regionlog.ErrNoLearnerReady},
		"a learner stops":              {threeVoters, leaderStatus(members, 0, 1, 2, 3, 4), 4, 0, &invalid},
		"not the leader":               {threeVoters, follower, 3, 0, &notLeader},
		"enough other voters":          {newVoterPlanner(2, 4*time.Second), leaderStatus(members, 0, 1, 2, 3, 4), 3, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			change, err := c.planner.succession(c.status, c.voter)
			require.Equal(t, c.promoted, change.GetIdentity())
			switch refused := c.refused.(type) {
			case nil:
				require.NoError(t, err)
			case error:
				require.ErrorIs(t, err, refused)
			default:
				require.ErrorAs(t, err, refused)
			}
		})
	}
}

// Guards against learners that pile up: one that is gone for good leaves the membership, one
// that restarts does not.
func TestLostLearnerIsRemoved(t *testing.T) {
	members := []*peerpb.Member{{Identity: 1}, {Identity: 2}, {Identity: 3}, {Identity: 4, Learner: true}}
	requireWaiting(t, learnerIsSilent, threeVoters.next(leaderStatus(members, threeVoters.lostLearnerTicks-1, 1, 2, 3)))
	requireChange(t, peerpb.MembershipChange_ACTION_REMOVE, 4, threeVoters.next(leaderStatus(members, threeVoters.lostLearnerTicks, 1, 2, 3)))
	require.Equal(t, plan{}, newVoterPlanner(0, 4*time.Second).next(leaderStatus(members, 1<<20, 1, 2, 3)), "membership is left to operators")
}
