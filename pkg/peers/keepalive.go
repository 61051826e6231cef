package peers

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

const (
	// pingInterval is the interval between pings on a connection that receives no data.
	pingInterval = 10 * time.Second
	// pingTimeout is how long a ping may remain unacknowledged before the connection is
	// closed; on Linux it also applies to data. After a network partition the connection
	// would otherwise wait for TCP's retransmissions, which back off to minutes.
	pingTimeout = 3 * time.Second
	// minPingInterval is the shortest ping interval that a server accepts.
	minPingInterval = pingInterval / 2
)

// Keepalive closes connections whose peer no longer responds.
func Keepalive() grpc.DialOption {
	return grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout})
}

// StopServer stops a server gracefully and closes the remaining connections after
// grace. The limit is needed because streams between nodes do not end by themselves.
func StopServer(server *grpc.Server, grace time.Duration) {
	timer := time.AfterFunc(grace, server.Stop)
	defer timer.Stop()
	server.GracefulStop()
}

// ServerKeepalive makes a server accept the ping interval of the Dialer's connections.
func ServerKeepalive() grpc.ServerOption {
	return grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval})
}
