package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEventIsOneLineOfKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info", "a1")
	require.NoError(t, err)
	log.Debug().Msg("hidden")
	log.Warn().Str("request_id", "r1").Err(errors.New("no\nquorum")).Int("count", 3).Str("empty", "").Msg("claim refused")
	line := out.String()
	assert.Equal(t, 1, strings.Count(line, "\n"))
	_, pairs, _ := strings.Cut(line, " ")
	assert.Equal(t, `level=warn event="claim refused" node=a1 request_id=r1 count=3 empty="" error="no\nquorum"`+"\n", pairs)
}

func TestUnknownLevelIsRejected(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud", "a1")
	assert.ErrorContains(t, err, `log level "loud"`)
}
