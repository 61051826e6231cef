package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
)

func plainTarget(id, domain string) attach.Target {
	return attach.Target{ID: id, StartTime: 1, Address: id, Service: "desk", FailureDomain: domain, Slots: 2}
}

func deskWork(id uint64, isolated bool) Work {
	return Work{ID: id, Service: "desk", EndBy: start.Add(time.Minute), ServiceTime: 30 * time.Millisecond, Isolated: isolated}
}

// markCrashed has the placer know that the named upstreams have ended.
func markCrashed(p *Placer, ids ...string) {
	p.MarkCrashed(func(id string, _ uint64) bool {
		for _, crashed := range ids {
			if id == crashed {
				return true
			}
		}
		return false
	})
}

// Guards against suspects that crash several upstreams at once, as entries send them to different
// ones, or one entry sends several.
func TestSuspectsShareOneUpstreamOneAtATime(t *testing.T) {
	chosen := map[string]bool{}
	for seed, domain := range []string{"fd-a", "fd-b", "fd-c"} {
		p := NewPlacer(domain, rand.New(rand.NewPCG(uint64(seed), 1)))
		p.Update(start, &attach.View{Targets: []attach.Target{plainTarget("a", "fd-a"), plainTarget("b", "fd-b"), plainTarget("c", "fd-c")}})
		first := p.Submit(start, deskWork(1, true))
		require.NotNil(t, first.Target)
		chosen[first.Target.ID] = true
		assert.True(t, p.Submit(start, deskWork(2, true)).Waiting)
		grants := p.ReleaseIsolated(start, first.Target)
		require.Len(t, grants, 1)
		assert.Equal(t, first.Target.ID, grants[0].Target.ID)
	}
	assert.Len(t, chosen, 1, "the same at all entries")
}

// Guards against sound requests that are beside a suspect when it crashes its upstream.
func TestOtherRequestsAvoidTheUpstreamOfSuspects(t *testing.T) {
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, &attach.View{Targets: []attach.Target{plainTarget("a", "fd-a"), plainTarget("b", "fd-b")}})
	placed := p.Submit(start, deskWork(1, true))
	require.NotNil(t, placed.Target)
	assert.Equal(t, "a", placed.Target.ID)
	for id := range uint64(3) {
		assert.Equal(t, "b", p.Submit(start, deskWork(2+id, false)).Target.ID)
	}
	assert.Equal(t, "a", p.Submit(start, deskWork(5, false)).Target.ID, "where the others are full")
	p.ReleaseIsolated(start, placed.Target)
	p.RecordCrash(start, "desk")
	assert.Equal(t, "a", p.avoided(start, "desk").target.ID)
	assert.Nil(t, p.avoided(start.Add(avoidTime), "desk"))
}

// Guards against suspects that take a service's last upstream from all other requests.
func TestSuspectsLeaveAnotherUpstream(t *testing.T) {
	three := &attach.View{Targets: []attach.Target{plainTarget("a", "fd-a"), plainTarget("b", "fd-b"), plainTarget("c", "fd-c")}}
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, three)
	markCrashed(p, "a")
	assert.Equal(t, "b", p.Submit(start, deskWork(1, true)).Target.ID)
	require.True(t, p.Submit(start, deskWork(2, true)).Waiting)
	p.RecordFailure(start, &three.Targets[1])
	grants := p.ReleaseIsolated(start, &three.Targets[1])
	assert.Equal(t, []Grant{{ID: 2}}, grants, "submitted again")
	refused := p.Submit(start, deskWork(2, true))
	assert.Equal(t, NoIsolation, refused.Reason)
	assert.NotZero(t, refused.RetryAfter)
	assert.Equal(t, "c", p.Submit(start, deskWork(3, false)).Target.ID, "others are served")

	last := &attach.View{Targets: []attach.Target{plainTarget("c", "fd-c")}}
	p.Update(start.Add(3*time.Second), last)
	assert.Equal(t, NoIsolation, p.Submit(start.Add(3*time.Second), deskWork(4, true)).Reason, "the others may return")
	restarted := plainTarget("a", "fd-a")
	restarted.StartTime = 2
	p.Update(start.Add(4*time.Second), &attach.View{Targets: []attach.Target{restarted, last.Targets[0]}})
	assert.Equal(t, "a", p.Submit(start.Add(4*time.Second), deskWork(5, true)).Target.ID)
}

// A service that has only ever had one upstream serves suspects there.
func TestSuspectsOfServiceWithOneUpstreamAreServed(t *testing.T) {
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, &attach.View{Targets: []attach.Target{plainTarget("a", "fd-a")}})
	assert.Equal(t, "a", p.Submit(start, deskWork(1, true)).Target.ID)
}

// Guards against an upstream that gets no work as another entry can't reach it.
func TestUpstreamThatAnswersHasNotCrashed(t *testing.T) {
	two := &attach.View{Targets: []attach.Target{plainTarget("a", "fd-a"), plainTarget("b", "fd-b")}}
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, two)
	markCrashed(p, "a")
	assert.Equal(t, "b", p.Submit(start, deskWork(1, false)).Target.ID)
	p.RecordAnswer(start, &two.Targets[0])
	markCrashed(p, "a")
	assert.Equal(t, "a", p.Submit(start, deskWork(2, false)).Target.ID)
	assert.Equal(t, "a", p.Submit(start, deskWork(3, true)).Target.ID)
}

// Guards against suspects that wait in vain after many upstreams of a large service ended together.
func TestLargeServicesServeSeveralSuspectsAtOnce(t *testing.T) {
	v := &attach.View{}
	for i := range 3 * upstreamsPerIsolated {
		v.Targets = append(v.Targets, plainTarget(fmt.Sprintf("u-%02d", i), "fd-a"))
	}
	p := NewPlacer("fd-a", rand.New(rand.NewPCG(1, 1)))
	p.Update(start, v)
	for id := range uint64(3) {
		assert.Equal(t, "u-00", p.Submit(start, deskWork(id, true)).Target.ID)
	}
	assert.True(t, p.Submit(start, deskWork(3, true)).Waiting)
}
