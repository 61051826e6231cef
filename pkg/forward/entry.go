// Package forward serves callers: it finds a request's route and client account, has the
// placer choose a target, sends the request there and returns the answer. The answer is either
// one whole body from one upstream, or a stream that may be resumed at another upstream.
package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/mechanism"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/retrybudget"
	"github.com/masticmount/masticmount/pkg/statement"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 32 << 10
	// maxBodyBytes bounds the size of a request's body before its route is known.
	maxBodyBytes = 8 << 20
	// idleTimeout closes callers' idle connections. It is longer than any idle time that the
	// documentation lets callers rely on.
	idleTimeout = 120 * time.Second
	// readTimeout bounds how long reading a request may take.
	readTimeout = 30 * time.Second
	// sweepInterval is the time between two sweeps of idle upstream connections.
	sweepInterval = 2 * time.Second
)

// Options configure an Entry.
type Options struct {
	FailureDomain string
	View          func() *attach.View
	// ConfigAge returns the time since a quorum confirmed the configuration.
	ConfigAge func() time.Duration
	// MaxConfigAge is the age from which the configuration may lack a revocation: it accepts no key any more.
	MaxConfigAge time.Duration
	// MaxChangeAge is the age from which the configuration may lack a change that operators rely on: it refuses no request any
	// more, and is not used at all once a keeper has reported a newer version. 0 means MaxConfigAge.
	MaxChangeAge time.Duration
	// NewestVersion returns the highest version of the configuration that a keeper has reported; nil means that of the view.
	NewestVersion func() uint64
	Client        *dispatch.Client
	HeaderNames   HeaderNames
	// EvidenceClock reads the time by which crash evidence ages; nil reads the boot time.
	EvidenceClock func() time.Time
	// NodeID identifies this entry to the keepers.
	NodeID string
	// OnNews is called when this entry has found that an upstream crashed, or what one states in its
	// answers, so that it is reported at once; it must not block. It may be nil.
	OnNews func()
	// PathProven reports whether something came from an upstream directly since a given boot time.
	// Without that, silence and failed connections may be due to this entry's own path. nil means
	// always.
	PathProven func(since time.Time) bool
	// BodyMemory bounds the memory of the bodies of all open requests, in bytes; 0 means 64 MiB. The bound leaves room for two
	// bodies of the largest size in any case.
	BodyMemory int64
	// AnnounceInterval is the time between two announcements of an upstream; 0 means that of package api.
	AnnounceInterval time.Duration
	// ConfirmInterval is the time between two requests for a confirmation of the configuration; 0 means MaxConfigAge.
	ConfirmInterval time.Duration
	// Mechanisms selects the mechanisms that are enabled; the zero value enables all.
	Mechanisms mechanism.Set
	Metrics    *telemetry.Registry
	Log        zerolog.Logger
}

// Entry serves callers.
type Entry struct {
	opts   Options
	server *fasthttp.Server

	mu          sync.Mutex
	placer      *Placer
	retryBudget *retrybudget.Budget
	waiters     map[uint64]waiter
	crashes     *quarantine.Table
	// crashChecks are the upstreams that may have crashed, until it is known whether they did.
	crashChecks map[incarnation]*crashCheck
	// rechecks are those whose first probe was accepted.
	rechecks map[incarnation]*crashCheck
	// trials are the requests that are about to be sent as trials, by quarantined content.
	trials map[string]*session
	// statements are what upstreams have stated in their answers.
	statements *statement.Table
	// unanswered are the sends to upstreams that have not begun the answer.
	unanswered map[*unansweredSend]struct{}
	unbegun    unbegunSessions
	lastWorkID uint64
	// askedAt is when this entry last asked for grants before its next report was due.
	askedAt time.Time
	random  *rand.Rand
	reports reports
	// numberings holds the observed event numbering of each service.
	numberings map[string]*numbering

	startedAt time.Time
	inFlight  atomic.Int64
	unwritten unwrittenAnswers
	bodies    bodyMemory
	// plannedStop is nil while no stop is planned.
	plannedStop atomic.Pointer[plannedStop]
	// finished is true once a planned stop has answered all requests: the process is about to
	// exit.
	finished atomic.Bool
}

