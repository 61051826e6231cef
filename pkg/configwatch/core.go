package configwatch

import (
	"time"

	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// sourceTimeout is the time without an event after which a source is replaced.
	sourceTimeout = 3 * heartbeatInterval
	// keeperContactTimeout is the time since a source's last contact with a keeper
	// after which another source is tried.
	keeperContactTimeout = 5 * time.Second
	// NoContact is the keeper age reported by a source that has no contact with a
	// keeper.
	NoContact = time.Minute
	// preferredRetryInterval is how long a node watches a source that is not
	// preferred before it tries the preferred ones again.
	preferredRetryInterval = 30 * time.Second
	// catchUpTimeout is how long a starting node watches one peer without reaching
	// the target revision before it queries the start peers again.
	catchUpTimeout = 10 * time.Second
	// queryInterval is the time between two queries of the start peers. A stream
	// that ends sooner is not replaced until the next tick.
	queryInterval = 500 * time.Millisecond
	// confirmTimeout is how long a starting node waits for an answer confirmed by a
	// quorum of keepers. It is longer than an election, so that after a restart of
	// the whole region nodes start with all accepted changes. After it, a node in a
	// network partition takes the highest revision of its reachable peers.
	confirmTimeout = 5 * time.Second
)

// action is what the core requests from its caller.
type action int

const (
	// actNone requests nothing.
	actNone action = iota
	// actQuery requests a query of all start peers for the revision that they hold.
	actQuery
	// actWatch requests a watch of the source from the revision in force.
	actWatch
)

// heldRevision is the answer of a start peer.
type heldRevision struct {
	peer string
	// confirmed is true if a quorum of keepers confirmed the answer.
	confirmed bool
	revision  uint64
}

// core decides which source a node watches and which revision is in force. It does
// no I/O and reads no clock: its caller passes in events with their time and
// performs the returned actions.
//
// The revision in force never decreases: onEvent ignores revisions that are not
// higher.
type core struct {
	// preferredCount is the number of preferred sources, which come first in sources.
	preferredCount int
	sources        []string
	config         *state.Config
	history        state.History

	// ready is set once the node has in force what its reachable peers held when it
	// started.
	ready          bool
	targetRevision uint64
	startedAt      time.Time
	queriedAt      time.Time
	// catchUpPeer is the peer that was last watched to reach the target. If others
	// hold the same revision, one of them is tried next.
	catchUpPeer string

	// source is the watched peer, or empty if there is none.
	source          string
	nextSource      int
	watchedAt       time.Time
	lastEventAt     time.Time
	keeperContactAt time.Time
	faults          injectedFaults
}

// injectedFaults disables single safeguards. Tests use it to verify that their
// checks detect the fault.
type injectedFaults struct {
	applyLowerRevision bool
	ignoreGap          bool
	readyEarly         bool
	trustUnconfirmed   bool
}

func newCore(sources []string, preferred int) *core {
	return &core{sources: sources, preferredCount: preferred, config: state.EmptyConfig()}
}

// start begins the query of the start peers.
func (c *core) start(now time.Time) action {
	c.startedAt, c.queriedAt = now, now
	return actQuery
}

// onHeldAnswers handles the answers of the reachable start peers. Peers that restart
// together may all hold less than was in force; the node therefore repeats the query
// until a quorum confirmed an answer or confirmTimeout has passed. While no peer has
// any configuration and no answer is confirmed, it repeats the query without limit.
func (c *core) onHeldAnswers(now time.Time, answers []heldRevision) action {
	best, confirmed := heldRevision{}, c.faults.trustUnconfirmed
	for _, a := range answers {
		confirmed = confirmed || a.confirmed
		if best.peer == "" || a.revision > best.revision || (a.revision == best.revision && best.peer == c.catchUpPeer) {
			best = a
		}
	}
	timedOut := now.Sub(c.startedAt) >= confirmTimeout && best.revision > 0
	if best.peer == "" || (!confirmed && !timedOut) {
		return actNone
	}
	c.targetRevision = best.revision
	if c.updateReady() {
		return c.watchNext(now)
	}
	c.catchUpPeer = best.peer
	return c.watch(now, best.peer)
}

// updateReady sets ready once the target revision is in force, and returns ready.
func (c *core) updateReady() bool {
	if c.config.Revision >= c.targetRevision || (c.faults.readyEarly && c.config.Revision > 0) {
		c.ready = true
	}
	return c.ready
}

