package tunnel

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// maxTunnels bounds the tunnels that an entry holds for others: each takes two connections and two buffers.
	maxTunnels = 512
	// maxTunnelsOfEntry bounds those for one other entry.
	maxTunnelsOfEntry = 256
	// copyBufferBytes is the size of the buffer for each direction of a tunnel.
	copyBufferBytes = 16 << 10
	// serverDialTimeout bounds the opening of a connection to an upstream for another entry.
	serverDialTimeout = 100 * time.Millisecond
	// handshakeTime bounds the time in which the request for a tunnel comes.
	handshakeTime = time.Second
	// maxHandshakeBytes bounds that request.
	maxHandshakeBytes = 2 << 10
	// drainCheckInterval is the time between two checks of whether a stopping server has tunnels left.
	drainCheckInterval = 50 * time.Millisecond
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Known reports whether an address is that of an upstream; tunnels lead nowhere else.
	Known func(address string) bool
	// Dialer knows this entry's own path to upstreams.
	Dialer  *Dialer
	Metrics *telemetry.Registry
	Log     zerolog.Logger
}

// Server opens tunnels for other entries.
type Server struct {
	opts   ServerOptions
	key    string
	server *http.Server
	// stopping is true from the beginning of a planned stop.
	stopping atomic.Bool

	mu      sync.Mutex
	byEntry map[string]int
	total   int
}

// NewServer returns a server with a new key.
func NewServer(opts ServerOptions) *Server {
	if opts.Metrics == nil {
		opts.Metrics = telemetry.New("")
	}
	s := &Server{opts: opts, key: newKey(), byEntry: map[string]int{}}
	s.server = &http.Server{
		Handler: s, ReadHeaderTimeout: handshakeTime, MaxHeaderBytes: maxHandshakeBytes,
		// The library has a line for each connection that ends early.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	return s
}

func newKey() string {
	var key [16]byte
	// Read never returns an error.
	_, _ = rand.Read(key[:])
	return hex.EncodeToString(key[:])
}

// Key is the secret that other entries need for a tunnel.
func (s *Server) Key() string { return s.key }

// Serve accepts connections of other entries.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// Close ends serving; open tunnels go on.
func (s *Server) Close() error { return s.server.Close() }

// BeginStop has the server open no further tunnels.
func (s *Server) BeginStop() { s.stopping.Store(true) }

// Stopping reports whether a planned stop has begun.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Drain waits until no tunnel is left or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	tick := time.NewTicker(drainCheckInterval)
	defer tick.Stop()
	for s.open() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			s.opts.Log.Warn().Int("tunnels", s.open()).Msg("tunnels_cut_off")
			return
		}
	}
}

func (s *Server) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// ServeHTTP answers a request for a tunnel.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	from, address := r.Header.Get(headerFrom), r.Host
	switch {
	case subtle.ConstantTimeCompare([]byte(r.Header.Get(headerKey)), []byte(s.key)) != 1:
		s.refuse(w, http.StatusForbidden, "key", from, address)
	case r.Method != http.MethodConnect || !s.opts.Known(address):
		s.refuse(w, http.StatusNotFound, "address", from, address)
	case s.stopping.Load() || !s.opts.Dialer.Reachable():
		s.refuse(w, http.StatusServiceUnavailable, "path", from, address)
	case !s.acquire(from):
		s.refuse(w, http.StatusServiceUnavailable, "limit", from, address)
	default:
		defer s.release(from)
		s.connect(w, address)
	}
}

func (s *Server) refuse(w http.ResponseWriter, status int, reason, from, address string) {
	s.opts.Metrics.Add("tunnels.refused_"+reason, 1)
	s.opts.Log.Warn().Str("entry", from).Str("upstream_address", address).Str("reason", reason).Msg("tunnel_refused")
	w.WriteHeader(status)
}

// connect opens the connection to the upstream and copies it to the other entry until both have ended.
func (s *Server) connect(w http.ResponseWriter, address string) {
	dialCtx, cancel := context.WithTimeout(context.Background(), serverDialTimeout)
	defer cancel()
	upstream, err := s.opts.Dialer.DialDirect(dialCtx, address)
	if err != nil && !s.opts.Dialer.isUpstreams(address) {
		// This entry may have lost its path, too.
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		failure := failureOther
		if errors.Is(err, syscall.ECONNREFUSED) {
			failure = failureRefused
		}
		w.Header().Set(headerFailure, failure)
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	entry, err := hijack(w)
	if err != nil {
		_ = upstream.Close()
		s.opts.Log.Error().Err(err).Msg("tunnel_not_opened")
		return
	}
	s.opts.Metrics.Add("tunnels.served", 1)
	join(entry, upstream)
}

// hijack takes the connection of a request for a tunnel and confirms the tunnel. The other entry sends nothing before that.
func hijack(w http.ResponseWriter) (net.Conn, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	if err = conn.SetDeadline(time.Time{}); err == nil {
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (s *Server) acquire(entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.total >= maxTunnels || s.byEntry[entry] >= maxTunnelsOfEntry {
		return false
	}
	s.total++
	s.byEntry[entry]++
	return true
}

func (s *Server) release(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total--
	if s.byEntry[entry]--; s.byEntry[entry] == 0 {
		delete(s.byEntry, entry)
	}
}

// join copies what an upstream sends to an entry and the other way round until either has ended. An orderly end of the
// upstream is passed on as such, everything else as a reset: the end of some answers is that of their connection.
func join(entry, upstream net.Conn) {
	requests := &requestWriter{upstream: upstream}
	go func() {
		// The struct hides the connection's own way of copying, which keeps bytes in the kernel.
		_, _ = io.CopyBuffer(requests, struct{ io.Reader }{entry}, make([]byte, copyBufferBytes))
		// The entry closed the connection or was lost: its work is to be cancelled.
		_ = upstream.Close()
	}()
	if !copyFrames(entry, upstream, requests.wasReset) {
		reset(entry)
	}
	_ = entry.Close()
	_ = upstream.Close()
}

// requestWriter writes to an upstream and notices its reset. The operating system reports a reset only once: if a write gets it,
// a read returns an orderly end.
type requestWriter struct {
	upstream net.Conn
	// mu is held while a write is in progress.
	mu    sync.Mutex
	reset bool
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.upstream.Write(p)
	// A reset after the orderly end of the answer is reported as a broken pipe.
	w.reset = w.reset || errors.Is(err, syscall.ECONNRESET)
	return n, err
}

// wasReset reports whether a write got the upstream's reset. It ends the write in progress, which may be about to get it.
func (w *requestWriter) wasReset() bool {
	_ = w.upstream.SetWriteDeadline(time.Now())
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reset
}

// reset closes a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
