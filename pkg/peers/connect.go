package peers

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

const (
	// connectTimeout limits a connection attempt to twice the time of two round trips between
	// the most distant regions. Without it, an attempt would wait for TCP to retransmit the
	// SYN, after 1, 3, 7 and 15 s: a peer that starts at the same time as this node would be
	// connected a second late, and one that is up again after 7 s would be connected 8 s late.
	connectTimeout = 500 * time.Millisecond
	// baseBackoff and maxBackoff limit the backoff between two attempts. A few packets per
	// second cost less than a keeper that is up again but not yet connected.
	baseBackoff = 100 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// connectParams sets the connection timeout and the backoff between attempts.
func connectParams() grpc.DialOption {
	backoffConfig := backoff.DefaultConfig
	backoffConfig.BaseDelay, backoffConfig.MaxDelay = baseBackoff, maxBackoff
	return grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: connectTimeout})
}
