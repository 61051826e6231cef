package demo

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// refusalLimit bounds how long a refusal in a cut may take.
	refusalLimit = 5 * time.Second
	// healLimit bounds the wait after a cut: a silent connection is given up after
	// at most 13 s.
	healLimit = 20 * time.Second
)

// Cuts returns steps that cut failure domains off under the load of Faults.
func (r *Region) Cuts() []Step {
	var load *grantLoad
	var captions *captionLoad
	var watch *watcher
	return []Step{
		{"groups of four VMs whole in each failure domain", r.groupsWhole},
		{"load and watch begin", func() (string, error) {
			load, captions, watch = startGrants(r.Demo), startCaptions(r.Demo), startWatcher(r.Demo)
			return "a grant each 20 ms and 20 captions at a time through any node", nil
		}},
		{"fd-b cut off: serves, refuses changes and grants, repairs", func() (string, error) { return r.cutOff(1) }},
		{"fd-b healed: every node at the last revision", func() (string, error) { return r.heal(1) }},
		{"fd-a cut off: serves, refuses changes and grants, repairs", func() (string, error) { return r.cutOff(0) }},
		{"fd-a healed: every node at the last revision", func() (string, error) { return r.heal(0) }},
		{"no VM in two groups, no revision back", func() (string, error) { return watch.finish() }},
		{"no stream with a gap, a repeat or another's token", func() (string, error) { return captions.finish() }},
		{"what callers were told is what ran", func() (string, error) { return load.finish() }},
	}
}

// cutOff cuts a domain off and checks what it may still do, and that the others go on.
func (r *Region) cutOff(domain int) (string, error) {
	inside, outside := domain*nodesPerDomain, (domain+1)%regionDomains*nodesPerDomain
	r.links.setCut(domainName(domain), true)
	took, err := within(inForceLimit, func() error {
		_, err := r.setLimitThrough(outside, 70_000+float64(domain))
		return err
	})
	if err != nil {
		return "", fmt.Errorf("the others refuse changes: %w", err)
	}
	err = errors.Join(r.refusesChange(inside), r.refusesGrant(inside, domain), r.servesAndRepairs(inside))
	return fmt.Sprintf("the others accept a change after %s", took.Round(time.Millisecond)), err
}

func (r *Region) refusesChange(node int) error {
	start := time.Now()
	_, err := r.setLimitThrough(node, 1)
	switch {
	case !fault.IsKind(err, fault.NoQuorum):
		return fmt.Errorf("a change in the cut gave %v, want no-quorum", err) //nolint:errorlint // err may be nil.
	case time.Since(start) > refusalLimit:
		return fmt.Errorf("the change was refused after %s", time.Since(start))
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
		return fmt.Errorf("a grant in the cut: status %d, outcome %s: %s", answer.status, answer.outcome, answer.body)
	case time.Since(start) > refusalLimit:
		return fmt.Errorf("the grant was refused after %s", time.Since(start))
	}
	return nil
}

// servesAndRepairs streams through each node of a domain, kills a member and waits
// until the domain's own steward has repaired its group.
func (r *Region) servesAndRepairs(first int) error {
	for node := first; node < first+nodesPerDomain; node++ {
		if _, err := r.caller.stream(r.opts.Callers[node], captionTokens, nil); err != nil {
			return fmt.Errorf("in the cut: %w", err)
		}
	}
	_, err := r.repairSeenBy(first)
	return err
}

// heal ends a cut and waits until every node has the last accepted revision.
func (r *Region) heal(domain int) (string, error) {
	status, err := r.admins[(domain+1)%regionDomains*nodesPerDomain].Status()
	if err != nil {
		return "", err
	}
	r.links.setCut(domainName(domain), false)
	took, err := within(healLimit, func() error { return r.atRevision(status.Revision) })
	return fmt.Sprintf("revision %d on all after %s", status.Revision, took.Round(time.Millisecond)), err
}
