package forward

import (
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/statement"
)

// Pause keeps work of this entry away from an upstream for a time. After it one request at a time is sent there until it answers. It
// returns the waiting requests that can't be answered in time any more, which must be submitted again, and whether the pause is new.
func (p *Placer) Pause(now time.Time, upstream statement.Incarnation, d time.Duration) (grants []Grant, began bool) {
	began = p.pauses.Begin(now, upstream, d)
	for _, s := range p.targets {
		if incarnationOf(&s.target) == upstream {
			s.consecutiveFailures = max(s.consecutiveFailures, 1)
		}
	}
	return p.ExamineWaiting(now), began
}

// paused reports whether a target wants no work of this entry.
func (p *Placer) paused(now time.Time, s *targetState) bool {
	_, paused := p.pauses.Until(now, incarnationOf(&s.target))
	return paused
}

// closed reports whether a target takes no new request: it wants none for a time, or has stated that it leaves.
func (p *Placer) closed(now time.Time, s *targetState) bool {
	return p.paused(now, s) || p.statements.Leaving(incarnationOf(&s.target))
}

// pausesAny reports whether any target of a request is paused.
func (p *Placer) pausesAny(now time.Time, w *Work) bool {
	return lo.SomeBy(lo.Values(p.targets), func(s *targetState) bool {
		return s.seenInView == p.viewNumber && s.target.Service == w.Service && s.target.Model == w.Model && p.paused(now, s)
	})
}

// observePause records that an upstream wants no work of this entry for a time.
func (e *Entry) observePause(upstream statement.Incarnation, d time.Duration) {
	e.mu.Lock()
	grants, began := e.placer.Pause(boottime.Now(), upstream, d)
	e.deliver(grants)
	e.mu.Unlock()
	if began {
		e.opts.Metrics.Add("pauses.stated", 1)
		e.opts.Log.Info().Str("upstream", upstream.Upstream).Uint64("born", upstream.StartTime).Dur("pause_ms", d).Msg("upstream_paused")
	}
}
