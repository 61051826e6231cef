package configwatch

import (
	"context"
	"sync/atomic"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// breaker is a circuit breaker that rejects proposals immediately while no majority of
// keepers is reachable. A proposal that reaches no majority trips it; a committed
// probe, which Run sends, closes it.
type breaker struct {
	tripped atomic.Bool
	probing atomic.Bool
}

// tryStartProbe reports whether a probe is due and none is running. If it returns
// true, the caller must call probe.
func (b *breaker) tryStartProbe() bool {
	return b.tripped.Load() && b.probing.CompareAndSwap(false, true)
}

// probe proposes a command that changes nothing and closes the breaker if it is
// committed.
func (w *Watcher) probe(ctx context.Context) {
	defer w.breaker.probing.Store(false)
	if _, err := w.proposeToAny(ctx, &peerpb.Command{}); err == nil {
		w.breaker.tripped.Store(false)
		w.log.Info().Msg("quorum_reached_again")
	}
}
