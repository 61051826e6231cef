package limits

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// reportInterval is the report interval of a node with a changing demand or a
	// grant to acknowledge.
	reportInterval = time.Second
	// idleInterval is the report interval of other nodes; it must stay well below the
	// lease of the shares.
	idleInterval = 3 * time.Second
	// urgentInterval is the minimum report interval of a node that refuses requests,
	// while its reports still change its shares.
	urgentInterval = 250 * time.Millisecond
	// reportTimeout is the timeout of one report.
	reportTimeout = 2 * time.Second
	// releaseTimeout is the timeout for releasing the shares at shutdown.
	releaseTimeout = time.Second
)

// Proposer commits a command to the region log and returns its result.
type Proposer func(ctx context.Context, cmd *peerpb.Command) (*peerpb.Result, error)

// Renewer renews a node's shares: it reports the demand and applies the grants. It
// also reports when no limits are configured, so that a new limit is divided among
// all nodes from the start.
type Renewer struct {
	limiter     *Limiter
	nodeID      string
	incarnation uint64
	propose     Proposer
	log         zerolog.Logger
	// grantNumber is the number of the grant in force.
	grantNumber uint64
	sentAt      time.Time
	// active is true if the last report changed a demand or a share.
	active bool
	// sharesChanged is true if the last grant changed a share.
	sharesChanged bool
}

// NewRenewer returns a renewer for a limiter. incarnation increases with each start
// of the node.
func NewRenewer(l *Limiter, nodeID string, incarnation uint64, propose Proposer, log zerolog.Logger) *Renewer {
	return &Renewer{limiter: l, nodeID: nodeID, incarnation: incarnation, propose: propose, log: log}
}

// Run renews the shares until ctx ends, then releases them. By then no request of
// the node may be in flight.
func (r *Renewer) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.release()
			return
		case <-r.limiter.wake:
			timer.Reset(max(r.minInterval()-time.Since(r.sentAt), 0))
			continue
		case <-timer.C:
		}
		r.renew(ctx)
		timer.Reset(r.nextInterval())
	}
}

// minInterval limits the report rate of nodes that are all at their limit.
func (r *Renewer) minInterval() time.Duration {
	if r.sharesChanged || r.limiter.hasLimitsChanged() {
		return urgentInterval
	}
	return reportInterval
}

func (r *Renewer) nextInterval() time.Duration {
	if r.active {
		return reportInterval
	}
	return idleInterval
}

func (r *Renewer) renew(ctx context.Context) {
	now := time.Now()
	report := r.limiter.Report(r.nodeID, r.incarnation, r.grantNumber, now.Sub(r.sentAt))
	r.sentAt = now
	grants, err := r.send(ctx, report, reportTimeout)
	if err != nil {
		r.log.Warn().Err(err).Msg("limit_shares_not_renewed")
		r.grantNumber, r.active = 0, true
		return
	}
	if grants.GetNumber() == 0 {
		return
	}
	r.grantNumber = grants.GetNumber()
	r.sharesChanged = len(grants.GetGrants()) > 0
	r.active = r.sharesChanged || len(report.GetDemands()) > 0
	r.limiter.Grant(time.Now(), now, grants)
}

func (r *Renewer) release() {
	if r.grantNumber == 0 {
		return
	}
	report := &peerpb.ShareReport{NodeId: r.nodeID, Incarnation: r.incarnation, Release: true}
	if _, err := r.send(context.Background(), report, releaseTimeout); err != nil {
		r.log.Warn().Err(err).Msg("limit_shares_not_released")
	}
}

func (r *Renewer) send(ctx context.Context, report *peerpb.ShareReport, timeout time.Duration) (*peerpb.ShareGrants, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := r.propose(ctx, &peerpb.Command{Body: &peerpb.Command_ShareReport{ShareReport: report}})
	if err != nil {
		return nil, err
	}
	return res.GetShares(), nil
}

func (l *Limiter) hasLimitsChanged() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limitsChanged
}

// wakeRenewer asks for an early report unless one is already pending.
func (l *Limiter) wakeRenewer() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
