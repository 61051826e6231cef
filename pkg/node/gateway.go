package node

import (
	"github.com/samber/do/v2"

	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/configwatch"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/gateway"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/limits"
	"github.com/masticmount/masticmount/pkg/quarantine/evidence"
	"github.com/masticmount/masticmount/pkg/regionlog"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/settings"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

func (n *Node) provideEvidence(i do.Injector) (*evidence.Store, error) {
	options := evidence.Options{NodeID: n.settings.Node.ID, Metrics: do.MustInvoke[*telemetry.Registry](i), Log: n.log}
	if n.settings.Has(settings.RoleKeeper) {
		options.Folder = n.settings.Node.DataFolder
		options.Leads = func() bool { return do.MustInvoke[*keeper.Keeper](i).Status().Role == regionlog.Leader }
	}
	return evidence.New(options), nil
}

func (n *Node) provideGateway(i do.Injector) (*gateway.Gateway, error) {
	return gateway.New(gateway.Options{
		Config:    do.MustInvoke[*configwatch.Watcher](i).Config,
		KeeperAge: do.MustInvoke[*configwatch.Watcher](i).KeeperAge,
		View:      do.MustInvoke[*domain.Domain](i).View,
		Metrics:   do.MustInvoke[*telemetry.Registry](i),
		Limiter:   do.MustInvoke[*limits.Limiter](i),
		Scheduler: do.MustInvoke[scheduling.Scheduler](i),
		Claims:    do.MustInvoke[*claims.Replicated](i),
		Client:    do.MustInvoke[*dispatch.Client](i),
		Evidence:  do.MustInvoke[*evidence.Store](i),
		// The settings do not tell which peers are entries.
		Entries: len(n.settings.Peers),
		Log:     n.log,

		ReportFailure:   do.MustInvoke[*domain.Domain](i).ReportFailure,
		DefaultDeadline: n.settings.Callers.DefaultDeadline.Std(),
		MaxBodyBytes:    n.settings.Callers.MaxBodyBytes,
		ReadTimeout:     n.settings.Callers.ReadTimeout.Std(),
	}), nil
}
