package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// attachEntries attaches entries one after the other, and returns the bytes of the tunnel peers that all updates due
// meanwhile carry: each entry attached so far gets one.
func attachEntries(t *testing.T, entries int) (tunnelBytes int) {
	t.Helper()
	c := newControl(t)
	var attached []*subscriber
	for i := range entries {
		s := &subscriber{nodeID: fmt.Sprint("edge-", i), wake: make(chan struct{}, 1)}
		c.handleReport(s, &peerpb.EntryReport{Primary: true, Tunnel: &peerpb.TunnelPeer{NodeId: s.nodeID, Address: "10.0.0.1:7380", Key: make([]byte, 32), Reachable: true}})
		attached = append(attached, s)
		for _, s := range attached {
			tunnelBytes += proto.Size(c.nextUpdate(s, s.sentVersion == 0).GetTunnels())
		}
	}
	return tunnelBytes
}

// Guards against a list of all entries that is sent to all entries again with each one that attaches, after a restart of all.
func TestEntriesThatAttachTogetherAreNotListedAgainForEach(t *testing.T) {
	few, many := attachEntries(t, 16), attachEntries(t, 64)
	t.Logf("%d bytes for 16 entries, %d for 64", few, many)
	// A list names each entry, so that one for each entry grows with the square of their number.
	assert.LessOrEqual(t, many, 4*4*few*3/2)
	assert.LessOrEqual(t, many, 64*64*96, "a list for each entry")
}

// countingStream counts the updates sent to an entry.
type countingStream struct {
	grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate]
	ctx  context.Context
	sent atomic.Int64
}

func (s *countingStream) Context() context.Context { return s.ctx }

func (s *countingStream) Send(*peerpb.FleetUpdate) error {
	s.sent.Add(1)
	return nil
}

// Guards against updates that grow with the rate of changes: hundreds of upstreams change within seconds after a restart, and a
// keeper compresses an update for each primary link.
func TestUpdatesOfPrimaryLinkAreBoundedWhileUpstreamsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newControl(t)
		ctx, stop := context.WithCancel(t.Context())
		stream := &countingStream{ctx: ctx}
		s := &subscriber{nodeID: "edge", wake: make(chan struct{}, 1), stream: stream}
		s.primary.Store(true)
		go func() { _ = c.sendUpdates(s, nil) }()
		for i := range 200 {
			<-time.After(5 * time.Millisecond)
			u := announcement(uint64(i + 1))
			u.Slots = i + 1
			c.record(u)
		}
		t.Logf("%d updates in a second", stream.sent.Load())
		assert.LessOrEqual(t, stream.sent.Load(), int64(21))
		stop()
		<-time.After(time.Second)
	})
}
