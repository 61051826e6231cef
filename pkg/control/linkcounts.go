package control

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

// linkReportInterval is the least time between two lines on the links of entries.
const linkReportInterval = time.Second

// linkCounts counts the links of entries and what they carry.
type linkCounts struct {
	open, begun, ended, updates, updateBytes atomic.Int64
}

// linkTotals are the counts at one time.
type linkTotals struct{ begun, ended, updates, updateBytes int64 }

func (c *linkCounts) begin() {
	c.open.Add(1)
	c.begun.Add(1)
}

func (c *linkCounts) end() {
	c.open.Add(-1)
	c.ended.Add(1)
}

// sent counts an update by its size before compression.
func (c *linkCounts) sent(u *peerpb.FleetUpdate) {
	c.updates.Add(1)
	c.updateBytes.Add(int64(proto.Size(u)))
}

func (c *linkCounts) totals() linkTotals {
	return linkTotals{c.begun.Load(), c.ended.Load(), c.updates.Load(), c.updateBytes.Load()}
}

// linkReporter reports the links at most once per linkReportInterval. Only the event loop uses it.
type linkReporter struct {
	at   time.Time
	last linkTotals
}

// reportLinks updates the counters of links, and logs them if links began or ended since the last report.
func (c *Control) reportLinks(now time.Time) {
	r := &c.linkReporter
	if now.Sub(r.at) < linkReportInterval {
		return
	}
	before, totals := r.last, c.links.totals()
	r.at, r.last = now, totals
	c.opts.Metrics.Set("entry_links", c.links.open.Load())
	c.opts.Metrics.Add("entry_links_begun", totals.begun-before.begun)
	c.opts.Metrics.Add("entry_updates", totals.updates-before.updates)
	c.opts.Metrics.Add("entry_update_bytes", totals.updateBytes-before.updateBytes)
	if totals.begun == before.begun && totals.ended == before.ended {
		return
	}
	c.opts.Log.Info().Int64("open", c.links.open.Load()).Int64("begun", totals.begun-before.begun).Int64("ended", totals.ended-before.ended).
		Int64("updates", totals.updates-before.updates).Int64("update_bytes", totals.updateBytes-before.updateBytes).Msg("entry_links")
}
