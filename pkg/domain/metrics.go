package domain

import (
	"time"

	"github.com/masticmount/masticmount/pkg/telemetry"
)

// Names of the metrics that a domain publishes.
const (
	// MetricGroupDowntime is the time from the loss of a whole group until it is
	// whole again, by group specification.
	MetricGroupDowntime = "group_downtime"
	// MetricStrandedAccelerators is the number of accelerators of current engines
	// that are in no whole group.
	MetricStrandedAccelerators = "stranded_accelerators"
	metricWhole                = "groups.whole"
	metricBroken               = "groups.broken"
	metricUpstreams            = "upstreams.current"
	metricFence                = "steward.fence"
	metricAcquired             = "steward.acquired"
	metricOrderFailed          = "orders.failed"
	metricPacketsSent          = "domain.packets_sent"
	metricChanges              = "groups."
)

// metrics publishes metrics derived from views and actions.
type metrics struct {
	registry *telemetry.Registry
	// lostSince maps each group that is no longer whole to the time of its loss.
	lostSince map[string]time.Time
	// whole holds the groups that were whole in the last view.
	whole map[string]bool
}

func newMetrics(registry *telemetry.Registry) *metrics {
	return &metrics{registry: registry, lostSince: map[string]time.Time{}, whole: map[string]bool{}}
}

// observe updates the metrics from a new view.
func (m *metrics) observe(now time.Time, view *View) {
	whole := map[string]bool{}
	for _, g := range view.Groups {
		if g.Whole {
			whole[g.Name] = true
			m.recordRecovery(now, g)
		}
	}
	for name := range m.whole {
		if !whole[name] {
			m.lostSince[name] = now
		}
	}
	m.whole = whole
	m.removeDissolved(now)
	m.registry.Set(MetricStrandedAccelerators, int64(view.StrandedAccelerators))
	m.registry.Set(metricWhole, int64(len(whole)))
	m.registry.Set(metricBroken, int64(len(view.Groups)-len(whole)))
	m.registry.Set(metricUpstreams, int64(len(view.Upstreams)))
}

func (m *metrics) recordRecovery(now time.Time, g *Group) {
	since, ok := m.lostSince[g.Name]
	if !ok {
		return
	}
	delete(m.lostSince, g.Name)
	m.registry.Observe(telemetry.Series{Name: MetricGroupDowntime, Class: g.Spec}, now.Sub(since))
}

// lossRetention is how long the loss of a group is kept. A dissolved group never
// becomes whole again.
const lossRetention = time.Hour

func (m *metrics) removeDissolved(now time.Time) {
	for name, since := range m.lostSince {
		if now.Sub(since) >= lossRetention {
			delete(m.lostSince, name)
		}
	}
}

func (m *metrics) coordinatorChanged(a CoordinatorChanged) {
	m.registry.Set(metricFence, int64(a.Fence))
	if a.Fence != 0 {
		m.registry.Add(metricAcquired, 1)
	}
}

func (m *metrics) groupChanged(a GroupChanged) { m.registry.Add(metricChanges+string(a.Change), 1) }

func (m *metrics) orderFailed() { m.registry.Add(metricOrderFailed, 1) }

func (m *metrics) packetSent() { m.registry.Add(metricPacketsSent, 1) }
