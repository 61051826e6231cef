package control

import (
	"context"
	"time"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
	"github.com/masticmount/masticmount/pkg/quarantine/report"
)

const (
	// evidenceWriteInterval is the shortest time between two writes of it.
	evidenceWriteInterval = time.Second
)

// LoadCrashEvidence reads the evidence that this keeper stored before it restarted. Without it a
// restart of all nodes would let each part crash engines again. Call it before Run.
func (c *Control) LoadCrashEvidence() {
	if c.opts.DataFolder == "" {
		return
	}
	stored, downtime, err := evidence.Read(c.opts.DataFolder)
	if err != nil {
		c.opts.Log.Error().Err(err).Msg("crash_evidence_not_read")
		return
	}
	c.mu.Lock()
	c.crashes.Merge(boottime.Now().Add(-downtime), stored)
	c.mu.Unlock()
	c.reportQuarantines()
}

// storeCrashEvidence writes the evidence to the data folder after each change, until ctx ends.
// A failed write is repeated.
func (c *Control) storeCrashEvidence(ctx context.Context) {
	if c.opts.DataFolder == "" {
		return
	}
	for {
		select {
		case <-c.evidenceChanged:
		case <-ctx.Done():
			return
		}
		for {
			err := c.writeCrashEvidence()
			if err != nil {
				c.opts.Log.Error().Err(err).Msg("crash_evidence_not_stored")
			}
			select {
			case <-time.After(evidenceWriteInterval):
			case <-ctx.Done():
				return
			}
			if err == nil {
				break
			}
		}
	}
}

func (c *Control) writeCrashEvidence() error {
	known, _ := c.encodeCrashEvidence(0)
	return evidence.Write(c.opts.DataFolder, known)
}

// mergeCrashEvidence adds evidence that an entry or another keeper sent, and passes on what was
// new to all entries and keepers.
func (c *Control) mergeCrashEvidence(e *peerpb.CrashEvidence) {
	if e == nil {
		return
	}
	c.mu.Lock()
	changed := c.crashes.Merge(boottime.Now(), e)
	if changed {
		c.changes.bump()
	}
	c.mu.Unlock()
	if changed {
		c.reportQuarantines()
		// Each link adds the evidence that it has not carried yet.
		c.relays.push(&peerpb.RelayBatch{})
		select {
		case c.evidenceChanged <- struct{}{}:
		default:
		}
	}
}

// encodeCrashEvidence returns the evidence that was added after a version, and the version now.
func (c *Control) encodeCrashEvidence(after uint64) (*peerpb.CrashEvidence, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.Encode(boottime.Now(), after)
}

// trialGrantDelay is the time after which a new leader knows the trials that the one before it granted.
const trialGrantDelay = time.Second

// grantTrials grants the trials of quarantined contents that are due, while this keeper leads the region log.
func (c *Control) grantTrials(now time.Time) {
	if now.Sub(c.leadsSince) < trialGrantDelay {
		return
	}
	c.mu.Lock()
	granted := c.crashes.GrantTrials(now)
	if len(granted) > 0 {
		c.changes.bump()
	}
	c.mu.Unlock()
	if len(granted) == 0 {
		return
	}
	for _, t := range granted {
		c.opts.Metrics.Add("quarantine.trials_granted", 1)
		c.opts.Log.Info().Str("part", t.Content).Str("entry", t.Node).Uint32("number", t.Number).Uint32("begun_before", t.BegunBefore).Msg("quarantine_trial_granted")
	}
	c.relays.push(&peerpb.RelayBatch{})
	select {
	case c.evidenceChanged <- struct{}{}:
	default:
	}
}

// reportQuarantines logs the quarantines that began or ended, and updates the gauges.
func (c *Control) reportQuarantines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Changes(boottime.Now(), c.crashes, c.opts.Metrics, c.opts.Log)
}
