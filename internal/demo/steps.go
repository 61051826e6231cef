package demo

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/admin"
	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
)

const (
	// groupsPerDomain is the number of caption groups configured in each domain.
	groupsPerDomain = 4
	// formLimit bounds the wait for groups to form.
	formLimit = 15 * time.Second
	// inForceLimit is the guaranteed time until a change is in force.
	inForceLimit = 6 * time.Second
	// repairLimit bounds the repair of a group, including the model load time.
	repairLimit = 10 * time.Second
)

// captionGroups returns the whole caption groups of a node's own domain.
func captionGroups(status admin.Status) []*domain.Group {
	return lo.Filter(status.Groups, func(g *domain.Group, _ int) bool {
		return g.Spec == "captions" && g.Whole && g.FailureDomain == status.FailureDomain
	})
}

func (d *Demo) groupsWhole() (string, error) {
	took, err := waitFor(formLimit, func() error {
		for i, client := range d.admins {
			status, err := client.Status()
			if err != nil {
				return err
			}
			if n := len(captionGroups(status)); n != groupsPerDomain {
				return fmt.Errorf("node %d sees %d whole caption groups, want %d", i, n, groupsPerDomain)
			}
		}
		return nil
	})
	return fmt.Sprintf("%d groups in each domain after %s", groupsPerDomain, took.Round(time.Millisecond)), err
}

func (d *Demo) streamCaptions() (string, error) {
	const each, tokens = 8, 40
	errs := parallel(each*len(d.opts.Callers), func(i int) error {
		got, err := d.caller.stream(d.opts.Callers[i%len(d.opts.Callers)], tokens, nil)
		if err == nil && got != tokens {
			err = fmt.Errorf("%d tokens, want %d", got, tokens)
		}
		return err
	})
	return fmt.Sprintf("%d streams of %d tokens complete", each*len(d.opts.Callers), tokens), errs
}

func (d *Demo) sendLookups() (string, error) {
	const each = 20
	errs := parallel(each*len(d.opts.Callers), func(i int) error {
		r, err := d.caller.send(http.MethodGet, d.opts.Callers[i%len(d.opts.Callers)], fmt.Sprintf("/lookup/clip-%d", i), "", nil)
		if err == nil && (r.status != http.StatusOK || r.outcome != fault.Ran) {
			err = fmt.Errorf("lookup: status %d outcome %s: %s", r.status, r.outcome, r.body)
		}
		return err
	})
	return fmt.Sprintf("%d answered", each*len(d.opts.Callers)), errs
}

// grantKey is the idempotency key of the grant that is sent twice.
const grantKey = "grant-thrissur-17"

func (d *Demo) grantOnce() (string, error) {
	body := []byte(`{"office":"Thrissur panchayat","clip":"lamp-17"}`)
	first, last := d.opts.Callers[0], d.opts.Callers[len(d.opts.Callers)-1]
	var answers []reply
	for _, address := range []string{first, last} {
		r, err := d.caller.send(http.MethodPost, address, "/grants", grantKey, body)
		if err != nil {
			return "", err
		}
		if r.status != http.StatusOK {
			return "", fmt.Errorf("grant: status %d outcome %s: %s", r.status, r.outcome, r.body)
		}
		answers = append(answers, r)
	}
	if string(answers[0].body) != string(answers[1].body) {
		return "", fmt.Errorf("responses differ: %s and %s", answers[0].body, answers[1].body)
	}
	runs, err := d.runsByKey()
	if err != nil {
		return "", err
	}
	if n := runs[grantKey]; n != 1 {
		return "", fmt.Errorf("the grant ran %d times", n)
	}
	return "ran 1 time, both responses equal", nil
}

func (d *Demo) raiseRateLimit() (string, error) {
	low, err := d.setRateLimit(1)
	if err != nil {
		return "", err
	}
	if _, err := d.waitInForce(low); err != nil {
		return "", err
	}
	refused := d.burst()
	if refused == 0 {
		return "", errors.New("no request was refused at the low limit")
	}
	high, err := d.setRateLimit(10_000)
	if err != nil {
		return "", err
	}
	took, err := d.waitInForce(high)
	if err != nil {
		return "", err
	}
	if _, err := waitFor(inForceLimit, func() error {
		if n := d.burst(); n > 0 {
			return fmt.Errorf("%d requests still refused", n)
		}
		return nil
	}); err != nil {
		return "", err
	}
	return fmt.Sprintf("revision %d on %d nodes after %s; before it %d refused", high, len(d.admins), took.Round(time.Millisecond), refused), nil
}

// setRateLimit sets the rate limit through the first node.
func (d *Demo) setRateLimit(rate float64) (uint64, error) { return d.setRateLimitThrough(0, rate) }

func (d *Demo) setRateLimitThrough(node int, rate float64) (uint64, error) {
	object, err := d.admins[node].Get(api.KindLimit, "school")
	if err != nil && !fault.IsKind(err, fault.NotFound) {
		return 0, err
	}
	spec := fmt.Appendf(nil, `{"account":"school","requests_per_second":%g}`, rate)
	accepted, err := d.admins[node].Apply(api.KindLimit, "school", admin.Change{ExpectedRevision: object.Revision, Spec: spec})
	return accepted.Revision, err
}

func (d *Demo) waitInForce(revision uint64) (time.Duration, error) {
	return waitFor(inForceLimit, func() error { return d.checkRevision(revision) })
}

// checkRevision returns an error unless the revision is in force on every node.
func (d *Demo) checkRevision(revision uint64) error {
	for i, client := range d.admins {
		status, err := client.Status()
		if err != nil {
			return err
		}
		if status.Revision < revision {
			return fmt.Errorf("node %d is at revision %d, want %d", i, status.Revision, revision)
		}
	}
	return nil
}

// burst sends concurrent lookups through every node and returns the number refused.
func (d *Demo) burst() int {
	var mu sync.Mutex
	refused := 0
	_ = parallel(30*len(d.opts.Callers), func(i int) error {
		r, err := d.caller.send(http.MethodGet, d.opts.Callers[i%len(d.opts.Callers)], "/lookup/burst", "", nil)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || r.status == http.StatusTooManyRequests {
			refused++
		}
		return err
	})
	return refused
}

func (d *Demo) repairGroup() (string, error) { return d.repairSeenBy(len(d.admins) - 1) }

// repairSeenBy kills a member of a group in a node's domain and waits until the node
// reports every group of its domain as whole again.
func (d *Demo) repairSeenBy(node int) (string, error) {
	watcher := d.admins[node]
	status, err := watcher.Status()
	if err != nil {
		return "", err
	}
	groups := captionGroups(status)
	if len(groups) == 0 {
		return "", errors.New("no whole group to kill a member of")
	}
	victim := groups[0].Members[len(groups[0].Members)-1]
	if _, err := d.caller.send(http.MethodPost, victim.Address, "/fake/fault", "", []byte(`{"dead":true}`)); err != nil {
		return "", err
	}
	took, err := waitFor(repairLimit, func() error {
		status, err := watcher.Status()
		if err != nil {
			return err
		}
		now := captionGroups(status)
		if len(now) < groupsPerDomain || lo.SomeBy(now, func(g *domain.Group) bool { return hasMember(g, victim.ID) }) {
			return fmt.Errorf("%d whole groups after the kill", len(now))
		}
		return nil
	})
	return fmt.Sprintf("%s killed; %d whole groups again after %s", victim.ID, groupsPerDomain, took.Round(time.Millisecond)), err
}

func hasMember(g *domain.Group, id string) bool {
	return lo.SomeBy(g.Members, func(m domain.Member) bool { return m.ID == id })
}
