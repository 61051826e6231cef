package control

import (
	"maps"
	"slices"

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

// set stores what an entry reported of itself. It returns true if other entries are to learn of it.
func (t *tunnelPeers) set(s *subscriber, peer *peerpb.TunnelPeer) bool {
	if peer == nil {
		return false
	}
	if t.byNode == nil {
		t.byNode = map[string]attachedPeer{}
	}
	held, known := t.byNode[s.nodeID]
	t.byNode[s.nodeID] = attachedPeer{s, peer}
	if known && proto.Equal(held.peer, peer) {
		return false
	}
	t.version++
	return true
}

// remove removes the entry of a stream that has ended.
func (t *tunnelPeers) remove(s *subscriber) bool {
	if held, known := t.byNode[s.nodeID]; !known || held.subscriber != s {
		return false
	}
	delete(t.byNode, s.nodeID)
	t.version++
	return true
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
