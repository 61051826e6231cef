package node

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/configwatch"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/settings"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

// gaugeInterval is the interval between updates of the gauges.
const gaugeInterval = time.Second

// runStateGauges publishes gauges of the configuration and the claims until ctx ends.
func (n *Node) runStateGauges(ctx context.Context) {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	for {
		n.setStateGauges()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) setStateGauges() {
	metrics := do.MustInvoke[*telemetry.Registry](n.injector)
	w := do.MustInvoke[*configwatch.Watcher](n.injector)
	metrics.Set("config.revision", int64(w.Config().Revision))
	metrics.Set("config.keeper_age_ms", w.KeeperAge().Milliseconds())
	quorumLost := int64(0)
	if w.QuorumLost() {
		quorumLost = 1
	}
	metrics.Set("config.quorum_lost", quorumLost)
	metrics.Set("claims.steps_unsent", int64(do.MustInvoke[*claims.Replicated](n.injector).Unsent()))
	if n.settings.Has(settings.RoleKeeper) {
		machine := do.MustInvoke[*state.Machine](n.injector)
		do.MustInvoke[*keeper.Keeper](n.injector).Read(func() { metrics.Set("claims.kept", int64(machine.Claims())) })
	}
}
