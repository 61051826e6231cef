package bench

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/limits/share"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	ledgerSuite = "ledger"
	// ledgerObjects and ledgerClaims are the size of the state at design size.
	ledgerObjects = 10_000
	ledgerClaims  = 100_000
	// ledgerAnswerBytes is the body size of a recorded response.
	ledgerAnswerBytes = 256
	// ledgerNodes is the number of nodes of a region that hold shares.
	ledgerNodes   = 80
	ledgerBatch   = 500
	ledgerRepeats = 5
)

// runLedger measures the replicated state and the propagation of configuration.
func runLedger(ctx context.Context, r *Report) error {
	measureApply(r)
	if err := measureSnapshot(r); err != nil {
		return err
	}
	measureLedgerMemory(r)
	if err := measureCompile(r); err != nil {
		return err
	}
	measureShares(r)
	return measureInForce(ctx, r)
}

// ledgerMachine returns a state machine with objects, most of them labels, and
// recorded claims.
func ledgerMachine(objects, recorded int) *state.Machine {
	m := state.New()
	for i := range objects {
		m.Apply(0, changeCommand(objectName(i), 0, fmt.Sprint("load-", i), objectSpec(i)))
	}
	for i := range recorded {
		key := fmt.Sprint("grant-", i)
		m.Apply(0, openCommand(key))
		m.Apply(0, recordCommand(key))
	}
	return m
}

type ledgerName struct {
	kind api.Kind
	name string
}

// objectName returns the name of object i. Of twenty objects, one is a group, one
// a route and the others are labels.
func objectName(i int) ledgerName {
	switch i % 20 {
	case 0:
		return ledgerName{api.KindGroup, fmt.Sprint("group-", i)}
	case 1:
		return ledgerName{api.KindRoute, fmt.Sprint("route-", i)}
	default:
		return ledgerName{api.KindLabels, fmt.Sprint("worker-", i)}
	}
}

func objectSpec(i int) string {
	switch i % 20 {
	case 0:
		return fmt.Sprintf(`{"service":"model-%d","selector":"pool=p%d,zone in (a,b)","vms":4,"labels":{"use":"u%d"}}`, i, i, i)
	case 1:
		return fmt.Sprintf(`{"path":"/v1/","requests":"model=model-%d","groups":"use=u%d","class":"caption"}`, i, i-1)
	default:
		return fmt.Sprintf(`{"labels":{"pool":"p%d","zone":"a","rack":"r%d"}}`, i%100, i%700)
	}
}

func changeCommand(n ledgerName, expected uint64, id, spec string) *peerpb.Command {
	return &peerpb.Command{LeaderTimeMs: 1, Body: &peerpb.Command_ConfigChange{ConfigChange: &peerpb.ConfigChange{
		ChangeId: id, Kind: string(n.kind), Name: n.name, ExpectedRevision: expected, Spec: []byte(spec),
	}}}
}

func openCommand(key string) *peerpb.Command {
	fingerprint := claims.FingerprintOf("POST", "/grants", []byte(key))
	return claimCommand(key, &peerpb.ClaimCommand{Step: &peerpb.ClaimCommand_Open{Open: &peerpb.ClaimOpen{
		Fingerprint: fingerprint[:], NodeId: "a1", LeaseMs: time.Minute.Milliseconds(),
	}}})
}

func recordCommand(key string) *peerpb.Command {
	return claimCommand(key, &peerpb.ClaimCommand{Step: &peerpb.ClaimCommand_Record{Record: &peerpb.ClaimAnswer{
		Status: 201, ContentType: "application/json", Body: make([]byte, ledgerAnswerBytes),
	}}})
}

func claimCommand(key string, step *peerpb.ClaimCommand) *peerpb.Command {
	step.Key = &peerpb.ClaimKey{Account: "school", Value: key}
	step.Attempt = "attempt-of-" + key
	return &peerpb.Command{LeaderTimeMs: 1, Body: &peerpb.Command_Claim{Claim: step}}
}

