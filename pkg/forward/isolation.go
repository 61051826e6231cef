package forward

import (
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
)

const (
	// upstreamsPerIsolated is the number of healthy upstreams of a service for which an entry has
	// one isolated request in flight; it always has one. After many upstreams ended together, one at
	// a time would take too long.
	upstreamsPerIsolated = 8
	// minOtherUpstreams is the number of healthy upstreams that a service keeps beside the one
	// for isolated requests.
	minOtherUpstreams = 1
	// soleUpstreamTime is how long a service must have had a single upstream for isolated
	// requests to be sent there: the others may be about to return.
	soleUpstreamTime = 30 * time.Second
	// avoidTime is how long after a crash other requests avoid the upstream for isolated ones.
	avoidTime = 10 * time.Second
	// avoidPenalty ranks that upstream behind all others that have capacity.
	avoidPenalty = 1 + plainQueueShare
)

// isolation is the state of a plain service's isolated requests: those under which an upstream
// crashed, and that may crash another one.
type isolation struct {
	// inFlight is the number of isolated requests in flight.
	inFlight int
	// severalAt is when the service last had several upstreams.
	severalAt time.Time
	// avoidUntil is when other requests cease to avoid the upstream for isolated ones.
	avoidUntil time.Time
}

func (p *Placer) isolationOf(service string) *isolation {
	i := p.isolations[service]
	if i == nil {
		i = &isolation{}
		p.isolations[service] = i
	}
	return i
}

// recordUpstreams records which plain services have several upstreams in the current view.
func (p *Placer) recordUpstreams(now time.Time) {
	count := map[string]int{}
	for _, s := range p.targets {
		if s.seenInView == p.viewNumber && s.target.Group == "" {
			count[s.target.Service]++
		}
	}
	for service, n := range count {
		if n > 1 {
			p.isolationOf(service).severalAt = now
		}
	}
}

// RecordCrash records that an upstream of a service crashed at a given time.
func (p *Placer) RecordCrash(at time.Time, service string) {
	if i, until := p.isolationOf(service), at.Add(avoidTime); until.After(i.avoidUntil) {
		i.avoidUntil = until
	}
}

// MarkCrashed has crashed tell which incarnations of plain upstreams have ended. Isolated requests are
// not sent there, others only where nothing else is left. One that refused another entry's
// connections may still answer this one, and then counts as alive.
func (p *Placer) MarkCrashed(crashed func(id string, startTime uint64) bool) {
	for _, s := range p.targets {
		s.crashed = s.target.Group == "" && !s.answeredAfterCrash && crashed(s.target.ID, s.target.StartTime)
	}
}

// isolationTargets returns the healthy upstreams of a plain service in an order that is the same at
// all entries with the same view; none when an isolated request would leave too few others.
func (p *Placer) isolationTargets(now time.Time, service string) []*targetState {
	current, healthy := 0, []*targetState(nil)
	for _, key := range p.targetKeys {
		s := p.targets[key]
		if s.seenInView != p.viewNumber || s.target.Service != service || s.target.Group != "" {
			continue
		}
		current++
		if s.consecutiveFailures == 0 && !s.crashed && !p.closed(now, s) && (!s.target.Suspected || s.answeredRecently(now)) {
			healthy = append(healthy, s)
		}
	}
	sole := current == 1 && now.Sub(p.isolationOf(service).severalAt) > soleUpstreamTime
	if len(healthy) <= minOtherUpstreams && !sole {
		return nil
	}
	return healthy
}

// isolationTarget returns the upstream for an isolated request, and how many of them this entry may
// have in flight; nil when the request is refused.
func (p *Placer) isolationTarget(now time.Time, w *Work) (*targetState, int) {
	healthy := p.isolationTargets(now, w.Service)
	for _, s := range healthy {
		if !slices.Contains(w.Excluded, s.target.ID) {
			return s, max(len(healthy)/upstreamsPerIsolated, 1)
		}
	}
	return nil, 0
}

// pickIsolated returns the upstream for an isolated request; nil when the request waits or is
// refused.
func (p *Placer) pickIsolated(now time.Time, w *Work) *targetState {
	s, limit := p.isolationTarget(now, w)
	if s == nil || p.isolationOf(w.Service).inFlight >= limit || now.Before(s.backoffUntil) || s.load(1) >= float64(s.limit()) {
		return nil
	}
	q := p.queueOf(*w)
	q.blocked = q.blocked[:0]
	if !p.withinLimit(now, s) {
		q.blocked = append(q.blocked, incarnationOf(&s.target))
		return nil
	}
	return s
}

// avoided returns the upstream that requests of a service avoid, as isolated ones may crash it; nil
// if there is none.
func (p *Placer) avoided(now time.Time, service string) *targetState {
	i := p.isolations[service]
	if i == nil || i.inFlight == 0 && !now.Before(i.avoidUntil) {
		return nil
	}
	s, _ := p.isolationTarget(now, &Work{Service: service})
	return s
}

// ReleaseIsolated frees the slot of an isolated request at its target.
func (p *Placer) ReleaseIsolated(now time.Time, t *attach.Target) []Grant {
	i := p.isolationOf(t.Service)
	i.inFlight = max(i.inFlight-1, 0)
	return p.release(now, t, Work{Service: t.Service, Isolated: true})
}
