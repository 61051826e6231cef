package attach

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// reportInterval is the time between two reports of the primary link: what other
	// entries know of this one's load is that old.
	reportInterval = 200 * time.Millisecond
	// confirmInterval is the time between two requests for a confirmation.
	confirmInterval = 800 * time.Millisecond
	// silenceLimit ends a link whose keeper missed three updates.
	silenceLimit = 1400 * time.Millisecond
	// relinkPause passes after a link that failed.
	relinkPause = 250 * time.Millisecond
)

// link is the stream to one keeper.
type link struct {
	a       *Attachment
	address string
	// heardAt is when the last update came, in nanoseconds of boot time.
	heardAt atomic.Int64
}

// order sorts keepers by a hash of both ends.
func order(node, x, y string) int {
	hx, hy := xxhash.Sum64String(node+x), xxhash.Sum64String(node+y)
	switch {
	case hx < hy:
		return -1
	case hx > hy:
		return 1
	default:
		return 0
	}
}

// run keeps the stream for as long as it works.
func (l *link) run(ctx context.Context) {
	err := l.stream(ctx)
	if ctx.Err() != nil {
		return
	}
	l.a.opts.Log.Warn().AnErr("reason", err).Str("keeper", l.address).Msg("keeper_lost")
	l.a.updates.Push(update{keeper: l.address, lost: true})
	// The next stream takes a new connection: this one may be silent for good.
	l.a.opts.Dialer.Reset(l.address)
	select {
	case <-time.After(relinkPause):
	case <-ctx.Done():
	}
}

func (l *link) stream(ctx context.Context) error {
	conn, err := l.a.opts.Dialer.Dial(l.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := boottime.Now()
	l.heardAt.Store(now.UnixNano())
	watch := time.AfterFunc(silenceLimit, func() { cancel(errSilent) })
	defer watch.Stop()
	stream, err := peerpb.NewFleetClient(conn).Attach(ctx)
	if err != nil {
		return err
	}
	go l.report(ctx, stream, cancel)
	for first := true; ; first = false {
		f, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			return err
		}
		watch.Reset(silenceLimit)
		if first {
			l.a.opts.Log.Info().Str("keeper", l.address).Uint64("document", f.GetDocumentVersion()).Msg("keeper_attached")
		}
		if !l.a.updates.Push(update{keeper: l.address, fleet: f, at: boottime.Now()}) {
			return errOverrun
		}
	}
}

// report is the duty that tells the keeper what this entry does.
func (l *link) report(ctx context.Context, stream grpc.BidiStreamingClient[peerpb.EntryReport, peerpb.FleetUpdate], cancel context.CancelCauseFunc) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var confirmAt time.Time
	for first := true; ; first = false {
		now := boottime.Now()
		r := &peerpb.EntryReport{DocumentVersion: l.a.View().Document.VersionOrZero(), Primary: l.a.isPrimary(l.address)}
		if first {
			r.NodeId, r.FailureDomain = l.a.opts.NodeID, l.a.opts.FailureDomain
		}
		if now.Sub(confirmAt) >= confirmInterval {
			confirmAt, r.ConfirmToken = now, l.a.fresh.token(now)
		}
		l.a.report(now, r.GetPrimary(), r)
		if err := stream.Send(r); err != nil {
			cancel(err)
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
