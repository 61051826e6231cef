package keeper

import (
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

// absentTicks is the time without a response after which a voter may be replaced by
// another keeper: 8 s, longer than a restart takes. A voter that returns later joins
// as a learner.
const absentTicks = 160

// voterPlanner decides on the leader which learners become voters.
type voterPlanner struct {
	// lastResponse is the tick at which each member last responded.
	lastResponse map[uint64]uint64
}

// next returns a change that brings the number of voters closer to the target, or that
// replaces an absent voter; nil if there is none.
func (p *voterPlanner) next(tick uint64, s regionlog.Status, targetVoters int) *peerpb.MembershipChange {
	if s.Role != regionlog.Leader || targetVoters == 0 {
		p.lastResponse = nil
		return nil
	}
	p.observe(tick, s)
	candidates := lo.Filter(s.Membership.GetMembers(), func(m *peerpb.Member, _ int) bool {
		return m.GetLearner() && !m.GetReplacing() && s.Active[m.GetIdentity()] && s.Match[m.GetIdentity()] >= s.Commit
	})
	if len(candidates) == 0 {
		return nil
	}
	ready := leastVoters(s.Membership, candidates)
	if older, ok := olderLearner(s.Membership, ready); ok {
		return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_REMOVE, Identity: older.GetIdentity()}
	}
	if len(regionlog.Voters(s.Membership)) < targetVoters {
		return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_PROMOTE, Identity: ready.GetIdentity()}
	}
	absent, ok := lo.Find(s.Membership.GetMembers(), func(m *peerpb.Member) bool {
		return !m.GetLearner() && m.GetIdentity() != s.Identity && tick-p.lastResponse[m.GetIdentity()] >= absentTicks
	})
	if !ok {
		return nil
	}
	return &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_REMOVE, Identity: absent.GetIdentity()}
}

// olderLearner returns the previous identity of a keeper that lost its disk while it was
// a learner. Nothing else removes that identity, and the keeper cannot be promoted while
// it is a member.
func olderLearner(membership *peerpb.Membership, learner *peerpb.Member) (*peerpb.Member, bool) {
	return lo.Find(membership.GetMembers(), func(m *peerpb.Member) bool {
		return m.GetLearner() && m.GetIdentity() != learner.GetIdentity() && m.GetNodeId() != "" && m.GetNodeId() == learner.GetNodeId()
	})
}

func (p *voterPlanner) observe(tick uint64, s regionlog.Status) {
	if p.lastResponse == nil {
		p.lastResponse = map[uint64]uint64{}
	}
	for _, m := range s.Membership.GetMembers() {
		if _, known := p.lastResponse[m.GetIdentity()]; !known || s.Active[m.GetIdentity()] {
			p.lastResponse[m.GetIdentity()] = tick
		}
	}
}

// leastVoters returns the candidate in the failure domain with the fewest voters, so
// that a majority survives the loss of one domain where possible.
func leastVoters(membership *peerpb.Membership, candidates []*peerpb.Member) *peerpb.Member {
	voters := lo.CountValuesBy(lo.Filter(membership.GetMembers(), func(m *peerpb.Member, _ int) bool { return !m.GetLearner() }),
		func(m *peerpb.Member) string { return m.GetFailureDomain() })
	return lo.MinBy(candidates, func(a, b *peerpb.Member) bool {
		return voters[a.GetFailureDomain()] < voters[b.GetFailureDomain()]
	})
}
