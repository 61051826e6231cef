package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
)

// restartedTarget returns a placer whose only target served a request and restarted since.
func restartedTarget(t *testing.T, before func(p *Placer, old *attach.Target)) (p *Placer, old, next *attach.Target) {
	first := groupTarget("x", "fd-a")
	p = placerWith(first)
	old = mustPlace(t, p, 1)
	before(p, old)
	second := first
	second.StartTime++
	p.Update(start, &attach.View{Targets: []attach.Target{second}})
	return p, old, &second
}

func TestRestartedTargetStartsWithoutBackoff(t *testing.T) {
	for name, before := range map[string]func(p *Placer, old *attach.Target){
		"failed": func(p *Placer, old *attach.Target) { p.RecordFailure(start, old) },
		"paused": func(p *Placer, old *attach.Target) { p.BackOffUntil(old, start.Add(time.Minute)) },
	} {
		p, old, next := restartedTarget(t, before)
		placed := p.Submit(start, testWork(2, 0))
		require.NotNil(t, placed.Target, name)
		assert.Equal(t, next.StartTime, placed.Target.StartTime, name)
		require.NotNil(t, p.Submit(start, testWork(3, 0)).Target, "%s: not limited to one probe", name)
		assert.Equal(t, 3, p.targets[targetKey(next)].ownRequests, "%s: slots of the earlier incarnation are held until released", name)
		p.Release(start, old)
		assert.Equal(t, 2, p.targets[targetKey(next)].ownRequests, name)
	}
}

// Results of requests to an earlier incarnation that end after the restart must not count
// for the current one.
func TestResultsOfEarlierIncarnationAreIgnored(t *testing.T) {
	p, old, next := restartedTarget(t, func(p *Placer, old *attach.Target) { p.RecordAnswer(start, old) })
	now := start.Add(time.Millisecond)
	assertNoEvidence := func() {
		assert.False(t, p.AnsweredSince(next, start.Add(-time.Second)))
		assert.False(t, p.AnsweredSince(old, start.Add(-time.Second)))
		var r reports
		r.init()
		assert.Empty(t, r.takeEvidence(now, true, p))
	}
	assertNoEvidence()
	p.RecordAnswer(now, old)
	assertNoEvidence()
	p.RecordEventGap(now, old, time.Minute)
	assert.Zero(t, p.targets[targetKey(next)].eventGap)
	p.RecordFailure(now, old)
	p.BackOffUntil(old, now.Add(time.Minute))
	require.NotNil(t, p.Submit(now, testWork(2, 0)).Target)
	p.RecordAnswer(now, next)
	assert.True(t, p.AnsweredSince(next, start))
}
