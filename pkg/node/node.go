// Package node assembles the components of masticmount into one process.
package node

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/configwatch"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/gateway"
	"github.com/masticmount/masticmount/pkg/limits"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/settings"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
	"github.com/masticmount/masticmount/pkg/tlsconf"
)

// closeTimeout limits the shutdown of each HTTP listener after the requests in flight
// have been drained.
const closeTimeout = 5 * time.Second

// peerDrainTimeout limits how long a graceful shutdown waits for calls of other nodes.
const peerDrainTimeout = 500 * time.Millisecond

// Node is one masticmount process.
type Node struct {
	settings  settings.Settings
	log       zerolog.Logger
	injector  do.Injector
	ready     atomic.Bool
	tasks     sync.WaitGroup
	stopSteps []StopStep
	// peerOptions are additional options for the connections to other nodes.
	peerOptions []grpc.DialOption
}

// Option configures a Node.
type Option func(*Node)

// WithPeerOptions adds dial options to every connection to other nodes, such as a
// custom dialer.
func WithPeerOptions(options ...grpc.DialOption) Option {
	return func(n *Node) { n.peerOptions = append(n.peerOptions, options...) }
}

// New returns a node that is assembled from its settings.
func New(s settings.Settings, log zerolog.Logger, options ...Option) *Node {
	n := &Node{settings: s, log: log, injector: do.New()}
	for _, option := range options {
		option(n)
	}
	do.Provide(n.injector, n.provideTLS)
	do.Provide(n.injector, n.provideDialer)
	do.Provide(n.injector, n.provideClient)
	do.Provide(n.injector, n.provideWatcher)
	do.ProvideValue(n.injector, limits.NewShared())
	do.Provide(n.injector, n.provideRenewer)
	do.Provide(n.injector, n.provideClaims)
	do.ProvideValue(n.injector, telemetry.New("masticmount"))
	do.ProvideValue(n.injector, state.New())
	do.Provide(n.injector, n.provideFeed)
	do.Provide(n.injector, n.provideKeeper)
	do.Provide(n.injector, n.provideDomain)
	do.Provide(n.injector, n.provideScheduler)
	do.Provide(n.injector, n.provideEvidence)
	do.Provide(n.injector, n.provideGateway)
	do.Provide(n.injector, n.provideAdmin)
	return n
}

// Run serves until ctx ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	tlsConfig, err := do.Invoke[*tlsconf.Config](n.injector)
	if err != nil {
		return fmt.Errorf("load TLS files: %w", err)
	}
	log, err := n.openRegionLog()
	if err != nil {
		return err
	}
	defer log.Close()
	do.MustInvoke[*evidence.Store](n.injector).Load()
	listen, err := openListeners(n.settings.Listen)
	if err != nil {
		return err
	}
	peerServer := grpc.NewServer(grpc.Creds(peerCredentials(tlsConfig)), peers.ServerKeepalive())
	log.Register(peerServer)
	dom := do.MustInvoke[*domain.Domain](n.injector)
	dom.Register(peerServer)
	do.MustInvoke[*configwatch.Feed](n.injector).Register(peerServer)
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	n.goTask(func() { _ = peerServer.Serve(listen.peers) })
	n.startBackground(background)
	gw := do.MustInvoke[*gateway.Gateway](n.injector)
	adm := do.MustInvoke[*admin.Admin](n.injector)
	n.serve(gw.App(), disconnect.WrapListener(tlsConfig.Listener(listen.callers)))
	n.serve(adm.App(), tlsConfig.Listener(listen.operators))
	n.ready.Store(true)
	n.log.Info().Str("callers", n.settings.Listen.Callers).Msg("node_started")

	<-ctx.Done()
	n.OnStop(StopStep{Name: "steward", Stop: func(context.Context) { dom.ReleaseLease() }})
	n.stop(func(ctx context.Context) int { return n.drain(ctx, gw) })
	_ = gw.App().ShutdownWithTimeout(closeTimeout)
	_ = adm.App().ShutdownWithTimeout(closeTimeout)
	stopBackground()
	// A leader hands over only now: the background tasks' last commands, such as claims still
	// to be recorded, must pass through the log before.
	log.TransferLeadership()
	peers.StopServer(peerServer, peerDrainTimeout)
	log.Close()
	n.tasks.Wait()
	n.log.Info().Msg("node_stopped")
	return nil
}

// startBackground starts the goroutines that run until ctx ends.
func (n *Node) startBackground(ctx context.Context) {
	w := do.MustInvoke[*configwatch.Watcher](n.injector)
	feed := do.MustInvoke[*configwatch.Feed](n.injector)
	w.OnUpdate(do.MustInvoke[*limits.Limiter](n.injector).Configure)
	w.OnUpdate(func(c *state.Config) { feed.Notify(c.Revision) })
	for _, run := range []func(context.Context){
		w.Run,
		n.runStateGauges,
		do.MustInvoke[*claims.Replicated](n.injector).Run,
		do.MustInvoke[*limits.Renewer](n.injector).Run,
		do.MustInvoke[*domain.Domain](n.injector).Run,
		do.MustInvoke[scheduling.Scheduler](n.injector).Run,
		do.MustInvoke[*gateway.Gateway](n.injector).Run,
		do.MustInvoke[*evidence.Store](n.injector).Run,
	} {
		n.goTask(func() { run(ctx) })
	}
}

func (n *Node) goTask(run func()) {
	n.tasks.Add(1)
	go func() {
		defer n.tasks.Done()
		run()
	}()
}

func (n *Node) serve(app *fiber.App, listener net.Listener) {
	n.goTask(func() {
		if err := app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			n.log.Error().Err(err).Stringer("address", listener.Addr()).Msg("listen_failed")
		}
	})
}
