package keeper

import (
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

// DefaultCatchUp is the default of Options.CatchUp. With it a restart seldom costs a
// keeper its vote.
const DefaultCatchUp = 16 * time.Second

// Reasons for which a learner is not promoted yet.
const (
	learnerIsSilent = "the learner does not respond"
	learnerIsBehind = "the learner has not replicated all committed entries"
	noVoterIsAbsent = "no voter is absent"
)

// voterPlanner decides on the leader which learners become voters.
type voterPlanner struct {
	targetVoters int
	// absentTicks is the time without a response after which a learner takes over a
	// voter's vote. A voter that returns later joins as a learner.
	absentTicks int
}

// newVoterPlanner returns a planner for which a successor has the vote of a lost keeper
// catchUp after its start. Half of that time remains for the election of a leader, if the
// keeper led, the checks and the two changes. A leader that lost its quorum steps down
// within two election timeouts, and no voter counts as absent earlier.
func newVoterPlanner(targetVoters int, catchUp time.Duration) voterPlanner {
	return voterPlanner{targetVoters: targetVoters, absentTicks: max(int(catchUp/2/tickInterval), 2*electionTicks)}
}

// plan is a planner's decision. Without a change, learner is a learner that has no vote
// and waiting is the reason; both are empty if there is no learner.
type plan struct {
	change  *peerpb.MembershipChange
	learner uint64
	waiting string
}

// next returns the change that brings the number of voters which respond closer to the
// target. An absent voter is removed only after a learner has been promoted in its place:
// until then its return restores the majority, should another voter lose its disk.
func (p voterPlanner) next(s regionlog.Status) plan {
	if s.Role != regionlog.Leader || p.targetVoters == 0 {
		return plan{}
	}
	voters := lo.Reject(s.Membership.GetMembers(), func(m *peerpb.Member, _ int) bool { return m.GetLearner() })
	absent := lo.Filter(voters, func(m *peerpb.Member, _ int) bool { return p.absent(s, m) })
	if len(voters) > p.targetVoters && len(absent) > 0 {
		return plan{change: removal(absent[0])}
	}
	ready, waiting := readyLearner(s, lo.Without(voters, absent...))
	if ready == nil || waiting != "" {
		return plan{learner: ready.GetIdentity(), waiting: waiting}
	}
	if older, ok := olderLearner(s.Membership, ready); ok {
		return plan{change: removal(older)}
	}
	if len(voters)-len(absent) >= p.targetVoters {
		return plan{learner: ready.GetIdentity(), waiting: noVoterIsAbsent}
	}
	return plan{change: &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_PROMOTE, Identity: ready.GetIdentity()}}
}

// absentVoters returns the number of voters that count as absent; 0 if this keeper does
// not lead.
func (p voterPlanner) absentVoters(s regionlog.Status) int {
	return lo.CountBy(s.Membership.GetMembers(), func(m *peerpb.Member) bool { return !m.GetLearner() && p.absent(s, m) })
}

func (p voterPlanner) absent(s regionlog.Status, m *peerpb.Member) bool {
	return m.GetIdentity() != s.Identity && s.SilentTicks[m.GetIdentity()] >= p.absentTicks
}

func removal(m *peerpb.Member) *peerpb.MembershipChange {
	return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_REMOVE, Identity: m.GetIdentity()}
}

// readyLearner returns the learner to be promoted next, or one that cannot be promoted
// yet and why. Learners that replace an identity of their own node are not considered.
func readyLearner(s regionlog.Status, present []*peerpb.Member) (learner *peerpb.Member, waiting string) {
	learners := lo.Filter(s.Membership.GetMembers(), func(m *peerpb.Member, _ int) bool { return m.GetLearner() && !m.GetReplacing() })
	if len(learners) == 0 {
		return nil, ""
	}
	responding := lo.Filter(learners, func(m *peerpb.Member, _ int) bool { return s.SilentTicks[m.GetIdentity()] <= 2*heartbeatTicks })
	if len(responding) == 0 {
		return learners[0], learnerIsSilent
	}
	caughtUp := lo.Filter(responding, func(m *peerpb.Member, _ int) bool { return s.Match[m.GetIdentity()] >= s.Commit })
	if len(caughtUp) == 0 {
		return responding[0], learnerIsBehind
	}
	return leastVoters(present, caughtUp), ""
}

// olderLearner returns the previous identity of a keeper that lost its disk while it was
// a learner. Nothing else removes that identity, and the keeper cannot be promoted while
// it is a member.
func olderLearner(membership *peerpb.Membership, learner *peerpb.Member) (*peerpb.Member, bool) {
	return lo.Find(membership.GetMembers(), func(m *peerpb.Member) bool {
		return m.GetLearner() && m.GetIdentity() != learner.GetIdentity() && m.GetNodeId() != "" && m.GetNodeId() == learner.GetNodeId()
	})
}

// leastVoters returns the candidate in the failure domain with the fewest of the voters
// present, so that a majority survives the loss of one domain where possible.
func leastVoters(present, candidates []*peerpb.Member) *peerpb.Member {
	voters := lo.CountValuesBy(present, func(m *peerpb.Member) string { return m.GetFailureDomain() })
	return lo.MinBy(candidates, func(a, b *peerpb.Member) bool {
		return voters[a.GetFailureDomain()] < voters[b.GetFailureDomain()]
	})
}
