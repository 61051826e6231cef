package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/state"
)

func (h *harness) requireCompleteStream(a answer, tokens int) {
	generated, complete := streamText(a.body)
	require.Equal(h.t, http.StatusOK, a.status, a.body)
	require.Equal(h.t, generatedText(tokens), generated)
	require.True(h.t, complete, a.body)
	require.Equal(h.t, 1, strings.Count(a.body, `"role"`), a.body)
}

func TestAnswersReachClient(t *testing.T) {
	h := newHarness(t)
	h.addEngine("g1", fakes.Faults{}, nil)
	h.addService("d1", fakes.Faults{})
	h.requireCompleteStream(h.chat(true, 9), 9)
	complete := h.chat(false, 3)
	require.Equal(t, "ran", complete.outcome)
	require.Contains(t, complete.body, "w0 w1 w2 ")
	lookup := h.send(http.MethodGet, "/lookup/a%20b?x=1", "", HeaderRequestID, "caller-7")
	require.Equal(t, http.StatusOK, lookup.status)
	require.Equal(t, "caller-7", lookup.header.Get(HeaderRequestID))
	reused := h.send(http.MethodGet, "/lookup/2", "", HeaderRequestID, "caller-7")
	require.NotEqual(t, lookup.header.Get(dispatch.HeaderRequestID), reused.header.Get(dispatch.HeaderRequestID), "reused identifiers are made unique")
}

// TestIdempotentRequestsAreRetried injects each fault into the first group; the
// second group is healthy.
func TestIdempotentRequestsAreRetried(t *testing.T) {
	for name, f := range map[string]fakes.Faults{
		"dead": {Dead: true}, "refuses": {Refuse: true}, "closes after reading": {CloseAfterRead: true},
		"crosses answers": {WrongRequestID: true}, "doubles answers": {Duplicated: true}, "cuts answers": {TruncateAfter: 4},
		"skips a token": {SkipToken: 3}, "cuts before the end mark": {OmitDone: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addEngine("g1", f, nil)
			h.addEngine("g2", fakes.Faults{}, nil)
			h.requireCompleteStream(h.chat(true, 9), 9)
			complete := h.chat(false, 9)
			require.Equal(t, http.StatusOK, complete.status, complete.body)
			require.Contains(t, complete.body, generatedText(9))
		})
	}
}

func TestUnreachableGroupGivesNotRun(t *testing.T) {
	h := newHarness(t)
	h.addGroup("gone", "captioner", "captions", api.UpstreamEngine, nil)
	a := h.chat(false, 3)
	require.Equal(t, "not-run", a.outcome, a.body)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// TestOutcomeOfNonIdempotentRequests compares the reported outcome with the runs counted
// by the upstream, for the first request and for a retry with the same key.
func TestOutcomeOfNonIdempotentRequests(t *testing.T) {
	for name, test := range map[string]struct {
		faults       fakes.Faults
		status       int
		outcome      string
		runs         int
		retryStatus  int
		retryOutcome string
		retryRuns    int
	}{
		"healthy":              {fakes.Faults{}, 200, "ran", 1, 200, "ran", 1},
		"closes after reading": {fakes.Faults{CloseAfterRead: true}, 502, "unknown", 1, 502, "unknown", 1},
		"cuts the answer":      {fakes.Faults{TruncateAfter: 1}, 502, "unknown", 1, 502, "unknown", 1},
		"crosses the answer":   {fakes.Faults{WrongRequestID: true}, 502, "unknown", 1, 502, "unknown", 1},
		"doubles the answer":   {fakes.Faults{Duplicated: true}, 200, "ran", 1, 200, "ran", 1},
		"plain error":          {fakes.Faults{PlainError: true}, 503, "unknown", 1, 503, "unknown", 1},
		"refuses once":         {fakes.Faults{Refuse: true, Times: 1}, 502, "not-run", 0, 200, "ran", 1},
		"dead once":            {fakes.Faults{Dead: true, Times: 1}, 502, "unknown", 0, 502, "unknown", 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			service := h.addService("d1", test.faults)
			first := h.grant("k1", `{"office":"Thrissur"}`)
			require.Equal(t, test.outcome, first.outcome, first.body)
			require.Equal(t, test.runs, service.Runs()["k1"])
			if first.outcome != "not-run" || test.status != 502 {
				require.Equal(t, test.status, first.status)
			}
			retry := h.grant("k1", `{"office":"Thrissur"}`)
			require.Equal(t, test.retryStatus, retry.status, retry.body)
			require.Equal(t, test.retryOutcome, retry.outcome)
			require.Equal(t, test.retryRuns, service.Runs()["k1"])
		})
	}
}

