package bench

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/loadgen"
	"github.com/masticmount/masticmount/pkg/settings"
)

const (
	liveSuite   = "policy-live"
	liveEngines = 6
	liveSlots   = 4
	// liveInterval is the time of a fake engine for one token.
	liveInterval = 10 * time.Millisecond
	liveQuiet    = 5 * time.Second
	livePeak     = 12 * time.Second
	liveAfter    = 5 * time.Second
	liveRamp     = time.Second
)

// livePlan is a smaller and shorter version of policyPlan.
func livePlan() loadgen.Plan {
	one := func(name string) []loadgen.Account { return []loadgen.Account{{Name: name, Weight: 1}} }
	return loadgen.Plan{
		Seed: policySeed, Capacity: float64(liveEngines*liveSlots) / liveInterval.Seconds(),
		StragglerShare: stragglerShare, StragglerFactor: stragglerFactor,
		Phases: []loadgen.Phase{
			{Name: "quiet", Duration: liveQuiet, Load: quietLoad},
			{Name: "crest", Duration: livePeak, Ramp: liveRamp, Load: peakLoad},
			{Name: "after", Duration: liveAfter, Ramp: liveRamp, Load: quietLoad},
		},
		Classes: []loadgen.Class{
			{Name: "lookup", Worth: 3, Share: 0.3, Tokens: 10, MaxTokens: 256, Deadline: 5 * time.Second, Accounts: one("lookup")},
			{Name: "caption", Worth: 2, Share: 0.5, Tokens: 40, MaxTokens: 1024, Deadline: 12 * time.Second, Accounts: one("caption")},
			{Name: "draft", Worth: 2, Share: 0.1, Tokens: 200, MaxTokens: 1000, Deadline: 25 * time.Second, Accounts: one("draft")},
			{Name: "tags", Worth: 1, Share: 0.1, Tokens: 150, MaxTokens: 1000, Deadline: 20 * time.Second, Accounts: one("tags")},
		},
	}
}

// liveCall is the result of one arrival on the real node.
type liveCall struct {
	arrival loadgen.Arrival
	took    time.Duration
	// complete is true if the complete response arrived within the deadline.
	complete bool
}

// runPolicyLive sends the same arrivals through a real node under each policy, over
// HTTP to fake engines on loopback.
func runPolicyLive(ctx context.Context, r *Report) error {
	arrivals := loadgen.Generate(livePlan())
	base, err := liveRun(ctx, settings.PolicyPlain, arrivals)
	if err != nil {
		return err
	}
	chosen, err := liveRun(ctx, settings.PolicyWeighted, arrivals)
	if err != nil {
		return err
	}
	baseSlowdown, slowdown := liveSlowdown(base, peakPhase), liveSlowdown(chosen, peakPhase)
	r.AddValue(liveSuite, "plain: short p99 slowdown at crest", baseSlowdown, "ratio")
	r.AddValue(liveSuite, "weighted: short p99 slowdown at crest", slowdown, "ratio")
	r.AddValue(liveSuite, "weighted: short p99 slowdown at quiet", liveSlowdown(chosen, 0), "ratio")
	r.AddAtMost(liveSuite, "short p99 slowdown at crest / baseline's", slowdown/baseSlowdown, maxSlowdownToBaseline, "ratio")
	r.AddAtMost(liveSuite, "short p99 slowdown at crest / at quiet", slowdown/liveSlowdown(chosen, 0), maxSlowdownToQuiet, "ratio")
	r.AddValue(liveSuite, "plain: answered in time", answeredShare(base), "ratio")
	r.AddValue(liveSuite, "weighted: answered in time", answeredShare(chosen), "ratio")
	r.AddAtLeast(liveSuite, "long work in time / baseline's", liveLongTokens(chosen)/liveLongTokens(base), minLongThroughput, "ratio")
	return nil
}

func liveRun(ctx context.Context, policy settings.Policy, arrivals []loadgen.Arrival) ([]liveCall, error) {
	h, err := newHarness(harnessOptions{
		policy: policy, engines: liveEngines, slots: liveSlots, interval: liveInterval, classes: livePlan().Classes,
	})
	if err != nil {
		return nil, err
	}
	defer h.close()
	var mu sync.Mutex
	var calls []liveCall
	loadgen.Run(ctx, arrivals, func(_ context.Context, a loadgen.Arrival, due time.Time) {
		complete := h.chat(h.callers(), a.Account.Name, a.Tokens, true, func() {})
		took := time.Since(due)
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, liveCall{arrival: a, took: took, complete: complete && took <= a.Class.Deadline})
	})
	return calls, nil
}

// liveSlowdown is the p99 slowdown of the short requests of a phase. A request
// without a complete response in time counts with its full deadline.
func liveSlowdown(calls []liveCall, phase int) float64 {
	short := lo.Filter(calls, func(c liveCall, _ int) bool { return c.arrival.Phase == phase && c.arrival.Tokens <= shortTokens })
	return quantile(lo.Map(short, func(c liveCall, _ int) float64 {
		took := c.took
		if !c.complete {
			took = c.arrival.Class.Deadline
		}
		return float64(took) / float64(time.Duration(c.arrival.Tokens)*liveInterval)
	}), 0.99)
}

func answeredShare(calls []liveCall) float64 {
	return float64(lo.CountBy(calls, func(c liveCall) bool { return c.complete })) / float64(len(calls))
}

func liveLongTokens(calls []liveCall) float64 {
	return lo.SumBy(calls, func(c liveCall) float64 {
		if !c.complete || c.arrival.Tokens <= shortTokens {
			return 0
		}
		return float64(c.arrival.Tokens)
	})
}
