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

// An attempt to connect to a silent address ends before TCP's second retransmission.
func TestAnAttemptToConnectIsBounded(t *testing.T) {
	allowed := make(chan time.Duration, 1)
	dialer := NewDialer(nil, grpc.WithContextDialer(func(ctx context.Context, _ string) (net.Conn, error) {
		deadline, _ := ctx.Deadline()
		select {
		case allowed <- time.Until(deadline):
		default:
		}
		return nil, errors.New("silent")
	}))
	defer dialer.Close()
	conn, err := dialer.Dial("127.0.0.1:1")
	require.NoError(t, err)
	conn.Connect()
	first := <-allowed
	assert.LessOrEqual(t, first, 3*time.Second)
	assert.Positive(t, first)
}
