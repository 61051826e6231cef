package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/quarantine"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
)

// evidenceAge is longer than the age of the evidence of crashedBefore.
const evidenceAge = 20 * time.Second

// newQuarantineHarness returns a harness, and a function that quarantines the content of
// chatRequest(true, 12) whatever succeeded before.
func newQuarantineHarness(t *testing.T) (h *harness, quarantineChat func()) {
	var passed atomic.Int64
	h = newHarness(t, func(o *Options) {
		clock := func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
		o.Evidence = evidence.New(evidence.Options{Clock: clock, Metrics: o.Metrics, Log: o.Log})
	})
	content := quarantine.RequestContent("school", http.MethodPost, "", chatPath+"?", []byte(chatRequest(true, 12)))
	return h, func() {
		// The successes of what was sent so far precede the evidence.
		synctest.Wait()
		passed.Add(int64(evidenceAge))
		h.crashedBefore(content)
	}
}

// silentFor has an engine pause before token 4.
func silentFor(d time.Duration, before func()) func(context.Context, int) {
	return func(_ context.Context, token int) {
		if token == 4 {
			before()
			time.Sleep(d)
		}
	}
}

// Guards against a second send of content that crashes upstreams, beside a stream that is only silent.
func TestQuarantinedContentHasNoSuccessor(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h, quarantineChat := newQuarantineHarness(t)
		h.addEngine("g1", fakes.Faults{}, silentFor(3*stallTimeout, quarantineChat))
		var sends atomic.Int32
		h.addEngine("g2", fakes.Faults{}, func(context.Context, int) { sends.Add(1) })
		h.requireCompleteStream(h.chat(true, 12), 12)
		require.Zero(t, sends.Load())
	})
}

// Guards against a successor that runs on with quarantined content, and against a silent stream that
// ends with it although it has delivered.
func TestQuarantineCancelsSuccessorAlone(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h, quarantineChat := newQuarantineHarness(t)
		canceled := make(chan struct{})
		// It goes on only after its successor has ended.
		h.addEngine("g1", fakes.Faults{}, silentFor(0, func() { <-canceled }))
		began, ended := sync.OnceFunc(quarantineChat), sync.OnceFunc(func() { close(canceled) })
		second := h.addEngine("g2", fakes.Faults{}, func(ctx context.Context, _ int) {
			began()
			<-ctx.Done()
			ended()
		})
		h.requireCompleteStream(h.chat(true, 12), 12)
		synctest.Wait()
		require.EqualValues(t, 1, second.Canceled())
		require.Zero(t, h.gw.Drain(context.Background()))
	})
}

// Guards against a stream that is sent a third time, or waits until its deadline, if its content is
// quarantined after it failed, while its successor is awaited.
func TestQuarantineEndsRequestThatAwaitsItsSuccessor(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h, quarantineChat := newQuarantineHarness(t)
		resume := make(chan struct{})
		began := sync.OnceFunc(func() {
			close(resume)
			quarantineChat()
		})
		h.addEngine("g1", fakes.Faults{SkipToken: 5}, func(_ context.Context, token int) {
			if token == 5 {
				<-resume
			}
		})
		h.addEngine("g2", fakes.Faults{}, func(ctx context.Context, _ int) {
			began()
			<-ctx.Done()
		})
		start := time.Now()
		a := h.chat(true, 12)
		require.Less(t, time.Since(start), 2*stallTimeout)
		require.Contains(t, a.body, "w4 ")
		require.Contains(t, a.body, "event: error")
		require.Contains(t, a.body, `"request-quarantined"`)
		require.Contains(t, a.body, `"outcome":"unknown"`)
		require.NotContains(t, a.body, "[DONE]")
		require.Zero(t, h.gw.Drain(context.Background()))
	})
}

// Guards against evidence that is lost with the successor whose upstream crashed.
func TestCrashUnderSuccessorIsEvidence(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHarness(t, withSimulatedClock)
		c := newCrashingUpstreams(h)
		h.addEngine("g1", fakes.Faults{}, silentFor(stallTimeout+stallTimeout/2, func() {}))
		h.addGroup("g2", "captioner", "captions", api.UpstreamEngine, c.wrap("g2", fakes.NewEngine(fakes.EngineOptions{
			Describe: api.Announcement{ID: "g2"}, Slots: 64,
		}).App()))
		c.publish("g2", true)
		body := chatOf(true, crashMark)
		_ = h.send(http.MethodPost, chatPath, body)
		require.Len(t, c.crashes, 1)
		require.True(t, h.gw.opts.Evidence.Crashed("g2", 1))
	})
}
