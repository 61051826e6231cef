package demo

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// refusalLimit bounds the time until a partitioned node refuses a request.
	refusalLimit = 5 * time.Second
	// healLimit bounds the wait for recovery after a partition. It allows for silent
	// connections, which time out after at most 13 s.
	healLimit = 20 * time.Second
)

// PartitionSteps returns steps that partition failure domains from the others under the load
// of FaultSteps.
func (r *Region) PartitionSteps() []Step {
	var load *grantLoad
	var captions *captionLoad
	var watch *watcher
	return []Step{
		{"groups of four VMs whole in each failure domain", r.groupsWhole},
		{"load and monitoring started", func() (string, error) {
			load, captions, watch = startGrants(r.Demo), startCaptions(r.Demo), startWatcher(r.Demo)
			return "a grant every 20 ms and 20 concurrent captions through random nodes", nil
		}},
		{"fd-b partitioned: serves, refuses changes and grants, repairs", func() (string, error) { return r.partition(1) }},
		{"fd-b reconnected: every node at the last revision", func() (string, error) { return r.heal(1) }},
		{"fd-a partitioned: serves, refuses changes and grants, repairs", func() (string, error) { return r.partition(0) }},
		{"fd-a reconnected: every node at the last revision", func() (string, error) { return r.heal(0) }},
		{"no VM in two groups, no revision decreased", func() (string, error) { return watch.finish() }},
		{"no stream with a missing, repeated or foreign token", func() (string, error) { return captions.finish() }},
		{"outcomes reported to callers match the runs", func() (string, error) { return load.finish() }},
	}
}

// partition partitions a domain from the others. It checks that the domain serves and
// repairs groups but refuses changes and grants, and that the others accept changes.
func (r *Region) partition(domain int) (string, error) {
	inside, outside := domain*nodesPerDomain, (domain+1)%regionDomains*nodesPerDomain
	r.links.setPartitioned(domainName(domain), true)
	took, err := waitFor(inForceLimit, func() error {
		_, err := r.setRateLimitThrough(outside, 70_000+float64(domain))
		return err
	})
	if err != nil {
		return "", fmt.Errorf("the other failure domains refuse changes: %w", err)
	}
	err = errors.Join(r.refusesChange(inside), r.refusesGrant(inside, domain), r.servesAndRepairs(inside))
	return fmt.Sprintf("the other failure domains accepted a change after %s", took.Round(time.Millisecond)), err
}

func (r *Region) refusesChange(node int) error {
	start := time.Now()
	_, err := r.setRateLimitThrough(node, 1)
	switch {
	case !fault.IsKind(err, fault.NoQuorum):
		return fmt.Errorf("change in the partition: got error %v, want no-quorum", err) //nolint:errorlint // err may be nil.
	case time.Since(start) > refusalLimit:
		return fmt.Errorf("change in the partition refused only after %s", time.Since(start))
	}
	return nil
}

func (r *Region) refusesGrant(node, domain int) error {
	start := time.Now()
	key := fmt.Sprintf("grant-in-cut-%d", domain)
	answer, err := r.caller.send(http.MethodPost, r.opts.Callers[node], "/grants", key, []byte(`{"cut":true}`))
	switch {
	case err != nil:
		return err
	case answer.outcome != fault.NotRun:
		return fmt.Errorf("grant in the partition: status %d, outcome %s: %s", answer.status, answer.outcome, answer.body)
	case time.Since(start) > refusalLimit:
		return fmt.Errorf("grant in the partition refused only after %s", time.Since(start))
	}
	return nil
}

// servesAndRepairs streams through each node of a domain, kills a member and waits
// until the domain's own coordinator has repaired the group.
func (r *Region) servesAndRepairs(first int) error {
	for node := first; node < first+nodesPerDomain; node++ {
		if _, err := r.caller.stream(r.opts.Callers[node], captionTokens, nil); err != nil {
			return fmt.Errorf("in the partition: %w", err)
		}
	}
	_, err := r.repairSeenBy(first)
	return err
}

// heal ends a partition and waits until every node has the last accepted revision.
func (r *Region) heal(domain int) (string, error) {
	status, err := r.admins[(domain+1)%regionDomains*nodesPerDomain].Status()
	if err != nil {
		return "", err
	}
	r.links.setPartitioned(domainName(domain), false)
	took, err := waitFor(healLimit, func() error { return r.checkRevision(status.Revision) })
	return fmt.Sprintf("revision %d on all nodes after %s", status.Revision, took.Round(time.Millisecond)), err
}
