package node

import (
	"context"
	"fmt"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/configwatch"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/settings"
	"github.com/masticmount/masticmount/pkg/state"
	"github.com/masticmount/masticmount/pkg/telemetry"
	"github.com/masticmount/masticmount/pkg/tlsconf"
)

func (n *Node) provideKeeper(i do.Injector) (*keeper.Keeper, error) {
	feed := do.MustInvoke[*configwatch.Feed](i)
	machine := do.MustInvoke[*state.Machine](i)
	self, _ := n.settings.Self()
	return keeper.New(keeper.Options{
		Machine:   machine,
		OnApplied: func(uint64) { feed.Notify(machine.Revision()) },
		NodeID:    n.settings.Node.ID,
		Address:   self.Address,
		Folder:    n.settings.Node.DataFolder,
		Keepers: lo.Map(n.settings.Keepers(), func(p settings.Peer, _ int) keeper.Peer {
			return keeper.Peer{NodeID: p.ID, Address: p.Address}
		}),
		Dialer:  do.MustInvoke[*peers.Dialer](i),
		Metrics: do.MustInvoke[*telemetry.Registry](i),
		Log:     n.log,
	}), nil
}

// ForceNewQuorum makes the stopped keeper of the settings the only voter of the region log, as
// keeper.ForcedQuorum does.
func ForceNewQuorum(ctx context.Context, s settings.Settings, gone []string) error {
	tlsConfig, err := tlsconf.Load(s.TLS)
	if err != nil {
		return err
	}
	dialer := peers.NewDialer(tlsConfig.PeerClient())
	defer dialer.Close()
	return keeper.ForcedQuorum{Folder: s.Node.DataFolder, NodeID: s.Node.ID, Gone: gone, Dialer: dialer}.Run(ctx)
}

// keeperOperator returns the client through which operators administer the region
// log; a keeper lists itself as the first address.
func (n *Node) keeperOperator(dialer *peers.Dialer) *keeper.Operator {
	addresses := lo.Map(n.settings.Keepers(), func(p settings.Peer, _ int) string { return p.Address })
	if self, ok := n.settings.Self(); ok && self.Keeper {
		addresses = append([]string{self.Address}, lo.Without(addresses, self.Address)...)
	}
	return &keeper.Operator{Addresses: addresses, Dial: dialer.Dial}
}

// regionLog is the node's participation in the region log.
type regionLog interface {
	Register(s grpc.ServiceRegistrar)
	// TransferLeadership transfers the leadership if this node is the leader.
	TransferLeadership()
	Close()
}

// noRegionLog is the regionLog of a node that is not a keeper.
type noRegionLog struct{}

func (noRegionLog) Register(grpc.ServiceRegistrar) {}
func (noRegionLog) TransferLeadership()            {}
func (noRegionLog) Close()                         {}

// openRegionLog opens the keeper's files if the node is a keeper.
func (n *Node) openRegionLog() (regionLog, error) {
	if !n.settings.Has(settings.RoleKeeper) {
		return noRegionLog{}, nil
	}
	k := do.MustInvoke[*keeper.Keeper](n.injector)
	if err := k.Open(); err != nil {
		return nil, fmt.Errorf("open the region log: %w", err)
	}
	return k, nil
}
