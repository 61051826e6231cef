package fleetnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

var planOptions = EntryOptions{BalancerWait: 2300 * time.Millisecond, StopTimeout: 7200 * time.Millisecond, Grace: 8 * time.Second, EstimateTime: 2900 * time.Millisecond}

// Guards against requests that are accepted, and cut by the kill at the end of the grace period, because the process
// noticed the signal late and counted the grace period from then; and against answers that are cut although the process may live on.
func TestStopOfLateSignalEndsBeforeKill(t *testing.T) {
	sent := time.Unix(1000, 0)
	for lag := time.Duration(0); lag <= 3*time.Second; lag += 50 * time.Millisecond {
		// What the process knows is a bound: the signal may have come at any time in it.
		for late := time.Duration(0); late <= lag; late += 50 * time.Millisecond {
			p := planStop(sent.Add(late), lag, &planOptions)
			noticed := sent.Add(late)
			assert.LessOrEqual(t, p.estimatesUntil.Sub(sent), planOptions.EstimateTime, "lag %v, late %v", lag, late)
			assert.LessOrEqual(t, p.acceptedEnd.Sub(sent), planOptions.Grace-killReserve, "lag %v, late %v", lag, late)
			assert.Equal(t, planOptions.StopTimeout, p.end.Sub(noticed), "lag %v, late %v", lag, late)
			assert.False(t, p.end.Before(p.acceptedEnd))
			if late < planOptions.Grace-planOptions.StopTimeout {
				assert.Less(t, p.end.Sub(sent), planOptions.Grace, "lag %v, late %v", lag, late)
			}
		}
	}
}

// A process that runs on time stops as if it had noticed the signal at once.
func TestSignalLagOfProcessOnTimeCostsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	for lag := time.Duration(0); lag <= 400*time.Millisecond; lag += 10 * time.Millisecond {
		assert.Equal(t, stopPlan{now.Add(planOptions.BalancerWait), now.Add(planOptions.StopTimeout), now.Add(planOptions.StopTimeout)}, planStop(now, lag, &planOptions))
	}
}

func TestSignalLag(t *testing.T) {
	began := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		beats   []time.Duration
		noticed time.Duration
		want    time.Duration
	}{
		"on time":                    {[]time.Duration{100, 200, 300}, 350, 150},
		"one late beat":              {[]time.Duration{100, 200, 1300}, 1301, 1201},
		"no beat after a long pause": {[]time.Duration{100, 200}, 1301, 1201},
		"several late beats":         {[]time.Duration{100, 200, 700, 1300}, 1400, 1300},
		"on time again":              {[]time.Duration{100, 1300, 1400, 1500}, 1510, 110},
		"two beats after a pause":    {[]time.Duration{100, 200, 1300, 1301}, 1303, 1203},
	} {
		h := newHeartbeat(began)
		for _, at := range c.beats {
			h.beat(began.Add(at * time.Millisecond))
		}
		assert.Equal(t, c.want*time.Millisecond, h.signalLag(began.Add(c.noticed*time.Millisecond)), name)
	}
}

func TestHeartbeatGoesOnUntilSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute+beatInterval/2)
		defer cancel()
		assert.Equal(t, beatInterval*3/2, awaitSignal(ctx))
	})
}
