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
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// StallTimeout is the time after which a group that lacks a member counts as broken.
	StallTimeout time.Duration
	Decode       document.Decoder
	OrderSender  control.OrderSender
	// DisabledMechanisms are the mechanisms that are disabled for a measurement.
	DisabledMechanisms mechanism.Set
	Metrics            *telemetry.Registry
	Log                zerolog.Logger
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
func (n *Keeper) Control() *control.Control {
	if s := n.current.Load(); s != nil {
		return s.control()
	}
	return nil
}

// Run serves until ctx ends. After a disk failure the keeper restarts from the disk as soon
// as it accepts writes again.
func (n *Keeper) Run(ctx context.Context) error {
	for first := true; ctx.Err() == nil; first = false {
		if err := storage.Probe(n.opts.DataFolder); err != nil && !first {
			n.waitToRestart(ctx)
			continue
		}
		s := newKeeperInstance(n.opts)
		s.bootstrap = first && n.opts.Bootstrap
		err := s.run(ctx, func() { n.current.Store(s) })
		n.current.Store(nil)
		if err != nil {
			n.opts.Log.Error().Err(err).Msg("keeper_interrupted")
			n.prepareRestart(err)
			n.waitToRestart(ctx)
		}
	}
	return nil
}

// prepareRestart prepares the data folder for a restart. It discards the data of an
// identity that was removed from the region log: another keeper has replaced its vote, so
// it must join under a new identity.
func (n *Keeper) prepareRestart(cause error) {
	if !errors.Is(cause, errIdentityRemoved) {
		return
	}
	if err := storage.Discard(n.opts.DataFolder); err != nil {
		n.opts.Log.Error().Err(err).Msg("data_folder_not_emptied")
		return
	}
	n.opts.Log.Warn().Msg("data_folder_emptied")
}

func (n *Keeper) waitToRestart(ctx context.Context) {
	select {
	case <-time.After(restartDelay):
	case <-ctx.Done():
	}
}

func newKeeperInstance(opts KeeperOptions) *keeperInstance {
	s := &keeperInstance{opts: opts, injector: do.New()}
	do.ProvideValue(s.injector, peers.NewDialer(nil))
	do.ProvideValue(s.injector, state.New())
	do.Provide(s.injector, s.provideKeeper)
	do.Provide(s.injector, s.provideControl)
	return s
}

func (s *keeperInstance) control() *control.Control {
	return do.MustInvoke[*control.Control](s.injector)
}

func (s *keeperInstance) provideKeeper(i do.Injector) (*keeper.Keeper, error) {
	return keeper.New(keeper.Options{
		Machine:   do.MustInvoke[*state.Machine](i),
		OnApplied: func(uint64) { s.control().DocumentApplied() },
		NodeID:    s.opts.Address, Address: s.opts.Address, FailureDomain: s.opts.FailureDomain, Folder: s.opts.DataFolder,
		Keepers:      lo.Map(s.opts.Seeds, func(a string, _ int) keeper.Peer { return keeper.Peer{NodeID: a, Address: a} }),
		OnlyJoin:     !s.opts.Bootstrap || !lo.Contains(s.opts.Seeds, s.opts.Address),
		TargetVoters: 2*s.opts.MaxFailures + 1,
		Dial:         do.MustInvoke[*peers.Dialer](i).Dial,
		Metrics:      s.opts.Metrics, Log: s.opts.Log,
	}), nil
}

func (s *keeperInstance) provideControl(i do.Injector) (*control.Control, error) {
	return control.New(control.Options{
		Keeper: do.MustInvoke[*keeper.Keeper](i), Machine: do.MustInvoke[*state.Machine](i),
		Dialer: do.MustInvoke[*peers.Dialer](i), Address: s.opts.Address, FailureDomain: s.opts.FailureDomain, AnnounceInterval: s.opts.AnnounceInterval, StallTimeout: s.opts.StallTimeout,
		Bootstrap: s.bootstrap, OrderSender: s.opts.OrderSender, Decode: s.opts.Decode, DisabledMechanisms: s.opts.DisabledMechanisms, Metrics: s.opts.Metrics, Log: s.opts.Log,
	}), nil
}

// run serves until ctx ends or the keeper fails. It calls serving once the keeper serves.
func (s *keeperInstance) run(ctx context.Context, serving func()) error {
	c := s.control()
	k := do.MustInvoke[*keeper.Keeper](s.injector)
	if err := k.Open(); err != nil {
		return fmt.Errorf("open the region log: %w", err)
	}
	defer k.Close()
	listener, err := net.Listen("tcp", s.opts.Address)
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w; free the address or correct the settings", s.opts.Address, err)
	}
	server := grpc.NewServer(peers.ServerKeepalive())
	k.Register(server)
	c.Register(server)
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var workers workerGroup
	workers.start(func() {
		if err := server.Serve(listener); err != nil {
			s.opts.Log.Error().Err(err).Msg("peers_not_served")
		}
	})
	workers.start(func() { c.Run(workCtx) })
	serving()
	s.opts.Log.Info().Str("role", "keeper").Str("peers", s.opts.Address).Bool("first_start", s.opts.Bootstrap).Msg("node_started")
	failed := s.await(ctx, k)
	stopWork()
	peers.StopServer(server, peerStopTimeout)
	do.MustInvoke[*peers.Dialer](s.injector).Close()
	workers.wait()
	s.opts.Log.Info().Bool("failed", failed != nil).Msg("node_stopped")
	return failed
}

// errIdentityRemoved means that the keeper's identity was removed while the keeper was
// down or unreachable.
var errIdentityRemoved = errors.New("keeper identity removed from the region log; joining again under a new identity")

// errDiskFailed means that the keeper stopped because its disk failed.
var errDiskFailed = errors.New("keeper stopped after a disk failure; free space or replace the disk, the keeper restarts by itself")

// await waits until the keeper fails or ctx ends. At a planned stop it transfers the
// leadership.
func (s *keeperInstance) await(ctx context.Context, k *keeper.Keeper) error {
	select {
	case <-k.Done():
		if k.Removed() {
			return errIdentityRemoved
		}
		return errDiskFailed
	case <-ctx.Done():
		s.opts.Log.Info().Msg("node_stopping")
		k.TransferLeadership()
		return nil
	}
}
