package tunnel

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func downPath() *Path {
	p := &Path{}
	for i, address := range []string{"a", "b", "c"} {
		p.Failed(at(time.Duration(i)*time.Millisecond), address)
	}
	return p
}

func TestPathIsDownOnlyAfterSeveralUpstreamsFailed(t *testing.T) {
	p := &Path{}
	for range 10 {
		assert.False(t, p.Failed(start, "a"), "one upstream may have ended")
	}
	assert.False(t, p.Down())
	assert.True(t, p.Failed(start, "b"))
	assert.True(t, p.Down())
	assert.False(t, p.Failed(start, "c"), "already down")

	p = &Path{}
	p.Failed(start, "a")
	p.Failed(start, "b")
	p.Opened(start, "a")
	assert.False(t, p.Failed(start, "c"), "a connection was opened meanwhile")
	assert.False(t, p.Down())
}

// A direct path was given up although only some upstreams had ended together.
func TestPathIsUpWhileUpstreamThatAnsweredLastIsReachable(t *testing.T) {
	p := &Path{}
	p.Received(start, "sound")
	for _, address := range []string{"a", "b", "c", "d"} {
		assert.False(t, p.Failed(start, address))
	}
	assert.True(t, p.probeDue(at(time.Second)))
	assert.True(t, p.Failed(at(time.Second), "sound"))
	assert.True(t, p.Down())
}

// Guards against entries that all count their path as down, and confirm no crash to each other, because the upstream
// that answered last was among those that crashed.
func TestPathIsUpWhileAnyUpstreamThatAnsweredIsReachable(t *testing.T) {
	p := &Path{}
	for _, address := range []string{"sound", "also sound", "crashing", "crashing 2"} {
		p.Received(start, address)
	}
	for range 10 {
		for _, address := range []string{"crashing 2", "crashing", "ended"} {
			assert.False(t, p.Failed(at(time.Second), address))
		}
	}
	assert.Equal(t, "also sound", p.probeAddress(), "a probe goes to one that has not failed")
	assert.False(t, p.Failed(at(time.Second), "also sound"))
	assert.Equal(t, "sound", p.probeAddress())
	assert.True(t, p.Failed(at(time.Second), "sound"))
	assert.True(t, p.Down())
	probed := map[string]bool{}
	for i := range 2 * maxAnswered {
		require.True(t, p.probeDue(at(time.Duration(10+i)*time.Second)))
		probed[p.probeAddress()] = true
	}
	assert.Len(t, probed, maxAnswered, "all in turn while the path is down")
}

// Guards against a path that stays down as long as some upstreams crash, although others are reached.
func TestPathReturnsWhileOtherUpstreamsFail(t *testing.T) {
	p := downPath()
	for i := range recoverySuccesses {
		p.Failed(at(time.Second), "ended")
		assert.Equal(t, i == recoverySuccesses-1, p.Opened(at(time.Second), "sound"))
	}
	assert.False(t, p.Down())
}

// The path was given up, and streams depended on other entries, while all open streams went on.
func TestPathIsUpWhileOpenConnectionsBringSomething(t *testing.T) {
	p := &Path{}
	p.Received(start, "a")
	p.Failed(at(time.Millisecond), "a")
	p.Received(at(2*time.Millisecond), "a")
	for i, address := range []string{"b", "a", "c"} {
		assert.False(t, p.Failed(at(time.Duration(3+i)*time.Millisecond), address))
	}
	assert.True(t, p.Failed(at(time.Second), "a"), "nothing has come for a time")
}

func TestFailureIsTheUpstreamsOnlyIfNoOtherFails(t *testing.T) {
	p := &Path{}
	p.Failed(start, "a")
	assert.True(t, p.failedAlone("a"))
	p.Failed(start, "b")
	assert.False(t, p.failedAlone("a"))
	p.Opened(start, "a")
	assert.False(t, p.failedAlone("a"))
}

