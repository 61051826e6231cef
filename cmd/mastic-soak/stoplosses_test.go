package main

import (
	"bufio"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a rule of the soak that excuses too much, or blames an entry for what others ended.
func TestCutRequestsCountAsTheRuleOfPlannedStopsSays(t *testing.T) {
	term := time.Now()
	at := func(seconds float64) time.Time { return term.Add(time.Duration(seconds * float64(time.Second))) }
	atWork, done := []work{{began: at(1)}}, []work{{began: at(1), ended: at(5), whole: true}}
	for name, row := range map[string]struct {
		sent, cut float64
		runs      []work
		reload    float64
		deadline  time.Duration
		want      lossClass
	}{
		"passed on, cut at once":                       {sent: 1, cut: 1.01, runs: atWork, want: lostInStop},
		"crossed the close":                            {sent: 5, cut: 5.2, want: cutUnread},
		"read, not passed on":                          {sent: 5, cut: 5.21, want: lostInStop},
		"sent before the stop, cut early":              {sent: -1, cut: 3, runs: atWork, want: lostInStop},
		"cut just before the last sixth":               {sent: 1, cut: 6.6, runs: atWork, want: lostInStop},
		"at work in the last sixth":                    {sent: 3, cut: 7.2, runs: atWork, want: cutAtEnd},
		"at work in the last sixth, done there":        {sent: 3, cut: 7.2, runs: []work{{began: at(3), ended: at(6.7), whole: true}}, want: cutAtEnd},
		"sent later":                                   {sent: 3.01, cut: 7.2, runs: atWork, want: lostInStop},
		"answered before the last sixth":               {sent: 1, cut: 7.2, runs: done, want: lostInStop},
		"waited for an upstream to the end":            {sent: 1, cut: 7.2, want: lostInStop},
		"broken off by its upstream":                   {sent: 1, cut: 3, runs: []work{{began: at(1), ended: at(3), brokeOff: true}}, want: cutUpstream},
		"broken off by its first upstream, sent again": {sent: 1, cut: 4, runs: []work{{began: at(1), ended: at(3), brokeOff: true}, {began: at(3)}}, want: lostInStop},
		"out of time":                                  {sent: 1, cut: 6.1, runs: atWork, deadline: 5 * time.Second, want: cutLate},
		"cut by SIGKILL":                               {sent: 4, cut: 8.1, runs: atWork, want: lostInStop},
		"cut in the second after the grace period":     {sent: 4, cut: 9, runs: atWork, want: lostInStop},
		"cut later":                                    {sent: 4, cut: 9.01, runs: atWork, want: lostElsewhere},
		"cut after SIGHUP":                             {sent: 14, cut: 15, runs: atWork, reload: 12, want: lostByReload},
		"sent too long after SIGHUP":                   {sent: 14.1, cut: 15, runs: atWork, reload: 12, want: lostElsewhere},
	} {
		t.Run(name, func(t *testing.T) {
			c := &cutRequest{begunAt: at(row.sent), sentAt: at(row.sent), cutAt: at(row.cut), deadline: streamTimeout, runs: row.runs}
			var reload time.Time
			if row.reload > 0 {
				reload = at(row.reload)
			}
			if row.deadline > 0 {
				c.deadline = row.deadline
			}
			assert.Equal(t, row.want, c.classify(term, reload))
		})
	}
	unsent := &cutRequest{begunAt: at(1), cutAt: at(2), deadline: streamTimeout, runs: atWork}
	assert.Equal(t, cutUnread, unsent.classify(term, time.Time{}))
	noStop := &cutRequest{begunAt: at(1), sentAt: at(1), cutAt: at(2), deadline: streamTimeout, runs: atWork}
	assert.Equal(t, lostElsewhere, noStop.classify(time.Time{}, time.Time{}))
}

// Guards against cut requests that the check doesn't see, or describes without the entry's own lines.
func TestLostRequestIsReportedWithTheLinesOfItsEntry(t *testing.T) {
	n := &node{name: "entry-0", folder: t.TempDir()}
	stops := &stopLog{stops: map[*node][]*processStop{}, reloads: map[*node][]time.Time{}}
	stop := stops.begin(n)
	handled := stop.termAt.Add(1200 * time.Millisecond).UTC().Format(time.RFC3339Nano)
	require.NoError(t, os.WriteFile(filepath.Join(n.folder, "log"), []byte("event=a request_id=c1-12 node=x\nevent=request_answered request_id=c1-1 outcome=cut\n"+
		"time="+handled+" level=info event=node_stopping node=entry-0\n"), 0o600))
	runs := newRunLog()
	runs.add(&streamRun{request: "c1-1", number: 1, signature: "s", status: http.StatusOK, began: stop.termAt.Add(4 * time.Second), end: "in progress"})
	r := &stopRequest{target: "/stream/30", begunAt: stop.termAt.Add(4 * time.Second), cutBy: "reset"}
	r.request, r.kind, r.total, r.ending, r.status, r.signature, r.echoedID = "c1-1", plainStream, 30, endedBroken, http.StatusOK, "s", "c1-1"
	r.exchange = exchange{entry: n, sentAt: r.begunAt, endedAt: stop.termAt.Add(7 * time.Second), deadline: streamTimeout}
	s := &stopCallers{engines: &engineSet{runs: runs}, service: &plainService{runs: map[string]int{}}, stops: stops, requests: []*stopRequest{r}}
	found, counts, err := s.violations()
	require.NoError(t, err)
	require.Len(t, found, 2)
	assert.Contains(t, found[0], "lost in a planned stop: c1-1 /stream/30")
	assert.Contains(t, found[0], "sent 4.000 s, cut 7.000 s by reset, status 200, 0 of 30 events")
	assert.Contains(t, found[0], "event=request_answered request_id=c1-1")
	assert.NotContains(t, found[0], "c1-12")
	assert.Equal(t, "no stream was served", found[1])
	assert.Contains(t, counts, "1 planned stops, 0 of them ended by SIGKILL, SIGTERM handled at most 1.200 s late")
	assert.Contains(t, counts, "cut: map[lost in a planned stop:1]")
}

// Guards against requests that differ from what engines expect, whose refusal would hide the losses.
func TestRequestsBesideStopsAreWellFormedInAnyPieces(t *testing.T) {
	c := &stopCaller{name: "c", random: randomSource(1, "pieces")}
	for range 200 {
		r := c.draw()
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.Join(c.message(r), ""))))
		require.NoError(t, err)
		body, err := io.ReadAll(req.Body)
		require.NoError(t, err)
		assert.Equal(t, r.content, string(body))
		if r.kind != nil {
			_, total, ok := parseStreamRequest(req, kindOf(r.target))
			assert.True(t, ok)
			assert.Equal(t, r.total, total)
		}
	}
}
