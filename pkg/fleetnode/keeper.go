package fleetnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/control"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/mechanism"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/regionlog/storage"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// KeeperOptions configure a keeper.
type KeeperOptions struct {
	// Address is the address at which other nodes reach this one. It is also the node's
	// identifier, as seeds are known by their addresses alone.
	Address       string
	FailureDomain string
	// Seeds are the peer addresses in the settings.
	Seeds      []string
	DataFolder string
	// Bootstrap is true when the whole region starts for the first time.
	Bootstrap bool
	// MaxFailures is the number of keepers that may fail at the same time.
	MaxFailures int
	// CatchUp is keeper.Options.CatchUp.
	CatchUp time.Duration
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// StallTimeout is the time after which a group that lacks a member counts as broken.
	StallTimeout time.Duration
	Decode       document.Decoder
	OrderSender  control.OrderSender
	// Mechanisms selects the mechanisms that are enabled; the zero value enables all.
	Mechanisms mechanism.Set
	Metrics    *telemetry.Registry
	Log        zerolog.Logger
}

// peerStopTimeout is how long calls between nodes may take to end at a stop.
const peerStopTimeout = 300 * time.Millisecond

// restartDelay is the delay before a keeper is started again after a failure, and between
// two probes of a disk that rejects writes.
const restartDelay = 300 * time.Millisecond

// Keeper is a node that holds the region's state. It is restarted within the process after
// a disk failure or the removal of its identity.
type Keeper struct {
	opts KeeperOptions
	// current is the running instance; nil while there is none, as after a disk failure.
	current atomic.Pointer[keeperInstance]
}

// keeperInstance is one instance of a keeper. It runs until the node stops, the disk fails
// or the identity is removed.
type keeperInstance struct {
	opts     KeeperOptions
	injector do.Injector
	// bootstrap is true for the first instance at the first start of the region, before
	// any model was loaded or requested.
	bootstrap bool
}

// NewKeeper returns a keeper that is not running yet.
func NewKeeper(opts KeeperOptions) *Keeper { return &Keeper{opts: opts} }

// Control returns the keeper's fleet service, or nil while the keeper does not serve.
func (k *Keeper) Control() *control.Control {
	if inst := k.current.Load(); inst != nil {
		return inst.control()
	}
	return nil
}

// Run serves until ctx ends. After a disk failure the keeper restarts from the disk as soon
// as it accepts writes again.
func (k *Keeper) Run(ctx context.Context) error {
	for first := true; ctx.Err() == nil; first = false {
		if err := storage.Probe(k.opts.DataFolder); err != nil && !first {
			k.waitToRestart(ctx)
			continue
		}
		inst := newKeeperInstance(k.opts)
		inst.bootstrap = first && k.opts.Bootstrap
		err := inst.run(ctx, func() { k.current.Store(inst) })
		k.current.Store(nil)
		if err != nil {
			k.opts.Log.Error().Err(err).Msg("keeper_interrupted")
			k.prepareRestart(err)
			k.waitToRestart(ctx)
		}
	}
	return nil
}

// prepareRestart prepares the data folder for a restart. It discards the data of an
// identity that was removed from the region log: another keeper has replaced its vote, so
// it must join under a new identity. The region exists, and the seeds may all have been
// replaced as well, so it joins through the members and never forms a log.
func (k *Keeper) prepareRestart(cause error) {
	var removed *identityRemovedError
	if !errors.As(cause, &removed) {
		return
	}
	if err := storage.Discard(k.opts.DataFolder); err != nil {
		k.opts.Log.Error().Err(err).Msg("data_folder_not_emptied")
		return
	}
	k.opts.Bootstrap, k.opts.Seeds = false, lo.Union(k.opts.Seeds, removed.members)
	k.opts.Log.Warn().Strs("members", removed.members).Msg("data_folder_emptied")
}

func (k *Keeper) waitToRestart(ctx context.Context) {
	select {
	case <-time.After(restartDelay):
	case <-ctx.Done():
	}
}

func newKeeperInstance(opts KeeperOptions) *keeperInstance {
	inst := &keeperInstance{opts: opts, injector: do.New()}
	do.ProvideValue(inst.injector, peers.NewDialer(nil))
	do.ProvideValue(inst.injector, state.New())
	do.Provide(inst.injector, inst.provideKeeper)
	do.Provide(inst.injector, inst.provideControl)
	return inst
}

