package regionlog

import (
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Tick advances the machine's logical clock by one.
func (m *Machine) Tick() {
	m.electionElapsed++
	m.leaderSilent++
	m.silences.age++
	if m.role == Leader {
		m.tickLeader()
		return
	}
	if m.takesOver() {
		m.takeover.attempts++
		m.campaign(false, true, CauseTakeover)
		return
	}
	if m.electionElapsed >= m.electionTimeout && m.isVoter() {
		m.campaign(m.cfg.injectedFault != faultNoPreVote, false, CauseLeaderSilent)
	}
}

func (m *Machine) tickLeader() {
	m.heartbeatElapsed++
	for _, id := range m.peers {
		m.progress[id].silentTicks++
	}
	if m.electionElapsed >= m.cfg.ElectionTicks {
		m.electionElapsed = 0
		if !m.checkQuorum() && m.cfg.injectedFault != faultNoCheckQuorum {
			m.becomeFollower(m.term, 0, CauseQuorumSilent)
			return
		}
	}
	m.tickTransfer()
	if m.heartbeatElapsed >= m.cfg.HeartbeatTicks {
		m.heartbeatElapsed = 0
		m.retransmitSnapshots()
		m.broadcastHeartbeat()
	}
}

// checkQuorum reports whether a majority responded since the last check.
func (m *Machine) checkQuorum() bool {
	voters := Voters(m.log.membership())
	active := lo.CountBy(voters, func(id uint64) bool {
		return id == m.cfg.Identity || m.progress[id].active
	})
	for _, p := range m.progress {
		p.active, p.wasActive = false, p.active
	}
	return active > len(voters)/2
}

func (m *Machine) resetTimeout() {
	m.electionElapsed = 0
	m.electionTimeout = m.randomTimeout(m.cfg.ElectionTicks)
}

// randomTimeout returns a random timeout in [ticks, 2*ticks), so that voters seldom
// campaign at the same time.
func (m *Machine) randomTimeout(ticks int) int {
	m.randomState += 0x9e3779b97f4a7c15
	z := m.randomState
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	z ^= z >> 31
	return ticks + int(z%uint64(ticks))
}

func (m *Machine) becomeFollower(term, leader uint64, cause RoleCause) {
	if term != m.term {
		m.term, m.vote = term, 0
	}
	if m.role == Leader {
		m.recordSilences(m.silentMembers())
	}
	m.role, m.leader, m.transferee, m.cause = Follower, leader, 0, cause
	m.progress, m.peers, m.votes = nil, nil, nil
	m.reads = readQueue{}
	m.resetTimeout()
}

// campaign starts an election, or a pre-vote if pre is set. A pre-vote does not
// increment the term, so that a keeper that rejoins after a partition does not
// disrupt the leader.
func (m *Machine) campaign(pre, transfer bool, cause RoleCause) {
	m.cause = cause
	m.votes = map[uint64]bool{}
	m.leader = 0
	kind, term := peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE, m.term+1
	m.role = PreCandidate
	if !pre {
		kind = peerpb.MessageKind_MESSAGE_KIND_VOTE
		m.role, m.term, m.vote = Candidate, term, m.cfg.Identity
	}
	m.resetTimeout()
	m.countVote(m.cfg.Identity, true)
	if m.role == Leader || (pre && m.role == Candidate) {
		return
	}
	for _, id := range Voters(m.log.membership()) {
		if id == m.cfg.Identity {
			continue
		}
		m.send(&peerpb.LogMessage{
			Kind: kind, To: id, Term: term, Index: m.log.last(), LogTerm: m.log.lastTerm(), Transfer: transfer,
		})
	}
}

// countVote records a vote and acts once a majority granted or rejected it.
func (m *Machine) countVote(from uint64, granted bool) {
	if _, seen := m.votes[from]; !seen {
		m.votes[from] = granted
	}
	voters := Voters(m.log.membership())
	yes := lo.CountBy(voters, func(id uint64) bool { return m.votes[id] })
	no := lo.CountBy(voters, func(id uint64) bool { v, ok := m.votes[id]; return ok && !v })
	switch {
	case yes > len(voters)/2 && m.role == PreCandidate:
		m.campaign(false, false, CausePreVoteWon)
	case yes > len(voters)/2:
		m.becomeLeader()
	case no > len(voters)/2:
		m.becomeFollower(m.term, 0, CauseElectionLost)
	}
}

func (m *Machine) becomeLeader() {
	m.role, m.leader, m.transferee, m.votes, m.cause = Leader, m.cfg.Identity, 0, nil, CauseElectionWon
	m.electionElapsed, m.heartbeatElapsed = 0, 0
	m.reads = readQueue{}
	m.progress = map[uint64]*progress{}
	m.refreshProgress()
	if p, ok := m.progress[m.cfg.Identity]; ok {
		p.match = m.log.stable
	}
	if p, ok := m.progress[m.lastLeader]; ok && m.lastLeader != m.cfg.Identity {
		p.silentTicks = min(m.leaderSilent, 2*m.cfg.ElectionTicks)
	}
	m.inheritSilences()
	m.lastLeader = m.cfg.Identity
	m.appendEntry(peerpb.EntryKind_ENTRY_KIND_NOOP, 0, nil)
}

// leaseHeld reports whether this keeper received a message from the leader within
// the minimum election timeout. While it holds, vote requests are ignored.
func (m *Machine) leaseHeld() bool {
	return m.leader != 0 && m.electionElapsed < m.cfg.ElectionTicks
}

// handleVoteRequest responds to a vote or pre-vote request whose term is not below
// this keeper's term.
func (m *Machine) handleVoteRequest(msg *peerpb.LogMessage) {
	pre := msg.GetKind() == peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE
	kind := peerpb.MessageKind_MESSAGE_KIND_VOTE_RESPONSE
	if pre {
		kind = peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE
	}
	canVote := m.vote == msg.GetFrom() || (m.vote == 0 && m.leader == 0) || (pre && msg.GetTerm() > m.term)
	upToDate := m.log.coveredBy(msg.GetIndex(), msg.GetLogTerm()) || m.cfg.injectedFault == faultVoteWithoutLogCheck
	if !canVote || !upToDate {
		m.send(&peerpb.LogMessage{Kind: kind, To: msg.GetFrom(), Term: m.term, Reject: true})
		return
	}
	if !pre {
		m.electionElapsed = 0
		m.vote = msg.GetFrom()
	}
	m.send(&peerpb.LogMessage{Kind: kind, To: msg.GetFrom(), Term: msg.GetTerm()})
}

func (m *Machine) handleVoteResponse(msg *peerpb.LogMessage) {
	expectedRole := Candidate
	if msg.GetKind() == peerpb.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE {
		expectedRole = PreCandidate
	}
	stale := expectedRole == PreCandidate && !msg.GetReject() && msg.GetTerm() != m.term+1
	if m.role == expectedRole && !stale {
		m.countVote(msg.GetFrom(), !msg.GetReject())
	}
}

// Unheard returns the members that should have sent a message within the last ticks and did
// not: on the leader those that do not respond, on a follower the leader, and without a
// leader all other voters.
func (m *Machine) Unheard(ticks int) []uint64 {
	switch {
	case m.role == Leader:
		return lo.Filter(m.peers, func(id uint64, _ int) bool { return m.progress[id].silentTicks >= ticks })
	case m.leader != 0 && m.leaderSilent >= ticks:
		return []uint64{m.leader}
	case m.leader == 0 && m.leaderSilent >= ticks:
		return lo.Without(Voters(m.log.membership()), m.cfg.Identity)
	default:
		return nil
	}
}
