package scheduling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/admission"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/routing"
)

const (
	// stragglerFactor is the multiple of its expected duration after which a short
	// request counts as a straggler.
	stragglerFactor = 4
	// minRun is the minimum run time before a request may be preempted, so that the
	// cost of resuming it stays small against the work done.
	minRun = 500 * time.Millisecond
	// maxShortWait is the wait of a short request, as a fraction of its expected
	// service time, above which long requests are preempted for it.
	maxShortWait = 0.2
	// minReservable is the smallest number of slots of which a part is reserved.
	minReservable = 8
)

// dispatchAll starts waiting requests of all pools while slots are free. Pools may
// share groups, so each slot is offered first to the pool that has started the
// least work.
func (c *Core) dispatchAll(now time.Time) {
	for c.startNext(now) {
	}
}

func (c *Core) startNext(now time.Time) bool {
	order := slices.Clone(c.pools)
	slices.SortStableFunc(order, func(a, b *pool) int { return cmp.Compare(a.startedTokens, b.startedTokens) })
	return slices.ContainsFunc(order, func(p *pool) bool { return c.startFromPool(now, p) })
}

// startFromPool starts the first request of a pool for which a slot is free.
func (c *Core) startFromPool(now time.Time, p *pool) bool {
	var skipped []*job
	defer func() {
		for _, j := range skipped {
			p.queue.Push(&j.item)
		}
	}()
	for p.queue.Len() > 0 {
		longFirst := p.queue.LongFirst()
		started, first := c.startHead(now, p, longFirst)
		if started {
			return true
		}
		started, second := c.startHead(now, p, !longFirst)
		if started {
			return true
		}
		excluding := firstExcluding(first, second)
		if excluding == nil {
			return false
		}
		p.queue.Remove(uint64(excluding.id))
		skipped = append(skipped, excluding)
	}
	return false
}

// firstExcluding returns the first head that may not go to all groups. Such a request
// may wait while others could start, so it must not block the queue behind it.
func firstExcluding(heads ...*job) *job {
	for _, j := range heads {
		if j != nil && j.request.Restricted() {
			return j
		}
	}
	return nil
}

// startHead starts the head of the short or the long queue if a slot is free for
// it. It returns the head, or nil if the queue is empty.
func (c *Core) startHead(now time.Time, p *pool, long bool) (started bool, head *job) {
	item := p.queue.Head(long)
	if item == nil {
		return false, nil
	}
	head = c.jobs[ID(item.ID)]
	if long && !c.hasCapacityForLong(now, p) {
		return false, head
	}
	group := c.table.Pick(now, &head.pickRequest)
	if group == nil {
		return false, head
	}
	p.queue.Take(item)
	c.start(now, head, group)
	return true, head
}

// hasCapacityForLong reports whether a long request may start without using the
// reserved slots, of which there is at least one. Below minReservable slots none
// is reserved, since one would be too large a share.
func (c *Core) hasCapacityForLong(now time.Time, p *pool) bool {
	if c.opts.ShortRequestPolicy.Reserve == 0 {
		return true
	}
	capacity := c.table.Capacity(now, p.route, p.key.service)
	if capacity.HomeSlots < minReservable {
		return true
	}
	return capacity.HomeFree-routing.MinFreeSlots >= math.Ceil(c.opts.ShortRequestPolicy.Reserve*capacity.HomeSlots)
}

func (c *Core) start(now time.Time, j *job, group *domain.Group) {
	j.state, j.group, j.started = running, group.Name, now
	j.preemptible = c.isPreemptible(j, group)
	j.pool.running[j.id] = j
	j.pool.startedTokens += j.item.Tokens
	c.table.Start(group.Name, j.item.Long)
	start := Start{ID: j.id, Group: group, Priority: priorityOf(j), Preemptible: j.preemptible}
	if !j.item.Long && !j.request.Hedge && !j.request.Route.Spec.NonIdempotent && group.Kind == api.UpstreamEngine {
		start.HedgeAfter = c.hedge.After()
	}
	c.emit(start)
}

func priorityOf(j *job) int {
	if j.item.Long {
		return longPriority
	}
	return shortPriority
}