// New returns an entry that is not serving yet.
func New(opts Options) *Entry {
	if opts.Metrics == nil {
		opts.Metrics = telemetry.New("")
	}
	opts.MaxChangeAge = cmp.Or(opts.MaxChangeAge, opts.MaxConfigAge)
	opts.AnnounceInterval = cmp.Or(opts.AnnounceInterval, api.AnnounceInterval)
	opts.ConfirmInterval = cmp.Or(opts.ConfirmInterval, opts.MaxConfigAge)
	if opts.NewestVersion == nil {
		opts.NewestVersion = func() uint64 { return opts.View().Document.VersionOrZero() }
	}
	if opts.EvidenceClock == nil {
		opts.EvidenceClock = boottime.Now
	}
	now := time.Now()
	seed := uint64(now.UnixNano())
	e := &Entry{
		opts: opts, startedAt: now, waiters: map[uint64]waiter{}, retryBudget: retrybudget.New(boottime.Now(), opts.Mechanisms.Enabled(mechanism.SharedRetryBudget)), numberings: map[string]*numbering{},
		crashes: quarantine.NewTable(), statements: statement.NewTable(), crashChecks: map[incarnation]*crashCheck{}, rechecks: map[incarnation]*crashCheck{}, trials: map[string]*session{}, unanswered: map[*unansweredSend]struct{}{}, unbegun: unbegunSessions{sessions: map[*session]struct{}{}},
		random: rand.New(rand.NewPCG(seed, 1)), placer: NewPlacer(opts.FailureDomain, rand.New(rand.NewPCG(seed, 2))),
	}
	e.reports.init()
	e.bodies.limit = max(cmp.Or(opts.BodyMemory, defaultBodyMemory), 2*maxBodyBytes)
	e.placer.SetMechanisms(opts.Mechanisms)
	e.placer.SetStatements(e.statements)
	opts.Client.SetStatementHandler(e.observeStatement)
	opts.Client.SetPauseHandler(e.observePause)
	e.server = &fasthttp.Server{
		Handler: e.serve, ErrorHandler: e.refuseUnread, ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBodyBytes, StreamRequestBody: true,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true, CloseOnShutdown: true,
		Logger: serverLog{opts.Log, opts.Metrics}, ConnState: e.observeConn,
	}
	return e
}

// Serve accepts callers' connections from a listener of disconnect.WrapListener.
func (e *Entry) Serve(l net.Listener) error { return e.server.Serve(l) }

// Run closes idle upstream connections and updates gauges until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case now := <-sweep.C:
			e.opts.Client.CloseExpired(now)
			e.updateGauges()
			e.reportQuarantines()
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) updateGauges() {
	e.opts.Metrics.Set("config.age_ms", min(e.opts.ConfigAge(), time.Hour).Milliseconds())
	e.opts.Metrics.Set("config.version", int64(e.opts.View().Document.VersionOrZero()))
	e.opts.Metrics.Set("config.newest_version", int64(e.opts.NewestVersion()))
	e.opts.Metrics.Set("requests.in_flight", e.inFlight.Load())
	e.opts.Metrics.Set("requests.body_bytes", e.bodies.held.Load())
	e.mu.Lock()
	limited, paused, leaving := e.placer.limitedTargets(boottime.Now()), e.placer.pauses.Count(boottime.Now()), e.statements.CountLeaving()
	budgets := e.retryBudget.States(boottime.Now())
	e.mu.Unlock()
	for _, b := range budgets {
		e.opts.Metrics.Set("retries.left."+b.Service, int64(b.Earned)+int64(b.Pooled))
		e.opts.Metrics.Set("retries.all."+b.Service, int64(b.AllRetries))
		e.opts.Metrics.Set("retries.all_requests."+b.Service, int64(b.AllRequests))
	}
	e.opts.Metrics.Set("upstreams.limited", int64(limited))
	e.opts.Metrics.Set("upstreams.paused", int64(paused))
	e.opts.Metrics.Set("upstreams.leaving_stated", int64(leaving))
}

// UpdateView applies a new view.
func (e *Entry) UpdateView(v *attach.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := boottime.Now()
	e.retryBudget.Update(now, v.Entries, v.Retries)
	grants := e.placer.Update(now, v)
	e.markCrashed(e.opts.EvidenceClock())
	e.deliver(grants)
}

// deliver hands granted targets to the requests that wait for them; the caller holds the lock.
func (e *Entry) deliver(grants []Grant) {
	for _, g := range grants {
		if w, waiting := e.waiters[g.ID]; waiting {
			delete(e.waiters, g.ID)
			w.granted <- g.Target
		}
	}
}

func (e *Entry) randomFloat() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

// Ready reports whether this entry should get new callers: whether it holds a configuration
// that was confirmed recently and is not known to have been replaced.
func (e *Entry) Ready() bool {
	newest, age := e.opts.NewestVersion(), e.opts.ConfigAge()
	doc := e.opts.View().Document
	return doc != nil && age <= e.opts.MaxConfigAge && !e.outdated(newest, doc, age)
}

// Report fills in this entry's report to the keepers. sent holds what the link has carried.
func (e *Entry) Report(now time.Time, primary bool, sent *attach.Sent, r *peerpb.EntryReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.CrashEvidence, sent.Evidence = e.crashes.Encode(now, sent.Evidence)
	r.Statements, sent.Statements = e.statements.Encode(now, sent.Statements)
	r.Evidence = e.reports.takeEvidence(now, primary, e.placer)
	if primary {
		r.LimitedWork = e.placer.limitedWork(now)
		r.Loads, r.Demand, r.Repeats = e.placer.loads(), e.reports.takeDemand(), e.retryBudget.TakeCounts()
	}
}
