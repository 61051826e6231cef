package keeper

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// ChangeMembership makes one membership change and returns once it is committed.
func (k *Keeper) ChangeMembership(ctx context.Context, change *peerpb.MembershipChange) (*peerpb.Membership, error) {
	membership, err := k.changeMembership(ctx, change)
	if err != nil {
		return nil, statusOf(err)
	}
	return membership, nil
}

func (k *Keeper) changeMembership(ctx context.Context, change *peerpb.MembershipChange) (*peerpb.Membership, error) {
	change, err := k.resolveIdentity(ctx, change)
	if err != nil {
		return nil, err
	}
	var membership *peerpb.Membership
	err = k.callLeader(ctx, change.GetForwarded(), leaderCall{
		local: func(ctx context.Context) error {
			err := k.changeLocally(ctx, change)
			membership = k.Status().Membership
			return err
		},
		remote: func(ctx context.Context, conn *grpc.ClientConn, opts ...grpc.CallOption) error {
			forwarded, _ := proto.Clone(change).(*peerpb.MembershipChange)
			forwarded.Forwarded = true
			var err error
			membership, err = peerpb.NewRegionLogClient(conn).ChangeMembership(ctx, forwarded, opts...)
			return err
		},
	})
	return membership, err
}

// changeLocally commits a change on the leader. A demotion takes two changes: until the
// learner has the vote, the voter keeps its own.
func (k *Keeper) changeLocally(ctx context.Context, change *peerpb.MembershipChange) error {
	if change.GetAction() == peerpb.MembershipChange_ACTION_DEMOTE {
		_, err := k.append(ctx, func(refused chan<- error, done chan<- proposalResult) event {
			return successionEvent{change.GetIdentity(), refused, done}
		})
		if err != nil {
			return err
		}
	}
	_, err := k.append(ctx, func(refused chan<- error, done chan<- proposalResult) event {
		return changeEvent{change, refused, done}
	})
	return err
}

// resolveIdentity sets the identity of a keeper to be added, if it is missing, by
// asking the keeper at the given address.
func (k *Keeper) resolveIdentity(ctx context.Context, change *peerpb.MembershipChange) (*peerpb.MembershipChange, error) {
	if change.GetAction() != peerpb.MembershipChange_ACTION_ADD_LEARNER || change.GetIdentity() != 0 {
		return change, nil
	}
	answer, err := k.introduce(ctx, change.GetAddress())
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "start the new keeper first and check its peers address",
			"no response from %s", change.GetAddress()).WithCause(err)
	}
	if answer.GetNodeId() != change.GetNodeId() {
		return nil, fault.New(fault.InvalidRequest, "correct the node or the address",
			"the keeper at %s is node %q", change.GetAddress(), answer.GetNodeId())
	}
	change, _ = proto.Clone(change).(*peerpb.MembershipChange)
	change.Identity = answer.GetIdentity()
	return change, nil
}

// ConfirmRead returns an index that covers everything committed before the call.
func (k *Keeper) ConfirmRead(ctx context.Context, req *peerpb.ConfirmReadRequest) (*peerpb.ConfirmReadResponse, error) {
	resp := &peerpb.ConfirmReadResponse{}
	err := k.callLeader(ctx, req.GetForwarded(), leaderCall{
		local: func(ctx context.Context) (err error) {
			resp.Index, err = k.confirmLocally(ctx)
			return err
		},
		remote: func(ctx context.Context, conn *grpc.ClientConn, opts ...grpc.CallOption) error {
			answer, err := peerpb.NewRegionLogClient(conn).ConfirmRead(ctx, &peerpb.ConfirmReadRequest{Forwarded: true}, opts...)
			resp.Index = answer.GetIndex()
			return err
		},
	})
	if err != nil {
		return nil, statusOf(err)
	}
	return resp, nil
}

func (k *Keeper) confirmLocally(ctx context.Context) (uint64, error) {
	done := make(chan readResult, 1)
	if !k.events.Push(readEvent{done}) {
		return 0, overloaded()
	}
	select {
	case answer := <-done:
		return answer.index, answer.err
	case <-ctx.Done():
		return 0, noQuorum().WithCause(ctx.Err())
	case <-k.stopped:
		return 0, stoppingFault()
	}
}

// ReadConfirmed runs fn once everything committed before the call is applied.
func (k *Keeper) ReadConfirmed(ctx context.Context, fn func()) error {
	resp, err := k.ConfirmRead(ctx, &peerpb.ConfirmReadRequest{})
	if err != nil {
		return FaultOf(err)
	}
	if !k.applied.wait(ctx, resp.GetIndex()) {
		return noQuorum().WithCause(ctx.Err())
	}
	k.Read(fn)
	return nil
}
