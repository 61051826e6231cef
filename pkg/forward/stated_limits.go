package forward

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/statement"
)

const (
	// limitedPenalty ranks targets that have stated a limit behind others that are not half as busy, as a share of
	// their slots.
	limitedPenalty = 0.5
	// limitCheckAge is the time without an answer that states a limit after which the target is asked again, with
	// ordinary work.
	limitCheckAge = 2 * time.Second
	// countsValidFor is the age of the last loads from a keeper from which this entry counts as attached to none:
	// several updates were lost.
	countsValidFor = time.Second
	// minGrantRate is the least rate, in requests a second, at which keepers are assumed to grant requests to limited
	// targets: one must wait to find out.
	minGrantRate = 1
	// askInterval is the shortest time between two reports that ask for grants before the next one is due.
	askInterval = 40 * time.Millisecond
)

// incarnationOf returns the incarnation of an upstream that a target stands for.
func incarnationOf(t *attach.Target) statement.Incarnation {
	return statement.Incarnation{Upstream: t.ID, StartTime: t.StartTime}
}

// limitOf returns the limit that a target has stated, in requests a second of all entries, and the age of the answer.
func (p *Placer) limitOf(now time.Time, s *targetState) (limit float64, age time.Duration, limited bool) {
	return p.statements.Limit(now, incarnationOf(&s.target))
}

// StatedLimit is a limit that kept a request from being sent.
type StatedLimit struct {
	Upstream  string
	PerSecond float64
	// Age is the time since an answer last stated it.
	Age time.Duration
}

// String implements fmt.Stringer, for logs.
func (l StatedLimit) String() string {
	return fmt.Sprintf("%s %.3g/s %d ms ago", l.Upstream, l.PerSecond, l.Age.Milliseconds())
}

// limitedTargets returns the number of targets that have stated a limit.
func (p *Placer) limitedTargets(now time.Time) int {
	return lo.CountBy(lo.Values(p.targets), func(s *targetState) bool {
		_, _, limited := p.limitOf(now, s)
		return limited && s.seenInView == p.viewNumber
	})
}

// maxLoggedLimits bounds the limits that a refusal names.
const maxLoggedLimits = 4

// statedLimits returns the first of the limits that a request's targets have stated.
func (p *Placer) statedLimits(now time.Time, w *Work) []StatedLimit {
	var limits []StatedLimit
	for _, key := range p.targetKeys {
		s := p.targets[key]
		limit, age, limited := p.limitOf(now, s)
		if limited && len(limits) < maxLoggedLimits && p.eligible(now, s, w) {
			limits = append(limits, StatedLimit{s.target.ID, limit, age})
		}
	}
	return limits
}

// attached reports whether a keeper can grant requests to limited targets.
func (p *Placer) attached(now time.Time) bool { return now.Sub(p.loadsAt) <= countsValidFor }

// detachedRate is the rate at which this entry may send requests to a target with a limit while it is attached to no keeper.
func (p *Placer) detachedRate(limit float64) float64 {
	return statement.Rate(limit, statement.DetachedShare(p.entries))
}

// withinLimit reports whether the limit that a target has stated leaves this entry a request now.
func (p *Placer) withinLimit(now time.Time, s *targetState) bool {
	limit, _, limited := p.limitOf(now, s)
	upstream := incarnationOf(&s.target)
	if !limited || p.grants.Count(now, upstream) > 0 {
		return true
	}
	return !p.attached(now) && p.allotments.Allows(now, upstream, p.detachedRate(limit))
}

// countSend counts a send to a target against the limit that it has stated.
func (p *Placer) countSend(now time.Time, s *targetState) {
	limit, _, limited := p.limitOf(now, s)
	upstream := incarnationOf(&s.target)
	switch {
	case !limited:
	case p.grants.Count(now, upstream) > 0:
		p.grants.Use(now, upstream)
	default:
		p.allotments.Use(now, upstream, p.detachedRate(limit))
	}
}

// AddGrants adds requests to limited targets that a keeper grants, and returns the grants to waiting requests that
// they make possible.
func (p *Placer) AddGrants(now time.Time, upstreams []statement.Incarnation) []Grant {
	p.grants.Add(now, upstreams)
	for _, upstream := range upstreams {
		for _, s := range p.targets {
			if incarnationOf(&s.target) == upstream {
				p.queueOf(Work{Service: s.target.Service, Model: s.target.Model}).grantRate.add(now)
			}
		}
	}
	return p.grantWaiting(now)
}

// asksForGrants reports whether requests wait for targets with stated limits.
func (p *Placer) asksForGrants() bool {
	for _, q := range p.queues {
		if len(q.waiting) > 0 && len(q.blocked) > 0 {
			return true
		}
	}
	return false
}

// expireAllotments forgets the allotments at targets that no longer state a limit.
func (p *Placer) expireAllotments(now time.Time) {
	p.allotments.Retain(func(upstream statement.Incarnation) bool {
		_, _, limited := p.statements.Limit(now, upstream)
		return limited
	})
}

// AddGrants adds requests to limited upstreams that a keeper grants.
func (e *Entry) AddGrants(now time.Time, granted []*peerpb.UpstreamIncarnation) {
	upstreams := lo.Map(granted, func(u *peerpb.UpstreamIncarnation, _ int) statement.Incarnation {
		return statement.Incarnation{Upstream: u.GetUpstream(), StartTime: u.GetBornMs()}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.placer.AddGrants(now, upstreams))
}

// askForGrants has a report sent before the next one is due if requests wait for limited targets.
func (e *Entry) askForGrants() {
	if e.opts.OnNews == nil {
		return
	}
	now := boottime.Now()
	e.mu.Lock()
	asks := now.Sub(e.askedAt) >= askInterval && e.placer.asksForGrants()
	if asks {
		e.askedAt = now
	}
	e.mu.Unlock()
	if asks {
		e.opts.OnNews()
	}
}

// observeStatement records what an answer stated of its upstream.
func (e *Entry) observeStatement(upstream statement.Incarnation, s statement.Statement) {
	e.mu.Lock()
	now := boottime.Now()
	before, age, was := e.statements.Limit(now, upstream)
	left := e.statements.Leaving(upstream)
	news := e.statements.Observe(now, upstream, s)
	e.mu.Unlock()
	if !news {
		return
	}
	if s.Leaving && !left {
		e.opts.Metrics.Add("departures.stated", 1)
		e.opts.Log.Info().Str("upstream", upstream.Upstream).Uint64("born", upstream.StartTime).Msg("upstream_leaving_stated")
	}
	if was != s.Limited || before != s.Limit {
		e.opts.Metrics.Add("statements.changed", 1)
		e.opts.Log.Info().Str("upstream", upstream.Upstream).Uint64("born", upstream.StartTime).Bool("limited", s.Limited).Float64("limit_per_s", s.Limit).
			Bool("was_limited", was).Float64("was_per_s", before).Dur("last_stated_ms", age).Msg("upstream_limit_stated")
	}
	if e.opts.OnNews != nil {
		e.opts.OnNews()
	}
}

// MergeStatements adds what upstreams stated to other entries.
func (e *Entry) MergeStatements(now time.Time, s *peerpb.Statements) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statements.Merge(now, s)
	e.statements.Expire(now)
}
