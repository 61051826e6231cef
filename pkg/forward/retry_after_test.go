package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/document"
)

// fullPlacer returns a placer whose only group has as many requests as it takes.
func fullPlacer(t *testing.T) (p *Placer, held *attach.Target) {
	p = placerWith(groupTarget("one", "fd-a"))
	for id := range uint64(groupLimit) {
		held = mustPlace(t, p, id)
	}
	return p, held
}

// A refused caller is told when the work that is queued before it will be done, however much time it has itself.
func TestRetryAfterIsWhenQueuedWorkIsDone(t *testing.T) {
	const slots = groupLimit - engineQueueDepth
	p, held := fullPlacer(t)
	refused := func(left time.Duration) time.Duration {
		w := testWork(99, time.Hour)
		w.EndBy = start.Add(left)
		placed := p.Submit(start, w)
		require.Equal(t, NoTimeToWait, placed.Reason)
		return placed.RetryAfter
	}
	for ahead := range uint64(6) {
		want := time.Duration(ahead+1) * time.Second / slots
		for _, left := range []time.Duration{0, time.Millisecond, 450 * time.Millisecond} {
			assert.InEpsilon(t, want, refused(left), 0.01, "%d ahead, %s left", ahead, left)
		}
		require.True(t, p.Submit(start, testWork(10+ahead, 0)).Waiting)
	}
	p.Release(start, held)
	assert.InEpsilon(t, 6*time.Second/slots, refused(0), 0.01, "one of them was served")
}

// While no target takes work, a caller is told when the first one is expected to.
func TestRetryAfterWithoutTargetIsWhenOneIsExpected(t *testing.T) {
	two := &attach.View{Targets: []attach.Target{groupTarget("one", "fd-a"), groupTarget("two", "fd-a")}}
	submit := func(p *Placer) time.Duration {
		w := testWork(1, 0)
		// The caller has no time to wait for it.
		w.ReplacementTime, w.EndBy = 1900*time.Millisecond, start
		placed := p.Submit(start, w)
		require.Nil(t, placed.Target)
		require.False(t, placed.Waiting)
		return placed.RetryAfter
	}
	for name, c := range map[string]struct {
		prepare func(p *Placer)
		want    time.Duration
	}{
		"none known": {func(p *Placer) { p.Update(start, &attach.View{}) }, 1900 * time.Millisecond},
		"one backs off": {func(p *Placer) {
			p.Update(start, &attach.View{Targets: two.Targets[:1]})
			p.RecordFailure(start, &two.Targets[0])
		}, initialBackoff},
		"the first of two": {func(p *Placer) {
			p.BackOffUntil(&two.Targets[0], start.Add(3*time.Second))
			p.BackOffUntil(&two.Targets[1], start.Add(700*time.Millisecond))
		}, 700 * time.Millisecond},
	} {
		p := placerWith(two.Targets...)
		c.prepare(p)
		assert.Equal(t, c.want, submit(p), name)
	}
}

// A model without a group gets one once engines that hold its weights have joined it and it is open.
func TestReplacementTimeIsThatOfTheModel(t *testing.T) {
	inBubble(t, nil, func(h *harness) {
		model := &document.Model{WarmLoadTime: 1600 * time.Millisecond}
		engine := &document.Service{Engine: &document.Engine{OpenTime: 300 * time.Millisecond}}
		assert.Equal(t, 1900*time.Millisecond, h.entry.replacementTime(&request{service: engine, model: model}))
		assert.Equal(t, h.entry.opts.AnnounceInterval, h.entry.replacementTime(&request{service: &document.Service{}}))
	})
}

// Callers that differ only in the time that they have left are told the same time, over TCP.
func TestRefusedCallersAreToldTheSameTime(t *testing.T) {
	h := newSocketHarness(t)
	h.entry.UpdateView(&attach.View{})
	told := map[string]bool{}
	for i, left := range []time.Duration{5 * time.Second, 4649 * time.Millisecond, time.Second, 20 * time.Millisecond} {
		resp := <-h.call(fmt.Sprint("caller-", i), left)
		require.Equal(t, 503, resp.StatusCode)
		told[resp.Header.Get("Retry-After")] = true
	}
	assert.Equal(t, map[string]bool{fmt.Sprintf("%.2f", h.entry.opts.AnnounceInterval.Seconds()): true}, told)
}

// A body that finds no memory does when as much of what is held was released, at the rate at which bodies are.
func TestBodyMemoryIsExpectedWhenBodiesAreReleased(t *testing.T) {
	m := bodyMemory{limit: 1000}
	require.True(t, m.reserve(400))
	require.True(t, m.reserve(200))
	require.False(t, m.reserve(300))
	assert.Equal(t, time.Second, m.expectedWait(300, 3*time.Second), "none was released yet: held for as long again")
	for range 200 {
		m.recordHold(600 * time.Millisecond)
	}
	assert.InEpsilon(t, 200*time.Millisecond, m.expectedWait(300, 3*time.Second), 0.01, "a third of 600 is missing")
	assert.InEpsilon(t, 600*time.Millisecond, m.expectedWait(3000, 3*time.Second), 0.01, "all that is held")
	assert.Zero(t, m.expectedWait(100, 3*time.Second))
}
