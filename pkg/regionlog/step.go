package regionlog

import (
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Step processes a message from another keeper.
func (m *Machine) Step(msg *peerpb.LogMessage) error {
	if msg.GetTo() != m.cfg.Identity && m.cfg.injectedFault != faultAcceptOldIdentity {
		return ErrWrongIdentity
	}
	if lo.Contains(m.log.membershipAt(m.log.commit).GetRemoved(), msg.GetFrom()) {
		return ErrRemovedIdentity
	}
	if msg.GetFrom() == m.lastLeader {
		m.leaderSilent = 0
	}
	delete(m.silences.ticks, msg.GetFrom())
	switch {
	case msg.GetTerm() > m.term:
		if !m.enterTerm(msg) {
			return nil
		}
	case msg.GetTerm() < m.term:
		m.rejectStaleTerm(msg)
		return nil
	}
	return m.dispatch(msg)
}

// enterTerm handles the higher term of a message and reports whether to process
// the message.
func (m *Machine) enterTerm(msg *peerpb.LogMessage) bool {
	switch msg.GetKind() {
	case peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return !m.leaseHeld()
	case peerpb.MessageKind_MESSAGE_KIND_VOTE:
		if m.leaseHeld() && !msg.GetTransfer() {
			return false
		}
		m.becomeFollower(msg.GetTerm(), 0, CauseLaterTerm)
	case peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE:
		// A granted pre-vote carries the term that the election would have.
		if msg.GetReject() {
			m.becomeFollower(msg.GetTerm(), 0, CauseLaterTerm)
		}
	case peerpb.MessageKind_MESSAGE_KIND_APPEND, peerpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		peerpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		m.becomeFollower(msg.GetTerm(), msg.GetFrom(), CauseLaterTerm)
	default:
		m.becomeFollower(msg.GetTerm(), 0, CauseLaterTerm)
	}
	return true
}

// rejectStaleTerm sends the current term to the sender of a message with an older
// term, so that a stale leader steps down even while its own election messages are
// ignored because of the lease.
func (m *Machine) rejectStaleTerm(msg *peerpb.LogMessage) {
	switch msg.GetKind() {
	case peerpb.MessageKind_MESSAGE_KIND_APPEND, peerpb.MessageKind_MESSAGE_KIND_HEARTBEAT,
		peerpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		m.send(&peerpb.LogMessage{Kind: peerpb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: msg.GetFrom(), Reject: true})
	case peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE:
		m.send(&peerpb.LogMessage{Kind: peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, To: msg.GetFrom(), Reject: true})
	}
}

func (m *Machine) dispatch(msg *peerpb.LogMessage) error {
	switch msg.GetKind() {
	case peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE, peerpb.MessageKind_MESSAGE_KIND_VOTE:
		m.handleVoteRequest(msg)
	case peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, peerpb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE:
		m.handleVoteResponse(msg)
	case peerpb.MessageKind_MESSAGE_KIND_APPEND:
		m.followLeader(msg.GetFrom())
		return m.handleAppend(msg)
	case peerpb.MessageKind_MESSAGE_KIND_HEARTBEAT:
		m.followLeader(msg.GetFrom())
		m.handleHeartbeat(msg)
	case peerpb.MessageKind_MESSAGE_KIND_SNAPSHOT:
		m.followLeader(msg.GetFrom())
		m.handleSnapshot(msg)
	case peerpb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE:
		m.handleAppendResponse(msg)
	case peerpb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE:
		m.handleHeartbeatResponse(msg)
	case peerpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		m.handleTimeoutNow()
	}
	return nil
}

// followLeader becomes a follower of the leader of the current term.
func (m *Machine) followLeader(leader uint64) {
	if m.role != Follower {
		m.becomeFollower(m.term, leader, CauseFollows)
	}
	if m.takeover.term != m.term {
		m.follow()
	}
	m.leader, m.lastLeader = leader, leader
	m.electionElapsed, m.leaderSilent = 0, 0
}
