package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkFault is the fault that a link injects into one connection.
type linkFault int

const (
	linkDelay linkFault = iota
	// linkReset resets both ends.
	linkReset
	// linkStall drops all data for a time, then resets.
	linkStall
	// linkDropDown drops the data to the client, linkDropUp the data to the server, for a
	// time, then resets.
	linkDropDown
	linkDropUp
	linkFaultCount
)

const (
	// One in linkFaultOneIn connections gets a fault.
	linkFaultOneIn = 4
	// maxBytesBeforeFault bounds the bytes forwarded before the fault.
	maxBytesBeforeFault = 24 << 10
	// maxFaultTime bounds how long data is dropped.
	maxFaultTime = 2 * time.Second
	maxDelay     = 20 * time.Millisecond
	linkBuffer   = 16 << 10
	// deliveryTime bounds the wait for written bytes to be passed on.
	deliveryTime = time.Second
	// socketBuffer is small, so that the network buffers little of what a caller has not read.
	socketBuffer = 32 << 10
	dialTimeout  = 2 * time.Second
)

// link is a TCP proxy that injects seeded faults into its connections. It closes one side
// in an orderly way only if the other side did so.
type link struct {
	listener     net.Listener
	target       string
	faultsActive *atomic.Bool
	// delay is by how much each connection delays what it passes on.
	delay  atomic.Int64
	mu     sync.Mutex
	random *rand.Rand
	conns  map[*linkConn]bool
	// byClient holds the latest connection of each client's address, byServer of each address that the server
	// sees. A port may be in use on both sides at once.
	byClient, byServer map[string]*linkConn
	// isDown is true while the link refuses connections, stopped once it does so for good.
	isDown, stopped bool
}

func newLink(address, target string, random *rand.Rand, faultsActive *atomic.Bool) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, random: random, faultsActive: faultsActive, conns: map[*linkConn]bool{}, byClient: map[string]*linkConn{}, byServer: map[string]*linkConn{}}
	go l.accept(listener)
	return l, nil
}

func (l *link) address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener.Addr().String()
}

func addresses(links []*link) []string {
	var all []string
	for _, l := range links {
		all = append(all, l.address())
	}
	return all
}

func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(conn)
	}
}

func (l *link) stop() {
	l.mu.Lock()
	l.stopped = true
	_ = l.listener.Close()
	l.mu.Unlock()
	l.resetAll()
}

// resetAll resets all connections.
func (l *link) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.harm()
		c.reset()
	}
}

// ofClient returns the connection of a client's address.
func (l *link) ofClient(address net.Addr) *linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byClient[address.String()]
}

// ofServer returns the connection that the server sees from an address.
func (l *link) ofServer(address net.Addr) *linkConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byServer[address.String()]
}

// linkConn is one connection through a link.
type linkConn struct {
	link           *link
	client, server net.Conn
	faulty         bool
	fault          linkFault
	bytes          atomic.Int64
	triggered      atomic.Bool
	// harmed is true once a fault broke the connection, lost data or left bytes that belong to no
	// request.
	harmed atomic.Bool
	// takenAt is when the link last took data from the client, passedAt when it last passed data on to the
	// server, in Unix nanoseconds.
	takenAt, passedAt atomic.Int64
	// answered counts the bytes passed on to the client.
	answered   atomic.Int64
	faultAfter int64
	faultTime  time.Duration
	delays     [2]*rand.Rand
	once       sync.Once
	dropDown   atomic.Bool
	dropUp     atomic.Bool
	done       chan struct{}
	directions sync.WaitGroup
}

