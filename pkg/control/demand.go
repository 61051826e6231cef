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
	at   time.Time
	work map[string]float64
}

func (d *demand) add(now time.Time, model string, work float64) {
	d.fade(now)
	d.work[model] += work
}

func (d *demand) fade(now time.Time) {
	if d.work == nil {
		d.work = map[string]float64{}
	}
	factor := math.Exp(-now.Sub(d.at).Seconds() / demandMemory.Seconds())
	for model := range d.work {
		d.work[model] *= factor
	}
	d.at = now
}

// shares returns the work of each model; nil before there was any.
func (d *demand) shares(now time.Time) map[string]float64 {
	d.fade(now)
	shares := map[string]float64{}
	for model, work := range d.work {
		shares[model] = work
	}
	return shares
}
