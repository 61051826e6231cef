package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/mechanism"
)

// reportLag is the mean age of an entry's own counts when its keeper sums them up: half of the
// report interval.
const reportLag = 100 * time.Millisecond

// maxEndedShare bounds the share of the reported requests that is assumed to have ended: when
// reports stop, as keepers are lost, full groups must not appear idle.
const maxEndedShare = 0.6

// candidate is a target with capacity for a request.
type candidate struct {
	state *targetState
	// score is lower for a better target, in shares of its slots.
	score float64
}

// pick chooses a target with free capacity at random; nil when there is none. If all entries
// took the best target by the same stale counts, they would overload it. So each chooses among
// the targets below the score to which the unreported requests would fill the best ones.
func (p *Placer) pick(now time.Time, w *Work) *targetState {
	if w.Isolated {
		return p.pickIsolated(now, w)
	}
	q := p.queueOf(*w)
	if p.mechanisms.Enabled(mechanism.Allowances) && !q.allowance.allows(q.inFlight) {
		return nil
	}
	var candidates []candidate
	q.blocked = q.blocked[:0]
	avoided := p.avoided(now, w.Service)
	activeShare := 1 - p.endedShare(now, q)
	for _, key := range p.targetKeys {
		s := p.targets[key]
		if load := s.load(activeShare); p.eligible(now, s, w) && load < float64(s.limit()) {
			if !p.withinLimit(now, s) {
				q.blocked = append(q.blocked, incarnationOf(&s.target))
				continue
			}
			c := candidate{s, p.score(now, s, load)}
			if s == avoided {
				c.score += avoidPenalty
			}
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	return p.pickWeighted(candidates, p.unreportedRequests(now, queueKey{service: w.Service, model: w.Model}, q))
}

// unreportedRequests estimates the requests that other entries of the failure domain sent to
// the targets of a queue since their loads were reported: as many as ended in that time.
func (p *Placer) unreportedRequests(now time.Time, key queueKey, q *requestQueue) float64 {
	loads := 0
	for _, s := range p.targets {
		if s.target.Service == key.service && s.target.Model == key.model && s.target.FailureDomain == p.failureDomain {
			loads += s.otherRequests
		}
	}
	return float64(loads) * p.endedShare(now, q)
}

// endedShare estimates the share of the reported requests that finished since the report.
func (p *Placer) endedShare(now time.Time, q *requestQueue) float64 {
	mean := q.meanServiceTime()
	if mean <= 0 {
		return 0
	}
	return min(maxEndedShare, float64(now.Sub(p.loadsAt)+reportLag)/float64(mean))
}

// pickWeighted chooses one of the candidates at random, weighted by slots; they are ordered by
// score.
func (p *Placer) pickWeighted(candidates []candidate, unreported float64) *targetState {
	if !p.mechanisms.Enabled(mechanism.RandomTarget) {
		return candidates[0].state
	}
	level := fillLevel(candidates, unreported)
	total := 0.0
	for _, c := range candidates {
		total += c.weight(level)
	}
	at := p.rand.Float64() * total
	for _, c := range candidates {
		if at -= c.weight(level); at < 0 {
			return c.state
		}
	}
	return candidates[0].state
}

// weight is a candidate's weight in the random choice: its slots if its score is at most the fill
// level, otherwise 0.
func (c *candidate) weight(level float64) float64 {
	if c.score > level {
		return 0
	}
	return float64(c.state.target.Slots)
}

// fillLevel is the score up to which a number of requests fills the best candidates.
func fillLevel(candidates []candidate, requests float64) float64 {
	level, slots := candidates[0].score, 0.0
	for i := range candidates {
		slots += float64(candidates[i].state.target.Slots)
		next := level + requests/slots
		if i+1 == len(candidates) || next <= candidates[i+1].score {
			return next
		}
		requests -= (candidates[i+1].score - level) * slots
		level = candidates[i+1].score
	}
	return level
}
