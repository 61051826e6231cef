package fleetnode

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A keeper whose vote was given away comes back with an empty disk; one whose disk
// failed keeps what it holds.
func TestOnlyARemovedIdentityIsDiscarded(t *testing.T) {
	folder := t.TempDir()
	file := filepath.Join(folder, "identity")
	require.NoError(t, os.WriteFile(file, []byte("old"), 0o600))
	n := NewKeeper(KeeperOptions{DataFolder: folder, Log: zerolog.Nop()})
	n.prepare(errDisk)
	assert.FileExists(t, file)
	n.prepare(errRemoved)
	assert.NoFileExists(t, file)
	assert.DirExists(t, folder)
}
