package cli

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/gofiber/fiber/v3"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rs/zerolog"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/claims"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/settings"
	"github.com/masticmount/masticmount/pkg/state"
)

const sessionToken = "session-operator"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"masticmount": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestSessions replays the golden command-line sessions in testdata against an
// administration API over an in-memory state.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds:                map[string]func(*testscript.TestScript, bool, []string){"exit-code": exitCodeCommand},
		Setup: func(env *testscript.Env) error {
			server, stop, err := startAdmin()
			env.Defer(stop)
			env.Setenv("MASTICMOUNT_SERVER", server)
			env.Setenv("MASTICMOUNT_TOKEN", sessionToken)
			return err
		},
	})
}

// exitCodeCommand implements `exit-code N ARGUMENT ...`: masticmount must exit with code N.
func exitCodeCommand(ts *testscript.TestScript, _ bool, args []string) {
	line := []string{"--server", ts.Getenv("MASTICMOUNT_SERVER"), "--token", ts.Getenv("MASTICMOUNT_TOKEN")}
	for _, a := range args[1:] {
		if strings.HasSuffix(a, ".toml") {
			a = ts.MkAbs(a)
		}
		line = append(line, a)
	}
	var out, errs strings.Builder
	got := Run(line, &out, &errs)
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, want %s: %s", got, args[0], errs.String())
	}
	if got != ExitOK && errs.Len() == 0 {
		ts.Fatalf("exit code %d without a message", got)
	}
}

// secondMillis is the leader time between two commands of a memoryLog.
const secondMillis = 1000

// memoryLog is a region log in memory that applies commands immediately. It refuses
// changes of the object during-cut with NoQuorum.
type memoryLog struct {
	mu      sync.Mutex
	machine *state.Machine
	index   uint64
}

func (l *memoryLog) propose(_ context.Context, cmd *peerpb.Command) (*peerpb.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cmd.GetConfigChange().GetName() == "during-cut" {
		return nil, fault.New(fault.NoQuorum, "restore a majority of keepers, then send the change again", "no quorum")
	}
	l.index++
	cmd.LeaderTimeMs = int64(l.index) * secondMillis
	return l.machine.Apply(l.index, cmd), nil
}

func (l *memoryLog) config() *state.Config {
	l.mu.Lock()
	defer l.mu.Unlock()
	config, err := state.Compile(l.machine.Revision(), l.machine.Objects())
	if err != nil {
		return &state.Config{}
	}
	return config
}

// openClaim opens a claim for an entry that never records the answer.
func (l *memoryLog) openClaim(key, attempt string) {
	l.machine.Apply(0, &peerpb.Command{LeaderTimeMs: secondMillis, Body: &peerpb.Command_Claim{Claim: &peerpb.ClaimCommand{
		Key: &peerpb.ClaimKey{Account: "desk", Value: key}, Attempt: attempt,
		Step: &peerpb.ClaimCommand_Open{Open: &peerpb.ClaimOpen{NodeId: "b1", LeaseMs: 2 * secondMillis}},
	}}})
}

func startAdmin() (server string, stop func(), err error) {
	log := &memoryLog{machine: state.New()}
	log.openClaim("grant/1", "a1-17")
	digest := sha256.Sum256([]byte(sessionToken))
	s := settings.Settings{
		Node:   settings.Node{ID: "a1", FailureDomain: "fd-a"},
		Tokens: settings.Tokens{OperatorsSHA256: []string{hex.EncodeToString(digest[:])}},
	}
	adm := admin.New(admin.Options{
		Settings: s, Config: log.config, Propose: log.propose, View: sessionView,
		InForce: func(context.Context) []admin.NodeRevision {
			revision := log.config().Revision
			return []admin.NodeRevision{
				{Node: "a1", FailureDomain: "fd-a", Revision: revision, Reachable: true},
				{Node: "b1", FailureDomain: "fd-b", Revision: revision, Reachable: true},
			}
		},
		Keepers:  newMemoryKeepers(),
		Claims:   claims.NewReplicated("a1", log.propose, zerolog.Nop()),
		Announce: func(api.Announcement) {}, Ready: func() bool { return true }, Log: zerolog.Nop(),
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", func() {}, err
	}
	go func() { _ = adm.App().Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}) }()
	return "http://" + listener.Addr().String(), func() { _ = adm.App().Shutdown() }, nil
}

func sessionView() *domain.View {
	return &domain.View{Groups: []*domain.Group{{
		Name: "fd-a/captions/1", Service: "captioner", FailureDomain: "fd-a", Generation: 1, Whole: true,
		Members: []domain.Member{{ID: "e1"}, {ID: "e2"}},
	}}}
}
