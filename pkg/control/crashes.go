package control

import (
	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/quarantine/report"
)

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
	}
}

// encodeCrashEvidence returns the evidence that was added after a version, and the version now.
func (c *Control) encodeCrashEvidence(after uint64) (*peerpb.CrashEvidence, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes.Encode(boottime.Now(), after)
}

// reportQuarantines logs the quarantines that began or ended, and updates the gauges.
func (c *Control) reportQuarantines() {
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Changes(boottime.Now(), c.crashes, c.opts.Metrics, c.opts.Log)
}