func (c *Core) isPreemptible(j *job, group *domain.Group) bool {
	return c.opts.ShortRequestPolicy.Preempt && j.request.Resumable && !j.request.Route.Spec.NonIdempotent && group.Kind == api.UpstreamEngine
}

// preempt cancels long requests in slots that short requests wait for. It preempts
// only as many as there are short requests that would otherwise wait too long, and
// leaves long work its share of the slots.
func (c *Core) preempt(now time.Time, p *pool) {
	if !c.opts.ShortRequestPolicy.Preempt {
		return
	}
	for p.preempting < p.queue.LenShort() {
		usage := c.slotUsageOf(now, p)
		if usage.victim == nil || float64(usage.long-p.preempting) <= admission.LongShare*float64(len(p.running)) {
			return
		}
		if p.queue.LenShort()-p.preempting <= c.servableWithoutPreemption(now, p, usage) {
			return
		}
		usage.victim.state = preempting
		p.preempting++
		c.emit(Preempt{usage.victim.id})
	}
}

// slotUsage summarizes how the slots of a pool are occupied.
type slotUsage struct {
	// victim is the long request to preempt first, or nil.
	victim *job
	// long and short count the occupied slots; stragglers count as long.
	long  int
	short int
	// shortTokens is the expected work of the running short requests.
	shortTokens float64
}

// slotUsageOf selects as victim a straggler before other long requests, then the one
// of lower worth, then the one that has run longest.
func (c *Core) slotUsageOf(now time.Time, p *pool) slotUsage {
	interval := c.table.TimePerToken(p.key.service)
	var usage slotUsage
	for _, j := range p.running {
		if !j.item.Long && !j.isStraggler(now, interval) {
			usage.short++
			usage.shortTokens += j.median
			continue
		}
		usage.long++
		if j.state != running || !j.preemptible || now.Sub(j.started) < minRun || !c.canResume(now, j) {
			continue
		}
		if usage.victim == nil || j.preemptedBefore(usage.victim, now, interval) {
			usage.victim = j
		}
	}
	return usage
}

// servableWithoutPreemption estimates how many waiting short requests get a slot
// from finishing short ones before the first of them exceeds maxShortWait.
func (c *Core) servableWithoutPreemption(now time.Time, p *pool, usage slotUsage) int {
	head := p.queue.Head(false)
	if head == nil || usage.short == 0 {
		return 0
	}
	j := c.jobs[ID(head.ID)]
	interval := float64(c.table.TimePerToken(p.key.service))
	remainingWait := maxShortWait*j.median*interval - float64(now.Sub(j.submitted))
	untilNext := usage.shortTokens / float64(usage.short) * interval / float64(usage.short)
	return max(0, int(remainingWait/untilNext))
}

func (j *job) isStraggler(now time.Time, interval time.Duration) bool {
	return now.Sub(j.started) > time.Duration(stragglerFactor*j.median*float64(interval))
}

func (j *job) preemptedBefore(other *job, now time.Time, interval time.Duration) bool {
	if a, b := j.isStraggler(now, interval), other.isStraggler(now, interval); a != b {
		return a
	}
	if j.request.Worth != other.request.Worth {
		return j.request.Worth < other.request.Worth
	}
	if !j.started.Equal(other.started) {
		return j.started.Before(other.started)
	}
	return j.id < other.id
}

// refuseInfeasible refuses waiting requests that can no longer meet their deadline
// or that no whole group serves.
func (c *Core) refuseInfeasible(now time.Time, p *pool) {
	if p.queue.Len() == 0 {
		return
	}
	groups := c.table.Capacity(now, p.route, p.key.service).Groups
	var infeasible []*job
	p.queue.Each(func(it *admission.Item, ahead float64) {
		j := c.jobs[ID(it.ID)]
		if groups == 0 && !j.awaitsGroup() || !j.isWorthKeeping(c.estimate(now, j, ahead)) {
			infeasible = append(infeasible, j)
		}
	})
	for _, j := range infeasible {
		if groups == 0 && !j.awaitsGroup() {
			c.discard(j)
			c.emit(Refuse{j.id, routing.NoWholeGroupError(j.request.Route)})
			continue
		}
		c.checkFeasible(now, j)
	}
}
