package bench

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/masticmount/masticmount/pkg/loadgen"
	"github.com/masticmount/masticmount/pkg/settings"
)

const (
	pathSuite = "path"
	// The load of short requests that measures added latency.
	shortRate = 1000
	shortTime = 5 * time.Second
	// shortRounds is the number of direct and entry runs. They alternate, so that
	// both see the same conditions on the machine.
	shortRounds                = 3
	maxAddedP50                = 0.5
	maxAddedP99                = 3.0
	pathEngines                = 8
	pathSlots                  = 512
	pathSeed                   = 20261204
	microsecondsPerMillisecond = 1000.0
	// The load of streams that measures the time between tokens.
	streamCount    = 350
	streamInterval = 10 * time.Millisecond
	streamTokens   = 1000
	minTokenRate   = 30_000
	minStreamKept  = 0.97
)

func pathClasses() []loadgen.Class {
	return []loadgen.Class{{
		Name: "lookup", Accounts: []loadgen.Account{{Name: "lookup", Weight: 1}}, Share: 1, Tokens: 1, MaxTokens: 1, Deadline: time.Minute,
	}}
}

// runPath measures the overhead of one entry compared with the same load sent
// directly to the fake engines.
func runPath(ctx context.Context, r *Report) error {
	if err := addedLatency(ctx, r); err != nil {
		return err
	}
	return streamedTokens(r)
}

func addedLatency(ctx context.Context, r *Report) error {
	h, err := newHarness(harnessOptions{policy: settings.PolicyWeighted, engines: pathEngines, slots: pathSlots, classes: pathClasses()})
	if err != nil {
		return err
	}
	defer h.close()
	arrivals := loadgen.Generate(loadgen.Plan{
		Seed: pathSeed, Capacity: shortRate, Classes: pathClasses(), Phases: []loadgen.Phase{{Duration: shortTime, Load: 1}},
	})
	warmUp := arrivals[:len(arrivals)/10]
	h.shortLoad(ctx, newShortResult(), warmUp, h.callers())
	h.shortLoad(ctx, newShortResult(), warmUp, h.engines...)
	direct, entry := newShortResult(), newShortResult()
	for range shortRounds {
		h.shortLoad(ctx, direct, arrivals, h.engines...)
		h.shortLoad(ctx, entry, arrivals, h.callers())
	}
	for _, q := range []struct {
		name             string
		quantile, target float64
	}{{"p50", 0.5, maxAddedP50}, {"p99", 0.99, maxAddedP99}} {
		directLatency, entryLatency := millis(direct.latencies.Quantile(q.quantile)), millis(entry.latencies.Quantile(q.quantile))
		r.AddValue(pathSuite, "short requests, straight to the fakes, "+q.name, directLatency, "ms")
		r.AddValue(pathSuite, "short requests, through one entry, "+q.name, entryLatency, "ms")
		r.AddAtMost(pathSuite, "added by one entry, "+q.name, entryLatency-directLatency, q.target, "ms")
	}
	r.AddValue(pathSuite, "short requests offered a second", float64(len(arrivals))/shortTime.Seconds(), "1/s")
	r.AddAtMost(pathSuite, "short requests failed, straight and through the entry", float64(direct.failed.Load()+entry.failed.Load()), 0, "count")
	return nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / microsecondsPerMillisecond }

// shortResult holds the latencies and failures of short requests.
type shortResult struct {
	latencies *loadgen.Recorder
	failed    atomic.Int64
}

func newShortResult() *shortResult { return &shortResult{latencies: loadgen.NewRecorder()} }

// shortLoad sends the arrivals to the addresses in round-robin order. Latencies
// count from the time at which each request was due.
func (h *harness) shortLoad(ctx context.Context, res *shortResult, arrivals []loadgen.Arrival, addresses ...string) {
	var next atomic.Int64
	loadgen.Run(ctx, arrivals, func(_ context.Context, a loadgen.Arrival, due time.Time) {
		address := addresses[next.Add(1)%int64(len(addresses))]
		if !h.chat(address, a.Account.Name, a.Tokens, false, func() {}) {
			res.failed.Add(1)
			return
		}
		res.latencies.Record(time.Since(due))
	})
}

// streamedTokens measures the time between tokens of many concurrent streams.
func streamedTokens(r *Report) error {
	h, err := newHarness(harnessOptions{
		policy: settings.PolicyWeighted, engines: pathEngines, slots: pathSlots, interval: streamInterval, classes: pathClasses(),
	})
	if err != nil {
		return err
	}
	defer h.close()
	direct := h.streamLoad(h.engines...)
	entry := h.streamLoad(h.callers())
	for _, q := range []struct {
		name     string
		quantile float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		r.AddValue(pathSuite, "time between tokens, straight to the fakes, "+q.name, millis(direct.gaps.Quantile(q.quantile)), "ms")
		r.AddValue(pathSuite, "time between tokens, through one entry, "+q.name, millis(entry.gaps.Quantile(q.quantile)), "ms")
	}
	r.AddValue(pathSuite, "streamed tokens a second, straight to the fakes", direct.rate, "1/s")
	r.AddAtLeast(pathSuite, "streamed tokens a second, through one entry / straight", entry.rate/direct.rate, minStreamKept, "ratio")
	r.AddAtLeast(pathSuite, "streamed tokens a second, through one entry", entry.rate, minTokenRate, "1/s")
	r.AddAtMost(pathSuite, "streams that were not whole", float64(direct.failed+entry.failed), 0, "count")
	return nil
}

// streamResult is the result of many concurrent streams.
type streamResult struct {
	gaps   *loadgen.Recorder
	rate   float64
	failed int64
}

func (h *harness) streamLoad(addresses ...string) streamResult {
	res := streamResult{gaps: loadgen.NewRecorder()}
	var tokens, failed atomic.Int64
	var all sync.WaitGroup
	start := time.Now()
	for i := range streamCount {
		all.Go(func() {
			last := time.Time{}
			complete := h.chat(addresses[i%len(addresses)], pathClasses()[0].Name, streamTokens, true, func() {
				now := time.Now()
				if !last.IsZero() {
					res.gaps.Record(now.Sub(last))
				}
				last = now
				tokens.Add(1)
			})
			if !complete {
				failed.Add(1)
			}
		})
	}
	all.Wait()
	res.rate, res.failed = float64(tokens.Load())/time.Since(start).Seconds(), failed.Load()
	return res
}
