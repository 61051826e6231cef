// Package tunnel lets an entry that has no path to upstreams reach them through another entry. A tunnel is a
// connection that the other entry opens and copies, so requests, answers, order, cancellation and how a connection ended
// stay as they are; the entry that serves the caller decides everything. A tunnel is never opened over another one.
package tunnel

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/httphead"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// headStart is the time that the first attempt has before the other way is tried, too: several round trips between
	// failure domains. calmHeadStart is that of a direct attempt while none has failed: a busy VM must not use tunnels.
	headStart     = 60 * time.Millisecond
	calmHeadStart = 120 * time.Millisecond
	// maxPeersTried bounds the entries that are asked for one tunnel.
	maxPeersTried = 3
	// handshakeTimeout bounds the opening of a tunnel.
	handshakeTimeout = 150 * time.Millisecond
	// probeTimeout bounds a probe of the direct path.
	probeTimeout = 100 * time.Millisecond
	// confirmedFor is how long the failure of an upstream that another entry has confirmed counts: until then only
	// direct connections to it are tried.
	confirmedFor = time.Second
	// maxConfirmed bounds the confirmed failures that are held.
	maxConfirmed = 1024
	// keepAlive is the time between keep-alive probes of idle connections.
	keepAlive = 15 * time.Second
)

// Headers of the request that opens a tunnel.
const (
	headerKey  = "Masticmount-Tunnel-Key"
	headerFrom = "Masticmount-Tunnel-From"
	// headerFailure says in a refusal that the upstream could not be reached; failureRefused that nothing listens
	// at its address.
	headerFailure  = "Masticmount-Tunnel-Failure"
	failureRefused = "connection-refused"
	failureOther   = "unreachable"
)

// errUnconfirmed means that a connection could be opened neither directly nor through another entry, and that no other entry
// has confirmed that the upstream is to blame.
var errUnconfirmed = errors.New("no other entry has confirmed that the upstream is unreachable; check this entry's links")

// IsUnconfirmed reports whether a failed connection may be due to this entry's own path and not to the upstream.
func IsUnconfirmed(err error) bool { return errors.Is(err, errUnconfirmed) }

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialerOptions configure a Dialer.
type DialerOptions struct {
	NodeID, FailureDomain string
	// DialUpstream opens direct connections to upstreams, DialPeer those to other entries; nil dials TCP.
	DialUpstream, DialPeer DialFunc
	// OnChange is called when the direct path went down or came up; it must not block. It may be nil.
	OnChange func(reachable bool)
	Metrics  *telemetry.Registry
	Log      zerolog.Logger
}

// Dialer opens connections to upstreams, directly or through another entry. It is safe for concurrent use.
type Dialer struct {
	opts DialerOptions

	mu        sync.Mutex
	path      Path
	peers     []Peer
	failedAt  map[string]time.Time
	confirmed map[string]time.Time
	random    *rand.Rand
}

// NewDialer returns a dialer that knows no other entry.
func NewDialer(opts DialerOptions) *Dialer {
	if opts.DialUpstream == nil {
		opts.DialUpstream = dialTCP
	}
	if opts.DialPeer == nil {
		opts.DialPeer = dialTCP
	}
	if opts.Metrics == nil {
		opts.Metrics = telemetry.New("")
	}
	return &Dialer{
		opts: opts, failedAt: map[string]time.Time{}, confirmed: map[string]time.Time{},
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 5)),
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{KeepAlive: keepAlive}).DialContext(ctx, "tcp", address)
}

// SetPeers sets the entries that open tunnels.
func (d *Dialer) SetPeers(peers []Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = peers
	d.opts.Metrics.Set("tunnels.peers", int64(len(peers)))
}

// Peers returns the number of entries that open tunnels.
func (d *Dialer) Peers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.peers)
}

// Reachable reports whether direct connections to upstreams can be opened.
func (d *Dialer) Reachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.path.Down()
}

// Proven reports whether something came over the direct path since a given boot time.
func (d *Dialer) Proven(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.Proven(since)
}

// provenFor is how recent something from an upstream must be for the failure of another one to count as that upstream's.
const provenFor = 200 * time.Millisecond

// isUpstreams reports whether the failure to connect to an upstream is that upstream's and not this entry's.
func (d *Dialer) isUpstreams(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.path.Proven(boottime.Now().Add(-provenFor)) && d.path.failedAlone(address)
}

// Usable reports whether an open connection may carry another request. A tunnel ends with the process that holds it, so
// that of an entry that stops is not used while another entry opens tunnels.
func (d *Dialer) Usable(conn net.Conn) bool {
	tunnel, tunneled := conn.(*tunnelConn)
	_, direct := conn.(*directConn)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case tunneled:
		return isOpenTo(d.peers, tunnel.peerKey)
	case !direct:
		return true
	}
	return d.path.ConnsUsable(boottime.Now())
}