// measureApply measures the rate at which one keeper applies commands.
func measureApply(r *Report) {
	m := ledgerMachine(ledgerObjects, ledgerClaims)
	start := time.Now()
	for i := range ledgerBatch {
		m.Apply(0, changeCommand(objectName(ledgerObjects+i), 0, fmt.Sprint("apply-", i), objectSpec(i)))
	}
	r.AddValue(ledgerSuite, "configuration changes applied, 10,000 objects", ledgerBatch/time.Since(start).Seconds(), "per s")
	start = time.Now()
	for i := range ledgerBatch * 10 {
		key := fmt.Sprint("apply-", i)
		m.Apply(0, openCommand(key))
		m.Apply(0, recordCommand(key))
	}
	r.AddAtLeast(ledgerSuite, "claims opened and recorded, 100,000 claims", ledgerBatch*10/time.Since(start).Seconds(), 1000, "per s")
}

// measureSnapshot measures the time to encode and to restore the state at design
// size.
func measureSnapshot(r *Report) error {
	m := ledgerMachine(ledgerObjects, ledgerClaims)
	start := time.Now()
	data, err := m.Snapshot()
	if err != nil {
		return err
	}
	r.AddAtMost(ledgerSuite, "snapshot of 100,000 claims and 10,000 objects", time.Since(start).Seconds(), 2, "s")
	r.AddValue(ledgerSuite, "size of that snapshot", float64(len(data))/1e6, "MB")
	start = time.Now()
	if err := state.New().Restore(data); err != nil {
		return err
	}
	r.AddAtMost(ledgerSuite, "restore of that snapshot", time.Since(start).Seconds(), 2, "s")
	return nil
}

// measureLedgerMemory measures the memory of each part of the state over its size.
func measureLedgerMemory(r *Report) {
	parts := []struct {
		name, per string
		sizes     []int
		fill      func(n int) *state.Machine
	}{
		{"memory of claims", "claims kept", []int{10_000, 20_000, 40_000, 60_000, 80_000, 100_000}, func(n int) *state.Machine {
			return ledgerMachine(0, n)
		}},
		{"memory of objects and their change identifiers", "configuration objects", []int{1_000, 2_500, 5_000, 7_500, 10_000}, func(n int) *state.Machine {
			return ledgerMachine(n, 0)
		}},
		{"memory of change identifiers", "changes remembered", []int{10_000, 20_000, 40_000, 60_000, 80_000}, changedOften},
	}
	for _, part := range parts {
		slope := Slope{Role: "keeper", Name: part.name, Unit: "B", Per: part.per}
		for _, size := range part.sizes {
			slope.Points = append(slope.Points, Point{Size: float64(size), Value: heapOf(func() any { return part.fill(size) })})
		}
		r.AddSlope(slope)
		r.AddValue(ledgerSuite, part.name, slope.gradient(), "B per one")
	}
}

// changedOften returns a state machine with one object that changed n times.
func changedOften(n int) *state.Machine {
	m := state.New()
	name := ledgerName{api.KindLabels, "worker"}
	for i := range n {
		m.Apply(0, changeCommand(name, uint64(i), fmt.Sprintf("change-%032d", i), objectSpec(2)))
	}
	return m
}

