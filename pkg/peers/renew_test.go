package peers

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
)

// Guards against a connection that is given up although no other one works.
func TestConnectionIsReplacedOnlyByOneThatWorks(t *testing.T) {
	dialer := NewDialer(nil)
	defer dialer.Close()
	former, err := dialer.Dial("127.0.0.1:1")
	require.NoError(t, err)
	down := errors.New("down")
	require.ErrorIs(t, dialer.Renew("127.0.0.1:1", func(*grpc.ClientConn) error { return down }), down)
	same, err := dialer.Dial("127.0.0.1:1")
	require.NoError(t, err)
	require.Same(t, former, same)
	var checked *grpc.ClientConn
	require.NoError(t, dialer.Renew("127.0.0.1:1", func(conn *grpc.ClientConn) error {
		checked = conn
		return nil
	}))
	renewed, err := dialer.Dial("127.0.0.1:1")
	require.NoError(t, err)
	require.Same(t, checked, renewed)
	require.Equal(t, connectivity.Shutdown, former.GetState())
}
