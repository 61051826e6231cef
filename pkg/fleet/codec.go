package fleet

import (
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// Encode returns the wire record of an upstream.
func Encode(u *Upstream, now time.Time) *peerpb.UpstreamRecord {
	r := &peerpb.UpstreamRecord{
		Id: u.ID, BornMs: u.StartTime, Sequence: u.Sequence, Service: u.Service, Address: u.Address,
		FailureDomain: u.FailureDomain, FabricDomain: u.FabricDomain, Slots: uint32(u.Slots),
		Draining: u.Draining, Gone: u.Deregistered, Silent: u.Silent, Staged: u.Staged, Models: u.Models,
		AgeMs: uint32(max(now.Sub(u.AnnouncedAt).Milliseconds(), 0)),
	}
	if u.Group.Group != "" {
		r.Group = &peerpb.GroupMembership{
			Name: u.Group.Group, Epoch: u.Group.Epoch, Rank: uint32(u.Group.Rank), State: string(u.Group.State),
		}
	}
	return r
}

// Decode returns the upstream of a wire record that arrived at now.
func Decode(r *peerpb.UpstreamRecord, now time.Time) Upstream {
	g := r.GetGroup()
	return Upstream{
		ID: r.GetId(), StartTime: r.GetBornMs(), Sequence: r.GetSequence(), Service: r.GetService(), Address: r.GetAddress(),
		FailureDomain: r.GetFailureDomain(), FabricDomain: r.GetFabricDomain(), Slots: int(r.GetSlots()),
		Draining: r.GetDraining(), Deregistered: r.GetGone(), Silent: r.GetSilent(), Staged: r.GetStaged(), Models: r.GetModels(),
		Group:       Membership{Group: g.GetName(), Epoch: g.GetEpoch(), Rank: int(g.GetRank()), State: GroupState(g.GetState())},
		AnnouncedAt: now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
	}
}
