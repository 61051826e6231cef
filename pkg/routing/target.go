package routing

import (
	"math"
	"time"

	"github.com/masticmount/masticmount/pkg/domain"
)

const (
	// defaultSlots is the number of slots assumed for an upstream that reports none.
	defaultSlots = 64
	// staleAfter is the age at which the reported load of a home group is ignored.
	staleAfter = 3 * time.Second
	// spillMaxAge is the maximum age of a report for spilling work to its group.
	spillMaxAge = 10 * time.Second
	// othersSmoothing is the weight of a new report in the estimate of the requests of
	// other entries.
	othersSmoothing = 0.5
)

// tier is the locality of a group; lower tiers are chosen first.
type tier int

const (
	// home groups are those of the failure domain that are assigned to this entry.
	home tier = iota
	// neighbour groups are those assigned to the other entries of the failure domain.
	neighbour
	// remote groups belong to other failure domains.
	remote
	tiers
)

// Target is one group with this entry's requests on it. The fields that each
// decision reads of every group come first, so that they share a cache line.
type Target struct {
	hash uint64
	tier tier
	// open is false while the circuit is closed.
	open    bool
	running int
	slots   float64
	// requiredFree is the number of free slots required to admit a request.
	requiredFree float64
	// weightedOthers is the estimate in others, weighted by the age of the report.
	weightedOthers float64

	Group *domain.Group
	// present is false once the group is no longer in the view.
	present bool
	// running and runningLong count this entry's requests on the group. peakRunning and
	// previousPeak are the peaks of running since the last report and in the
	// interval before it: reports lag, so the requests they count may have ended.
	runningLong  int
	peakRunning  int
	previousPeak int
	// others is the estimate, from reports, of the requests of other entries.
	others     float64
	reportedAt time.Time
	// timePerToken is the group's time per output token in seconds; 0 if unknown.
	timePerToken float64
	// slow is true while any member is classified as slow.
	slow    bool
	breaker Breaker
}

// updateWeights updates requiredFree and weightedOthers. For home groups the
// weight of a report decays with its age, because this entry's own counts cover
// nearly all of the load. For other groups a report counts in full, and one older
// than spillMaxAge admits nothing.
func (t *Target) updateWeights(now time.Time) {
	age := now.Sub(t.reportedAt)
	if t.tier == home {
		t.requiredFree = MinFreeSlots
		t.weightedOthers = t.others * min(max(1-float64(age)/float64(staleAfter), 0), 1)
		return
	}
	t.requiredFree, t.weightedOthers = MinFreeSlots+spillMargin*t.slots, t.others
	if age > spillMaxAge {
		t.requiredFree = math.Inf(1)
	}
}

// applyReport applies the load last reported by the group's first member. Load beyond
// this entry's own requests is attributed to the other entries.
func (t *Target) applyReport(now time.Time) {
	t.slots = defaultSlots
	if len(t.Group.Members) == 0 {
		return
	}
	member := t.Group.Members[0]
	if member.Load.Slots > 0 {
		t.slots = float64(member.Load.Slots)
	}
	reportedAt := member.ReportedAt
	if reportedAt.IsZero() {
		reportedAt = now
	}
	if reportedAt.After(t.reportedAt) {
		sample := float64(max(0, member.Load.Running+member.Load.Waiting-max(t.peakRunning, t.previousPeak)))
		if t.reportedAt.IsZero() {
			t.others = sample
		}
		t.reportedAt = reportedAt
		t.others += othersSmoothing * (sample - t.others)
		t.peakRunning, t.previousPeak = t.running, t.peakRunning
	}
}

func (t *Target) free() float64 { return t.slots - float64(t.running) - t.weightedOthers }

func (t *Target) load() float64 { return (float64(t.running) + t.weightedOthers) / t.slots }
