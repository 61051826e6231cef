package keeper

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a member that is down and is asked without pause.
func TestConnectionsAreCheckedAtIntervals(t *testing.T) {
	s := checkSchedule{}
	require.Empty(t, s.due(1, nil))
	require.Equal(t, []uint64{7}, s.due(10, []uint64{7}))
	require.Empty(t, s.due(10+checkTicks-1, []uint64{7}))
	require.Equal(t, []uint64{8}, s.due(10+checkTicks-1, []uint64{7, 8}))
	require.Equal(t, []uint64{7}, s.due(10+checkTicks, []uint64{7, 8}))
}