// attempt is the result of one way to open a connection.
type attempt struct {
	conn   net.Conn
	err    error
	direct bool
}

// Dial opens a connection to an upstream.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	directFirst, tunnels, start := d.plan(address)
	if !tunnels {
		return d.DialDirect(ctx, address)
	}
	d.probe(address)
	return d.race(ctx, address, directFirst, start)
}

// plan decides how a connection is opened: directly first or through a tunnel, whether tunnels are tried at all, and the
// head start of the first attempt.
func (d *Dialer) plan(address string) (directFirst, tunnels bool, start time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := boottime.Now()
	directFirst = d.random.Float64() < d.path.DirectShare(now)
	at, confirmed := d.confirmed[address]
	tunnels = !directFirst || !confirmed || now.Sub(at) >= confirmedFor
	if start = headStart; directFirst && d.path.failures == 0 {
		start = calmHeadStart
	}
	return directFirst, tunnels, start
}

// race opens a connection in both ways. The second one begins when the first has failed or its head start is over, and the
// first connection is taken.
func (d *Dialer) race(ctx context.Context, address string, directFirst bool, start time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	begin := func(direct bool) {
		go func() {
			a := attempt{direct: direct}
			if direct {
				a.conn, a.err = d.dialDirect(ctx, address)
			} else {
				a.conn, a.err = d.dialTunnel(ctx, address)
			}
			results <- a
		}()
	}
	begin(directFirst)
	timer := time.NewTimer(start)
	defer timer.Stop()
	begun, failures := 1, map[bool]error{}
	for {
		select {
		case <-timer.C:
		case a := <-results:
			if a.err == nil {
				d.discardLater(results, begun-len(failures)-1)
				return d.take(address, a, directFirst && begun == 2, failures), nil
			}
			failures[a.direct] = a.err
			if len(failures) == 2 {
				return nil, d.conclude(ctx, address, failures)
			}
		}
		if begun == 1 {
			begun = 2
			begin(!directFirst)
		}
	}
}

// discardLater closes the connections of attempts that have not ended yet.
func (d *Dialer) discardLater(results <-chan attempt, n int) {
	if n <= 0 {
		return
	}
	go func() {
		for range n {
			if a := <-results; a.conn != nil {
				_ = a.conn.Close()
			}
		}
	}()
}

// take records what a connection shows of the direct path. overdue is true if the direct attempt has used up its head start.
func (d *Dialer) take(address string, a attempt, overdue bool, failures map[bool]error) net.Conn {
	if a.direct {
		return a.conn
	}
	d.opts.Metrics.Add("tunnels.opened", 1)
	if _, failed := failures[true]; failed || overdue {
		d.recordFailure(address)
	}
	return a.conn
}

// conclude returns the error of a connection that could be opened in neither way.
func (d *Dialer) conclude(ctx context.Context, address string, failures map[bool]error) error {
	direct, tunnel := failures[true], failures[false]
	var refused *refusalError
	if errors.As(tunnel, &refused) && refused.failure != "" {
		// The other entry could not reach the upstream either.
		d.confirm(address)
		if refused.failure == failureRefused && !errors.Is(direct, syscall.ECONNREFUSED) {
			return fmt.Errorf("%w: %w", direct, syscall.ECONNREFUSED)
		}
		return direct
	}
	if ctx.Err() == nil {
		d.recordFailure(address)
	}
	if d.Reachable() {
		return direct
	}
	return fmt.Errorf("%w: %v", errUnconfirmed, direct) //nolint:errorlint // a refusal would be evidence against the upstream
}

func (d *Dialer) confirm(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.confirmed) >= maxConfirmed {
		clear(d.confirmed)
	}
	d.confirmed[address] = boottime.Now()
}

func (d *Dialer) recordFailure(address string) {
	d.mu.Lock()
	changed := d.path.Failed(boottime.Now(), address)
	failures := d.path.failures
	d.mu.Unlock()
	if changed {
		d.opts.Metrics.Set("path.down", 1)
		d.opts.Log.Warn().Int("failures", failures).Str("upstream_address", address).Msg("upstream_path_lost")
		d.notify(false)
	}
	d.probe(address)
}

func (d *Dialer) recordOpened(address string) {
	d.mu.Lock()
	was := d.path.changedAt
	now := boottime.Now()
	changed := d.path.Opened(now, address)
	d.mu.Unlock()
	if changed {
		d.opts.Metrics.Set("path.down", 0)
		d.opts.Log.Info().Dur("lost_for_ms", now.Sub(was)).Msg("upstream_path_back")
		d.notify(true)
	}
}

