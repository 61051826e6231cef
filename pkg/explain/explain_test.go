package explain

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const entryLog = `time=2026-08-16T17:18:34.100Z level=info event=send_failed node=edge-1 request_id=r1 after_ms=512.5 at_fault="" cause="i/o timeout" doubtful=false group=big.4.x reason=stalled sent=true target=i-1
time=2026-08-16T17:18:34.200Z level=info event=stream_resumed node=edge-1 request_id=r1 last_event=12 target=i-9
not a log line
time=2026-08-16T17:18:35.000Z level=info event=request_answered node=edge-1 request_id=r1 account=a caller_left=false class=c first_ms=200 group=big.4.y outcome=whole queued_ms=0 sends=2 status=200 target=i-9 took_ms=1500
time=2026-08-16T17:18:36.000Z level=info event=request_refused node=edge-2 request_id=r2 account=a caller_left=false class=c config_age_ms=300 detail="no place for the request: crowded" kind=overloaded may_have_run=false outcome=not-run queued_ms=0 retry_after_ms=700 sends=0 status=503
time=2026-08-16T17:18:37.000Z level=info event=send_failed node=edge-2 request_id=r3 after_ms=20 at_fault="" cause="connection reset" doubtful=false group="" reason=cut-off sent=true target=i-5
time=2026-08-16T17:18:37.010Z level=info event=request_refused node=edge-2 request_id=r3 account=a class=c config_age_ms=310 detail="the upstream's answer was lost (cut-off)" kind=upstream-failed may_have_run=true outcome=unknown queued_ms=0 retry_after_ms=0 sends=1 status=502
`

const keeperLog = `time=2026-08-16T17:18:34.050Z level=info event=group_suspected node=core-1 upstream=i-1
time=2026-08-16T17:18:34.450Z level=info event=group_changed node=core-1 change=broken group=big.4.x members="[i-1 i-2]" reason="member does not answer" term=2
time=2026-08-16T17:18:34.450Z level=info event=group_changed node=core-1 change=open group=small.2.z members="[i-7 i-8]" reason="" term=2
time=2026-08-16T17:19:34.450Z level=info event=group_changed node=core-1 change=open group=big.4.x members="[i-1 i-2]" reason="" term=2
`

func explainRequest(t *testing.T, id string, logs ...string) string {
	var lines []Line
	for _, log := range logs {
		read, err := Read(strings.NewReader(log))
		require.NoError(t, err)
		lines = append(lines, read...)
	}
	var out strings.Builder
	require.NoError(t, Write(&out, Request(id, lines)))
	return out.String()
}

func TestExplainStreamOfLostMember(t *testing.T) {
	assert.Equal(t, `17:18:34.050 core-1 an entry reports that the group of i-1 stopped responding
17:18:34.100 edge-1 a send to i-1 of group big.4.x failed after 512.5 ms: stalled
17:18:34.200 edge-1 the stream was resumed at i-9 after event 12
17:18:34.450 core-1 group big.4.x: broken (member does not answer)
17:18:35.000 edge-1 answered with status 200 by i-9 of group big.4.y after 1500 ms, 2 sends, whole
`, explainRequest(t, "r1", keeperLog, entryLog))
}

func TestExplainRefusalAtOverload(t *testing.T) {
	assert.Equal(t, "17:18:36.000 edge-2 refused with status 503 (overloaded): no place for the request: crowded; "+
		"retry after 700 ms; the request did not run; configuration confirmed 300 ms earlier\n", explainRequest(t, "r2", entryLog))
}

func TestExplainLostAnswer(t *testing.T) {
	text := explainRequest(t, "r3", entryLog)
	assert.Contains(t, text, "a send to i-5 failed after 20 ms: cut-off\n")
	assert.Contains(t, text, "the request may have run")
	without := strings.Replace(entryLog, "event=send_failed node=edge-2 request_id=r3", "event=send_failed node=edge-2 request_id=other", 1)
	assert.NotContains(t, explainRequest(t, "r3", without), "cut-off\n", "only the line of the send contains the cause")
	assert.Empty(t, explainRequest(t, "nobody", entryLog, keeperLog))
}

