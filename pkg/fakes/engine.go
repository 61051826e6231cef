package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/dispatch"
)

// EventsPath is the path at which an engine returns its cache events since the
// previous read.
const EventsPath = "/fake/cache-events"

const (
	defaultKVTokens    = 1 << 16
	defaultCacheBlocks = 1024
	defaultChatTokens  = 16
)

// EngineOptions describe a fake engine.
type EngineOptions struct {
	Describe api.Announcement
	// Slots is the number of requests that run concurrently.
	Slots int
	// KVTokens is the capacity of the KV cache; 0 means 65536.
	KVTokens int
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration
	// PrefillInterval is the time for each uncached block of a prompt.
	PrefillInterval time.Duration
	// LoadTime is the time to load the model of an order.
	LoadTime time.Duration
	// LoadLag is the number of announcements by which the reported load is delayed.
	LoadLag int
	// CacheBlocks bounds the prefix cache; 0 means 1024.
	CacheBlocks int
	// DropEvery drops every cache event whose sequence number is a multiple of it; 0
	// drops none.
	DropEvery uint64
	// Pace, if set, is called before each token instead of waiting for TokenInterval.
	Pace func(ctx context.Context, token int)
}

// Engine is a fake model engine.
type Engine struct {
	opts  EngineOptions
	app   *fiber.App
	batch *batch
	cache *prefixCache
	*faultInjector
	orderMu sync.Mutex
	order   api.Order
	// loadedAt is when the model of the order is loaded.
	loadedAt time.Time
	loads    []api.Load
	canceled atomic.Int64
	finished atomic.Int64
}

// NewEngine returns a fake engine.
func NewEngine(opts EngineOptions) *Engine {
	if opts.KVTokens == 0 {
		opts.KVTokens = defaultKVTokens
	}
	if opts.CacheBlocks == 0 {
		opts.CacheBlocks = defaultCacheBlocks
	}
	e := &Engine{
		opts: opts, app: fiber.New(), faultInjector: newFaultInjector(),
		batch: newBatch(opts.Slots, opts.KVTokens), cache: newPrefixCache(opts.CacheBlocks, opts.DropEvery),
	}
	e.app.Post(FaultPath, e.serve)
	e.app.Get(EventsPath, func(c fiber.Ctx) error { return c.JSON(e.cache.drain()) })
	e.app.Post(dispatch.OrderPath, e.takeOrder)
	e.app.Post("/v1/chat/completions", e.chat)
	return e
}

// App returns the engine's HTTP application.
func (e *Engine) App() *fiber.App { return e.app }

// Canceled returns the number of requests whose caller disconnected early.
func (e *Engine) Canceled() int64 { return e.canceled.Load() }

// Finished returns the number of requests that got a complete response.
func (e *Engine) Finished() int64 { return e.finished.Load() }

// Running returns the number of running requests.
func (e *Engine) Running() int {
	running, _, _ := e.batch.load()
	return running
}

// Describe returns the engine's next announcement; silent is true when an injected
// fault suppresses it. The announcement contains the current order once its model is
// loaded.
func (e *Engine) Describe() (a api.Announcement, silent bool) {
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	a = e.opts.Describe
	a.Fence = e.order.Fence
	if !time.Now().Before(e.loadedAt) {
		a.Group, a.Generation = e.order.Group, e.order.Generation
		a.Rank, a.Size, a.Prepared = e.order.Rank, len(e.order.Members), e.order.Prepare
	}
	a.Load = e.laggedLoad()
	f := e.current()
	return a, f.Dead || f.Paused
}

func (e *Engine) laggedLoad() api.Load {
	running, waiting, kvUsed := e.batch.load()
	now := api.Load{Running: running, Waiting: waiting, Slots: e.opts.Slots, KVUsed: kvUsed}
	e.loads = append(e.loads, now)
	if len(e.loads) > e.opts.LoadLag+1 {
		e.loads = e.loads[1:]
	}
	return e.loads[0]
}

func (e *Engine) takeOrder(c fiber.Ctx) error {
	f := e.current()
	if f.Dead {
		return closeConn(c)
	}
	e.delay(c.RequestCtx(), Faults{Paused: f.Paused})
	var order api.Order
	if err := json.Unmarshal(c.Body(), &order); err != nil {
		return c.SendStatus(http.StatusBadRequest)
	}
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	if e.opts.Describe.HonoursFencing && order.Fence < e.order.Fence {
		return c.SendStatus(http.StatusPreconditionFailed)
	}
	if order.Service != e.order.Service {
		e.loadedAt = time.Now().Add(e.opts.LoadTime)
	}
	e.order = order
	return c.SendStatus(http.StatusOK)
}

// chatRequest is one chat completion request.
type chatRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`

	id       string
	from     int
	priority int
	faults   Faults
}

func (e *Engine) chat(c fiber.Ctx) error {
	req := chatRequest{faults: e.takeFaults()}
	if req.faults.Dead || req.faults.CloseAfterRead {
		return closeConn(c)
	}
	if req.faults.Refuse {
		e.delay(c.RequestCtx(), req.faults)
		return refuse(c, http.StatusServiceUnavailable, req.faults)
	}
	if err := json.Unmarshal(c.Body(), &req); err != nil {
		return c.SendStatus(http.StatusBadRequest)
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultChatTokens
	}
	req.id = responseID(c, req.faults)
	req.from, _ = strconv.Atoi(c.Get(dispatch.HeaderResumeFrom))
	req.priority, _ = strconv.Atoi(c.Get(dispatch.HeaderPriority))
	e.delay(c.RequestCtx(), req.faults)
	if req.faults.PlainError {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	if req.Stream {
		return e.stream(c, req)
	}
	return e.respond(c, req)
}

// prefill joins the batch and waits for the uncached part of the prompt.
func (e *Engine) prefill(ctx context.Context, req chatRequest) (leave func(), ok bool) {
	leave, ok = e.batch.join(ctx, req.priority, len(req.Messages)/4+req.MaxTokens)
	if !ok {
		return nil, false
	}
	hits, blocks := e.cache.use(string(req.Messages))
	wait(ctx, time.Duration(blocks-hits)*e.opts.PrefillInterval)
	return leave, true
}

func (e *Engine) pace(ctx context.Context, req chatRequest, token int) {
	if e.opts.Pace != nil {
		e.opts.Pace(ctx, token)
		return
	}
	wait(ctx, e.opts.TokenInterval*req.faults.slowdown())
}

func (e *Engine) respond(c fiber.Ctx, req chatRequest) error {
	ctx, cancel := untilDisconnect(c)
	defer cancel()
	leave, ok := e.prefill(ctx, req)
	if !ok {
		e.canceled.Add(1)
		return closeConn(c)
	}
	defer leave()
	var text strings.Builder
	for n := range req.MaxTokens {
		e.pace(ctx, req, n)
		text.WriteString(tokenText(n))
	}
	body, err := json.Marshal(completion(req.id, text.String()))
	if err != nil {
		return c.SendStatus(http.StatusInternalServerError)
	}
	if ctx.Err() != nil {
		e.canceled.Add(1)
		return closeConn(c)
	}
	e.finished.Add(1)
	return sendResponse(c, req.faults, fiber.MIMEApplicationJSON, body)
}

// tokenText returns the text of a token. It is the same on every engine, as with a
// fixed seed.
func tokenText(n int) string { return "w" + strconv.Itoa(n) + " " }

func completion(id, text string) map[string]any {
	return map[string]any{
		"id": id, "object": "chat.completion",
		"choices": []any{map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text}}},
	}
}