func TestRefusedNonIdempotentRequestRunsOnce(t *testing.T) {
	h := newHarness(t)
	service1, service2 := h.addService("d1", fakes.Faults{Refuse: true}), h.addService("d2", fakes.Faults{})
	require.Equal(t, http.StatusOK, h.grant("k1", "{}").status)
	require.Equal(t, 1, service1.Runs()["k1"]+service2.Runs()["k1"])
}

// Guards against requests that reach an upstream while it wants no work for a time.
func TestUpstreamThatWantsNoWorkForATimeGetsNone(t *testing.T) {
	h := newHarness(t)
	service := h.addService("d1", fakes.Faults{Refuse: true, RetryAfter: "30.5", Times: 1})
	for n := range 5 {
		refused := h.grant(fmt.Sprint("k", n), "{}")
		require.NotEqual(t, http.StatusOK, refused.status, "the fake would answer the second one")
		require.Equal(t, "not-run", refused.outcome)
	}
	require.Empty(t, service.Runs())
	require.Contains(t, h.logs.String(), "upstream_paused")
}

func TestIdempotencyKeys(t *testing.T) {
	h := newHarness(t)
	h.addService("d1", fakes.Faults{})
	require.Equal(t, "key-missing", h.send(http.MethodPost, "/grants", "{}").kind())
	require.Equal(t, "invalid-request", h.grant(strings.Repeat("k", 200), "{}").kind())
	require.Equal(t, http.StatusOK, h.grant("k1", "{}").status)
	reused := h.grant("k1", `{"other":1}`)
	require.Equal(t, "key-reused", reused.kind())
	require.Equal(t, "not-run", reused.outcome)
}

// TestStreamResumesWhenGroupBreaks breaks the group before token 5 is generated.
func TestStreamResumesWhenGroupBreaks(t *testing.T) {
	h := newHarness(t)
	var once sync.Once
	h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, token int) {
		if token == 5 {
			once.Do(func() { h.changeGroup("g1", func(g *domain.Group) { g.Whole = false }) })
			<-ctx.Done()
		}
	})
	second := h.addEngine("g2", fakes.Faults{}, nil)
	h.requireCompleteStream(h.chat(true, 12), 12)
	require.EqualValues(t, 1, second.Finished())
}

// preemptingScheduler preempts the first slot when preempt is closed.
type preemptingScheduler struct {
	scheduling.Scheduler
	preempt  chan struct{}
	mu       sync.Mutex
	requests []scheduling.Request
}

func (s *preemptingScheduler) Acquire(ctx context.Context, req scheduling.Request) (scheduling.Assignment, error) {
	s.mu.Lock()
	s.requests = append(s.requests, req)
	first := len(s.requests) == 1
	s.mu.Unlock()
	a, err := s.Scheduler.Acquire(ctx, req)
	if first {
		a.Preempted = s.preempt
	}
	return a, err
}

func TestPreemptedStreamResumes(t *testing.T) {
	scheduler := &preemptingScheduler{preempt: make(chan struct{})}
	h := newHarness(t, func(o *Options) {
		scheduler.Scheduler = o.Scheduler
		o.Scheduler = scheduler
	})
	var once sync.Once
	h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, token int) {
		if token == 5 {
			once.Do(func() { <-ctx.Done() })
		}
	})
	resp := h.open(context.Background(), http.MethodPost, chatPath, chatRequest(true, 12))
	prefix := readUntil(t, resp.unread, "w4 ")
	close(scheduler.preempt)
	h.requireCompleteStream(h.readRemaining(resp, prefix), 12)
	require.Equal(t, 5, scheduler.requests[1].Resumed)
	require.Empty(t, scheduler.requests[1].Exclude)
}

func TestClientDisconnectCancelsStream(t *testing.T) {
	h := newHarness(t)
	canceled := make(chan struct{})
	h.addEngine("g1", fakes.Faults{}, func(ctx context.Context, token int) {
		if token == 3 {
			<-ctx.Done()
			close(canceled)
		}
	})
	ctx, disconnect := context.WithCancel(context.Background())
	resp := h.open(ctx, http.MethodPost, chatPath, chatRequest(true, 9))
	readUntil(t, resp.unread, "w2 ")
	disconnect()
	<-canceled
	_ = resp.unread.Close()
	require.Zero(t, h.gw.Drain(context.Background()))
}

