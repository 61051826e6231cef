package domain

import (
	"time"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// roster holds the announcements that a peer relays, by slot.
type roster struct {
	version uint64
	slots   map[int]api.Announcement
}

// observer records an announcement that an entry received age ago.
type observer func(a api.Announcement, age time.Duration)

// handleBatch processes a peer's batch. Full announcements are used even if the
// known roster has another version; heartbeats require the roster that they refer
// to.
func (r *relay) handleBatch(peer string, b *peerpb.Batch, now time.Time, observe observer) {
	known := r.rosters[peer]
	current := known != nil && known.version == b.GetBase()
	if b.GetComplete() {
		known = &roster{slots: map[int]api.Announcement{}}
		r.rosters[peer] = known
		current = true
	}
	for _, full := range b.GetFull() {
		a, age := decodeAnnouncement(full)
		if current {
			known.slots[int(full.GetSlot())] = a
		}
		r.recordRelayer(a.ID, peer, now.Add(-age))
		observe(a, age)
	}
	if !current {
		r.needResync[peer] = true
		return
	}
	if b.GetRoster() != 0 {
		known.version = b.GetRoster()
	}
	known.applyLoads(b.GetLoads())
	r.handleHeartbeats(peer, known, b.GetBeats(), now, observe)
}

func (r *relay) recordRelayer(id, peer string, at time.Time) {
	previous, ok := r.relayers[id]
	if !ok || previous.peer >= peer || at.Sub(previous.at) >= relayerTimeout {
		r.relayers[id] = relayer{peer: peer, at: at}
	}
}

func (r *relay) handleHeartbeats(peer string, known *roster, heartbeats []byte, now time.Time, observe observer) {
	for slot := 0; (slot+1)*heartbeatBytes <= len(heartbeats); slot++ {
		age, lowByte := heartbeats[slot*heartbeatBytes], heartbeats[slot*heartbeatBytes+1]
		a, ok := known.slots[slot]
		if !ok {
			continue
		}
		a.Sequence = expandSequence(a.Sequence, lowByte)
		known.slots[slot] = a
		if age == noAge {
			continue
		}
		elapsed := time.Duration(age) * ageUnit
		r.recordRelayer(a.ID, peer, now.Add(-elapsed))
		observe(a, elapsed)
	}
}

// expandSequence returns the sequence number closest to last that has the given low
// byte. If that is lower, the heartbeat was overtaken by a later one, and
// expandSequence returns last.
func expandSequence(last uint64, lowByte byte) uint64 {
	ahead := int8(lowByte - byte(last))
	return last + uint64(max(ahead, 0))
}

// delayWindow is the minimum time for which the lowest delay of a link is kept.
const delayWindow = 30 * time.Second

// delayEstimate estimates by how much a peer's packets are delayed beyond the
// minimum. It uses only differences between the two clocks, which need not be
// synchronised.
type delayEstimate struct {
	minOffset int64
	previous  int64
	windowEnd time.Time
}

// excessDelay returns by how much a packet's delay exceeds the lowest recent
// delay from the same peer. It includes the time for which a packet was queued
// while this process was paused.
func (r *relay) excessDelay(now time.Time, p *peerpb.DomainPacket) time.Duration {
	offset := now.UnixMilli() - p.GetSentMs()
	e := r.delays[p.GetFrom()]
	if e == nil {
		e = &delayEstimate{minOffset: offset, previous: offset, windowEnd: now.Add(delayWindow)}
		r.delays[p.GetFrom()] = e
	}
	if !now.Before(e.windowEnd) {
		e.previous, e.minOffset, e.windowEnd = e.minOffset, offset, now.Add(delayWindow)
	}
	e.minOffset = min(e.minOffset, offset)
	return time.Duration(offset-min(e.minOffset, e.previous)) * time.Millisecond
}
