package httphead

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"net"
	"time"
)

// dialTimeout bounds the time to open a connection.
const dialTimeout = 3 * time.Second

// Dial returns a function for HTTP clients that opens connections on which the head and the trailer of the response to each
// request are checked. With a TLS configuration the connections use TLS.
func Dial(config *tls.Config) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		dialer := &net.Dialer{Timeout: dialTimeout}
		var raw net.Conn
		var err error
		if config == nil {
			raw, err = dialer.Dial("tcp", address)
		} else {
			raw, err = tls.DialWithDialer(dialer, "tcp", address, config)
		}
		if err != nil {
			return nil, fmt.Errorf("connect to %s: %w", address, err)
		}
		trailer := NewTrailerReader(raw)
		return &conn{Conn: raw, trailer: trailer, reader: bufio.NewReader(trailer)}, nil
	}
}

// conn checks the head and the trailer of the first response after a request was written. It is for clients that send one request
// at a time, and none of method HEAD.
type conn struct {
	net.Conn
	trailer *TrailerReader
	reader  *bufio.Reader
	// awaiting is true from a write to the next read.
	awaiting bool
	// headErr is the error of a head; the bytes behind it are not read.
	headErr error
}

// Handshake tells the HTTP library that TLS, where it is used, is set up.
func (c *conn) Handshake() error { return nil }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.awaiting = true
	c.trailer.Stop()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.headErr != nil {
		return 0, c.headErr
	}
	if c.awaiting {
		head, err := awaitFinal(c.reader)
		if err != nil {
			c.headErr = err
			return 0, err
		}
		c.awaiting = false
		if head.chunked {
			buffered, _ := c.reader.Peek(c.reader.Buffered())
			c.trailer.Follow(buffered[head.bytes:])
		}
	}
	n, err := c.reader.Read(p)
	if invalid := c.trailer.Err(); invalid != nil {
		return 0, invalid
	}
	return n, err
}
