package scheduling

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/admission"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/state"
)

// Options configure a Core.
type Options struct {
	// FailureDomain is the failure domain of this entry.
	FailureDomain string
	// Entries is the number of entries in the failure domain and Rank the index of
	// this one among them.
	Entries int
	Rank    int
	Rand    *rand.Rand
	// QueueLimit bounds the number of requests waiting for one set of groups.
	QueueLimit int
	// ShortTokens is the largest expected size of a short request in tokens; 0
	// means defaultShortTokens.
	ShortTokens int
	// ShortRequestPolicy configures how short requests are protected from long ones.
	ShortRequestPolicy ShortRequestPolicy

	// faults selects faults to inject; only tests set it.
	faults injectedFaults
}

// ShortRequestPolicy configures how short requests are protected from long ones.
type ShortRequestPolicy struct {
	// Reserve is the fraction of the entry's slots that long requests leave free.
	Reserve float64
	// PackLong concentrates long requests on few groups.
	PackLong bool
	// Preempt cancels long requests in slots that short requests wait for.
	Preempt bool
	// SharedQueue queues short and long requests in one queue, without priority for
	// short ones.
	SharedQueue bool
}

// DefaultShortRequestPolicy is the default policy; docs/design/policy.md compares the alternatives.
var DefaultShortRequestPolicy = ShortRequestPolicy{Preempt: true, Reserve: 0.03}

// injectedFaults selects faults that tests inject into a Core.
type injectedFaults struct {
	keepInfeasible    bool
	ignoreDisconnects bool
	overcommit        bool
	leaveSlotsIdle    bool
	useBrokenGroups   bool
	unlimitedRetries  bool
	noCircuitBreaker  bool
}

const (
	defaultShortTokens = 128
	// Engine priorities; lower runs first.
	shortPriority = 0
	longPriority  = 10
)

// Core decides when and where requests run. It is a deterministic state machine:
// the same events at the same times give the same actions. It is not safe for
// concurrent use.
type Core struct {
	opts    Options
	table   *routing.Table
	sizes   *admission.Sizes
	budget  routing.RetryBudget
	hedge   routing.Hedge
	pools   []*pool
	jobs    map[ID]*job
	actions []Action
}

// pool is the queue of one service and set of groups, with its running requests.
type pool struct {
	key   poolKey
	route *state.Route
	queue *admission.Queue
	// running includes the requests that are being preempted.
	running map[ID]*job
	// startedTokens is the work in tokens that the pool has started. A new pool
	// begins at the minimum of the others, so that it is not compensated for time
	// before it existed.
	startedTokens float64
	// preempting counts the running requests that are being preempted.
	preempting int
}

type poolKey struct{ service, groups string }

type jobState int

const (
	waiting jobState = iota
	running
	preempting
)

// job is a waiting or running request.
type job struct {
	id          ID
	request     Request
	item        admission.Item
	pool        *pool
	pickRequest routing.PickRequest
	state       jobState
	// submitted is the arrival time.
	submitted time.Time
	// median is the expected work in tokens, stragglers aside.
	median  float64
	group   string
	started time.Time
	// preemptible reports whether the request may be cancelled and resumed.
	preemptible bool
}

// NewCore returns a Core without groups; ViewChanged provides them.
func NewCore(opts Options) *Core {
	if opts.ShortTokens == 0 {
		opts.ShortTokens = defaultShortTokens
	}
	c := &Core{
		opts: opts,
		table: routing.NewTable(routing.Options{
			FailureDomain: opts.FailureDomain, Entries: opts.Entries, Rank: opts.Rank, Rand: opts.Rand, PackLong: opts.ShortRequestPolicy.PackLong,
			Overcommit: opts.faults.overcommit, NoCircuitBreaker: opts.faults.noCircuitBreaker, AnyGroup: opts.faults.useBrokenGroups,
		}),
		sizes: admission.NewSizes(),
		jobs:  map[ID]*job{},
	}
	if opts.faults.unlimitedRetries {
		c.budget = routing.UnlimitedRetryBudget()
	}
	return c
}

// Step applies one event and returns the resulting actions. The slice is valid
// until the next call.
func (c *Core) Step(now time.Time, event Event) []Action {
	clear(c.actions)
	c.actions = c.actions[:0]
	switch e := event.(type) {
	case Submit:
		c.submit(now, e)
	case Disconnect:
		c.disconnect(now, e.ID)
	case Finish:
		c.finish(now, e)
	case ViewChanged:
		c.table.Update(now, e.View)
		c.review(now)
	case Tick:
		c.review(now)
	}
	return c.actions
}

// Waiting returns the number of waiting requests.
func (c *Core) Waiting() int {
	n := 0
	for _, p := range c.pools {
		n += p.queue.Len()
	}
	return n
}

// Running returns the number of running requests.
func (c *Core) Running() int { return len(c.jobs) - c.Waiting() }

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) submit(now time.Time, e Submit) {
	if refusal := c.checkRetry(&e.Request); refusal != nil {
		c.emit(Refuse{e.ID, refusal})
		return
	}
	j := c.newJob(now, e)
	if !j.awaitsGroup() && !c.table.Available(e.Request.Route, &e.Request.Request) {
		c.dropIfIdle(j.pool)
		c.emit(Refuse{e.ID, routing.NoWholeGroupError(e.Request.Route)})
		return
	}
	if refusal := c.checkFeasibleWhenIdle(now, j); refusal != nil {
		c.dropIfIdle(j.pool)
		c.emit(Refuse{e.ID, refusal})
		return
	}
	c.enqueue(now, j)
	c.dispatchAll(now)
	if j.state == waiting && c.jobs[j.id] != nil {
		c.checkFeasible(now, j)
	}
	c.preempt(now, j.pool)
}

