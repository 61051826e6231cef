package limits

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// demandSmoothing is the weight of the latest interval in the smoothed rate.
	demandSmoothing = 0.5
	// minDemandChange is the relative change of a demand above which it is reported.
	minDemandChange = 0.1
)

// demand is the demand of one client account on this node.
type demand struct {
	arrivals int64
	// peak is the maximum number of requests in flight since the last report, and
	// refused the number refused at the concurrency limit.
	peak, refused int64
	// smoothed is the smoothed arrival rate in requests per second.
	smoothed float64
	// sentRate and sentConcurrency are the values last reported.
	sentRate, sentConcurrency int64
}

func (d *demand) countArrival() { d.arrivals++ }

func (d *demand) countRefusal() { d.refused++ }

func (d *demand) observeInFlight(inFlight int) { d.peak = max(d.peak, int64(inFlight)) }

// closeInterval ends a report interval and returns the demand in it.
func (d *demand) closeInterval(interval time.Duration, inFlight int64) (rateMilli, concurrency int64) {
	latest := float64(d.arrivals) / interval.Seconds()
	d.smoothed += demandSmoothing * (latest - d.smoothed)
	concurrency = max(d.peak, inFlight) + d.refused
	d.arrivals, d.peak, d.refused = 0, inFlight, 0
	return int64(math.Ceil(math.Max(latest, d.smoothed) * milli)), concurrency
}

// Report returns the node's demand since the last report and acknowledges the
// grant in force by its number. interval is the time since the last report.
func (l *Limiter) Report(nodeID string, incarnation uint64, number uint64, interval time.Duration) *peerpb.ShareReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resync {
		number, l.resync = 0, false
	}
	l.limitsChanged = false
	report := &peerpb.ShareReport{NodeId: nodeID, Incarnation: incarnation, Acknowledged: number}
	names := lo.Keys(l.accounts)
	slices.Sort(names)
	for _, name := range names {
		a := l.accounts[name]
		rate, concurrency := a.demand.closeInterval(max(interval, time.Millisecond), int64(a.inFlight))
		overShare := int64(a.inFlight) > a.share.concurrency
		if number != 0 && !overShare && !significantChange(a.demand.sentRate, rate) && !significantChange(a.demand.sentConcurrency, concurrency) {
			continue
		}
		a.demand.sentRate, a.demand.sentConcurrency = rate, concurrency
		report.Demands = append(report.Demands, &peerpb.ShareDemand{
			Account: name, RateMilli: rate, Concurrency: concurrency, InFlight: int64(a.inFlight),
		})
	}
	return report
}

func significantChange(before, after int64) bool {
	return math.Abs(float64(after-before)) > minDemandChange*float64(max(before, after))
}

// Grant applies the grants received in response to a report. sentAt is when the
// report was sent.
func (l *Limiter) Grant(now, sentAt time.Time, grants *peerpb.ShareGrants) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = lease{
		sentAt: sentAt, granted: true,
		fullDuration: time.Duration(grants.GetLeaseMs()) * time.Millisecond,
		baseDuration: time.Duration(grants.GetBaseLeaseMs()) * time.Millisecond,
	}
	if grants.GetFull() {
		for _, a := range l.accounts {
			a.share = shares{}
		}
		l.removeUnlimited()
	}
	for _, g := range grants.GetGrants() {
		l.setShare(g.GetAccount(), shares{
			rateMilli: g.GetRateMilli(), concurrency: g.GetConcurrency(),
			baseRateMilli: g.GetBaseRateMilli(), baseConcurrency: g.GetBaseConcurrency(),
		})
	}
	current := l.lease.partAt(now)
	l.lease.effective = current
	for _, a := range l.accounts {
		a.setBucketRate(now, a.currentRate(current))
	}
}

// setShare stores a share, which may arrive before its limit is configured on this
// node.
func (l *Limiter) setShare(name string, s shares) {
	a := l.accounts[name]
	if a == nil {
		a = &account{}
		l.accounts[name] = a
	}
	a.share = s
	a.exemptUntil = time.Time{}
}

// removeUnlimited removes the client accounts without a limit and without requests.
func (l *Limiter) removeUnlimited() {
	for name, a := range l.accounts {
		if a.spec == (api.LimitSpec{}) && a.inFlight == 0 {
			delete(l.accounts, name)
		}
	}
}
