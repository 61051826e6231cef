package loadgen

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func testPlan() Plan {
	return Plan{
		Seed: 7, Capacity: 10_000, StragglerShare: 0.03, StragglerFactor: 20,
		Phases: []Phase{{Duration: 50 * time.Second, Load: 0.26}, {Duration: 50 * time.Second, Ramp: time.Second, Load: 1.3}},
		Classes: []Class{
			{Name: "short", Share: 0.8, Tokens: 50, MaxTokens: 4096, Accounts: []Account{{"a", 1}, {"b", 2}}},
			{Name: "long", Share: 0.2, Tokens: 400, MaxTokens: 16384, Accounts: []Account{{"c", 1}}},
		},
	}
}

func TestArrivalsAreDeterministic(t *testing.T) {
	first := Generate(testPlan())
	assert.Equal(t, first, Generate(testPlan()))
	other := testPlan()
	other.Seed++
	assert.NotEqual(t, first, Generate(other))
}

func TestArrivalsOfferThePlannedWork(t *testing.T) {
	work, stragglers := [2]float64{}, 0
	arrivals := Generate(testPlan())
	for i, a := range arrivals {
		assert.True(t, i == 0 || a.At >= arrivals[i-1].At)
		work[a.Phase] += float64(a.Tokens)
		if a.Tokens > 2*a.Class.Tokens {
			stragglers++
		}
	}
	assert.InEpsilon(t, 0.26, work[0]/10_000/50, 0.15)
	assert.InEpsilon(t, 1.3, work[1]/10_000/50, 0.1)
	assert.InEpsilon(t, 0.03, float64(stragglers)/float64(len(arrivals)), 0.2)
}

// TestRunDoesNotWaitForResponses guards against coordinated omission: when the
// system hangs, every request is still sent at its scheduled time, and its latency
// counts from that time.
func TestRunDoesNotWaitForResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrivals := []Arrival{{At: 0}, {At: 10 * time.Millisecond}, {At: 20 * time.Millisecond}}
		latencies := NewRecorder()
		begun, late := time.Now(), 0
		hang := begun.Add(time.Second)
		Run(t.Context(), arrivals, func(_ context.Context, a Arrival, due time.Time) {
			if !time.Now().Equal(begun.Add(a.At)) {
				late++
			}
			<-time.After(time.Until(hang))
			latencies.Record(time.Since(due))
		})
		assert.Zero(t, late)
		assert.Equal(t, int64(3), latencies.Count())
		assert.InDelta(t, 980, latencies.Quantile(0.01).Milliseconds(), 2)
		assert.InDelta(t, 1000, latencies.Quantile(1).Milliseconds(), 2)
	})
}

func TestRunStopsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	sent := 0
	Run(ctx, []Arrival{{At: time.Hour}}, func(context.Context, Arrival, time.Time) { sent++ })
	assert.Zero(t, sent)
}