// heapOf returns the heap bytes that the result of build retains.
func heapOf(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// gradient is the increase per unit of size from the first point to the last.
func (s Slope) gradient() float64 {
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	return (last.Value - first.Value) / (last.Size - first.Size)
}

// measureCompile measures the CPU time and the bytes of one change and of a full
// resync at a watcher.
func measureCompile(r *Report) error {
	cost := Slope{Role: "node", Name: "processor time of one configuration change", Unit: "us", Per: "configuration objects"}
	resync := Slope{Role: "node", Name: "processor time of a full resync", Unit: "us", Per: "configuration objects"}
	bytes := Slope{Role: "node", Name: "bytes of a full resync", Unit: "B", Per: "configuration objects"}
	changeBytes := 0
	for _, size := range []int{1_000, 2_500, 5_000, 7_500, 10_000} {
		m := ledgerMachine(size, 0)
		start := time.Now()
		config, err := state.Compile(m.Revision(), m.Objects())
		if err != nil {
			return err
		}
		resync.Points = append(resync.Points, Point{float64(size), float64(time.Since(start).Microseconds())})
		bytes.Points = append(bytes.Points, Point{float64(size), float64(proto.Size(m.Since(0)))})
		events := ledgerEvents(m, ledgerBatch)
		changeBytes = proto.Size(events[0])
		start = time.Now()
		for _, event := range events {
			if config, err = config.With(event); err != nil {
				return err
			}
		}
		cost.Points = append(cost.Points, Point{float64(size), float64(time.Since(start).Microseconds()) / ledgerBatch})
	}
	r.AddSlope(cost)
	r.AddSlope(resync)
	r.AddSlope(bytes)
	if err := measureRate(r); err != nil {
		return err
	}
	r.AddValue(ledgerSuite, "bytes of one changed object to each node", float64(changeBytes), "B")
	r.AddValue(ledgerSuite, "one change compiled by a node, 10,000 objects", cost.Points[len(cost.Points)-1].Value, "us")
	r.AddValue(ledgerSuite, "full resync compiled by a node, 10,000 objects", resync.Points[len(resync.Points)-1].Value, "us")
	return nil
}

// measureRate measures the CPU time and the bytes of one second of changes on a
// node at design size.
func measureRate(r *Report) error {
	m := ledgerMachine(ledgerObjects, 0)
	config, err := state.Compile(m.Revision(), m.Objects())
	if err != nil {
		return err
	}
	cost := Slope{Role: "node", Name: "processor time of configuration changes, 10,000 objects", Unit: "us/s", Per: "changes/s at the peak"}
	bytes := Slope{Role: "node", Name: "bytes of configuration changes", Unit: "B/s", Per: "changes/s at the peak"}
	for _, rate := range []int{1, 2, 4, 8, 16} {
		events := ledgerEvents(m, rate)
		sent := 0
		start := time.Now()
		for _, event := range events {
			sent += proto.Size(event)
			if config, err = config.With(event); err != nil {
				return err
			}
		}
		cost.Points = append(cost.Points, Point{float64(rate), float64(time.Since(start).Microseconds())})
		bytes.Points = append(bytes.Points, Point{float64(rate), float64(sent)})
	}
	r.AddSlope(cost)
	r.AddSlope(bytes)
	return nil
}

// ledgerEvents applies n label changes and returns the watch event of each.
func ledgerEvents(m *state.Machine, n int) []*peerpb.WatchEvent {
	var events []*peerpb.WatchEvent
	for i := range n {
		name := objectName(2 + i%10)
		object, _ := m.Config().Object(name.kind, name.name)
		before := m.Revision()
		m.Apply(0, changeCommand(name, object.Revision, fmt.Sprint("event-", before), objectSpec(2)))
		events = append(events, m.Since(before))
	}
	return events
}

// measureShares measures the CPU time of one demand report on a keeper and the
// bytes of a renewal.
func measureShares(r *Report) {
	cost := Slope{Role: "keeper", Name: "processor time of one report of demand, 80 nodes", Unit: "us", Per: "limited accounts"}
	renewal := Slope{Role: "node", Name: "bytes of a renewal without changes, there and back", Unit: "B", Per: "limited accounts"}
	for _, accounts := range []int{10, 50, 100, 250, 500} {
		limits := map[string]api.LimitSpec{}
		for i := range accounts {
			name := fmt.Sprint("account-", i)
			limits[name] = api.LimitSpec{Account: name, RequestsPerSecond: 1000, Concurrency: 800}
		}
		table := share.NewTable()
		numbers := make([]uint64, ledgerNodes)
		var spent time.Duration
		var last int
		for range ledgerRepeats {
			start := time.Now()
			for n := range ledgerNodes {
				report := &peerpb.ShareReport{NodeId: fmt.Sprint("node-", n), Incarnation: 1, Acknowledged: numbers[n]}
				grants := table.Apply(1, limits, report)
				numbers[n] = grants.GetNumber()
				last = proto.Size(report) + proto.Size(grants)
			}
			spent = time.Since(start)
		}
		cost.Points = append(cost.Points, Point{float64(accounts), float64(spent.Microseconds()) / ledgerNodes})
		renewal.Points = append(renewal.Points, Point{float64(accounts), float64(last)})
	}
	r.AddSlope(cost)
	r.AddSlope(renewal)
	r.AddValue(ledgerSuite, "one report of demand applied, 80 nodes and 100 limited accounts", cost.Points[2].Value, "us")
}
