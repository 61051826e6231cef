package domain

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/coordinator"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// heartbeatInterval is the time between two heartbeats, which relay unchanged
	// announcements.
	heartbeatInterval = 500 * time.Millisecond
	// slotRetention is how long an upstream keeps its slot after its last
	// announcement to this node.
	slotRetention = 10 * time.Second
	// relayerTimeout is how long this node does not relay an upstream after an entry
	// that precedes it by name relayed it.
	relayerTimeout = 1200 * time.Millisecond
	// ageUnit is the unit of the ages in a heartbeat.
	ageUnit = 10 * time.Millisecond
	// rosterChangeBits is the number of low bits of a roster's version that count
	// changes. The bits above hold the part of the incarnation selected by
	// rosterIncarnationMask, which distinguishes the rosters of two incarnations.
	rosterChangeBits      = 12
	rosterIncarnationMask = 1<<16 - 1
	// maxSequenceGap is the largest increase of a sequence number that the low byte in
	// a heartbeat can represent.
	maxSequenceGap = 64
	// noAge marks a slot without an announcement to relay.
	noAge = 255
	// heartbeatBytes is the length of one slot in a heartbeat.
	heartbeatBytes = 2
)

// localUpstream is the state of an upstream that announces directly to this node.
type localUpstream struct {
	announcement api.Announcement
	at           time.Time
	slot         int
	// sent is false until the current state has been sent in full.
	sent bool
	load api.Load
}

// relayer is the peer responsible for relaying an upstream, and the time of its
// last relay.
type relayer struct {
	peer string
	at   time.Time
}

// relay forwards announcements to the other entries of the failure domain. The
// entry that receives an upstream's announcements sends one in full if anything
// other than load and sequence number changed; otherwise two bytes in each
// heartbeat confirm that the upstream is current. If several entries receive an
// upstream's announcements, only the first by name relays them.
type relay struct {
	self          string
	peers         []string
	local         map[string]*localUpstream
	slots         []string
	roster        uint64
	lastHeartbeat time.Time
	// needComplete holds the peers that need every slot in full; needResync holds the
	// peers from which this node must request every slot in full.
	needComplete map[string]bool
	needResync   map[string]bool
	rosters      map[string]*roster
	relayers     map[string]relayer
	delays       map[string]*delayEstimate
}

func newRelay(opts CoreOptions) *relay {
	peers := lo.FilterMap(opts.Nodes, func(p coordinator.Node, _ int) (string, bool) {
		return p.Node, p.FailureDomain == opts.FailureDomain && p.Node != opts.Node
	})
	slices.Sort(peers)
	return &relay{
		self: opts.Node, peers: peers, local: map[string]*localUpstream{}, roster: opts.Incarnation & rosterIncarnationMask << rosterChangeBits,
		needComplete: map[string]bool{}, needResync: map[string]bool{}, rosters: map[string]*roster{},
		relayers: map[string]relayer{}, delays: map[string]*delayEstimate{},
	}
}

// requireComplete makes the next batch to a peer complete.
func (r *relay) requireComplete(peer string) {
	if slices.Contains(r.peers, peer) {
		r.needComplete[peer] = true
	}
}

// handleAnnouncement records an announcement that an upstream made to this node.
func (r *relay) handleAnnouncement(at time.Time, a api.Announcement) {
	u := r.local[a.ID]
	if u == nil {
		u = &localUpstream{slot: len(r.slots)}
		r.local[a.ID] = u
		r.slots = append(r.slots, a.ID)
	}
	if !membership.Newer(a, u.announcement) {
		return
	}
	// An increase that the low byte in a heartbeat cannot represent is sent in full.
	skipped := a.Sequence-u.announcement.Sequence > maxSequenceGap
	u.sent = u.sent && !skipped && sameState(u.announcement, a)
	u.announcement, u.at = a, at
}

