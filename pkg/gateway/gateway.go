// Package gateway is the client-facing HTTP server of an entry. It authenticates
// client accounts, schedules their requests and returns complete answers. Package
// attempt decides on retries and outcomes; this package executes its decisions.
package gateway

import (
	"cmp"
	"context"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/recover"
	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/httphead"
	"github.com/masticmount/masticmount/pkg/limits"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// Headers of client requests and responses.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderClass          = "Masticmount-Class"
	HeaderRequestID      = "X-Request-Id"
)

const (
	chatPath = "/v1/chat/completions"
	// defaultDeadline is the request deadline if neither route nor options set one.
	defaultDeadline = time.Minute
	// defaultMaxBodyBytes limits the size of a request body.
	defaultMaxBodyBytes = 4 << 20
	// maxHeaderBytes limits the size of a request header.
	maxHeaderBytes = 16 << 10
	// defaultReadTimeout limits the time to read a request.
	defaultReadTimeout = 10 * time.Second
	// maxRefusalAge is the age of the last contact with the keepers up to which the configuration refuses requests. Within
	// this time a change is in force on every node that the keepers reach.
	maxRefusalAge = 6 * time.Second
	// idleTimeout limits how long a client connection may stay idle.
	idleTimeout = 75 * time.Second
)

const (
	// groupCheckInterval is the time between two checks for broken groups.
	groupCheckInterval = 25 * time.Millisecond
	// sweepInterval is the time between two sweeps of idle upstream connections.
	sweepInterval = time.Second
)

// Options configure a gateway.
type Options struct {
	Config func() *state.Config
	// KeeperAge returns the time since this node heard from a keeper that has a leader, directly or through a relay; nil
	// means always.
	KeeperAge func() time.Duration
	View      func() *domain.View
	Limiter   *limits.Limiter
	Scheduler scheduling.Scheduler
	Claims    claims.Store
	Client    *dispatch.Client
	Metrics   *telemetry.Registry
	// ReportFailure is called when an upstream fails a request; it may be nil.
	ReportFailure func(upstreamID, reason string)
	// Entries is the number of entries in the region, which share the limits that upstreams state; 0
	// means that this is the only one.
	Entries int
	// Evidence is the crash evidence that this process knows; nil keeps it in the gateway.
	Evidence *evidence.Store
	Log      zerolog.Logger
	// DefaultDeadline is the request deadline if the route sets none.
	DefaultDeadline time.Duration
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int
	// ReadTimeout limits the time to read a request.
	ReadTimeout time.Duration
}

// Gateway serves client requests.
type Gateway struct {
	opts     Options
	app      *fiber.App
	monitor  *groupMonitor
	crashes  *crashWatch
	limits   *statedLimits
	inFlight inFlightTracker
	// ctx is canceled with errStopping by RefuseRemaining.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// stallTimeout is the constant of that name, except in tests.
	stallTimeout time.Duration
}

// New returns a gateway with the defaults filled in for options that are zero.
func New(opts Options) *Gateway {
	opts.DefaultDeadline = cmp.Or(opts.DefaultDeadline, defaultDeadline)
	opts.MaxBodyBytes = cmp.Or(opts.MaxBodyBytes, defaultMaxBodyBytes)
	opts.ReadTimeout = cmp.Or(opts.ReadTimeout, defaultReadTimeout)
	if opts.Evidence == nil {
		opts.Evidence = evidence.New(evidence.Options{Metrics: opts.Metrics, Log: opts.Log})
	}
	g := &Gateway{opts: opts, monitor: newGroupMonitor(opts.View), crashes: newCrashWatch(opts), limits: newStatedLimits(opts.Entries, opts.Log), stallTimeout: stallTimeout}
	opts.Client.SetStatementHandler(g.limits.observe)
	opts.Client.SetPauseHandler(g.limits.observePause)
	g.ctx, g.cancel = context.WithCancelCause(context.Background())
	g.app = fiber.New(fiber.Config{
		BodyLimit: opts.MaxBodyBytes, ReadBufferSize: maxHeaderBytes, ReadTimeout: opts.ReadTimeout, IdleTimeout: idleTimeout, ReduceMemoryUsage: true,
		ErrorHandler: g.handleError,
	})
	g.app.Use(recover.New())
	g.app.Use(refuseInvalidFields)
	g.app.Post(chatPath, g.chat)
	g.app.All("/*", g.forward)
	return g
}

// refuseInvalidFields refuses a request in whose head the name of a field is no token, and closes its connection: an upstream may
// read such a head otherwise, and what follows on the connection may be no request.
func refuseInvalidFields(c fiber.Ctx) error {
	if err := httphead.CheckFields(c.Request().Header.RawHeaders()); err != nil {
		c.RequestCtx().SetConnectionClose()
		return fault.New(fault.InvalidRequest, "send a request in the syntax of HTTP/1.1", "the request was not read: %v", err)
	}
	return c.Next()
}

// App returns the HTTP application. It must be served on a listener from
// disconnect.WrapListener, which detects client disconnects.
func (g *Gateway) App() *fiber.App { return g.app }

// Run cancels attempts on broken groups and closes idle upstream connections
// until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	groupCheck := time.NewTicker(groupCheckInterval)
	defer groupCheck.Stop()
	idleSweep := time.NewTicker(sweepInterval)
	defer idleSweep.Stop()
	for {
		// Receiving from a nil channel blocks, so nothing is checked while no attempt is
		// watched.
		var due <-chan time.Time
		if g.monitor.watching() {
			due = groupCheck.C
		}
		select {
		case <-due:
			g.monitor.check()
		case <-g.monitor.wake:
		case now := <-idleSweep.C:
			g.opts.Client.CloseExpired(now)
		case <-ctx.Done():
			return
		}
	}
}
