package keeper

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
	"github.com/masticmount/masticmount/pkg/regionlog/storage"
)

const (
	// replacementTicks is the interval between two checks for membership changes: 250 ms.
	replacementTicks = 5
	// statusTicks is the maximum interval between two published statuses: 1 s.
	statusTicks = 20
)

// changeSchedule schedules the leader's checks for membership changes. Replacing a voter
// takes two changes, and between them the log tolerates the loss of fewer keepers.
// Therefore the second change follows as soon as the first is committed.
type changeSchedule struct{ next uint64 }

func (s *changeSchedule) due(tick uint64) bool { return tick >= s.next }

// idle schedules the next check after one that found no change.
func (s *changeSchedule) idle(tick uint64) { s.next = tick + replacementTicks }

// proposed schedules the next check after a change was proposed.
func (s *changeSchedule) proposed(tick uint64, err error) {
	s.next = tick + 1
	if err != nil && !errors.Is(err, regionlog.ErrChangePending) {
		s.next = tick + replacementTicks
	}
}

// logLoop owns the protocol state machine and the log on the disk.
type logLoop struct {
	keeper  *Keeper
	machine *regionlog.Machine
	// reads that wait for confirmation by a quorum, by identifier.
	reads    map[uint64]chan<- readResult
	lastRead uint64
	ticks    uint64
	// hardState is the last synced hard state.
	hardState *peerpb.HardState
	published regionlog.Status
	planner   voterPlanner
	checks    checkSchedule
	schedule  changeSchedule
	meter     loopMeter
	// commitReported is the commit index at the last report on members that are behind.
	commitReported uint64
	// behindCheckAt is the tick of the next such report.
	behindCheckAt uint64
	// reported is the reason last logged for which a membership change waits.
	reported string
	// transportMembership is the last membership passed to the transport.
	transportMembership *peerpb.Membership
}

func newLogLoop(k *Keeper) (*logLoop, error) {
	l := &logLoop{keeper: k, reads: map[uint64]chan<- readResult{}, planner: newVoterPlanner(k.opts.TargetVoters, k.opts.CatchUp), checks: checkSchedule{}}
	if err := l.load(k.store.Stored()); err != nil {
		return nil, err
	}
	return l, nil
}

// load initializes the protocol state machine from stored state.
func (l *logLoop) load(stored regionlog.StoredState) error {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], newIdentity())
	machine, err := regionlog.New(regionlog.Config{
		Identity: l.keeper.store.Identity(), ElectionTicks: electionTicks, FirstElectionTicks: firstElectionTicks, HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: maxAppendBytes, MaxWindowEntries: maxWindowEntries, MaxWindowBytes: maxWindowBytes,
		Revision: revision, MaxInheritedSilence: l.planner.absentTicks - electionTicks,
		MaxUncommittedBytes: maxUncommittedBytes, Seed: binary.LittleEndian.Uint64(seed[:]),
	}, stored)
	if err != nil {
		return fault.New(fault.Internal,
			"move the data folder away and start the node again: it rejoins as a learner under a new identity",
			"the log in %s cannot be used", l.keeper.opts.Folder).WithCause(err)
	}
	l.machine, l.hardState = machine, stored.HardState
	return nil
}

func (l *logLoop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for l.processReady(ctx) {
		l.publish()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick()
		case e := <-l.keeper.events.Chan():
			l.handle(e)
		}
		l.drain()
	}
}

// drain handles all queued events, so that one sync covers them all.
func (l *logLoop) drain() {
	for range eventRingSize {
		select {
		case e := <-l.keeper.events.Chan():
			l.handle(e)
		default:
			return
		}
	}
}

func (l *logLoop) handle(e event) {
	began := time.Now()
	e.handle(l)
	l.meter.period.events++
	l.meter.period.handling += time.Since(began)
}

func (l *logLoop) tick() {
	l.machine.Tick()
	now := boottime.Now()
	l.keeper.tickedAt.Store(now.UnixNano())
	l.ticks++
	if l.meter.tick(now) {
		l.reportLag(now)
	}
	l.keeper.transport.checkConnections(l.checks.due(l.ticks, l.machine.Unheard(unheardTicks)))
	if l.schedule.due(l.ticks) {
		l.changeVoters()
	}
}

