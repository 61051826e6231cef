package domain

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// percentScale scales the used fraction of a KV cache to the integer that is
// relayed.
const percentScale = 100

func encodeAnnouncement(now time.Time, u *localUpstream) *peerpb.Announcement {
	a := u.announcement
	return &peerpb.Announcement{
		Slot: uint32(u.slot), AgeMs: uint32(max(now.Sub(u.at).Milliseconds(), 0)), Id: a.ID, Address: a.Address,
		FabricDomain: a.FabricDomain, Kind: string(a.Kind), Service: a.Service, Labels: a.Labels,
		Accelerators: uint32(a.Accelerators), Running: uint32(a.Load.Running), Waiting: uint32(a.Load.Waiting),
		Slots: uint32(a.Load.Slots), KvPercent: uint32(a.Load.KVUsed * percentScale), Incarnation: a.Incarnation,
		Sequence: a.Sequence, Group: a.Group, Generation: a.Generation, Rank: uint32(a.Rank), Size: uint32(a.Size),
		Fence: a.Fence, Leaving: a.Leaving, HonoursFencing: a.HonoursFencing, Prepared: a.Prepared,
	}
}

// decodeAnnouncement returns an announcement and its age. The failure domain is
// left empty: it is that of the receiver.
func decodeAnnouncement(p *peerpb.Announcement) (a api.Announcement, age time.Duration) {
	a = api.Announcement{
		ID: p.GetId(), Address: p.GetAddress(), FabricDomain: p.GetFabricDomain(), Kind: api.UpstreamKind(p.GetKind()),
		Service: p.GetService(), Labels: p.GetLabels(), Accelerators: int(p.GetAccelerators()),
		Load: api.Load{
			Running: int(p.GetRunning()), Waiting: int(p.GetWaiting()), Slots: int(p.GetSlots()),
			KVUsed: float64(p.GetKvPercent()) / percentScale,
		},
		Incarnation: p.GetIncarnation(), Sequence: p.GetSequence(), Group: p.GetGroup(), Generation: p.GetGeneration(),
		Rank: int(p.GetRank()), Size: int(p.GetSize()), Fence: p.GetFence(), Leaving: p.GetLeaving(),
		HonoursFencing: p.GetHonoursFencing(), Prepared: p.GetPrepared(),
	}
	return a, time.Duration(p.GetAgeMs()) * time.Millisecond
}

// encodeLoads encodes the loads that changed since they were last sent, as
// uvarints: slot, running, waiting and KV percentage of each.
func (r *relay) encodeLoads(now time.Time) []byte {
	var out []byte
	for slot, id := range r.slots {
		u := r.local[id]
		if !u.sent || !r.isResponsible(now, id) || !loadChanged(u.load, u.announcement.Load) {
			continue
		}
		u.load = u.announcement.Load
		for _, v := range []int{slot, u.load.Running, u.load.Waiting, int(u.load.KVUsed * percentScale)} {
			out = binary.AppendUvarint(out, uint64(v))
		}
	}
	return out
}

const (
	// loadSteps is the number of steps into which an upstream's slots are divided: a
	// load is sent when the number of its requests changes by one step.
	loadSteps = 8
	// kvStep is the change in the used fraction of a KV cache that is sent.
	kvStep = 0.1
)

// loadChanged reports whether a load changed enough to be sent: by a step, or
// between idle and busy.
func loadChanged(sent, now api.Load) bool {
	before, after := sent.Running+sent.Waiting, now.Running+now.Waiting
	step := max(before-after, after-before)
	return (before == 0) != (after == 0) || step*loadSteps >= max(now.Slots, 1) && step > 0 || math.Abs(sent.KVUsed-now.KVUsed) >= kvStep
}

// applyLoads applies the loads of a batch and ignores a truncated remainder.
func (r *roster) applyLoads(data []byte) {
	for len(data) > 0 {
		var fields [4]int
		for i := range fields {
			v, n := binary.Uvarint(data)
			if n <= 0 {
				return
			}
			fields[i], data = int(v), data[n:]
		}
		a, ok := r.slots[fields[0]]
		if !ok {
			continue
		}
		a.Load.Running, a.Load.Waiting, a.Load.KVUsed = fields[1], fields[2], float64(fields[3])/percentScale
		r.slots[fields[0]] = a
	}
}
