// Package fleetnode assembles the nodes of a fleet whose peers find each other from a few
// seed addresses: entries, which serve callers, and keepers, which hold the region's state.
package fleetnode

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/disconnect"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/forward"
	"github.com/masticmount/masticmount/pkg/mechanism"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/telemetry"
	"github.com/masticmount/masticmount/pkg/tunnel"
)

// EntryOptions configure an entry.
type EntryOptions struct {
	NodeID, FailureDomain string
	// ListenAddress is the listen address for callers.
	ListenAddress string
	// PeerAddress is the listen address for other entries; empty serves none.
	PeerAddress string
	// DialUpstream opens connections to upstreams; nil dials TCP.
	DialUpstream dispatch.DialFunc
	// Seeds returns the peer addresses of keepers in the current settings.
	Seeds func() []string
	// Decode decodes the content of a document.
	Decode      document.Decoder
	HeaderNames forward.HeaderNames
	Protocol    dispatch.Protocol
	// MaxConfigAge is the age after which the configuration counts as stale: it may lack a
	// revocation.
	MaxConfigAge time.Duration
	// MaxChangeAge is the age after which the configuration may lack a change that operators rely on.
	MaxChangeAge time.Duration
	// BalancerWait is the time from the end of readiness until the load balancer opens no
	// more connections.
	BalancerWait time.Duration
	// StopTimeout is the time limit of a planned stop.
	StopTimeout time.Duration
	// AnnounceInterval is the time between two announcements of an upstream.
	AnnounceInterval time.Duration
	// BodyMemory bounds the memory of the bodies of all open requests, in bytes; 0 means the default.
	BodyMemory int64
	// Grace is the time from the signal to stop until the process is killed; 0 means that the signal is always noticed at once.
	// EstimateTime is the time from the signal in which a request may be accepted by its expected duration: callers that come later
	// are promised a whole answer.
	Grace, EstimateTime time.Duration
	// Mechanisms selects the mechanisms that are enabled; the zero value enables all.
	Mechanisms mechanism.Set
	Metrics    *telemetry.Registry
	Log        zerolog.Logger
}

// Entry is a node that serves callers.
type Entry struct {
	opts     EntryOptions
	injector do.Injector
	ready    readiness
}

// NewEntry returns an entry that is not running yet.
func NewEntry(opts EntryOptions) *Entry {
	e := &Entry{opts: opts, injector: do.New()}
	do.ProvideValue(e.injector, peers.NewDialer(nil))
	do.Provide(e.injector, e.provideTunnelDialer)
	do.Provide(e.injector, e.provideTunnelServer)
	do.Provide(e.injector, e.provideClient)
	do.Provide(e.injector, e.provideAttachment)
	do.Provide(e.injector, e.provideForward)
	return e
}

func (e *Entry) provideAttachment(i do.Injector) (*attach.Attachment, error) {
	return attach.New(attach.Options{
		NodeID: e.opts.NodeID, FailureDomain: e.opts.FailureDomain, Seeds: e.opts.Seeds,
		Dialer: do.MustInvoke[*peers.Dialer](i), Decode: e.opts.Decode, MaxChangeAge: e.opts.MaxChangeAge, Metrics: e.opts.Metrics, Log: e.opts.Log,
	}), nil
}

func (e *Entry) provideForward(i do.Injector) (*forward.Entry, error) {
	attachment := do.MustInvoke[*attach.Attachment](i)
	entry := forward.New(forward.Options{
		NodeID:        e.opts.NodeID,
		FailureDomain: e.opts.FailureDomain, View: attachment.View, ConfigAge: attachment.ConfigAge, MaxConfigAge: e.opts.MaxConfigAge,
		MaxChangeAge: e.opts.MaxChangeAge, NewestVersion: attachment.NewestVersion,
		Client: do.MustInvoke[*dispatch.Client](i), HeaderNames: e.opts.HeaderNames, BodyMemory: e.opts.BodyMemory, Mechanisms: e.opts.Mechanisms, Metrics: e.opts.Metrics, Log: e.opts.Log,
		AnnounceInterval: e.opts.AnnounceInterval, ConfirmInterval: attachment.ConfirmInterval(),
		OnNews: attachment.ReportNow, PathProven: do.MustInvoke[*tunnel.Dialer](i).Proven,
	})
	attachment.SetHandlers(attach.Handlers{
		View: entry.UpdateView, Evidence: entry.MergeCrashEvidence, Statements: entry.MergeStatements, Granted: entry.AddGrants,
		Tunnels: e.setPeers, Report: e.report,
	})
	return entry, nil
}

// Ready reports whether the entry takes new connections. It is false while the entry starts
// or stops, and while its configuration may be stale.
func (e *Entry) Ready() bool {
	return e.ready.get() && do.MustInvoke[*forward.Entry](e.injector).Ready()
}

// Run serves until ctx ends, then stops within the grace period.
func (e *Entry) Run(ctx context.Context) error {
	entry := do.MustInvoke[*forward.Entry](e.injector)
	attachment := do.MustInvoke[*attach.Attachment](e.injector)
	listener, err := net.Listen("tcp", e.opts.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen for callers on %s: %w; free the address or correct the settings", e.opts.ListenAddress, err)
	}
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var workers workerGroup
	workers.start(func() { attachment.Run(workCtx) })
	workers.start(func() { entry.Run(workCtx) })
	if err := e.serveTunnels(&workers); err != nil {
		return err
	}
	workers.start(func() {
		if err := entry.Serve(disconnect.WrapListener(listener)); err != nil {
			e.opts.Log.Error().Err(err).Msg("callers_not_served")
		}
	})
	e.ready.set(true)
	e.opts.Log.Info().Str("role", "entry").Str("callers", e.opts.ListenAddress).Msg("node_started")
	lag := awaitSignal(ctx)
	left, took := e.stop(entry, lag)
	stopWork()
	workers.wait()
	e.opts.Log.Info().Str("reason", stopReason(left)).Int("requests", left).Dur("took_ms", took).Msg("node_stopped")
	return nil
}

// stopReason is why a planned stop ended, by the number of requests that were left.
func stopReason(left int) string {
	if left > 0 {
		return "time-over"
	}
	return "all-answered"
}

// stop ends readiness, waits for the load balancer and drains the requests in flight. It returns the
// number of requests that are left, and how long it took. The signal may have come up to lag before.
func (e *Entry) stop(entry *forward.Entry, lag time.Duration) (left int, took time.Duration) {
	e.ready.set(false)
	now := time.Now()
	plan := planStop(now, lag, &e.opts)
	e.opts.Log.Info().Dur("balancer_wait_ms", e.opts.BalancerWait).Dur("grace_ms", plan.end.Sub(now)).Dur("signal_lag_ms", lag).Msg("node_stopping")
	ctx, cancel := context.WithDeadline(context.Background(), plan.end)
	defer cancel()
	entry.BeginStop(plan.estimatesUntil, plan.acceptedEnd)
	tunnels := do.MustInvoke[*tunnel.Server](e.injector)
	tunnels.BeginStop()
	do.MustInvoke[*attach.Attachment](e.injector).ReportNow()
	<-time.After(e.opts.BalancerWait)
	if left = entry.Finish(ctx); left > 0 {
		e.opts.Log.Warn().Int("requests", left).Msg("requests_cut_off")
	}
	tunnels.Drain(ctx)
	if err := tunnels.Close(); err != nil {
		e.opts.Log.Info().Err(err).Msg("tunnels_not_closed")
	}
	return left, time.Since(now)
}
