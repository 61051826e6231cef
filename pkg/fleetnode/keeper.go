package fleetnode

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/control"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// KeeperOptions configure a keeper.
type KeeperOptions struct {
	// Address is where other nodes reach this one; it is also its name, as the seeds
	// are known by their addresses alone.
	Address string
	// Seeds are the peer addresses that the settings name.
	Seeds      []string
	DataFolder string
	// FirstStart is true when the whole region starts for the first time.
	FirstStart bool
	// Losses is the number of keepers that may be lost at once.
	Losses int
	// Interval is the time between two announcements of an upstream.
	Interval time.Duration
	// Stall is the time after which a group without one of its members is broken.
	Stall   time.Duration
	Decode  func(content []byte) (*document.Document, error)
	Orderer control.Orderer
	Metrics *telemetry.Registry
	Log     zerolog.Logger
}

// peerGrace bounds the end of calls between nodes at a planned stop.
const peerGrace = 300 * time.Millisecond

// Keeper is a node that keeps the region's state.
type Keeper struct {
	opts     KeeperOptions
	injector do.Injector
	ready    readiness
}

// NewKeeper returns a keeper that is not running yet.
func NewKeeper(opts KeeperOptions) *Keeper {
	n := &Keeper{opts: opts, injector: do.New()}
	do.ProvideValue(n.injector, peers.NewDialer(nil))
	do.ProvideValue(n.injector, state.New())
	do.Provide(n.injector, n.provideKeeper)
	do.Provide(n.injector, n.provideControl)
	return n
}

func (n *Keeper) provideKeeper(i do.Injector) (*keeper.Keeper, error) {
	return keeper.New(keeper.Options{
		Machine:   do.MustInvoke[*state.Machine](i),
		OnApplied: func(uint64) { n.Control().DocumentApplied() },
		NodeID:    n.opts.Address, Address: n.opts.Address, Folder: n.opts.DataFolder,
		Keepers:  lo.Map(n.opts.Seeds, func(a string, _ int) keeper.Peer { return keeper.Peer{NodeID: a, Address: a} }),
		OnlyJoin: !n.opts.FirstStart || !lo.Contains(n.opts.Seeds, n.opts.Address),
		Grow:     2*n.opts.Losses + 1,
		Dial:     do.MustInvoke[*peers.Dialer](i).Dial,
		Metrics:  n.opts.Metrics, Log: n.opts.Log,
	}), nil
}

func (n *Keeper) provideControl(i do.Injector) (*control.Control, error) {
	return control.New(control.Options{
		Keeper: do.MustInvoke[*keeper.Keeper](i), Machine: do.MustInvoke[*state.Machine](i),
		Dialer: do.MustInvoke[*peers.Dialer](i), Address: n.opts.Address, Interval: n.opts.Interval, Stall: n.opts.Stall,
		FirstStart: n.opts.FirstStart, Orderer: n.opts.Orderer, Decode: n.opts.Decode, Metrics: n.opts.Metrics, Log: n.opts.Log,
	}), nil
}

// Control returns what the keeper does for the fleet.
func (n *Keeper) Control() *control.Control { return do.MustInvoke[*control.Control](n.injector) }

// Ready reports whether the keeper takes calls.
func (n *Keeper) Ready() bool { return n.ready.get() }

// Run serves until ctx ends, then hands its leadership over and stops.
func (n *Keeper) Run(ctx context.Context) error {
	c := n.Control()
	k := do.MustInvoke[*keeper.Keeper](n.injector)
	if err := k.Open(); err != nil {
		return fmt.Errorf("open the region log: %w", err)
	}
	defer k.Close()
	listener, err := net.Listen("tcp", n.opts.Address)
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w; free the address or correct the settings", n.opts.Address, err)
	}
	server := grpc.NewServer(peers.ServerKeepalive())
	k.Register(server)
	c.Register(server)
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var duties duties
	duties.start(func() {
		if err := server.Serve(listener); err != nil {
			n.opts.Log.Error().Err(err).Msg("peers_not_served")
		}
	})
	duties.start(func() { c.Run(work) })
	n.ready.set(true)
	n.opts.Log.Info().Str("role", "keeper").Str("peers", n.opts.Address).Bool("first_start", n.opts.FirstStart).Msg("node_started")
	<-ctx.Done()
	n.ready.set(false)
	n.opts.Log.Info().Msg("node_stopping")
	k.HandOver()
	stopWork()
	peers.StopServer(server, peerGrace)
	duties.wait()
	n.opts.Log.Info().Msg("node_stopped")
	return nil
}
