package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	costSuite = "policy-cost"
	// decisions is the number of timed decisions.
	decisions = 200_000
	// maxDecision is the target of issue 5 for a routing decision.
	maxDecision       = 5 * time.Microsecond
	decisionUpstreams = 320
	costRole          = "entry"
)

// runPolicyCost measures the cost of a decision over the number of groups, of
// waiting requests and of requests per second.
func runPolicyCost(_ context.Context, r *Report) error {
	perGroups := Slope{Role: costRole, Name: "processor time of a routing decision", Unit: "ns", Per: "groups per domain"}
	memory := Slope{Role: costRole, Name: "memory of the routing table", Unit: "bytes", Per: "groups per domain"}
	for _, n := range []int{20, 40, 80, 160, decisionUpstreams} {
		cost := timeDecisions(n)
		perGroups.Points = append(perGroups.Points, Point{float64(n), float64(cost.each.Nanoseconds())})
		memory.Points = append(memory.Points, Point{float64(n), tableMemory(n)})
		if n == decisionUpstreams {
			r.AddAtMost(costSuite, fmt.Sprintf("routing decision, %d groups", n), float64(cost.each.Nanoseconds()), float64(maxDecision.Nanoseconds()), "ns")
			r.AddAtMost(costSuite, fmt.Sprintf("allocations in a routing decision, %d groups", n), cost.allocations, 0, "count")
		}
	}
	r.AddSlope(perGroups)
	r.AddSlope(memory)
	r.AddSlope(queueCost())
	r.AddSlope(queueMemory())
	r.AddSlope(rateCost())
	return nil
}

func costRoute() *state.Route {
	return &state.Route{Name: "all", Requests: labels.Everything(), Groups: labels.Everything()}
}

func costView(groups, slots int) *domain.View {
	v := &domain.View{}
	for i := range groups {
		name := fmt.Sprintf("fd/captions/%03d", i)
		v.Groups = append(v.Groups, &domain.Group{
			Name: name, Service: modelService, Kind: api.UpstreamEngine, FailureDomain: "fd", Whole: true, Generation: 1,
			Labels:  map[string]string{"pool": "captions"},
			Members: []domain.Member{{ID: name, ReportedAt: modelEpoch, Load: api.Load{Slots: slots}}},
		})
	}
	return v
}

func costTable(groups int) *routing.Table {
	t := routing.NewTable(routing.Options{FailureDomain: "fd", Rand: rand.New(rand.NewPCG(policySeed, 0))})
	t.Update(modelEpoch, costView(groups, modelSlots))
	return t
}

// decisionCost is the cost of one routing decision.
type decisionCost struct {
	each        time.Duration
	allocations float64
}

func timeDecisions(groups int) decisionCost {
	t := costTable(groups)
	request := &routing.PickRequest{
		Route: costRoute(), Request: &routing.Request{Service: modelService, Prompt: "describe"}, Prefix: routing.PrefixOf("describe"),
	}
	t.Pick(modelEpoch, request)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for range decisions {
		t.Pick(modelEpoch, request)
	}
	each := time.Since(start) / decisions
	runtime.ReadMemStats(&after)
	// The integer division drops allocations of the runtime itself, which are fewer
	// than one per thousand decisions.
	return decisionCost{each: each, allocations: float64((after.Mallocs - before.Mallocs) / decisions)}
}

func tableMemory(groups int) float64 {
	var kept *routing.Table
	used := heapGrowth(func() { kept = costTable(groups) })
	runtime.KeepAlive(kept)
	return used
}

