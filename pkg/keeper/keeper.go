// Package keeper runs the region log on a keeper and lets other nodes propose
// commands to it. The commands are interpreted by a StateMachine.
//
// The goroutines are connected by bounded ring buffers: only the log loop uses
// the protocol and writes the log, only the apply loop changes the state machine,
// and each other keeper has a sender.
package keeper

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
	"github.com/masticmount/masticmount/pkg/regionlog/storage"
	"github.com/masticmount/masticmount/pkg/ring"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// tickInterval is the unit of the protocol's timeouts.
	tickInterval = 50 * time.Millisecond
	// electionTicks gives election timeouts of 500 ms to 1 s.
	electionTicks = 10
	// firstElectionTicks gives timeouts of 200 to 400 ms for the first election after a
	// start, longer than a leader's heartbeat interval.
	firstElectionTicks = 4
	// heartbeatTicks gives a heartbeat interval of 100 ms.
	heartbeatTicks = 2
	// revision is increased whenever the leader's rules for replacing voters change in a way on
	// which the tolerance of lost disks rests.
	revision = 1
	// maxAppendBytes limits the entries in one message.
	maxAppendBytes = 128 << 10
	// maxWindowEntries limits the unacknowledged entries in flight to a peer.
	maxWindowEntries = 8192
	// maxWindowBytes limits their size, at 170 Mbit/s to 50 ms of a link.
	maxWindowBytes = 1 << 20
	// maxUncommittedBytes limits the uncommitted entries of a leader.
	maxUncommittedBytes = 16 << 20
	// MaxCommandBytes limits the size of one command.
	MaxCommandBytes = 1 << 20
	// DefaultSnapshotEntries is the default number of entries between two snapshots.
	DefaultSnapshotEntries = 16384
	// keptEntries is the number of entries kept in the log before a snapshot, so that
	// a keeper that was down for a short time does not need the snapshot.
	keptEntries = 4096
	// snapshotBytes is the least size of the entries applied after a snapshot that causes the
	// next one, snapshotRatio their least ratio to the snapshot's size. Both limit what a new
	// keeper has to fetch, and what the log needs on the disk.
	snapshotBytes = 8 << 20
	snapshotRatio = 4
	// keptBytes limits the size of the entries kept in the log before a snapshot.
	keptBytes = 4 << 20
	// eventRingSize limits the events queued for the log loop. When it is full,
	// proposals are rejected as overloaded and messages are dropped.
	eventRingSize = 8192
	// applyRingSize limits the batches queued for the apply loop. The log loop blocks
	// while it is full.
	applyRingSize = 64
	// stopTransferTimeout limits the leadership transfer at a planned stop.
	stopTransferTimeout = 2 * time.Second
)

// StateMachine is the state replicated by the region log. The keeper never calls
// its methods concurrently.
type StateMachine interface {
	// Apply applies the committed command at index and returns its result.
	Apply(index uint64, command *peerpb.Command) *peerpb.Result
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(snapshot []byte) error
}

// Peer is a keeper named in the settings.
type Peer struct {
	NodeID  string
	Address string
}

// Dialer holds the connections to other keepers.
type Dialer interface {
	// Dial returns the connection to a peer's address.
	Dial(address string) (*grpc.ClientConn, error)
	// Renew replaces the connection to a peer's address by another one on which check
	// succeeds. Otherwise nothing changes, and it returns the error of check.
	Renew(address string, check func(*grpc.ClientConn) error) error
}

// Options configure a Keeper.
type Options struct {
	Machine StateMachine
	// OnApplied is called after the commands of each batch were applied, with the index of the last one, and before their
	// proposals return; it must not block.
	OnApplied func(index uint64)
	// NodeID and Address identify this node.
	NodeID  string
	Address string
	// FailureDomain of this node; empty if it does not matter.
	FailureDomain string
	// Folder is the keeper's data folder.
	Folder string
	// Keepers form the first membership. After that only the log's membership counts.
	Keepers []Peer
	// OnlyJoin prevents the keeper from forming a log because the region already has one.
	OnlyJoin bool
	// TargetVoters is the target number of voters. Keepers that are not members join
	// as learners, and learners are promoted up to this number. 0 leaves both to operators.
	TargetVoters int
	// CatchUp is the time after a keeper's start within which it has the vote of a keeper
	// that was lost before. 0 means DefaultCatchUp.
	CatchUp time.Duration
	Dialer  Dialer
	// SnapshotEntries is the number of entries between two snapshots; 0 means the default.
	SnapshotEntries uint64
	// Metrics may be nil.
	Metrics *telemetry.Registry
	Log     zerolog.Logger
}

// Keeper replicates commands through the region log and applies them in order.
type Keeper struct {
	peerpb.UnimplementedKeeperServer
	peerpb.UnimplementedRegionLogServer
	opts      Options
	store     *storage.Store
	events    *ring.Ring[event]
	batches   *ring.Ring[batch]
	applied   watermark
	view      viewHolder
	waiters   waiters
	transport *transport
	stopping  atomic.Bool
	// tickedAt is the time of the log loop's last tick, in nanoseconds of boot time.
	tickedAt atomic.Int64
	failed   atomic.Pointer[fault.Error]
	// removedFrom is the membership that lists this keeper's identity as removed.
	removedFrom atomic.Pointer[peerpb.Membership]

	// mu guards the state machine.
	mu sync.Mutex
	// appliedBase is the position of the last applied entry; only the apply loop uses it.
	appliedBase   regionlog.Base
	sinceSnapshot progressSince
	// quorumReported and joinReported are what was logged last of a lost quorum and of a
	// refused join; only runFormation uses them.
	quorumReported, joinReported string

	stop    context.CancelFunc
	stopped chan struct{}
}

