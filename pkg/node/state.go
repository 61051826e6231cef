package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/configwatch"
	"github.com/masticmount/masticmount/pkg/keeper"
	"github.com/masticmount/masticmount/pkg/limits"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/settings"
	"github.com/masticmount/masticmount/pkg/state"
)

func (n *Node) provideWatcher(i do.Injector) (*configwatch.Watcher, error) {
	dialer := do.MustInvoke[*peers.Dialer](i)
	all := make([]configwatch.Peer, 0, len(n.settings.Peers))
	for _, p := range n.settings.Peers {
		conn, err := dialer.Dial(p.Address)
		if err != nil {
			return nil, err
		}
		all = append(all, configwatch.Peer{ID: p.ID, FailureDomain: p.FailureDomain, Keeper: p.Keeper, Conn: conn})
	}
	return configwatch.New(configwatch.Options{NodeID: n.settings.Node.ID, Peers: all, Log: n.log}), nil
}

func (n *Node) provideClaims(i do.Injector) (*claims.Replicated, error) {
	w := do.MustInvoke[*configwatch.Watcher](i)
	return claims.NewReplicated(n.settings.Node.ID, w.Propose, n.log), nil
}

func (n *Node) provideRenewer(i do.Injector) (*limits.Renewer, error) {
	w := do.MustInvoke[*configwatch.Watcher](i)
	incarnation := uint64(time.Now().UnixMilli())
	return limits.NewRenewer(do.MustInvoke[*limits.Limiter](i), n.settings.Node.ID, incarnation, w.Propose, n.log), nil
}

// provideFeed returns a feed of the configuration that the node's watcher has in
// force or, on a keeper, of the committed configuration if that is newer.
func (n *Node) provideFeed(i do.Injector) (*configwatch.Feed, error) {
	w := do.MustInvoke[*configwatch.Watcher](i)
	if !n.settings.Has(settings.RoleKeeper) {
		return configwatch.NewFeed(configwatch.Source{
			Since:     w.Since,
			KeeperAge: w.KeeperAge,
			Held: func(context.Context, bool) *peerpb.HeldResponse {
				revision := w.Config().Revision
				return &peerpb.HeldResponse{NodeId: n.settings.Node.ID, InForce: revision, Held: revision}
			},
		}), nil
	}
	contact := &leaderContact{}
	return configwatch.NewFeed(configwatch.Source{
		Since: func(revision uint64) *peerpb.WatchEvent {
			if event := n.committedSince(revision); event.GetRevision() >= w.Config().Revision {
				return event
			}
			return w.Since(revision)
		},
		KeeperAge: func() time.Duration {
			return contact.age(time.Now(), do.MustInvoke[*keeper.Keeper](n.injector).Status().Leader != 0)
		},
		Held: func(ctx context.Context, confirm bool) *peerpb.HeldResponse {
			confirmed := confirm && n.confirmCommitted(ctx)
			inForce := w.Config().Revision
			return &peerpb.HeldResponse{
				NodeId: n.settings.Node.ID, InForce: inForce, Held: max(inForce, n.committedRevision()), Confirmed: confirmed,
			}
		},
	}), nil
}

// committedSince returns the committed configuration changes after a revision.
func (n *Node) committedSince(revision uint64) (event *peerpb.WatchEvent) {
	machine := do.MustInvoke[*state.Machine](n.injector)
	do.MustInvoke[*keeper.Keeper](n.injector).Read(func() { event = machine.Since(revision) })
	return event
}

// confirmTimeout limits the wait for a quorum of keepers. It is short enough for the
// requesting node to receive the response before its own timeout.
const confirmTimeout = 500 * time.Millisecond

// confirmCommitted reports whether a quorum confirmed that this keeper has applied
// every change that was accepted before the call.
func (n *Node) confirmCommitted(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return do.MustInvoke[*keeper.Keeper](n.injector).ReadConfirmed(ctx, func() {}) == nil
}

func (n *Node) committedRevision() (revision uint64) {
	machine := do.MustInvoke[*state.Machine](n.injector)
	do.MustInvoke[*keeper.Keeper](n.injector).Read(func() { revision = machine.Revision() })
	return revision
}

// leaderContact records when a keeper last had a leader.
type leaderContact struct {
	lastSeen atomic.Pointer[time.Time]
}

// age returns the time since the keeper last had a leader. Watchers use it to switch from
// a keeper that has had no leader for a long time to another one that they can reach.
func (l *leaderContact) age(now time.Time, hasLeader bool) time.Duration {
	if hasLeader {
		l.lastSeen.Store(&now)
		return 0
	}
	last := l.lastSeen.Load()
	if last == nil {
		return configwatch.NoContact
	}
	return now.Sub(*last)
}

// inForce queries every node for its revision in force.
func inForce(ctx context.Context, w *configwatch.Watcher) []admin.NodeRevision {
	return lo.Map(w.QueryRevisions(ctx), func(r configwatch.NodeRevision, _ int) admin.NodeRevision {
		return admin.NodeRevision{
			Node: r.Peer.ID, FailureDomain: r.Peer.FailureDomain, Revision: r.InForce, Reachable: r.Reached,
		}
	})
}
