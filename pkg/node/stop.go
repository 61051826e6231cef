package node

import (
	"context"
	"time"
)

// StopStep is one step of the graceful shutdown: it ends a task or hands it over to
// another node. Work that is unfinished when ctx ends is abandoned.
type StopStep struct {
	// Name identifies the step in the log.
	Name string
	Stop func(ctx context.Context)
}

// OnStop adds a step to the graceful shutdown. The steps run sequentially in the order
// in which they were added, after the readiness check fails and the balancer wait has
// passed, and before the requests in flight are drained: a coordinator and a leader
// hand over while their node still serves.
func (n *Node) OnStop(s StopStep) { n.stopSteps = append(n.stopSteps, s) }

// stop ends the node's service without aborting requests: it fails the readiness check,
// waits for the balancer while requests are still accepted, runs the hand-over steps,
// and then refuses new requests while those in flight are drained.
func (n *Node) stop(drain func(context.Context) (left int)) {
	n.ready.Store(false)
	n.log.Info().Dur("balancer_wait_ms", n.settings.Stop.BalancerWait.Std()).Msg("node_stopping")
	<-time.After(n.settings.Stop.BalancerWait.Std())
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Stop.Timeout.Std())
	defer cancel()
	for _, s := range n.stopSteps {
		s.Stop(ctx)
		n.log.Info().Str("step", s.Name).Msg("handed_over")
	}
	if left := drain(ctx); left > 0 {
		n.log.Warn().Int("requests", left).Msg("requests_cut_off")
	}
	n.log.Info().Msg("requests_finished")
}
