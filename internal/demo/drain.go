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

// leavingLimit is the time after which a leaving upstream gets no new work.
const leavingLimit = 2 * time.Second

// leaving drains the only desk of the first failure domain under lookups. After the
// limit it gets none; the domain's lookups go to the desks of the others.
func (d *Demo) leaving() (string, error) {
	desk, err := d.deskOf(0)
	if err != nil {
		return "", err
	}
	if err := d.drain(desk, true); err != nil {
		return "", err
	}
	time.Sleep(leavingLimit)
	before, err := d.runsAt(d.opts.Desks[0])
	if err != nil {
		return "", err
	}
	seen, err := d.lookups()
	if err != nil {
		return "", err
	}
	after, err := d.runsAt(d.opts.Desks[0])
	if err != nil {
		return "", err
	}
	if more := total(after) - total(before); more != 0 {
		return "", fmt.Errorf("%s got %d requests more than %s after it left", desk, more, leavingLimit)
	}
	return desk + " got none of " + seen, d.drain(desk, false)
}

func total(runs map[string]int) int { return lo.Sum(lo.Values(runs)) }

// deskOf names the desk that a node's own domain has.
func (d *Demo) deskOf(node int) (string, error) {
	status, err := d.admins[node].Status()
	if err != nil {
		return "", err
	}
	for _, g := range status.Groups {
		if g.Spec == "desk" && g.FailureDomain == status.FailureDomain {
			return g.Members[0].ID, nil
		}
	}
	return "", fmt.Errorf("%s has no desk", status.FailureDomain)
}

func (d *Demo) drain(upstream string, leaving bool) error {
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