func (d *Dialer) notify(reachable bool) {
	if d.opts.OnChange != nil {
		d.opts.OnChange(reachable)
	}
}

// DialDirect opens a connection without a tunnel.
func (d *Dialer) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.dialDirect(ctx, address)
	if err != nil {
		d.recordFailure(address)
	}
	return conn, err
}

func (d *Dialer) dialDirect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.opts.DialUpstream(ctx, address)
	if err != nil {
		return nil, err
	}
	d.recordOpened(address)
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &directConn{TCPConn: tcp, dialer: d}, nil
	}
	return conn, nil
}

// probe opens a direct connection if one is due, to find out whether the path works: to an upstream that answered, or to the
// given address if none has.
func (d *Dialer) probe(address string) {
	d.mu.Lock()
	due := d.path.probeDue(boottime.Now())
	address = cmp.Or(d.path.probeAddress(), address)
	d.mu.Unlock()
	if !due {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if conn, err := d.DialDirect(ctx, address); err == nil {
			_ = conn.Close()
		}
	}()
}

// directConn is a direct connection whose traffic shows that the path works.
type directConn struct {
	*net.TCPConn
	dialer *Dialer
}

// Read implements net.Conn.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.dialer.mu.Lock()
		c.dialer.path.Received(boottime.Now(), c.RemoteAddr().String())
		c.dialer.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *directConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if n > 0 {
		c.dialer.mu.Lock()
		c.dialer.path.Sent(boottime.Now())
		c.dialer.mu.Unlock()
	}
	return n, err
}

// refusalError is the error of an entry that opened no tunnel.
type refusalError struct {
	peer   string
	status int
	// failure is how the upstream could not be reached; empty where the entry did not try.
	failure string
}

// Error implements error.
func (r *refusalError) Error() string {
	return fmt.Sprintf("entry %s opened no tunnel: status %d %s", r.peer, r.status, r.failure)
}

// errNoPeer means that no other entry can be asked for a tunnel.
var errNoPeer = errors.New("no other entry has a path to upstreams; wait for one, or repair this entry's links")

// dialTunnel opens a tunnel through one of the other entries.
func (d *Dialer) dialTunnel(ctx context.Context, address string) (net.Conn, error) {
	tried := map[string]bool{}
	err := errNoPeer
	for range maxPeersTried {
		d.mu.Lock()
		peer, ok := choosePeer(d.random, boottime.Now(), d.opts.FailureDomain, d.peers, d.failedAt, tried)
		d.mu.Unlock()
		if !ok {
			break
		}
		tried[peer.Address] = true
		var conn net.Conn
		if conn, err = d.connect(ctx, peer, address); err == nil {
			return conn, nil
		}
		var refused *refusalError
		if errors.As(err, &refused) && refused.failure != "" {
			return nil, err
		}
		if refused != nil && refused.status == http.StatusNotFound || ctx.Err() != nil {
			// The other entry does not know the upstream yet, or the tunnel is no longer needed.
			continue
		}
		d.opts.Metrics.Add("tunnels.peers_failed", 1)
		d.mu.Lock()
		d.failedAt[peer.Address] = boottime.Now()
		d.mu.Unlock()
	}
	return nil, err
}

// connect opens a tunnel through one entry.
func (d *Dialer) connect(ctx context.Context, peer Peer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := d.opts.DialPeer(ctx, peer.Address)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err = d.handshake(conn, peer, address); err != nil || !stop() {
		_ = conn.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	_ = conn.SetDeadline(time.Time{})
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return nil, errNotTCP
	}
	return &tunnelConn{TCPConn: tcp, peerKey: peer.Key}, nil
}

// errNotTCP means that DialPeer opened something else.
var errNotTCP = errors.New("the connection to another entry is no TCP connection")

// handshake asks an entry to connect a connection to an upstream.
func (d *Dialer) handshake(conn net.Conn, peer Peer, address string) error {
	_, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n\r\n", address, address, headerKey, peer.Key, headerFrom, d.opts.NodeID)
	if err != nil {
		return err
	}
	reader := bufio.NewReaderSize(io.LimitReader(conn, maxHandshakeBytes), maxHandshakeBytes)
	if err := httphead.AwaitFinal(reader); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &refusalError{peer: peer.NodeID, status: resp.StatusCode, failure: resp.Header.Get(headerFailure)}
	}
	if reader.Buffered() > 0 {
		return errUnasked
	}
	return nil
}

// errUnasked means that an upstream sent something before it got a request; such bytes belong to no answer.
var errUnasked = errors.New("the upstream sent bytes before a request")
