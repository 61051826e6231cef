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

// refusalTime is the part at the end of the stop timeout in which the requests that are still in
// flight are refused; a tenth of it at most.
const refusalTime = time.Second

// drainer ends the requests in flight.
type drainer interface {
	// Drain waits until they have ended or ctx is done.
	Drain(ctx context.Context) (left int)
	// RefuseRemaining refuses those that have not ended, until ctx is done.
	RefuseRemaining(ctx context.Context) (left int)
}

// drain waits for the requests in flight and refuses those that would not end before ctx does, so
// that each gets an answer or a refusal. It returns the number of those that got neither.
func (n *Node) drain(ctx context.Context, requests drainer) (left int) {
	timeout := n.settings.Stop.Timeout.Std()
	deadline, _ := ctx.Deadline()
	drainCtx, cancel := context.WithDeadline(ctx, deadline.Add(-min(refusalTime, timeout/10)))
	defer cancel()
	left = requests.Drain(drainCtx)
	if left == 0 {
		return 0
	}
	n.log.Warn().Int("requests", left).Msg("requests_refused_at_stop")
	return requests.RefuseRemaining(ctx)
}