// changeVoters proposes the next membership change that replaces a lost identity,
// promotes a learner or replaces an absent voter.
func (l *logLoop) changeVoters() {
	change := l.machine.NextReplacement()
	if change == nil {
		status := l.machine.Status()
		next := l.planner.next(status)
		if next.change == nil && next.waiting == "" {
			next.learner, next.waiting = waitingReplacement(status)
		}
		l.reportWaiting(next)
		change = next.change
	}
	if change == nil {
		l.schedule.idle(l.ticks)
		return
	}
	_, _, err := l.machine.ProposeMembership(time.Now().UnixMilli(), change)
	l.schedule.proposed(l.ticks, err)
	if errors.Is(err, regionlog.ErrChangePending) || (err != nil && err.Error() == l.reported) {
		return
	}
	l.reported = ""
	if err != nil {
		l.reported = err.Error()
	}
	l.keeper.opts.Log.Info().Str("action", change.GetAction().String()).Uint64("identity", change.GetIdentity()).
		AnErr("refused", err).Msg("keeper_replacement")
}

// reportWaiting logs why a learner has no vote yet, once for each reason.
func (l *logLoop) reportWaiting(p plan) {
	if p.change != nil || p.waiting == l.reported {
		return
	}
	l.reported = p.waiting
	if p.waiting != "" {
		l.keeper.opts.Log.Info().Uint64("learner", p.learner).Str("reason", p.waiting).Msg("keeper_learner_waits")
	}
}

// processReady processes the protocol's Ready batches and returns false if the
// keeper must stop.
func (l *logLoop) processReady(ctx context.Context) bool {
	for {
		ready, ok := l.machine.Ready()
		if !ok {
			return true
		}
		if err := timed(&l.meter.period.syncing, func() error { return l.sync(ready) }); err != nil {
			l.fail(err)
			return false
		}
		l.keeper.transport.send(ready.Messages)
		if !l.enqueueApply(ctx, ready) {
			return false
		}
		l.answerReads(ready.Reads)
		l.machine.Advance()
	}
}

func (l *logLoop) sync(ready regionlog.Ready) error {
	if ready.HardState != nil {
		l.hardState = ready.HardState
	}
	if ready.Snapshot != nil {
		if err := l.keeper.store.Install(ready.Snapshot, l.hardState); err != nil {
			return err
		}
	}
	if !ready.MustSync {
		return nil
	}
	return l.keeper.store.Save(ready.HardState, ready.Entries)
}

// enqueueApply passes committed entries to the apply loop and blocks while its ring
// is full.
func (l *logLoop) enqueueApply(ctx context.Context, ready regionlog.Ready) bool {
	if ready.Snapshot == nil && len(ready.Committed) == 0 {
		return true
	}
	b := batch{snapshot: ready.Snapshot, entries: ready.Committed}
	for {
		// Read before Push, so that the wait below ends once any batch in the full ring
		// is applied.
		applied := l.keeper.applied.get()
		if l.keeper.batches.Push(b) {
			return true
		}
		began := time.Now()
		running := l.keeper.applied.wait(ctx, applied+1)
		l.meter.period.applyWait += time.Since(began)
		if !running {
			return false
		}
	}
}

// fail stops the keeper. After a failed write or sync the content of the disk is
// unknown, so the keeper must not acknowledge anything until it is read again.
func (l *logLoop) fail(err error) {
	l.failReads()
	l.keeper.view.publish(regionlog.Status{Identity: l.keeper.store.Identity(), Membership: l.machine.Status().Membership})
	l.keeper.halt(fault.From(err))
}

func (l *logLoop) answerReads(reads []regionlog.ReadState) {
	for _, r := range reads {
		l.reads[r.ID] <- readResult{index: r.Index}
		delete(l.reads, r.ID)
	}
}

