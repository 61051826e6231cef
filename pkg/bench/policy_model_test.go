package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/loadgen"
)

// TestModelAccountsForSlotsAndRequests checks that the model never exceeds the
// engines' slots, ends every request and is deterministic.
func TestModelAccountsForSlotsAndRequests(t *testing.T) {
	arrivals := loadgen.Generate(planOf(loadgen.Phase{Duration: 5 * time.Second, Load: 2}))
	for _, v := range []variant{baselineVariant(), chosenVariant()} {
		t.Run(v.name, func(t *testing.T) {
			m, repeated := newModel(v.new), newModel(v.new)
			maxRunning := 0
			for i := range 100 {
				m.at(modelEpoch.Add(time.Duration(i)*100*time.Millisecond), func() {
					for _, e := range m.engines {
						maxRunning = max(maxRunning, len(e.running))
					}
				})
			}
			m.run(arrivals)
			repeated.run(arrivals)
			assert.Equal(t, modelSlots, maxRunning)
			assert.Empty(t, m.active)
			assert.Len(t, m.requests, len(arrivals))
			for i, req := range m.requests {
				assert.NotEqual(t, pending, req.outcome)
				assert.Equal(t, req.outcome, repeated.requests[i].outcome)
				assert.Equal(t, req.ended, repeated.requests[i].ended)
				if req.outcome == completed {
					assert.GreaterOrEqual(t, req.tokensBetween(modelEpoch, req.ended)+0.5, float64(req.arrival.Tokens))
				}
			}
		})
	}
}
