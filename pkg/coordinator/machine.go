package coordinator

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/internal/faultinject"
)

// Options configure a Machine.
type Options struct {
	Domain string
	Self   Holder
	// Voters are the nodes whose majority grants the lease.
	Voters []string
	// Candidate is false for a node that only votes.
	Candidate bool
	// InjectedFaults enables injected faults in tests.
	InjectedFaults faultinject.Faults
}

// round is one request to all voters and the replies received to it.
type round struct {
	number  uint64
	sentAt  time.Time
	fence   uint64
	granted map[string]bool
	// refused holds, for each voter that refused, how long its vote is unavailable.
	refused map[string]time.Duration
}

// Machine is the state machine of one node in the coordinator election of its
// failure domain.
type Machine struct {
	opts            Options
	voter           *Voter
	isVoter         bool
	voters          []string
	votersChangedAt time.Time

	roundNumber uint64
	rounds      []*round
	nextAttempt time.Time
	retries     int
	stopped     bool

	// leaseEnd is when the lease ends. Sending orders also requires that a
	// majority has recorded the fencing number.
	leaseEnd time.Time
	// fence is the fencing number, chosen once the lease is held; 0 before.
	// fenceRecorded is true once a majority has recorded it.
	fence         uint64
	fenceRecorded bool
	// highestFence is the highest fencing number observed; ownFence is the last one
	// that this node chose.
	highestFence uint64
	ownFence     uint64
}

// New returns a machine whose node starts at the given time. A candidate waits
// until every voter's abstention after its own start may have ended.
func New(now time.Time, opts Options) *Machine {
	m := &Machine{opts: opts, voters: slices.Sorted(slices.Values(opts.Voters)), votersChangedAt: now}
	m.voter = NewVoter(now, opts.Domain, opts.Self.Node)
	m.isVoter = slices.Contains(m.voters, opts.Self.Node)
	m.nextAttempt = now.Add(MaxLease + m.candidateDelay())
	if opts.InjectedFaults.Has(faultinject.NoAbstentionAfterRestart) {
		m.voter.abstainUntil, m.nextAttempt = now, now
	}
	return m
}

// Lease returns the fencing number for orders and the end of the lease. ok is
// false if this node is not coordinator.
func (m *Machine) Lease(now time.Time) (fence uint64, until time.Time, ok bool) {
	held := now.Before(m.leaseEnd) || m.opts.InjectedFaults.Has(faultinject.IgnoreOwnLease)
	return m.fence, m.leaseEnd, m.fenceRecorded && held
}

// Step processes one event and returns the actions to carry out.
func (m *Machine) Step(now time.Time, event Event) []Action {
	actions := m.expireLease(now)
	switch e := event.(type) {
	case Received:
		actions = append(actions, m.handleMessage(now, e.Message)...)
	case FenceSeen:
		actions = append(actions, m.handleFenceSeen(now, e.Fence)...)
	case Stop:
		actions = append(actions, m.stop()...)
	case Tick:
		actions = append(actions, m.tick(now)...)
	}
	return actions
}

func (m *Machine) handleMessage(now time.Time, message any) []Action {
	switch msg := message.(type) {
	case Request:
		if msg.Domain != m.opts.Domain || !m.isVoter {
			return nil
		}
		return []Action{Send{To: msg.From.Node, Message: m.voter.Request(now, msg)}}
	case Release:
		m.handleRelease(now, msg)
		return nil
	case Reply:
		return m.handleReply(now, msg)
	default:
		return nil
	}
}

// handleRelease frees the vote. A candidate then requests the lease without waiting
// for the grant to expire.
func (m *Machine) handleRelease(now time.Time, r Release) {
	if m.voter.Release(r) && r.From != m.opts.Self && m.fence == 0 {
		m.nextAttempt = now.Add(m.candidateDelay())
	}
}

// expireLease ends the lease by the holder's clock, which is before the voters'
// grants expire.
func (m *Machine) expireLease(now time.Time) []Action {
	if m.fence == 0 || now.Before(m.leaseEnd) || m.opts.InjectedFaults.Has(faultinject.IgnoreOwnLease) {
		return nil
	}
	wasActive := m.fenceRecorded
	actions := m.backOff(now)
	if wasActive {
		actions = append(actions, Lost{Reason: "lease ended"})
	}
	return actions
}

// backOff releases all grants and backs off long enough for every other candidate
// to try, so that a coordinator that can send but not receive does not keep the
// votes.
func (m *Machine) backOff(now time.Time) []Action {
	actions := m.release()
	m.retries++
	delay := min(time.Duration(m.retries)*RoundTimeout, MaxLease)
	m.nextAttempt = now.Add(delay + m.candidateDelay())
	return actions
}

func (m *Machine) release() []Action {
	m.rounds, m.fence, m.fenceRecorded, m.leaseEnd = nil, 0, false, time.Time{}
	message := Release{Domain: m.opts.Domain, From: m.opts.Self, Round: m.roundNumber}
	return m.broadcast(message)
}

