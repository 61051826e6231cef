package membership

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"github.com/masticmount/masticmount/internal/faultinject"
	"github.com/masticmount/masticmount/pkg/api"
)

// session replays a script of announcements, evidence and elapsed time.
type session struct {
	t     *testing.T
	now   time.Time
	table *Table
	// upstreams announce every api.AnnounceInterval. The announcements of
	// unreachable upstreams are lost; stopped upstreams make none.
	upstreams   map[string]*api.Announcement
	unreachable map[string]bool
	stopped     map[string]bool
}

// TestSessions replays the scripts in testdata: each command is followed by the
// expected conditions and groups.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSession(t, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.command(d)
			return s.render()
		})
	})
}

func newSession(t *testing.T, injected faultinject.Faults) *session {
	s := &session{t: t, now: time.Unix(0, 0), table: NewTable(), upstreams: map[string]*api.Announcement{}, unreachable: map[string]bool{}, stopped: map[string]bool{}}
	s.table.InjectedFaults = injected
	return s
}

func (s *session) command(d *datadriven.TestData) {
	switch d.Cmd {
	case "upstream":
		s.startUpstreams(d)
	case "run":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		require.NoError(s.t, err)
		s.run(wait)
	case "order":
		s.orderGroup(d)
	case "report":
		s.table.Report(s.now, parseEvidence(s.t, d))
	case "kill", "pause":
		s.forEachUpstream(d, func(id string) { s.unreachable[id], s.stopped[id] = true, true })
	case "cut":
		s.forEachUpstream(d, func(id string) { s.unreachable[id] = true })
	case "return":
		s.forEachUpstream(d, func(id string) { s.unreachable[id], s.stopped[id] = false, false })
	case "late":
		s.deliverAged(d)
	default:
		s.t.Fatalf("unknown command %q", d.Cmd)
	}
}

func (s *session) forEachUpstream(d *datadriven.TestData, fn func(id string)) {
	for _, arg := range d.CmdArgs {
		fn(arg.Key)
	}
}

func (s *session) startUpstreams(d *datadriven.TestData) {
	for _, arg := range d.CmdArgs {
		a := s.upstreams[arg.Key]
		if a == nil {
			a = &api.Announcement{ID: arg.Key, Kind: api.UpstreamEngine}
			s.upstreams[arg.Key] = a
		}
		a.Incarnation++
		a.Sequence, a.Group, a.Generation, a.Rank, a.Size = 0, "", 0, 0, 0
		s.unreachable[arg.Key], s.stopped[arg.Key] = false, false
	}
}

// orderGroup makes the named upstreams echo a group, with ranks in the given order.
func (s *session) orderGroup(d *datadriven.TestData) {
	var generation uint64
	d.ScanArgs(s.t, "generation", &generation)
	members := d.CmdArgs[1].Vals
	for rank, id := range members {
		a := s.upstreams[id]
		a.Group, a.Generation, a.Rank, a.Size = "g", generation, rank, len(members)
	}
}

// deliverAged delivers the next announcement of an upstream with the given age.
func (s *session) deliverAged(d *datadriven.TestData) {
	var text string
	d.ScanArgs(s.t, "age", &text)
	age, err := time.ParseDuration(text)
	require.NoError(s.t, err)
	a := *s.upstreams[d.CmdArgs[0].Key]
	a.Sequence++
	s.upstreams[d.CmdArgs[0].Key].Sequence++
	s.table.Observe(s.now, a, age)
}

func parseEvidence(t *testing.T, d *datadriven.TestData) Evidence {
	e := Evidence{Upstream: d.CmdArgs[0].Key}
	var kind string
	d.ScanArgs(t, "kind", &kind)
	e.Kind = EvidenceKind(kind)
	if d.HasArg("ratio") {
		var ratio int
		d.ScanArgs(t, "ratio", &ratio)
		e.Ratio = float64(ratio)
	}
	return e
}

func (s *session) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for until := s.now.Add(d); s.now.Before(until); {
		s.now = s.now.Add(step)
		if s.now.UnixMilli()%api.AnnounceInterval.Milliseconds() == 0 {
			s.announce()
		}
	}
}

func (s *session) announce() {
	for id, a := range s.upstreams {
		if s.stopped[id] {
			continue
		}
		a.Sequence++
		if !s.unreachable[id] {
			s.table.Observe(s.now, *a, 0)
		}
	}
}

func (s *session) render() string {
	var b strings.Builder
	for _, r := range s.table.Records() {
		fmt.Fprintf(&b, "%s %s", r.Announcement.ID, s.table.Condition(s.now, r))
		if s.table.Lost(s.now, r) {
			b.WriteString(" lost")
		}
		if r.Slow(s.now) {
			b.WriteString(" slow")
		}
		if r.LastReturnReason != "" {
			fmt.Fprintf(&b, " (was %s)", r.LastReturnReason)
		}
		b.WriteString("\n")
	}
	for _, g := range s.table.Groups(s.now) {
		fmt.Fprintf(&b, "group %s generation %d: %d of %d, whole=%v\n", g.Name, g.Generation, len(g.Members), g.Size, g.Whole)
	}
	return b.String()
}

// wholeAfterPause pauses one member of a whole group of two for longer than its
// lease. It reports whether the group is whole after the member's first
// announcement.
func wholeAfterPause(t *testing.T, injected faultinject.Faults) bool {
	s := newSession(t, injected)
	for _, id := range []string{"e0", "e1"} {
		s.upstreams[id] = &api.Announcement{ID: id, Kind: api.UpstreamEngine, Incarnation: 1, Group: "g", Generation: 1, Size: 2}
	}
	s.upstreams["e1"].Rank = 1
	s.run(time.Second)
	s.unreachable["e1"], s.stopped["e1"] = true, true
	s.run(3 * time.Second)
	s.unreachable["e1"], s.stopped["e1"] = false, false
	s.run(api.AnnounceInterval)
	return s.table.Groups(s.now)[0].Whole
}

// TestStaleEchoDoesNotMakeGroupWhole checks that the first announcement after a
// pause, which may have been made before it, does not make a group whole. With
// the injected fault AcceptStaleEcho it does.
func TestStaleEchoDoesNotMakeGroupWhole(t *testing.T) {
	require.False(t, wholeAfterPause(t, 0))
	require.True(t, wholeAfterPause(t, faultinject.AcceptStaleEcho))
}

// wholeAfterRefusal reports whether a group is whole immediately after a failed
// dispatch.
func wholeAfterRefusal(t *testing.T, injected faultinject.Faults) bool {
	s := newSession(t, injected)
	s.upstreams["e0"] = &api.Announcement{ID: "e0", Kind: api.UpstreamEngine, Incarnation: 1, Group: "g", Generation: 1, Size: 1}
	s.run(time.Second)
	s.table.Report(s.now, Evidence{Upstream: "e0", Kind: Refused})
	return s.table.Groups(s.now)[0].Whole
}

// TestGroupIsNotWholeAfterFailedDispatch checks that a group is not whole
// immediately after a failed dispatch. With the injected fault IgnoreEvidence it
// stays whole.
func TestGroupIsNotWholeAfterFailedDispatch(t *testing.T) {
	require.False(t, wholeAfterRefusal(t, 0))
	require.True(t, wholeAfterRefusal(t, faultinject.IgnoreEvidence))
}
