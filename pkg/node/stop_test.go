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
