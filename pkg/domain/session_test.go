package domain

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/state"
)

// TestSessions replays the scripts in testdata/sessions: each command is followed
// by the expected orders, group changes and changes in an entry's view.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		var s *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "domain" {
				s = startDomain(t, d)
				return "ok\n"
			}
			runCommand(t, s, d)
			return s.drainEvents()
		})
		require.Empty(t, s.violation)
	})
}

func startDomain(t *testing.T, d *datadriven.TestData) *simulation {
	var entries int
	d.ScanArgs(t, "entries", &entries)
	s := newSimulation(entries)
	for _, node := range s.nodes {
		s.startEntry(node.Node)
	}
	return s
}

func runCommand(t *testing.T, s *simulation, d *datadriven.TestData) {
	switch d.Cmd {
	case "engines":
		addEngines(t, s, d)
	case "spec":
		addSpec(t, s, d)
	case "delete":
		deleteSpec(s, d.CmdArgs[0].Key)
	case "run":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		require.NoError(t, err)
		s.advance(wait)
	default:
		for _, arg := range d.CmdArgs {
			runFaultCommand(t, s, d.Cmd, arg)
		}
	}
}

func runFaultCommand(t *testing.T, s *simulation, command string, arg datadriven.CmdArg) {
	name := arg.Key
	entry, engine := s.entries[name], s.engines[name]
	switch {
	case command == "kill" && entry != nil:
		entry.up = false
	case command == "kill":
		engine.up = false
	case command == "pause" && entry != nil:
		entry.paused = true
	case command == "pause":
		engine.paused = true
	case command == "resume" && entry != nil:
		entry.paused = false
	case command == "resume":
		engine.up, engine.paused = true, false
	case command == "start" && entry != nil:
		s.startEntry(name)
	case command == "start":
		s.restartEngine(name)
	case command == "stop":
		s.execute(name, entry.core.Step(s.now, Stopping{}))
	case command == "refused":
		s.reportRefusal(arg.Vals[0], name)
	case command == "leave":
		engine.announcement.Leaving = true
	case command == "busy":
		engine.announcement.Load.Running = 3
	case command == "idle":
		engine.announcement.Load.Running = 0
	case command == "hold":
		s.holdOrders[name] = true
	case command == "deliver":
		delete(s.holdOrders, name)
	case command == "cut":
		s.blocked[[2]string{name, arg.Vals[0]}] = true
	case command == "heal":
		delete(s.blocked, [2]string{name, arg.Vals[0]})
	default:
		t.Fatalf("unknown command %q", command)
	}
}

func addEngines(t *testing.T, s *simulation, d *datadriven.TestData) {
	var fabric, pool string
	d.ScanArgs(t, "fabric", &fabric)
	d.ScanArgs(t, "pool", &pool)
	ids, _ := d.Arg("ids")
	for _, id := range ids.Vals {
		s.addEngine(id, fabric, !d.HasArg("ignore-fencing"), map[string]string{"pool": pool})
		if d.HasArg("load") {
			s.engines[id].loadTime = 5 * time.Second
		}
	}
}

func addSpec(t *testing.T, s *simulation, d *datadriven.TestData) {
	var vms, count int
	var selector string
	d.ScanArgs(t, "vms", &vms)
	d.ScanArgs(t, "selector", &selector)
	if d.HasArg("count") {
		d.ScanArgs(t, "count", &count)
	}
	s.addSpec(d.CmdArgs[0].Key, selector, vms, count)
}

func (s *simulation) addSpec(name, selector string, vms, count int) {
	parsed, err := labels.Parse(selector)
	if err != nil {
		panic(fmt.Errorf("selector %q: %w", selector, err))
	}
	groups := []state.Group{}
	for _, g := range s.config.Groups {
		if g.Name != name {
			groups = append(groups, g)
		}
	}
	groups = append(groups, state.Group{
		Name: name, Selector: parsed, Spec: api.GroupSpec{Service: "captioner", Selector: selector, VMs: vms, Count: count},
	})
	s.configure(&state.Config{Revision: s.config.Revision + 1, Groups: groups})
}

func deleteSpec(s *simulation, name string) {
	groups := []state.Group{}
	for _, g := range s.config.Groups {
		if g.Name != name {
			groups = append(groups, g)
		}
	}
	s.configure(&state.Config{Revision: s.config.Revision + 1, Groups: groups})
}
