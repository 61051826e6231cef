package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/fakes"
	"github.com/masticmount/masticmount/pkg/limits"
	"github.com/masticmount/masticmount/pkg/state"
)

// Guards against a request that ends because its route and account were removed while it ran, or
// while its stream is resumed.
func TestRunningRequestOutlastsConfigurationChange(t *testing.T) {
	for name, first := range map[string]fakes.Faults{
		"its engine answers": {}, "its engine fails": {TruncateAfter: 7}, "its engine skips a token": {SkipToken: 8},
	} {
		for _, stream := range []bool{true, false} {
			var config atomic.Pointer[state.Config]
			config.Store(testConfig(t))
			limiter := limits.New()
			h := newHarness(t, func(o *Options) { o.Config, o.Limiter = config.Load, limiter })
			running, changed := make(chan struct{}), make(chan struct{})
			h.addEngine("g1", first, func(_ context.Context, token int) {
				if token == 5 {
					close(running)
					<-changed
				}
			})
			h.addEngine("g2", fakes.Faults{}, nil)
			received := make(chan answer, 1)
			go func() { received <- h.chat(stream, 12) }()
			<-running
			empty := &state.Config{Revision: 2}
			config.Store(empty)
			limiter.Configure(empty)
			close(changed)
			a := <-received
			require.Equal(t, http.StatusOK, a.status, "%s: %s", name, a.body)
			if stream {
				h.requireCompleteStream(a, 12)
				continue
			}
			require.Contains(t, a.body, generatedText(12))
		}
	}
}

// Guards against a waiting request that loses its place because its route and account were removed.
func TestWaitingRequestOutlastsConfigurationChange(t *testing.T) {
	for _, path := range []string{chatPath, "/grants"} {
		var config atomic.Pointer[state.Config]
		config.Store(testConfig(t))
		limiter := limits.New()
		scheduler := &holdingScheduler{queued: make(chan struct{}), held: make(chan struct{})}
		h := newHarness(t, func(o *Options) {
			o.Config, o.Limiter = config.Load, limiter
			scheduler.Scheduler, o.Scheduler = o.Scheduler, scheduler
		})
		h.addEngine("g1", fakes.Faults{}, nil)
		h.addService("d1", fakes.Faults{})
		received := make(chan answer, 1)
		go func() { received <- h.send(http.MethodPost, path, chatRequest(false, 3), HeaderIdempotencyKey, "k1") }()
		<-scheduler.queued
		empty := &state.Config{Revision: 2}
		config.Store(empty)
		limiter.Configure(empty)
		close(scheduler.held)
		a := <-received
		require.Equal(t, http.StatusOK, a.status, a.body)
		require.Equal(t, "ran", a.outcome)
	}
}
