package limits

import (
	"time"
)

// sharePart is the part of its shares that a node may use.
type sharePart int

const (
	// partNone applies before the first grant and after the base lease.
	partNone sharePart = iota
	// partBase applies after the lease, until the base lease expires.
	partBase
	// partFull applies during the lease.
	partFull
)

// lease is the validity of the shares. It starts when the report was sent, which is
// before the share table recorded it, so the node's lease expires first.
type lease struct {
	sentAt       time.Time
	fullDuration time.Duration
	baseDuration time.Duration
	// granted is true after the first grant.
	granted bool
	// effective is the part that the bucket rates are set to.
	effective sharePart
}

// partAt returns the part of the shares that the node may use at now.
func (l *lease) partAt(now time.Time) sharePart {
	if !l.granted {
		return partNone
	}
	switch elapsed := elapsedSince(l.sentAt, now); {
	case elapsed < l.fullDuration:
		return partFull
	case elapsed < l.baseDuration:
		return partBase
	default:
		return partNone
	}
}

// elapsedSince returns the longer of the elapsed times by the monotonic and the wall
// clock, because the monotonic clock stops while a VM is suspended.
func elapsedSince(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// applyLeaseExpiry lowers the bucket rates once the lease has expired.
func (l *Limiter) applyLeaseExpiry(now time.Time) {
	if !l.shared {
		return
	}
	current := l.lease.partAt(now)
	if current == l.lease.effective {
		return
	}
	l.lease.effective = current
	for _, a := range l.accounts {
		a.setBucketRate(now, a.currentRate(current))
	}
}

func (a *account) currentRate(p sharePart) int64 {
	switch p {
	case partFull:
		return a.share.rateMilli
	case partBase:
		return a.share.baseRateMilli
	default:
		return 0
	}
}

func (a *account) currentConcurrency(p sharePart, shared bool) int64 {
	switch {
	case !shared || p == partFull:
		return a.share.concurrency
	case p == partBase:
		return a.share.baseConcurrency
	default:
		return 0
	}
}
