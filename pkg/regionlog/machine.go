package regionlog

import (
	"fmt"
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Role is the role of a keeper in its current term.
type Role int

// The roles of a keeper.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// RoleCause is why a keeper changed its role, or its term.
type RoleCause string

// The causes of a change of role.
const (
	CauseStarted      RoleCause = "started"
	CauseFollows      RoleCause = "message of a leader"
	CauseLeaderSilent RoleCause = "no message of a leader for an election timeout"
	CausePreVoteWon   RoleCause = "pre-vote won"
	CauseElectionWon  RoleCause = "election won"
	CauseElectionLost RoleCause = "votes refused by a majority"
	CauseQuorumSilent RoleCause = "no response of a majority for an election timeout"
	CauseLaterTerm    RoleCause = "message of a later term"
	CauseVoteGivenUp  RoleCause = "demoted or removed"
	CauseTransfer     RoleCause = "leadership transferred"
	CauseTakeover     RoleCause = "leader of an earlier revision"
)

// Config sets up a Machine.
type Config struct {
	// Identity of this keeper, generated when its disk was first formatted.
	Identity uint64
	// ElectionTicks is the minimum election timeout. Each timeout is random between
	// this and twice as many ticks.
	ElectionTicks int
	// FirstElectionTicks replaces ElectionTicks for the first election after a start, so
	// that a region whose keepers all start together elects a leader sooner. If a leader
	// exists, the keepers that receive its heartbeats reject the pre-vote. 0 means
	// ElectionTicks.
	FirstElectionTicks int
	// HeartbeatTicks is the interval between a leader's heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes limits the entries in one message.
	MaxAppendBytes int
	// MaxWindowEntries limits the unacknowledged entries in flight to a peer.
	MaxWindowEntries uint64
	// MaxWindowBytes limits their size; one message more may be in flight.
	MaxWindowBytes int
	// MaxUncommittedBytes limits the size of the uncommitted entries.
	MaxUncommittedBytes int
	// MaxInheritedSilence limits, in ticks, the silence of a member that a new leader counts from
	// before its term. 0 counts from the beginning of the term.
	MaxInheritedSilence int
	// Revision numbers the rules by which a leader replaces voters. A voter takes the leadership
	// over from a leader of an earlier revision.
	Revision uint32
	// Seed of the random election timeouts.
	Seed uint64
	// injectedFault disables a rule of the protocol; only tests set it.
	injectedFault injectedFault
}

// StoredState is the state that a keeper reads from its disk.
type StoredState struct {
	HardState *peerpb.HardState
	Base      Base
	Entries   []*peerpb.LogEntry
	// Applied is the index of the snapshot that the state was restored from.
	Applied uint64
}

// Ready is a batch of actions. The owner performs them in the order of the
// fields and then calls Advance.
type Ready struct {
	// Snapshot replaces the stored and the applied state; it is synced first.
	Snapshot *peerpb.LogSnapshot
	// HardState and Entries are synced together. HardState is nil if it is unchanged.
	HardState *peerpb.HardState
	Entries   []*peerpb.LogEntry
	// MustSync is false if only the commit index changed.
	MustSync bool
	// Messages must be sent after the sync. A snapshot message carries no data; the
	// owner adds its latest snapshot.
	Messages []*peerpb.LogMessage
	// Committed entries must be applied in order.
	Committed []*peerpb.LogEntry
	// Reads can be answered once their index is applied.
	Reads []ReadState
}

// ReadState is a read confirmed by a quorum.
type ReadState struct {
	ID    uint64
	Index uint64
}

// Status describes the state of a Machine.
type Status struct {
	Identity uint64
	Role     Role
	// Cause is why the keeper took its role, or ended it.
	Cause      RoleCause
	Term       uint64
	Leader     uint64
	Commit     uint64
	Last       uint64
	Membership *peerpb.Membership
	// Match is the last index known to be replicated on each member; set on the leader only.
	Match map[uint64]uint64
	// Active reports which members responded recently; set on the leader only.
	Active map[uint64]bool
	// SilentTicks is the number of ticks since each member's last response; set on the leader
	// only. Of the time before the term, up to Config.MaxInheritedSilence counts if the member
	// did not respond to the preceding leader, and up to two election timeouts without a
	// message of the preceding leader itself.
	SilentTicks map[uint64]int
	// Sent counts what this keeper sent to others since its start.
	Sent SentCounts
}

// SentCounts counts the entries that a leader sent, by the size of their data in bytes.
type SentCounts struct {
	// EntryBytes are all, RepeatedBytes those that the member had been sent before in the term.
	EntryBytes, RepeatedBytes uint64
}

// Machine is the protocol state of one keeper of the region log.
type Machine struct {
	cfg    Config
	log    *entryLog
	role   Role
	cause  RoleCause
	term   uint64
	vote   uint64
	leader uint64

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	randomState      uint64
	// lastLeader is the last leader known, leaderSilent the number of ticks since its
	// last message.
	lastLeader   uint64
	leaderSilent int
	silences     silences
	takeover     takeover

	// votes received as a candidate or pre-candidate.
	votes map[uint64]bool
	// progress of every member; peers are the members other than this keeper. Both are
	// set on the leader only.
	progress map[uint64]*progress
	peers    []uint64
	// transferee is the target of a leadership transfer; 0 if none is in progress.
	transferee      uint64
	transferElapsed int
	reads           readQueue

	sent     SentCounts
	messages []*peerpb.LogMessage
	// installing is a snapshot that the owner has not synced yet.
	installing      *peerpb.LogSnapshot
	readStates      []ReadState
	syncedHardState *peerpb.HardState
	pendingReady    *Ready
}

// New returns a machine that starts from stored state.
func New(cfg Config, stored StoredState) (*Machine, error) {
	log, err := newEntryLog(stored.Base, stored.Entries)
	if err != nil {
		return nil, err
	}
	hs := stored.HardState
	if hs.GetCommit() > log.last() {
		return nil, &DamagedLogError{fmt.Sprintf("entry %d was committed but the log ends at entry %d", hs.GetCommit(), log.last())}
	}
	if stored.Applied > log.last() || stored.Applied < log.base.Index {
		return nil, &DamagedLogError{fmt.Sprintf("the snapshot at entry %d is outside the log", stored.Applied)}
	}
	log.commitTo(max(hs.GetCommit(), stored.Applied))
	log.delivered = stored.Applied
	m := &Machine{cfg: cfg, log: log, term: hs.GetTerm(), vote: hs.GetVote(), randomState: cfg.Seed}
	m.syncedHardState = m.hardState()
	m.becomeFollower(m.term, 0, CauseStarted)
	if cfg.FirstElectionTicks > 0 {
		m.electionTimeout = m.randomTimeout(cfg.FirstElectionTicks)
	}
	return m, nil
}

func (m *Machine) hardState() *peerpb.HardState {
	return &peerpb.HardState{Term: m.term, Vote: m.vote, Commit: m.log.commit}
}

// Status returns the machine's current state.
func (m *Machine) Status() Status {
	s := Status{
		Identity: m.cfg.Identity, Role: m.role, Cause: m.cause, Term: m.term, Leader: m.leader,
		Commit: m.log.commit, Last: m.log.last(), Membership: m.log.membership(), Sent: m.sent,
	}
	if m.role == Leader {
		s.Match = lo.MapValues(m.progress, func(p *progress, _ uint64) uint64 { return p.match })
		s.Active = lo.MapValues(m.progress, func(p *progress, id uint64) bool {
			return p.active || p.wasActive || id == m.cfg.Identity
		})
		s.SilentTicks = lo.MapValues(m.progress, func(p *progress, _ uint64) int { return p.silentTicks })
	}
	return s
}

// BaseAt returns the base of a log that starts after index, which the log must hold.
func (m *Machine) BaseAt(index uint64) Base { return m.log.baseAt(index) }

// EntriesAfter returns the synced entries after index, which the log must hold.
func (m *Machine) EntriesAfter(index uint64) []*peerpb.LogEntry {
	return m.log.entries[index-m.log.base.Index : m.log.stable-m.log.base.Index]
}

// Compact removes the entries up to index. The owner must have a snapshot at
// index or later.
func (m *Machine) Compact(index uint64) { m.log.compact(index) }

// BaseIndex returns the index of the last compacted entry.
func (m *Machine) BaseIndex() uint64 { return m.log.base.Index }

// Propose appends a command. It is committed once Ready returns a committed
// entry with the same index and term, and it will never be committed once Ready
// returns a committed entry with the same index and another term.
func (m *Machine) Propose(nowMs int64, data []byte) (index, term uint64, err error) {
	if err := m.checkLeading(); err != nil {
		return 0, 0, err
	}
	if m.log.uncommittedBytes > m.cfg.MaxUncommittedBytes {
		return 0, 0, ErrOverloaded
	}
	e := m.appendEntry(peerpb.EntryKind_ENTRY_KIND_COMMAND, nowMs, data)
	return e.GetIndex(), e.GetTerm(), nil
}

func (m *Machine) checkLeading() error {
	if m.role != Leader {
		return &NotLeaderError{m.leader}
	}
	if m.transferee != 0 {
		return ErrTransferring
	}
	return nil
}

// appendEntry stamps and appends an entry on the leader. Its time is never
// before that of the preceding entry, even if the leader's clock went backwards.
func (m *Machine) appendEntry(kind peerpb.EntryKind, nowMs int64, data []byte) *peerpb.LogEntry {
	if m.cfg.injectedFault != faultNoTimeFloor {
		nowMs = max(nowMs, m.log.lastTimeMs())
	}
	e := &peerpb.LogEntry{Index: m.log.last() + 1, Term: m.term, Kind: kind, LeaderTimeMs: nowMs, Data: data}
	if err := m.log.push(e); err != nil {
		panic("regionlog: invalid entry appended by the leader: " + err.Error())
	}
	return e
}

// committedOwnTerm reports whether an entry of the current term is committed.
// Until then the leader does not know the commit index of earlier terms.
func (m *Machine) committedOwnTerm() bool {
	term, _ := m.log.term(m.log.commit)
	return term == m.term
}

// Ready returns the next batch; ok is false if there is nothing to do.
func (m *Machine) Ready() (ready Ready, ok bool) {
	if m.pendingReady != nil {
		panic("regionlog: Ready before Advance of the last batch")
	}
	if m.role == Leader {
		m.replicate()
		m.confirmReads()
	}
	r := Ready{
		Snapshot: m.installing, Messages: m.messages, Reads: m.readStates,
		Entries:   slices.Clone(m.log.entries[m.log.stable-m.log.base.Index:]),
		Committed: slices.Clone(m.log.entries[m.log.delivered-m.log.base.Index : m.log.commit-m.log.base.Index]),
	}
	hs := m.hardState()
	if !proto.Equal(hs, m.syncedHardState) {
		r.HardState = hs
	}
	r.MustSync = r.Snapshot != nil || len(r.Entries) > 0 || hs.GetTerm() != m.syncedHardState.GetTerm() || hs.GetVote() != m.syncedHardState.GetVote()
	if r.HardState == nil && !r.MustSync && len(r.Messages)+len(r.Committed)+len(r.Reads) == 0 {
		return Ready{}, false
	}
	m.messages, m.readStates = nil, nil
	m.pendingReady = &r
	return r, true
}

// Advance reports that the last batch was processed.
func (m *Machine) Advance() {
	r := m.pendingReady
	m.pendingReady, m.installing = nil, nil
	if r.HardState != nil {
		m.syncedHardState = r.HardState
	}
	if n := len(r.Entries); n > 0 {
		m.log.stable = r.Entries[n-1].GetIndex()
	}
	if n := len(r.Committed); n > 0 {
		m.log.delivered = r.Committed[n-1].GetIndex()
	}
	if m.role == Leader {
		m.leaderAdvanced()
	}
}

// leaderAdvanced counts the leader's own synced entries towards the quorum.
func (m *Machine) leaderAdvanced() {
	if p, ok := m.progress[m.cfg.Identity]; ok {
		p.match = m.log.stable
	}
	m.maybeCommit()
	if !m.isVoter() && !m.log.changePending() {
		m.transferBeforeStep()
		m.becomeFollower(m.term, 0, CauseVoteGivenUp)
	}
}

func (m *Machine) isVoter() bool {
	member, ok := FindMember(m.log.membership(), m.cfg.Identity)
	return ok && !member.GetLearner()
}

func (m *Machine) send(msg *peerpb.LogMessage) {
	msg.From = m.cfg.Identity
	if msg.Term == 0 {
		msg.Term = m.term
	}
	m.messages = append(m.messages, msg)
}
