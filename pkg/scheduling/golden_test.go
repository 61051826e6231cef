package scheduling

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/state"
)

var epoch = time.Unix(1_800_000_000, 0)

func testRoute() *state.Route {
	return &state.Route{Name: "captions", Requests: labels.Everything(), Groups: labels.Everything()}
}

func testGroup(name string, slots int) *domain.Group {
	return &domain.Group{
		Name: name, Service: "captioner", Kind: api.UpstreamEngine, FailureDomain: "fd-a", Whole: true, Generation: 1,
		Members: []domain.Member{{ID: name + "-0", Address: "127.0.0.1:1", Load: api.Load{Slots: slots}}},
	}
}

func testOptions() Options {
	return Options{FailureDomain: "fd-a", Rand: rand.New(rand.NewPCG(1, 2)), QueueLimit: 8, ShortRequestPolicy: DefaultShortRequestPolicy}
}

// session replays the events of a golden file on one Core.
type session struct {
	core  *Core
	route *state.Route
	now   time.Time
}

func TestGoldenSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{core: NewCore(testOptions()), route: testRoute(), now: epoch}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var after time.Duration
			if d.HasArg("after") {
				after = duration(t, d, "after")
			}
			s.now = s.now.Add(after)
			return describeActions(s.core.Step(s.now, s.event(t, d)))
		})
	})
}

func (s *session) event(t *testing.T, d *datadriven.TestData) Event {
	var id int
	if d.HasArg("id") {
		d.ScanArgs(t, "id", &id)
	}
	switch d.Cmd {
	case "view":
		return ViewChanged{parseView(t, d.Input)}
	case "submit":
		return Submit{ID: ID(id), Request: s.request(t, d)}
	case "leave":
		return Disconnect{ID(id)}
	case "finish":
		var tokens int
		d.MaybeScanArgs(t, "tokens", &tokens)
		r := Report{Tokens: tokens, Failed: d.HasArg("failed")}
		return Finish{ID: ID(id), Report: r}
	case "tick":
		return Tick{}
	default:
		t.Fatalf("unknown command %q", d.Cmd)
		return nil
	}
}

func (s *session) request(t *testing.T, d *datadriven.TestData) Request {
	route := s.route
	var selector string
	if d.MaybeScanArgs(t, "groups", &selector) {
		// A different selector that admits the same groups.
		route = testRoute()
		route.Spec.Groups = selector
	}
	req := Request{Route: route, Weight: 1, Size: 100, Resumable: true, Request: routing.Request{Account: "school", Class: "caption", Service: "captioner"}}
	deadline := time.Minute
	if d.HasArg("deadline") {
		deadline = duration(t, d, "deadline")
	}
	req.Deadline = s.now.Add(deadline)
	d.MaybeScanArgs(t, "account", &req.Account)
	d.MaybeScanArgs(t, "class", &req.Class)
	d.MaybeScanArgs(t, "size", &req.Size)
	d.MaybeScanArgs(t, "worth", &req.Worth)
	d.MaybeScanArgs(t, "weight", &req.Weight)
	d.MaybeScanArgs(t, "resumed", &req.Resumed)
	var exclude string
	if d.MaybeScanArgs(t, "exclude", &exclude) {
		req.Exclude = []string{exclude}
	}
	return req
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.ScanArgs(t, key, &text)
	parsed, err := time.ParseDuration(text)
	require.NoError(t, err)
	return parsed
}

// parseView parses one group per line: name, slots and the flags broken, leaving,
// remote.
func parseView(t *testing.T, text string) *domain.View {
	view := &domain.View{}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if line == "" {
			continue
		}
		var name string
		var slots int
		_, err := fmt.Sscanf(line, "%s slots=%d", &name, &slots)
		require.NoError(t, err)
		g := testGroup(name, slots)
		g.Whole = !strings.Contains(line, "broken")
		g.Leaving = strings.Contains(line, "leaving")
		if strings.Contains(line, "remote") {
			g.FailureDomain = "fd-b"
		}
		view.Groups = append(view.Groups, g)
	}
	return view
}

func describeActions(actions []Action) string {
	if len(actions) == 0 {
		return "nothing\n"
	}
	var b strings.Builder
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			fmt.Fprintf(&b, "start %d on %s priority=%d\n", a.ID, a.Group.Name, a.Priority)
		case Refuse:
			fmt.Fprintf(&b, "refuse %d kind=%s retry_after=%v outcome=%s: %s\n", a.ID, a.Err.Kind, a.Err.RetryAfter, a.Err.Outcome, a.Err.Detail)
		case Preempt:
			fmt.Fprintf(&b, "preempt %d\n", a.ID)
		}
	}
	return b.String()
}
