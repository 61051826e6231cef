package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
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
