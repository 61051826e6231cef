package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// plansTried is enough to cover every failure mode with every framing.
const plansTried = 5000

func TestSameSeedGivesSamePlans(t *testing.T) {
	for run := range 50 {
		generate := func() (streamPlan, []string) {
			random := randomSource(7, strings.Repeat("r", run))
			events := generateEvents(random, "r", "stamp", 3, 20, 1)
			p := randomPlan(random, events, false, true)
			p.random = nil
			return p, events
		}
		first, events := generate()
		second, same := generate()
		assert.Equal(t, first, second)
		assert.Equal(t, events, same)
	}
}

func TestNoPlanEndsAStreamCorrectlyBeforeItsEnd(t *testing.T) {
	random := randomSource(1, "plans")
	seen, beforeFirstEvent := map[[3]int]int{}, map[failureMode]int{}
	for range plansTried {
		events := generateEvents(random, "r", "stamp", 0, 1+random.IntN(maxStreamEvents), 1)
		text := strings.Join(events, "")
		p := randomPlan(random, events, false, true)
		if !p.fails {
			assert.Equal(t, len(text), p.cut)
			continue
		}
		boundary := p.cut == 0 || strings.HasSuffix(text[:p.cut], eventEnd)
		assert.NotEqual(t, boundary, p.inside, "cut at %d", p.cut)
		ends := p.mode == failEndEarly || p.mode == failClose && p.framing == closeDelimited
		if boundary && p.cut < len(text) && ends {
			assert.Zero(t, p.cut, "%s", p.mode)
			assert.Equal(t, closeDelimited, p.framing, "%s", p.mode)
			beforeFirstEvent[p.mode]++
		}
		inside := 0
		if p.inside {
			inside = 1
		}
		seen[[3]int{int(p.mode), int(p.framing), inside}]++
	}
	assert.NotZero(t, beforeFirstEvent[failEndEarly])
	assert.NotZero(t, beforeFirstEvent[failClose])
	for mode := failClose; mode < failureModeCount; mode++ {
		for f := chunked; f < framingCount; f++ {
			if mode.completesAnswer() || (mode == failOpenChunk || mode == failGarbage) && f != chunked {
				continue
			}
			assert.NotZero(t, seen[[3]int{int(mode), int(f), 1}], "%s with framing %d inside an event", mode, f)
		}
	}
}

func TestSentPartMatchesSentBytes(t *testing.T) {
	r := &streamRun{after: 7, base: 4, events: []string{"id: 5\n\n", "id: 6\n\n"}}
	for _, row := range []struct {
		sent, id int
		part     string
		whole    bool
	}{
		{0, 5, "", false},
		{3, 5, "id:", false},
		{7, 5, "id: 5\n\n", true},
		{7, 6, "", false},
		{8, 6, "i", false},
		{14, 6, "id: 6\n\n", true},
		{14, 4, "", false},
		{14, 7, "", false},
	} {
		r.sent = row.sent
		part, whole := r.sentPart(row.id)
		assert.Equal(t, row.part, part)
		assert.Equal(t, row.whole, whole)
	}
}

func TestWrongOffsetsAreDetectable(t *testing.T) {
	random := randomSource(1, "elsewhere")
	for range 1000 {
		total := 1 + random.IntN(maxStreamEvents)
		after := random.IntN(total + 1)
		base := randomWrongOffset(random, after, total)
		if after == 0 {
			assert.Zero(t, base)
			continue
		}
		assert.NotEqual(t, after, base)
		assert.Less(t, base, total, "the run sends an event")
	}
}
