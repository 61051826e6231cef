package domain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/coordinator"
	"github.com/masticmount/masticmount/pkg/dispatch"
	"github.com/masticmount/masticmount/pkg/membership"
	"github.com/masticmount/masticmount/pkg/state"
)

// regionSimulation simulates the cores of several failure domains, each with one
// plain service.
type regionSimulation struct {
	now       time.Time
	cores     map[string]*Core
	nodeNames []string
	packets   []SendPacket
	down      map[string]bool
	sequence  uint64
	// restarts counts the restarts of the upstreams.
	restarts uint64
}

func newRegionSimulation(nodes ...coordinator.Node) *regionSimulation {
	s := &regionSimulation{now: time.Unix(1_000_000, 0), cores: map[string]*Core{}, down: map[string]bool{}}
	config := &state.Config{Revision: 1, Groups: []state.Group{{
		Name: "desk", Selector: labels.Everything(), Spec: api.GroupSpec{Service: "desk", VMs: 1},
	}}}
	for _, node := range nodes {
		s.cores[node.Node] = NewCore(s.now, CoreOptions{Node: node.Node, Incarnation: 1, FailureDomain: node.FailureDomain, Nodes: nodes})
		s.cores[node.Node].Step(s.now, ConfigChanged{config})
		s.nodeNames = append(s.nodeNames, node.Node)
	}
	return s
}

func (s *regionSimulation) enqueue(actions []Action) {
	for _, action := range actions {
		if p, ok := action.(SendPacket); ok {
			s.packets = append(s.packets, p)
		}
	}
}

func (s *regionSimulation) advance(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until); {
		s.now = s.now.Add(TickInterval)
		due := s.packets
		s.packets = nil
		for _, p := range due {
			if !s.down[p.To] && s.cores[p.To] != nil {
				s.enqueue(s.cores[p.To].Step(s.now, PacketReceived{p.Packet}))
			}
		}
		s.sequence++
		for _, name := range s.nodeNames {
			if s.down[name] {
				continue
			}
			id := "desk-" + s.cores[name].opts.FailureDomain
			s.enqueue(s.cores[name].Step(s.now, AnnouncementReceived{api.Announcement{
				ID: id, Address: id, Kind: api.UpstreamService, Service: "desk", Incarnation: 1 + s.restarts, Sequence: s.sequence,
			}}))
			s.enqueue(s.cores[name].Step(s.now, Tick{}))
		}
	}
}

func (s *regionSimulation) isCoordinator(name string) bool {
	_, ok := s.cores[name].Coordinator(s.now)
	return ok
}

var twoDomains = []coordinator.Node{{Node: "a1", FailureDomain: "fd-a"}, {Node: "a2", FailureDomain: "fd-a"}, {Node: "b1", FailureDomain: "fd-b"}, {Node: "b2", FailureDomain: "fd-b"}}

// TestWitnessVoteElectsSurvivorOfTwoEntries checks that the survivor of two
// entries becomes coordinator with the vote of the witness in the next failure
// domain, and that it does not stay coordinator after the witness fails too.
func TestWitnessVoteElectsSurvivorOfTwoEntries(t *testing.T) {
	s := newRegionSimulation(twoDomains...)
	s.advance(3 * time.Second)
	require.True(t, s.isCoordinator("a1"))
	s.down["a1"] = true
	s.advance(4 * time.Second)
	require.True(t, s.isCoordinator("a2"))
	s.down["b1"] = true
	s.advance(4 * time.Second)
	require.False(t, s.isCoordinator("a2"))
}

// TestRemoteGroups checks that the view of every entry contains the whole groups of
// another failure domain, and that they are removed when its summaries stop.
func TestRemoteGroups(t *testing.T) {
	s := newRegionSimulation(twoDomains...)
	s.advance(5 * time.Second)
	for _, name := range []string{"b1", "b2"} {
		remote := s.cores[name].View(s.now).Remote
		require.Len(t, remote, 1, name)
		require.Equal(t, "fd-a", remote[0].FailureDomain)
		require.Equal(t, "desk-fd-a", remote[0].Address())
		require.Less(t, s.now.Sub(remote[0].ConfirmedAt), 3*time.Second)
	}
	s.down["a1"], s.down["a2"] = true, true
	s.advance(RemoteLease + 2*time.Second)
	require.Empty(t, s.cores["b2"].View(s.now).Remote)
	require.Len(t, s.cores["b2"].View(s.now).Groups, 1)
}

// A crash of a remote upstream counts once for each of its incarnations, so that entries must
// know which one they send to.
func TestRestartOfRemoteUpstreamIsKnown(t *testing.T) {
	s := newRegionSimulation(twoDomains...)
	s.advance(5 * time.Second)
	s.restarts++
	s.advance(3 * time.Second)
	for _, name := range []string{"b1", "b2"} {
		view := s.cores[name].View(s.now)
		require.Len(t, view.Remote, 1, name)
		require.Equal(t, uint64(2), view.Remote[0].Members[0].Incarnation, name)
		require.Equal(t, uint64(2), view.Groups[0].Members[0].Incarnation, name)
	}
}

func TestEvidenceForDispatchFailure(t *testing.T) {
	want := map[dispatch.Reason]membership.EvidenceKind{
		dispatch.DialFailed: membership.Refused, dispatch.WriteFailed: membership.ConnectionBroken,
		dispatch.Truncated: membership.ConnectionBroken, dispatch.TimedOut: membership.Latency,
	}
	for reason, kind := range want {
		e, ok := evidenceFor("e1", string(reason))
		require.True(t, ok)
		require.Equal(t, kind, e.Kind, reason)
	}
	_, ok := evidenceFor("e1", string(dispatch.ResponseMismatch))
	require.False(t, ok)
}

func TestExpandSequenceFromLowByte(t *testing.T) {
	require.Equal(t, uint64(300), expandSequence(298, 300&0xff))
	require.Equal(t, uint64(298), expandSequence(298, 290&0xff))
	require.Equal(t, uint64(513), expandSequence(510, 513&0xff))
}