// New returns a keeper, which serves calls after Open.
func New(opts Options) *Keeper {
	if opts.SnapshotEntries == 0 {
		opts.SnapshotEntries = DefaultSnapshotEntries
	}
	if opts.CatchUp == 0 {
		opts.CatchUp = DefaultCatchUp
	}
	k := &Keeper{
		opts:    opts,
		events:  ring.New[event](eventRingSize, ring.RejectNew),
		batches: ring.New[batch](applyRingSize, ring.RejectNew),
		stopped: make(chan struct{}),
	}
	k.applied.init()
	k.view.init()
	k.waiters.init()
	return k
}

// Register adds the keeper's services to a gRPC server.
func (k *Keeper) Register(s grpc.ServiceRegistrar) {
	peerpb.RegisterKeeperServer(s, k)
	peerpb.RegisterRegionLogServer(s, k)
}

// Open reads the data folder, restores the state and starts the goroutines, which
// run until Close.
func (k *Keeper) Open() error {
	store, err := storage.Open(k.opts.Folder, k.opts.NodeID, newIdentity)
	if err != nil {
		return err
	}
	k.store = store
	if err := k.restoreStored(); err != nil {
		_ = store.Close()
		return err
	}
	l, err := newLogLoop(k)
	if err != nil {
		_ = store.Close()
		return err
	}
	// Published before the first call is served: a response without the membership could
	// let other keepers form a second log.
	k.view.publish(l.machine.Status())
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	k.transport = newTransport(ctx, k)
	k.opts.Log.Info().Uint64("identity", store.Identity()).Uint64("applied", k.appliedBase.Index).Msg("keeper_opened")
	go k.run(ctx, l)
	return nil
}

func (k *Keeper) restoreStored() error {
	snapshot, err := k.store.Snapshot()
	if err != nil || snapshot == nil {
		return err
	}
	if err := k.opts.Machine.Restore(snapshot.GetData()); err != nil {
		return fault.New(fault.Internal, "start the version that wrote the snapshot, or move the data folder away",
			"the snapshot at entry %d cannot be restored", snapshot.GetIndex()).WithCause(err)
	}
	k.appliedBase = storage.BaseOf(snapshot)
	k.applied.set(snapshot.GetIndex())
	return nil
}

// run runs the goroutines and returns after all of them have ended.
func (k *Keeper) run(ctx context.Context, l *logLoop) {
	var workers sync.WaitGroup
	workers.Go(func() { l.run(ctx) })
	workers.Go(func() { k.runApply(ctx) })
	workers.Go(func() { k.runFormation(ctx) })
	workers.Wait()
	k.transport.wait()
	k.waiters.completeAll()
	if err := k.store.Close(); err != nil {
		k.opts.Log.Error().Err(err).Msg("keeper_close_failed")
	}
	close(k.stopped)
}

// Close stops the keeper. For a planned stop, call TransferLeadership first.
func (k *Keeper) Close() {
	if k.stop == nil {
		return
	}
	k.stop()
	<-k.stopped
}

// TransferLeadership begins a planned stop. A voter hands its vote over to a learner that stands by, if there is
// one: a leader before it transfers its leadership, as the next leader may be of a build that refuses that. The transfer avoids an
// election timeout. The leader applies the entries that it appended, so that their proposers
// get a result. The keeper accepts no proposals after this call.
func (k *Keeper) TransferLeadership() {
	if k.stop == nil || k.stopping.Swap(true) || k.failed.Load() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTransferTimeout)
	defer cancel()
	if k.view.get().isLeader() {
		k.handOverOwnVote(ctx)
		k.transferToFollower(ctx)
	}
	k.handOverVote(ctx)
}

// transferToFollower transfers the leadership and waits until this keeper has applied what it
// appended.
func (k *Keeper) transferToFollower(ctx context.Context) {
	if k.view.get().isLeader() && !k.events.Push(transferEvent{}) {
		return
	}
	for v := k.view.get(); v.isLeader(); v = k.view.get() {
		if len(regionlog.Voters(v.status.Membership)) == 1 || !v.wait(ctx) {
			return
		}
	}
	k.applied.wait(ctx, k.Status().Last)
	k.opts.Log.Info().Msg("leadership_transferred")
}

// Done returns a channel that is closed once the keeper has stopped, by itself or
// by Close.
func (k *Keeper) Done() <-chan struct{} { return k.stopped }

// Removed reports whether the keeper stopped because its identity was removed from the
// region log. The data on its disk must not be used again.
func (k *Keeper) Removed() bool {
	f := k.failed.Load()
	return f != nil && f.Kind == fault.Forbidden
}

// RemovedFrom returns the addresses of the members of a region log from which this keeper's
// identity was removed. Any of them lets it join again.
func (k *Keeper) RemovedFrom() []string {
	return lo.Map(k.removedFrom.Load().GetMembers(), func(m *peerpb.Member, _ int) string { return m.GetAddress() })
}

// StalledFor returns the time since the log loop's last tick. A hanging disk blocks the
// loop, and the last published view of leadership may then be stale.
func (k *Keeper) StalledFor() time.Duration {
	return boottime.Now().Sub(time.Unix(0, k.tickedAt.Load()))
}

// Kill stops the keeper without a leadership transfer, like a crash of the process.
// It is used by tests and benchmarks.
func (k *Keeper) Kill() { k.Close() }

// Read runs fn while no command is applied.
func (k *Keeper) Read(fn func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	fn()
}

// Status returns the keeper's view of the region log.
func (k *Keeper) Status() regionlog.Status { return k.view.get().status }

// Applied returns the index of the last applied entry.
func (k *Keeper) Applied() uint64 { return k.applied.get() }

func newIdentity() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}
