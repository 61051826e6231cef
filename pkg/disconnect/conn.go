// Package disconnect notifies HTTP handlers of client disconnects. The HTTP library does not
// detect them, because it does not read from the connection while a handler runs.
package disconnect

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// clientWriteTimeout bounds one write to a client.
const clientWriteTimeout = 30 * time.Second

// lingerTime bounds the wait for a client to close a connection whose last answer was written.
const lingerTime = time.Second

// WrapListener wraps a listener so that handlers can detect client disconnects, and so that
// writes to clients that do not read time out. It must be applied above TLS.
func WrapListener(inner net.Listener) net.Listener { return &listener{inner} }

type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c}, nil
}

// End is how a client's connection ended.
type End string

const (
	// Closed is an orderly end by the client.
	Closed End = "closed"
	// Reset is an abortive end.
	Reset End = "reset"
	// NotRead is a client that did not accept data in time.
	NotRead End = "not-read"
)

// Conn is a client's connection. While a handler runs, a goroutine reads one byte ahead:
// an error means that the client has disconnected; a byte is the start of its next request
// and is kept for Read.
type Conn struct {
	net.Conn
	mu sync.Mutex
	// readAheadDone is closed when the goroutine that reads ahead ends; nil if there is none.
	readAheadDone chan struct{}
	// onDisconnect is called once when the client disconnects; nil if the connection is not watched.
	onDisconnect func()
	disconnected bool
	peeked       [1]byte
	hasPeeked    bool
	// end is how the connection ended, as far as that was seen.
	end End
	// unwritten is the size of the write in progress; writeFailed is true once one failed.
	unwritten   atomic.Int64
	writeFailed atomic.Bool
	// answered is true while nothing was read, or waited for, since the last write.
	answered atomic.Bool
	// lingering is closed when a connection that lingers after Close ends; nil before.
	lingering chan struct{}
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// deadlinePending is true while the inner connection does not have this deadline.
	deadlinePending bool
}

// Watch calls onDisconnect once when the client disconnects, or immediately if it already has.
// The callback is replaced by the next Watch and removed by Unwatch.
func (c *Conn) Watch(onDisconnect func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected {
		go onDisconnect()
		return
	}
	c.onDisconnect = onDisconnect
	if c.readAheadDone != nil || c.hasPeeked {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	c.deadlinePending = true
	c.readAheadDone = make(chan struct{})
	go c.readAhead(c.readAheadDone)
}

// Unwatch removes the callback of Watch.
func (c *Conn) Unwatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onDisconnect = nil
}

func (c *Conn) readAhead(done chan struct{}) {
	n, err := c.Conn.Read(c.peeked[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(done)
	c.readAheadDone = nil
	if n == 1 {
		c.hasPeeked = true
		return
	}
	if isTimeout(err) {
		return
	}
	c.disconnected = true
	c.recordEnd(err)
	if c.onDisconnect != nil {
		go c.onDisconnect()
	}
}

// Read implements net.Conn. It stops reading ahead first.
func (c *Conn) Read(p []byte) (int, error) {
	c.answered.Store(false)
	if c.Lingering() != nil {
		return 0, net.ErrClosed
	}
	c.stopReadAhead()
	if len(p) > 0 && c.takePeeked(p) {
		return 1, nil
	}
	return c.Conn.Read(p)
}

func (c *Conn) stopReadAhead() {
	c.mu.Lock()
	done := c.readAheadDone
	if done != nil {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if done != nil {
		<-done
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadlinePending {
		c.deadlinePending = false
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

func (c *Conn) takePeeked(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasPeeked {
		return false
	}
	p[0], c.hasPeeked = c.peeked[0], false
	return true
}

// Write implements net.Conn. It fails if the client does not accept the data within
// clientWriteTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	c.answered.Store(true)
	c.unwritten.Store(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.unwritten.Store(int64(len(p) - n))
	if err != nil {
		c.writeFailed.Store(true)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordEnd(err)
	}
	return n, err
}

// Close implements net.Conn. Closing a connection that holds unread bytes resets it, which drops the end of an
// answer that the client has not received yet. After an answer Close therefore ends the server's side only, and what
// the client sends is discarded until it closes its side, too, for lingerTime at most. Close does not wait for that.
func (c *Conn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	c.mu.Lock()
	lingers := ok && c.lingering == nil && c.answered.Load() && c.end == ""
	if lingers {
		c.lingering = make(chan struct{})
	}
	isLingering := c.lingering != nil
	c.mu.Unlock()
	if !isLingering {
		return c.Conn.Close()
	}
	if lingers {
		go c.linger(half.CloseWrite)
	}
	return nil
}

func (c *Conn) linger(closeWrite func() error) {
	defer close(c.lingering)
	c.stopReadAhead()
	if closeWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
}

// Lingering returns a channel that is closed once a closed connection no longer waits for its client to close its
// side; nil if it does not wait.
func (c *Conn) Lingering() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

// Unwritten returns the number of bytes that were given to Write and not accepted by the connection.
func (c *Conn) Unwritten() int { return int(c.unwritten.Load()) }

// WriteFailed reports whether a write failed.
func (c *Conn) WriteFailed() bool { return c.writeFailed.Load() }

// End returns how the client's connection ended; empty while no end was seen. An end is seen while the
// connection is watched, or by a write.
func (c *Conn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// recordEnd records how the connection ended, by the first error; the caller holds the lock.
func (c *Conn) recordEnd(err error) {
	switch {
	case c.end != "" || errors.Is(err, net.ErrClosed):
	case isTimeout(err):
		c.end = NotRead
	case errors.Is(err, io.EOF):
		c.end = Closed
	default:
		c.end = Reset
	}
}

// SetReadDeadline implements net.Conn. While a goroutine reads ahead, the deadline is only
// stored and takes effect at the next Read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.readAheadDone != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
