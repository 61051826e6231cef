// Package share divides the limits of client accounts among the nodes. It is the
// part of the replicated state that keeps the sum of all shares within the limit,
// also while some nodes are partitioned. It is deterministic: grants depend only on
// the reports and the leader's time.
//
// For each node and limit the table stores the last grant and the amount that may
// still be in use. A share is raised only by the amount of the limit that cannot be
// in use anywhere, so a lowered share must be acknowledged, or its lease must
// expire, before another is raised.
package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/api"
	"github.com/masticmount/masticmount/pkg/peerpb"
)

const (
	// Lease is the time for which a node may use its shares after it sent a report.
	Lease = 10 * time.Second
	// BaseLease is the time for which a node may use the base parts of its shares
	// after it sent its last report.
	BaseLease = 24 * time.Hour
	// MaxRequestDuration is the maximum time that a request runs after a node's lease
	// expired; until then the node's concurrency share counts as held.
	MaxRequestDuration = 10 * time.Minute

	// clockGrace is the time that the table waits beyond a lease. It covers a step of
	// the leader's time at a change of leader and the drift of the node's clock.
	clockGrace = 10 * time.Second
	// basePercent is the percentage of a limit that is divided as base parts.
	basePercent = 50
	// milli is the number of rate units in one request per second.
	milli = 1000
)

// Table holds the shares of every node.
type Table struct {
	holders map[string]*holder
	// epoch and versions count the changes of the holders and of the shares of each
	// client account. Dividing a limit again yields the same shares unless one of them
	// changed, so a report without changes costs no division.
	epoch       uint64
	versions    map[string]uint64
	testOptions testOptions
}

// testOptions disables single safeguards, for tests that check that the violation is
// detected.
type testOptions struct {
	trustUnacknowledged bool
	ignoreInFlight      bool
	noClockGrace        bool
	divideAlways        bool
}

// holder is a node that holds shares.
type holder struct {
	id string
	// number is the number of the last grant.
	number uint64
	// renewedMS is the leader's time at the last report.
	renewedMS   int64
	incarnation uint64
	// current is false once the lease has expired and only the base parts are held.
	current bool
	shares  map[string]*accountShares
}

// accountShares are a node's shares of one client account's limits.
type accountShares struct {
	rate         limitShare
	concurrency  limitShare
	lastDivision divisionInputs
}

// divisionInputs identifies the inputs of a division.
type divisionInputs struct {
	epoch, version uint64
	limit          api.LimitSpec
}

// limitShare is a node's share of one limit. base <= granted and baseHeld <= held.
type limitShare struct {
	granted, held  int64
	base, baseHeld int64
	demand         int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{holders: map[string]*holder{}, versions: map[string]uint64{}, epoch: 1}
}

// Apply applies a node's report at the leader's time and returns the node's shares
// of limits, which are keyed by client account.
func (t *Table) Apply(nowMS int64, limits map[string]api.LimitSpec, report *peerpb.ShareReport) *peerpb.ShareGrants {
	t.expire(nowMS)
	h := t.holders[report.GetNodeId()]
	if h != nil && report.GetIncarnation() < h.incarnation {
		return &peerpb.ShareGrants{}
	}
	if report.GetRelease() {
		delete(t.holders, report.GetNodeId())
		t.epoch++
		return &peerpb.ShareGrants{}
	}
	if h == nil || report.GetIncarnation() > h.incarnation {
		h = &holder{id: report.GetNodeId(), incarnation: report.GetIncarnation(), shares: map[string]*accountShares{}}
		t.holders[h.id] = h
		t.epoch++
	}
	return t.renew(nowMS, h, limits, report)
}

func (t *Table) renew(nowMS int64, h *holder, limits map[string]api.LimitSpec, report *peerpb.ShareReport) *peerpb.ShareGrants {
	upToDate := h.current && report.GetAcknowledged() == h.number
	if !h.current {
		t.epoch++
	}
	h.renewedMS, h.current = nowMS, true
	demands := map[string]*peerpb.ShareDemand{}
	for _, d := range report.GetDemands() {
		demands[d.GetAccount()] = d
	}
	if upToDate || t.testOptions.trustUnacknowledged {
		t.acknowledge(h, demands)
	}
	h.number++
	grants := &peerpb.ShareGrants{
		Number: h.number, Full: !upToDate, LeaseMs: Lease.Milliseconds(), BaseLeaseMs: BaseLease.Milliseconds(),
	}
	maps.DeleteFunc(h.shares, func(account string, _ *accountShares) bool {
		_, limited := limits[account]
		if !limited {
			t.versions[account]++
		}
		return !limited
	})
	for _, account := range slices.Sorted(maps.Keys(limits)) {
		if grant, changed := t.recompute(h, account, limits[account], demands[account]); changed || grants.Full {
			grants.Grants = append(grants.Grants, grant)
		}
	}
	return grants
}

