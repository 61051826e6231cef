package domain

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/ring"
)

const (
	// packetQueueSize limits the packets queued for one peer. When the queue is full
	// the oldest packet is dropped, and the peer requests a resync.
	packetQueueSize = 64
	// reconnectInterval is the delay between two attempts to open a stream.
	reconnectInterval = 200 * time.Millisecond
)

// peerLink sends packets to one peer.
type peerLink struct {
	client    peerpb.DomainPeerClient
	packets   *ring.Ring[*peerpb.DomainPacket]
	connected func()
}

func newPeerLink(p Peer, connected func()) *peerLink {
	return &peerLink{
		client:    peerpb.NewDomainPeerClient(p.Conn),
		packets:   ring.New[*peerpb.DomainPacket](packetQueueSize, ring.DropOldest),
		connected: connected,
	}
}

func (l *peerLink) enqueue(p *peerpb.DomainPacket) {
	if l != nil {
		l.packets.Push(p)
	}
}

func (l *peerLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = l.sendPackets(ctx)
		select {
		case <-time.After(reconnectInterval):
		case <-ctx.Done():
		}
	}
}

// sendPackets sends packets over one stream until it breaks.
func (l *peerLink) sendPackets(ctx context.Context) error {
	stream, err := l.client.Link(ctx, grpc.WaitForReady(true))
	if err != nil {
		return err
	}
	l.connected()
	for {
		select {
		case p := <-l.packets.Chan():
			if err := stream.Send(p); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// linkServer receives packets from peers.
type linkServer struct {
	peerpb.UnimplementedDomainPeerServer
	events *ring.Ring[Event]
}

// Link implements the DomainPeer service.
func (s *linkServer) Link(stream grpc.ClientStreamingServer[peerpb.DomainPacket, peerpb.LinkClosed]) error {
	for {
		p, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.LinkClosed{})
		}
		if err != nil {
			return err
		}
		s.events.Push(PacketReceived{p})
	}
}