func (m *Machine) broadcast(message any) []Action {
	return lo.Map(m.voters, func(to string, _ int) Action { return Send{To: to, Message: message} })
}

func (m *Machine) stop() []Action {
	m.stopped = true
	wasActive := m.fenceRecorded
	actions := m.release()
	if wasActive {
		actions = append(actions, Lost{Reason: "planned stop"})
	}
	return actions
}

func (m *Machine) tick(now time.Time) []Action {
	if !m.opts.Candidate || m.stopped || now.Before(m.nextAttempt) {
		return nil
	}
	if m.fence == 0 && len(m.rounds) > 0 {
		return m.backOff(now)
	}
	if until, ok := m.voter.grantedToOther(now, m.opts.Self); ok && m.fence == 0 && m.isVoter {
		m.nextAttempt = until.Add(m.candidateDelay())
		return nil
	}
	return m.sendRequest(now)
}

func (m *Machine) sendRequest(now time.Time) []Action {
	m.roundNumber++
	m.rounds = append(m.rounds, &round{number: m.roundNumber, sentAt: now, fence: m.fence, granted: map[string]bool{}, refused: map[string]time.Duration{}})
	if len(m.rounds) > maxRounds {
		m.rounds = m.rounds[1:]
	}
	m.nextAttempt = now.Add(RoundTimeout)
	if m.fence != 0 {
		m.nextAttempt = now.Add(RenewInterval)
	}
	return m.broadcast(Request{Domain: m.opts.Domain, From: m.opts.Self, Round: m.roundNumber, Fence: m.fence})
}

func (m *Machine) handleReply(now time.Time, reply Reply) []Action {
	r, ok := lo.Find(m.rounds, func(r *round) bool { return r.number == reply.Round })
	if !ok || reply.To != m.opts.Self || !slices.Contains(m.voters, reply.From) {
		return nil
	}
	m.highestFence = max(m.highestFence, reply.Highest)
	if !reply.Granted {
		r.refused[reply.From] = min(reply.Remaining, MaxLease)
		return m.handleRefusal(now, r)
	}
	r.granted[reply.From] = true
	if len(r.granted) < m.majority() {
		return nil
	}
	return m.extendLease(now, r)
}

func (m *Machine) majority() int { return len(m.voters)/2 + 1 }

// handleRefusal abandons a round once a majority is out of reach, and schedules
// the next attempt for when the first conflicting grant has expired.
func (m *Machine) handleRefusal(now time.Time, r *round) []Action {
	if m.fence != 0 || len(m.voters)-len(r.refused) >= m.majority() {
		return nil
	}
	wait := lo.Min(lo.Values(r.refused))
	actions := m.backOff(now)
	m.nextAttempt = now.Add(max(wait, RoundTimeout) + m.candidateDelay())
	return actions
}

// extendLease extends the lease, counted from the time the granted request was
// sent.
func (m *Machine) extendLease(now time.Time, r *round) []Action {
	until := r.sentAt.Add(HolderLease)
	if !now.Before(until) {
		return nil
	}
	if until.After(m.leaseEnd) {
		m.leaseEnd = until
	}
	m.retries = 0
	if m.fence == 0 {
		return m.chooseFence(now)
	}
	if r.fence == m.fence && !m.fenceRecorded {
		m.fenceRecorded = true
		return []Action{Acquired{Fence: m.fence}}
	}
	return nil
}

// chooseFence picks a fencing number above every number observed and has a
// majority record it before the first order, so that the majority of the next
// coordinator includes a voter that has recorded it.
func (m *Machine) chooseFence(now time.Time) []Action {
	m.fence = m.highestFence + 1
	if m.opts.InjectedFaults.Has(faultinject.FenceFromOwnMemory) {
		m.fence = m.ownFence + 1
	}
	m.ownFence = m.fence
	m.highestFence = max(m.highestFence, m.fence)
	return m.sendRequest(now)
}

// handleFenceSeen raises the fencing number when a member reports a higher one,
// which happens after all voters restarted and lost their recorded numbers.
func (m *Machine) handleFenceSeen(now time.Time, fence uint64) []Action {
	m.highestFence = max(m.highestFence, fence)
	if !m.opts.InjectedFaults.Has(faultinject.FenceFromOwnMemory) {
		m.voter.highestFence = max(m.voter.highestFence, fence)
	}
	if m.fence == 0 || fence <= m.fence || m.opts.InjectedFaults.Has(faultinject.FenceFromOwnMemory) {
		return nil
	}
	wasActive := m.fenceRecorded
	m.fenceRecorded = false
	actions := m.chooseFence(now)
	if wasActive {
		actions = append(actions, Lost{Reason: "a member has seen a higher fencing number"})
	}
	return actions
}

func (m *Machine) candidateDelay() time.Duration {
	rank := max(slices.Index(m.voters, m.opts.Self.Node), 0)
	return time.Duration(rank) * CandidateStagger
}
