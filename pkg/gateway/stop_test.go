package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

// queueingScheduler reports each request that waits and starts none.
type queueingScheduler struct{ queued chan struct{} }

func (s queueingScheduler) Acquire(ctx context.Context, _ scheduling.Request) (scheduling.Assignment, error) {
	s.queued <- struct{}{}
	<-ctx.Done()
	return scheduling.Assignment{}, fault.New(fault.DeadlinePassed, "retry", "the request was not scheduled")
}

func (queueingScheduler) Run(context.Context) {}

// pendingClaims commits no claim.
type pendingClaims struct {
	claims.Store
	pending chan struct{}
}

func (c pendingClaims) Claim(ctx context.Context, _ claims.Key, _ claims.Fingerprint) (claims.Decision, error) {
	c.pending <- struct{}{}
	<-ctx.Done()
	return claims.Decision{}, fault.New(fault.NoQuorum, "send it again", "no quorum")
}

// stopWhile sends a request and lets the stop's time pass once reached is closed or receives.
func (h *harness) stopWhile(reached <-chan struct{}, send func() answer) answer {
	received := make(chan answer, 1)
	go func() { received <- send() }()
	<-reached
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(h.t, 1, h.gw.Drain(expired))
	require.Zero(h.t, h.refuseRemaining(), "requests that get neither an answer nor a refusal")
	return <-received
}

func (h *harness) refuseRemaining() int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return h.gw.RefuseRemaining(ctx)
}

func (h *harness) requireStopping(a answer, outcome fault.Outcome) {
	require.Equal(h.t, http.StatusServiceUnavailable, a.status, a.body)
	require.Equal(h.t, "stopping", a.kind())
	require.Equal(h.t, string(outcome), a.outcome)
	require.Equal(h.t, "1", a.header.Get("Retry-After"))
}

// Guards against requests that are cut at the end of a planned stop while they wait.
func TestStopRefusesWaitingRequests(t *testing.T) {
	for _, stream := range []bool{true, false} {
		scheduler := queueingScheduler{queued: make(chan struct{})}
		h := newHarness(t, func(o *Options) { o.Scheduler = scheduler })
		h.requireStopping(h.stopWhile(scheduler.queued, func() answer { return h.chat(stream, 9) }), fault.NotRun)
	}
	store := pendingClaims{pending: make(chan struct{})}
	h := newHarness(t, func(o *Options) { o.Claims = store })
	h.requireStopping(h.stopWhile(store.pending, func() answer { return h.grant("k1", "{}") }), fault.NotRun)
}

// Guards against requests that are cut at the end of a planned stop before their answer begins.
func TestStopRefusesRequestsWithoutAnswer(t *testing.T) {
	for _, stream := range []bool{true, false} {
		h := newHarness(t)
		running := make(chan struct{})
		h.addUnansweredGroup("g1", func() { close(running) })
		second := h.addEngine("g2", fakes.Faults{}, nil)
		h.requireStopping(h.stopWhile(running, func() answer { return h.chat(stream, 9) }), fault.Unknown)
		require.Zero(t, second.Finished(), "no other group is tried")
	}
}

// unsettledClaims has no quorum to settle a claim.
type unsettledClaims struct{ claims.Store }

func (unsettledClaims) MarkUnknown(ctx context.Context, _ claims.Key) error {
	<-ctx.Done()
	return fault.New(fault.NoQuorum, "the step is sent again", "no quorum")
}

// Guards against a request that is cut at the end of a planned stop while its claim is settled.
func TestStopDoesNotWaitForSettlement(t *testing.T) {
	h := newHarness(t, func(o *Options) { o.Claims = unsettledClaims{o.Claims} })
	running, gate := make(chan struct{}), make(chan struct{})
	defer close(gate)
	app := fiber.New()
	app.Post("/grants", func(c fiber.Ctx) error {
		close(running)
		<-gate
		return c.SendStatus(http.StatusOK)
	})
	h.addGroup("d1", "licence-desk", "desk", api.UpstreamService, app)
	a := h.stopWhile(running, func() answer { return h.grant("k1", "{}") })
	require.Equal(t, "stopping", a.kind())
	require.Equal(t, string(fault.Unknown), a.outcome)
}

// Guards against a stream that is cut at the end of a planned stop without an error event.
func TestStopEndsStreamsWithError(t *testing.T) {
	h := newHarness(t)
	h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, token int) {
		if token == 5 {
			<-ctx.Done()
		}
	})
	resp := h.open(context.Background(), http.MethodPost, chatPath, chatRequest(true, 9))
	prefix := readUntil(t, resp.unread, "w4 ")
	require.Zero(t, h.refuseRemaining(), "requests that get neither an answer nor a refusal")
	a := h.readRemaining(resp, prefix)
	require.Contains(t, a.body, "event: error")
	require.Contains(t, a.body, `"stopping"`)
	require.NotContains(t, a.body, "[DONE]")
}

// Guards against a non-idempotent request that is cut at the end of a planned stop, or refused as
// not run although it may have run.
func TestStopReportsUnknownOutcomeOfNonIdempotentRequest(t *testing.T) {
	var store claims.Store
	h := newHarness(t, func(o *Options) { store = o.Claims })
	running, gate := make(chan struct{}), make(chan struct{})
	defer close(gate)
	app := fiber.New()
	app.Post("/grants", func(c fiber.Ctx) error {
		close(running)
		<-gate
		return c.SendStatus(http.StatusOK)
	})
	h.addGroup("d1", "licence-desk", "desk", api.UpstreamService, app)
	a := h.stopWhile(running, func() answer { return h.grant("k1", "{}") })
	require.Equal(t, "stopping", a.kind())
	require.Equal(t, string(fault.Unknown), a.outcome)
	decision, err := store.Claim(t.Context(), claims.Key{Account: "school", Value: "k1"}, claims.FingerprintOf(http.MethodPost, "/grants?", []byte("{}")))
	require.NoError(t, err)
	require.Equal(t, claims.Unknown, decision.State)
}
