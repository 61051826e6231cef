// Package cli implements the operators' command line on top of the administration API.
// Commands that change state and read-only queries are in separate files.
package cli

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"

	"github.com/masticmount/masticmount/pkg/fault"
)

// Exit codes of the command line.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFault means an error that has no exit code of its own.
	ExitFault = 1
	// ExitUsage means that the command line or a file named in it is invalid.
	ExitUsage = 2
	// ExitConflict means that the object does not have the expected revision.
	ExitConflict = 3
	// ExitNotFound means that the object does not exist.
	ExitNotFound = 4
	// ExitQuorum means that no node or no majority of keepers could be reached.
	ExitQuorum = 5
	// ExitTimeout means that the awaited revision was not in force in time.
	ExitTimeout = 6
	// ExitToken means that the operator token was rejected.
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
	Drain     *drainCommand     `arg:"subcommand:drain" help:"take an upstream out of service once its requests are finished"`
	Limit     *limitCommand     `arg:"subcommand:limit" help:"set the limits of a client account"`
	Status    *statusCommand    `arg:"subcommand:status" help:"show a node and its groups"`
	Revisions *revisionsCommand `arg:"subcommand:revisions" help:"show the revision in force on every node"`
	Wait      *waitCommand      `arg:"subcommand:wait" help:"wait until a revision is in force"`
	Claim     *claimCommand     `arg:"subcommand:claim" help:"look up or settle the claim of a non-idempotent request"`
	Keepers   *keepersCommand   `arg:"subcommand:keepers" help:"show and change the keepers of the region log"`
	Explain   *explainCommand   `arg:"subcommand:explain" help:"explain the outcome of a request from the nodes' logs"`
	Token     *tokenCommand     `arg:"subcommand:token" help:"generate a token and print it with its digest"`
	Settings  *settingsCommand  `arg:"subcommand:check-settings" help:"check a node's settings file"`
	Server    string            `arg:"--server,env:MASTICMOUNT_SERVER" default:"http://127.0.0.1:8081" help:"administration address of a node"`
	Bearer    string            `arg:"--token,env:MASTICMOUNT_TOKEN" help:"operators' token"`
	CA        string            `arg:"--ca,env:MASTICMOUNT_CA" help:"PEM file of the certificate authority for https"`
	JSON      bool              `arg:"--json" help:"print JSON"`
}

// Epilogue is printed below the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 refused, 2 usage, 3 revision conflict, 4 not found, 5 no quorum or node, 6 timeout, 7 token."
}

type command interface {
	run(s *session) error
}

// session holds the client and the output of a subcommand.
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
	cmd, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(stderr)
		return ExitUsage
	}
	client, err := NewClient(parsed.Server, parsed.Bearer, parsed.CA)
	if err == nil {
		err = cmd.run(&session{client: client, out: stdout, json: parsed.JSON})
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
