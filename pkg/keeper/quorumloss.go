package keeper

import (
	"fmt"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// lostQuorumRemedy is the remedy where no majority of the voters' disks exists any more.
const lostQuorumRemedy = "start every keeper whose disk can still be read; if no majority of the voters can, stop all keepers and follow 'Lost quorum' in docs/operations/keepers.md (--force-new-quorum)"

// voterStates is what a keeper without a leader learned of the voters by asking each.
type voterStates struct {
	// voters is the number of voters, answering that of those under the identity that has the
	// vote; this keeper counts if it is one.
	voters, answering int
	// disksLost are the nodes that answered under another identity: their votes cannot be
	// given any more. Nothing is known of the unreachable ones.
	disksLost, unreachable []string
}

func (s voterStates) majority() int { return s.voters/2 + 1 }

// quorumLost reports whether no majority can form, whoever returns.
func (s voterStates) quorumLost() bool { return s.voters-len(s.disksLost) < s.majority() }

// quorumMissing reports whether a majority needs voters that do not answer.
func (s voterStates) quorumMissing() bool { return s.answering < s.majority() }

// add records the answer of a member; nil if there was none. An answer of another node, to
// which the address may have passed, says nothing of the member's disk.
func (s *voterStates) add(m *peerpb.Member, answer *peerpb.IntroduceResponse) {
	if m.GetLearner() {
		return
	}
	s.voters++
	switch {
	case answer.GetIdentity() == m.GetIdentity():
		s.answering++
	case answer != nil && answer.GetNodeId() == m.GetNodeId():
		s.disksLost = append(s.disksLost, m.GetNodeId())
	default:
		s.unreachable = append(s.unreachable, m.GetNodeId())
	}
}

// refuseForcedQuorum returns an error while a majority could still form: while another voter
// answers under its identity, or is unreachable and the operator has not stated that it is
// gone. The states are those of the other voters.
func (s voterStates) refuseForcedQuorum(gone []string) error {
	unknown := lo.Without(s.unreachable, gone...)
	switch {
	case s.answering > 0:
		return fault.New(fault.Conflict, "stop all keepers; those that run may hold a majority with the disks that are left",
			"%d other voters of the region log answer", s.answering)
	case len(unknown) > 0:
		return fault.New(fault.Conflict, "start these keepers with their disks; if a disk is gone for good, state it with --gone NODE",
			"no answer from the voters %v, which may hold a majority", unknown)
	}
	return nil
}

// reportQuorum logs why there is no leader, once for each reason, and how to recover.
func (k *Keeper) reportQuorum(s voterStates) {
	reason := fmt.Sprint(s.quorumLost(), s.quorumMissing(), s.disksLost, s.unreachable)
	if reason == k.quorumReported {
		return
	}
	k.quorumReported = reason
	k.setQuorumGauges(s)
	if !s.quorumMissing() {
		return
	}
	event, name, remedy := k.opts.Log.Warn(), "quorum_unreachable", "start the unreachable keepers with their disks, or restore the links to them; "+lostQuorumRemedy
	if s.quorumLost() {
		event, name, remedy = k.opts.Log.Error(), "quorum_lost", lostQuorumRemedy
	}
	event.Int("voters", s.voters).Int("answering", s.answering).Int("needed", s.majority()).
		Strs("disks_lost", s.disksLost).Strs("unreachable", s.unreachable).Str("remedy", remedy).Msg(name)
}

// clearQuorumReport records that there is a leader.
func (k *Keeper) clearQuorumReport() {
	if k.quorumReported != "" {
		k.quorumReported = ""
		k.setQuorumGauges(voterStates{})
		k.opts.Log.Info().Msg("quorum_restored")
	}
}

func (k *Keeper) setQuorumGauges(s voterStates) {
	if k.opts.Metrics == nil {
		return
	}
	lost := int64(0)
	if s.voters > 0 && s.quorumLost() {
		lost = 1
	}
	k.opts.Metrics.Set("regionlog.quorum_lost", lost)
	k.opts.Metrics.Set("regionlog.unreachable_voters", int64(len(s.unreachable)))
	k.opts.Metrics.Set("regionlog.lost_disks", int64(len(s.disksLost)))
}
