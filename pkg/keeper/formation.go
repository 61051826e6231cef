package keeper

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// formationInterval is the interval at which the other keepers are queried.
	formationInterval = 200 * time.Millisecond
	// joinTimeout limits a request to be added.
	joinTimeout = time.Second
)

// runFormation forms the region log or joins an existing one while the keeper has
// no membership. The log is formed only if every keeper of the settings responds
// and none has a membership. A keeper that lost its disk finds a keeper with a
// membership and joins as a learner instead.
func (k *Keeper) runFormation(ctx context.Context) {
	ticker := time.NewTicker(formationInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		v := k.view.get()
		switch {
		case !v.formed():
			k.formOrJoin(ctx)
		case v.status.Leader == 0 && time.Since(v.leaderlessSince) > noLeaderTimeout:
			k.checkMembers(ctx)
		case v.status.Leader != 0:
			k.clearQuorumReport()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (k *Keeper) formOrJoin(ctx context.Context) {
	others := lo.Reject(k.opts.Keepers, func(p Peer, _ int) bool { return p.NodeID == k.opts.NodeID })
	answers := make([]*peerpb.Member, 0, len(others))
	for _, p := range others {
		answer, err := k.introduce(ctx, p.Address)
		if err != nil {
			continue
		}
		if answer.GetFormed() {
			k.join(ctx, p.Address, answer)
			return
		}
		answers = append(answers, &peerpb.Member{
			Identity: answer.GetIdentity(), NodeId: p.NodeID, Address: p.Address, FailureDomain: answer.GetFailureDomain(),
		})
	}
	if len(k.opts.Keepers) == 0 || k.opts.OnlyJoin {
		return
	}
	founder := slices.MinFunc(k.opts.Keepers, func(a, b Peer) int { return cmp.Compare(a.NodeID, b.NodeID) })
	if len(answers) == len(others) && founder.NodeID == k.opts.NodeID {
		k.form(answers)
	}
}

// checkMembers asks the other members why there is no leader. It stops the keeper if one
// lists its identity as removed: its own log may end before the removal and must not be used
// again.
func (k *Keeper) checkMembers(ctx context.Context) {
	var states voterStates
	for _, m := range k.Status().Membership.GetMembers() {
		if m.GetIdentity() == k.store.Identity() {
			states.add(m, &peerpb.IntroduceResponse{Identity: m.GetIdentity()})
			continue
		}
		answer, err := k.introduce(ctx, m.GetAddress())
		if err == nil && lo.Contains(answer.GetMembership().GetRemoved(), k.store.Identity()) {
			k.removedFrom.Store(answer.GetMembership())
			k.halt(fault.New(fault.Forbidden,
				"move the data folder away and start the node again: it rejoins as a learner under a new identity",
				"keeper identity %x was removed from the region log", k.store.Identity()))
			return
		}
		if err != nil {
			answer = nil
		}
		states.add(m, answer)
	}
	if k.Status().Leader == 0 && ctx.Err() == nil {
		k.reportQuorum(states)
	}
}

// form requests the formation of a log with this keeper and the others as voters.
func (k *Keeper) form(others []*peerpb.Member) {
	self := &peerpb.Member{
		Identity: k.store.Identity(), NodeId: k.opts.NodeID, Address: k.opts.Address, FailureDomain: k.opts.FailureDomain,
	}
	var data []byte
	var err error
	k.Read(func() { data, err = k.opts.Machine.Snapshot() })
	if err != nil {
		k.haltOnError(err, "encode the first snapshot")
		return
	}
	k.events.Push(formEvent{&peerpb.Membership{Members: append(others, self)}, data})
}

// join requests to be added as a learner if the membership contains an older
// identity of this node. A new node joins only with Options.TargetVoters; otherwise an
// operator adds it.
func (k *Keeper) join(ctx context.Context, address string, answer *peerpb.IntroduceResponse) {
	members := answer.GetMembership().GetMembers()
	listed := lo.ContainsBy(members, func(m *peerpb.Member) bool { return m.GetIdentity() == k.store.Identity() })
	known := lo.ContainsBy(members, func(m *peerpb.Member) bool { return m.GetNodeId() == k.opts.NodeID })
	if listed {
		return
	}
	if !known && k.opts.TargetVoters == 0 {
		k.opts.Log.Warn().Str("remedy", "masticmount keepers add "+k.opts.NodeID+" "+k.opts.Address).Msg("keeper_not_a_member")
		return
	}
	conn, err := k.opts.Dialer.Dial(address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	_, err = peerpb.NewRegionLogClient(conn).ChangeMembership(ctx, &peerpb.MembershipChange{
		Action: peerpb.MembershipChange_ACTION_ADD_LEARNER, NodeId: k.opts.NodeID,
		Address: k.opts.Address, Identity: k.store.Identity(), FailureDomain: k.opts.FailureDomain,
	})
	if refused := fmt.Sprint(err); refused != k.joinReported {
		k.joinReported = refused
		k.opts.Log.Info().Uint64("identity", k.store.Identity()).AnErr("refused", err).Msg("keeper_rejoins_as_learner")
	}
}

// introduce asks the keeper at an address who it is.
func (k *Keeper) introduce(ctx context.Context, address string) (*peerpb.IntroduceResponse, error) {
	conn, err := k.opts.Dialer.Dial(address)
	if err != nil {
		return nil, err
	}
	conn.ResetConnectBackoff()
	request := &peerpb.IntroduceRequest{NodeId: k.opts.NodeID, Identity: k.store.Identity()}
	answer, _, err := k.ask(ctx, address, request)
	if status.Code(err) == codes.Unavailable {
		// A connection to a process that was restarted fails at its first use. The
		// call has no side effects and is retried on a new connection.
		answer, _, err = k.ask(ctx, address, request)
	}
	return answer, err
}

// Introduce returns the identity and the membership of this keeper.
func (k *Keeper) Introduce(_ context.Context, req *peerpb.IntroduceRequest) (*peerpb.IntroduceResponse, error) {
	if k.store == nil {
		return nil, statusOf(stoppingFault())
	}
	if req.GetUnheard() {
		k.transport.checkConnection(req.GetIdentity(), false)
	}
	v := k.view.get()
	return &peerpb.IntroduceResponse{
		NodeId: k.opts.NodeID, Identity: k.store.Identity(), Formed: v.formed(),
		Membership: v.status.Membership, Leader: v.status.Leader, FailureDomain: k.opts.FailureDomain,
	}, nil
}
