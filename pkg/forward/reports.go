package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// stallMemory is how long a stalled target is reported: to each keeper at least once.
const stallMemory = 450 * time.Millisecond

// reports gathers what keepers are told.
type reports struct {
	stalled map[string]stalled
	demand  map[string]*peerpb.ModelDemand
}

type stalled struct {
	born uint64
	at   time.Time
}

func (r *reports) init() {
	r.stalled, r.demand = map[string]stalled{}, map[string]*peerpb.ModelDemand{}
}

// stall notes that all streams of a group fell silent.
func (r *reports) stall(now time.Time, t *attach.Target) {
	if t.Group != "" {
		r.stalled[t.ID] = stalled{t.Born, now}
	}
}

// arrived notes a caller's request for a model.
func (r *reports) arrived(model string, work time.Duration) {
	d := r.demand[model]
	if d == nil {
		d = &peerpb.ModelDemand{Model: model}
		r.demand[model] = d
	}
	d.Arrivals++
	d.WorkUs += uint64(work.Microseconds())
}

func (r *reports) takeDemand() []*peerpb.ModelDemand {
	demand := make([]*peerpb.ModelDemand, 0, len(r.demand))
	for _, model := range slices.Sorted(maps.Keys(r.demand)) {
		demand = append(demand, r.demand[model])
	}
	clear(r.demand)
	return demand
}

// progressMemory is how old an answer may be to be reported: a report's interval twice.
const progressMemory = 400 * time.Millisecond

// takeEvidence returns the groups that fell silent, and on the primary link those that
// answer: nothing of a group moves without one of its members.
func (r *reports) takeEvidence(now time.Time, primary bool, p *Placer) []*peerpb.UpstreamEvidence {
	var evidence []*peerpb.UpstreamEvidence
	for _, id := range slices.Sorted(maps.Keys(r.stalled)) {
		s := r.stalled[id]
		if now.Sub(s.at) > stallMemory {
			delete(r.stalled, id)
			continue
		}
		evidence = append(evidence, &peerpb.UpstreamEvidence{
			Upstream: id, BornMs: s.born, Kind: fleet.EvidenceStalled, AgeMs: uint32(now.Sub(s.at).Milliseconds()),
		})
	}
	if !primary {
		return evidence
	}
	for _, key := range slices.Sorted(maps.Keys(p.slots)) {
		s := p.slots[key]
		if age := now.Sub(s.answeredAt); s.target.Group != "" && age < progressMemory {
			evidence = append(evidence, &peerpb.UpstreamEvidence{
				Upstream: s.target.ID, BornMs: s.target.Born, Kind: fleet.EvidenceAlive, AgeMs: uint32(age.Milliseconds()),
			})
		}
	}
	return evidence
}

// loads returns this entry's requests at each target.
func (p *Placer) loads() []*peerpb.GroupLoad {
	loads := []*peerpb.GroupLoad{}
	for _, key := range slices.Sorted(maps.Keys(p.slots)) {
		if s := p.slots[key]; s.own > 0 {
			loads = append(loads, &peerpb.GroupLoad{Group: key, Outstanding: uint32(s.own)})
		}
	}
	return loads
}