// The description of a truncated stream states the last complete event, the bytes
// received of the next one and whether the caller had received anything.
func TestExplainTruncatedStream(t *testing.T) {
	const log = `time=2026-08-16T17:18:34.100Z level=info event=send_failed node=edge-1 request_id=r1 after_event="" after_ms=12 at_fault="" caller_began=false cause="unexpected EOF" doubtful=false group="" held_bytes=4 reason=cut-off reused=true send=1 sent=true target=i-1
time=2026-08-16T17:18:34.200Z level=info event=send_failed node=edge-1 request_id=r1 after_event=7 after_ms=90 at_fault="" caller_began=true cause="unexpected EOF" doubtful=false group="" held_bytes=0 reason=cut-off reused=false send=2 sent=true target=i-2
time=2026-08-16T17:18:34.300Z level=info event=stream_resumed node=edge-1 request_id=r1 asked_after=7 last_event=9 send=3 target=i-3 went_on_at=8
time=2026-08-16T17:18:34.400Z level=info event=request_answered node=edge-1 request_id=r1 events=12 first_event=1 group="" last_event=12 outcome=whole reused=true sends=3 status=200 target=i-3 took_ms=300
`
	assert.Equal(t, `17:18:34.100 edge-1 a send to i-1 failed after 12 ms: cut-off, before any event with 4 bytes of the next event; the caller had received nothing
17:18:34.200 edge-1 a send to i-2 failed after 90 ms: cut-off, after event 7
17:18:34.300 edge-1 the stream was resumed at i-3: requested after event 7, it started with event 8
17:18:34.400 edge-1 answered with status 200 by i-3 after 300 ms, 3 sends, whole, 12 events from 1 to 12
`, explainRequest(t, "r1", log))
}

// A request that was refused because of stated limits, at an entry without a path of its own.
func TestExplainStatedLimitsAndLostPath(t *testing.T) {
	log := `time=2026-08-16T17:18:30.000Z level=info event=upstream_limit_stated node=edge-1 born=7 last_stated_ms=0 limit_per_s=2.8 limited=true upstream=i-1 was_limited=false was_per_s=0
time=2026-08-16T17:18:31.000Z level=info event=upstream_limit_stated node=edge-1 born=7 last_stated_ms=0 limit_per_s=3 limited=true upstream=i-2 was_limited=false was_per_s=0
time=2026-08-16T17:18:32.000Z level=warn event=upstream_path_lost node=edge-2 failures=3 upstream_address=10.0.0.1:1
time=2026-08-16T17:18:33.000Z level=warn event=upstream_path_lost node=edge-3 failures=3 upstream_address=10.0.0.1:1
time=2026-08-16T17:18:34.000Z level=info event=request_refused node=edge-2 request_id=r1 account=a class=c config_age_ms=300 detail="no place for the request: limits-stated" kind=overloaded limited="i-1 2.8/s 310 ms ago" may_have_run=false outcome=not-run queued_ms=0 retry_after_ms=700 sends=0 status=503
time=2026-08-16T17:18:35.000Z level=info event=upstream_path_back node=edge-2 lost_for_ms=3000
time=2026-08-16T17:18:36.000Z level=info event=upstream_limit_stated node=edge-1 born=7 last_stated_ms=40 limit_per_s=0 limited=false upstream=i-1 was_limited=true was_per_s=2.8
`
	assert.Equal(t, `17:18:30.000 edge-1 i-1 states that it takes 2.8 requests a second
17:18:32.000 edge-2 this entry lost its path to the upstreams; it uses tunnels through other entries
17:18:34.000 edge-2 refused with status 503 (overloaded): no place for the request: limits-stated; retry after 700 ms; the request did not run; configuration confirmed 300 ms earlier
17:18:35.000 edge-2 this entry has its path to the upstreams again, after 3000 ms
17:18:36.000 edge-1 i-1 no longer states a limit
`, explainRequest(t, "r1", log))
	lines, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	assert.Equal(t, "upstreams had stated how many requests they take, and no other had capacity: i-1 2.8/s 310 ms ago (waited 0 ms)", Cause(Request("r1", lines)))
}

// A request that was refused because the bodies of others filled the entry's memory.
func TestExplainRefusalForBodyMemory(t *testing.T) {
	lines, err := Read(strings.NewReader(`time=2026-08-16T17:18:36.000Z level=info event=request_refused node=edge-2 request_id=r1 account=a class=c config_age_ms=300 detail="the bodies of open requests hold 62850000 of 74448896 bytes, which leaves too little for this one (length 4190000)" kind=overloaded outcome=not-run retry_after_ms=700 status=503
`))
	require.NoError(t, err)
	assert.Equal(t, "the entry had no memory left for the request's body: the bodies of open requests hold 62850000 of 74448896 bytes, which leaves too little for this one (length 4190000)", Cause(Request("r1", lines)))
}