// blockingScheduler blocks every request until its context ends.
type blockingScheduler struct{ canceled chan struct{} }

func (s blockingScheduler) Acquire(ctx context.Context, _ scheduling.Request) (scheduling.Assignment, error) {
	<-ctx.Done()
	close(s.canceled)
	return scheduling.Assignment{}, fault.New(fault.DeadlinePassed, "retry", "the client disconnected")
}

func (blockingScheduler) Run(context.Context) {}

func TestClientDisconnectRemovesRequestFromQueue(t *testing.T) {
	scheduler := blockingScheduler{canceled: make(chan struct{})}
	h := newHarness(t, func(o *Options) { o.Scheduler = scheduler })
	conn, err := h.net.dial(context.Background(), "gateway")
	require.NoError(t, err)
	body := chatRequest(true, 9)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		chatPath, testToken, len(body), body)
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	<-scheduler.canceled
	require.Zero(t, h.gw.Drain(context.Background()))
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	const streams, tokens = 20, 6
	h := newHarness(t)
	gate := make(chan struct{})
	var started sync.WaitGroup
	started.Add(streams)
	h.addEngine("g1", fakes.Faults{}, func(_ context.Context, token int) {
		if token == 2 {
			started.Done()
			<-gate
		}
	})
	answers := make(chan answer, streams)
	for n := range streams {
		go func() { answers <- h.chat(n%2 == 0, tokens) }()
	}
	started.Wait()
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, streams, h.gw.Drain(expired))
	refused := h.chat(true, tokens)
	require.Equal(t, "stopping", refused.kind())
	require.Equal(t, "not-run", refused.outcome)
	require.Equal(t, "1", refused.header.Get("Retry-After"))
	close(gate)
	require.Zero(t, h.gw.Drain(context.Background()))
	require.Zero(t, h.gw.InFlight())
	require.NoError(t, h.gw.App().Shutdown())
	for range streams {
		a := <-answers
		if a.header.Get("Content-Type") == "text/event-stream" {
			h.requireCompleteStream(a, tokens)
			continue
		}
		require.Contains(t, a.body, generatedText(tokens))
	}
}

// TestConcurrentRequestsShareNoBuffers guards against answers built from another
// request's buffers: many concurrent requests share few connections. Run it with the
// race detector too.
func TestConcurrentRequestsShareNoBuffers(t *testing.T) {
	const callers, requests = 16, 40
	h := newHarness(t)
	h.addService("d1", fakes.Faults{})
	h.addEngine("g1", fakes.Faults{}, nil)
	errs := make(chan error, callers)
	for caller := range callers {
		go func() {
			for n := range requests {
				key := fmt.Sprintf("k-%d-%d", caller, n)
				if a := h.grant(key, fmt.Sprintf(`{"n":%q}`, key)); a.status != http.StatusOK || !strings.Contains(a.body, `"run":1`) {
					errs <- fmt.Errorf("grant %s: %d %s", key, a.status, a.body)
					return
				}
				tokens := 1 + (caller+n)%7
				if generated, complete := streamText(h.chat(true, tokens).body); !complete || generated != generatedText(tokens) {
					errs <- fmt.Errorf("chat of %d tokens: %q", tokens, generated)
					return
				}
			}
			errs <- nil
		}()
	}
	for range callers {
		require.NoError(t, <-errs)
	}
}

// echoEngine is an engine that truncates each new stream after one token and answers a
// resumed stream with the user's message.
func echoEngine() *fiber.App {
	app := fiber.New()
	app.Post(chatPath, func(c fiber.Ctx) error {
		var body struct {
			Messages []struct{ Content string }
		}
		if err := json.Unmarshal(c.Body(), &body); err != nil {
			return c.SendStatus(http.StatusBadRequest)
		}
		c.Set(dispatch.HeaderRequestID, c.Get(dispatch.HeaderRequestID))
		c.Set(fiber.HeaderContentType, "text/event-stream")
		if c.Get(dispatch.HeaderResumeFrom) == "" {
			return c.SendString("id: 0\ndata: {\"content\":\"I heard \"}\n\n")
		}
		return c.SendString(fmt.Sprintf("id: 1\ndata: {\"content\":%q}\n\ndata: {\"finish_reason\":\"stop\"}\n\ndata: [DONE]\n\n",
			body.Messages[0].Content))
	})
	return app
}

