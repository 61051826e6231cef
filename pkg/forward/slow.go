package forward

import (
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

const (
	// gapWeight is the weight of the newest gap in a target's mean gap between events.
	gapWeight = 0.1
	// slowFactor is how many times the median gap of the targets of its model a target's gap
	// must exceed to count as slow: prompts that are read between passes lengthen gaps by
	// less.
	slowFactor = 2.2
	// slowValidFor is how long a target counts as slow without a new event; after that a
	// request may probe it again.
	slowValidFor = 2 * time.Second
	// slowPenalty ranks slow targets behind all others with free capacity.
	slowPenalty = 3
)

// RecordEventGap records the gap between two events of a stream from a target.
func (p *Placer) RecordEventGap(now time.Time, t *attach.Target, gap time.Duration) {
	s := p.stateOf(t)
	if s == nil {
		return
	}
	if s.eventGap == 0 {
		s.eventGap = gap
	}
	s.eventGap += time.Duration(gapWeight * float64(gap-s.eventGap))
	s.eventGapAt = now
}

// isSlow reports whether the event gaps of a target are much longer than those of the other
// targets of its model.
func (p *Placer) isSlow(now time.Time, s *targetState) bool {
	if !p.mechanisms.Enabled(mechanism.SlowTargets) || s.eventGap == 0 || now.Sub(s.eventGapAt) > slowValidFor {
		return false
	}
	return float64(s.eventGap) > slowFactor*float64(p.medianGap(now, s))
}

// medianGap is the median event gap of the targets of a model with recent events.
func (p *Placer) medianGap(now time.Time, reference *targetState) time.Duration {
	var gaps []time.Duration
	for _, s := range p.targets {
		if s.target.Service == reference.target.Service && s.target.Model == reference.target.Model && s.eventGap > 0 && now.Sub(s.eventGapAt) <= slowValidFor {
			gaps = append(gaps, s.eventGap)
		}
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}
