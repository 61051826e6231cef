package main

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// evenly returns times that are evenly spread over [from, to).
func evenly(count int, from, to time.Duration) []time.Duration {
	var times []time.Duration
	for i := range count {
		times = append(times, from+time.Duration(i)*(to-from)/time.Duration(count))
	}
	return times
}

// A bound that is missed by one, or that counts in fixed windows, would let a breach pass or report one that is none.
func TestRepeatsCountAsTheRuleOfRetriesSays(t *testing.T) {
	const second = time.Second
	for name, row := range map[string]struct {
		requests, repeats []time.Duration
		excess            int
	}{
		"nothing":                              {nil, nil, -525},
		"at the slack":                         {nil, evenly(105, 0, second), 0},
		"one beyond the slack":                 {nil, evenly(106, 0, second), 5},
		"at the bound":                         {evenly(100, 0, 10*second), evenly(125, 0, 10*second), 0},
		"one beyond the bound":                 {evenly(100, 0, 10*second), evenly(126, 0, 10*second), 5},
		"one request short":                    {evenly(99, 0, 10*second), evenly(125, 0, 10*second), 1},
		"over two fixed windows":               {nil, evenly(106, 5*second, 15*second), 5},
		"a window apart":                       {nil, append(evenly(105, 0, 1), 10*second), 0},
		"just less than a window apart":        {nil, append(evenly(105, 0, 1), 10*second-1), 5},
		"requests of the window before":        {evenly(500, 0, second), evenly(205, 10*second, 11*second), 0},
		"requests of half a window before":     {evenly(500, 0, second), evenly(205, 5*second, 6*second), 0},
		"requests later than a window before":  {evenly(500, 0, second), evenly(205, 21*second, 22*second), 500},
		"requests after the repeats":           {evenly(500, 10*second, 11*second), evenly(205, 0, second), 500},
		"the window with most requests counts": {append(evenly(100, 0, second), evenly(200, 12*second, 13*second)...), evenly(145, 12500*time.Millisecond, 13*second), 0},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, row.excess, worstRepeats(row.requests, row.repeats).excess)
		})
	}
}

// A repeat that is taken for the first arrival, or an arrival that is ascribed by guess, would falsify the count.
func TestArrivalsBeyondTheFirstAreRepeatsOfTheirService(t *testing.T) {
	l := newRepeatLedger()
	l.send("desk", "a")
	l.send("kiosk", "a")
	l.send("desk", "b")
	for range 107 {
		l.arrive("desk", "a")
	}
	l.arrive("kiosk", "a")
	assert.Len(t, l.repeats["desk"], 106)
	assert.Empty(t, l.repeats["kiosk"])
	violations, _ := l.check()
	assert.Len(t, violations, 1)
	l.arrive("kiosk", "b")
	violations, margins := l.check()
	assert.Len(t, violations, 2)
	assert.Contains(t, margins, "kiosk 0 of 1 repeated")
	assert.True(t, slices.ContainsFunc(violations, func(v string) bool {
		return v == "1 arrivals at upstreams can't be ascribed to a request, the first {kiosk b}"
	}))
}
