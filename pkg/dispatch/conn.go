package dispatch

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/masticmount/masticmount/pkg/httphead"
)

const (
	// readBufferBytes bounds the header of a response and the line of an event that is
	// read without copying.
	readBufferBytes = 16 << 10
	// writeBufferBytes is enough for a request's header and a short body.
	writeBufferBytes = 4 << 10
)

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// countingConn counts the bytes that were written to the socket. It is the layer
// below TLS, so that a partly written record counts as sent.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// The fields below are only used by the reading goroutine.
	//
	// readErr is the error that ended reading. The operating system reports a reset only
	// once; later reads would return an orderly end of the stream.
	readErr error
	// grace is the timeout of one further read after a read deadline has passed; 0
	// means that there is none.
	grace time.Duration
	// idle bounds the wait for the next byte of a response.
	idle idleTimeout
}

// idleTimeout calls onTimeout whenever no byte has arrived for the timeout: if it returns
// true, reading fails, otherwise reading continues up to the deadline. The zero value sets
// no limit.
type idleTimeout struct {
	timeout   time.Duration
	onTimeout func() bool
	deadline  time.Time
	// since, if set, is the time from which the timeout counts in place of the start of a
	// read. It moves on with each timeout.
	since time.Time
}

// errIdleTimeout is the read error after onTimeout has returned true.
var errIdleTimeout = errors.New("upstream sent no data within the idle timeout")

// Read implements net.Conn. An error other than a timeout is returned by all later
// calls, too.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	read := c.readWithGrace
	if c.idle.timeout > 0 {
		read = c.readWithIdleTimeout
	}
	n, err := read(p)
	if err != nil && !isTimeout(err) {
		c.readErr = err
	}
	return n, err
}

// readWithGrace reads once more after the deadline has passed, so that data which
// arrived while this process was paused is still read.
func (c *countingConn) readWithGrace(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || c.grace == 0 || !isTimeout(err) {
		return n, err
	}
	_ = c.SetReadDeadline(time.Now().Add(c.grace))
	return c.Conn.Read(p)
}

// readWithIdleTimeout applies the idle timeout at the level of single reads. A timeout after
// which reading continues thus does not disturb the parsing of a partly read response.
func (c *countingConn) readWithIdleTimeout(p []byte) (int, error) {
	for {
		start := c.idle.since
		if start.IsZero() {
			start = time.Now()
		}
		until, read := start.Add(c.idle.timeout), c.readWithGrace
		atDeadline := !until.Before(c.idle.deadline)
		if atDeadline {
			until, read = c.idle.deadline, c.Conn.Read
		} else {
			until = until.Add(-c.grace)
		}
		_ = c.SetReadDeadline(until)
		n, err := read(p)
		if n > 0 || atDeadline || !isTimeout(err) {
			return n, err
		}
		if c.idle.onTimeout() {
			return 0, errIdleTimeout
		}
		if !c.idle.since.IsZero() {
			c.idle.since = time.Now()
		}
	}
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	raw     *countingConn
	address string
	// trailer checks the trailers of what reader reads.
	trailer *httphead.TrailerReader
	reader  *bufio.Reader
	writer  *bufio.Writer
	// idleSince is when the connection was returned to the pool.
	idleSince time.Time
	// refused are the identifiers of the requests that were refused on it: an upstream may repeat a
	// refusal, and a further send of the same request could not tell it from its own.
	refused []string
	// keepAlive is the idle time after which the upstream closes the connection, as
	// stated in its last Keep-Alive header; 0 if it stated none.
	keepAlive time.Duration
}

func newConn(address string, raw *countingConn, secured net.Conn) *conn {
	trailer := httphead.NewTrailerReader(secured)
	return &conn{
		Conn: secured, raw: raw, address: address,
		trailer: trailer, reader: bufio.NewReaderSize(trailer, readBufferBytes),
		writer: bufio.NewWriterSize(secured, writeBufferBytes),
	}
}

// maxRefused is the number of refusals after which a connection is not reused.
const maxRefused = 16

// mayCarry reports whether a request may be sent on the connection.
func (c *conn) mayCarry(requestID string) bool {
	return len(c.refused) < maxRefused && !slices.Contains(c.refused, requestID)
}

// hasServed reports whether the connection has served an earlier call.
func (c *conn) hasServed() bool { return !c.idleSince.IsZero() }

// resetLimits removes the deadlines and read limits of the call that has ended. A socket
// whose deadline has passed cannot be peeked at, and the next call sets its own limits.
func (c *conn) resetLimits() {
	c.raw.grace, c.raw.idle = 0, idleTimeout{}
	_ = c.SetDeadline(time.Time{})
}

// noPendingInput reports whether nothing was received since the last response: neither
// the end of the connection nor bytes of a duplicated response.
func (c *conn) noPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.raw.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = rawConn.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK)
}
