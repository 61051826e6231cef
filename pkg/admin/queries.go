package admin

import (
	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
)

// Status is the status of a node.
type Status struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	// Ready is the result of the readiness check /readyz.
	Ready bool `json:"ready"`
	// Revision of the configuration in force on the node.
	Revision  uint64          `json:"revision"`
	Groups    []*domain.Group `json:"groups"`
	Upstreams int             `json:"upstreams"`
}

func (a *Admin) list(c fiber.Ctx) error {
	kind := api.Kind(c.Params("kind"))
	objects := lo.Filter(a.opts.Config().Objects, func(o api.Object, _ int) bool { return o.Kind == kind })
	return c.JSON(objects)
}

func (a *Admin) get(c fiber.Ctx) error {
	kind, name, err := objectParams(c)
	if err != nil {
		return err
	}
	found, ok := lo.Find(a.opts.Config().Objects, func(o api.Object) bool { return string(o.Kind) == kind && o.Name == name })
	if !ok {
		return fault.New(fault.NotFound, "see 'masticmount get "+kind+"' for the names", "no %s %q", kind, name)
	}
	return c.JSON(found)
}

func (a *Admin) status(c fiber.Ctx) error {
	view := a.opts.View()
	return c.JSON(Status{
		Node: a.opts.Settings.Node.ID, FailureDomain: a.opts.Settings.Node.FailureDomain, Ready: a.opts.Ready(),
		Revision: a.opts.Config().Revision, Groups: view.Groups, Upstreams: len(view.Upstreams),
	})
}

func (a *Admin) ready(c fiber.Ctx) error {
	if !a.opts.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}