// TestResumedRequestKeepsItsBody guards against resumed requests with a wrong body:
// streams are resumed after their handler returned, when the HTTP library already
// reuses its buffers for other requests.
func TestResumedRequestKeepsItsBody(t *testing.T) {
	const callers, requests = 16, 40
	h := newHarness(t)
	h.addGroup("p1", "captioner", "captions", api.UpstreamEngine, echoEngine())
	h.addGroup("p2", "captioner", "captions", api.UpstreamEngine, echoEngine())
	errs := make(chan error, callers)
	for caller := range callers {
		go func() {
			for n := range requests {
				message := strings.Repeat(fmt.Sprintf("%d-%d ", caller, n), 1+n%9)
				body := fmt.Sprintf(`{"model":"captioner","stream":true,"messages":[{"content":%q}]}`, message)
				if generated, complete := streamText(h.send(http.MethodPost, chatPath, body).body); !complete || generated != "I heard "+message {
					errs <- fmt.Errorf("%q got %q", message, generated)
					return
				}
			}
			errs <- nil
		}()
	}
	for range callers {
		require.NoError(t, <-errs)
	}
}

func TestEntryWithoutConfigurationIsNotReady(t *testing.T) {
	h := newHarness(t, func(o *Options) { o.Config = func() *state.Config { return &state.Config{} } })
	a := h.chat(false, 3)
	require.Equal(t, http.StatusServiceUnavailable, a.status, "a valid token must not be rejected")
	require.Equal(t, "not-ready", a.kind())
	require.Equal(t, "not-run", a.outcome)
	require.Equal(t, "1", a.header.Get("Retry-After"))
}

