package demo

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// links controls the connections between nodes of different failure domains. A
// partitioned domain neither receives from nor sends to the others. Its connections
// stay open without traffic, as in a real network partition, and resume when the
// partition ends.
type links struct {
	domainOf    map[string]string
	mu          sync.Mutex
	partitioned map[string]bool
	// healed is closed and replaced when a partition ends.
	healed chan struct{}
}

func newLinks() *links {
	return &links{domainOf: map[string]string{}, partitioned: map[string]bool{}, healed: make(chan struct{})}
}

func (l *links) setPartitioned(domain string, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[domain] = partitioned
	if !partitioned {
		close(l.healed)
		l.healed = make(chan struct{})
	}
}

// blocked returns nil if the two domains can reach each other, else a channel that is
// closed when any partition ends.
func (l *links) blocked(from, to string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from == to || (!l.partitioned[from] && !l.partitioned[to]) {
		return nil
	}
	return l.healed
}

// dial returns a dialer for the nodes of a domain.
func (l *links) dial(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := l.domainOf[address]
		for healed := l.blocked(from, to); healed != nil; healed = l.blocked(from, to) {
			select {
			case <-healed:
			case <-ctx.Done():
				return nil, fmt.Errorf("%s is partitioned from %s: %w", from, to, ctx.Err())
			}
		}
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &linkConn{Conn: conn, links: l, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// linkConn is a connection that blocks during a partition.
type linkConn struct {
	net.Conn
	links    *links
	from, to string
	closed   chan struct{}
	once     sync.Once
}

// Read reads, then blocks while the two domains are partitioned.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.waitUntilReachable()
	return n, err
}

// Write blocks while the two domains are partitioned, then writes.
func (c *linkConn) Write(p []byte) (int, error) {
	c.waitUntilReachable()
	return c.Conn.Write(p)
}

// Close closes the connection and unblocks waiting reads and writes.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *linkConn) waitUntilReachable() {
	for healed := c.links.blocked(c.from, c.to); healed != nil; healed = c.links.blocked(c.from, c.to) {
		select {
		case <-healed:
		case <-c.closed:
			return
		}
	}
}
