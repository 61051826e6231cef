package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// step is one piece of evidence of a table test.
type step struct {
	at float64
	// crash is the engine that crashed; empty for a success.
	crash string
	parts []string
}

func crash(at float64, engine string, parts ...string) step { return step{at, engine, parts} }

func success(at float64, parts ...string) step { return step{at, "", parts} }

func tableWith(steps ...step) *Table {
	t := NewTable()
	for _, s := range steps {
		if s.crash != "" {
			t.AddCrash(at(s.at), Crash{Upstream: s.crash, StartTime: 1, Parts: s.parts, At: at(s.at)})
		} else {
			t.ObserveSuccess(at(s.at), s.parts)
		}
	}
	return t
}

func TestVerdicts(t *testing.T) {
	threeCrashes := []step{
		crash(1, "a", "first", "crashing"), success(1.1, "first", "other"), crash(2, "b", "first", "crashing"), success(2.1, "first", "other"),
		crash(3, "c", "first", "crashing"), success(3.1, "first", "other"),
	}
	cases := []struct {
		name    string
		steps   []step
		at      float64
		parts   []string
		refused bool
	}{
		{"no evidence", nil, 1, []string{"crashing"}, false},
		{"two crashes", threeCrashes[:4], 4, []string{"first", "crashing"}, false},
		{"three crashes", threeCrashes, 4, []string{"first", "crashing"}, true},
		{"three crashes, with another first part", threeCrashes, 4, []string{"new", "crashing"}, true},
		{"sound request with the same first part", threeCrashes, 4, []string{"first", "other"}, false},
		{"unknown request", threeCrashes, 4, []string{"new"}, false},
		{"request without parts", threeCrashes, 4, nil, false},
		{"same engine started again counts as another one", []step{
			crash(1, "a", "crashing"), success(1.5, "x"), crash(5, "b", "crashing"), crash(9, "c", "crashing"),
		}, 10, []string{"crashing"}, true},
		{"one engine is counted once", []step{
			crash(1, "a", "crashing"), success(1.5, "x"), crash(2, "a", "crashing"), crash(3, "a", "crashing"),
		}, 4, []string{"crashing"}, false},
		{"success refutes the crashes before it", append(threeCrashes, success(3.5, "crashing")), 4, []string{"first", "crashing"}, false},
		{"crashes after a success count", append([]step{crash(0, "z", "crashing"), success(0.5, "crashing")}, threeCrashes...), 4, []string{"crashing"}, true},
		{"engines that end together count once", []step{
			crash(1, "a", "hot"), crash(1.01, "b", "hot"), crash(1.02, "c", "hot"), crash(1.03, "d", "hot"), success(1.5, "x"),
		}, 2, []string{"hot"}, false},
		{"no request succeeds: the engines fail by themselves", []step{
			crash(1, "a", "first"), crash(2, "b", "first"), crash(3, "c", "first"), crash(4, "d", "first"),
		}, 5, []string{"first"}, false},
		{"parts that always came together: both needed", []step{
			crash(1, "a", "p", "q"), success(1.5, "x"), crash(2, "b", "p", "q"), crash(3, "c", "p", "q"),
		}, 4, []string{"p", "q"}, true},
		{"parts that always came together: one of them is tried", []step{
			crash(1, "a", "p", "q"), success(1.5, "x"), crash(2, "b", "p", "q"), crash(3, "c", "p", "q"),
		}, 4, []string{"p"}, false},
		{"a crash without its companion condemns the part alone", []step{
			crash(1, "a", "p", "q"), success(1.5, "x"), crash(2, "b", "p", "q"), crash(3, "c", "p", "q"), crash(4, "d", "p"),
		}, 5, []string{"p"}, true},
		{"and acquits the companion", []step{
			crash(1, "a", "p", "q"), success(1.5, "x"), crash(2, "b", "p", "q"), crash(3, "c", "p", "q"), crash(4, "d", "p"),
		}, 5, []string{"q"}, false},
		{"quarantine ends", threeCrashes, 3 + QuarantineTime.Seconds(), []string{"crashing"}, false},
		{"one more crash restores it", append(threeCrashes, crash(3+QuarantineTime.Seconds(), "d", "crashing")), 4 + QuarantineTime.Seconds(), []string{"crashing"}, true},
		{"old crashes do not count", []step{
			crash(1, "a", "crashing"), success(1.5, "x"), crash(evidenceTime.Seconds(), "b", "crashing"), crash(evidenceTime.Seconds()+2, "c", "crashing"),
		}, evidenceTime.Seconds() + 3, []string{"crashing"}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := tableWith(c.steps...)
			table.Changes(at(c.at))
			finding, refused := table.Check(at(c.at), c.parts)
			assert.Equal(t, c.refused, refused, "%+v", finding)
		})
	}
}

func TestFindingNamesItsEvidence(t *testing.T) {
	table := tableWith(crash(1, "a", "p", "q"), success(1.5, "x"), crash(2, "b", "p", "q"), crash(2.05, "e", "p", "q"), crash(3, "c", "p", "q"))
	finding, refused := table.Check(at(4), []string{"p", "q", "own"})
	require.True(t, refused)
	assert.Equal(t, Finding{
		Part: "p", Crashes: 3, Upstreams: []string{"a", "b", "e", "c"}, First: at(1), Last: at(3), Until: at(3).Add(QuarantineTime), Companions: []string{"q"},
	}, finding)
}

