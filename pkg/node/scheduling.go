package node

import (
	"hash/maphash"
	"math/rand/v2"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/admission"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/scheduling"
	"github.com/masticmount/masticmount/pkg/settings"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// maxInFlight limits the concurrent requests of an entry under the plain policy.
	maxInFlight = 4096
	// maxWaiting limits the queued requests for one set of groups.
	maxWaiting = 4096
)

func (n *Node) provideScheduler(i do.Injector) (scheduling.Scheduler, error) {
	view := do.MustInvoke[*domain.Domain](i).View
	if n.settings.Scheduling.Policy == settings.PolicyPlain {
		return &scheduling.Baseline{
			Queue:  admission.NewFIFO(maxInFlight, maxWaiting),
			Router: routing.NewLeastOutstanding(),
			View:   view,
		}, nil
	}
	entries := n.settings.DomainPeers()
	_, rank, _ := lo.FindIndexOf(entries, func(p settings.Peer) bool { return p.ID == n.settings.Node.ID })
	seed := maphash.String(maphash.MakeSeed(), n.settings.Node.ID)
	return scheduling.NewWeighted(scheduling.WeightedOptions{
		Core: scheduling.Options{
			FailureDomain:      n.settings.Node.FailureDomain,
			Entries:            len(entries),
			Rank:               rank,
			Rand:               rand.New(rand.NewPCG(seed, 0)),
			QueueLimit:         maxWaiting,
			ShortRequestPolicy: scheduling.DefaultShortRequestPolicy,
		},
		View:    view,
		Metrics: do.MustInvoke[*telemetry.Registry](i),
		Log:     n.log,
	}), nil
}
