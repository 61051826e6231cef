package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const account = "school"

// TestShareSessions replays the golden sessions in testdata/sessions. A directive
// is a report `report NODE ack=N rate=R places=C in-flight=F at=T limit=L`; the
// limit applies to requests per second and to concurrency alike.
func TestShareSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		table := NewTable()
		limit := 0
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			at := "0s"
			d.MaybeScanArgs(t, "at", &at)
			d.MaybeScanArgs(t, "limit", &limit)
			now, err := time.ParseDuration(at)
			require.NoError(t, err)
			if d.Cmd == "restart" {
				table = restored(table)
				return sums(table)
			}
			return describe(table.Apply(now.Milliseconds(), limitsOf(limit), sessionReport(t, d))) + sums(table)
		})
	})
}

func sessionReport(t *testing.T, d *datadriven.TestData) *peerpb.ShareReport {
	report := &peerpb.ShareReport{NodeId: d.CmdArgs[0].Key, Incarnation: 1}
	demand := &peerpb.ShareDemand{Account: account}
	d.MaybeScanArgs(t, "ack", &report.Acknowledged)
	d.MaybeScanArgs(t, "incarnation", &report.Incarnation)
	d.MaybeScanArgs(t, "rate", &demand.RateMilli)
	demand.RateMilli *= milli
	d.MaybeScanArgs(t, "places", &demand.Concurrency)
	d.MaybeScanArgs(t, "in-flight", &demand.InFlight)
	report.Release = d.HasArg("release")
	report.Demands = []*peerpb.ShareDemand{demand}
	return report
}

func describe(g *peerpb.ShareGrants) string {
	text := fmt.Sprintf("grant=%d full=%t", g.GetNumber(), g.GetFull())
	for _, s := range g.GetGrants() {
		text += fmt.Sprintf(" rate=%d base=%d places=%d base=%d",
			s.GetRateMilli(), s.GetBaseRateMilli(), s.GetConcurrency(), s.GetBaseConcurrency())
	}
	return text + "\n"
}

func sums(t *Table) string {
	rate, concurrency := t.Held(account)
	return fmt.Sprintf("sum rate=%d places=%d", rate, concurrency)
}

func limitsOf(n int) map[string]api.LimitSpec {
	return map[string]api.LimitSpec{account: {Account: account, RequestsPerSecond: float64(n), Concurrency: n}}
}

func restored(t *Table) *Table {
	fresh := NewTable()
	fresh.testOptions = t.testOptions
	fresh.Restore(t.Snapshot())
	return fresh
}

const (
	simulationSeeds = 300
	simulationLimit = 40
	simulationNodes = 4
	maxDelayMS      = 3_000
)

// operation is one random step of a simulation. lost is true if the response to a
// report is lost.
type operation struct {
	action, node, pick int
	lost               bool
}

func operations() *rapid.Generator[[]operation] {
	one := rapid.Custom(func(t *rapid.T) operation {
		return operation{
			action: rapid.IntRange(0, 99).Draw(t, "what"), node: rapid.IntRange(0, simulationNodes-1).Draw(t, "node"),
			pick: rapid.IntRange(0, 9999).Draw(t, "pick"), lost: rapid.Bool().Draw(t, "lost"),
		}
	})
	return rapid.SliceOfN(one, 200, 200)
}

// simNode simulates a node that uses its shares in full. Its requests end at
// random, at the latest MaxRequestDuration after they started.
type simNode struct {
	incarnation uint64
	number      uint64
	grant       *peerpb.ShareGrant
	reportedMS  int64
	granted     bool
	// started holds the start times of the requests in flight, oldest first.
	started     []int64
	partitioned bool
}

type simulation struct {
	table *Table
	limit int
	nowMS int64
	nodes [simulationNodes]simNode
	// delayed holds past reports, which may be delivered again later.
	delayed []*peerpb.ShareReport
}

// usable returns the shares that a node may use now.
func (n *simNode) usable(nowMS int64) (rate, concurrency int64) {
	elapsed := time.Duration(nowMS-n.reportedMS) * time.Millisecond
	switch {
	case !n.granted || elapsed >= BaseLease:
		return 0, 0
	case elapsed >= Lease:
		return n.grant.GetBaseRateMilli(), n.grant.GetBaseConcurrency()
	default:
		return n.grant.GetRateMilli(), n.grant.GetConcurrency()
	}
}

func (sim *simulation) step(op operation) {
	node := &sim.nodes[op.node]
	switch {
	case op.action < 45:
		sim.report(op.node, op)
	case op.action < 55 && len(sim.delayed) > 0:
		sim.table.Apply(sim.nowMS, limitsOf(sim.limit), sim.delayed[op.pick%len(sim.delayed)])
	case op.action < 70:
		sim.advance(int64(op.pick % maxDelayMS))
	case op.action < 73:
		sim.advance(int64(op.pick) * 100)
	case op.action < 80 && len(node.started) > 0:
		node.started = node.started[1:]
	case op.action < 84:
		node.partitioned = !node.partitioned
	case op.action < 87:
		sim.nodes[op.node] = simNode{incarnation: node.incarnation + 1}
	case op.action < 90:
		sim.table = restored(sim.table)
	}
	sim.start(op.node, op)
}

// advance advances the time and ends the requests that exceed MaxRequestDuration.
func (sim *simulation) advance(ms int64) {
	sim.nowMS += ms
	for i := range sim.nodes {
		node := &sim.nodes[i]
		for len(node.started) > 0 && sim.nowMS-node.started[0] > MaxRequestDuration.Milliseconds() {
			node.started = node.started[1:]
		}
	}
}

