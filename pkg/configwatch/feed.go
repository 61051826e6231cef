package configwatch

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// heartbeatInterval is the time between two heartbeats of a watch.
const heartbeatInterval = time.Second

// Source provides the data that a feed serves.
type Source struct {
	// Since returns the changes after a revision, the full configuration if they are
	// not known, or an event without changes if there are none.
	Since func(revision uint64) *peerpb.WatchEvent
	// KeeperAge returns the time since the source's last contact with a keeper.
	KeeperAge func() time.Duration
	// Held returns the revisions that the node holds. With confirm, a keeper first
	// confirms them with a quorum, within the deadline of ctx.
	Held func(ctx context.Context, confirm bool) *peerpb.HeldResponse
}

// Feed serves the committed configuration to watchers. It has no queue per watcher
// and tracks only the revision sent last: a slow watcher gets the changes since then
// in one event, or the full configuration if the history does not reach back.
type Feed struct {
	peerpb.UnimplementedFeedServer

	source Source
	mu     sync.Mutex
	// changed is closed and replaced whenever there is a new revision.
	changed  chan struct{}
	notified uint64
}

// NewFeed returns a feed that serves a source.
func NewFeed(source Source) *Feed {
	return &Feed{source: source, changed: make(chan struct{})}
}

// Register registers the feed's service with a gRPC server.
func (f *Feed) Register(s grpc.ServiceRegistrar) { peerpb.RegisterFeedServer(s, f) }

// Notify wakes the watchers because the source has a new revision. It ignores
// revisions that are not higher than the last one.
func (f *Feed) Notify(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.notified {
		return
	}
	f.notified = revision
	close(f.changed)
	f.changed = make(chan struct{})
}

// Held returns the revisions that the node holds.
func (f *Feed) Held(ctx context.Context, req *peerpb.HeldRequest) (*peerpb.HeldResponse, error) {
	return f.source.Held(ctx, req.GetConfirm()), nil
}

// Watch streams the changes of each new revision, and heartbeats in between.
func (f *Feed) Watch(req *peerpb.WatchRequest, stream grpc.ServerStreamingServer[peerpb.WatchEvent]) error {
	sent := req.GetFromRevision()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		changed := f.nextChange()
		event := f.source.Since(sent)
		if event.GetRevision() > sent || first {
			if err := f.send(stream, event); err != nil {
				return err
			}
			sent = max(sent, event.GetRevision())
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			if err := f.send(stream, &peerpb.WatchEvent{Revision: sent, FromRevision: sent}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (f *Feed) send(stream grpc.ServerStreamingServer[peerpb.WatchEvent], event *peerpb.WatchEvent) error {
	withAge := &peerpb.WatchEvent{
		Revision: event.GetRevision(), FromRevision: event.GetFromRevision(), Full: event.GetFull(),
		Objects: event.GetObjects(), Deleted: event.GetDeleted(), KeeperAgeMs: f.source.KeeperAge().Milliseconds(),
	}
	return stream.Send(withAge)
}

func (f *Feed) nextChange() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}