func (c *core) watch(now time.Time, source string) action {
	c.source, c.watchedAt, c.lastEventAt = source, now, now
	return actWatch
}

func (c *core) watchNext(now time.Time) action {
	source := c.sources[c.nextSource%len(c.sources)]
	c.nextSource++
	return c.watch(now, source)
}

// onEvent handles an event from a source. If the event starts after the revision in
// force, because an earlier event was lost, the node restarts the watch.
func (c *core) onEvent(now time.Time, source string, event *peerpb.WatchEvent) (applied bool, act action, err error) {
	if source != c.source {
		return false, actNone, nil
	}
	c.lastEventAt = now
	c.keeperContactAt = now.Add(-time.Duration(event.GetKeeperAgeMs()) * time.Millisecond)
	if event.GetRevision() <= c.config.Revision && !c.faults.applyLowerRevision {
		return false, actNone, nil
	}
	if !event.GetFull() && event.GetFromRevision() > c.config.Revision && !c.faults.ignoreGap {
		return false, c.watch(now, source), nil
	}
	next, err := c.compile(event)
	if err != nil {
		return false, actNone, err
	}
	c.appendHistory(event)
	c.config = next
	wasReady := c.ready
	if c.updateReady() && !wasReady {
		return true, c.watchNext(now), nil
	}
	return true, actNone, nil
}

func (c *core) compile(event *peerpb.WatchEvent) (*state.Config, error) {
	if event.GetFull() {
		return state.Compile(event.GetRevision(), event.GetObjects())
	}
	return c.config.With(event)
}

// appendHistory stores the event for the watchers of this node.
func (c *core) appendHistory(event *peerpb.WatchEvent) {
	c.history.Add(&peerpb.WatchEvent{
		FromRevision: c.config.Revision, Revision: event.GetRevision(), Full: event.GetFull(),
		Objects: event.GetObjects(), Deleted: event.GetDeleted(),
	})
}

// onStreamEnd handles the end of the stream from a source. If the stream ended
// early, the next source is tried only at the next tick, so that a node that reaches
// no source does not retry in a tight loop.
func (c *core) onStreamEnd(now time.Time, source string) action {
	if source != c.source {
		return actNone
	}
	c.source = ""
	if !c.ready || c.endedEarly(now) {
		return actNone
	}
	return c.watchNext(now)
}

// endedEarly reports whether a stream that ends now lasted less than queryInterval.
func (c *core) endedEarly(now time.Time) bool { return now.Sub(c.watchedAt) < queryInterval }

// onTick handles the timeouts.
func (c *core) onTick(now time.Time) action {
	switch {
	case !c.ready && (c.source == "" || now.Sub(c.lastEventAt) >= sourceTimeout || now.Sub(c.watchedAt) >= catchUpTimeout):
		if now.Sub(c.queriedAt) < queryInterval {
			return actNone
		}
		c.source = ""
		c.queriedAt = now
		return actQuery
	case !c.ready:
		return actNone
	case now.Sub(c.lastEventAt) >= sourceTimeout || c.source == "":
		return c.watchNext(now)
	case now.Sub(c.keeperContactAt) >= keeperContactTimeout && now.Sub(c.watchedAt) >= keeperContactTimeout:
		return c.watchNext(now)
	case !c.isPreferred(c.source) && now.Sub(c.watchedAt) >= preferredRetryInterval:
		c.nextSource = 0
		return c.watchNext(now)
	default:
		return actNone
	}
}

func (c *core) isPreferred(source string) bool {
	for _, s := range c.sources[:c.preferredCount] {
		if s == source {
			return true
		}
	}
	return false
}

// since returns the changes after a revision, for the watchers of this node.
func (c *core) since(revision uint64) *peerpb.WatchEvent {
	if revision >= c.config.Revision {
		return &peerpb.WatchEvent{Revision: c.config.Revision, FromRevision: c.config.Revision}
	}
	if event, ok := c.history.Since(revision); ok {
		return event
	}
	return fullEvent(c.config)
}

func fullEvent(config *state.Config) *peerpb.WatchEvent {
	event := &peerpb.WatchEvent{Revision: config.Revision, Full: true}
	for _, o := range config.Objects {
		event.Objects = append(event.Objects, &peerpb.ConfigObject{
			Kind: string(o.Kind), Name: o.Name, Revision: o.Revision, Spec: o.Spec,
		})
	}
	return event
}
