package control

import (
	"context"
	"sync"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// confirmTimeout bounds one quorum read.
	confirmTimeout = 800 * time.Millisecond
	// minConfirmInterval is the shortest time between two quorum reads: one read serves
	// every entry that requested a confirmation before it began.
	minConfirmInterval = 100 * time.Millisecond
)

// confirmations collects the requests of entries for a confirmation that their configuration
// is the newest.
type confirmations struct {
	mu sync.Mutex
	// requested and done are the highest requested and confirmed tokens of each entry.
	requested, done map[*subscriber]uint64
	wake            chan struct{}
	// failing is true while quorum reads fail. Only serveConfirmations uses it.
	failing bool
}

func (c *confirmations) init() {
	c.requested, c.done, c.wake = map[*subscriber]uint64{}, map[*subscriber]uint64{}, make(chan struct{}, 1)
}

func (c *confirmations) request(s *subscriber, token uint64) {
	c.mu.Lock()
	c.requested[s] = max(c.requested[s], token)
	c.mu.Unlock()
	c.wakeReader()
}

// wakeReader has the tokens that wait confirmed by the next quorum read.
func (c *confirmations) wakeReader() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *confirmations) remove(s *subscriber) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requested, s)
	delete(c.done, s)
}

func (c *confirmations) confirmed(s *subscriber) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[s]
}

// pending returns the tokens that are not confirmed yet.
func (c *confirmations) pending() map[*subscriber]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	unconfirmed := map[*subscriber]uint64{}
	for s, token := range c.requested {
		if token > c.done[s] {
			unconfirmed[s] = token
		}
	}
	return unconfirmed
}

func (c *confirmations) complete(tokens map[*subscriber]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, token := range tokens {
		if _, attached := c.requested[s]; attached {
			c.done[s] = max(c.done[s], token)
		}
	}
}

// confirmDocument confirms by a quorum read that the document in force at this keeper is
// the newest committed one.
func (c *Control) confirmDocument(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	var committed uint64
	err := c.opts.Keeper.ReadConfirmed(ctx, func() {
		change := c.opts.Machine.Document()
		committed = change.GetVersion()
		c.putInForce(change)
	})
	if err != nil {
		return err
	}
	if inForce := c.documentVersion(); inForce < committed {
		return fault.New(fault.NotReady, "upgrade this keeper, or send a document that it can read",
			"committed version %d can't be decoded by this keeper, version %d is in force", committed, inForce)
	}
	return nil
}

// reportUnconfirmed counts a failed quorum read, and logs the first one after a successful one.
func (c *Control) reportUnconfirmed(err error, entries int) {
	c.opts.Metrics.Add("confirmations.failed", 1)
	if !c.confirmations.failing {
		c.opts.Log.Warn().Err(err).Int("entries", entries).Uint64("in_force", c.documentVersion()).Msg("configuration_not_confirmed")
	}
	c.confirmations.failing = true
}

// serveConfirmations serves the confirmation requests of entries by quorum reads until ctx
// ends. A token is confirmed once every document committed before the token arrived is in
// force at this keeper.
func (c *Control) serveConfirmations(ctx context.Context) {
	for {
		select {
		case <-c.confirmations.wake:
		case <-ctx.Done():
			return
		}
		tokens := c.confirmations.pending()
		if len(tokens) == 0 {
			continue
		}
		if err := c.confirmDocument(ctx); err != nil {
			c.reportUnconfirmed(err, len(tokens))
			c.confirmations.wakeReader()
		} else {
			c.confirmations.failing = false
			c.confirmations.complete(tokens)
			for s := range tokens {
				select {
				case s.wake <- struct{}{}:
				default:
				}
			}
		}
		select {
		case <-time.After(minConfirmInterval):
		case <-ctx.Done():
			return
		}
	}
}
