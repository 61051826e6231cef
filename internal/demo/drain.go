package demo

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/fault"
)

// drainLimit is the time after which a draining upstream gets no new work.
const drainLimit = 2 * time.Second

// drainService drains the only service of the first failure domain and sends lookups.
// After drainLimit none must reach it; they go to the services of the other domains.
func (d *Demo) drainService() (string, error) {
	service, err := d.serviceOf(0)
	if err != nil {
		return "", err
	}
	if err := d.setLeaving(service, true); err != nil {
		return "", err
	}
	time.Sleep(drainLimit)
	before, err := d.runsAt(d.opts.Services[0])
	if err != nil {
		return "", err
	}
	seen, err := d.sendLookups()
	if err != nil {
		return "", err
	}
	after, err := d.runsAt(d.opts.Services[0])
	if err != nil {
		return "", err
	}
	if extra := total(after) - total(before); extra != 0 {
		return "", fmt.Errorf("%s got %d requests more than %s after draining began", service, extra, drainLimit)
	}
	return service + " got no request of " + seen, d.setLeaving(service, false)
}

func total(runs map[string]int) int { return lo.Sum(lo.Values(runs)) }

// serviceOf returns the identifier of the service in a node's own failure domain.
func (d *Demo) serviceOf(node int) (string, error) {
	status, err := d.admins[node].Status()
	if err != nil {
		return "", err
	}
	for _, g := range status.Groups {
		if g.Spec == "desk" && g.FailureDomain == status.FailureDomain {
			return g.Members[0].ID, nil
		}
	}
	return "", fmt.Errorf("failure domain %s has no service", status.FailureDomain)
}

func (d *Demo) setLeaving(upstream string, leaving bool) error {
	object, err := d.admins[0].Get(api.KindLabels, upstream)
	if err != nil && !fault.IsKind(err, fault.NotFound) {
		return err
	}
	spec, err := json.Marshal(api.LabelsSpec{Leaving: leaving})
	if err != nil {
		return fmt.Errorf("encode labels: %w", err)
	}
	_, err = d.admins[0].Apply(api.KindLabels, upstream, admin.Change{ExpectedRevision: object.Revision, Spec: spec})
	return err
}
