package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fault"
)

func TestBytesInFlightAreBounded(t *testing.T) {
	var tracker inFlightTracker
	untrack, err := tracker.track(maxBytesInFlight - 1)
	require.NoError(t, err)
	_, err = tracker.track(2)
	require.True(t, fault.IsKind(err, fault.Overloaded))
	require.Equal(t, fault.NotRun, fault.From(err).Outcome)
	untrack()
	untrack()
	_, err = tracker.track(2)
	require.NoError(t, err)
	require.Equal(t, 1, tracker.requests, "the second call of untrack has no effect")
}
