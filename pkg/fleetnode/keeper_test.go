package fleetnode

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The data folder must be emptied only when the identity was removed from the region log.
// After a disk failure the data must be kept.
func TestOnlyRemovedIdentityIsDiscarded(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "identity")
	require.NoError(t, os.WriteFile(file, []byte("old"), 0o600))
	n := NewKeeper(KeeperOptions{DataFolder: folder, Log: zerolog.Nop()})
	n.prepareRestart(errDiskFailed)
	assert.FileExists(t, file)
	n.prepareRestart(&identityRemovedError{})
	assert.NoFileExists(t, file)
	assert.DirExists(t, folder)
}

// Guards against a keeper that was replaced, returns late and cannot join, as all its seeds
// were replaced too; or that forms a second log with others like it, as at the first start.
func TestRemovedKeeperJoinsThroughMembers(t *testing.T) {
	n := NewKeeper(KeeperOptions{DataFolder: t.TempDir(), Bootstrap: true, Address: "a", Seeds: []string{"a", "b", "c"}, Log: zerolog.Nop()})
	n.prepareRestart(errDiskFailed)
	assert.True(t, n.opts.Bootstrap, "a disk failure says nothing of the region")
	n.prepareRestart(fmt.Errorf("run: %w", &identityRemovedError{members: []string{"c", "d", "e"}}))
	assert.Equal(t, []string{"a", "b", "c", "d", "e"}, n.opts.Seeds)
	assert.False(t, n.opts.Bootstrap)
}
