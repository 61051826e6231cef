package mechanism

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParse(t *testing.T) {
	for names, disabled := range map[string]Set{"": {}, "moves": {Moves: true}, "moves,full-domains": {Moves: true, FullDomains: true}} {
		s, err := Parse(names)
		require.NoError(t, err, names)
		assert.Equal(t, disabled, s, names)
	}
	_, err := Parse("moves,elsewhere")
	require.ErrorContains(t, err, "elsewhere")
	for _, name := range all {
		assert.True(t, Set(nil).Enabled(name))
		assert.False(t, Set{name: true}.Enabled(name))
	}
}
