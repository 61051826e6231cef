package dispatch

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/masticmount/masticmount/pkg/statement"
)

const (
	// dialTimeout bounds opening a connection to an upstream: several round trips between
	// failure domains. No byte was sent by then, so another upstream can be tried.
	dialTimeout = 250 * time.Millisecond
	// maxBufferedBodyBytes bounds the body of a response that is read into memory.
	maxBufferedBodyBytes = 16 << 20
	// maxBufferedBytes bounds the memory of all bodies that a client buffers at the same time,
	// to a sixth of the smallest VM's memory: upstreams may send endless bodies on many
	// connections.
	maxBufferedBytes = 32 << 20
	// guaranteedBodyBytes of each body are buffered even if maxBufferedBytes is exhausted.
	guaranteedBodyBytes = 64 << 10
)

// Options configure a client.
type Options struct {
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
	// Usable reports whether an idle connection of Dial may be reused; nil means always.
	Usable func(net.Conn) bool
	// TLS secures the connections; nil means plain text.
	TLS *tls.Config
	// Protocol is the protocol of the upstreams; the zero value means masticmount's own.
	Protocol Protocol
	// fault makes the client misbehave, for tests that must detect it.
	fault testFault
}

// testFault is an injected fault: it violates one guarantee of the client on purpose.
type testFault int

const (
	_ testFault = iota
	// reuseAfterTimeout returns the connection of a timed-out call to the pool.
	reuseAfterTimeout
	// skipRequestIDCheck accepts a response without checking its request identifier.
	skipRequestIDCheck
	// acceptTruncated accepts a truncated body as a complete response.
	acceptTruncated
	// errorStatusIsRefusal treats any 429, 503 or 409 as an explicit refusal.
	errorStatusIsRefusal
	// failedWriteIsNotSent reports a request whose write failed as not sent.
	failedWriteIsNotSent
	// retryTruncated retries a call whose response was truncated.
	retryTruncated
)

// Client sends calls to upstreams.
type Client struct {
	opts Options
	pool *pool
	// onStatement is called with what each response states of its upstream; nil if nobody
	// wants to know.
	onStatement func(statement.Incarnation, statement.Statement)
	// onPause is called with the time for which an upstream wants no work; nil if nobody wants to know.
	onPause func(statement.Incarnation, time.Duration)
	// bufferedBytes is the memory of all bodies that are being buffered.
	bufferedBytes atomic.Int64
}

// NewClient returns a client with the default options: TCP without TLS.
func NewClient() *Client { return NewClientWith(Options{}) }

// NewClientWith returns a client with the given options.
func NewClientWith(opts Options) *Client {
	if opts.Dial == nil {
		dialer := &net.Dialer{KeepAlive: maxIdleAge}
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	opts.Protocol.complete()
	return &Client{opts: opts, pool: newPool(opts.Usable)}
}

// SetPauseHandler sets the function that is called with the time for which an upstream wants no work, when it has answered 503 with
// Retry-After. Call it before the first call.
func (c *Client) SetPauseHandler(f func(statement.Incarnation, time.Duration)) { c.onPause = f }

// SetStatementHandler sets the function that is called with what each response states of
// its upstream, before the response is returned. It must be called before the first call.
func (c *Client) SetStatementHandler(f func(statement.Incarnation, statement.Statement)) {
	c.onStatement = f
}

// CloseExpired closes the connections that have been idle for longer than maxIdleAge. It
// should be called about once a second.
func (c *Client) CloseExpired(now time.Time) { c.pool.closeExpired(now) }

// Close closes the idle connections and stops keeping connections for reuse.
func (c *Client) Close() { c.pool.close() }

func (c *Client) secure(ctx context.Context, raw *countingConn, address string) (net.Conn, error) {
	if c.opts.TLS == nil {
		return raw, nil
	}
	config := c.opts.TLS
	if config.ServerName == "" {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, fmt.Errorf("upstream address %q: %w", address, err)
		}
		config = config.Clone()
		config.ServerName = host
	}
	secured := tls.Client(raw, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("TLS handshake with %s: %w", address, err)
	}
	return secured, nil
}
