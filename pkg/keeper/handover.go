package keeper

import (
	"context"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

const (
	// handOverTimeout limits the time in which a keeper that stops hands its vote over.
	handOverTimeout = time.Second
	// learnerWait limits the wait for a learner that does not respond: one that has just returned does soon.
	learnerWait = handOverTimeout / 2
)

// handOverOwnVote gives the vote of this keeper, which leads, to a learner that stands by, and demotes this keeper. Without a learner
// that is ready it keeps the vote.
func (k *Keeper) handOverOwnVote(ctx context.Context) {
	membership := k.view.get().status.Membership
	if k.opts.TargetVoters == 0 || !standsBy(membership) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	err := k.changeLocally(ctx, &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_DEMOTE, Identity: k.store.Identity()})
	if err != nil {
		k.opts.Log.Info().Err(err).Msg("vote_not_handed_over")
		return
	}
	k.opts.Log.Info().Uint64("identity", k.store.Identity()).Msg("vote_handed_over")
	// The next leader has to know that this keeper has its log: otherwise it would stand by only some time after its return.
	for v := k.view.get(); (v.isLeader() || v.status.Leader == 0) && v.wait(ctx); v = k.view.get() {
	}
}

// handOverVote has the leader give this keeper's vote to a learner that stands by, and make
// this keeper a learner. Whether a keeper that stops returns is not known: until then its
// vote would be missing, and with it the tolerance of one more lost disk. A keeper that
// returns goes on with its log, as a learner.
func (k *Keeper) handOverVote(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	change := &peerpb.MembershipChange{Action: peerpb.MembershipChange_ACTION_DEMOTE, Identity: k.store.Identity(), Forwarded: true}
	began := time.Now()
	for k.opts.TargetVoters > 0 {
		v := k.view.get()
		if self, ok := regionlog.FindMember(v.status.Membership, k.store.Identity()); !ok || self.GetLearner() || !standsBy(v.status.Membership) {
			return
		}
		err := k.tryLeader(ctx, v, false, leaderCall{
			local: func(ctx context.Context) error { return k.changeLocally(ctx, change) },
			remote: func(ctx context.Context, conn *grpc.ClientConn, opts ...grpc.CallOption) error {
				_, err := peerpb.NewRegionLogClient(conn).ChangeMembership(ctx, change, opts...)
				return err
			},
		})
		if err == nil {
			k.opts.Log.Info().Uint64("identity", k.store.Identity()).Msg("vote_handed_over")
			return
		}
		f := asFault(err)
		awaitsLearner := f.Kind == fault.InvalidRequest && time.Since(began) < learnerWait
		if f.Kind != fault.Conflict && !awaitsLearner && !retriable(f) {
			k.opts.Log.Info().Err(err).Msg("vote_not_handed_over")
			return
		}
		select {
		case <-time.After(leaderRetryInterval):
		case <-v.changed:
		case <-ctx.Done():
			k.opts.Log.Info().Err(err).Msg("vote_not_handed_over")
			return
		}
	}
}

// standsBy reports whether a membership has a learner that may take over any vote.
func standsBy(membership *peerpb.Membership) bool {
	return lo.ContainsBy(membership.GetMembers(), func(m *peerpb.Member) bool { return m.GetLearner() && !m.GetReplacing() })
}