func (inst *keeperInstance) control() *control.Control {
	return do.MustInvoke[*control.Control](inst.injector)
}

func (inst *keeperInstance) provideKeeper(i do.Injector) (*keeper.Keeper, error) {
	return keeper.New(keeper.Options{
		Machine:   do.MustInvoke[*state.Machine](i),
		OnApplied: func(uint64) { inst.control().Applied() },
		NodeID:    inst.opts.Address, Address: inst.opts.Address, FailureDomain: inst.opts.FailureDomain, Folder: inst.opts.DataFolder,
		Keepers:      lo.Map(inst.opts.Seeds, func(a string, _ int) keeper.Peer { return keeper.Peer{NodeID: a, Address: a} }),
		OnlyJoin:     !inst.opts.Bootstrap || !lo.Contains(inst.opts.Seeds, inst.opts.Address),
		TargetVoters: 2*inst.opts.MaxFailures + 1, CatchUp: inst.opts.CatchUp,
		Dialer:  do.MustInvoke[*peers.Dialer](i),
		Metrics: inst.opts.Metrics, Log: inst.opts.Log,
	}), nil
}

func (inst *keeperInstance) provideControl(i do.Injector) (*control.Control, error) {
	return control.New(control.Options{
		Keeper: do.MustInvoke[*keeper.Keeper](i), Machine: do.MustInvoke[*state.Machine](i),
		Dialer: do.MustInvoke[*peers.Dialer](i), Address: inst.opts.Address, FailureDomain: inst.opts.FailureDomain, AnnounceInterval: inst.opts.AnnounceInterval, StallTimeout: inst.opts.StallTimeout,
		DataFolder: inst.opts.DataFolder, Bootstrap: inst.bootstrap, OrderSender: inst.opts.OrderSender, Decode: inst.opts.Decode, Mechanisms: inst.opts.Mechanisms, Metrics: inst.opts.Metrics, Log: inst.opts.Log,
	}), nil
}

// run serves until ctx ends or the keeper fails. It calls serving once the keeper serves.
func (inst *keeperInstance) run(ctx context.Context, onServing func()) error {
	c := inst.control()
	k := do.MustInvoke[*keeper.Keeper](inst.injector)
	if err := k.Open(); err != nil {
		return fmt.Errorf("open the region log: %w", err)
	}
	defer k.Close()
	c.LoadCrashEvidence()
	listener, err := net.Listen("tcp", inst.opts.Address)
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w; free the address or correct the settings", inst.opts.Address, err)
	}
	server := grpc.NewServer(peers.ServerKeepalive())
	k.Register(server)
	c.Register(server)
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var workers workerGroup
	workers.start(func() {
		if err := server.Serve(listener); err != nil {
			inst.opts.Log.Error().Err(err).Msg("peers_not_served")
		}
	})
	workers.start(func() { c.Run(workCtx) })
	onServing()
	inst.opts.Log.Info().Str("role", "keeper").Str("peers", inst.opts.Address).Bool("first_start", inst.opts.Bootstrap).Msg("node_started")
	failed := inst.await(ctx, k)
	stopWork()
	peers.StopServer(server, peerStopTimeout)
	do.MustInvoke[*peers.Dialer](inst.injector).Close()
	workers.wait()
	inst.opts.Log.Info().Bool("failed", failed != nil).Msg("node_stopped")
	return failed
}

// identityRemovedError means that the keeper's identity was removed while the keeper was
// down or unreachable.
type identityRemovedError struct {
	// members are the addresses of the region log's members.
	members []string
}

// Error implements error.
func (e *identityRemovedError) Error() string {
	return "keeper identity removed from the region log; joining again under a new identity"
}

// errDiskFailed means that the keeper stopped because its disk failed.
var errDiskFailed = errors.New("keeper stopped after a disk failure; free space or replace the disk, the keeper restarts by itself")

// await waits until the keeper fails or ctx ends. At a planned stop it transfers the
// leadership.
func (inst *keeperInstance) await(ctx context.Context, k *keeper.Keeper) error {
	select {
	case <-k.Done():
		if k.Removed() {
			return &identityRemovedError{members: k.RemovedFrom()}
		}
		return errDiskFailed
	case <-ctx.Done():
		inst.opts.Log.Info().Msg("node_stopping")
		k.TransferLeadership()
		return nil
	}
}
