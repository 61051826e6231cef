package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// keeperWithLog returns a keeper whose log has the given lines.
func keeperWithLog(t *testing.T, lines string) *node {
	n := &node{folder: t.TempDir()}
	require.NoError(t, os.WriteFile(filepath.Join(n.folder, "log"), []byte(lines), 0o600))
	return n
}

// Guards against a disk that is taken from another keeper than the one meant.
func TestLeadingKeeperIsThatOfTheLatestTerm(t *testing.T) {
	old := keeperWithLog(t, "level=info event=region_log_role node=a leader=7 members=3 role=leader term=2\n")
	deposed := keeperWithLog(t, "level=info event=region_log_role node=b leader=8 members=3 role=leader term=4\nlevel=info event=region_log_role node=b leader=0 members=3 role=follower term=4\n")
	current := keeperWithLog(t, "level=info event=region_log_role node=c leader=7 members=3 role=follower term=2\nlevel=info event=region_log_role node=c leader=9 members=3 role=leader term=3\n")
	assert.Same(t, current, leadingKeeper([]*node{old, deposed, current, {folder: t.TempDir()}}))
	assert.Nil(t, leadingKeeper([]*node{deposed}))
}

func TestRemovedVotersAreCountedOnce(t *testing.T) {
	line := func(action, identity, rest string) string {
		return "level=info event=keeper_replacement node=a action=" + action + " identity=" + identity + rest + "\n"
	}
	r := &region{
		keepers: []*node{keeperWithLog(t, line("ACTION_PROMOTE", "1", "")+line("ACTION_REMOVE", "2", ` refused="too few"`)+line("ACTION_REMOVE", "2", ""))},
		lost:    []*node{keeperWithLog(t, line("ACTION_REMOVE", "2", "")+line("ACTION_REMOVE", "3", ` refused="too few"`))},
	}
	removed, err := r.removedVoters()
	require.NoError(t, err)
	assert.Equal(t, 1, removed)
}

// Guards against rounds that lose more than the region tolerates, for which no quorum is promised.
func TestRoundsStayWithinTolerance(t *testing.T) {
	for seed := range uint64(50) {
		p := &replacements{random: randomSource(seed, "replacements")}
		for _, tolerated := range []int{1, 2} {
			round := p.draw(tolerated)
			assert.LessOrEqual(t, len(round.kinds), tolerated)
			assert.LessOrEqual(t, len(round.disks), tolerated)
			assert.Len(t, round.roles, len(round.kinds))
		}
	}
}