func (l *link) proxy(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		// The target does not accept connections: reset the client.
		reset(client)
		return
	}
	for _, conn := range []net.Conn{client, server} {
		if err := smallBuffers(conn); err != nil {
			reset(client)
			reset(server)
			return
		}
	}
	c := &linkConn{link: l, client: client, server: server, done: make(chan struct{})}
	l.mu.Lock()
	c.faulty, c.fault = l.random.IntN(linkFaultOneIn) == 0, linkFault(l.random.IntN(int(linkFaultCount)))
	c.faultAfter, c.faultTime = l.random.Int64N(maxBytesBeforeFault), time.Duration(l.random.Int64N(int64(maxFaultTime)))
	for i := range c.delays {
		c.delays[i] = rand.New(rand.NewPCG(l.random.Uint64(), uint64(i)))
	}
	l.conns[c] = true
	l.byClient[client.RemoteAddr().String()], l.byServer[server.LocalAddr().String()] = c, c
	l.mu.Unlock()
	c.directions.Go(func() { c.copy(c.client, c.server, &c.dropUp, c.delays[0]) })
	c.directions.Go(func() { c.copy(c.server, c.client, &c.dropDown, c.delays[1]) })
	c.directions.Wait()
	c.reset()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

func smallBuffers(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return errors.Join(tcp.SetReadBuffer(socketBuffer), tcp.SetWriteBuffer(socketBuffer))
}

// harm records that requests on the connection may fail from now on; c may be nil.
func (c *linkConn) harm() {
	if c != nil {
		c.harmed.Store(true)
	}
}

func (c *linkConn) reset() {
	c.once.Do(func() {
		close(c.done)
		reset(c.client)
		reset(c.server)
	})
}

// copy forwards data from one side to the other until it ends.
func (c *linkConn) copy(from, to net.Conn, drop *atomic.Bool, delays *rand.Rand) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 && from == c.client {
			c.takenAt.Store(time.Now().UnixNano())
		}
		if n > 0 && !c.forward(to, buf[:n], drop, delays) {
			return
		}
		switch {
		case errors.Is(err, io.EOF):
			if drop.Load() {
				// Dropped data must not appear as an orderly end.
				c.reset()
			} else if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

// forward writes data to the other side, subject to the connection's fault. It returns
// false once the connection is closed.
func (c *linkConn) forward(to net.Conn, data []byte, drop *atomic.Bool, delays *rand.Rand) bool {
	if drop.Load() {
		return true
	}
	if delay := c.link.delay.Load(); delay > 0 {
		c.sleep(time.Duration(delay))
	}
	triggered := false
	if c.faulty && c.link.faultsActive.Load() {
		if c.fault == linkDelay {
			c.sleep(time.Duration(delays.Int64N(int64(maxDelay))))
		} else if over := c.bytes.Add(int64(len(data))) - c.faultAfter; over > 0 && !c.triggered.Swap(true) {
			triggered = true
			c.trigger()
			if drop.Load() {
				data = data[:max(int64(len(data))-over, 0)]
			}
		}
	}
	if _, err := to.Write(data); err != nil || triggered && c.fault == linkReset {
		c.reset()
		return false
	}
	if to == c.server {
		c.passedAt.Store(time.Now().UnixNano())
	} else {
		c.answered.Add(int64(len(data)))
	}
	return true
}

// awaitAnswered waits until more than a number of bytes was passed on to the client, as a kernel delivers what an
// upstream wrote before it ended; c may be nil.
func (c *linkConn) awaitAnswered(bytes int64) {
	for end := time.Now().Add(deliveryTime); c != nil && c.answered.Load() <= bytes && time.Now().Before(end); {
		select {
		case <-c.done:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// describe tells when the link passed on what the client had sent by a time; empty without a link.
func (c *linkConn) describe(until time.Time) string {
	if c == nil {
		return ""
	}
	passed := time.Unix(0, c.passedAt.Load())
	return fmt.Sprintf(" (link: faulty %v, fault %d, passed data on %s before, complete %v)", c.faulty, c.fault, until.Sub(passed), c.passedAt.Load() >= c.takenAt.Load())
}

// trigger starts the fault. For linkReset, forward resets the connection after it has
// written the current data; the other faults reset it after faultTime.
func (c *linkConn) trigger() {
	c.harm()
	switch c.fault {
	case linkReset:
		c.dropDown.Store(true)
		c.dropUp.Store(true)
		return
	case linkDropDown:
		c.dropDown.Store(true)
	case linkDropUp:
		c.dropUp.Store(true)
	case linkStall:
		c.dropDown.Store(true)
		c.dropUp.Store(true)
	}
	time.AfterFunc(c.faultTime, c.reset)
}

// sleep waits for a time or until the connection closes.
func (c *linkConn) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.done:
	}
}
