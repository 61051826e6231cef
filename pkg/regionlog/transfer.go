package regionlog

import "github.com/masticmount/masticmount/pkg/peerpb"

// Transfer transfers leadership to a voter once it has replicated the whole log.
// Proposals are rejected until the transfer completes or an election timeout has
// passed.
func (m *Machine) Transfer(to uint64) error {
	if err := m.checkLeading(); err != nil {
		return err
	}
	member, ok := FindMember(m.log.membership(), to)
	if !ok || member.GetLearner() || to == m.cfg.Identity {
		return &InvalidChangeError{"leadership can only be transferred to another voter"}
	}
	m.transferee, m.transferElapsed = to, 0
	m.finishTransfer(to, m.progress[to])
	return nil
}

// TransferTarget returns the other voter with the highest match index, or 0.
func (m *Machine) TransferTarget() uint64 {
	var best uint64
	for _, id := range Voters(m.log.membership()) {
		p, ok := m.progress[id]
		if !ok || id == m.cfg.Identity {
			continue
		}
		if best == 0 || p.match > m.progress[best].match {
			best = id
		}
	}
	return best
}

func (m *Machine) finishTransfer(id uint64, p *progress) {
	if m.transferee == id && p.match == m.log.last() {
		m.send(&peerpb.LogMessage{Kind: peerpb.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: id})
	}
}

// transferBeforeStep has the voter with the longest log hold an election as the leader steps down because it was demoted, unless the
// transferee has the whole log: then it was told when it got the last entry. A removed leader is obeyed by nobody.
func (m *Machine) transferBeforeStep() {
	if _, member := FindMember(m.log.membership(), m.cfg.Identity); !member {
		return
	}
	if p, ok := m.progress[m.transferee]; ok && p.match == m.log.last() {
		return
	}
	if to := m.TransferTarget(); to != 0 {
		m.transferee = to
		m.finishTransfer(to, m.progress[to])
	}
}

// tickTransfer aborts a transfer that takes longer than an election timeout.
func (m *Machine) tickTransfer() {
	if m.transferee == 0 {
		return
	}
	m.transferElapsed++
	if m.transferElapsed >= m.cfg.ElectionTicks {
		m.transferee = 0
	}
}

// handleTimeoutNow starts an election immediately, as requested by the leader.
func (m *Machine) handleTimeoutNow() {
	if m.isVoter() && m.role != Leader {
		m.campaign(false, true, CauseTransfer)
	}
}
