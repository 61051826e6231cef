package regionlog

// readQueue holds the reads that wait for confirmation by a quorum. Reads are
// numbered within a term; a heartbeat response confirms all reads up to the
// number that it carries.
type readQueue struct {
	last    uint64
	sent    uint64
	waiting []waitingRead
}

type waitingRead struct {
	number uint64
	state  ReadState
}

// Read requests an index that covers everything committed before this call. The
// index is returned in Ready.Reads, or never if leadership is lost first.
func (m *Machine) Read(id uint64) error {
	if m.role != Leader {
		return &NotLeaderError{m.leader}
	}
	if !m.committedOwnTerm() {
		return ErrTermNotCommitted
	}
	state := ReadState{ID: id, Index: m.log.commit}
	if m.cfg.injectedFault == faultReadWithoutQuorum {
		m.readStates = append(m.readStates, state)
		return nil
	}
	m.reads.last++
	m.reads.waiting = append(m.reads.waiting, waitingRead{m.reads.last, state})
	return nil
}

// confirmReads sends new reads to the peers for confirmation and releases those
// confirmed by a majority. A response in this term proves that its sender had
// not voted in a later term when the read was accepted.
func (m *Machine) confirmReads() {
	if len(m.reads.waiting) == 0 {
		return
	}
	if m.reads.sent < m.reads.last {
		m.broadcastHeartbeat()
	}
	confirmed := quorumValue(Voters(m.log.membership()), func(id uint64) uint64 {
		if id == m.cfg.Identity {
			return m.reads.last
		}
		return m.progress[id].read
	})
	released := 0
	for _, r := range m.reads.waiting {
		if r.number > confirmed {
			break
		}
		m.readStates = append(m.readStates, r.state)
		released++
	}
	m.reads.waiting = m.reads.waiting[released:]
}
