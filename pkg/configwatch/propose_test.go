package configwatch

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

// fakeKeeper is a connection that answers proposals without a network.
type fakeKeeper struct {
	grpc.ClientConnInterface
	err   error
	calls int
}

func (k *fakeKeeper) Invoke(_ context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	k.calls++
	if k.err == nil {
		response, _ := reply.(*peerpb.ProposeResponse)
		proto.Merge(response, &peerpb.ProposeResponse{Result: &peerpb.Result{Revision: 7}})
	}
	return k.err
}

func refusal(t *testing.T, kind fault.Kind, outcome fault.Outcome) error {
	s, err := status.New(codes.Unavailable, "refused").WithDetails(&peerpb.ProposeFault{Kind: string(kind), Outcome: string(outcome)})
	require.NoError(t, err)
	return s.Err()
}

// TestProposalReportsOutcome guards against the outcome not-run for a command that a
// keeper may have committed, and against more than one round of attempts.
func TestProposalReportsOutcome(t *testing.T) {
	noLeader := refusal(t, fault.NoQuorum, fault.NotRun)
	linkLost := status.Error(codes.Unavailable, "link lost")
	for name, test := range map[string]struct {
		errs    []error
		kind    fault.Kind
		outcome fault.Outcome
		calls   int
	}{
		"one keeper accepts":            {errs: []error{linkLost, noLeader, nil}, calls: 3},
		"no keeper knows a leader":      {errs: []error{noLeader, noLeader, noLeader}, kind: fault.NoQuorum, outcome: fault.NotRun, calls: 3},
		"one keeper may have committed": {errs: []error{linkLost, noLeader, noLeader}, kind: fault.NoQuorum, outcome: fault.Unknown, calls: 3},
		"final rejection":               {errs: []error{refusal(t, fault.TooLarge, fault.NotRun), nil, nil}, kind: fault.TooLarge, outcome: fault.NotRun, calls: 1},
		"rejected after lost link":      {errs: []error{linkLost, refusal(t, fault.Overloaded, fault.NotRun), nil}, kind: fault.NoQuorum, outcome: fault.Unknown, calls: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var peers []Peer
				for _, err := range test.errs {
					peers = append(peers, Peer{ID: name, Keeper: true, Conn: &fakeKeeper{err: err}})
				}
				w := New(Options{NodeID: name, Peers: peers, Log: zerolog.Nop()})
				res, err := w.Propose(t.Context(), &peerpb.Command{})
				calls := 0
				for _, p := range peers {
					k, _ := p.Conn.(*fakeKeeper)
					calls += k.calls
				}
				assert.Equal(t, test.calls, calls)
				if test.kind == "" {
					require.NoError(t, err)
					assert.EqualValues(t, 7, res.GetRevision())
					return
				}
				assert.Equal(t, test.kind, fault.From(err).Kind)
				assert.Equal(t, test.outcome, fault.From(err).Outcome)
			})
		})
	}
}

// TestProposalsFailFastWithoutQuorum guards against callers that wait while no
// majority is reachable: proposals are rejected without an attempt until a probe is
// committed.
func TestProposalsFailFastWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := &fakeKeeper{err: status.Error(codes.Unavailable, "link lost")}
		w := New(Options{NodeID: "k", Peers: []Peer{{ID: "k", Keeper: true, Conn: k}}, Log: zerolog.Nop()})
		_, err := w.Propose(t.Context(), &peerpb.Command{})
		assert.Equal(t, fault.Unknown, fault.From(err).Outcome)
		callsBefore := k.calls
		for range 100 {
			_, err = w.Propose(t.Context(), &peerpb.Command{})
			assert.Equal(t, fault.NotRun, fault.From(err).Outcome)
			assert.Positive(t, fault.From(err).RetryAfter)
		}
		assert.Equal(t, callsBefore, k.calls)

		require.True(t, w.breaker.tryStartProbe())
		require.False(t, w.breaker.tryStartProbe(), "one probe at a time")
		w.probe(t.Context())
		_, err = w.Propose(t.Context(), &peerpb.Command{})
		assert.Equal(t, fault.NotRun, fault.From(err).Outcome)
		k.err = nil
		require.True(t, w.breaker.tryStartProbe())
		w.probe(t.Context())
		_, err = w.Propose(t.Context(), &peerpb.Command{})
		require.NoError(t, err)
	})
}

// TestCallerCancellationDoesNotTripBreaker guards against a breaker that trips
// because a caller canceled its proposal.
func TestCallerCancellationDoesNotTripBreaker(t *testing.T) {
	w := New(Options{NodeID: "k", Peers: []Peer{{ID: "k", Keeper: true, Conn: &fakeKeeper{}}}, Log: zerolog.Nop()})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := w.Propose(ctx, &peerpb.Command{})
	require.Error(t, err)
	assert.False(t, w.breaker.tripped.Load())
}
