// Package configwatch keeps a node's configuration up to date and sends the node's
// proposals to the keepers. Configuration is distributed from the keepers to two
// relays in each failure domain, and from the relays to the other nodes. A node never
// applies a lower revision, and becomes ready only with the highest revision that its
// reachable peers held when it started.
package configwatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/ring"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// tickInterval is the time between two checks of the timeouts.
	tickInterval = 250 * time.Millisecond
	// queryTimeout limits one query of the peers.
	queryTimeout = time.Second
	// maxSignals is the capacity of the queue to the watcher's goroutine. Signals are
	// dropped while it is full; a dropped event causes a revision gap, upon which the
	// node restarts the watch.
	maxSignals = 256
)

// Peer is a node of the region, possibly this one.
type Peer struct {
	ID            string
	FailureDomain string
	Keeper        bool
	Conn          grpc.ClientConnInterface
}

// Options configures a Watcher.
type Options struct {
	NodeID string
	// Peers are all nodes of the region, including this one.
	Peers []Peer
	Log   zerolog.Logger
}

// Watcher holds the configuration in force on this node.
type Watcher struct {
	opts       Options
	log        zerolog.Logger
	peers      map[string]Peer
	keepers    []Peer
	startPeers []Peer
	// leader is the index of the keeper that accepted the last proposal.
	leader  atomic.Int64
	breaker breaker
	config  atomic.Pointer[state.Config]
	ready   atomic.Bool
	// observers are called with each configuration put in force.
	observers []func(*state.Config)

	mu      sync.Mutex
	core    *core
	signals *ring.Ring[signal]
}

// signal is one message to the watcher's goroutine: the answers of a query, an
// event of a stream, or the end of a stream.
type signal struct {
	answers  []heldRevision
	answered bool
	// source and watchID identify the stream of an event or of an end.
	source  string
	watchID uint64
	event   *peerpb.WatchEvent
	err     error
}

// New returns a watcher. Run starts it.
func New(opts Options) *Watcher {
	tree := planTree(opts.NodeID, opts.Peers)
	w := &Watcher{
		opts: opts, log: opts.Log, peers: map[string]Peer{}, startPeers: tree.startPeers,
		core:    newCore(tree.sources, tree.preferredCount),
		signals: ring.New[signal](maxSignals, ring.RejectNew),
	}
	for _, p := range opts.Peers {
		w.peers[p.ID] = p
		if p.Keeper {
			w.keepers = append(w.keepers, p)
		}
	}
	w.config.Store(w.core.config)
	return w
}

// OnUpdate registers an observer that is called with each configuration put in
// force. It must be called before Run.
func (w *Watcher) OnUpdate(fn func(*state.Config)) { w.observers = append(w.observers, fn) }

// Config returns the configuration in force; it is never nil.
func (w *Watcher) Config() *state.Config { return w.config.Load() }

// Ready reports whether the node has reached the highest revision that its reachable
// peers held when it started.
func (w *Watcher) Ready() bool { return w.ready.Load() }

// QuorumLost reports whether proposals are rejected because the last one reached no
// majority of keepers.
func (w *Watcher) QuorumLost() bool { return w.breaker.tripped.Load() }

// Since returns the changes after a revision, for the watchers of this node.
func (w *Watcher) Since(revision uint64) *peerpb.WatchEvent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.since(revision)
}

// KeeperAge returns the time since this node's last contact with a keeper, directly
// or through a relay, or NoContact if there was none.
func (w *Watcher) KeeperAge() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.core.keeperContactAt.IsZero() {
		return NoContact
	}
	return time.Since(w.core.keeperContactAt)
}

// Run watches the sources until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	run := &run{Watcher: w, ctx: ctx}
	defer run.stop()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	run.perform(w.step(func(now time.Time) action { return w.core.start(now) }))
	for {
		select {
		case s := <-w.signals.Chan():
			run.handleSignal(s)
		case <-tick.C:
			run.perform(w.step(w.core.onTick))
			if w.breaker.tryStartProbe() {
				run.goroutines.Go(func() { w.probe(ctx) })
			}
		case <-ctx.Done():
			return
		}
	}
}

// step passes one event to the core under the lock and publishes its readiness.
func (w *Watcher) step(event func(now time.Time) action) action {
	w.mu.Lock()
	defer w.mu.Unlock()
	act := event(time.Now())
	w.ready.Store(w.core.ready)
	return act
}

// run is the state of one call of Run.
type run struct {
	*Watcher
	ctx        context.Context
	watchID    uint64
	stopWatch  context.CancelFunc
	goroutines sync.WaitGroup
}

func (r *run) stop() {
	if r.stopWatch != nil {
		r.stopWatch()
	}
	r.goroutines.Wait()
}

// handleSignal passes a signal to the core. It ignores signals of streams that are
// no longer watched.
func (r *run) handleSignal(s signal) {
	switch {
	case s.answered:
		r.perform(r.step(func(now time.Time) action { return r.core.onHeldAnswers(now, s.answers) }))
	case s.watchID != r.watchID:
	case s.event != nil:
		r.handleEvent(s)
	default:
		r.logStreamEnd(s)
		r.perform(r.step(func(now time.Time) action { return r.core.onStreamEnd(now, s.source) }))
	}
}

// logStreamEnd logs the end of a stream. Streams that end early, such as failed
// connection attempts, are logged at debug level.
func (r *run) logStreamEnd(s signal) {
	level := zerolog.WarnLevel
	if r.core.endedEarly(time.Now()) {
		level = zerolog.DebugLevel
	}
	r.log.WithLevel(level).Err(s.err).Str("source", s.source).Msg("config_watch_lost")
}

func (r *run) handleEvent(s signal) {
	var applied bool
	var err error
	act := r.step(func(now time.Time) (act action) {
		applied, act, err = r.core.onEvent(now, s.source, s.event)
		return act
	})
	if err != nil {
		r.log.Error().Err(err).Uint64("revision", s.event.GetRevision()).Msg("config_refused")
	}
	if applied {
		r.applyConfig()
	}
	r.perform(act)
}

func (r *run) applyConfig() {
	config := r.core.config
	r.config.Store(config)
	r.log.Info().Uint64("revision", config.Revision).Str("source", r.core.source).Msg("config_in_force")
	for _, fn := range r.observers {
		fn(config)
	}
}

func (r *run) perform(a action) {
	switch a {
	case actQuery:
		r.goroutines.Go(r.queryStartPeers)
	case actWatch:
		r.startWatch()
	case actNone:
	}
}

func (r *run) queryStartPeers() {
	answers := r.queryHeld(r.ctx, r.startPeers)
	r.signals.Push(signal{answered: true, answers: answers})
}

func (r *run) startWatch() {
	if r.stopWatch != nil {
		r.stopWatch()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.stopWatch = cancel
	r.watchID++
	watch, source, from := r.watchID, r.core.source, r.core.config.Revision
	r.goroutines.Go(func() {
		err := r.readStream(ctx, watch, source, from)
		r.signals.Push(signal{source: source, watchID: watch, err: err})
	})
}

// readStream forwards the events of a source until the stream ends.
func (r *run) readStream(ctx context.Context, watch uint64, source string, from uint64) error {
	client := peerpb.NewFeedClient(r.peers[source].Conn)
	stream, err := client.Watch(ctx, &peerpb.WatchRequest{NodeId: r.opts.NodeID, FromRevision: from})
	if err != nil {
		return err
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return err
		}
		r.signals.Push(signal{source: source, watchID: watch, event: event})
	}
}
