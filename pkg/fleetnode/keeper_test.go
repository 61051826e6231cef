package fleetnode

import (
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
	n.prepareRestart(errIdentityRemoved)
	assert.NoFileExists(t, file)
	assert.DirExists(t, folder)
}
