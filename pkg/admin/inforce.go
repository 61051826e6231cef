package admin

import (
	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"
)

// NodeRevision is the revision in force on one node.
type NodeRevision struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Revision      uint64 `json:"revision"`
	// Reachable is false if the node did not respond; its revision is then 0.
	Reachable bool `json:"reachable"`
}

// InForce lists the revision in force on every node.
type InForce struct {
	// Everywhere is the highest revision that is known to be in force on every node.
	Everywhere uint64         `json:"everywhere"`
	Nodes      []NodeRevision `json:"nodes"`
}

func (a *Admin) inForce(c fiber.Ctx) error {
	nodes := a.opts.InForce(c.Context())
	revisions := lo.Map(nodes, func(n NodeRevision, _ int) uint64 { return n.Revision })
	return c.JSON(InForce{Everywhere: lo.Min(revisions), Nodes: nodes})
}
