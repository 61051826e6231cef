package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// A sound upstream falls silent for a random time in this range and goes on.
	minSilence = 800 * time.Millisecond
	maxSilence = 1600 * time.Millisecond
	// maxSilenceSeries bounds the silences of one upstream in a row, maxSilenceGap the time
	// between two of them.
	maxSilenceSeries = 3
	maxSilenceGap    = 500 * time.Millisecond
	// silenceSequences is the number of sequences of silences that run concurrently.
	silenceSequences = 2
)

// silence suspends an upstream as a whole: it sends nothing on any connection and reads nothing
// until the silence ends, and loses nothing.
type silence struct {
	mu  sync.Mutex
	end time.Time
}

// begin starts a silence or prolongs the current one.
func (s *silence) begin(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := time.Now().Add(d); end.After(s.end) {
		s.end = end
	}
}

// wait blocks until the upstream is not silent. It reports whether it was.
func (s *silence) wait() (waited bool) {
	for {
		s.mu.Lock()
		left := time.Until(s.end)
		s.mu.Unlock()
		if left <= 0 {
			return waited
		}
		waited = true
		time.Sleep(left)
	}
}

// pausableConn is a connection of an upstream that can fall silent.
type pausableConn struct {
	net.Conn
	silence *silence
	// wasReset is true once the upstream's incarnation ended: what it had read is lost with it.
	wasReset atomic.Bool
}

// Read implements io.Reader. A read deadline that passed during a silence is extended, so that
// no connection is closed as idle for it.
func (c *pausableConn) Read(p []byte) (int, error) {
	for {
		silentBefore := c.silence.wait()
		n, err := c.Conn.Read(p)
		silent := c.silence.wait() || silentBefore
		if c.wasReset.Load() {
			return 0, net.ErrClosed
		}
		if !silent || n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.SetReadDeadline(time.Now().Add(minIdle)); err != nil {
			return 0, err
		}
	}
}

// Write implements io.Writer.
func (c *pausableConn) Write(p []byte) (int, error) {
	c.silence.wait()
	return c.Conn.Write(p)
}

// pausableListener accepts the connections of an upstream that can fall silent.
type pausableListener struct {
	net.Listener
	silence *silence
}

// Accept implements net.Listener.
func (l *pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausableConn{Conn: conn, silence: l.silence}, nil
}

// runSilences injects only silences, signals that end nothing and planned restarts until a time.
func (c *concurrentFaults) runSilences(seed uint64, until time.Time) {
	var all sync.WaitGroup
	for _, f := range c.sequences(seed, "silences", silenceSequences) {
		all.Go(func() {
			f.runSequence(until, []func(){f.pauseSome, f.pauseSeries, f.pauseBesideFull, f.pauseBesideFull, f.hangup, f.term})
		})
	}
	all.Wait()
}

// silences returns the silences of all upstreams.
func (c *concurrentFaults) silences() []*silence {
	var all []*silence
	for _, e := range c.engines.all {
		all = append(all, &e.pauses)
	}
	for _, u := range c.service.upstreams {
		all = append(all, &u.pauses)
	}
	return all
}

func (f *faultSequence) silenceTime() time.Duration { return f.randomTime(minSilence, maxSilence) }

// pauseSome silences some upstreams at the same time, or most of them.
func (f *faultSequence) pauseSome() {
	all := f.concurrent.silences()
	for range 1 + f.random.IntN(len(all)) {
		all[f.random.IntN(len(all))].begin(f.silenceTime())
	}
	time.Sleep(maxSilence)
}

// pauseSeries silences one upstream several times in a row.
func (f *faultSequence) pauseSeries() {
	all := f.concurrent.silences()
	s := all[f.random.IntN(len(all))]
	for range 1 + f.random.IntN(maxSilenceSeries) {
		d := f.silenceTime()
		s.begin(d)
		time.Sleep(d + f.randomTime(0, maxSilenceGap))
	}
}

// pauseBesideFull silences one engine while all others of its service refuse requests.
func (f *faultSequence) pauseBesideFull() {
	silent := f.engine()
	setFull := func(full bool) {
		for _, e := range f.concurrent.engines.all {
			e.isFull.Store(full && e != silent && e.service == silent.service)
		}
	}
	d := f.silenceTime()
	silent.pauses.begin(d)
	setFull(true)
	time.Sleep(d)
	setFull(false)
}

// hangup tells an entry that its settings file may have changed.
func (f *faultSequence) hangup() { f.entry().signal(syscall.SIGHUP) }
