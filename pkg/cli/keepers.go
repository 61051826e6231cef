package cli

import (
	"fmt"
	"io"
	"net/http"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/fault"
)

type keepersCommand struct {
	Status  *keepersStatusCommand  `arg:"subcommand:status" help:"show the members of the region log"`
	Add     *keepersAddCommand     `arg:"subcommand:add" help:"add a running keeper as a learner"`
	Promote *keepersPromoteCommand `arg:"subcommand:promote" help:"promote a learner that has caught up to voter"`
	Remove  *keepersRemoveCommand  `arg:"subcommand:remove" help:"remove a member permanently"`
}

func (c *keepersCommand) run(*session) error {
	return fault.New(fault.InvalidRequest, "use 'keepers status', 'add', 'promote' or 'remove'", "no subcommand")
}

type keepersStatusCommand struct{}

func (c *keepersStatusCommand) run(s *session) error {
	keepers, err := s.client.Keepers()
	return printResult(s, keepers, err, printKeepers)
}

type keepersAddCommand struct {
	Node    string `arg:"positional,required" help:"node.id of the keeper"`
	Address string `arg:"positional,required" help:"peers address of the keeper, as IP:port"`
}

func (c *keepersAddCommand) run(s *session) error {
	keepers, err := s.client.ChangeKeepers(admin.KeeperChange{Action: "add", Node: c.Node, Address: c.Address})
	return printResult(s, keepers, err, printKeepers)
}

type keepersPromoteCommand struct {
	Identity string `arg:"positional,required" help:"identity that 'keepers status' shows"`
}

func (c *keepersPromoteCommand) run(s *session) error {
	keepers, err := s.client.ChangeKeepers(admin.KeeperChange{Action: "promote", Identity: c.Identity})
	return printResult(s, keepers, err, printKeepers)
}

type keepersRemoveCommand struct {
	Identity string `arg:"positional,required" help:"identity that 'keepers status' shows"`
}

func (c *keepersRemoveCommand) run(s *session) error {
	keepers, err := s.client.ChangeKeepers(admin.KeeperChange{Action: "remove", Identity: c.Identity})
	return printResult(s, keepers, err, printKeepers)
}

func printKeepers(out io.Writer, k admin.Keepers) {
	fmt.Fprintf(out, "node=%s leader=%s term=%d commit=%d\n", k.Node, k.Leader, k.Term, k.Commit)
	w := newTable(out)
	fmt.Fprintln(w, "KEEPER\tIDENTITY\tADDRESS\tROLE\tMATCH\tANSWERS")
	for _, m := range k.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\n", m.Node, m.Identity, m.Address, m.Role, m.Match, m.Answers)
	}
	_ = w.Flush()
}

// Keepers returns the members of the region log.
func (c *Client) Keepers() (keepers admin.Keepers, err error) {
	err = c.call(http.MethodGet, "/admin/v1/keepers", nil, &keepers)
	return keepers, err
}

// ChangeKeepers applies one membership change and returns the members.
func (c *Client) ChangeKeepers(change admin.KeeperChange) (keepers admin.Keepers, err error) {
	err = c.call(http.MethodPost, "/admin/v1/keepers", change, &keepers)
	return keepers, err
}