func TestHeadersOfPlainServices(t *testing.T) {
	h := newHarness(t)
	app := fiber.New()
	app.Get("/*", func(c fiber.Ctx) error {
		c.Set("Etag", "v1")
		c.Set("Set-Cookie", "session=1")
		return c.SendString(c.Get("Accept-Language") + c.Get("Cookie") + c.Get("Authorization"))
	})
	h.addGroup("d1", "licence-desk", "desk", api.UpstreamService, app)
	a := h.send(http.MethodGet, "/lookup/1", "", "Accept-Language", "ml", "Cookie", "secret")
	require.Equal(t, "ml", a.body)
	require.Equal(t, "v1", a.header.Get("Etag"))
	require.Empty(t, a.header.Get("Set-Cookie"))
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	h := newHarness(t, func(o *Options) { o.MaxBodyBytes = 4096 })
	// Incomplete requests time out, so a short timeout keeps the test fast.
	shortTimeout := newHarness(t, func(o *Options) { o.ReadTimeout = 250 * time.Millisecond })
	h.addEngine("g1", fakes.Faults{}, nil)
	post := func(body string, headers ...string) answer {
		return h.send(http.MethodPost, chatPath, body, headers...)
	}
	for name, test := range map[string]struct {
		answered answer
		status   int
		kind     string
	}{
		"no token":        {post("{}", "Authorization", ""), 401, "unauthenticated"},
		"wrong token":     {post("{}", "Authorization", "Bearer guess-guess"), 401, "unauthenticated"},
		"not JSON":        {post("{"), 400, "invalid-request"},
		"no model":        {post(`{"messages":[]}`), 400, "invalid-request"},
		"no messages":     {post(`{"model":"captioner"}`), 400, "invalid-request"},
		"too many tokens": {post(`{"model":"captioner","messages":[],"max_tokens":9999999}`), 400, "invalid-request"},
		"content type":    {post(chatRequest(false, 1), "Content-Type", "text/plain"), 415, "wrong-content-type"},
		"unknown model":   {post(`{"model":"other","messages":[]}`), 404, "no-route"},
		"unknown route":   {h.send(http.MethodGet, "/nowhere", ""), 404, "no-route"},
		"no group":        {h.send(http.MethodGet, "/lookup/1", ""), 503, "no-whole-group"},
		"bad class":       {post(chatRequest(false, 1), HeaderClass, "a b"), 400, "invalid-request"},
		"large body":      {h.sendRaw("POST / HTTP/1.1\r\nHost: g\r\nContent-Length: 5000\r\n\r\n"), 413, "too-large"},
		"large header":    {h.sendRaw("GET / HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 20000) + "\r\n\r\n"), 431, "header-too-large"},
		"slow header":     {shortTimeout.sendRaw("GET / HTTP/1.1\r\nHost: g\r\n"), 408, "slow-request"},
		"slow body":       {shortTimeout.sendRaw("POST / HTTP/1.1\r\nHost: g\r\nContent-Length: 9\r\n\r\nhalf"), 408, "slow-request"},
		"not HTTP":        {h.sendRaw("BREW\r\n\r\n"), 400, "invalid-request"},
	} {
		require.Equal(t, test.status, test.answered.status, name+test.answered.body)
		require.Equal(t, test.kind, test.answered.kind(), name)
		require.Equal(t, "not-run", test.answered.outcome, name)
		require.NotEmpty(t, test.answered.header.Get(HeaderRequestID), name)
	}
	require.NotContains(t, h.logs.String(), "guess-guess")
	require.NotContains(t, h.logs.String(), testToken)
}

func TestCallersCannotSetReservedHeaders(t *testing.T) {
	h := newHarness(t)
	service := h.addService("d1", fakes.Faults{})
	a := h.send(http.MethodPost, "/grants", "{}", HeaderIdempotencyKey, "k1", "Masticmount-Account", "other",
		"Masticmount-Request-Id", "forged", HeaderRequestID, "zz top")
	require.Equal(t, http.StatusOK, a.status)
	require.NotContains(t, a.header.Get(HeaderRequestID), "zz")
	require.NotEqual(t, "forged", a.header.Get("Masticmount-Request-Id"))
	require.Equal(t, 1, service.Runs()["k1"])
}

// failingClaims fails each claim with an unknown commit state.
type failingClaims struct{ claims.Store }

func (failingClaims) Claim(context.Context, claims.Key, claims.Fingerprint) (claims.Decision, error) {
	return claims.Decision{}, fault.New(fault.NoQuorum, "send it again", "no quorum")
}

func TestClaimThatMayHaveCommittedIsNotDispatched(t *testing.T) {
	h := newHarness(t, func(o *Options) { o.Claims = failingClaims{o.Claims} })
	service := h.addService("d1", fakes.Faults{})
	a := h.grant("k1", "{}")
	require.Equal(t, "not-run", a.outcome)
	require.Empty(t, service.Runs())
}

// Guards against an entry that is cut off from the keepers and refuses what a change allows that it has not heard of.
func TestEntryWithoutKeepersRefusesNothingByItsConfiguration(t *testing.T) {
	var age atomic.Int64
	h := newHarness(t, func(o *Options) { o.KeeperAge = func() time.Duration { return time.Duration(age.Load()) } })
	h.addEngine("g1", fakes.Faults{}, nil)
	send := func(body string, headers ...string) answer {
		return h.send(http.MethodPost, chatPath, body, headers...)
	}
	for _, test := range []struct {
		age                     time.Duration
		unknownToken, unknownTo int
	}{{0, 401, 404}, {6 * time.Second, 401, 404}, {6*time.Second + 1, 503, 503}, {time.Minute, 503, 503}} {
		age.Store(int64(test.age))
		refused := send(chatRequest(false, 1), "Authorization", "Bearer guess-guess")
		require.Equal(t, test.unknownToken, refused.status, test.age)
		require.Equal(t, test.unknownToken == 503, refused.header.Get("Retry-After") != "")
		require.Equal(t, test.unknownTo, send(`{"model":"other","messages":[]}`).status, test.age)
		require.Equal(t, 401, send("{}", "Authorization", "").status, "no configuration allows it")
		require.Equal(t, 200, send(chatRequest(false, 1)).status, "what the configuration allows is served")
	}
}

// Guards against an upstream in trouble whose status line is none: its bytes must not reach a client as an answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/9.9 200 OK"} {
		assertNoAnswer(t, line+"\r\nContent-Length: 7\r\n\r\nspoiled")
	}
}

