package coordinator

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/fault"
)

// maxVoters limits the cost of renewals in a large failure domain.
const maxVoters = 5

// Node is a node and its failure domain.
type Node struct {
	Node          string
	FailureDomain string
}

// ChooseVoters returns the voters of a failure domain: up to maxVoters of its
// nodes, plus a witness from the next failure domain if their number is even.
// With the witness, two entries tolerate the loss of one; while the domain is
// partitioned from the others, its own nodes still form a majority.
func ChooseVoters(domain string, nodes []Node) []string {
	own := lo.FilterMap(nodes, func(n Node, _ int) (string, bool) { return n.Node, n.FailureDomain == domain })
	slices.Sort(own)
	if len(own) >= maxVoters {
		return own[:maxVoters]
	}
	if len(own)%2 == 1 {
		return own
	}
	if witness, ok := nextDomainNode(domain, nodes); ok {
		return append(own, witness)
	}
	return own
}

// nextDomainNode returns the first node of the next failure domain by name,
// wrapping around at the end.
func nextDomainNode(domain string, nodes []Node) (string, bool) {
	others := lo.Filter(nodes, func(n Node, _ int) bool { return n.FailureDomain != domain })
	if len(others) == 0 {
		return "", false
	}
	slices.SortFunc(others, func(a, b Node) int {
		if order := compareCyclic(domain, a.FailureDomain, b.FailureDomain); order != 0 {
			return order
		}
		return compare(a.Node, b.Node)
	})
	return others[0].Node, true
}

// compareCyclic orders names that follow domain before names that precede it.
func compareCyclic(domain, a, b string) int {
	if (a > domain) != (b > domain) {
		if a > domain {
			return -1
		}
		return 1
	}
	return compare(a, b)
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// SetVoters changes the voter set by at most one node. Majorities of two sets that
// differ by one node share a voter; waiting MaxLease between changes extends this
// to every lease that is still valid.
func (m *Machine) SetVoters(now time.Time, voters []string) error {
	next := slices.Sorted(slices.Values(voters))
	added, removed := lo.Difference(next, m.voters)
	if len(added)+len(removed) > 1 {
		return fault.New(fault.InvalidRequest, "change one voter at a time", "the voter set of %s differs by %d nodes", m.opts.Domain, len(added)+len(removed))
	}
	if wait := m.votersChangedAt.Add(MaxLease).Sub(now); wait > 0 {
		return fault.New(fault.InvalidRequest, "wait for the maximal lease between two changes", "the voter set of %s changed less than %v ago", m.opts.Domain, MaxLease).WithRetryAfter(wait)
	}
	m.voters, m.votersChangedAt = next, now
	m.isVoter = slices.Contains(m.voters, m.opts.Self.Node)
	return nil
}
