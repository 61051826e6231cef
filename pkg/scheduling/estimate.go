package scheduling

import (
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

// estimate is the expected completion of a waiting request.
type estimate struct {
	wait    time.Duration
	service time.Duration
	// timeLeft is the time until the deadline.
	timeLeft time.Duration
}

// estimate computes when a request with the given work ahead of it, in tokens,
// would complete. The slots it counts on are those that this entry uses now and
// those that are free.
func (c *Core) estimate(now time.Time, j *job, ahead float64) estimate {
	interval := c.table.TimePerToken(j.pool.key.service)
	capacity := c.table.Capacity(now, j.pool.route, j.pool.key.service)
	slots := max(float64(len(j.pool.running))+capacity.Free, 1)
	e := estimate{
		wait:     time.Duration(ahead * float64(interval) / slots),
		service:  time.Duration(j.median * float64(interval)),
		timeLeft: j.request.Deadline.Sub(now),
	}
	if capacity.Free < 1 {
		e.wait += j.pool.earliestCompletion(now, interval)
	}
	return e
}

// earliestCompletion returns the expected time until the first running request ends.
func (p *pool) earliestCompletion(now time.Time, interval time.Duration) time.Duration {
	earliest := time.Duration(-1)
	for _, j := range p.running {
		left := j.remainingService(now, interval)
		if earliest < 0 || left < earliest {
			earliest = left
		}
	}
	return max(earliest, 0)
}

func (e estimate) feasible() bool { return e.wait+e.service <= e.timeLeft }

// isWorthKeeping reports whether a request with the estimate may wait. An estimate does not
// end an answer of which the client has a part; only its deadline does.
func (j *job) isWorthKeeping(e estimate) bool {
	if j.item.Resumed {
		return e.timeLeft > 0
	}
	return e.feasible()
}

// canResume reports whether a running request, if it is preempted now, is expected to end
// before its deadline all the same.
func (c *Core) canResume(now time.Time, j *job) bool {
	interval := c.table.TimePerToken(j.pool.key.service)
	slots := float64(len(j.pool.running)) + c.table.Capacity(now, j.pool.route, j.pool.key.service).Free
	wait := time.Duration(j.pool.queue.Ahead(&j.item) * float64(interval) / slots)
	return wait+j.remainingService(now, interval) <= j.request.Deadline.Sub(now)
}

// remainingService returns the expected service time that a running request still needs. One that
// has outlived the expectation is expected to run as long again.
func (j *job) remainingService(now time.Time, interval time.Duration) time.Duration {
	elapsed := now.Sub(j.started)
	if left := time.Duration(j.median*float64(interval)) - elapsed; left > 0 {
		return left
	}
	return elapsed
}

// retryAfter returns the time until the queue has drained so far that the request
// would meet its deadline.
func (e estimate) retryAfter() time.Duration {
	return max(e.wait+e.service-e.timeLeft, fault.MinRetryAfter)
}

// checkFeasibleWhenIdle refuses a request that could not meet its deadline even on
// idle groups.
func (c *Core) checkFeasibleWhenIdle(now time.Time, j *job) *fault.Error {
	if c.opts.faults.keepInfeasible {
		return nil
	}
	e := c.estimate(now, j, 0)
	e.wait = 0
	if !j.isWorthKeeping(e) {
		return fault.New(fault.DeadlinePassed, "allow more time, or ask for fewer tokens",
			"the request takes about %v and its deadline is in %v", e.service.Round(time.Millisecond), e.timeLeft.Round(time.Millisecond))
	}
	return nil
}

// checkFeasible refuses a waiting request that cannot meet its deadline, and any
// hedge that could not start immediately.
func (c *Core) checkFeasible(now time.Time, j *job) {
	if j.request.Hedge {
		c.discard(j)
		c.emit(Refuse{j.id, retryBudgetError()})
		return
	}
	e := c.estimate(now, j, j.pool.queue.Ahead(&j.item))
	if j.isWorthKeeping(e) || c.opts.faults.keepInfeasible {
		return
	}
	c.discard(j)
	if j.item.Resumed {
		c.emit(Refuse{j.id, resumptionTooLateError()})
		return
	}
	c.emit(Refuse{j.id, fault.New(fault.Overloaded, "retry after the time given",
		"the request would finish in %v and its deadline is in %v",
		(e.wait + e.service).Round(time.Millisecond), e.timeLeft.Round(time.Millisecond)).WithRetryAfter(e.retryAfter())})
}

func (c *Core) queueFull(now time.Time, j *job) *fault.Error {
	e := c.estimate(now, j, j.pool.queue.Ahead(&j.item))
	return fault.New(fault.Overloaded, "retry after the time given", "the queue is full of requests of higher worth").
		WithRetryAfter(max(e.wait, fault.MinRetryAfter))
}

func resumptionTooLateError() *fault.Error {
	return fault.New(fault.DeadlinePassed, "allow more time", "no slot was free to resume the answer before its deadline")
}

func retryBudgetError() *fault.Error {
	return fault.New(fault.Overloaded, "retry after the time given; operators: find the failing group",
		"retry budget exhausted: retries already add a tenth to the load").WithRetryAfter(fault.MinRetryAfter)
}
