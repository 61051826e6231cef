package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/pkg/settings"
)

// TestStopOrder checks that the readiness check fails first, that the hand-over steps
// run after the balancer wait while requests are still accepted, and that requests in
// flight are drained last.
func TestStopOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = 2 * time.Second
		n := &Node{log: zerolog.Nop(), settings: settings.Settings{Stop: settings.Stop{
			BalancerWait: settings.Duration(wait), Timeout: settings.Duration(time.Minute),
		}}}
		n.ready.Store(true)
		startedAt := time.Now()
		var order []string
		step := func(name string) {
			require.False(t, n.ready.Load())
			require.GreaterOrEqual(t, time.Since(startedAt), wait)
			order = append(order, name)
		}
		n.OnStop(StopStep{Name: "leader", Stop: func(context.Context) { step("leader") }})
		n.OnStop(StopStep{Name: "steward", Stop: func(context.Context) { step("steward") }})
		n.stop(func(ctx context.Context) int {
			step("requests")
			<-ctx.Done()
			return 1
		})
		require.Equal(t, []string{"leader", "steward", "requests"}, order)
		require.Equal(t, wait+time.Minute, time.Since(startedAt), "the shutdown ends at the timeout although requests are still in flight")
	})
}

// slowRequests end only when they are refused, except for those that cannot be.
type slowRequests struct {
	inFlight, stuck int
	refusedAt       time.Time
}

func (r *slowRequests) Drain(ctx context.Context) int {
	<-ctx.Done()
	return r.inFlight
}

func (r *slowRequests) RefuseRemaining(ctx context.Context) int {
	r.refusedAt = time.Now()
	if r.stuck > 0 {
		<-ctx.Done()
	}
	return r.stuck
}

// Guards against requests that are cut at the end of a planned stop: those that do not end by
// themselves must be refused before it.
func TestRequestsAreRefusedBeforeStopTimeout(t *testing.T) {
	for timeout, refusedAfter := range map[time.Duration]time.Duration{
		time.Minute: 59 * time.Second, 5 * time.Second: 4500 * time.Millisecond, time.Second: 900 * time.Millisecond,
	} {
		for _, stuck := range []int{0, 2} {
			synctest.Test(t, func(t *testing.T) {
				n := &Node{log: zerolog.Nop(), settings: settings.Settings{Stop: settings.Stop{Timeout: settings.Duration(timeout)}}}
				startedAt := time.Now()
				requests := &slowRequests{inFlight: 7, stuck: stuck}
				n.stop(func(ctx context.Context) int {
					left := n.drain(ctx, requests)
					require.Equal(t, stuck, left)
					return left
				})
				require.Equal(t, refusedAfter, requests.refusedAt.Sub(startedAt))
				require.LessOrEqual(t, time.Since(startedAt), timeout)
			})
		}
	}
}
