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

// Dial returns a function for HTTP clients that opens connections on which the head of the response to each request is
// checked. With a TLS configuration the connections use TLS.
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
		return &conn{Conn: raw, reader: bufio.NewReader(raw)}, nil
	}
}

// conn checks the head of the first response after a request was written. It is for clients that send one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// awaiting is true from a write to the next read.
	awaiting bool
}

// Handshake tells the HTTP library that TLS, where it is used, is set up.
func (c *conn) Handshake() error { return nil }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.awaiting = true
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.awaiting {
		if err := AwaitFinal(c.reader); err != nil {
			return 0, err
		}
		c.awaiting = false
	}
	return c.reader.Read(p)
}
