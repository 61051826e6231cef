package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/masticmount/masticmount/pkg/coordinator"
	"github.com/masticmount/masticmount/pkg/domain"
)

const (
	groupsSuite = "groups"
	// maxControlBytes is the control traffic that one node may send, in bytes per
	// second.
	maxControlBytes = 7 * 1024
	// maxControlCPU is the CPU time that control may use, in percent of a core.
	maxControlCPU = 1.2
	// designNodes and designUpstreams are one failure domain at design size.
	designNodes     = 20
	designUpstreams = 320
	// allUpstreams is the number of upstreams of the whole system at design size.
	allUpstreams = 11000
	// timedRuns is the number of runs of each timed failure.
	timedRuns = 5
)

// Groups measures membership, the coordinator and the formation of groups.
func Groups() Suite {
	return Suite{Name: groupsSuite, Run: runGroups}
}

func runGroups(ctx context.Context, r *Report) error {
	if err := timedFailures(ctx, r); err != nil {
		return err
	}
	slopeOverNodes(r)
	slopeOverUpstreams(r)
	slopeOfView(r)
	return nil
}

// series collects the points of several slopes over the same size.
type series struct {
	role, per string
	slopes    map[string]*Slope
	order     []string
}

func newSeries(role, per string) *series {
	return &series{role: role, per: per, slopes: map[string]*Slope{}}
}

func (s *series) add(name, unit string, size, value float64) {
	slope := s.slopes[name]
	if slope == nil {
		slope = &Slope{Role: s.role, Name: name, Unit: unit, Per: s.per}
		s.slopes[name] = slope
		s.order = append(s.order, name)
	}
	slope.Points = append(slope.Points, Point{Size: size, Value: value})
}

func (s *series) addUsage(size float64, u usage) {
	s.add("cpu", "core", size, u.cpu.Seconds())
	s.add("messages sent", "1/s", size, float64(u.sent))
	s.add("messages received", "1/s", size, float64(u.received))
	s.add("bytes sent", "B/s", size, float64(u.sentBytes))
	s.add("bytes received", "B/s", size, float64(u.receivedBytes))
}

func (s *series) report(r *Report) {
	for _, name := range s.order {
		r.AddSlope(*s.slopes[name])
	}
}

// slopeOverNodes varies the number of nodes at the design number of upstreams.
func slopeOverNodes(r *Report) {
	coordinatorSeries, others := newSeries("steward", "nodes per domain"), newSeries("entry", "nodes per domain")
	for _, nodes := range []int{3, 5, 10, 15, designNodes} {
		f := newFleet(nodes, designUpstreams)
		s, o := f.measure()
		coordinatorSeries.addUsage(float64(nodes), s)
		others.addUsage(float64(nodes), o)
		if nodes == designNodes {
			reportDesign(r, f, s, o)
		}
	}
	coordinatorSeries.report(r)
	others.report(r)
}

// reportDesign adds the figures of one failure domain at design size.
func reportDesign(r *Report, f *fleet, s, o usage) {
	const percent = 100
	r.AddAtLeast(groupsSuite, "groups whole of 75, 20 nodes, 320 upstreams", float64(f.whole()), 75, "groups")
	r.AddAtMost(groupsSuite, "steward cpu, 20 nodes, 320 upstreams", s.cpu.Seconds()*percent, maxControlCPU, "% of a core")
	r.AddAtMost(groupsSuite, "entry cpu, 20 nodes, 320 upstreams", o.cpu.Seconds()*percent, maxControlCPU, "% of a core")
	r.AddAtMost(groupsSuite, "steward bytes sent, 20 nodes, 320 upstreams", float64(s.sentBytes), maxControlBytes, "B/s")
	r.AddAtMost(groupsSuite, "entry bytes sent, 20 nodes, 320 upstreams", float64(o.sentBytes), maxControlBytes, "B/s")
}

// slopeOverUpstreams varies the number of upstreams at the design number of nodes.
func slopeOverUpstreams(r *Report) {
	coordinatorSeries, others := newSeries("steward", "upstreams per domain"), newSeries("entry", "upstreams per domain")
	for _, upstreams := range []int{32, 80, 160, 240, designUpstreams} {
		f, heap := keptHeap(func() *fleet {
			f := newFleet(designNodes, upstreams)
			f.run(fleetWarmup)
			return f
		})
		others.add("memory", "B", float64(upstreams), heap/designNodes)
		s, o := f.measure()
		coordinatorSeries.addUsage(float64(upstreams), s)
		others.addUsage(float64(upstreams), o)
	}
	coordinatorSeries.report(r)
	others.report(r)
}

// slopeOfView measures the memory of upstream records and the time to build one
// view, up to all upstreams of the system in one process.
func slopeOfView(r *Report) {
	s := newSeries("view", "upstreams")
	for _, upstreams := range []int{500, 1000, 2750, 5500, allUpstreams} {
		now := time.Unix(1_000_000, 0)
		core, heap := keptHeap(func() *domain.Core { return fullCore(now, upstreams) })
		took := fastestRun(func() { core.View(now) })
		s.add("memory", "B", float64(upstreams), heap)
		s.add("time for one view", "s", float64(upstreams), took.Seconds())
		if upstreams == allUpstreams {
			r.AddValue(groupsSuite, "view of 11000 upstreams", float64(took.Microseconds()), "us")
			r.AddValue(groupsSuite, "memory of 11000 upstreams", heap/1024/1024, "MiB")
		}
		runtime.KeepAlive(core)
	}
	s.report(r)
}

// fullCore returns a core that received one announcement from each upstream, all
// in groups.
func fullCore(now time.Time, upstreams int) *domain.Core {
	core := domain.NewCore(now, domain.CoreOptions{
		Node: "a", Incarnation: 1, FailureDomain: "fd-a", Nodes: []coordinator.Node{{Node: "a", FailureDomain: "fd-a"}},
	})
	core.Step(now, domain.ConfigChanged{Config: fleetConfig(upstreams)})
	for i := range upstreams {
		e := newFleetEngine(i)
		a := &e.announcement
		a.Group, a.Generation = fmt.Sprintf("fd-a/captions/%d-1", i/fleetVMs), uint64(i/fleetVMs)+1
		a.Rank, a.Size = i%fleetVMs, fleetVMs
		core.Step(now, domain.AnnouncementReceived{Announcement: e.nextAnnouncement()})
	}
	return core
}

// fastestRun returns the shortest time of several runs.
func fastestRun(run func()) time.Duration {
	const runs = 20
	fastest := time.Hour
	for range runs {
		start := time.Now()
		run()
		fastest = min(fastest, time.Since(start))
	}
	return fastest
}
