package node

import (
	"context"

	"github.com/samber/do/v2"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/configwatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/peers"
)

func (n *Node) provideAdmin(i do.Injector) (*admin.Admin, error) {
	dom := do.MustInvoke[*domain.Domain](i)
	w := do.MustInvoke[*configwatch.Watcher](i)
	return admin.New(admin.Options{
		Settings: n.settings,
		Config:   w.Config,
		Propose:  w.Propose,
		View:     dom.View,
		Announce: dom.Announce,
		Ready:    func() bool { return n.ready.Load() && w.Ready() },
		Claims:   do.MustInvoke[*claims.Replicated](i),
		Keepers:  n.keeperOperator(do.MustInvoke[*peers.Dialer](i)),
		InForce:  func(ctx context.Context) []admin.NodeRevision { return inForce(ctx, w) },
		Log:      n.log,
	}), nil
}
