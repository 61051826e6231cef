package keeper

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// largeChange replaces one object by another of the given size.
func largeChange(i, size int) *peerpb.ProposeRequest {
	spec := fmt.Appendf(nil, `{"n":"%0*d"}`, size, i)
	return &peerpb.ProposeRequest{Command: &peerpb.Command{Body: &peerpb.Command_ConfigChange{ConfigChange: &peerpb.ConfigChange{
		ChangeId: fmt.Sprint("large-", i), Kind: "labels", Name: "vm", Spec: spec,
	}}}}
}

// Guards against a log of large changes that a successor cannot fetch within the catch-up
// time, though the state is small: at 170 Mbit/s it can fetch 42 MB in half of that time.
func TestSuccessorFetchesBoundedLog(t *testing.T) {
	const changes, size, fetchable = 120, 900 << 10, 42_000_000
	inClusterOf(t, 3, func(c *cluster) {
		c.snapshotEntries = DefaultSnapshotEntries
		for _, id := range nodeIDs {
			c.stop(c.members[id], c.members[id].keeper.Kill)
			c.start(id)
		}
		for i := range changes {
			_, err := c.leader().keeper.Propose(context.Background(), largeChange(i, size))
			require.NoError(t, err)
		}
		c.lose(c.voterThatFollows())
		before := c.bytesWritten.Load()
		successor := c.start("k4")
		for successor.keeper.Applied() < changes {
			waitTick()
		}
		require.Less(t, c.bytesWritten.Load()-before, int64(fetchable))
	})
}

func TestSnapshotIsDueBySizeAndNumber(t *testing.T) {
	entry := &peerpb.LogEntry{Data: make([]byte, snapshotBytes/4)}
	var p progressSince
	for range 3 {
		p.add(entry)
	}
	require.False(t, p.due(4))
	require.True(t, p.due(3), "by number")
	p.add(entry)
	require.True(t, p.due(5), "by size")
	p.snapshotSize = snapshotBytes
	require.False(t, p.due(5), "a large state is not written for few changes")
}

func TestKeptEntriesAreLimitedBySizeAndNumber(t *testing.T) {
	entries := make([]*peerpb.LogEntry, 2*keptEntries)
	for i := range entries {
		entries[i] = &peerpb.LogEntry{Data: []byte("x")}
	}
	const base = 100
	require.EqualValues(t, base+keptEntries, keptFrom(base, entries, base+2*keptEntries), "by number")
	require.EqualValues(t, base, keptFrom(base, entries, base+10), "all")
	require.EqualValues(t, base, keptFrom(base, entries, base), "none")
	entries[19].Data = make([]byte, keptBytes)
	require.EqualValues(t, base+20, keptFrom(base, entries, base+30), "by size")
}