// heapGrowth returns the heap bytes that are still allocated after fill.
func heapGrowth(fill func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// queueSizes returns the queue lengths at which costs are measured.
func queueSizes() []int { return []int{256, 512, 1024, 2048, queueLimit - 1} }

func costCore() *scheduling.Core {
	c := scheduling.NewCore(scheduling.Options{
		FailureDomain: "fd", Rand: rand.New(rand.NewPCG(policySeed, 0)), QueueLimit: queueLimit, ShortRequestPolicy: scheduling.DefaultShortRequestPolicy,
	})
	c.Step(modelEpoch, scheduling.ViewChanged{View: costView(modelGroups, modelSlots)})
	return c
}

func costRequest(i int, route *state.Route) scheduling.Request {
	return scheduling.Request{
		Request: routing.Request{Account: fmt.Sprintf("account%d", i%10), Class: "caption", Service: modelService},
		Route:   route, Worth: i % 3, Weight: 1 + i%2, Size: 100, Resumable: true, Deadline: modelEpoch.Add(time.Hour),
	}
}

// fullQueue returns a core with all slots taken and n queued requests, and the
// identifier of the last request.
func fullQueue(n int) (c *scheduling.Core, last scheduling.ID) {
	c = costCore()
	route := costRoute()
	for i := range modelGroups*modelSlots + n {
		last++
		c.Step(modelEpoch, scheduling.Submit{ID: last, Request: costRequest(i, route)})
	}
	return c, last
}

// queueCost measures the time to finish one request and submit another over the
// queue length.
func queueCost() Slope {
	s := Slope{Role: costRole, Name: "processor time of admission for a request", Unit: "ns", Per: "requests waiting per node"}
	const rounds = 2000
	for _, n := range queueSizes() {
		c, last := fullQueue(n)
		route := costRoute()
		running := make([]scheduling.ID, 0, modelGroups*modelSlots)
		for id := range modelGroups * modelSlots {
			running = append(running, scheduling.ID(id+1))
		}
		start := time.Now()
		for i := range rounds {
			done := running[i]
			for _, a := range c.Step(modelEpoch, scheduling.Finish{ID: done, Report: scheduling.Report{Tokens: 100, Duration: time.Second}}) {
				if started, ok := a.(scheduling.Start); ok {
					running = append(running, started.ID)
				}
			}
			last++
			c.Step(modelEpoch, scheduling.Submit{ID: last, Request: costRequest(i, route)})
		}
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(start).Nanoseconds()) / rounds})
	}
	return s
}

func queueMemory() Slope {
	s := Slope{Role: costRole, Name: "memory of waiting requests", Unit: "bytes", Per: "requests waiting per node"}
	for _, n := range queueSizes() {
		var kept *scheduling.Core
		used := heapGrowth(func() { kept, _ = fullQueue(n) })
		runtime.KeepAlive(kept)
		s.Points = append(s.Points, Point{float64(n), used})
	}
	return s
}

// rateCost measures the share of a core that admission and routing use over the
// request rate, with all groups of a failure domain behind the entry.
func rateCost() Slope {
	s := Slope{Role: costRole, Name: "processor time of admission and routing", Unit: "cores", Per: "requests/s per node"}
	const seconds = 10
	for _, rate := range []int{100, 200, 400, 800, 1600} {
		c := scheduling.NewCore(scheduling.Options{
			FailureDomain: "fd", Rand: rand.New(rand.NewPCG(policySeed, 0)), QueueLimit: queueLimit, ShortRequestPolicy: scheduling.DefaultShortRequestPolicy,
		})
		c.Step(modelEpoch, scheduling.ViewChanged{View: costView(decisionUpstreams, modelSlots)})
		route := costRoute()
		start := time.Now()
		for i := range rate * seconds {
			id := scheduling.ID(i + 1)
			c.Step(modelEpoch, scheduling.Submit{ID: id, Request: costRequest(i, route)})
			if i >= rate {
				c.Step(modelEpoch, scheduling.Finish{ID: id - scheduling.ID(rate), Report: scheduling.Report{Tokens: 100, Duration: time.Second}})
			}
		}
		s.Points = append(s.Points, Point{float64(rate), time.Since(start).Seconds() / seconds})
	}
	return s
}
