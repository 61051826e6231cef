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
	now   time.Time
	cores map[string]*Core
	order []string
	queue []SendPacket
	down  map[string]bool
	seq   uint64
}

func newRegionSimulation(nodes ...coordinator.Node) *regionSimulation {
	r := &regionSimulation{now: time.Unix(1_000_000, 0), cores: map[string]*Core{}, down: map[string]bool{}}
	config := &state.Config{Revision: 1, Groups: []state.Group{{
		Name: "desk", Selector: labels.Everything(), Spec: api.GroupSpec{Service: "desk", VMs: 1},
	}}}
	for _, p := range nodes {
		r.cores[p.Node] = NewCore(r.now, CoreOptions{Node: p.Node, Incarnation: 1, FailureDomain: p.FailureDomain, Nodes: nodes})
		r.cores[p.Node].Step(r.now, ConfigChanged{config})
		r.order = append(r.order, p.Node)
	}
	return r
}

func (r *regionSimulation) enqueue(actions []Action) {
	for _, action := range actions {
		if p, ok := action.(SendPacket); ok {
			r.queue = append(r.queue, p)
		}
	}
}

func (r *regionSimulation) advance(d time.Duration) {
	for until := r.now.Add(d); r.now.Before(until); {
		r.now = r.now.Add(TickInterval)
		due := r.queue
		r.queue = nil
		for _, p := range due {
			if !r.down[p.To] && r.cores[p.To] != nil {
				r.enqueue(r.cores[p.To].Step(r.now, PacketReceived{p.Packet}))
			}
		}
		r.seq++
		for _, name := range r.order {
			if r.down[name] {
				continue
			}
			id := "desk-" + r.cores[name].opts.FailureDomain
			r.enqueue(r.cores[name].Step(r.now, AnnouncementReceived{api.Announcement{
				ID: id, Address: id, Kind: api.UpstreamService, Service: "desk", Incarnation: 1, Sequence: r.seq,
			}}))
			r.enqueue(r.cores[name].Step(r.now, Tick{}))
		}
	}
}

func (r *regionSimulation) isCoordinator(name string) bool {
	_, ok := r.cores[name].Coordinator(r.now)
	return ok
}

var twoDomains = []coordinator.Node{{Node: "a1", FailureDomain: "fd-a"}, {Node: "a2", FailureDomain: "fd-a"}, {Node: "b1", FailureDomain: "fd-b"}, {Node: "b2", FailureDomain: "fd-b"}}

// TestWitnessVoteElectsSurvivorOfTwoEntries checks that the survivor of two
// entries becomes coordinator with the vote of the witness in the next failure
// domain, and that it does not stay coordinator after the witness fails too.
func TestWitnessVoteElectsSurvivorOfTwoEntries(t *testing.T) {
	r := newRegionSimulation(twoDomains...)
	r.advance(3 * time.Second)
	require.True(t, r.isCoordinator("a1"))
	r.down["a1"] = true
	r.advance(4 * time.Second)
	require.True(t, r.isCoordinator("a2"))
	r.down["b1"] = true
	r.advance(4 * time.Second)
	require.False(t, r.isCoordinator("a2"))
}

// TestRemoteGroups checks that the view of every entry contains the whole groups of
// another failure domain, and that they are removed when its summaries stop.
func TestRemoteGroups(t *testing.T) {
	r := newRegionSimulation(twoDomains...)
	r.advance(5 * time.Second)
	for _, name := range []string{"b1", "b2"} {
		remote := r.cores[name].View(r.now).Remote
		require.Len(t, remote, 1, name)
		require.Equal(t, "fd-a", remote[0].FailureDomain)
		require.Equal(t, "desk-fd-a", remote[0].Address())
		require.Less(t, r.now.Sub(remote[0].ConfirmedAt), 3*time.Second)
	}
	r.down["a1"], r.down["a2"] = true, true
	r.advance(RemoteLease + 2*time.Second)
	require.Empty(t, r.cores["b2"].View(r.now).Remote)
	require.Len(t, r.cores["b2"].View(r.now).Groups, 1)
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
