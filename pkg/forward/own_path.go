package forward

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/boottime"
)

// pathProven reports whether something came from an upstream directly since a given boot time, so that silence and
// failures are those of the upstream.
func (e *Entry) pathProven(since time.Time) bool {
	return e.opts.PathProven == nil || e.opts.PathProven(since)
}

// ForgiveFailures takes back the failures that were recorded against targets, once it is known that this entry's own path
// was lost.
func (e *Entry) ForgiveFailures() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.reports.stalled)
	e.deliver(e.placer.ForgiveFailures(boottime.Now()))
}

// ForgiveFailures ends the backoff of all targets.
func (p *Placer) ForgiveFailures(now time.Time) []Grant {
	for _, s := range p.targets {
		s.backoffUntil, s.consecutiveFailures = time.Time{}, 0
	}
	return p.grantWaiting(now)
}

// probePath opens a connection to another upstream than a silent one, to find out whether this entry's path works. The
// caller holds the lock.
func (e *Entry) probePath(silent *attach.Target) {
	for _, key := range e.placer.targetKeys {
		if other := e.placer.targets[key].target; other.ID != silent.ID {
			go func() {
				if err := e.opts.Client.Probe(context.Background(), other.Address); err != nil {
					e.opts.Log.Debug().Err(err).Str("upstream", other.ID).Msg("path_probe_failed")
				}
			}()
			return
		}
	}
}
