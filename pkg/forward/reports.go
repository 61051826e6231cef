package forward

import (
	"maps"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/fleet"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/statement"
)

// stallReportPeriod is how long a stalled target is reported, so that each keeper gets at
// least one report of it.
const stallReportPeriod = 450 * time.Millisecond

// reports collects what is reported to the keepers.
type reports struct {
	stalled map[string]stallRecord
	demand  map[string]*peerpb.ModelDemand
}

type stallRecord struct {
	startTime uint64
	at        time.Time
}

func (r *reports) init() {
	r.stalled, r.demand = map[string]stallRecord{}, map[string]*peerpb.ModelDemand{}
}

// recordStall records that all streams of a group have stalled.
func (r *reports) recordStall(now time.Time, t *attach.Target) {
	if t.Group != "" {
		r.stalled[t.ID] = stallRecord{t.StartTime, now}
	}
}

// recordArrival counts a caller's request for a model.
func (r *reports) recordArrival(model string, work time.Duration) {
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

// maxAnswerAge is the largest age of an answer that is reported: two report intervals.
const maxAnswerAge = 400 * time.Millisecond

// takeEvidence returns the groups that have stalled, and on the primary link also those that
// answer: a group makes no progress without each of its members, so an answer shows that all
// are alive.
func (r *reports) takeEvidence(now time.Time, primary bool, p *Placer) []*peerpb.UpstreamEvidence {
	var evidence []*peerpb.UpstreamEvidence
	for _, id := range slices.Sorted(maps.Keys(r.stalled)) {
		s := r.stalled[id]
		if now.Sub(s.at) > stallReportPeriod {
			delete(r.stalled, id)
			continue
		}
		evidence = append(evidence, &peerpb.UpstreamEvidence{
			Upstream: id, BornMs: s.startTime, Kind: fleet.EvidenceStalled, AgeMs: uint32(now.Sub(s.at).Milliseconds()),
		})
	}
	if !primary {
		return evidence
	}
	for _, key := range slices.Sorted(maps.Keys(p.targets)) {
		s := p.targets[key]
		if age := now.Sub(s.answeredAt); s.target.Group != "" && age < maxAnswerAge {
			evidence = append(evidence, &peerpb.UpstreamEvidence{
				Upstream: s.target.ID, BornMs: s.target.StartTime, Kind: fleet.EvidenceAlive, AgeMs: uint32(age.Milliseconds()),
			})
		}
	}
	return evidence
}

// limitedWork returns the requests that wait for targets with stated limits, and one for each limit that no answer has
// confirmed for limitCheckAge.
func (p *Placer) limitedWork(now time.Time) []*peerpb.LimitedWork {
	var all []*peerpb.LimitedWork
	for _, key := range slices.SortedFunc(maps.Keys(p.queues), queueKey.compare) {
		q := p.queues[key]
		if n := len(q.waiting); n > 0 && len(q.blocked) > 0 {
			all = append(all, newLimitedWork(key.service, n, q.blocked))
		}
	}
	for _, key := range p.targetKeys {
		s := p.targets[key]
		if _, age, limited := p.limitOf(now, s); limited && age >= limitCheckAge && s.seenInView == p.viewNumber && p.grants.Count(now, incarnationOf(&s.target)) == 0 {
			all = append(all, newLimitedWork(s.target.Service, 1, []statement.Incarnation{incarnationOf(&s.target)}))
		}
	}
	return all
}

func newLimitedWork(service string, requests int, upstreams []statement.Incarnation) *peerpb.LimitedWork {
	w := &peerpb.LimitedWork{Service: service, Requests: uint32(requests)}
	for _, u := range upstreams {
		w.Upstreams = append(w.Upstreams, &peerpb.UpstreamIncarnation{Upstream: u.Upstream, BornMs: u.StartTime})
	}
	return w
}

// loads returns the number of this entry's requests at each target.
func (p *Placer) loads() []*peerpb.GroupLoad {
	loads := []*peerpb.GroupLoad{}
	for _, key := range slices.Sorted(maps.Keys(p.targets)) {
		if s := p.targets[key]; s.ownRequests > 0 {
			loads = append(loads, &peerpb.GroupLoad{Group: key, Outstanding: uint32(s.ownRequests)})
		}
	}
	return loads
}
