package node

import (
	"github.com/samber/do/v2"

	"github.com/masticmount/masticmount/pkg/configwatch"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

func (n *Node) provideDomain(i do.Injector) (*domain.Domain, error) {
	others, err := n.otherNodes(do.MustInvoke[*peers.Dialer](i))
	if err != nil {
		return nil, err
	}
	w := do.MustInvoke[*configwatch.Watcher](i)
	return domain.New(domain.Options{
		Node:          n.settings.Node.ID,
		FailureDomain: n.settings.Node.FailureDomain,
		Peers:         others,
		OrderSender:   do.MustInvoke[*dispatch.Client](i),
		CrashEvidence: do.MustInvoke[*evidence.Store](i),
		Config:        func() *state.Config { return confirmedConfig(w) },
		Metrics:       do.MustInvoke[*telemetry.Registry](i),
		Log:           n.log,
	}), nil
}

// confirmedConfig returns the configuration in force, or nil while the node has no
// confirmation that it is the latest.
func confirmedConfig(w *configwatch.Watcher) *state.Config {
	if !w.Ready() {
		return nil
	}
	return w.Config()
}

// otherNodes returns the other nodes of the region with the connections to them.
func (n *Node) otherNodes(dialer *peers.Dialer) ([]domain.Peer, error) {
	var others []domain.Peer
	for _, p := range n.settings.Peers {
		if p.ID == n.settings.Node.ID {
			continue
		}
		conn, err := dialer.Dial(p.Address)
		if err != nil {
			return nil, err
		}
		others = append(others, domain.Peer{ID: p.ID, FailureDomain: p.FailureDomain, Conn: conn})
	}
	return others, nil
}
