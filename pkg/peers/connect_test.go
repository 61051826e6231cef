package peers

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
)

// A connection attempt to an address that does not respond ends before TCP's second
// retransmission.
func TestConnectAttemptIsBounded(t *testing.T) {
	timeouts := make(chan time.Duration, 1)
	dialer := NewDialer(nil, grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		deadline, _ := ctx.Deadline()
		select {
		case timeouts <- time.Until(deadline):
		default:
		}
		return nil, errors.New("silent")
	}))
	defer dialer.Close()
	conn, err := dialer.Dial("127.0.0.1:1")
	require.NoError(t, err)
	conn.Connect()
	first := <-timeouts
	assert.LessOrEqual(t, first, 3*time.Second)
	assert.Positive(t, first)
}
