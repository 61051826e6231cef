package keeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a line for each late tick, and a period that begins before the process.
func TestLateLogLoopIsReportedOnceASecond(t *testing.T) {
	now := time.Unix(1000, 0)
	m, reports := loopMeter{}, 0
	for range 50 {
		if m.tick(now) {
			period, length, _ := m.reset(now)
			assert.GreaterOrEqual(t, length, lagReportInterval)
			assert.Less(t, length, 2*lagReportInterval)
			assert.GreaterOrEqual(t, period.worst, lateTick)
			reports++
		}
		now = now.Add(tickInterval + lateTick)
	}
	assert.Equal(t, 7, reports, "50 ticks in 7.4 s")
	for range 50 {
		now = now.Add(tickInterval)
		assert.False(t, m.tick(now) && m.period.lateTicks == 0)
	}
}
