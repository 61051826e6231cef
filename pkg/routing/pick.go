package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// prefixBonus is the score bonus of a cached prefix, in units of load.
	prefixBonus = 0.5
	// cachedLoadFactor and cachedLoadSlack bound the load of a prefix's rendezvous
	// group relative to the mean; above the bound its requests go to other groups.
	cachedLoadFactor = 1.25
	cachedLoadSlack  = 0.125
	// MinFreeSlots is the number of free slots required to admit a request; it is below
	// 1 because the estimate of the other entries' requests may be off by a fraction.
	MinFreeSlots = 0.75
	// slowMemberPenalty is the score penalty of a group with a slow member, in units
	// of load.
	slowMemberPenalty = 1.0
	// spillMargin is the fraction of a group's slots that is kept free of spilled work.
	spillMargin = 0.25
)

// PickRequest is a request for a placement on a group.
type PickRequest struct {
	Route   *state.Route
	Request *Request
	// Prefix is the result of PrefixOf for the prompt.
	Prefix uint64
	// Long marks requests that are expected to occupy a slot for long.
	Long bool
}

// Filter selects the groups that may take a request now. Keep filters the slice in place.
type Filter interface {
	Keep(now time.Time, req *PickRequest, targets []*Target) []*Target
}

// Score rates a group for a request; lower is better.
type Score interface {
	Score(target *Target, req *PickRequest) float64
}

// notExcluded drops the groups that have already failed the request, and all but its only one.
type notExcluded struct{}

func (notExcluded) Keep(_ time.Time, req *PickRequest, targets []*Target) []*Target {
	if !req.Request.Restricted() {
		return targets
	}
	return filterInPlace(targets, func(target *Target) bool { return req.Request.allows(target.Group.Name) })
}

// circuitClosed drops the groups whose circuit breaker admits no request.
type circuitClosed struct {
	table          *Table
	ignoreCircuits bool
}

func (f circuitClosed) Keep(now time.Time, _ *PickRequest, targets []*Target) []*Target {
	if f.ignoreCircuits || f.table.openCircuits == 0 {
		return targets
	}
	return filterInPlace(targets, func(target *Target) bool { return !target.open || target.breaker.Allows(now) })
}

// freeSlot keeps the groups with an estimated free slot. On groups other than home
// groups the latest requests of other entries are unknown, so a margin stays free.
type freeSlot struct{ overcommit bool }

func (f freeSlot) Keep(_ time.Time, _ *PickRequest, targets []*Target) []*Target {
	if f.overcommit {
		return targets
	}
	return filterInPlace(targets, func(target *Target) bool { return target.free() >= target.requiredFree })
}

// nearest keeps the groups of the lowest tier present: home groups, then other
// groups of the failure domain, then other failure domains. The list must be
// ordered by tier.
type nearest struct{}

func (nearest) Keep(_ time.Time, _ *PickRequest, targets []*Target) []*Target {
	if len(targets) == 0 || targets[0].tier == targets[len(targets)-1].tier {
		return targets
	}
	end := slices.IndexFunc(targets, func(target *Target) bool { return target.tier > targets[0].tier })
	return targets[:end]
}

// notAvoided drops the group that the request avoids, unless no other is left.
type notAvoided struct{}

func (notAvoided) Keep(_ time.Time, req *PickRequest, targets []*Target) []*Target {
	if req.Request.Avoid == "" || len(targets) < 2 {
		return targets
	}
	return filterInPlace(targets, func(target *Target) bool { return target.Group.Name != req.Request.Avoid })
}

// filterInPlace filters targets in place. Usually all fit, and nothing is moved.
func filterInPlace(targets []*Target, fits func(*Target) bool) []*Target {
	for i, target := range targets {
		if !fits(target) {
			return compactFrom(targets, i, fits)
		}
	}
	return targets
}

// compactFrom filters targets in place, starting at the first that does not fit.
func compactFrom(targets []*Target, first int, fits func(*Target) bool) []*Target {
	kept := targets[:first]
	for _, target := range targets[first+1:] {
		if fits(target) {
			kept = append(kept, target)
		}
	}
	return kept
}

type loadScore struct{}

func (loadScore) Score(target *Target, _ *PickRequest) float64 { return target.load() }

// slownessScore rates a group with twice the mean time per token like a fully
// loaded one, and likewise a group with a slow member.
type slownessScore struct{ table *Table }

func (s slownessScore) Score(target *Target, _ *PickRequest) float64 {
	score := 0.0
	if target.slow {
		score = slowMemberPenalty
	}
	if target.timePerToken > 0 {
		score += target.timePerToken/s.table.timePerTokenOf(target.Group.Service) - 1
	}
	return score
}

type prefixScore struct{ index *PrefixIndex }

func (s prefixScore) Score(target *Target, req *PickRequest) float64 {
	if req.Prefix != 0 && s.index.Holds(target.Group.Name, req.Prefix) {
		return -prefixBonus
	}
	return 0
}

// Pick returns the group for a request, or nil if no group admits it now.
func (t *Table) Pick(now time.Time, req *PickRequest) *domain.Group {
	eligible := t.filter(now, req)
	if len(eligible) == 0 {
		return nil
	}
	return t.pickFrom(req, eligible).Group
}

// filter returns the candidates that pass all filters. The result shares the memory
// of t.eligible and is valid until the next call, so that picking does not allocate.
func (t *Table) filter(now time.Time, req *PickRequest) []*Target {
	t.eligible = append(t.eligible[:0], t.candidates(req.Route, req.Request.Service)...)
	kept := t.eligible
	for _, f := range t.filters {
		kept = f.Keep(now, req, kept)
	}
	return kept
}

func (t *Table) pickFrom(req *PickRequest, eligible []*Target) *Target {
	if req.Long && t.opts.PackLong {
		return mostLongRequests(eligible)
	}
	best := t.lowerScore(req, t.random(eligible), t.random(eligible))
	return t.preferCached(req, eligible, best)
}

func (t *Table) random(list []*Target) *Target { return list[t.opts.Rand.IntN(len(list))] }

func (t *Table) score(target *Target, req *PickRequest) float64 {
	sum := 0.0
	for _, s := range t.scores {
		sum += s.Score(target, req)
	}
	return sum
}

func (t *Table) lowerScore(req *PickRequest, a, b *Target) *Target {
	if t.score(b, req) < t.score(a, req) {
		return b
	}
	return a
}

// preferCached returns the prefix's rendezvous group unless its load exceeds the
// bound or best has a lower score in spite of the prefix bonus.
func (t *Table) preferCached(req *PickRequest, eligible []*Target, best *Target) *Target {
	if req.Prefix == 0 {
		return best
	}
	var cached *Target
	var highest uint64
	load := 0.0
	for _, target := range eligible {
		load += target.load()
		if rank := rendezvous(req.Prefix, target.hash); cached == nil || rank > highest {
			cached, highest = target, rank
		}
	}
	bound := cachedLoadFactor*load/float64(len(eligible)) + cachedLoadSlack
	if cached.load() > bound || t.score(cached, req)-prefixBonus > t.score(best, req) {
		return best
	}
	return cached
}

// mostLongRequests returns the group that runs the most long requests.
func mostLongRequests(list []*Target) *Target {
	best := list[0]
	for _, target := range list[1:] {
		if target.runningLong > best.runningLong {
			best = target
		}
	}
	return best
}

func sortByName(list []*Target) {
	slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(a.Group.Name, b.Group.Name) })
}