// failReads fails all pending reads because leadership was lost.
func (l *logLoop) failReads() {
	for id, done := range l.reads {
		done <- readResult{err: &regionlog.NotLeaderError{}}
		delete(l.reads, id)
	}
}

// publish publishes a changed status to the view, the transport and the metrics.
func (l *logLoop) publish() {
	s := l.machine.Status()
	old := l.published
	if s.Role != regionlog.Leader && len(l.reads) > 0 {
		l.failReads()
	}
	changed := s.Role != old.Role || s.Term != old.Term || s.Leader != old.Leader || s.Membership != old.Membership
	if s.Membership != l.transportMembership {
		l.transportMembership = s.Membership
		l.keeper.transport.setMembership(s.Membership)
	}
	if changed {
		l.keeper.opts.Log.Info().Str("role", s.Role.String()).Uint64("term", s.Term).Uint64("leader", s.Leader).
			Str("cause", string(s.Cause)).Int("members", len(s.Membership.GetMembers())).Msg("region_log_role")
	}
	if changed || l.ticks%statusTicks == 0 || s.Commit == s.Last {
		l.published = s
		l.keeper.view.publish(s)
	}
	if changed || l.ticks%statusTicks == 0 {
		l.updateMetrics(s)
	}
	if l.ticks >= l.behindCheckAt {
		l.behindCheckAt = l.ticks + statusTicks
		l.reportBehind(s)
	}
}

// updateMetrics sets the gauges of the region log.
func (l *logLoop) updateMetrics(s regionlog.Status) {
	metrics := l.keeper.opts.Metrics
	if metrics == nil {
		return
	}
	leads := int64(0)
	if s.Role == regionlog.Leader {
		leads = 1
	}
	metrics.Set("regionlog.leads", leads)
	metrics.Set("regionlog.term", int64(s.Term))
	metrics.Set("regionlog.commit", int64(s.Commit))
	metrics.Set("regionlog.entry_bytes_sent", int64(s.Sent.EntryBytes))
	metrics.Set("regionlog.entry_bytes_repeated", int64(s.Sent.RepeatedBytes))
	members, voters := len(s.Membership.GetMembers()), len(regionlog.Voters(s.Membership))
	metrics.Set("regionlog.voters", int64(voters))
	metrics.Set("regionlog.learners", int64(members-voters))
	metrics.Set("regionlog.absent_voters", int64(l.planner.absentVoters(s)))
	metrics.Set("regionlog.applied", int64(l.keeper.applied.get()))
	metrics.Set("regionlog.events_refused", int64(l.keeper.events.Dropped()))
}

// form initializes the log with its first membership, unless it already has one.
func (l *logLoop) form(membership *peerpb.Membership, data []byte) {
	if len(l.machine.Status().Membership.GetMembers()) > 0 {
		return
	}
	snapshot := &peerpb.LogSnapshot{Index: 1, Term: 1, Membership: membership, Data: data}
	hardState := &peerpb.HardState{Term: max(1, l.hardState.GetTerm()), Vote: l.hardState.GetVote(), Commit: 1}
	err := l.keeper.store.Install(snapshot, hardState)
	if err == nil {
		err = l.load(regionlog.StoredState{HardState: hardState, Base: storage.BaseOf(snapshot), Applied: 1})
	}
	if err != nil {
		l.fail(err)
		return
	}
	l.keeper.batches.Push(batch{snapshot: snapshot})
	l.keeper.opts.Log.Info().Int("members", len(membership.GetMembers())).Msg("region_log_formed")
}

// compact removes the log entries covered by a written snapshot, except the last ones.
func (l *logLoop) compact(index uint64) {
	first := l.machine.BaseIndex()
	if index < first {
		return
	}
	newBase := keptFrom(first, l.machine.EntriesAfter(first), index)
	entries := l.machine.EntriesAfter(newBase)
	if err := l.keeper.store.Compact(index, l.machine.BaseAt(newBase), l.hardState, entries); err != nil {
		l.fail(err)
		return
	}
	l.machine.Compact(newBase)
	l.keeper.opts.Log.Info().Uint64("index", index).Uint64("kept_from", newBase).Msg("log_compacted")
}
