package control

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
	"github.com/masticmount/masticmount/pkg/regionlog/storage"
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

// Guards against engines that crash again after all nodes of a region have restarted.
func TestCrashEvidenceSurvivesRestart(t *testing.T) {
	folder := t.TempDir()
	before := newControl(t)
	before.opts.DataFolder = folder
	before.LoadCrashEvidence()
	assert.Zero(t, before.crashCount(), "an empty folder")
	ctx, stop := context.WithCancel(t.Context())
	stored := make(chan struct{})
	go func() {
		before.storeCrashEvidence(ctx)
		close(stored)
	}()
	before.mergeCrashEvidence(crashOf("a"))
	require.Eventually(t, func() bool {
		_, err := os.Stat(filepath.Join(folder, evidence.File))
		return err == nil
	}, 10*time.Second, time.Millisecond)
	stop()
	<-stored

	after := newControl(t)
	after.opts.DataFolder = folder
	after.LoadCrashEvidence()
	assert.Equal(t, 1, after.crashCount())
}

func TestStoredCrashEvidenceAgesWhileNodeIsDown(t *testing.T) {
	c := newControl(t)
	c.opts.DataFolder = t.TempDir()
	payload, err := proto.Marshal(&peerpb.StoredCrashEvidence{StoredMs: time.Now().Add(-5 * time.Minute).UnixMilli(), Evidence: crashOf("a")})
	require.NoError(t, err)
	require.NoError(t, storage.WriteFile(c.opts.DataFolder, evidence.File, payload))
	c.LoadCrashEvidence()
	evidence, _ := c.encodeCrashEvidence(0)
	require.Len(t, evidence.GetCrashes(), 1)
	assert.InDelta(t, 5*time.Minute.Milliseconds(), float64(evidence.GetCrashes()[0].GetAgeMs()), 60_000)
}

func TestDamagedCrashEvidenceDoesNotStopKeeper(t *testing.T) {
	c := newControl(t)
	c.opts.DataFolder = t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(c.opts.DataFolder, evidence.File), []byte("torn"), 0o600))
	c.LoadCrashEvidence()
	assert.Zero(t, c.crashCount())
}
