package regionlog

// maxTakeoverAttempts limits by how much the time before a takeover grows with each attempt.
const maxTakeoverAttempts = 6

// takeover decides when a voter takes the leadership over from a leader of an earlier
// revision. During an upgrade such a leader would replace voters by its earlier rules.
type takeover struct {
	// term is that of the present leader, leaderRevision the revision in its last heartbeat.
	term           uint64
	leaderRevision uint32
	// following is the number of ticks since the first message of the present leader; wait is
	// the number after which the voter takes over.
	following, wait int
	// attempts is the number of takeovers that this voter began.
	attempts int
}

// follow starts the time before a takeover from a new leader. It is random, so that two
// voters seldom begin at once, and doubles with each attempt.
func (m *Machine) follow() {
	// The revision comes with the first heartbeat.
	m.takeover.term, m.takeover.leaderRevision, m.takeover.following = m.term, m.cfg.Revision, 0
	m.takeover.wait = m.randomTimeout(2*m.cfg.ElectionTicks) << min(m.takeover.attempts, maxTakeoverAttempts)
}

// takesOver reports whether to take the leadership over now. The log must be whole as far as
// this keeper knows: otherwise the others would refuse their votes.
func (m *Machine) takesOver() bool {
	t := &m.takeover
	t.following++
	return m.role == Follower && m.leader != 0 && t.leaderRevision < m.cfg.Revision && t.following >= t.wait &&
		m.isVoter() && m.log.commit == m.log.last() && m.leaderSilent <= m.cfg.HeartbeatTicks
}
