package dispatch

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 128
	// maxIdleAge is how long an idle connection is kept.
	maxIdleAge = 15 * time.Second
)

// pool keeps idle connections for reuse. A connection is only returned to it after a
// complete response to its own request with no data after it.
type pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	// usable reports whether a connection may be reused; nil means always.
	usable func(net.Conn) bool
}

func newPool(usable func(net.Conn) bool) *pool {
	return &pool{idle: map[string][]*conn{}, usable: usable}
}

// take returns an idle connection for a request that has received nothing since its last
// response, or nil.
func (p *pool) take(address, requestID string, now time.Time, callMaxIdle time.Duration) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < c.maxIdle(callMaxIdle) && c.mayCarry(requestID) && (p.usable == nil || p.usable(c.raw.Conn)) && c.noPendingInput() {
			return c
		}
		_ = c.Close()
	}
}

// maxIdle returns how long the connection may have been idle to serve a call.
func (c *conn) maxIdle(callMaxIdle time.Duration) time.Duration {
	age := maxIdleAge
	if c.keepAlive > 0 {
		age = min(age, time.Duration(keepAliveShare*float64(c.keepAlive)))
	}
	if callMaxIdle > 0 {
		age = min(age, callMaxIdle)
	}
	return age
}

// keepAliveShare is the part of an upstream's stated idle time during which a connection
// is reused: the upstream's timer started earlier, and it counts in whole seconds.
const keepAliveShare = 0.6

func (p *pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	p.idle[address] = conns[:last]
	return c
}

// put keeps a connection for reuse, or closes it if the pool is full or closed.
func (p *pool) put(c *conn, now time.Time) {
	c.resetLimits()
	c.idleSince = now
	if !p.push(c) {
		_ = c.Close()
	}
}

func (p *pool) push(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerUpstream {
		return false
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return true
}

// closeExpired closes the connections that have been idle for maxIdleAge.
func (p *pool) closeExpired(now time.Time) {
	for _, c := range p.expire(now) {
		_ = c.Close()
	}
}

func (p *pool) expire(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	for address, conns := range p.idle {
		firstUnexpired := 0
		for firstUnexpired < len(conns) && now.Sub(conns[firstUnexpired].idleSince) >= maxIdleAge {
			firstUnexpired++
		}
		expired = append(expired, conns[:firstUnexpired]...)
		if firstUnexpired == len(conns) {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = append([]*conn(nil), conns[firstUnexpired:]...)
	}
	return expired
}

// close closes all idle connections; later ones are not kept.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = map[string][]*conn{}, true
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// connect takes an idle connection or opens one. A call without a request identifier
// always opens one, because it could not distinguish its response from a late one.
func (c *Client) connect(ctx context.Context, call Call) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if !call.FreshConnection && call.RequestID != "" {
		if idle := c.pool.take(call.Address, call.RequestID, time.Now(), call.MaxIdle); idle != nil {
			return idle, nil
		}
	}
	deadline := time.Now().Add(dialTimeout)
	if !call.Deadline.IsZero() && call.Deadline.Before(deadline) {
		deadline = call.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	netConn, err := c.opts.Dial(ctx, call.Address)
	if err != nil {
		return nil, err
	}
	raw := &countingConn{Conn: netConn}
	secured, err := c.secure(ctx, raw, call.Address)
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	return newConn(call.Address, raw, secured), nil
}
