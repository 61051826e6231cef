package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/state"
)

// Callers are asked back when a lost member can have been replaced, in whole seconds.
func TestRetryAfterWithoutGroupIsWhenItsMemberCanBeReplaced(t *testing.T) {
	err := NoWholeGroupError(&state.Route{Name: "captions"})
	assert.True(t, fault.IsKind(err, fault.NoWholeGroup))
	assert.Equal(t, membership.LeaseDuration, err.RetryAfter)
	assert.GreaterOrEqual(t, float64(err.RetryAfterSeconds()), membership.LeaseDuration.Seconds())
}
