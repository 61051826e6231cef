package statement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The time until a request may be sent is told exactly, and ends when it is over.
func TestAllotmentTellsWhenItAllowsARequest(t *testing.T) {
	upstream, now := Incarnation{Upstream: "u", StartTime: 1}, time.Unix(1000, 0)
	for seed := range uint64(50) {
		a := NewAllotments(rand.New(rand.NewPCG(seed, 1)))
		wait := a.Wait(now, upstream, 0.25)
		assert.LessOrEqual(t, wait, 4*time.Second)
		assert.False(t, a.Allows(now.Add(wait-time.Millisecond), upstream, 0.25))
		assert.True(t, a.Allows(now.Add(wait+time.Millisecond), upstream, 0.25))
		assert.Zero(t, a.Wait(now.Add(wait+time.Millisecond), upstream, 0.25))
		assert.Zero(t, a.Wait(now, upstream, 0), "not known")
	}
}
