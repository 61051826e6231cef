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
	// evidence may be nil. A value in evidenceChanged means that it may have changed since it was
	// last encoded.
	evidence        CrashEvidence
	evidenceChanged chan struct{}
}

func newPeerLink(p Peer, evidence CrashEvidence, connected func()) *peerLink {
	l := &peerLink{
		client:          peerpb.NewDomainPeerClient(p.Conn),
		packets:         ring.New[*peerpb.DomainPacket](packetQueueSize, ring.DropOldest),
		connected:       connected,
		evidence:        evidence,
		evidenceChanged: make(chan struct{}, 1),
	}
	if evidence != nil {
		evidence.Subscribe(func() {
			select {
			case l.evidenceChanged <- struct{}{}:
			default:
			}
		})
	}
	return l
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
	// The peer may have restarted without its evidence.
	evidenceVersion, err := l.sendEvidence(stream, 0)
	if err != nil {
		return err
	}
	for {
		select {
		case <-l.evidenceChanged:
			if evidenceVersion, err = l.sendEvidence(stream, evidenceVersion); err != nil {
				return err
			}
		case p := <-l.packets.Chan():
			if err := stream.Send(p); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// sendEvidence sends the evidence that was added after a version, and returns the version now. It
// is kept out of the ring of packets, which drops the oldest.
func (l *peerLink) sendEvidence(stream grpc.ClientStreamingClient[peerpb.DomainPacket, peerpb.LinkClosed], after uint64) (version uint64, err error) {
	if l.evidence == nil {
		return after, nil
	}
	e, version := l.evidence.Encode(after)
	if e == nil {
		return version, nil
	}
	return version, stream.Send(&peerpb.DomainPacket{CrashEvidence: e})
}

// linkServer receives packets from peers.
type linkServer struct {
	peerpb.UnimplementedDomainPeerServer
	events *ring.Ring[Event]
	// evidence may be nil.
	evidence CrashEvidence
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
		if e := p.GetCrashEvidence(); e != nil {
			if s.evidence != nil {
				s.evidence.Merge(e)
			}
			continue
		}
		s.events.Push(PacketReceived{p})
	}
}
