package keeper

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
	"github.com/masticmount/masticmount/pkg/ring"
)

const (
	// sendRingSize limits the messages queued for a peer. When it is full, the oldest
	// is dropped; the protocol retransmits lost messages.
	sendRingSize = 1024
	// maxBatchBytes limits the messages sent in one batch.
	maxBatchBytes      = 1 << 20
	snapshotChunkBytes = 1 << 20
	// maxSnapshotBytes limits the size of a received snapshot.
	maxSnapshotBytes = 1 << 30
	// reconnectInterval is the delay after a failed connection.
	reconnectInterval = 200 * time.Millisecond
	// snapshotTimeout limits the transfer of one snapshot.
	snapshotTimeout = time.Minute
)

var errSnapshotTooLarge = errors.New("the snapshot exceeds the maximum size")

// transport sends messages to the other keepers.
type transport struct {
	ctx     context.Context
	keeper  *Keeper
	senders sync.WaitGroup
	mu      sync.Mutex
	// addresses by identity, from the membership and from peers' messages.
	addresses map[uint64]string
	links     map[uint64]*link
}

// link queues the messages to one keeper.
type link struct {
	messages   *ring.Ring[*peerpb.LogMessage]
	installing sync.Mutex
	// checking is held while the connection is checked.
	checking sync.Mutex
	// renewed receives a value once the connection was replaced.
	renewed chan struct{}
}

func newTransport(ctx context.Context, k *Keeper) *transport {
	return &transport{ctx: ctx, keeper: k, addresses: map[uint64]string{}, links: map[uint64]*link{}}
}

// setMembership records the addresses of a membership.
func (t *transport) setMembership(membership *peerpb.Membership) {
	for _, m := range membership.GetMembers() {
		t.setAddress(m.GetIdentity(), m.GetAddress())
	}
}

func (t *transport) setAddress(identity uint64, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address != "" {
		t.addresses[identity] = address
	}
}

func (t *transport) address(identity uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addresses[identity]
}

// send queues messages; those to an identity without a known address are dropped.
func (t *transport) send(messages []*peerpb.LogMessage) {
	for _, m := range messages {
		if l := t.link(m.GetTo()); l != nil {
			l.messages.Push(m)
		}
	}
}

// link returns the link to an identity. The first call starts its sender.
func (t *transport) link(identity uint64) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[identity]; l != nil || t.addresses[identity] == "" {
		return l
	}
	l := &link{messages: ring.New[*peerpb.LogMessage](sendRingSize, ring.DropOldest), renewed: make(chan struct{}, 1)}
	t.links[identity] = l
	t.senders.Go(func() { t.runSender(identity, l) })
	return l
}

// start runs fn in the background unless the keeper has stopped.
func (t *transport) start(fn func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() == nil {
		t.senders.Go(fn)
	}
}

// wait waits for the background work after the keeper has stopped.
func (t *transport) wait() {
	t.awaitStarts()
	t.senders.Wait()
}

// awaitStarts waits for the calls of start that saw a running keeper.
func (t *transport) awaitStarts() {
	t.mu.Lock()
	defer t.mu.Unlock()
}

// runSender sends the queued messages to one keeper over a stream, which it reopens
// after a failure.
func (t *transport) runSender(identity uint64, l *link) {
	var stream peerpb.RegionLog_DeliverClient
	for {
		message, ok := l.messages.Pop(t.ctx)
		if !ok {
			return
		}
		if message.GetKind() == peerpb.MessageKind_MESSAGE_KIND_SNAPSHOT {
			t.senders.Go(func() { t.sendSnapshot(l, message) })
			continue
		}
		var err error
		if stream == nil {
			stream, err = t.open(identity)
		}
		if err == nil {
			err = stream.Send(t.collectBatch(l, message))
		}
		if err != nil {
			stream = nil
			t.awaitReconnect(identity, l)
		}
	}
}

func (t *transport) open(identity uint64) (peerpb.RegionLog_DeliverClient, error) {
	conn, err := t.keeper.opts.Dialer.Dial(t.address(identity))
	if err != nil {
		return nil, err
	}
	return peerpb.NewRegionLogClient(conn).Deliver(t.ctx)
}

