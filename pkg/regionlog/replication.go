package regionlog

import (
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// snapshotHeartbeats is the number of heartbeats after which an unacknowledged
// snapshot is sent again.
const snapshotHeartbeats = 100

// progress is the leader's view of one member's log.
type progress struct {
	// match is the last index that the member is known to have synced.
	match uint64
	// next is the first index to send.
	next uint64
	// replicating enables pipelining. While it is false, one message at a time
	// probes for the last index at which the logs match.
	replicating bool
	// inFlight are the messages with entries that the member has not acknowledged, the
	// oldest first, and inFlightBytes the size of their entries.
	inFlight      []sentEntries
	inFlightBytes int
	// installing is set while a snapshot is in flight.
	installing bool
	// installElapsed counts the heartbeats since the snapshot was sent.
	installElapsed int
	// sentUpTo is the last index sent.
	sentUpTo uint64
	// sentCommit is the last commit index sent.
	sentCommit uint64
	// active is set if the member responded since the last quorum check.
	active bool
	// wasActive is active as of the last quorum check.
	wasActive bool
	// silentTicks is the number of ticks since the member's last response, as in
	// Status.SilentTicks.
	silentTicks int
	// answered is the number of the last heartbeat that the member answered.
	answered uint64
}

// sentEntries is a message with entries, or a probe.
type sentEntries struct {
	// last is the index of its last entry.
	last  uint64
	bytes int
	// heartbeat is the number of the last heartbeat before it.
	heartbeat uint64
}

// responded records a response of the member.
func (p *progress) responded() { p.active, p.silentTicks = true, 0 }

func (p *progress) probe() {
	p.replicating, p.installing, p.installElapsed = false, false, 0
	p.next = p.match + 1
	p.forgetInFlight()
}

func (p *progress) forgetInFlight() { p.inFlight, p.inFlightBytes = nil, 0 }

// acknowledge removes the messages whose entries the member has, up to p.match.
func (p *progress) acknowledge() {
	for len(p.inFlight) > 0 && p.inFlight[0].last <= p.match {
		p.inFlightBytes -= p.inFlight[0].bytes
		p.inFlight = p.inFlight[1:]
	}
}

// lost reports whether the member answered a heartbeat that was sent after a message which
// it has not acknowledged. Messages and responses keep their order on a connection, so the
// message or its response was lost. A member that is only slow answers neither.
func (p *progress) lost() bool { return len(p.inFlight) > 0 && p.answered > p.inFlight[0].heartbeat }

// replicate sends each peer its missing entries, within the peer's window.
func (m *Machine) replicate() {
	for _, id := range m.peers {
		p := m.progress[id]
		for m.sendable(p) {
			m.sendAppend(id, p)
		}
	}
}

func (m *Machine) sendable(p *progress) bool {
	switch {
	case p.installing:
		return false
	case !p.replicating:
		return len(p.inFlight) == 0
	case p.next > m.log.last():
		return p.sentCommit < m.log.commit
	default:
		return p.next-p.match <= m.cfg.MaxWindowEntries && p.inFlightBytes < m.cfg.MaxWindowBytes
	}
}

// sendAppend sends the entries from p.next on, or a snapshot if the entry
// before them was compacted.
func (m *Machine) sendAppend(id uint64, p *progress) {
	previous := p.next - 1
	term, ok := m.log.term(previous)
	if !ok {
		p.installing = true
		p.forgetInFlight()
		m.send(&peerpb.LogMessage{
			Kind: peerpb.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id,
			Snapshot: &peerpb.LogSnapshot{Index: m.log.base.Index, Term: m.log.base.Term},
		})
		return
	}
	entries := m.log.slice(p.next, m.log.last(), m.cfg.MaxAppendBytes)
	m.send(&peerpb.LogMessage{
		Kind: peerpb.MessageKind_MESSAGE_KIND_APPEND, To: id,
		Index: previous, LogTerm: term, Entries: entries, Commit: m.log.commit,
	})
	p.sentCommit = m.log.commit
	m.countSent(p, entries)
	if len(entries) == 0 && p.replicating {
		return
	}
	sent := sentEntries{last: previous + uint64(len(entries)), bytes: lo.SumBy(entries, entrySize), heartbeat: m.reads.sent}
	p.inFlight, p.inFlightBytes = append(p.inFlight, sent), p.inFlightBytes+sent.bytes
	if p.replicating {
		p.next += uint64(len(entries))
	}
}

// countSent counts entries that are sent to a peer.
func (m *Machine) countSent(p *progress, entries []*peerpb.LogEntry) {
	for _, e := range entries {
		size := uint64(len(e.GetData()))
		m.sent.EntryBytes += size
		if e.GetIndex() <= p.sentUpTo {
			m.sent.RepeatedBytes += size
		}
		p.sentUpTo = max(p.sentUpTo, e.GetIndex())
	}
}

func (m *Machine) broadcastHeartbeat() {
	m.reads.sent++
	silent := m.silentMembers()
	for _, id := range m.peers {
		m.send(&peerpb.LogMessage{
			Kind: peerpb.MessageKind_MESSAGE_KIND_HEARTBEAT, To: id,
			Commit: min(m.progress[id].match, m.log.commit), Read: m.reads.sent, Silences: silent, Revision: m.cfg.Revision,
		})
	}
}

// handleAppend appends the leader's entries if the entry before them matches.
func (m *Machine) handleAppend(msg *peerpb.LogMessage) error {
	answer := &peerpb.LogMessage{Kind: peerpb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: msg.GetFrom()}
	switch {
	case msg.GetIndex() < m.log.commit:
		answer.Index = m.log.commit
	case m.log.matches(msg.GetIndex(), msg.GetLogTerm()) || m.acceptsUnmatched(msg):
		if err := m.log.merge(msg.GetEntries()); err != nil {
			return err
		}
		answer.Index = msg.GetIndex() + uint64(len(msg.GetEntries()))
		m.log.commitTo(min(msg.GetCommit(), answer.Index))
	default:
		answer.Reject = true
		answer.Index = msg.GetIndex()
		answer.Hint, answer.HintTerm = m.agreementHint(msg.GetIndex(), msg.GetLogTerm())
	}
	m.send(answer)
	return nil
}

func (m *Machine) acceptsUnmatched(msg *peerpb.LogMessage) bool {
	return m.cfg.injectedFault == faultAppendWithoutMatch && msg.GetIndex() <= m.log.last()
}

// agreementHint returns the last entry at or before index whose term is not
// above the given term: no later entry can match the sender's log.
func (m *Machine) agreementHint(index, term uint64) (hint, hintTerm uint64) {
	hint = min(index, m.log.last())
	for hint > m.log.base.Index {
		hintTerm, _ = m.log.term(hint)
		if hintTerm <= term {
			return hint, hintTerm
		}
		hint--
	}
	hintTerm, _ = m.log.term(hint)
	return hint, hintTerm
}

func (m *Machine) handleAppendResponse(msg *peerpb.LogMessage) {
	p, ok := m.progress[msg.GetFrom()]
	if m.role != Leader || !ok {
		return
	}
	p.responded()
	if msg.GetReject() {
		m.handleRejection(p, msg)
		return
	}
	if msg.GetIndex() > m.log.last() {
		return
	}
	p.match = max(p.match, msg.GetIndex())
	p.next = max(p.next, p.match+1)
	if !p.replicating {
		p.forgetInFlight()
	}
	p.acknowledge()
	if !p.installing || p.match >= m.log.base.Index {
		p.installing, p.replicating = false, true
	}
	m.maybeCommit()
	m.finishTransfer(msg.GetFrom(), p)
}

// handleRejection moves p.next back to an earlier candidate for the last matching
// entry. Rejections of entries acknowledged since, or of any message but the last
// probe, are stale and ignored.
func (m *Machine) handleRejection(p *progress, msg *peerpb.LogMessage) {
	if p.installing {
		return
	}
	if p.replicating {
		if msg.GetIndex() > p.match {
			p.probe()
		}
		return
	}
	if msg.GetIndex() != p.next-1 {
		return
	}
	agreed, _ := m.agreementHint(msg.GetHint(), msg.GetHintTerm())
	p.next = max(p.match+1, min(agreed, msg.GetHint(), msg.GetIndex()-1)+1)
	p.forgetInFlight()
}

func (m *Machine) handleHeartbeat(msg *peerpb.LogMessage) {
	m.log.commitTo(msg.GetCommit())
	m.recordSilences(msg.GetSilences())
	m.takeover.leaderRevision = msg.GetRevision()
	m.send(&peerpb.LogMessage{
		Kind: peerpb.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE, To: msg.GetFrom(), Read: msg.GetRead(),
	})
}

// handleHeartbeatResponse marks the member active and records the heartbeat that it
// answered. What is known to be lost is sent again.
func (m *Machine) handleHeartbeatResponse(msg *peerpb.LogMessage) {
	p, ok := m.progress[msg.GetFrom()]
	if m.role != Leader || !ok {
		return
	}
	p.responded()
	p.answered = max(p.answered, msg.GetRead())
	switch {
	case !p.lost():
	case p.replicating:
		p.probe()
	default:
		p.forgetInFlight()
	}
}

// retransmitSnapshots sends, at each heartbeat, the snapshots again that were not
// acknowledged for too long.
func (m *Machine) retransmitSnapshots() {
	for _, id := range m.peers {
		p := m.progress[id]
		if !p.installing {
			continue
		}
		if p.installElapsed++; p.installElapsed >= snapshotHeartbeats {
			p.probe()
		}
	}
}

// SnapshotFailed reports that a snapshot could not be sent to a member.
func (m *Machine) SnapshotFailed(identity uint64) {
	if p, ok := m.progress[identity]; ok && p.installing {
		p.probe()
	}
}

// maybeCommit raises the commit index to the last entry that a majority synced.
// Only entries of the current term are committed by counting replicas, which also
// commits all preceding entries. An entry of an earlier term could still be
// overwritten by a leader that lacks it.
func (m *Machine) maybeCommit() {
	index := quorumValue(Voters(m.log.membership()), func(id uint64) uint64 { return m.progress[id].match })
	term, _ := m.log.term(index)
	if term == m.term || m.cfg.injectedFault == faultCommitEarlierTerm {
		m.log.commitTo(index)
	}
}

// handleSnapshot replaces the log with a snapshot, unless the log already holds
// the entries that the snapshot covers.
func (m *Machine) handleSnapshot(msg *peerpb.LogMessage) {
	snapshot := msg.GetSnapshot()
	answer := &peerpb.LogMessage{Kind: peerpb.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: msg.GetFrom()}
	if snapshot.GetIndex() > m.log.commit {
		m.restore(snapshot)
	}
	answer.Index = m.log.commit
	m.send(answer)
}

func (m *Machine) restore(snapshot *peerpb.LogSnapshot) {
	if m.log.matches(snapshot.GetIndex(), snapshot.GetTerm()) {
		m.log.commitTo(snapshot.GetIndex())
		return
	}
	membership, _ := proto.Clone(snapshot.GetMembership()).(*peerpb.Membership)
	base := Base{
		Index: snapshot.GetIndex(), Term: snapshot.GetTerm(),
		LeaderTimeMs: snapshot.GetLeaderTimeMs(), Membership: membership,
	}
	m.log, _ = newEntryLog(base, nil)
	m.installing = snapshot
}
