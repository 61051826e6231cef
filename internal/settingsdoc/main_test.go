package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPageIsUpToDate guards against a docs/SETTINGS.md that was not regenerated after
// a change of the settings' doc comments.
func TestPageIsUpToDate(t *testing.T) {
	top := filepath.Join("..", "..")
	text, err := os.ReadFile(filepath.Join(top, source))
	require.NoError(t, err)
	want, err := render(string(text))
	require.NoError(t, err)
	got, err := os.ReadFile(filepath.Join(top, target))
	require.NoError(t, err)
	assert.Equal(t, want, string(got), "run make generate")
}
