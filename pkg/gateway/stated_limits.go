package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/statement"
)

// statedLimits keeps the limits that upstreams state in their answers. The entries of a region are listed in the settings, so
// each one uses an even share of a limit and needs no other node for it. It is safe for concurrent use.
type statedLimits struct {
	entries int
	log     zerolog.Logger

	mu         sync.Mutex
	table      *statement.Table
	allotments *statement.Allotments
	// pauses are the times for which upstreams want no work of this entry.
	pauses *statement.Pauses
}

func newStatedLimits(entries int, log zerolog.Logger) *statedLimits {
	return &statedLimits{
		entries: max(entries, 1), log: log, table: statement.NewTable(),
		allotments: statement.NewAllotments(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 7))),
		pauses:     statement.NewPauses(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 8))),
	}
}

// observe records what an answer states of its upstream.
func (l *statedLimits) observe(upstream statement.Incarnation, s statement.Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	before, _, was := l.table.Limit(now, upstream)
	left := l.table.Leaving(upstream)
	news := l.table.Observe(now, upstream, s)
	if news && s.Leaving && !left {
		l.log.Info().Str("upstream", upstream.Upstream).Uint64("born", upstream.StartTime).Msg("upstream_leaving_stated")
	}
	if news && (was != s.Limited || before != s.Limit) {
		l.log.Info().Str("upstream", upstream.Upstream).Uint64("born", upstream.StartTime).Bool("limited", s.Limited).Float64("limit_per_s", s.Limit).
			Bool("was_limited", was).Float64("was_per_s", before).Msg("upstream_limit_stated")
	}
}

// observePause records that an upstream wants no work of this entry for a time.
func (l *statedLimits) observePause(upstream statement.Incarnation, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pauses.Begin(boottime.Now(), upstream, d) {
		l.log.Info().Str("upstream", upstream.Upstream).Uint64("born", upstream.StartTime).Dur("pause_ms", d).Msg("upstream_paused")
	}
}

// admit counts a send against the limit that its upstream has stated. It returns false where the limit leaves this entry no
// request now, or the upstream wants none or leaves, with the time until it takes one; 0 where that is not known.
func (l *statedLimits) admit(upstream statement.Incarnation) (wait time.Duration, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	if l.table.Leaving(upstream) {
		return 0, false
	}
	if end, paused := l.pauses.Until(now, upstream); paused {
		return end.Sub(now), false
	}
	limit, _, limited := l.table.Limit(now, upstream)
	if !limited {
		return 0, true
	}
	perSecond := statement.Rate(limit, 1/float64(l.entries))
	if !l.allotments.Allows(now, upstream, perSecond) {
		return l.allotments.Wait(now, upstream, perSecond), false
	}
	l.allotments.Use(now, upstream, perSecond)
	return 0, true
}

// headOf returns the incarnation of the upstream that takes a group's requests.
func headOf(g *domain.Group) statement.Incarnation {
	return statement.Incarnation{Upstream: g.Members[0].ID, StartTime: g.Members[0].Incarnation}
}

// limitError is the failure of an attempt that was not sent because of what its upstream has stated.
func limitError(address string, wait time.Duration) *dispatch.CallError {
	return &dispatch.CallError{Reason: dispatch.LimitStated, Address: address, RetryAfter: wait}
}
