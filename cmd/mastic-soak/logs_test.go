package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCrashLinesAreFoundInLogs(t *testing.T) {
	found, err := crashLines(strings.NewReader("time=1 level=info event=send_failed cause=\"cut-off\"\n" +
		"2026/12/04 error when serving connection: panic while writing body stream: BUG: reading released body stream\n" +
		"time=2 level=warn event=stream_not_resumed\nWARNING: DATA RACE\nfatal error: all goroutines are asleep"))
	require.NoError(t, err)
	assert.Equal(t, []string{
		"2026/12/04 error when serving connection: panic while writing body stream: BUG: reading released body stream",
		"WARNING: DATA RACE", "fatal error: all goroutines are asleep",
	}, found)
}
