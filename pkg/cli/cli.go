// Package cli is the operators' command line over the administration API.
// Commands that change something stand apart from those that only look.
package cli

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"

	"github.com/masticmount/masticmount/pkg/fault"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command did what it says.
	ExitOK = 0
	// ExitFault means a refusal that no other code names.
	ExitFault = 1
	// ExitUsage means that the command line or a file it names is not valid.
	ExitUsage = 2
	// ExitConflict means that the object has another revision than expected.
	ExitConflict = 3
	// ExitNotFound means that there is no such object.
	ExitNotFound = 4
	// ExitQuorum means that no node or no majority of keepers could be reached.
	ExitQuorum = 5
	// ExitTimeout means that what was waited for did not come about in time.
	ExitTimeout = 6
	// ExitToken means that the operators' token was not accepted.
	ExitToken = 7
)

var exitCodes = map[fault.Kind]int{
	fault.InvalidRequest:  ExitUsage,
	fault.Conflict:        ExitConflict,
	fault.NotFound:        ExitNotFound,
	fault.NoQuorum:        ExitQuorum,
	fault.DeadlinePassed:  ExitTimeout,
	fault.Unauthenticated: ExitToken,
}

type arguments struct {
	Apply     *applyCommand     `arg:"subcommand:apply" help:"create or replace objects"`
	Get       *getCommand       `arg:"subcommand:get" help:"show objects"`
	Delete    *deleteCommand    `arg:"subcommand:delete" help:"delete an object"`
	Label     *labelCommand     `arg:"subcommand:label" help:"set or remove labels of an upstream or VM"`
	Drain     *drainCommand     `arg:"subcommand:drain" help:"take an upstream out of service once its work is done"`
	Limit     *limitCommand     `arg:"subcommand:limit" help:"set the limits of a client account"`
	Status    *statusCommand    `arg:"subcommand:status" help:"show a node and its groups"`
	Revisions *revisionsCommand `arg:"subcommand:revisions" help:"show the revision in force on every node"`
	Wait      *waitCommand      `arg:"subcommand:wait" help:"wait until a revision is in force"`
	Claim     *claimCommand     `arg:"subcommand:claim" help:"look up or settle the claim of a non-idempotent request"`
	Keepers   *keepersCommand   `arg:"subcommand:keepers" help:"show and change the keepers of the region log"`
	Explain   *explainCommand   `arg:"subcommand:explain" help:"say from the nodes' logs what became of a request"`
	Token     *tokenCommand     `arg:"subcommand:token" help:"make a token and print it with its digest"`
	Settings  *settingsCommand  `arg:"subcommand:check-settings" help:"check a node's settings file"`
	Server    string            `arg:"--server,env:MASTICMOUNT_SERVER" default:"http://127.0.0.1:8081" help:"administration address of a node"`
	Bearer    string            `arg:"--token,env:MASTICMOUNT_TOKEN" help:"operators' token"`
	CA        string            `arg:"--ca,env:MASTICMOUNT_CA" help:"file of the certificate authority for https"`
	JSON      bool              `arg:"--json" help:"print JSON"`
}

// Epilogue is printed below the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 refused, 2 usage, 3 revision conflict, 4 not found, 5 no quorum or node, 6 timeout, 7 token."
}

// command is one subcommand.
type command interface {
	run(s *session) error
}

// session is what a subcommand works with.
type session struct {
	client *Client
	out    io.Writer
	json   bool
}

// Run executes one command line and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "masticmount", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch err := parser.Parse(args); {
	case err == arg.ErrHelp: //nolint:errorlint // go-arg returns this value itself.
		parser.WriteHelp(stdout)
		return ExitOK
	case err != nil:
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(stderr)
		return ExitUsage
	}
	client, err := NewClient(parsed.Server, parsed.Bearer, parsed.CA)
	if err == nil {
		err = chosen.run(&session{client: client, out: stdout, json: parsed.JSON})
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	if code, ok := exitCodes[fault.From(err).Kind]; ok {
		return code
	}
	return ExitFault
}