// Guards against an upstream in trouble in whose head the name of a field is no token: no client may get its answer, and a
// request that may have run is not run again.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	const sized, chunked = "Content-Length: 7\r\n\r\nspoiled", "Transfer-Encoding: chunked\r\n\r\n7\r\nspoiled\r\n0\r\n"
	for _, response := range []string{
		"HTTP/1.1 200 X\r\nBad Name: v\r\n" + sized, "HTTP/1.1 200 X\r\nBad : v\r\n" + sized, "HTTP/1.1 200 X\r\nBad\x00: v\r\n" + sized,
		"HTTP/1.1 200 X\r\nContent-Length : 2\r\n" + sized, "HTTP/1.1 200 X\r\nTransfer Encoding: chunked\r\n" + sized,
		"HTTP/1.1 503 X\r\nMasticmount-Outcome: not-run\r\nBad Name: v\r\n" + sized,
		"HTTP/1.1 103 X\r\nBad Name: v\r\n\r\nHTTP/1.1 200 X\r\n" + sized,
		"HTTP/1.1 200 X\r\n" + chunked + "Bad Name: v\r\n\r\n", "HTTP/1.1 200 X\r\nContent-Length: 7\r\n" + chunked + "\r\n",
	} {
		assertNoAnswer(t, response)
	}
}

// assertNoAnswer lets an upstream answer requests of each kind with a broken response.
func assertNoAnswer(t *testing.T, response string) {
	t.Helper()
	for _, test := range []struct {
		method, path, body, key string
		kind                    api.UpstreamKind
		status                  int
	}{
		{http.MethodGet, "/lookup/1", "", "", api.UpstreamService, 503},
		{http.MethodPost, "/grants", "{}", "k", api.UpstreamService, 502},
		{http.MethodPost, chatPath, chatRequest(false, 3), "", api.UpstreamEngine, 503},
		{http.MethodPost, chatPath, chatRequest(true, 3), "", api.UpstreamEngine, 503},
	} {
		h := newHarness(t)
		listener := fasthttputil.NewInmemoryListener()
		t.Cleanup(func() { _ = listener.Close() })
		h.net.listeners["broken"] = listener
		service, use := "licence-desk", "desk"
		if test.kind == api.UpstreamEngine {
			service, use = "captioner", "captions"
		}
		h.addGroup("broken", service, use, test.kind, nil)
		runs := atomic.Int64{}
		go func() {
			for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				runs.Add(1)
				_, _ = io.WriteString(conn, response)
				_ = conn.Close()
			}
		}()
		a := h.send(test.method, test.path, test.body, HeaderIdempotencyKey, test.key)
		require.Equal(t, test.status, a.status, "%q %s", response, test.path)
		require.Equal(t, "unknown", a.outcome, "%q %s", response, test.path)
		require.NotContains(t, a.body, "spoiled")
		require.Contains(t, h.logs.String(), "malformed", "%q %s", response, test.path)
		if test.key != "" {
			require.EqualValues(t, 1, runs.Load(), "%q", response)
			continue
		}
		h.addService("sound", fakes.Faults{})
		h.addEngine("sound-engine", fakes.Faults{}, nil)
		require.Equal(t, 200, h.send(test.method, test.path, test.body).status, "%q %s", response, test.path)
	}
}

// Guards against requests whose names of fields an upstream may read otherwise than the gateway did.
func TestRequestWithInvalidFieldNameIsRefused(t *testing.T) {
	h := newHarness(t)
	service := h.addService("desk", fakes.Faults{})
	engine := h.addEngine("engine", fakes.Faults{}, nil)
	for _, line := range []string{"Bad Name: v", "Transfer Encoding: chunked", "Content Length: 2", "Bad : v", "B\x00: v", ": v", "Bad"} {
		for _, path := range []string{"/grants", "/lookup/1", chatPath, "/nowhere"} {
			body := chatRequest(false, 1)
			a := h.sendRaw(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\n%s\r\nContent-Length: %d\r\n\r\n%s", path, testToken, line, len(body), body))
			require.Equal(t, 400, a.status, "%q %s", line, path)
			require.True(t, a.closing, "%q %s", line, path)
		}
	}
	require.Empty(t, service.Runs())
	require.Zero(t, engine.Finished())
}

func FuzzChatBody(f *testing.F) {
	f.Add([]byte(chatRequest(true, 3)))
	f.Add([]byte(`{"model":"m","messages":[{"content":[{"type":"text"}]}],"n":-1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := parseChat(body)
		if err != nil {
			require.True(t, fault.IsKind(err, fault.InvalidRequest))
			return
		}
		require.Positive(t, chat.size())
		require.LessOrEqual(t, len(chat.prompt()), maxPromptBytes)
		r := replay{text: []byte("w0 ")}
		_, err = r.resumeBody(body, chat)
		require.NoError(t, err)
	})
}
