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

// lostLearnerFactor is the ratio of the time after which a silent learner is removed to that
// after which a voter counts as absent.
const lostLearnerFactor = 8

// Reasons for which a learner is not promoted yet.
const (
	learnerIsSilent = "the learner does not respond"
	learnerIsBehind = "the learner has not replicated all committed entries"
	noVoterIsAbsent = "no voter is absent"
)

// voterPlanner decides on the leader which learners become voters.
type voterPlanner struct {
	targetVoters int
	// lostLearnerTicks is the time without a response after which a learner is removed. It
	// exceeds the time of a restart, after which a learner goes on with its log.
	lostLearnerTicks int
	// absentTicks is the time without a response after which a learner takes over a
	// voter's vote. A voter that returns later joins as a learner.
	absentTicks int
}

// newVoterPlanner returns a planner for which a successor has the vote of a lost keeper
// catchUp after its start. Half of that time remains for the election of a leader, if the
// keeper led, the checks and the two changes. A leader that lost its quorum steps down
// within two election timeouts, and no voter counts as absent earlier.
func newVoterPlanner(targetVoters int, catchUp time.Duration) voterPlanner {
	absentTicks := max(int(catchUp/2/tickInterval), 2*electionTicks)
	return voterPlanner{targetVoters: targetVoters, absentTicks: absentTicks, lostLearnerTicks: lostLearnerFactor * absentTicks}
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
	if lost, ok := p.lostLearner(s); ok {
		return plan{change: removal(lost)}
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
	return plan{change: promotion(ready)}
}

// succession returns the promotion of the learner that takes over the vote of a voter which is
// about to stop; nil if the others suffice. Without a learner that stands by, the voter keeps
// its vote.
func (p voterPlanner) succession(s regionlog.Status, voter uint64) (*peerpb.MembershipChange, error) {
	if s.Role != regionlog.Leader {
		return nil, &regionlog.NotLeaderError{Leader: s.Leader}
	}
	if m, ok := regionlog.FindMember(s.Membership, voter); !ok || m.GetLearner() {
		return nil, &regionlog.InvalidChangeError{Reason: "only a voter can be demoted"}
	}
	others := lo.Filter(s.Membership.GetMembers(), func(m *peerpb.Member, _ int) bool { return !m.GetLearner() && m.GetIdentity() != voter })
	if p.targetVoters > 0 && len(others) >= p.targetVoters {
		return nil, nil
	}
	ready, waiting := readyLearner(s, others)
	switch {
	case p.targetVoters == 0 || ready == nil || waiting == learnerIsSilent:
		return nil, regionlog.ErrNoLearnerReady
	case waiting != "":
		// A new leader does not know yet what the learner has replicated.
		return nil, regionlog.ErrNotCaughtUp
	}
	return promotion(ready), nil
}

// lostLearner returns a learner that has been silent for so long that it is not expected to
// return. If it does, it joins again.
func (p voterPlanner) lostLearner(s regionlog.Status) (*peerpb.Member, bool) {
	return lo.Find(s.Membership.GetMembers(), func(m *peerpb.Member) bool {
		return m.GetLearner() && s.SilentTicks[m.GetIdentity()] >= p.lostLearnerTicks
	})
}

// absentVoters returns the number of voters that count as absent; 0 if this keeper does
// not lead.
func (p voterPlanner) absentVoters(s regionlog.Status) int {
	return lo.CountBy(s.Membership.GetMembers(), func(m *peerpb.Member) bool { return !m.GetLearner() && p.absent(s, m) })
}

func (p voterPlanner) absent(s regionlog.Status, m *peerpb.Member) bool {
	return m.GetIdentity() != s.Identity && s.SilentTicks[m.GetIdentity()] >= p.absentTicks
}

func promotion(m *peerpb.Member) *peerpb.MembershipChange {
	return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_PROMOTE, Identity: m.GetIdentity()}
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

// waitingReplacement returns a learner that is to replace the lost identity of its node, and why it does not yet.
func waitingReplacement(s regionlog.Status) (learner uint64, waiting string) {
	m, ok := lo.Find(s.Membership.GetMembers(), func(m *peerpb.Member) bool { return m.GetLearner() && m.GetReplacing() })
	switch {
	case !ok || s.Role != regionlog.Leader:
		return 0, ""
	case s.SilentTicks[m.GetIdentity()] > 2*heartbeatTicks:
		return m.GetIdentity(), learnerIsSilent
	default:
		return m.GetIdentity(), learnerIsBehind
	}
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
