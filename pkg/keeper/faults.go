package keeper

import (
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/regionlog"
)

const (
	// retryAfter is the delay after which a rejected caller may retry.
	retryAfter   = time.Second
	resendRemedy = "send the command again with the same identifier"
)

// noQuorum rejects a command that certainly was not committed.
func noQuorum() *fault.Error {
	return fault.New(fault.NoQuorum,
		"send the change to a node that reaches a majority of keepers, or restore the links to a majority of keepers; the current configuration stays in effect",
		"no leader of the region log is reachable from this keeper").WithRetryAfter(retryAfter)
}

// outcomeUnknown reports that the command may have been committed.
func outcomeUnknown(cause error) *fault.Error {
	return fault.New(fault.NoQuorum, resendRemedy+"; restore a majority of keepers if it fails again",
		"the region log did not confirm the command in time").
		WithOutcome(fault.Unknown).WithRetryAfter(retryAfter).WithCause(cause)
}

// notCommitted reports that another entry was committed at the command's index.
func notCommitted() *fault.Error {
	return fault.New(fault.NoQuorum, resendRemedy, "the leader changed before the command was committed").WithRetryAfter(retryAfter)
}

func stoppingFault() *fault.Error {
	return fault.New(fault.Stopping, "send the command to another keeper", "this keeper is stopping").WithRetryAfter(retryAfter)
}

// refusal converts an error of the protocol, for which nothing was appended, to a
// fault.
func refusal(err error) *fault.Error {
	var invalid *regionlog.InvalidChangeError
	switch {
	case errors.As(err, &invalid):
		return fault.New(fault.InvalidRequest, "see 'masticmount keepers status' and correct the change", "%v", err)
	case errors.Is(err, regionlog.ErrOverloaded):
		return overloaded()
	case errors.Is(err, regionlog.ErrQuorumAtRisk):
		return fault.New(fault.NoQuorum, "restore the other keepers first", "%v", err)
	case errors.Is(err, regionlog.ErrNoLearnerReady):
		return fault.New(fault.InvalidRequest, "start another keeper and wait until 'masticmount keepers status' shows it at the commit", "%v", err)
	case errors.Is(err, regionlog.ErrTermNotCommitted), errors.Is(err, regionlog.ErrTransferring):
		return fault.New(fault.NoQuorum, "wait a second and send the command again", "%v", err).WithRetryAfter(retryAfter)
	case errors.Is(err, regionlog.ErrNotCaughtUp), errors.Is(err, regionlog.ErrChangePending):
		return fault.New(fault.Conflict, "wait a second and send the change again", "%v", err).WithRetryAfter(retryAfter)
	default:
		return noQuorum().WithCause(err)
	}
}

// asFault returns a fault unchanged and converts an error of the protocol to one.
func asFault(err error) *fault.Error {
	var f *fault.Error
	if errors.As(err, &f) {
		return f
	}
	return refusal(err)
}

func overloaded() *fault.Error {
	return fault.New(fault.Overloaded, "retry later", "the region log has too many queued commands").WithRetryAfter(retryAfter)
}

// statusOf converts a fault to a gRPC status that carries all its fields.
func statusOf(err error) error {
	f := fault.From(err)
	s, detailErr := status.New(codes.Unavailable, f.Error()).WithDetails(&peerpb.ProposeFault{
		Kind: string(f.Kind), Detail: f.Detail, Remedy: f.Remedy,
		Outcome: string(f.Outcome), RetryAfterMs: f.RetryAfter.Milliseconds(),
	})
	if detailErr != nil {
		return status.Error(codes.Unavailable, f.Error())
	}
	return s.Err()
}

// FaultOf returns the fault carried by the error of a keeper's response. A call that
// failed without a response may have been committed.
func FaultOf(err error) *fault.Error {
	for _, detail := range status.Convert(err).Details() {
		if f, ok := detail.(*peerpb.ProposeFault); ok {
			return fault.New(fault.Kind(f.GetKind()), f.GetRemedy(), "%s", f.GetDetail()).
				WithOutcome(fault.Outcome(f.GetOutcome())).WithRetryAfter(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
		}
	}
	return outcomeUnknown(err)
}
