package control

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the exponential decay of past demand. It is
// longer than a load fluctuation, so that the number of groups does not follow each one.
const demandTimeConstant = 12 * time.Second

// demand is the exponentially decaying sum of the work requested from each model.
type demand struct {
	// since is the time of the first report, decayedAt the time up to which work has decayed.
	since, decayedAt time.Time
	// work is in group-seconds, by model.
	work map[string]float64
}

func (d *demand) add(now time.Time, model string, work time.Duration) {
	if d.work == nil {
		d.since, d.decayedAt, d.work = now, now, map[string]float64{}
	}
	d.decay(now)
	d.work[model] += work.Seconds()
}

func (d *demand) decay(now time.Time) {
	factor := math.Exp(-now.Sub(d.decayedAt).Seconds() / demandTimeConstant.Seconds())
	for model := range d.work {
		d.work[model] *= factor
	}
	d.decayedAt = now
}

// demandWarmup is the time from the first report until the demand is used.
const demandWarmup = 2 * time.Second

// groups returns how many groups of each model the demand would keep fully busy, or nil
// before demandWarmup has passed.
func (d *demand) groups(now time.Time) map[string]float64 {
	if d.work == nil || now.Sub(d.since) < demandWarmup {
		return nil
	}
	d.decay(now)
	window := demandTimeConstant.Seconds() * (1 - math.Exp(-now.Sub(d.since).Seconds()/demandTimeConstant.Seconds()))
	needed := map[string]float64{}
	for model, work := range d.work {
		needed[model] = work / window
	}
	return needed
}
