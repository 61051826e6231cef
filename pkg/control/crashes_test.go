package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

func crashOf(engine string) *peerpb.CrashEvidence {
	return &peerpb.CrashEvidence{Crashes: []*peerpb.CrashRecord{{Upstream: engine, BornMs: 1, Parts: []string{"p"}, AgeMs: 10}}}
}

func (c *Control) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.Crashes()
}

// A keeper that starts while another one knows of crashes gets them with the first batch, and
// later ones as they come.
func TestCrashEvidenceReachesOtherKeepers(t *testing.T) {
	informed, restarted := newControl(t), newControl(t)
	informed.mergeCrashEvidence(crashOf("a"))
	relayTo(t, informed, restarted)
	require.Eventually(t, func() bool { return restarted.crashCount() == 1 }, 10*time.Second, time.Millisecond)
	assert.Equal(t, 1, informed.crashCount())
}

func TestCrashEvidenceIsSentOnceOnEachLink(t *testing.T) {
	c := newControl(t)
	c.handleReport(&subscriber{nodeID: "entry-1"}, &peerpb.EntryReport{CrashEvidence: crashOf("a")})
	early := &subscriber{}
	assert.Len(t, c.nextUpdate(early, true).GetCrashEvidence().GetCrashes(), 1)
	assert.Nil(t, c.nextUpdate(early, false).GetCrashEvidence())
	signal := c.changes.signal
	c.handleReport(&subscriber{nodeID: "entry-1"}, &peerpb.EntryReport{CrashEvidence: crashOf("b")})
	select {
	case <-signal:
	default:
		t.Error("new evidence must trigger an update")
	}
	update := c.nextUpdate(early, false)
	require.Len(t, update.GetCrashEvidence().GetCrashes(), 1, "only what is new")
	assert.Equal(t, "b", update.GetCrashEvidence().GetCrashes()[0].GetUpstream())
	assert.Len(t, c.nextUpdate(&subscriber{}, true).GetCrashEvidence().GetCrashes(), 2, "an entry that attaches later gets all")
	signal = c.changes.signal
	c.handleReport(&subscriber{nodeID: "entry-2"}, &peerpb.EntryReport{CrashEvidence: crashOf("b")})
	select {
	case <-signal:
		t.Error("known evidence must not trigger an update")
	default:
	}
}
