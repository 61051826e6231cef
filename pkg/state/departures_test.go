package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/peerpb"
)

func applyDeparture(m *Machine, atMS int64, u *peerpb.UpstreamRecord) {
	m.Apply(0, &peerpb.Command{Body: &peerpb.Command_Departure{Departure: &peerpb.Departure{Upstream: u}}, LeaderTimeMs: atMS})
}

func TestLaterDepartureSupersedes(t *testing.T) {
	draining := &peerpb.UpstreamRecord{Id: "u", BornMs: 1, Sequence: 4, Draining: true}
	cases := map[string]struct {
		next     *peerpb.UpstreamRecord
		replaces bool
	}{
		"the same":              {draining, false},
		"an earlier statement":  {&peerpb.UpstreamRecord{Id: "u", BornMs: 1, Sequence: 3, Draining: true}, false},
		"a later statement":     {&peerpb.UpstreamRecord{Id: "u", BornMs: 1, Sequence: 5, Draining: true}, true},
		"a deregistration":      {&peerpb.UpstreamRecord{Id: "u", BornMs: 1, Sequence: 2, Gone: true}, true},
		"the next incarnation":  {&peerpb.UpstreamRecord{Id: "u", BornMs: 2, Sequence: 1, Draining: true}, true},
		"an earlier one's":      {&peerpb.UpstreamRecord{Id: "u", BornMs: 0, Sequence: 9, Gone: true}, false},
		"another upstream's":    {&peerpb.UpstreamRecord{Id: "v", BornMs: 1, Sequence: 4, Draining: true}, false},
		"without any upstream ": {nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := New()
			applyDeparture(m, 1000, draining)
			applyDeparture(m, 2000, c.next)
			if c.replaces {
				assert.Same(t, c.next, m.Departure("u"))
			} else {
				assert.Same(t, draining, m.Departure("u"))
			}
		})
	}
}

func TestDeparturesAreBoundedAndExpire(t *testing.T) {
	m := New()
	for i := range maxDepartures + 10 {
		applyDeparture(m, 1000, &peerpb.UpstreamRecord{Id: fmt.Sprint("u", i), BornMs: 1, Gone: true})
	}
	all, _ := m.DeparturesSince(0)
	assert.Len(t, all, maxDepartures)
	assert.Nil(t, m.Departure("u0"), "the oldest are dropped")
	applyDeparture(m, 999+departureRetention.Milliseconds(), &peerpb.UpstreamRecord{Id: "later", BornMs: 1, Gone: true})
	assert.NotNil(t, m.Departure("u11"))
	applyDeparture(m, 1000+departureRetention.Milliseconds(), &peerpb.UpstreamRecord{Id: "last", BornMs: 1, Gone: true})
	all, _ = m.DeparturesSince(0)
	assert.Len(t, all, 2)
}

// Guards against departures that are lost with a snapshot, or not seen by a reader that knew the state before it.
func TestSnapshotHasDepartures(t *testing.T) {
	m := New()
	applyDeparture(m, 1000, &peerpb.UpstreamRecord{Id: "u", BornMs: 1, Gone: true})
	applyDeparture(m, 2000, &peerpb.UpstreamRecord{Id: "v", BornMs: 1, Draining: true})
	_, seen := m.DeparturesSince(0)
	applyDeparture(m, 3000, &peerpb.UpstreamRecord{Id: "w", BornMs: 1, Draining: true})
	news, _ := m.DeparturesSince(seen)
	require.Len(t, news, 1)
	assert.Equal(t, "w", news[0].GetId())
	data, err := m.Snapshot()
	require.NoError(t, err)

	other := New()
	for i := range 7 {
		applyDeparture(other, 1000, &peerpb.UpstreamRecord{Id: fmt.Sprint("older", i), BornMs: 1, Gone: true})
	}
	_, seen = other.DeparturesSince(0)
	require.NoError(t, other.Restore(data))
	news, _ = other.DeparturesSince(seen)
	require.Len(t, news, 3)
	for i, id := range []string{"u", "v", "w"} {
		assert.Equal(t, id, news[i].GetId())
	}
	again, err := other.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, data, again)
}

// Guards against an older node, as leader, that drops a command it does not know from what it appends to the log.
func TestUnknownCommandIsKeptByOlderNodes(t *testing.T) {
	sent, err := proto.Marshal(&peerpb.Command{Body: &peerpb.Command_Departure{Departure: &peerpb.Departure{Upstream: &peerpb.UpstreamRecord{Id: "u"}}}})
	require.NoError(t, err)
	// An older node has no field of this number; a message without fields stands for its Command.
	older := &peerpb.ClaimLookup{}
	require.NoError(t, proto.Unmarshal(sent, older))
	forwarded, err := proto.Marshal(older)
	require.NoError(t, err)
	assert.Equal(t, sent, forwarded)
	result := New().Apply(1, &peerpb.Command{})
	assert.Empty(t, result.GetFaultKind(), "a command without a known body changes nothing")
}