// start starts a random number of requests within the node's share.
func (sim *simulation) start(index int, op operation) {
	node := &sim.nodes[index]
	_, concurrency := node.usable(sim.nowMS)
	for i := 0; i < op.pick%12 && int64(len(node.started)) < concurrency; i++ {
		node.started = append(node.started, sim.nowMS)
	}
}

func (sim *simulation) report(index int, op operation) {
	node := &sim.nodes[index]
	inFlight := int64(len(node.started))
	report := &peerpb.ShareReport{
		NodeId: fmt.Sprint("n", index), Incarnation: node.incarnation + 1, Acknowledged: node.number,
		Demands: []*peerpb.ShareDemand{{
			Account: account, RateMilli: int64(op.pick) * 10, Concurrency: int64(op.pick % 50), InFlight: inFlight,
		}},
	}
	sentMS := sim.nowMS
	if node.partitioned {
		node.number = 0
		return
	}
	sim.advance(int64(op.pick % 500))
	grants := sim.table.Apply(sim.nowMS, limitsOf(sim.limit), report)
	sim.delayed = append(sim.delayed, report)
	if op.lost || grants.GetNumber() == 0 {
		node.number = 0
		return
	}
	node.number, node.reportedMS, node.granted = grants.GetNumber(), sentMS, true
	if grants.GetFull() {
		node.grant = &peerpb.ShareGrant{}
	}
	if len(grants.GetGrants()) > 0 {
		node.grant = grants.GetGrants()[0]
	}
}

// check returns an error if more than the limit is usable, in use or held.
func (sim *simulation) check() error {
	var rate, concurrency, inFlight int64
	for i := range sim.nodes {
		nodeRate, nodeConcurrency := sim.nodes[i].usable(sim.nowMS)
		rate += nodeRate
		concurrency += nodeConcurrency
		inFlight += int64(len(sim.nodes[i].started))
	}
	if rate > simulationLimit*milli || concurrency > simulationLimit || inFlight > simulationLimit {
		return fmt.Errorf("limit %d exceeded: rate %d, concurrency %d, in flight %d", simulationLimit, rate, concurrency, inFlight)
	}
	heldRate, heldConcurrency := sim.table.Held(account)
	if heldRate > simulationLimit*milli || heldConcurrency > simulationLimit {
		return fmt.Errorf("limit %d exceeded: the table holds rate %d, concurrency %d", simulationLimit, heldRate, heldConcurrency)
	}
	return nil
}

func simulate(seed int, opts testOptions) error {
	sim := &simulation{table: NewTable(), limit: simulationLimit}
	sim.table.testOptions = opts
	for i, op := range operations().Example(seed) {
		sim.step(op)
		if err := sim.check(); err != nil {
			return fmt.Errorf("seed %d, step %d: %w", seed, i, err)
		}
	}
	return nil
}

// TestSumOfSharesStaysWithinLimit checks the limit in random simulations of demand,
// lost responses, delayed reports, partitions, expiring leases and restarts of nodes
// and of the table.
func TestSumOfSharesStaysWithinLimit(t *testing.T) {
	for seed := range simulationSeeds {
		require.NoError(t, simulate(seed, testOptions{}))
	}
}

// TestReplicasAgree checks that a table that restarts and skips divisions grants and
// holds the same as one that does neither.
func TestReplicasAgree(t *testing.T) {
	for seed := range simulationSeeds {
		plain := NewTable()
		plain.testOptions.divideAlways = true
		restarting := NewTable()
		var now int64
		var numbers [simulationNodes]uint64
		for i, op := range operations().Example(seed) {
			now += int64(op.pick)
			report := &peerpb.ShareReport{NodeId: fmt.Sprint("n", op.node), Incarnation: 1, Acknowledged: numbers[op.node], Release: op.action == 0}
			if op.action%2 == 0 {
				report.Demands = []*peerpb.ShareDemand{{Account: account, RateMilli: int64(op.pick % 900), Concurrency: int64(op.pick % 50)}}
			}
			limits := limitsOf(simulationLimit + op.action/90)
			want := plain.Apply(now, limits, report)
			got := restarting.Apply(now, limits, report)
			require.True(t, proto.Equal(want, got), "seed %d, step %d: %v, %v", seed, i, want, got)
			if !op.lost {
				numbers[op.node] = got.GetNumber()
			}
			if op.action < 10 {
				restarting = restored(restarting)
			}
		}
		want, got := plain.Snapshot(), restarting.Snapshot()
		require.Len(t, got, len(want))
		for i := range want {
			require.True(t, proto.Equal(want[i], got[i]), "seed %d: %v, %v", seed, want[i], got[i])
		}
	}
}

// TestSimulationDetectsMissingSafeguards checks that the simulation fails without
// each safeguard.
func TestSimulationDetectsMissingSafeguards(t *testing.T) {
	for name, opts := range map[string]testOptions{
		"lowered share trusted before its acknowledgement": {trustUnacknowledged: true},
		"requests in flight forgotten":                     {ignoreInFlight: true},
		"lease without grace":                              {noClockGrace: true},
	} {
		t.Run(name, func(t *testing.T) {
			var err error
			for seed := 0; seed < simulationSeeds && err == nil; seed++ {
				err = simulate(seed, opts)
			}
			assert.Error(t, err)
			t.Log(err)
		})
	}
}