// awaitReconnect waits after a failure, unless the connection was replaced, and then resets
// the connect backoff, so that the connection is retried immediately.
func (t *transport) awaitReconnect(identity uint64, l *link) {
	timer := time.NewTimer(reconnectInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.renewed:
	case <-t.ctx.Done():
		return
	}
	if conn, err := t.keeper.opts.Dialer.Dial(t.address(identity)); err == nil {
		conn.ResetConnectBackoff()
	}
}

// collectBatch returns a batch of the message and those queued behind it. A snapshot
// ends the batch and is sent separately.
func (t *transport) collectBatch(l *link, first *peerpb.LogMessage) *peerpb.MessageBatch {
	b := &peerpb.MessageBatch{From: t.keeper.store.Identity(), Address: t.keeper.opts.Address}
	for message, size := first, 0; ; {
		if message.GetKind() == peerpb.MessageKind_MESSAGE_KIND_SNAPSHOT {
			t.senders.Go(func() { t.sendSnapshot(l, message) })
			return b
		}
		b.Messages = append(b.Messages, message)
		size += proto.Size(message)
		if size >= maxBatchBytes || l.messages.Len() == 0 {
			return b
		}
		message, _ = l.messages.Pop(t.ctx)
		if message == nil {
			return b
		}
	}
}

// sendSnapshot sends the latest snapshot separately, so that it does not delay other
// messages. Only one snapshot at a time is sent to a keeper.
func (t *transport) sendSnapshot(l *link, message *peerpb.LogMessage) {
	if !l.installing.TryLock() {
		return
	}
	defer l.installing.Unlock()
	if err := t.streamSnapshot(message); err != nil {
		t.keeper.opts.Log.Warn().Err(err).Uint64("to", message.GetTo()).Msg("snapshot_not_sent")
		t.keeper.events.Push(snapshotFailedEvent{message.GetTo()})
	}
}

func (t *transport) streamSnapshot(message *peerpb.LogMessage) error {
	snapshot, err := t.keeper.store.Snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(t.ctx, snapshotTimeout)
	defer cancel()
	conn, err := t.keeper.opts.Dialer.Dial(t.address(message.GetTo()))
	if err != nil {
		return err
	}
	stream, err := peerpb.NewRegionLogClient(conn).InstallSnapshot(ctx)
	if err != nil {
		return err
	}
	data := snapshot.GetData()
	snapshot.Data = nil
	head := &peerpb.LogMessage{
		Kind: message.GetKind(), From: message.GetFrom(), To: message.GetTo(), Term: message.GetTerm(), Snapshot: snapshot,
	}
	chunk := &peerpb.SnapshotChunk{Message: head}
	for {
		n := min(len(data), snapshotChunkBytes)
		chunk.Data = data[:n]
		if err := stream.Send(chunk); err != nil {
			break
		}
		data = data[n:]
		if len(data) == 0 {
			break
		}
		chunk = &peerpb.SnapshotChunk{}
	}
	_, err = stream.CloseAndRecv()
	return err
}

// Deliver receives messages from another keeper. Messages that do not fit into the
// log loop's queue are dropped, as if lost on the network.
func (k *Keeper) Deliver(stream grpc.ClientStreamingServer[peerpb.MessageBatch, peerpb.Delivered]) error {
	for {
		b, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.Delivered{})
		}
		if err != nil {
			return err
		}
		if _, ok := regionlog.FindMember(k.Status().Membership, b.GetFrom()); !ok {
			k.transport.setAddress(b.GetFrom(), b.GetAddress())
		}
		for _, m := range b.GetMessages() {
			k.events.Push(messageEvent{m})
		}
	}
}

// InstallSnapshot receives one snapshot.
func (k *Keeper) InstallSnapshot(stream grpc.ClientStreamingServer[peerpb.SnapshotChunk, peerpb.Delivered]) error {
	var message *peerpb.LogMessage
	var data []byte
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if chunk.GetMessage() != nil {
			message = chunk.GetMessage()
		}
		if data = append(data, chunk.GetData()...); len(data) > maxSnapshotBytes {
			return errSnapshotTooLarge
		}
	}
	if message.GetSnapshot() == nil {
		return io.ErrUnexpectedEOF
	}
	message.Snapshot.Data = data
	if !k.events.Push(messageEvent{message}) {
		return statusOf(overloaded())
	}
	return stream.SendAndClose(&peerpb.Delivered{})
}
