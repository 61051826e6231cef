package control

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// tunnelPeers are the attached entries that open connections to upstreams for others.
type tunnelPeers struct {
	byNode map[string]attachedPeer
	// version rises with each change.
	version uint64
}

// attachedPeer is the peer of one stream: an entry may attach again before its old stream has ended.
type attachedPeer struct {
	subscriber *subscriber
	peer       *peerpb.TunnelPeer
}

// set stores what an entry reported of itself.
func (t *tunnelPeers) set(s *subscriber, peer *peerpb.TunnelPeer) {
	if peer == nil {
		return
	}
	if t.byNode == nil {
		t.byNode = map[string]attachedPeer{}
	}
	held, known := t.byNode[s.nodeID]
	t.byNode[s.nodeID] = attachedPeer{s, peer}
	if !known || !proto.Equal(held.peer, peer) {
		t.version++
	}
}

// remove removes the entry of a stream that has ended.
func (t *tunnelPeers) remove(s *subscriber) {
	if held, known := t.byNode[s.nodeID]; known && held.subscriber == s {
		delete(t.byNode, s.nodeID)
		t.version++
	}
}

// due returns the peers for the next update over a link, or nil if they have not changed or the last list is too recent.
func (t *tunnelPeers) due(s *subscriber, now time.Time) *peerpb.TunnelPeers {
	if s.sentTunnels == t.version || now.Sub(s.tunnelsAt) < tunnelInterval {
		return nil
	}
	s.sentTunnels, s.tunnelsAt = t.version, now
	return t.except(s.nodeID)
}

// except returns all peers but one.
func (t *tunnelPeers) except(node string) *peerpb.TunnelPeers {
	peers := &peerpb.TunnelPeers{}
	for _, id := range slices.Sorted(maps.Keys(t.byNode)) {
		if id != node {
			peers.Peers = append(peers.Peers, t.byNode[id].peer)
		}
	}
	return peers
}
