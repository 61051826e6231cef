package forward

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/attach"
)

// A request waits for its turn while it can still be answered in its caller's time, and no longer.
func TestRequestWaitsForItsTurnWhileItsCallerHasTime(t *testing.T) {
	const run = 4 * time.Second
	for name, c := range map[string]struct {
		left   string
		status int
		within time.Duration
	}{
		"its turn comes in time":        {"Test-Left: 4900", http.StatusOK, 2 * run},
		"its turn comes just in time":   {"Test-Left: 4200", http.StatusOK, 2 * run},
		"its time ends before its turn": {"Test-Left: 2500", http.StatusServiceUnavailable, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			inBubble(t, map[string]script{"a:1": func(*http.Request, string, net.Conn) (string, bool) {
				if runs.Add(1) == 1 {
					<-time.After(run)
				}
				return answer(200, "ok"), true
			}}, func(h *harness) {
				defer h.occupied()()
				began := time.Now()
				resp, _, err := h.call("POST", "/repeat/x", "text", c.left)
				require.NoError(t, err)
				assert.Equal(t, c.status, resp.StatusCode)
				assert.LessOrEqual(t, time.Since(began), c.within)
				<-time.After(run)
			})
		})
	}
}

// Once a service is known to take longer than a caller has, a request that would have to wait there is refused at once.
func TestRequestThatCannotBeAnsweredInTimeIsRefusedAtOnce(t *testing.T) {
	const run = time.Second
	inBubble(t, map[string]script{"a:1": func(*http.Request, string, net.Conn) (string, bool) {
		<-time.After(run)
		return answer(200, "ok"), true
	}}, func(h *harness) {
		_, _, err := h.call("POST", "/repeat/x", "text")
		require.NoError(t, err)
		<-h.received
		defer h.occupied()()
		began := time.Now()
		resp, _, err := h.call("POST", "/repeat/x", "text", "Test-Left: 800")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		assert.Zero(t, time.Since(began))
		assert.Equal(t, "1.00", resp.Header.Get("Retry-After"), "the run before it")
		assert.Contains(t, h.explain("r1"), "0 requests waited before it for this entry's part of 1 slots: expected wait 1000 ms, own time 1000 ms, caller's time ")
		resp, _, err = h.call("POST", "/repeat/x", "text", "Test-Left: 4000")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
	})
}

// What requests are expected to take is learned from those that ended: for engines in proportion to their size, for plain services, whose
// requests tell no size, as a mean. Before the first one nothing is known, and no request is refused for it.
func TestExpectedServiceTimeIsLearned(t *testing.T) {
	target := groupTarget("one", "fd-a")
	p := placerWith(target)
	w := testWork(1, 0)
	assert.Equal(t, w.ServiceTime, p.ExpectedServiceTime(w), "by its size")
	for range 100 {
		p.RecordServiceTime(&target, 2*time.Second, 3*time.Second)
	}
	assert.Equal(t, 1500*time.Millisecond, p.ExpectedServiceTime(w))

	desk := plainTarget("a", "fd-a")
	plain := Work{Service: "desk", EndBy: start}
	p = placerWith(desk)
	for id := range uint64(3) {
		plain.ID = id
		require.NotNil(t, p.Submit(start, plain).Target)
	}
	assert.Zero(t, p.ExpectedServiceTime(plain))
	assert.True(t, p.Submit(start, plain).Waiting)
	p.Cancel(start, plain)
	p.RecordServiceTime(&desk, 0, 40*time.Millisecond)
	assert.Equal(t, 40*time.Millisecond, p.ExpectedServiceTime(plain))
	assert.Equal(t, NoTimeToWait, p.Submit(start, plain).Reason)
}

// Where no target takes work for a time that is known, a request waits for the first one if that leaves its caller time, and is refused at
// once otherwise.
func TestRequestWaitsForTargetThatTakesWorkAgain(t *testing.T) {
	const away = 2 * time.Second
	target := groupTarget("one", "fd-a")
	view := &attach.View{Targets: []attach.Target{target}}
	for name, c := range map[string]struct {
		leave  func(p *Placer)
		reason Reason
	}{
		"it failed":        {func(p *Placer) { p.BackOffUntil(&target, start.Add(away)) }, NoTarget},
		"it wants no work": {func(p *Placer) { p.Pause(start, incarnationOf(&target), away) }, Paused},
	} {
		p := placerWith(target)
		c.leave(p)
		w := testWork(1, 0)
		at, found := p.nextTarget(start, &w)
		require.True(t, found, name)
		assert.LessOrEqual(t, at.Sub(start), away+away/10, name)
		w.EndBy = at.Add(w.ServiceTime)
		placed := p.Submit(start, w)
		require.True(t, placed.Waiting, name)
		assert.Equal(t, at, placed.NextTarget, name)
		assert.Empty(t, p.Update(at.Add(-time.Millisecond), view), name)
		grants := p.ExamineWaiting(at)
		require.Len(t, grants, 1, name)
		assert.NotNil(t, grants[0].Target, name)

		p = placerWith(target)
		c.leave(p)
		at, _ = p.nextTarget(start, &w)
		w.EndBy = at.Add(w.ServiceTime - time.Millisecond)
		refused := p.Submit(start, w)
		assert.Equal(t, c.reason, refused.Reason, name)
		assert.Equal(t, at.Sub(start), refused.RetryAfter, name)

		w.EndBy, w.Excluded = start.Add(time.Minute), []string{target.ID}
		assert.Equal(t, c.reason, p.Submit(start, w).Reason, "%s: the request was sent there before", name)
	}
}

