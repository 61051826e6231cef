package control

import (
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/statement"
)

const (
	// updateDelay is the delay between a change and the update to subscribers, so that
	// one message carries several changes.
	updateDelay = 15 * time.Millisecond
	// minUpdateInterval is the least time between an update and the next one that a change causes, so that the cost of a
	// link doesn't grow with the rate of changes.
	minUpdateInterval = 50 * time.Millisecond
	// updateInterval is the time between two updates without changes; an entry drops
	// its link to a keeper that misses several.
	updateInterval = 400 * time.Millisecond
	// tunnelInterval is the least time between two lists of tunnel peers over a link. A list names all entries, and each of
	// them changes it when it attaches, so that lists at each change cost the square of their number.
	tunnelInterval = time.Second
)

// subscriber is the stream to one entry.
type subscriber struct {
	nodeID string
	stream grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate]
	wake   chan struct{}

	sentVersion  uint64
	sentDocument uint64
	sentEvidence uint64
	// sentStatements is the version of the statements that the entry was sent.
	sentStatements uint64
	// granted are the limited upstreams that the entry may send a request to, and was not told of yet.
	granted []statement.Incarnation
	// primary is true for the entry's primary link, which gets documents immediately.
	primary atomic.Bool
	// reportedVersion is the document version that the entry last reported.
	reportedVersion atomic.Uint64
	// behindSince is the time from which the entry has lacked the newest document.
	behindSince time.Time
	sentKeepers int
	// sentTunnels is the version of the tunnel peers that the entry was sent, at tunnelsAt.
	sentTunnels uint64
	tunnelsAt   time.Time
}

// Attach serves one entry until its stream ends.
func (c *Control) Attach(stream grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s := &subscriber{
		nodeID: first.GetNodeId(), stream: stream, wake: make(chan struct{}, 1),
	}
	c.opts.Log.Info().Str("entry", s.nodeID).Uint64("document", first.GetDocumentVersion()).Msg("entry_attached")
	c.links.begin()
	defer c.links.end()
	c.handleReport(s, first)
	ended := make(chan error, 1)
	go func() { ended <- c.receive(s) }()
	err = c.sendUpdates(s, ended)
	c.mu.Lock()
	c.loads.removeNode(s.nodeID)
	c.tunnels.remove(s)
	c.mu.Unlock()
	c.confirmations.remove(s)
	c.opts.Log.Info().Str("entry", s.nodeID).AnErr("reason", err).Msg("entry_detached")
	return err
}

func (c *Control) receive(s *subscriber) error {
	for {
		report, err := s.stream.Recv()
		if err != nil {
			return err
		}
		c.handleReport(s, report)
	}
}

// handleReport handles an entry's report.
func (c *Control) handleReport(s *subscriber, r *peerpb.EntryReport) {
	s.primary.Store(r.GetPrimary())
	s.reportedVersion.Store(r.GetDocumentVersion())
	if r.GetConfirmToken() > 0 {
		c.confirmations.request(s, r.GetConfirmToken())
	}
	c.mu.Lock()
	c.loads.setNode(boottime.Now(), s.nodeID, r)
	c.tunnels.set(s, r.GetTunnel())
	c.mu.Unlock()
	c.mergeCrashEvidence(r.GetCrashEvidence())
	c.mergeStatements(r.GetStatements())
	c.grantLimited(s, r.GetLimitedWork())
	if len(r.GetEvidence()) == 0 && len(r.GetDemand()) == 0 {
		return
	}
	c.relays.relayReport(r.GetEvidence(), r.GetDemand())
	c.inbox.Push(entryReport{r.GetEvidence(), r.GetDemand()})
}

// sendUpdates sends updates to an entry until its stream ends.
func (c *Control) sendUpdates(s *subscriber, ended <-chan error) error {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for first := true; ; first = false {
		sentAt := boottime.Now()
		c.mu.Lock()
		signal := c.changes.signal
		c.mu.Unlock()
		u := c.nextUpdate(s, first)
		c.links.sent(u)
		if err := s.stream.Send(u); err != nil {
			return err
		}
		if err := s.awaitUpdate(signal, tick.C, sentAt, ended); err != nil {
			return err
		}
	}
}

// awaitUpdate returns when an update is due: after a change or a tick on the primary link,
// once per updateInterval on other links, and on both when a confirmation is ready.
func (s *subscriber) awaitUpdate(signal <-chan struct{}, tick <-chan time.Time, sentAt time.Time, ended <-chan error) error {
	for {
		select {
		case <-signal:
			if s.primary.Load() {
				time.Sleep(max(updateDelay, minUpdateInterval-boottime.Now().Sub(sentAt)))
				return nil
			}
			// The primary link carries the change immediately, this one with its next periodic update.
			signal = nil
		case <-s.wake:
			return nil
		case <-tick:
			interval := updateInterval
			if s.primary.Load() {
				interval = minUpdateInterval
			}
			if boottime.Now().Sub(sentAt) >= interval {
				return nil
			}
		case err := <-ended:
			return err
		case <-s.stream.Context().Done():
			return s.stream.Context().Err()
		}
	}
}

// nextUpdate returns the update with everything that has not been sent to the entry yet.
func (c *Control) nextUpdate(s *subscriber, first bool) *peerpb.FleetUpdate {
	token := c.confirmations.confirmed(s)
	status := c.opts.Keeper.Status()
	members := status.Membership.GetMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := &peerpb.FleetUpdate{
		Full: first, DocumentVersion: c.content.GetVersion(), ConfirmedToken: token,
		FailureDomain: c.opts.FailureDomain, LeaderKnown: status.Leader != 0,
	}
	if s.primary.Load() {
		sums := c.loads.all(boottime.Now(), s.nodeID)
		u.Loads, u.Entries, u.Repeats = sums.GetLoads(), sums.GetEntries(), sums.GetRepeats()
	}
	u.Upstreams, u.Forgotten = c.upstreamsSince(s.sentVersion, boottime.Now())
	s.sentVersion = c.changes.version
	u.CrashEvidence, s.sentEvidence = c.crashes.Encode(boottime.Now(), s.sentEvidence)
	u.Statements, s.sentStatements = c.statements.Encode(boottime.Now(), s.sentStatements)
	u.Tunnels = c.tunnels.due(s, boottime.Now())
	u.Granted, s.granted = encodeIncarnations(s.granted), nil
	if s.needsDocument(boottime.Now(), c.content.GetVersion()) {
		s.sentDocument, u.Document = c.content.GetVersion(), c.content.GetContent()
	}
	if len(members) != s.sentKeepers || first {
		s.sentKeepers = len(members)
		u.Keepers = lo.Map(members, func(m *peerpb.Member, _ int) *peerpb.KeeperAddress {
			return &peerpb.KeeperAddress{Address: m.GetAddress(), FailureDomain: m.GetFailureDomain()}
		})
	}
	return u
}

// documentWaitLimit is the wait limit for a document that another keeper should have sent
// to the entry.
const documentWaitLimit = 300 * time.Millisecond

// needsDocument reports whether the entry needs the document of a version from this
// keeper. An entry that has just started holds none and can't serve requests until it
// does, so it gets one on any link.
func (s *subscriber) needsDocument(now time.Time, version uint64) bool {
	if version <= s.sentDocument || version <= s.reportedVersion.Load() {
		s.behindSince = time.Time{}
		return false
	}
	if s.primary.Load() || s.reportedVersion.Load() == 0 {
		return true
	}
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
	return now.Sub(s.behindSince) >= documentWaitLimit
}
