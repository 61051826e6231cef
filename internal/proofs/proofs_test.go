package proofs

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var top = filepath.Join("..", "..")

func TestReferencesAreFound(t *testing.T) {
	page := "see `pkg/a/b.TestX/case one`, `internal/c.FuzzY` and `spec/claim.pml BROKEN_X`, not `pkg/a.Type`"
	assert.Equal(t, []Test{{"pkg/a/b", "TestX"}, {"internal/c", "FuzzY"}}, Tests(page))
	assert.Equal(t, []Model{{"spec/claim.pml", "BROKEN_X"}}, Models(page))
}

// TestReferencesResolve guards against references in docs/PROOFS.md and in the table of decisions to tests, models or injected faults that
// have been renamed or removed.
func TestReferencesResolve(t *testing.T) {
	for _, name := range []string{"PROOFS.md", "design/decisions.md"} {
		page, err := os.ReadFile(filepath.Join(top, "docs", name))
		require.NoError(t, err)
		assertReferencesResolve(t, page)
	}
}

func assertReferencesResolve(t *testing.T, page []byte) {
	for _, ref := range Tests(string(page)) {
		assert.True(t, declared(t, ref), "%s.%s does not exist", ref.Folder, ref.Name)
	}
	for _, ref := range Models(string(page)) {
		source, err := os.ReadFile(filepath.Join(top, ref.File))
		require.NoError(t, err)
		if ref.Fault != "" {
			assert.True(t, strings.Contains(string(source), "/* broken: "+ref.Fault+" */"), "%s has no injected fault %s", ref.File, ref.Fault)
		}
	}
}

func declared(t *testing.T, ref Test) bool {
	files, err := filepath.Glob(filepath.Join(top, ref.Folder, "*_test.go"))
	require.NoError(t, err)
	for _, file := range files {
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		if Declares(string(source), ref.Name) {
			return true
		}
	}
	return false
}