// acknowledge reclaims what the node held beyond its last grant, except for the
// concurrency of requests still in flight.
func (t *Table) acknowledge(h *holder, demands map[string]*peerpb.ShareDemand) {
	for account, s := range h.shares {
		before := *s
		s.rate.held, s.rate.baseHeld = s.rate.granted, s.rate.base
		s.concurrency.held, s.concurrency.baseHeld = s.concurrency.granted, s.concurrency.base
		if d := demands[account]; d != nil && !t.testOptions.ignoreInFlight {
			s.concurrency.held = max(s.concurrency.held, d.GetInFlight())
		}
		t.updateVersion(account, &before, s)
	}
}

// updateVersion increments the version of a client account if its shares changed.
func (t *Table) updateVersion(account string, before, after *accountShares) {
	if before.rate != after.rate || before.concurrency != after.concurrency {
		t.versions[account]++
	}
}

// recompute recomputes the node's shares of one client account.
func (t *Table) recompute(h *holder, account string, limit api.LimitSpec, d *peerpb.ShareDemand) (grant *peerpb.ShareGrant, changed bool) {
	s := h.shares[account]
	if s == nil {
		s = &accountShares{}
		h.shares[account] = s
		changed = true
	}
	if d != nil && (s.rate.demand != d.GetRateMilli() || s.concurrency.demand != d.GetConcurrency()) {
		s.rate.demand, s.concurrency.demand = d.GetRateMilli(), d.GetConcurrency()
		t.versions[account]++
	}
	before := *s
	if inputs := (divisionInputs{t.epoch, t.versions[account], limit}); s.lastDivision != inputs || t.testOptions.divideAlways {
		t.divide(h, account, RateMilli(limit), func(s *accountShares) *limitShare { return &s.rate })
		t.divide(h, account, int64(limit.Concurrency), func(s *accountShares) *limitShare { return &s.concurrency })
		t.updateVersion(account, &before, s)
		s.lastDivision = divisionInputs{t.epoch, t.versions[account], limit}
	}
	changed = changed || before.rate.granted != s.rate.granted || before.rate.base != s.rate.base ||
		before.concurrency.granted != s.concurrency.granted || before.concurrency.base != s.concurrency.base
	return &peerpb.ShareGrant{
		Account: account, RateMilli: s.rate.granted, BaseRateMilli: s.rate.base,
		Concurrency: s.concurrency.granted, BaseConcurrency: s.concurrency.base,
	}, changed
}

// divide recomputes the holder's share of one limit.
func (t *Table) divide(h *holder, account string, limit int64, shareOf func(*accountShares) *limitShare) {
	baseLimit := limit * basePercent / 100
	basePart := baseLimit / int64(len(t.holders))
	var held, baseHeld, heldByExpired int64
	demands := make([]demand, 0, len(t.holders))
	for id, other := range t.holders {
		s := other.shares[account]
		if s == nil {
			s = &accountShares{}
		}
		part := shareOf(s)
		held += part.held
		baseHeld += part.baseHeld
		if other.current {
			demands = append(demands, demand{max(part.demand, basePart), id})
		} else {
			heldByExpired += part.held
		}
	}
	own := shareOf(h.shares[account])
	target := fairShare(max(limit-heldByExpired, 0), demands, h.id)
	own.granted = limitRaise(target, own.held, limit-held)
	own.base = min(limitRaise(basePart, own.baseHeld, baseLimit-baseHeld), own.granted)
	own.held = max(own.held, own.granted)
	own.baseHeld = max(own.baseHeld, own.base)
}

// limitRaise returns target, limited to held plus free if it is above held.
func limitRaise(target, held, free int64) int64 {
	if target <= held {
		return target
	}
	return held + min(target-held, max(free, 0))
}

// demand is the demand of one node on a limit.
type demand struct {
	amount int64
	node   string
}

