package keeper

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/peer"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

const (
	// proposeTimeout limits the wait for a commit.
	proposeTimeout = 5 * time.Second
	// noLeaderTimeout limits the wait for a leader, counted from its loss. An election
	// takes less; after it a partitioned keeper rejects calls immediately.
	noLeaderTimeout = 2 * time.Second
	// connectTimeout limits the wait for a connection to the leader.
	connectTimeout = 500 * time.Millisecond
	// leaderRetryInterval is the delay before a call is retried at a leader that was
	// not ready.
	leaderRetryInterval = 20 * time.Millisecond
)

// Propose commits one command and returns its result.
func (k *Keeper) Propose(ctx context.Context, req *peerpb.ProposeRequest) (*peerpb.ProposeResponse, error) {
	result, err := k.propose(ctx, req)
	if err != nil {
		return nil, statusOf(err)
	}
	return &peerpb.ProposeResponse{Result: result}, nil
}

func (k *Keeper) propose(ctx context.Context, req *peerpb.ProposeRequest) (*peerpb.Result, error) {
	data, err := proto.Marshal(req.GetCommand())
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "correct the command", "the command cannot be encoded").WithCause(err)
	}
	if len(data) > MaxCommandBytes {
		return nil, fault.New(fault.TooLarge, "send a smaller command", "the command has %d bytes, %d are allowed", len(data), MaxCommandBytes)
	}
	var result *peerpb.Result
	err = k.callLeader(ctx, req.GetForwarded(), leaderCall{
		local: func(ctx context.Context) (err error) {
			result, err = k.append(ctx, func(refused chan<- error, done chan<- proposalResult) event {
				return proposalEvent{data, refused, done}
			})
			return err
		},
		remote: func(ctx context.Context, conn *grpc.ClientConn, opts ...grpc.CallOption) error {
			resp, err := peerpb.NewKeeperClient(conn).Propose(ctx, &peerpb.ProposeRequest{Command: req.GetCommand(), Forwarded: true}, opts...)
			result = resp.GetResult()
			return err
		},
	})
	return result, err
}

// append passes an event that appends an entry to the log loop and waits for its
// result.
func (k *Keeper) append(ctx context.Context, newEvent func(chan<- error, chan<- proposalResult) event) (*peerpb.Result, error) {
	refused, done := make(chan error, 1), make(chan proposalResult, 1)
	if !k.events.Push(newEvent(refused, done)) {
		return nil, overloaded()
	}
	select {
	case err := <-refused:
		return nil, err
	case outcome := <-done:
		switch outcome.status {
		case committed:
			return outcome.result, nil
		case replaced:
			return nil, notCommitted()
		default:
			return nil, outcomeUnknown(nil)
		}
	case <-ctx.Done():
		return nil, outcomeUnknown(ctx.Err())
	case <-k.stopped:
		return nil, outcomeUnknown(nil)
	}
}

// leaderCall is a call that must run on the leader: local if this keeper leads,
// otherwise remote.
type leaderCall struct {
	local  func(ctx context.Context) error
	remote func(ctx context.Context, conn *grpc.ClientConn, opts ...grpc.CallOption) error
}

// callLeader runs a call on the leader. It retries only if the last attempt
// certainly changed nothing.
func (k *Keeper) callLeader(ctx context.Context, forwarded bool, call leaderCall) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		v := k.view.get()
		switch err := k.tryLeader(ctx, v, forwarded, call); {
		case err == nil:
			return nil
		case !retriable(err):
			return asFault(err)
		case !k.awaitLeader(ctx, v):
			return asFault(err)
		}
	}
}

// tryLeader makes one attempt. It returns an error of the protocol if the call
// changed nothing and may succeed at another leader.
func (k *Keeper) tryLeader(ctx context.Context, v *view, forwarded bool, call leaderCall) error {
	if f := k.failed.Load(); f != nil {
		return f
	}
	if v.isLeader() {
		return call.local(ctx)
	}
	member, ok := regionlog.FindMember(v.status.Membership, v.status.Leader)
	if !ok || forwarded {
		return &regionlog.NotLeaderError{Leader: v.status.Leader}
	}
	conn, err := k.opts.Dialer.Dial(member.GetAddress())
	if err != nil || !connected(ctx, conn) {
		return &regionlog.NotLeaderError{Leader: v.status.Leader}
	}
	var remotePeer peer.Peer
	err = call.remote(ctx, conn, grpc.Peer(&remotePeer))
	switch {
	case err == nil:
		return nil
	case remotePeer.Addr == nil:
		// The call never got a connection, so nothing was sent.
		return &regionlog.NotLeaderError{Leader: v.status.Leader}
	default:
		return FaultOf(err)
	}
}

// connected waits until the connection is established. Before that nothing is sent,
// so that a call to a stopped leader certainly changes nothing.
func connected(ctx context.Context, conn *grpc.ClientConn) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn.Connect()
	for s := conn.GetState(); s != connectivity.Ready; s = conn.GetState() {
		if s == connectivity.TransientFailure || s == connectivity.Shutdown || !conn.WaitForStateChange(ctx, s) {
			return false
		}
	}
	return true
}

// retriable reports whether a call certainly changed nothing and may succeed
// later or at another leader.
func retriable(err error) bool {
	var notLeader *regionlog.NotLeaderError
	if errors.As(err, &notLeader) || errors.Is(err, regionlog.ErrTransferring) || errors.Is(err, regionlog.ErrTermNotCommitted) {
		return true
	}
	var f *fault.Error
	return errors.As(err, &f) && f.Outcome == fault.NotRun && f.Kind == fault.NoQuorum
}

// awaitLeader waits for a view in which a call may succeed that failed before, at most
// leaderRetryInterval if a leader is known. It returns false if no leader has been known for
// noLeaderTimeout, the keeper is stopping, or ctx has ended.
func (k *Keeper) awaitLeader(ctx context.Context, v *view) bool {
	wait := leaderRetryInterval
	if v.status.Leader == 0 {
		wait = time.Until(v.leaderlessSince.Add(noLeaderTimeout))
	}
	if wait <= 0 || k.stopping.Load() {
		return false
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for next := v; next.wait(waitCtx); {
		if next = k.view.get(); next.progressedFrom(v) {
			return ctx.Err() == nil
		}
	}
	return ctx.Err() == nil && v.status.Leader != 0
}
