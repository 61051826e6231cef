// Package peers manages the gRPC connections between masticmount nodes.
package peers

import (
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// Dialer maintains one shared connection to each peer address.
type Dialer struct {
	options []grpc.DialOption
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
}

// NewDialer returns a dialer. With nil credentials, connections use plain text. The
// options apply to every connection.
func NewDialer(creds credentials.TransportCredentials, options ...grpc.DialOption) *Dialer {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	defaults := []grpc.DialOption{grpc.WithTransportCredentials(creds), Keepalive(), connectParams()}
	return &Dialer{options: append(defaults, options...), conns: map[string]*grpc.ClientConn{}}
}

// Dial returns the shared connection to an address. It is established on first use.
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
// A connection may stay unresponsive while new connections to the address work.
func (d *Dialer) Reset(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if conn, ok := d.conns[address]; ok {
		_ = conn.Close()
		delete(d.conns, address)
	}
}

// Renew opens another connection to an address. If check succeeds on it, it becomes the
// shared one and the former one is closed, so that calls on it fail. Otherwise nothing
// changes, and Renew returns the error of check.
func (d *Dialer) Renew(address string, check func(*grpc.ClientConn) error) error {
	conn, err := grpc.NewClient(address, d.options...)
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	if err := check(conn); err != nil {
		_ = conn.Close()
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if former, ok := d.conns[address]; ok {
		_ = former.Close()
	}
	d.conns[address] = conn
	return nil
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