func TestChangesReportBeginAndEndOnce(t *testing.T) {
	table := tableWith(crash(1, "a", "p"), success(1.5, "x"), crash(2, "b", "p"), crash(3, "c", "p"))
	began := table.Changes(at(3))
	require.Len(t, began, 1)
	assert.True(t, began[0].Quarantined)
	assert.Equal(t, 1, table.Quarantined())
	assert.Empty(t, table.Changes(at(4)))
	table.ObserveSuccess(at(5), []string{"p"})
	ended := table.Changes(at(5))
	require.Len(t, ended, 1)
	assert.False(t, ended[0].Quarantined)
	assert.Equal(t, "p", ended[0].Part)
	assert.Zero(t, table.Quarantined())
}

// A crash that another node reports late may precede a success that this node saw.
func TestSuccessThatPrecedesReportOfCrash(t *testing.T) {
	table := NewTable()
	table.ObserveSuccess(at(5), []string{"p"})
	for i, engine := range []string{"a", "b", "c"} {
		table.AddCrash(at(6), Crash{Upstream: engine, StartTime: 1, Parts: []string{"p"}, At: at(1 + float64(i))})
	}
	_, refused := table.Check(at(6), []string{"p"})
	assert.False(t, refused)
	_, successes, _ := table.Since(0)
	assert.Contains(t, successes, Success{"p", at(5)}, "reported to the others")
}

func TestQuarantinedPartOutlastsManyOtherCrashes(t *testing.T) {
	table := tableWith(crash(1, "a", "crashing"), success(1.5, "x"), crash(2, "b", "crashing"), crash(3, "c", "crashing"))
	for i := range 4 * maxCrashes {
		second := 4 + float64(i)/100
		table.AddCrash(at(second), Crash{Upstream: fmt.Sprint("u", i), StartTime: 1, Parts: []string{fmt.Sprint("p", i)}, At: at(second)})
		table.ObserveSuccess(at(second), []string{fmt.Sprint("s", i)})
	}
	_, refused := table.Check(at(60), []string{"crashing"})
	assert.True(t, refused)
	assert.LessOrEqual(t, table.Crashes(), maxCrashes)
	assert.LessOrEqual(t, len(table.recent)+len(table.older), 2*maxRecentSuccesses+maxParts+1)
	assert.LessOrEqual(t, len(table.successes), maxCrashes*maxParts+1)
}

func TestLongPromptsAndIdentifiersAreBounded(t *testing.T) {
	long := make([]string, 3*maxParts)
	for i := range long {
		long[i] = fmt.Sprintf("%0200d", i)
	}
	table := tableWith(crash(1, "a", long...), success(1.5, "x"), crash(2, "b", long...), crash(3, "c", long...))
	for _, c := range table.crashes {
		assert.LessOrEqual(t, len(c.Parts), maxParts)
		for _, part := range c.Parts {
			assert.LessOrEqual(t, len(part), maxPartBytes)
		}
	}
	_, refused := table.Check(at(4), long)
	assert.True(t, refused)
}

// Nodes that exchange drawn evidence in any order, and repeatedly, reach the same verdicts and
// have nothing more to tell each other.
func TestExchangedEvidenceConverges(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		var nodes []*Table
		for range 4 {
			nodes = append(nodes, NewTable())
		}
		for i := range 80 {
			second := float64(i) / 4
			parts := []string{fmt.Sprint("p", random.IntN(3)), fmt.Sprint("q", random.IntN(3))}
			node := nodes[random.IntN(len(nodes))]
			if random.IntN(3) == 0 {
				node.ObserveSuccess(at(second), parts)
			} else {
				node.AddCrash(at(second), Crash{Upstream: fmt.Sprint("u", i), StartTime: 1, Parts: parts, At: at(second)})
			}
			exchange(at(second), nodes[random.IntN(len(nodes))], nodes[random.IntN(len(nodes))])
		}
		for range 3 {
			for _, i := range random.Perm(len(nodes) * len(nodes)) {
				exchange(at(30), nodes[i/len(nodes)], nodes[i%len(nodes)])
			}
		}
		for _, i := range random.Perm(len(nodes) * len(nodes)) {
			assert.False(t, exchange(at(30), nodes[i/len(nodes)], nodes[i%len(nodes)]), "seed %d: nothing is new", seed)
		}
		for _, node := range nodes {
			assert.Equal(t, nodes[0].findings, node.findings, "seed %d", seed)
		}
	}
}

// exchange sends all evidence of one node to another and reports whether any was new.
func exchange(now time.Time, from, to *Table) bool {
	evidence, _ := from.Encode(now, 0)
	return from != to && to.Merge(now, evidence)
}

func TestSinceReturnsOnlyWhatWasAdded(t *testing.T) {
	table := tableWith(crash(1, "a", "p"))
	first, version := table.Encode(at(2), 0)
	assert.Len(t, first.GetCrashes(), 1)
	assert.EqualValues(t, 1000, first.GetCrashes()[0].GetAgeMs())
	nothing, _ := table.Encode(at(2), version)
	assert.Nil(t, nothing)
	table.AddCrash(at(3), Crash{Upstream: "b", StartTime: 1, Parts: []string{"p"}, At: at(3)})
	second, _ := table.Encode(at(3), version)
	require.Len(t, second.GetCrashes(), 1)
	assert.Equal(t, "b", second.GetCrashes()[0].GetUpstream())
}
