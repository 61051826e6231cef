package control

import (
	"math"
	"time"
)

// demandMemory is the time in which an earlier demand loses all but a third of its
// weight: longer than a wave of the load, so that groups do not follow each one.
const demandMemory = 12 * time.Second

// demand is the fading sum of the work asked of each model.
type demand struct {
	since, at time.Time
	// work is in seconds of one group.
	work map[string]float64
}

func (d *demand) add(now time.Time, model string, work time.Duration) {
	if d.work == nil {
		d.since, d.at, d.work = now, now, map[string]float64{}
	}
	d.fade(now)
	d.work[model] += work.Seconds()
}

func (d *demand) fade(now time.Time) {
	factor := math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	for model := range d.work {
		d.work[model] *= factor
	}
	d.at = now
}

// demandKnownAfter is the time from the first report until the demand is relied on.
const demandKnownAfter = 2 * time.Second

// groups returns how many groups of each model the demand would keep busy all the
// time; nil while too little is known.
func (d *demand) groups(now time.Time) map[string]float64 {
	if d.work == nil || now.Sub(d.since) < demandKnownAfter {
		return nil
	}
	d.fade(now)
	window := demandMemory.Seconds() * (1 - math.Exp(-now.Sub(d.since).Seconds()/demandMemory.Seconds()))
	needed := map[string]float64{}
	for model, work := range d.work {
		needed[model] = work / window
	}
	return needed
}
