package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/state"
)

const (
	// timePerTokenSmoothing is the weight of a new observation in an estimate of the
	// time per output token.
	timePerTokenSmoothing = 0.1
	// defaultTimePerToken is the time per output token assumed without observations.
	defaultTimePerToken = 20 * time.Millisecond
	// maxCandidateLists bounds the cached candidate lists of routes and services.
	maxCandidateLists = 256
)

// Options configure a Table.
type Options struct {
	// FailureDomain is the failure domain of this entry; its groups are preferred.
	FailureDomain string
	// Entries is the number of entries in the failure domain and Rank the index of
	// this one among them. The home groups are divided among the entries, so that an
	// entry's own counts cover nearly all of the load on its home groups. 0 entries
	// means one entry.
	Entries int
	Rank    int
	// Rand decorrelates the choices of entries that see the same reports.
	Rand *rand.Rand
	// PackLong places long requests on the groups that already run the most of them.
	PackLong bool
	// Overcommit ignores the slots, NoCircuitBreaker the circuit breakers and AnyGroup
	// whether groups are whole. They inject faults; only tests of the scheduler set them.
	Overcommit       bool
	NoCircuitBreaker bool
	AnyGroup         bool
}

// Table is one entry's routing state of the groups. It is not safe for concurrent
// use.
type Table struct {
	opts           Options
	targets        map[string]*Target
	candidateLists map[listKey][]*Target
	prefixes       *PrefixIndex
	// timePerToken is the time per output token of each service over all its groups, in
	// seconds.
	timePerToken map[string]float64
	filters      []Filter
	scores       []Score
	// openCircuits is the number of circuits that are open or half-open.
	openCircuits int
	// eligible is the scratch list of Pick.
	eligible []*Target
}

type listKey struct {
	route   *state.Route
	service string
}

// NewTable returns a table without groups.
func NewTable(opts Options) *Table {
	t := &Table{
		opts: opts, targets: map[string]*Target{}, candidateLists: map[listKey][]*Target{}, prefixes: NewPrefixIndex(),
		timePerToken: map[string]float64{},
	}
	t.filters = []Filter{freeSlot{overcommit: opts.Overcommit}, circuitClosed{table: t, ignoreCircuits: opts.NoCircuitBreaker}, notExcluded{}, nearest{}, notAvoided{}}
	t.scores = []Score{loadScore{}, slownessScore{table: t}, prefixScore{index: t.prefixes}}
	return t
}

// Update applies a new view.
func (t *Table) Update(now time.Time, view *domain.View) {
	changed := false
	for _, target := range t.targets {
		target.present = false
	}
	for _, list := range [][]*domain.Group{view.Groups, view.Remote} {
		for _, g := range list {
			changed = t.updateGroup(now, g) || changed
		}
	}
	for name, target := range t.targets {
		if target.present {
			continue
		}
		changed = true
		if target.running == 0 {
			t.removeTarget(name, target)
		}
	}
	if changed {
		clear(t.candidateLists)
		t.assignTiers()
	}
	for _, target := range t.targets {
		target.updateWeights(now)
	}
}

// assignTiers assigns the tiers: every Entries-th group of each service is a home
// group. All entries of a failure domain see the same group names, so each group
// is a home group of exactly one entry.
func (t *Table) assignTiers() {
	list := make([]*Target, 0, len(t.targets))
	for _, target := range t.targets {
		if target.present {
			list = append(list, target)
		}
	}
	sortByName(list)
	next := map[string]int{}
	for _, target := range list {
		service := target.Group.Service
		switch {
		case target.Group.FailureDomain != t.opts.FailureDomain:
			target.tier = remote
			continue
		case next[service]%max(t.opts.Entries, 1) == t.opts.Rank:
			target.tier = home
		default:
			target.tier = neighbour
		}
		next[service]++
	}
}

// updateGroup updates one group and reports whether candidate lists may change.
func (t *Table) updateGroup(now time.Time, g *domain.Group) bool {
	target := t.targets[g.Name]
	if target == nil {
		target = &Target{hash: xxhash.Sum64String(g.Name)}
		t.targets[g.Name] = target
	}
	old := target.Group
	if old != nil && old.Generation != g.Generation {
		target.breaker = Breaker{}
		t.updateOpenCircuits(target)
		t.prefixes.Remove(g.Name)
	}
	target.Group, target.present = g, true
	target.slow = slices.ContainsFunc(g.Members, func(m domain.Member) bool { return m.Slow })
	target.applyReport(now)
	return old == nil || old.Whole != g.Whole || old.Leaving != g.Leaving || old.Generation != g.Generation ||
		old.Service != g.Service || old.FailureDomain != g.FailureDomain || !maps.Equal(old.Labels, g.Labels)
}

