package attach

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
)

const (
	// reportInterval is the time between two reports over the primary link, and so the age
	// of this entry's load at other entries.
	reportInterval = 200 * time.Millisecond
	// confirmInterval is the longest time between two requests for a confirmation.
	confirmInterval = 800 * time.Millisecond
	// silenceTimeout is the timeout of a link without updates: three update intervals and a
	// margin.
	silenceTimeout = 1400 * time.Millisecond
	// unconfirmedTimeout is the time without a confirmation after which a link counts as one that confirms nothing: the
	// answer to one request for it is missing.
	unconfirmedTimeout = 2 * confirmInterval
	// leaderTimeout is the same for a link to a keeper that knows a leader: it is likely to confirm, and a further link costs
	// the keepers more than its answer. One that is cut off loses its leader within a second.
	leaderTimeout = 2 * unconfirmedTimeout
	// beginTimeout is the time in which a keeper that serves sends its first update.
	beginTimeout = time.Second
	// reconnectDelay is the delay after a link failed before a new one is opened.
	reconnectDelay = 250 * time.Millisecond
	// queueRetryDelay is the time between two attempts to queue the loss of a link while the
	// queue of updates is full.
	queueRetryDelay = 20 * time.Millisecond
)

// link is the stream to one keeper.
type link struct {
	attachment *Attachment
	address    string
	// attached is true once the keeper has sent an update.
	attached atomic.Bool
	// attachedAt is when the link was opened, by boot time.
	attachedAt time.Time
	// version is the document version that the keeper last reported, freshness what the link has confirmed.
	version   atomic.Uint64
	freshness freshness
	// leaderKnown is true while the keeper reports that it knows a leader.
	leaderKnown atomic.Bool
	stop        context.CancelFunc
	// urgent has the next report sent at once.
	urgent chan struct{}
}

// confirms reports whether the link has confirmed the configuration within unconfirmedTimeout.
func (l *link) confirms(now time.Time) bool { return l.freshness.age(now) < unconfirmedTimeout }

// begins reports whether the link was opened within beginTimeout and the keeper has not sent an update yet.
func (l *link) begins(now time.Time) bool {
	return !l.attached.Load() && now.Sub(l.attachedAt) < beginTimeout
}

// mayConfirm reports whether the keeper knows a leader and has had less than leaderTimeout for a confirmation.
func (l *link) mayConfirm(now time.Time) bool {
	return l.leaderKnown.Load() && (l.freshness.age(now) < leaderTimeout || now.Sub(l.attachedAt) < leaderTimeout)
}

// run serves the stream until it fails or the link's context ends. It then queues the loss
// of the link, unless ctx, the context of the whole attachment, has ended.
func (l *link) run(ctx, linkCtx context.Context) {
	err := l.stream(linkCtx)
	l.queueLoss(ctx)
	if linkCtx.Err() != nil {
		return
	}
	l.attachment.opts.Log.Warn().AnErr("reason", err).Str("keeper", l.address).Msg("keeper_lost")
	l.attachment.recordFailure(l.address, boottime.Now())
	// The next stream needs a new connection, as this one may never answer again.
	l.attachment.opts.Dialer.Reset(l.address)
	select {
	case <-time.After(reconnectDelay):
	case <-linkCtx.Done():
	}
}

// queueLoss queues the loss of the link. It waits while the queue is full: the entry may
// never attach to this keeper again, and nothing else marks its records as stale.
func (l *link) queueLoss(ctx context.Context) {
	for !l.attachment.updates.Push(update{keeper: l.address, lost: true}) {
		select {
		case <-time.After(queueRetryDelay):
		case <-ctx.Done():
			return
		}
	}
}

func (l *link) stream(ctx context.Context) error {
	conn, err := l.attachment.opts.Dialer.Dial(l.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(silenceTimeout, func() { cancel(errKeeperSilent) })
	defer silenceTimer.Stop()
	stream, err := peerpb.NewFleetClient(conn).Attach(ctx, peers.Compressed())
	if err != nil {
		return err
	}
	go l.sendReports(ctx, stream, cancel)
	for first := true; ; first = false {
		f, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			return err
		}
		silenceTimer.Reset(silenceTimeout)
		l.attached.Store(true)
		l.version.Store(f.GetDocumentVersion())
		l.leaderKnown.Store(f.GetLeaderKnown())
		l.freshness.confirm(f.GetConfirmedToken())
		if first {
			l.attachment.recordAttached(l.address)
			l.attachment.opts.Log.Info().Str("keeper", l.address).Uint64("document", f.GetDocumentVersion()).Msg("keeper_attached")
		}
		if !l.attachment.updates.Push(update{keeper: l.address, fleet: f, at: boottime.Now()}) {
			return errQueueFull
		}
	}
}

// ConfirmInterval returns the time between two requests for a confirmation over one link. Two of them fit into MaxChangeAge.
func (a *Attachment) ConfirmInterval() time.Duration {
	if a.opts.MaxChangeAge == 0 {
		return confirmInterval
	}
	return min(confirmInterval, a.opts.MaxChangeAge/2)
}

// sendReports sends the entry's reports to the keeper until ctx ends.
func (l *link) sendReports(ctx context.Context, stream grpc.BidiStreamingClient[peerpb.EntryReport, peerpb.FleetUpdate], cancel context.CancelCauseFunc) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var confirmAt time.Time
	var sent Sent
	for first := true; ; first = false {
		now := boottime.Now()
		r := &peerpb.EntryReport{DocumentVersion: l.attachment.View().Document.VersionOrZero(), Primary: l.attachment.isPrimary(l.address)}
		if first {
			r.NodeId, r.FailureDomain = l.attachment.opts.NodeID, l.attachment.opts.FailureDomain
		}
		if now.Sub(confirmAt) >= l.attachment.ConfirmInterval() {
			confirmAt, r.ConfirmToken = now, l.attachment.freshness.token(now)
		}
		l.attachment.handlers.Report(now, r.GetPrimary(), &sent, r)
		if first || r.GetPrimary() || r.GetConfirmToken() > 0 || len(r.GetEvidence()) > 0 || r.GetCrashEvidence() != nil || r.GetStatements() != nil || r.GetTunnel() != nil {
			if err := stream.Send(r); err != nil {
				cancel(err)
				return
			}
		}
		select {
		case <-tick.C:
		case <-l.urgent:
		case <-ctx.Done():
			return
		}
	}
}
