package configwatch

import (
	"context"
	"errors"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// proposeTimeout limits a proposal, including retries at other keepers.
	proposeTimeout = 3 * time.Second
	// attemptTimeout limits one attempt at one keeper.
	attemptTimeout = time.Second
	// roundBackoff is the pause after all keepers failed.
	roundBackoff = 100 * time.Millisecond
)

// errBreakerOpen is the cause of a proposal rejected without an attempt.
var errBreakerOpen = errors.New("the last proposal reached no majority of keepers")

// Propose sends a command to the keepers, one after the other, until one accepts it,
// and returns its result. Commands are idempotent, so they can be retried: config
// changes, claim steps and share reports have the same effect however often they are
// committed. An error whose outcome is not-run means that no keeper will commit the
// command. While no majority is reachable, proposals are rejected without an attempt,
// so that callers in a partitioned failure domain do not wait.
func (w *Watcher) Propose(ctx context.Context, cmd *peerpb.Command) (*peerpb.Result, error) {
	if w.breaker.tripped.Load() {
		return nil, noMajorityFault().WithCause(errBreakerOpen)
	}
	result, err := w.proposeToAny(ctx, cmd)
	if err == nil {
		return result, nil
	}
	if err.Kind == fault.NoQuorum && ctx.Err() == nil && !w.breaker.tripped.Swap(true) {
		w.log.Warn().Err(err).Msg("quorum_lost")
	}
	return nil, err
}

// proposeToAny sends a command to the keepers until one accepts it, starting with the
// keeper that accepted the last one.
func (w *Watcher) proposeToAny(ctx context.Context, cmd *peerpb.Command) (*peerpb.Result, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	attempts := proposalAttempts{keepers: len(w.keepers)}
	for attempt := 0; ctx.Err() == nil && !attempts.done(); attempt++ {
		at := (int(w.leader.Load()) + attempt) % len(w.keepers)
		result, err := w.proposeTo(ctx, w.keepers[at], cmd)
		if err == nil {
			w.leader.Store(int64(at))
			return result, nil
		}
		attempts.add(keeper.FaultOf(err))
		if attempts.count%attempts.keepers == 0 && !attempts.done() {
			sleep(ctx, roundBackoff)
		}
	}
	return nil, attempts.fault()
}

// proposalAttempts tracks the attempts of one command.
type proposalAttempts struct {
	keepers int
	count   int
	// unknown is set once a keeper may have committed the command.
	unknown bool
	// withoutLeader counts the keepers of this round that know no leader.
	withoutLeader int
	// final is a rejection that would be the same at any other keeper.
	final *fault.Error
	last  *fault.Error
}

func (p *proposalAttempts) add(f *fault.Error) {
	if p.count%p.keepers == 0 {
		p.withoutLeader = 0
	}
	p.count++
	p.last = f
	switch {
	case f.Outcome != fault.NotRun:
		p.unknown = true
	case f.Kind == fault.NoQuorum:
		p.withoutLeader++
	case f.Kind != fault.Stopping:
		p.final = f
	}
}

// done reports whether further attempts are useless: there is a final rejection or no
// keeper, or a round is complete in which at least one keeper knew no leader and none
// accepted the command.
func (p *proposalAttempts) done() bool {
	return p.final != nil || p.keepers == 0 || (p.count > 0 && p.count%p.keepers == 0 && p.withoutLeader > 0)
}

func (p *proposalAttempts) fault() *fault.Error {
	if p.final != nil && !p.unknown {
		return p.final
	}
	e := noMajorityFault()
	if p.unknown {
		e = e.WithOutcome(fault.Unknown)
	}
	if p.last != nil {
		e = e.WithCause(p.last)
	}
	return e
}

func noMajorityFault() *fault.Error {
	return fault.New(fault.NoQuorum,
		"restore a majority of keepers or the links to them, then send the change again with the same identifier",
		"no majority of keepers accepted the command; the configuration in force stays in use").WithRetryAfter(time.Second)
}

func (w *Watcher) proposeTo(ctx context.Context, to Peer, cmd *peerpb.Command) (*peerpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	resp, err := peerpb.NewKeeperClient(to.Conn).Propose(ctx, &peerpb.ProposeRequest{Command: cmd})
	if err != nil {
		return nil, err
	}
	return resp.GetResult(), nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