// candidates returns the whole groups that a route admits and that are not leaving,
// in order of tier.
func (t *Table) candidates(route *state.Route, service string) []*Target {
	key := listKey{route, service}
	if list, ok := t.candidateLists[key]; ok {
		return list
	}
	var list []*Target
	for _, target := range t.targets {
		if target.present && (t.opts.AnyGroup || admits(target.Group, route, Request{Service: service})) {
			list = append(list, target)
		}
	}
	sortByName(list)
	slices.SortStableFunc(list, func(a, b *Target) int { return int(a.tier - b.tier) })
	if len(list) > 0 {
		if len(t.candidateLists) >= maxCandidateLists {
			clear(t.candidateLists)
		}
		key.service = strings.Clone(service)
		t.candidateLists[key] = list
	}
	return list
}

// Capacity is the capacity of a route's groups for this entry.
type Capacity struct {
	// Groups is the number of whole groups that the route admits and that are not
	// leaving.
	Groups int
	// Free is the estimated number of free slots.
	Free float64
	// HomeFree and HomeSlots count the slots of the home groups.
	HomeFree  float64
	HomeSlots float64
}

// Capacity returns the current capacity of a route's groups.
func (t *Table) Capacity(now time.Time, route *state.Route, service string) Capacity {
	var c Capacity
	for _, target := range t.candidates(route, service) {
		c.Groups++
		if !target.breaker.Allows(now) {
			continue
		}
		free := max(0, target.free())
		c.Free += free
		if target.tier == home {
			c.HomeFree += free
			c.HomeSlots += target.slots
		}
	}
	return c
}

// Available reports whether any group admits a request, with or without a free
// slot.
func (t *Table) Available(route *state.Route, req *Request) bool {
	return slices.ContainsFunc(t.candidates(route, req.Service), func(target *Target) bool {
		return req.allows(target.Group.Name)
	})
}

// TimePerToken returns a service's time per output token.
func (t *Table) TimePerToken(service string) time.Duration {
	return time.Duration(t.timePerTokenOf(service) * float64(time.Second))
}

func (t *Table) timePerTokenOf(service string) float64 {
	if known, ok := t.timePerToken[service]; ok {
		return known
	}
	return defaultTimePerToken.Seconds()
}

// Start records a request sent to a group.
func (t *Table) Start(group string, long bool) {
	target := t.targets[group]
	if target == nil {
		return
	}
	target.running++
	target.peakRunning = max(target.peakRunning, target.running)
	target.breaker.Started()
	if long {
		target.runningLong++
	}
}

// Completion is the result of one request on a group.
type Completion struct {
	Group string
	// Long must be the value that was passed to Start.
	Long   bool
	Failed bool
	// Duration is the time on the group; 0 if the request gave no result for the
	// group.
	Duration time.Duration
	Tokens   int
}

// Finish records the end of a request on a group.
func (t *Table) Finish(now time.Time, end Completion) {
	target := t.targets[end.Group]
	if target == nil {
		return
	}
	target.running--
	if end.Long {
		target.runningLong--
	}
	switch {
	case end.Failed:
		target.breaker.Finished(now, true)
	case end.Duration > 0:
		target.breaker.Finished(now, false)
		t.observeTimePerToken(target, end)
	default:
		target.breaker.Abandoned()
	}
	t.updateOpenCircuits(target)
	if !target.present && target.running == 0 {
		t.removeTarget(end.Group, target)
	}
}

// updateOpenCircuits updates the count of open circuits.
func (t *Table) updateOpenCircuits(target *Target) {
	open := target.breaker.Open()
	if open && !target.open {
		t.openCircuits++
	}
	if !open && target.open {
		t.openCircuits--
	}
	target.open = open
}

// removeTarget removes a group that is no longer in the view and runs no requests.
func (t *Table) removeTarget(name string, target *Target) {
	target.breaker = Breaker{}
	t.updateOpenCircuits(target)
	delete(t.targets, name)
	t.prefixes.Remove(name)
}

func (t *Table) observeTimePerToken(target *Target, end Completion) {
	if end.Tokens <= 0 {
		return
	}
	sample := end.Duration.Seconds() / float64(end.Tokens)
	if target.timePerToken == 0 {
		target.timePerToken = sample
	}
	target.timePerToken += timePerTokenSmoothing * (sample - target.timePerToken)
	service := target.Group.Service
	mean, known := t.timePerToken[service]
	if !known {
		mean = sample
	}
	t.timePerToken[service] = mean + timePerTokenSmoothing*(sample-mean)
}

// CacheEvent applies an engine's cache event.
func (t *Table) CacheEvent(e CacheEvent) { t.prefixes.Apply(e) }
