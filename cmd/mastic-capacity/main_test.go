package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCapacityPageMatchesMeasurements fails when the table in docs/CAPACITY.md differs
// from the one computed from the recorded measurements.
func TestCapacityPageMatchesMeasurements(t *testing.T) {
	docs := filepath.Join("..", "..", "docs")
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
	require.NoError(t, err)
	var table strings.Builder
	require.NoError(t, run(filepath.Join(docs, "measurements"), &table))
	assert.Contains(t, string(page), table.String(), "run make capacity and put its table into the page")
}
