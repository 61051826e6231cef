package main

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseStreamRequest(t *testing.T) {
	for name, row := range map[string]struct {
		target       string
		header       map[string]string
		after, total int
		ok           bool
	}{
		"of a group, resuming":   {"/generate/7", map[string]string{"X-Token-Counts": tokenCounts(7), "Last-Event-Id": "15"}, 3, 7, true},
		"between two events":     {"/generate/7", map[string]string{"X-Token-Counts": tokenCounts(7), "Last-Event-Id": "16"}, 0, 0, false},
		"a stream":               {"/stream/7", map[string]string{}, 0, 7, true},
		"resuming":               {"/stream/7", map[string]string{"Last-Event-Id": "3"}, 3, 7, true},
		"resuming at the end":    {"/stream/7", map[string]string{"Last-Event-Id": "7"}, 7, 7, true},
		"of a group":             {"/generate/7", map[string]string{"X-Token-Counts": tokenCounts(7)}, 0, 7, true},
		"at most once":           {"/tale/7", map[string]string{}, 0, 7, true},
		"at most once, resuming": {"/tale/7", map[string]string{"Last-Event-Id": "3"}, 0, 0, false},
		"other path":             {"/lookup/7", map[string]string{}, 0, 0, false},
		"no event count":         {"/stream/x", map[string]string{}, 0, 0, false},
		"no request ID":          {"/stream/7", map[string]string{"X-Request-Id": ""}, 0, 0, false},
		"bad last event ID":      {"/stream/7", map[string]string{"Last-Event-Id": "id: 3"}, 0, 0, false},
		"beyond the last event":  {"/stream/7", map[string]string{"Last-Event-Id": "8"}, 0, 0, false},
		"no time left":           {"/stream/7", map[string]string{"X-Deadline-Ms": ""}, 0, 0, false},
		"excessive time left":    {"/stream/7", map[string]string{"X-Deadline-Ms": "8001"}, 0, 0, false},
		"wrong token counts":     {"/generate/7", map[string]string{"X-Token-Counts": tokenCounts(8)}, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, "http://"+soakHost+row.target, nil)
			require.NoError(t, err)
			req.Header.Set("X-Request-Id", "r")
			req.Header.Set("X-Deadline-Ms", "8000")
			for key, value := range row.header {
				req.Header.Set(key, value)
			}
			after, total, ok := parseStreamRequest(req, kindOf(row.target))
			assert.Equal(t, []any{row.after, row.total, row.ok}, []any{after, total, ok})
		})
	}
}

func TestRunsBeyondMaxAttemptsAreViolations(t *testing.T) {
	l := newRunLog()
	for number := range streamAttempts {
		l.add(&streamRun{request: "r", number: number + 1})
	}
	assert.Empty(t, l.violations())
	l.add(&streamRun{request: "r", number: streamAttempts + 1})
	l.addUnexpected("a request that nobody sent")
	found := l.violations()
	require.Len(t, found, 2)
	assert.Equal(t, "a request that nobody sent", found[0])
	assert.Contains(t, found[1], "stream r ran 4 times")
}
