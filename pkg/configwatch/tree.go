package configwatch

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// relaysPerDomain is the number of nodes in each failure domain that watch the
// keepers directly and serve the other nodes of the domain.
const relaysPerDomain = 2

// tree is a node's position in the tree that distributes the configuration.
type tree struct {
	// sources are the nodes to watch, in order. The first preferredCount of them are
	// preferred: the node switches back to them after it had to watch another source.
	sources        []string
	preferredCount int
	// startPeers are the nodes queried at startup for the revision that this node must
	// reach before it is ready.
	startPeers []Peer
}

// planTree returns the position of a node: keepers and relays watch the keepers,
// nearest first; other nodes watch the relays of their failure domain, and the
// keepers if no relay is reachable.
func planTree(nodeID string, peers []Peer) tree {
	self, _ := lo.Find(peers, func(p Peer) bool { return p.ID == nodeID })
	domain := lo.Filter(peers, func(p Peer, _ int) bool { return p.FailureDomain == self.FailureDomain })
	keepers := lo.Filter(peers, func(p Peer, _ int) bool { return p.Keeper })
	keeperIDs := idsOf(sortByProximity(self, keepers))
	t := tree{startPeers: lo.UniqBy(append(lo.Filter(domain, func(p Peer, _ int) bool {
		return p.ID != nodeID || p.Keeper
	}), keepers...), func(p Peer) string { return p.ID })}
	relays := idsOf(domain[:min(relaysPerDomain, len(domain))])
	if self.Keeper || lo.Contains(relays, nodeID) {
		t.sources, t.preferredCount = keeperIDs, len(keeperIDs)
		return t
	}
	t.sources = lo.Uniq(append(rotate(nodeID, relays), keeperIDs...))
	t.preferredCount = len(relays)
	return t
}

func idsOf(peers []Peer) []string {
	return lo.Map(peers, func(p Peer, _ int) string { return p.ID })
}

// sortByProximity orders keepers: the node itself, then those of its failure domain,
// then the others.
func sortByProximity(self Peer, keepers []Peer) []Peer {
	itself, others := lo.FilterReject(keepers, func(p Peer, _ int) bool { return p.ID == self.ID })
	sameDomain, otherDomains := lo.FilterReject(others, func(p Peer, _ int) bool { return p.FailureDomain == self.FailureDomain })
	return append(append(itself, sameDomain...), otherDomains...)
}

// rotate rotates the relays by a hash of the node ID, so that the nodes of a failure
// domain are spread over its relays.
func rotate(nodeID string, relays []string) []string {
	if len(relays) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(nodeID) % uint64(len(relays)))
	return append(append([]string(nil), relays[first:]...), relays[:first]...)
}
