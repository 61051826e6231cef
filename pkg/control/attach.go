package control

import (
	"time"

	"github.com/samber/lo"
	"google.golang.org/grpc"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// gatherTime passes after a change before subscribers are told, so that one
	// message carries the changes of a moment.
	gatherTime = 15 * time.Millisecond
	// updateInterval is the time between two updates without changes; an entry takes
	// a keeper that misses several for lost.
	updateInterval = 400 * time.Millisecond
)

// subscriber is one entry's stream.
type subscriber struct {
	nodeID, failureDomain string
	stream                grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate]
	woken                 chan struct{}

	sentVersion  uint64
	sentDocument uint64
	sentKeepers  int
}

// Attach serves one entry until its stream ends.
func (c *Control) Attach(stream grpc.BidiStreamingServer[peerpb.EntryReport, peerpb.FleetUpdate]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s := &subscriber{
		nodeID: first.GetNodeId(), failureDomain: first.GetFailureDomain(), stream: stream, woken: make(chan struct{}, 1),
		sentDocument: first.GetDocumentVersion(),
	}
	c.opts.Log.Info().Str("entry", s.nodeID).Uint64("document", first.GetDocumentVersion()).Msg("entry_attached")
	c.reported(s, first)
	ended := make(chan error, 1)
	go func() { ended <- c.receive(s) }()
	err = c.update(s, ended)
	c.mu.Lock()
	c.loads.remove(s.failureDomain, s.nodeID)
	c.mu.Unlock()
	c.confirms.remove(s)
	c.opts.Log.Info().Str("entry", s.nodeID).AnErr("reason", err).Msg("entry_detached")
	return err
}

func (c *Control) receive(s *subscriber) error {
	for {
		report, err := s.stream.Recv()
		if err != nil {
			return err
		}
		c.reported(s, report)
	}
}

// reported takes in what an entry tells.
func (c *Control) reported(s *subscriber, r *peerpb.EntryReport) {
	if r.GetConfirmToken() > 0 {
		c.confirms.ask(s, r.GetConfirmToken())
	}
	if r.GetLoads() != nil {
		c.mu.Lock()
		c.loads.set(s.failureDomain, s.nodeID, r.GetLoads())
		c.mu.Unlock()
	}
	if len(r.GetEvidence()) == 0 && len(r.GetDemand()) == 0 {
		return
	}
	c.relays.entryReport(r.GetEvidence(), r.GetDemand())
	c.inbox.Push(entryReport{r.GetEvidence(), r.GetDemand()})
}

// update is the duty that tells an entry what changes.
func (c *Control) update(s *subscriber, ended <-chan error) error {
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for first := true; ; first = false {
		c.mu.Lock()
		signal := c.changes.signal
		c.mu.Unlock()
		if err := s.stream.Send(c.updateFor(s, first)); err != nil {
			return err
		}
		select {
		case <-signal:
			time.Sleep(gatherTime)
		case <-s.woken:
		case <-tick.C:
		case err := <-ended:
			return err
		case <-s.stream.Context().Done():
			return s.stream.Context().Err()
		}
	}
}

// updateFor returns what an entry has not been told.
func (c *Control) updateFor(s *subscriber, first bool) *peerpb.FleetUpdate {
	token := c.confirms.confirmed(s)
	members := c.opts.Keeper.Status().Membership.GetMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	u := &peerpb.FleetUpdate{
		Full: first, DocumentVersion: c.content.GetVersion(), ConfirmedToken: token,
		Loads: c.loads.others(s.failureDomain, s.nodeID),
	}
	u.Upstreams, u.Forgotten = c.upstreamsChanged(s.sentVersion, boottime.Now())
	s.sentVersion = c.changes.version
	if c.content.GetVersion() > s.sentDocument {
		s.sentDocument, u.Document = c.content.GetVersion(), c.content.GetContent()
	}
	if len(members) != s.sentKeepers || first {
		s.sentKeepers = len(members)
		u.Keepers = lo.Map(members, func(m *peerpb.Member, _ int) *peerpb.KeeperAddress {
			return &peerpb.KeeperAddress{Address: m.GetAddress()}
		})
	}
	return u
}
