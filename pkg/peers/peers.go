// Package peers opens the gRPC connections between the system's own processes.
package peers

import (
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Dialer opens one connection to each peer address and shares it.
type Dialer struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
}

// NewDialer returns a dialer; nil credentials mean plain text. The options are
// added to those of every connection.
func NewDialer(creds credentials.TransportCredentials, options ...grpc.DialOption) *Dialer {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	own := []grpc.DialOption{grpc.WithTransportCredentials(creds), Keepalive(), connecting()}
	return &Dialer{options: append(own, options...), conns: map[string]*grpc.ClientConn{}}
}

// Dial returns the connection to an address; it connects when first used.
func (d *Dialer) Dial(address string) (*grpc.ClientConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient(address, d.options...)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	d.conns[address] = conn
	return conn, nil
}

// Reset closes the connection to an address, so that the next Dial opens a new one.
// Connections may fall silent for good while new ones work.
func (d *Dialer) Reset(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.conns[address]; ok {
		_ = conn.Close()
		delete(d.conns, address)
	}
}

// Close closes every connection.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for address, conn := range d.conns {
		_ = conn.Close()
		delete(d.conns, address)
	}
}