// checkRetry charges retries and hedges to the retry budget. A resumed request
// continues its earlier work, so it is neither charged nor credited.
func (c *Core) checkRetry(req *Request) *fault.Error {
	if req.Resumed > 0 {
		return nil
	}
	if len(req.Exclude) == 0 && !req.Hedge {
		c.budget.FirstAttempt()
		return nil
	}
	if c.budget.Spend() {
		return nil
	}
	return retryBudgetError()
}

func (c *Core) newJob(now time.Time, e Submit) *job {
	req := e.Request
	prediction := c.predict(&req)
	j := &job{id: e.ID, submitted: now, request: req, pool: c.poolOf(&req), median: prediction.Median}
	j.item = admission.Item{
		ID: uint64(e.ID), Account: req.Account, Weight: req.Weight, Worth: req.Worth, Deadline: req.Deadline,
		Tokens: prediction.Mean, Long: !c.opts.ShortRequestPolicy.SharedQueue && (req.Resumed > 0 || prediction.Median > float64(c.opts.ShortTokens)),
	}
	j.item.Resumed = req.Resumed > 0
	j.pickRequest = routing.PickRequest{Route: req.Route, Request: &j.request.Request, Prefix: routing.PrefixOf(req.Prompt), Long: j.item.Long}
	return j
}

// awaitsGroup reports whether a request may wait while no group is whole: it lost its group or
// its slot, not by a failure of its own, and its client has a part of the answer.
func (j *job) awaitsGroup() bool { return j.item.Resumed && len(j.request.Exclude) == 0 }

// predict returns the expected remaining size. A request that has outlived the
// median is expected to run as long again, since sizes are heavy-tailed.
func (c *Core) predict(req *Request) admission.Prediction {
	p := c.sizes.Predict(req.Account, req.Class, req.Size)
	done := float64(req.Resumed)
	p.Median, p.Mean = remaining(p.Median, done), remaining(p.Mean, done)
	if left := float64(req.Size) - done; req.Size > 0 && left > 0 {
		p.Median, p.Mean = min(p.Median, left), min(p.Mean, left)
	}
	return p
}

func remaining(expected, done float64) float64 {
	if expected > done {
		return expected - done
	}
	return max(done, 1)
}

func (c *Core) poolOf(req *Request) *pool {
	key := poolKey{req.Service, req.Route.Spec.Groups}
	for _, p := range c.pools {
		if p.key == key {
			p.route = req.Route
			return p
		}
	}
	p := &pool{
		key: key, route: req.Route, running: map[ID]*job{},
		queue: admission.New(admission.Options{Limit: c.opts.QueueLimit}),
	}
	for i, other := range c.pools {
		if i == 0 || other.startedTokens < p.startedTokens {
			p.startedTokens = other.startedTokens
		}
	}
	c.pools = append(c.pools, p)
	return p
}

// dropIfIdle removes a pool without waiting or running requests.
func (c *Core) dropIfIdle(p *pool) {
	if p.queue.Len() > 0 || len(p.running) > 0 {
		return
	}
	c.pools = slices.DeleteFunc(c.pools, func(x *pool) bool { return x == p })
}

func (c *Core) enqueue(now time.Time, j *job) {
	c.jobs[j.id] = j
	refused := j.pool.queue.Push(&j.item)
	if refused == nil {
		return
	}
	evicted := c.jobs[ID(refused.ID)]
	delete(c.jobs, evicted.id)
	c.emit(Refuse{evicted.id, c.queueFull(now, evicted)})
}

func (c *Core) disconnect(now time.Time, id ID) {
	j := c.jobs[id]
	if j == nil || j.state != waiting {
		return
	}
	if c.opts.faults.ignoreDisconnects {
		return
	}
	c.discard(j)
	c.dispatchAll(now)
	c.dropIfIdle(j.pool)
}

// discard removes a waiting request.
func (c *Core) discard(j *job) {
	delete(c.jobs, j.id)
	j.pool.queue.Remove(uint64(j.id))
}

func (c *Core) finish(now time.Time, e Finish) {
	j := c.jobs[e.ID]
	if j == nil || j.state == waiting {
		return
	}
	delete(c.jobs, j.id)
	delete(j.pool.running, j.id)
	c.recordResult(now, j, e.Report)
	if j.state == preempting {
		j.pool.preempting--
	}
	if !c.opts.faults.leaveSlotsIdle {
		c.dispatchAll(now)
	}
	c.preempt(now, j.pool)
	c.dropIfIdle(j.pool)
}

func (c *Core) recordResult(now time.Time, j *job, r Report) {
	duration := r.Duration
	if duration == 0 && r.Tokens > 0 {
		duration = now.Sub(j.started)
	}
	c.table.Finish(now, routing.Completion{Group: j.group, Long: j.item.Long, Failed: r.Failed, Duration: duration, Tokens: r.Tokens})
	if r.Failed || r.Tokens <= 0 || j.state == preempting {
		return
	}
	c.sizes.Observe(j.request.Account, j.request.Class, r.Tokens+j.request.Resumed)
	if !j.item.Long && r.FirstToken > 0 {
		c.hedge.Observe(r.FirstToken)
	}
}

// review re-evaluates every queue: groups may have changed, and waiting requests
// may have become infeasible.
func (c *Core) review(now time.Time) {
	for _, p := range c.pools {
		c.refuseInfeasible(now, p)
	}
	c.dispatchAll(now)
	for _, p := range slices.Clone(c.pools) {
		c.preempt(now, p)
		c.dropIfIdle(p)
	}
}
