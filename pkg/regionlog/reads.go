package regionlog

// readQueue holds the reads that wait for confirmation by a quorum. Heartbeats are
// numbered within a term, and a response carries the number of the heartbeat that it
// answers. A read is confirmed by responses to a heartbeat that was sent after it.
type readQueue struct {
	// sent is the number of the last heartbeat.
	sent    uint64
	waiting []waitingRead
}

type waitingRead struct {
	// number is that of the first heartbeat after the read.
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
	m.reads.waiting = append(m.reads.waiting, waitingRead{m.reads.sent + 1, state})
	return nil
}

// confirmReads sends a heartbeat if none followed the last read, and releases the reads
// confirmed by a majority. A response in this term proves that its sender had
// not voted in a later term when the read was accepted.
func (m *Machine) confirmReads() {
	if len(m.reads.waiting) == 0 {
		return
	}
	if m.reads.waiting[len(m.reads.waiting)-1].number > m.reads.sent {
		m.broadcastHeartbeat()
	}
	confirmed := quorumValue(Voters(m.log.membership()), func(id uint64) uint64 {
		if id == m.cfg.Identity {
			return m.reads.sent
		}
		return m.progress[id].answered
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
