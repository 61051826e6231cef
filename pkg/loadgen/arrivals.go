// Package loadgen generates open-loop load. A recorded seed determines the arrivals.
// Each request is sent at its scheduled time, whether or not earlier responses have
// arrived, and latencies count from the scheduled time.
package loadgen

import (
	"math/rand/v2"
	"time"
)

// Class is one kind of request.
type Class struct {
	Name string
	// Accounts are the accounts that send the class, with their weights.
	Accounts []Account
	Worth    int
	// Share is the fraction of the requests that are of this class.
	Share float64
	// Tokens is the mean response length of requests that are not stragglers.
	Tokens int
	// MaxTokens is the response length that the caller allows.
	MaxTokens int
	Deadline  time.Duration
}

// Account is one client account.
type Account struct {
	Name   string
	Weight int
}

// Phase is a time interval with one load. The load changes linearly from that of
// the previous phase within Ramp.
type Phase struct {
	Name     string
	Duration time.Duration
	Ramp     time.Duration
	// Load is the offered work divided by the capacity.
	Load float64
}

// Plan describes a whole run.
type Plan struct {
	Seed    uint64
	Classes []Class
	Phases  []Phase
	// Capacity is the tokens per second that the system can generate.
	Capacity float64
	// StragglerShare is the fraction of the requests whose response is
	// StragglerFactor times as long.
	StragglerShare  float64
	StragglerFactor int
}

// Arrival is one request of a run.
type Arrival struct {
	// At is the scheduled send time, counted from the start of the run.
	At      time.Duration
	Class   *Class
	Account Account
	// Tokens is the actual response length, which a real scheduler does not know in
	// advance.
	Tokens int
	Phase  int
}

// Generate returns the arrivals of a plan. It is deterministic.
func Generate(plan Plan) []Arrival {
	r := rand.New(rand.NewPCG(plan.Seed, 0))
	peak := plan.peak()
	requestRate := plan.Capacity / plan.meanTokens()
	var out []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / (requestRate * peak) * float64(time.Second))
		load, phase, ok := plan.loadAt(at)
		if !ok {
			return out
		}
		if r.Float64()*peak < load {
			out = append(out, plan.generateArrival(r, at, phase))
		}
	}
}

// Duration is the length of the whole run.
func (p Plan) Duration() time.Duration {
	var sum time.Duration
	for _, phase := range p.Phases {
		sum += phase.Duration
	}
	return sum
}

func (p Plan) generateArrival(r *rand.Rand, at time.Duration, phase int) Arrival {
	class := &p.Classes[0]
	for x, i := r.Float64(), 0; i < len(p.Classes); i++ {
		class = &p.Classes[i]
		if x -= class.Share; x < 0 {
			break
		}
	}
	tokens := max(1, int(float64(class.Tokens)*(0.5+r.Float64())))
	if r.Float64() < p.StragglerShare {
		tokens *= p.StragglerFactor
	}
	return Arrival{
		At: at, Class: class, Account: class.Accounts[r.IntN(len(class.Accounts))],
		Tokens: min(tokens, class.MaxTokens), Phase: phase,
	}
}

func (p Plan) peak() float64 {
	peak := 0.0
	for _, phase := range p.Phases {
		peak = max(peak, phase.Load)
	}
	return peak
}

func (p Plan) meanTokens() float64 {
	mean := 0.0
	for _, c := range p.Classes {
		mean += c.Share * float64(c.Tokens)
	}
	return mean * (1 + p.StragglerShare*float64(p.StragglerFactor-1))
}

func (p Plan) loadAt(at time.Duration) (load float64, phase int, ok bool) {
	start, before := time.Duration(0), 0.0
	for i, ph := range p.Phases {
		if i == 0 {
			before = ph.Load
		}
		if at < start+ph.Duration {
			if into := at - start; into < ph.Ramp {
				return before + (ph.Load-before)*float64(into)/float64(ph.Ramp), i, true
			}
			return ph.Load, i, true
		}
		start, before = start+ph.Duration, ph.Load
	}
	return 0, 0, false
}
