package keeper

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
)

// Guards against a member that is down and is asked without pause.
func TestConnectionsAreCheckedAtIntervals(t *testing.T) {
	s := checkSchedule{}
	require.Empty(t, s.due(1, nil))
	require.Equal(t, []uint64{7}, s.due(10, []uint64{7}))
	require.Empty(t, s.due(10+checkTicks-1, []uint64{7}))
	require.Equal(t, []uint64{8}, s.due(10+checkTicks-1, []uint64{7, 8}))
	require.Equal(t, []uint64{7}, s.due(10+checkTicks, []uint64{7, 8}))
}

// slowKeeper answers its first calls after the given times, the others at once.
type slowKeeper struct {
	peerpb.UnimplementedRegionLogServer
	delays chan time.Duration
}

func (s *slowKeeper) Introduce(ctx context.Context, _ *peerpb.IntroduceRequest) (*peerpb.IntroduceResponse, error) {
	select {
	case delay := <-s.delays:
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	default:
	}
	return &peerpb.IntroduceResponse{NodeId: "slow"}, nil
}

// Guards against calls that fail because the connection of a keeper which is only slow is
// replaced, and against one that is kept although only another one answers.
func TestOnlySilentConnectionIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		delays  []time.Duration
		renewed bool
	}{
		"at once":                {nil, false},
		"within the time":        {[]time.Duration{checkTimeout - time.Millisecond}, false},
		"slow on both":           {[]time.Duration{checkTimeout + 50*time.Millisecond, 100 * time.Millisecond}, false},
		"silent":                 {[]time.Duration{time.Hour}, true},
		"silent, the other slow": {[]time.Duration{time.Hour, renewTimeout / 2}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener, server := bufconn.Listen(1<<16), grpc.NewServer()
				slow := &slowKeeper{delays: make(chan time.Duration, len(c.delays))}
				for _, delay := range c.delays {
					slow.delays <- delay
				}
				peerpb.RegisterRegionLogServer(server, slow)
				go func() { _ = server.Serve(listener) }()
				dialer := peers.NewDialer(nil, grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
				former, err := dialer.Dial("passthrough:///slow")
				require.NoError(t, err)
				k := New(Options{Dialer: dialer, Log: zerolog.Nop()})
				answer, renewed, err := k.ask(t.Context(), "passthrough:///slow", &peerpb.IntroduceRequest{})
				require.NoError(t, err)
				require.Equal(t, "slow", answer.GetNodeId())
				require.Equal(t, c.renewed, renewed)
				present, err := dialer.Dial("passthrough:///slow")
				require.NoError(t, err)
				require.Equal(t, c.renewed, present != former)
				dialer.Close()
				server.Stop()
			})
		})
	}
}