func TestPathReturnsGradually(t *testing.T) {
	p := downPath()
	assert.True(t, p.Down())
	assert.Zero(t, p.DirectShare(at(time.Second)))
	assert.False(t, p.Opened(at(time.Second), "a"))
	p.Failed(at(time.Second), "a")
	for range recoverySuccesses - 1 {
		assert.False(t, p.Opened(at(2*time.Second), "a"), "in a row")
	}
	assert.True(t, p.Opened(at(2*time.Second), "a"))
	assert.False(t, p.Down())
	assert.InDelta(t, 0.5, p.DirectShare(at(2*time.Second+recoveryTime/2)), 1e-9)
	assert.InDelta(t, 1, p.DirectShare(at(2*time.Second+2*recoveryTime)), 1e-9)
	assert.InDelta(t, 1, (&Path{}).DirectShare(start), 1e-9, "never down")
}

func TestProbesAreSpaced(t *testing.T) {
	p := downPath()
	probes := 0
	for ms := range 1000 {
		if p.probeDue(at(time.Duration(ms) * time.Millisecond)) {
			probes++
		}
	}
	assert.Equal(t, int(time.Second/probeInterval)-1, probes)
	assert.False(t, (&Path{}).probeDue(start), "up")
}

// Requests were sent on open connections that carried nothing any more.
func TestSilentConnectionsAreNotUsed(t *testing.T) {
	p := &Path{}
	p.Sent(start)
	p.Sent(at(answerTimeout))
	assert.True(t, p.ConnsUsable(at(answerTimeout)))
	assert.False(t, p.ConnsUsable(at(answerTimeout+time.Millisecond)))
	p.Received(at(time.Second), "a")
	assert.True(t, p.ConnsUsable(at(10*time.Second)), "nothing is awaited")
	p.Sent(at(10 * time.Second))
	p.Opened(at(11*time.Second), "a")
	assert.True(t, p.ConnsUsable(at(12*time.Second)), "the path works, so the upstream is slow")
}

func TestConnectionsThatSurviveAreUsed(t *testing.T) {
	p := downPath()
	p.Received(at(time.Second), "a")
	assert.True(t, p.ConnsUsable(at(time.Second+connsValidFor)))
	assert.False(t, p.ConnsUsable(at(2*time.Second+connsValidFor)))
}

func TestSilenceShowsNothingUntilPathIsProven(t *testing.T) {
	p := &Path{}
	p.Received(start, "a")
	assert.False(t, p.Proven(start))
	p.Received(at(time.Second), "a")
	assert.True(t, p.Proven(start))
	p = &Path{}
	p.Opened(at(time.Second), "a")
	assert.True(t, p.Proven(start))
}

func TestChoosePeer(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	peers := []Peer{
		{NodeID: "local", Address: "1", FailureDomain: "a", Reachable: true},
		{NodeID: "other", Address: "2", FailureDomain: "b", Reachable: true},
		{NodeID: "down", Address: "3", FailureDomain: "a"},
		{NodeID: "failed", Address: "4", FailureDomain: "a", Reachable: true},
	}
	failedAt := map[string]time.Time{"4": start}
	chosen := map[string]int{}
	for range 3000 {
		p, ok := choosePeer(random, start, "a", peers, failedAt, map[string]bool{})
		assert.True(t, ok)
		chosen[p.NodeID]++
	}
	assert.Len(t, chosen, 2)
	assert.InDelta(t, 2000, chosen["local"], 150)
	p, ok := choosePeer(random, start, "a", peers, failedAt, map[string]bool{"1": true})
	assert.True(t, ok)
	assert.Equal(t, "other", p.NodeID)
	_, ok = choosePeer(random, start, "a", peers, failedAt, map[string]bool{"1": true, "2": true})
	assert.False(t, ok)
	_, ok = choosePeer(random, at(peerBackoff), "a", peers[3:], failedAt, map[string]bool{})
	assert.True(t, ok, "asked again")
}
