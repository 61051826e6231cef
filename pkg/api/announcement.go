package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

const (
	// maxNameBytes limits the length of each name in an announcement.
	maxNameBytes = 256
	// maxLabels limits the number of labels of an upstream.
	maxLabels = 64
)

// ParseAnnouncement decodes and validates an announcement. The error lists every
// invalid field.
func ParseAnnouncement(body []byte) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(body, &a); err != nil {
		return Announcement{}, fmt.Errorf("the body is not a JSON announcement: %w", err)
	}
	if err := a.check(); err != nil {
		return Announcement{}, err
	}
	return a, nil
}

func (a Announcement) check() error {
	var errs []error
	addError := func(field, remedy string) { errs = append(errs, fmt.Errorf("%s: %s", field, remedy)) }
	name := func(field, value string, required bool) {
		if len(value) > maxNameBytes || required && value == "" {
			addError(field, fmt.Sprintf("give a name of 1 to %d bytes", maxNameBytes))
		}
	}
	name("id", a.ID, true)
	name("failure_domain", a.FailureDomain, true)
	name("fabric_domain", a.FabricDomain, a.Kind == UpstreamEngine)
	name("service", a.Service, true)
	name("group", a.Group, false)
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		addError("address", "give an IP address and a port")
	}
	if a.Kind != UpstreamEngine && a.Kind != UpstreamService {
		addError("kind", "use engine or service")
	}
	if len(a.Labels) > maxLabels {
		addError("labels", fmt.Sprintf("give at most %d labels", maxLabels))
	}
	if a.Accelerators < 0 || a.Load.Running < 0 || a.Load.Waiting < 0 || a.Load.Slots < 0 || a.Load.KVUsed < 0 {
		addError("accelerators and load", "give non-negative numbers")
	}
	return errors.Join(errs...)
}
