package cli

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/fault"
)

// pollInterval is the polling interval while waiting for a revision.
const pollInterval = 50 * time.Millisecond

type revisionsCommand struct{}

func (c *revisionsCommand) run(s *session) error {
	inForce, err := s.client.InForce()
	return printResult(s, inForce, err, printInForce)
}

// InForce returns the revision in force on each node.
func (c *Client) InForce() (inForce admin.InForce, err error) {
	err = c.call(http.MethodGet, "/admin/v1/in-force", nil, &inForce)
	return inForce, err
}

// Wait blocks until the revision is in force on the node, or returns an error after timeout.
func (c *Client) Wait(revision uint64, timeout time.Duration) error {
	return wait(revision, timeout, func() (uint64, string, error) {
		status, err := c.Status()
		return status.Revision, c.server, err
	})
}

// WaitAll blocks until the revision is in force on every node, or returns an error after
// timeout.
func (c *Client) WaitAll(revision uint64, timeout time.Duration) error {
	return wait(revision, timeout, func() (uint64, string, error) {
		inForce, err := c.InForce()
		return inForce.Everywhere, laggingNodes(inForce, revision), err
	})
}

// wait polls the revision in force until it reaches the given one. current returns the
// revision with a description of the lagging nodes. A rejected token ends the wait.
func wait(revision uint64, timeout time.Duration, current func() (uint64, string, error)) error {
	where := "the node"
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		now, lagging, err := current()
		if fault.IsKind(err, fault.Unauthenticated) {
			return err
		}
		if err == nil && now >= revision {
			return nil
		}
		if err == nil {
			where = lagging
		}
	}
	return fault.New(fault.DeadlinePassed, "check the connections of the lagging nodes to the keepers", "revision %d is not in force on %s", revision, where)
}

// laggingNodes describes the nodes on which a revision is not in force.
func laggingNodes(inForce admin.InForce, revision uint64) string {
	lagging := lo.Filter(inForce.Nodes, func(n admin.NodeRevision, _ int) bool { return n.Revision < revision })
	names := lo.Map(lagging, func(n admin.NodeRevision, _ int) string {
		if !n.Reachable {
			return n.Node + " (not reachable)"
		}
		return fmt.Sprintf("%s (at %d)", n.Node, n.Revision)
	})
	return strings.Join(names, ", ")
}
