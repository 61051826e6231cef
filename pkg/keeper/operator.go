package keeper

import (
	"context"

	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// ReportStatus returns the status of the region log reported by its leader, or by this
// keeper if no leader is reachable, because operators need the status in that case too.
func (k *Keeper) ReportStatus(ctx context.Context, req *peerpb.LogStatusRequest) (*peerpb.LogStatus, error) {
	if k.store == nil {
		return nil, statusOf(stoppingFault())
	}
	var reported *peerpb.LogStatus
	err := k.tryLeader(ctx, k.view.get(), req.GetForwarded(), leaderCall{
		local: func(context.Context) error {
			reported = k.ownStatus()
			return nil
		},
		remote: func(ctx context.Context, conn *grpc.ClientConn, opts ...grpc.CallOption) (err error) {
			reported, err = peerpb.NewRegionLogClient(conn).ReportStatus(ctx, &peerpb.LogStatusRequest{Forwarded: true}, opts...)
			return err
		},
	})
	if err != nil {
		return k.ownStatus(), nil
	}
	return reported, nil
}

func (k *Keeper) ownStatus() *peerpb.LogStatus {
	s := k.Status()
	return &peerpb.LogStatus{
		NodeId: k.opts.NodeID, Term: s.Term, Leader: s.Leader, Commit: s.Commit,
		Membership: s.Membership, Match: s.Match, Answers: s.Active,
	}
}

// Operator is a client of the region log for operators. It uses the first keeper
// that responds.
type Operator struct {
	// Addresses of the keepers in the settings.
	Addresses []string
	Dial      func(address string) (*grpc.ClientConn, error)
}

// KeeperStatus returns the status of the region log reported by its leader.
func (o *Operator) KeeperStatus(ctx context.Context) (status *peerpb.LogStatus, err error) {
	err = o.tryEach(func(c peerpb.RegionLogClient) error {
		status, err = c.ReportStatus(ctx, &peerpb.LogStatusRequest{})
		return err
	})
	return status, err
}

// ChangeKeepers makes one membership change.
func (o *Operator) ChangeKeepers(ctx context.Context, change *peerpb.MembershipChange) error {
	return o.tryEach(func(c peerpb.RegionLogClient) error {
		_, err := c.ChangeMembership(ctx, change)
		return err
	})
}

// tryEach calls one keeper after another until a call succeeds or fails with an
// error that the other keepers would return too.
func (o *Operator) tryEach(call func(peerpb.RegionLogClient) error) error {
	last := noQuorum()
	for _, address := range o.Addresses {
		conn, err := o.Dial(address)
		if err != nil {
			continue
		}
		if err = call(peerpb.NewRegionLogClient(conn)); err == nil {
			return nil
		}
		if last = FaultOf(err); last.Kind != fault.NoQuorum && last.Kind != fault.Stopping {
			return last
		}
	}
	return last
}