// fairShare divides total among demands by max-min fairness, spreads the surplus
// evenly and returns a node's part. The remainder of the division goes, one unit
// each, to the last nodes by demand and name, so that the parts sum to total.
func fairShare(total int64, demands []demand, node string) int64 {
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.amount, b.amount), cmp.Compare(a.node, b.node))
	})
	rank := slices.IndexFunc(demands, func(d demand) bool { return d.node == node })
	remaining, n := total, len(demands)
	for i, d := range demands {
		if d.amount > remaining/int64(n-i) {
			if rank < i {
				return demands[rank].amount
			}
			return evenPart(remaining, n-i, rank-i)
		}
		remaining -= d.amount
	}
	return demands[rank].amount + evenPart(remaining, n, rank)
}

// evenPart divides total evenly among n nodes and returns the part of the node with
// the given rank. The remainder goes, one unit each, to the highest ranks.
func evenPart(total int64, n, rank int) int64 {
	part, remainder := total/int64(n), total%int64(n)
	if int64(n-rank) <= remainder {
		part++
	}
	return part
}

// expire reclaims shares of nodes whose lease has expired.
func (t *Table) expire(nowMS int64) {
	for id, h := range t.holders {
		elapsed := time.Duration(nowMS-h.renewedMS)*time.Millisecond - t.grace()
		if elapsed > BaseLease {
			delete(t.holders, id)
			t.epoch++
			continue
		}
		if elapsed > Lease && h.current {
			h.current = false
			t.epoch++
		}
		if elapsed > Lease {
			t.fallBackToBase(h, func(s *accountShares) *limitShare { return &s.rate })
		}
		if elapsed > Lease+MaxRequestDuration {
			t.fallBackToBase(h, func(s *accountShares) *limitShare { return &s.concurrency })
		}
	}
}

func (t *Table) grace() time.Duration {
	if t.testOptions.noClockGrace {
		return -clockGrace
	}
	return clockGrace
}

// fallBackToBase reduces the holder's shares of one kind of limit to the base parts.
func (t *Table) fallBackToBase(h *holder, shareOf func(*accountShares) *limitShare) {
	for account, s := range h.shares {
		before := *s
		part := shareOf(s)
		part.held, part.granted, part.demand = part.baseHeld, part.baseHeld, 0
		t.updateVersion(account, &before, s)
	}
}

// RateMilli returns a limit's rate in thousandths of a request per second.
func RateMilli(limit api.LimitSpec) int64 {
	return int64(math.Floor(limit.RequestsPerSecond * milli))
}

// Held returns how much of a client account's limits may be in use, summed over all
// nodes.
func (t *Table) Held(account string) (rateMilli, concurrency int64) {
	for _, h := range t.holders {
		if s := h.shares[account]; s != nil {
			rateMilli += s.rate.held
			concurrency += s.concurrency.held
		}
	}
	return rateMilli, concurrency
}

// Snapshot encodes the table for a snapshot.
func (t *Table) Snapshot() []*peerpb.ShareHolder {
	out := make([]*peerpb.ShareHolder, 0, len(t.holders))
	for _, h := range t.holders {
		record := &peerpb.ShareHolder{
			NodeId: h.id, Number: h.number, RenewedMs: h.renewedMS, Incarnation: h.incarnation, Current: h.current,
		}
		for _, account := range slices.Sorted(maps.Keys(h.shares)) {
			s := h.shares[account]
			record.Shares = append(record.Shares, &peerpb.ShareRecord{
				Account: account, Rate: s.rate.encode(), Concurrency: s.concurrency.encode(),
			})
		}
		out = append(out, record)
	}
	slices.SortFunc(out, func(a, b *peerpb.ShareHolder) int { return cmp.Compare(a.GetNodeId(), b.GetNodeId()) })
	return out
}

// Restore fills an empty table from a snapshot.
func (t *Table) Restore(records []*peerpb.ShareHolder) {
	for _, r := range records {
		h := &holder{
			id: r.GetNodeId(), number: r.GetNumber(), renewedMS: r.GetRenewedMs(), incarnation: r.GetIncarnation(),
			current: r.GetCurrent(), shares: map[string]*accountShares{},
		}
		for _, s := range r.GetShares() {
			h.shares[s.GetAccount()] = &accountShares{rate: decode(s.GetRate()), concurrency: decode(s.GetConcurrency())}
		}
		t.holders[h.id] = h
	}
}

func (s limitShare) encode() *peerpb.ShareParts {
	return &peerpb.ShareParts{Granted: s.granted, Held: s.held, Base: s.base, BaseHeld: s.baseHeld, Demand: s.demand}
}

func decode(parts *peerpb.ShareParts) limitShare {
	return limitShare{
		granted: parts.GetGranted(), held: parts.GetHeld(), base: parts.GetBase(), baseHeld: parts.GetBaseHeld(), demand: parts.GetDemand(),
	}
}