// A caller that has time is served over TCP by an upstream that wanted no work for a moment.
func TestCallerWaitsForUpstreamThatWantsNoWorkForAMoment(t *testing.T) {
	h := newSocketHarness(t)
	target := h.entry.opts.View().Targets[0]
	h.entry.observePause(incarnationOf(&target), 100*time.Millisecond)
	answered := h.call("caller", 5*time.Second)
	select {
	case id := <-h.received:
		assert.Equal(t, "caller", id)
	case resp := <-answered:
		require.Fail(t, "not sent", "status %d, Retry-After %s", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	h.proceed <- struct{}{}
	assert.Equal(t, http.StatusOK, (<-answered).StatusCode)
}

// A request whose send failed is sent again where its caller has the time that such requests are known to take, however little that is, and
// not otherwise.
func TestRequestIsSentAgainWhileItsCallerHasTime(t *testing.T) {
	for name, c := range map[string]struct {
		run, breaksAfter time.Duration
		left             string
		status, sends    int
	}{
		"little time, for less work": {10 * time.Millisecond, 60 * time.Millisecond, "Test-Left: 150", http.StatusOK, 2},
		"much time, for more work":   {time.Second, 100 * time.Millisecond, "Test-Left: 800", http.StatusBadGateway, 1},
		"just enough time":           {500 * time.Millisecond, 100 * time.Millisecond, "Test-Left: 610", http.StatusOK, 2},
		"not quite enough time":      {500 * time.Millisecond, 100 * time.Millisecond, "Test-Left: 590", http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			upstream := func(*http.Request, string, net.Conn) (string, bool) {
				if runs.Add(1) == 2 {
					<-time.After(c.breaksAfter)
					return "", false
				}
				<-time.After(c.run)
				return answer(200, "ok"), true
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				_, _, err := h.call("POST", "/repeat/x", "text")
				require.NoError(t, err)
				resp, _, err := h.call("POST", "/repeat/x", "text", c.left)
				require.NoError(t, err)
				assert.Equal(t, c.status, resp.StatusCode)
				assert.Len(t, h.received, 1+c.sends)
			})
		})
	}
}

// A stream gets a second run when its first event takes longer than it usually does: early where that is soon, and not at all where an
// upstream only takes the time that it needs.
func TestStreamIsSentAgainWhenItsFirstEventIsOverdue(t *testing.T) {
	for name, c := range map[string]struct {
		usual, silent time.Duration
		within        time.Duration
		runs          int32
	}{
		"quick service, silent upstream": {20 * time.Millisecond, 4 * time.Second, time.Second, 2},
		"slow service":                   {2 * time.Second, 2 * time.Second, 2100 * time.Millisecond, 1},
		"slow service, silent upstream":  {2 * time.Second, 4900 * time.Millisecond, 4800 * time.Millisecond, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			var learned atomic.Bool
			upstream := func(_ *http.Request, _ string, conn net.Conn) (string, bool) {
				_, _ = fmt.Fprintf(conn, streamHead, "p")
				if runs.Add(1) == 1 && learned.Load() {
					<-time.After(c.silent)
				} else {
					<-time.After(c.usual)
				}
				return chunk(event(1)) + "0\r\n\r\n", true
			}
			inBubble(t, map[string]script{"a:1": upstream, "b:1": upstream}, func(h *harness) {
				for range 10 {
					_, _, err := h.call("POST", "/stream/x", "prompt")
					require.NoError(t, err)
				}
				runs.Store(0)
				learned.Store(true)
				began := time.Now()
				_, body, err := h.call("POST", "/stream/x", "prompt")
				require.NoError(t, err)
				assert.Equal(t, event(1), body)
				assert.LessOrEqual(t, time.Since(began), c.within)
				assert.Equal(t, c.runs, runs.Load())
				<-time.After(c.silent)
			})
		})
	}
}

// A request whose upstream may have crashed waits for the verdict no longer than leaves its caller the time for another send.
func TestVerdictIsAwaitedWithinTheCallersTime(t *testing.T) {
	const left, before = 150 * time.Millisecond, 5
	var runs atomic.Int32
	var broken atomic.Value
	upstreamAt := func(address string) script {
		return func(*http.Request, string, net.Conn) (string, bool) {
			if runs.Add(1) == before+1 {
				broken.Store(address)
				<-time.After(50 * time.Millisecond)
				return "", false
			}
			<-time.After(10 * time.Millisecond)
			return answer(200, "ok"), true
		}
	}
	inBubble(t, map[string]script{"a:1": upstreamAt("a:1"), "b:1": upstreamAt("b:1"), "c:1": upstreamAt("c:1")}, func(h *harness) {
		for range before {
			_, _, err := h.call("POST", "/repeat/x", "other")
			require.NoError(t, err)
		}
		h.dialError = func(address string) error {
			if address == broken.Load() {
				// The probes of the check take long.
				<-time.After(time.Second)
			}
			return nil
		}
		began := time.Now()
		resp, _, err := h.call("POST", "/repeat/x", "text", fmt.Sprint("Test-Left: ", left.Milliseconds()))
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		assert.LessOrEqual(t, time.Since(began), left)
		<-time.After(5 * time.Second)
	})
}