// sameState reports whether two announcements differ only in what a heartbeat can
// carry.
func sameState(a, b api.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Group == b.Group && a.Generation == b.Generation &&
		a.Rank == b.Rank && a.Size == b.Size && a.Fence == b.Fence && a.Leaving == b.Leaving &&
		a.Prepared == b.Prepared && a.Address == b.Address && a.Service == b.Service &&
		a.Load.Slots == b.Load.Slots && maps.Equal(a.Labels, b.Labels)
}

// isResponsible reports whether this node is responsible for relaying an upstream.
func (r *relay) isResponsible(now time.Time, id string) bool {
	by, ok := r.relayers[id]
	return !ok || by.peer > r.self || now.Sub(by.at) >= relayerTimeout
}

// sender sends a packet to a node.
type sender func(now time.Time, to string, p *peerpb.DomainPacket)

// flush sends what changed, and a heartbeat if one is due.
func (r *relay) flush(now time.Time, send sender) {
	heartbeatDue := now.Sub(r.lastHeartbeat) >= heartbeatInterval
	if heartbeatDue {
		r.lastHeartbeat = now
		r.compactSlots(now)
	}
	batch := r.batch(now, heartbeatDue)
	for _, peer := range r.peers {
		packet := &peerpb.DomainPacket{Batch: batch, Resync: r.needResync[peer]}
		if r.needComplete[peer] {
			packet.Batch = r.completeBatch(now)
		}
		delete(r.needComplete, peer)
		delete(r.needResync, peer)
		if packet.Batch != nil || packet.Resync {
			send(now, peer, packet)
		}
	}
}

// batch returns the batch for all peers, or nil if there is nothing to send.
func (r *relay) batch(now time.Time, heartbeatDue bool) *peerpb.Batch {
	b := &peerpb.Batch{Base: r.roster}
	for _, id := range r.slots {
		u := r.local[id]
		if u.sent || !r.isResponsible(now, id) || now.Sub(u.at) >= heartbeatInterval*2 {
			continue
		}
		u.sent, u.load = true, u.announcement.Load
		b.Full = append(b.Full, encodeAnnouncement(now, u))
	}
	if len(b.Full) > 0 {
		r.roster++
		b.Roster = r.roster
	}
	if heartbeatDue {
		b.Beats, b.Loads = r.encodeHeartbeats(now), r.encodeLoads(now)
	}
	if !heartbeatDue && len(b.Full) == 0 {
		return nil
	}
	return b
}

func (r *relay) encodeHeartbeats(now time.Time) []byte {
	encoded := make([]byte, 0, heartbeatBytes*len(r.slots))
	for _, id := range r.slots {
		u := r.local[id]
		age := byte(noAge)
		if units := now.Sub(u.at) / ageUnit; u.sent && r.isResponsible(now, id) && units < noAge {
			age = byte(units)
		}
		encoded = append(encoded, age, byte(u.announcement.Sequence))
	}
	return encoded
}

// completeBatch returns a batch with every slot in full.
func (r *relay) completeBatch(now time.Time) *peerpb.Batch {
	b := &peerpb.Batch{Roster: r.roster, Complete: true}
	for _, id := range r.slots {
		b.Full = append(b.Full, encodeAnnouncement(now, r.local[id]))
	}
	return b
}

// compactSlots reassigns the slots if an upstream has stopped announcing to this
// node.
func (r *relay) compactSlots(now time.Time) {
	expired := lo.Filter(r.slots, func(id string, _ int) bool { return now.Sub(r.local[id].at) >= slotRetention })
	if len(expired) == 0 {
		return
	}
	for _, id := range expired {
		delete(r.local, id)
		delete(r.relayers, id)
	}
	r.slots = lo.Without(r.slots, expired...)
	for slot, id := range r.slots {
		r.local[id].slot = slot
	}
	r.roster++
	for _, peer := range r.peers {
		r.needComplete[peer] = true
	}
}
