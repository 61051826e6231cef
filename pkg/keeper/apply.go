package keeper

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
	"github.com/masticmount/masticmount/pkg/regionlog/storage"
)

// batch is passed from the log loop to the apply loop.
type batch struct {
	// snapshot replaces the state before the entries are applied.
	snapshot *peerpb.LogSnapshot
	entries  []*peerpb.LogEntry
}

func (k *Keeper) runApply(ctx context.Context) {
	for {
		b, ok := k.batches.Pop(ctx)
		if !ok {
			return
		}
		if b.snapshot != nil {
			k.install(b.snapshot)
		}
		if len(b.entries) > 0 {
			k.applyEntries(b.entries)
		}
		if k.sinceSnapshot.due(k.opts.SnapshotEntries) {
			k.takeSnapshot()
		}
	}
}

func (k *Keeper) install(snapshot *peerpb.LogSnapshot) {
	k.mu.Lock()
	err := k.opts.Machine.Restore(snapshot.GetData())
	k.mu.Unlock()
	if err != nil {
		k.haltOnError(err, "restore the snapshot received from the leader")
		return
	}
	k.appliedBase, k.sinceSnapshot = storage.BaseOf(snapshot), progressSince{snapshotSize: len(snapshot.GetData())}
	k.waiters.completeCovered(snapshot.GetIndex())
	k.applied.set(snapshot.GetIndex())
	k.opts.OnApplied(snapshot.GetIndex())
	k.opts.Log.Info().Uint64("index", snapshot.GetIndex()).Msg("snapshot_installed")
}

// applyEntries applies the entries of one batch and then completes their proposals.
func (k *Keeper) applyEntries(entries []*peerpb.LogEntry) {
	results := make([]*peerpb.Result, len(entries))
	lastCommand := uint64(0)
	for i, e := range entries {
		results[i] = k.applyEntry(e)
		if e.GetKind() == peerpb.EntryKind_ENTRY_KIND_COMMAND {
			lastCommand = e.GetIndex()
		}
	}
	if lastCommand > 0 {
		k.opts.OnApplied(lastCommand)
	}
	for i, e := range entries {
		k.waiters.complete(e.GetIndex(), e.GetTerm(), results[i])
	}
	k.applied.set(k.appliedBase.Index)
}

// applyEntry applies one entry and returns the result of a command.
func (k *Keeper) applyEntry(e *peerpb.LogEntry) *peerpb.Result {
	membership := k.appliedBase.Membership
	var result *peerpb.Result
	switch e.GetKind() {
	case peerpb.EntryKind_ENTRY_KIND_COMMAND:
		result = k.applyCommand(e)
	case peerpb.EntryKind_ENTRY_KIND_MEMBERSHIP:
		membership = &peerpb.Membership{}
		if err := proto.Unmarshal(e.GetData(), membership); err != nil {
			k.haltOnError(err, "decode a membership entry")
		}
	}
	k.appliedBase = regionlog.Base{
		Index: e.GetIndex(), Term: e.GetTerm(), LeaderTimeMs: e.GetLeaderTimeMs(), Membership: membership,
	}
	k.sinceSnapshot.add(e)
	return result
}

func (k *Keeper) applyCommand(e *peerpb.LogEntry) *peerpb.Result {
	command := &peerpb.Command{}
	if err := proto.Unmarshal(e.GetData(), command); err != nil {
		return &peerpb.Result{FaultKind: string(fault.InvalidRequest), FaultDetail: "the command cannot be decoded"}
	}
	command.LeaderTimeMs = e.GetLeaderTimeMs()
	k.mu.Lock()
	result := k.opts.Machine.Apply(e.GetIndex(), command)
	k.mu.Unlock()
	return result
}

// takeSnapshot writes a snapshot of the state at the last applied entry and
// requests compaction of the log.
func (k *Keeper) takeSnapshot() {
	k.mu.Lock()
	data, err := k.opts.Machine.Snapshot()
	k.mu.Unlock()
	if err != nil {
		k.haltOnError(err, "encode a snapshot")
		return
	}
	snapshot := &peerpb.LogSnapshot{
		Index: k.appliedBase.Index, Term: k.appliedBase.Term, LeaderTimeMs: k.appliedBase.LeaderTimeMs, Membership: k.appliedBase.Membership, Data: data,
	}
	if err := k.store.WriteSnapshot(snapshot); err != nil {
		k.haltOnError(err, "write a snapshot")
		return
	}
	k.sinceSnapshot = progressSince{snapshotSize: len(data)}
	k.events.Push(snapshotWrittenEvent{k.appliedBase.Index})
}

// haltOnError stops the keeper after an error that would let its state diverge from
// the other keepers.
func (k *Keeper) haltOnError(err error, action string) {
	k.halt(fault.New(fault.Internal,
		"check the disk, then start the node again; if the error persists, move the data folder away so that it rejoins as a learner",
		"cannot %s", action).WithCause(err))
}

// halt stops the keeper permanently; it rejects all further calls.
func (k *Keeper) halt(f *fault.Error) {
	k.failed.CompareAndSwap(nil, f)
	k.opts.Log.Error().Err(f).Msg("keeper_failed")
	k.stop()
}
