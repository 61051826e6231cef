package domain

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// summaryInterval is the time between two summaries to each failure domain.
	summaryInterval = time.Second
	// fullSummaryInterval is the time after which an unchanged list of groups is sent
	// again.
	fullSummaryInterval = 10 * time.Second
	// RemoteLease is how long the groups of another failure domain are kept after its
	// last summary.
	RemoteLease = 5 * time.Second
)

// remoteDomain holds the groups of another failure domain, from its last full
// summary.
type remoteDomain struct {
	fence, version uint64
	confirmedAt    time.Time
	groups         []*peerpb.GroupSummary
}

// summaries sends the whole groups of this failure domain to the others while this
// node is coordinator, and holds the groups received from them.
type summaries struct {
	self         string
	domain       string
	domains      map[string][]string
	otherDomains []string
	remotes      map[string]*remoteDomain

	version    uint64
	fence      uint64
	lastGroups []groupVersion
	lastSent   time.Time
	lastFull   time.Time
	rotation   int
}

type groupVersion struct {
	name       string
	generation uint64
	// incarnation is that of the member of rank 0.
	incarnation uint64
}

func newSummaries(opts CoreOptions) *summaries {
	s := &summaries{self: opts.Node, domain: opts.FailureDomain, domains: map[string][]string{}, remotes: map[string]*remoteDomain{}}
	for _, p := range opts.Nodes {
		if p.Node != opts.Node {
			s.domains[p.FailureDomain] = append(s.domains[p.FailureDomain], p.Node)
		}
	}
	s.otherDomains = lo.Without(lo.Keys(s.domains), s.domain)
	slices.Sort(s.otherDomains)
	return s
}

// requireFull makes the next summary a full one, since a peer that has just
// connected may lack the list of groups.
func (s *summaries) requireFull() { s.lastFull = time.Time{} }

// sendSummary sends the whole groups to one entry of each other failure domain. The
// entries are used in rotation, so that a failed entry costs its domain only one
// summary per rotation.
func (c *Core) sendSummary(now time.Time) {
	s := c.summaries
	fence, ok := c.Coordinator(now)
	if !ok || len(s.otherDomains) == 0 || now.Sub(s.lastSent) < summaryInterval {
		return
	}
	s.lastSent = now
	s.rotation++
	summary := c.summary(now, fence)
	for _, domain := range s.otherDomains {
		entries := s.domains[domain]
		c.send(now, entries[s.rotation%len(entries)], &peerpb.DomainPacket{Summary: summary})
	}
}

func (c *Core) summary(now time.Time, fence uint64) *peerpb.Summary {
	s := c.summaries
	groups := lo.Filter(c.groups(now), func(g *Group, _ int) bool { return g.Whole && !g.Leaving })
	listed := lo.Map(groups, func(g *Group, _ int) groupVersion {
		return groupVersion{g.Name, g.Generation, g.Members[0].Incarnation}
	})
	if fence != s.fence || !slices.Equal(listed, s.lastGroups) {
		s.version, s.fence, s.lastGroups = s.version+1, fence, listed
		s.lastFull = time.Time{}
	}
	summary := &peerpb.Summary{FailureDomain: s.domain, Fence: fence, Version: s.version}
	if now.Sub(s.lastFull) >= fullSummaryInterval {
		s.lastFull = now
		summary.Full = true
		summary.Groups = lo.Map(groups, func(g *Group, _ int) *peerpb.GroupSummary { return encodeGroup(g) })
	}
	return summary
}

func encodeGroup(g *Group) *peerpb.GroupSummary {
	m := g.Members[0]
	return &peerpb.GroupSummary{
		Name: g.Name, Spec: g.Spec, Kind: string(g.Kind), Generation: g.Generation, FabricDomain: g.FabricDomain,
		Member: m.ID, Address: m.Address, Running: uint32(m.Load.Running), Waiting: uint32(m.Load.Waiting),
		Slots: uint32(m.Load.Slots), KvPercent: uint32(m.Load.KVUsed * percentScale), Incarnation: m.Incarnation,
	}
}

// handleSummary records the summary of another failure domain and forwards it to
// the other entries of this one.
func (c *Core) handleSummary(now time.Time, summary *peerpb.Summary) {
	c.summaries.apply(now, summary)
	if summary.GetForwarded() {
		return
	}
	forwarded := &peerpb.Summary{
		FailureDomain: summary.GetFailureDomain(), Fence: summary.GetFence(), Version: summary.GetVersion(),
		Full: summary.GetFull(), Groups: summary.GetGroups(), Forwarded: true,
	}
	for _, peer := range c.relay.peers {
		c.send(now, peer, &peerpb.DomainPacket{Summary: forwarded})
	}
}

func (s *summaries) apply(now time.Time, summary *peerpb.Summary) {
	known := s.remotes[summary.GetFailureDomain()]
	if known != nil && summary.GetFence() < known.fence {
		return
	}
	if summary.GetFull() {
		known = &remoteDomain{groups: summary.GetGroups(), fence: summary.GetFence(), version: summary.GetVersion()}
		s.remotes[summary.GetFailureDomain()] = known
	}
	if known != nil && known.fence == summary.GetFence() && known.version == summary.GetVersion() {
		known.confirmedAt = now
	}
}

// remoteGroups returns the whole groups of the failure domains whose last summary
// is more recent than RemoteLease.
func (c *Core) remoteGroups(now time.Time) []*Group {
	var groups []*Group
	for _, domain := range c.summaries.otherDomains {
		known := c.summaries.remotes[domain]
		if known == nil || now.Sub(known.confirmedAt) >= RemoteLease {
			continue
		}
		for _, g := range known.groups {
			if spec, ok := c.specByName(g.GetSpec()); ok {
				groups = append(groups, remoteGroup(domain, g, spec, known.confirmedAt))
			}
		}
	}
	return groups
}

func remoteGroup(domain string, g *peerpb.GroupSummary, spec state.Group, confirmedAt time.Time) *Group {
	load := api.Load{
		Running: int(g.GetRunning()), Waiting: int(g.GetWaiting()), Slots: int(g.GetSlots()), KVUsed: float64(g.GetKvPercent()) / percentScale,
	}
	return &Group{
		Name: g.GetName(), Spec: spec.Name, Service: spec.Spec.Service, Kind: api.UpstreamKind(g.GetKind()),
		Labels: spec.Spec.Labels, Generation: g.GetGeneration(), FailureDomain: domain, FabricDomain: g.GetFabricDomain(),
		Members: []Member{{ID: g.GetMember(), Address: g.GetAddress(), Incarnation: g.GetIncarnation(), Load: load, ReportedAt: confirmedAt}},
		Whole:   true, ConfirmedAt: confirmedAt,
	}
}
