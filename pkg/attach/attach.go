// Package attach implements the fleet client of an entry: it maintains streams to a few
// keepers and merges their updates into one view of the configuration and the targets.
package attach

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/boottime"
	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/peers"
	"github.com/masticmount/masticmount/pkg/ring"
	"github.com/masticmount/masticmount/pkg/telemetry"
)

const (
	// linkCheckInterval is the time between two checks of which keepers to attach to.
	linkCheckInterval = 500 * time.Millisecond
	// updateQueueSize bounds the updates that wait. A link that can't queue one is closed, and
	// the next one starts with a full update.
	updateQueueSize = 256
)

// Options configure an Attachment.
type Options struct {
	NodeID, FailureDomain string
	// Seeds returns the peer addresses in the current settings.
	Seeds  func() []string
	Dialer *peers.Dialer
	// Decode decodes the content of a document.
	Decode document.Decoder
	// MaxChangeAge is the age from which the configuration may lack a change that operators rely on; 0 means never.
	MaxChangeAge time.Duration
	Metrics      *telemetry.Registry
	Log          zerolog.Logger
}

// Reporter fills in an entry's report to a keeper, except for the version of the
// configuration. Only reports over the primary link carry loads and demand. The reporter updates
// what the link has carried.
type Reporter func(now time.Time, primary bool, sent *Sent, r *peerpb.EntryReport)

// Sent is what a link has carried: versions of the crash evidence and of the statements of upstreams, and the tunnel peer.
type Sent struct {
	Evidence, Statements uint64
	Tunnel               *peerpb.TunnelPeer
}

// Handlers are the functions that an attachment calls. None of them may block.
type Handlers struct {
	// View gets each new view.
	View func(*View)
	// Evidence gets the crash evidence of other nodes, Statements what upstreams stated to them.
	Evidence   func(time.Time, *peerpb.CrashEvidence)
	Statements func(time.Time, *peerpb.Statements)
	// Granted gets the upstreams with stated limits to which the entry may send one more request each.
	Granted func(time.Time, []*peerpb.UpstreamIncarnation)
	// Tunnels gets all other entries that open connections to upstreams for this one; it may be nil.
	Tunnels func([]*peerpb.TunnelPeer)
	// Report fills in reports.
	Report Reporter
}

// Attachment keeps an entry attached to keepers.
type Attachment struct {
	opts      Options
	handlers  Handlers
	updates   *ring.Ring[update]
	view      atomic.Pointer[View]
	freshness freshness
	// newest is the highest document version that a keeper has reported.
	newest atomic.Uint64
	// unconfirmedSince is the time at which the configuration became older than MaxChangeAge; zero while it is not. Only
	// maintainLinks uses it.
	unconfirmedSince time.Time

	mu      sync.Mutex
	keepers []keeperAddress
	links   map[string]*link
	// failedAt is the time at which a link to each keeper last failed.
	failedAt map[string]time.Time
	// primary is the address of the keeper whose link carries loads and demand, and
	// primaryIsLocal is true when that keeper is in the entry's failure domain.
	primary        string
	primaryIsLocal bool

	sources map[string]*source
	// tunnels are the entries that each keeper last named.
	tunnels map[string][]*peerpb.TunnelPeer
	loads   map[string]int
	loadsAt time.Time
	entries int
	retries []*peerpb.RepeatCount
	doc     *document.Document
}

// update is a message from one keeper, or the loss of the link to it.
type update struct {
	keeper string
	lost   bool
	fleet  *peerpb.FleetUpdate
	at     time.Time
}

// New returns an attachment that is not running yet.
func New(opts Options) *Attachment {
	if opts.Metrics == nil {
		opts.Metrics = telemetry.New("")
	}
	a := &Attachment{
		opts: opts, updates: ring.New[update](updateQueueSize, ring.RejectNew), links: map[string]*link{}, failedAt: map[string]time.Time{},
		sources: map[string]*source{}, tunnels: map[string][]*peerpb.TunnelPeer{}, loads: map[string]int{},
	}
	a.view.Store(&View{})
	return a
}

// SetHandlers sets the functions that are called. It must be called before Run.
func (a *Attachment) SetHandlers(h Handlers) { a.handlers = h }

// ReportNow has each link send a report before the next one is due.
func (a *Attachment) ReportNow() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, l := range a.links {
		select {
		case l.urgent <- struct{}{}:
		default:
		}
	}
}

// View returns the latest view; it is never nil.
func (a *Attachment) View() *View { return a.view.Load() }

// Run serves until ctx ends.
func (a *Attachment) Run(ctx context.Context) {
	var workers sync.WaitGroup
	workers.Go(func() { a.maintainLinks(ctx, &workers) })
	a.applyUpdates(ctx)
	workers.Wait()
}

// maintainLinks opens missing links and closes surplus ones until ctx ends.
func (a *Attachment) maintainLinks(ctx context.Context, workers *sync.WaitGroup) {
	tick := time.NewTicker(linkCheckInterval)
	defer tick.Stop()
	for {
		for _, address := range a.missingLinks(boottime.Now()) {
			linkCtx, stop := context.WithCancel(ctx)
			l := &link{attachment: a, address: address, attachedAt: boottime.Now(), stop: stop, urgent: make(chan struct{}, 1)}
			a.mu.Lock()
			a.links[address] = l
			a.mu.Unlock()
			workers.Go(func() {
				l.run(ctx, linkCtx)
				a.removeLink(l)
			})
		}
		a.closeSurplusLinks(boottime.Now())
		a.logConfirmation(boottime.Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// rankedKeepers returns the addresses of the known keepers, the best first. The caller
// holds the lock.
func (a *Attachment) rankedKeepers(now time.Time) []string {
	known := slices.Clone(a.keepers)
	for _, seed := range a.opts.Seeds() {
		if !slices.ContainsFunc(known, func(k keeperAddress) bool { return k.address == seed }) {
			known = append(known, keeperAddress{address: seed})
		}
	}
	return rankKeepers(a.opts.NodeID, a.opts.FailureDomain, known, a.failedAt, now)
}

// missingLinks returns the keepers to open a link to: those of the best maxLinks that have none and, while no link
// confirms the configuration, the best other one without a link. Beyond maxLinks it waits for links that have just begun:
// their keepers rank behind others only since an earlier link failed.
func (a *Attachment) missingLinks(now time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	preferred := a.rankedKeepers(now)
	withoutLink := func(address string, _ int) bool { return a.links[address] == nil }
	missing := lo.Filter(preferred[:min(maxLinks, len(preferred))], withoutLink)
	if len(a.links) >= maxLinks && lo.SomeBy(lo.Values(a.links), func(l *link) bool { return l.begins(now) }) {
		return nil
	}
	if len(missing) > 0 || len(a.links) >= maxUnconfirmedLinks || !a.unconfirmed(now) {
		return missing
	}
	further := lo.Filter(preferred, withoutLink)
	return further[:min(1, len(further))]
}

// unconfirmed reports whether no link has confirmed the configuration within unconfirmedTimeout although one had that long,
// and none is likely to soon.
// The caller holds the lock.
func (a *Attachment) unconfirmed(now time.Time) bool {
	links := lo.Values(a.links)
	return lo.NoneBy(links, func(l *link) bool { return l.confirms(now) || l.mayConfirm(now) }) &&
		lo.SomeBy(links, func(l *link) bool { return now.Sub(l.attachedAt) >= unconfirmedTimeout })
}

// closeSurplusLinks closes the links to other keepers than the best maxLinks once those
// are all attached and one of them confirms the configuration.
func (a *Attachment) closeSurplusLinks(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	preferred := a.rankedKeepers(now)
	best := preferred[:min(maxLinks, len(preferred))]
	attached := lo.EveryBy(best, func(address string) bool { l := a.links[address]; return l != nil && l.attached.Load() })
	if !attached || !lo.SomeBy(best, func(address string) bool { return a.links[address].confirms(now) }) {
		return
	}
	for address, l := range a.links {
		if !slices.Contains(best, address) {
			a.opts.Log.Info().Str("keeper", address).Strs("attached", best).Msg("keeper_left")
			l.stop()
		}
	}
}

func (a *Attachment) removeLink(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l.stop()
	delete(a.links, l.address)
	if a.primary == l.address {
		a.primary, a.primaryIsLocal = "", false
	}
}

// recordFailure records that a link to a keeper broke.
func (a *Attachment) recordFailure(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= failureBackoff })
	a.failedAt[address] = now
}

// recordAttached forgets an earlier failure of a keeper that serves again, so that its link isn't given up for others and
// opened again later.
func (a *Attachment) recordAttached(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.failedAt, address)
}

// isPrimary reports whether the link to a keeper is the one that carries loads, demand and
// documents.
func (a *Attachment) isPrimary(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.primary == address
}

// choosePrimary is called when a keeper sent an update. It makes that keeper the primary
// one if there is none, or if only the new one is in the entry's failure domain. It changes
// it for no other reason, as loads are summed at the keeper that gets the reports.
func (a *Attachment) choosePrimary(address, failureDomain string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	local := failureDomain == a.opts.FailureDomain
	if a.primary == "" || local && !a.primaryIsLocal {
		a.primary, a.primaryIsLocal = address, local
	}
}

// applyUpdates applies queued updates and publishes views until ctx ends.
func (a *Attachment) applyUpdates(ctx context.Context) {
	for {
		u, ok := a.updates.Pop(ctx)
		if !ok {
			return
		}
		changed := a.apply(u)
		for queued := true; queued; {
			select {
			case u := <-a.updates.Chan():
				changed = a.apply(u) || changed
			default:
				queued = false
			}
		}
		if changed {
			a.publish()
		}
	}
}

// apply applies one update and reports whether the view changed.
func (a *Attachment) apply(u update) bool {
	s := a.sources[u.keeper]
	if s == nil {
		s = &source{}
		a.sources[u.keeper] = s
	}
	if u.lost {
		s.attached = false
		return true
	}
	f := u.fleet
	s.attached = true
	// Evidence and statements must be known before a first document lets this entry serve.
	if f.GetCrashEvidence() != nil {
		a.handlers.Evidence(u.at, f.GetCrashEvidence())
	}
	if f.GetStatements() != nil {
		a.handlers.Statements(u.at, f.GetStatements())
	}
	if len(f.GetGranted()) > 0 {
		a.handlers.Granted(u.at, f.GetGranted())
	}
	a.choosePrimary(u.keeper, f.GetFailureDomain())
	s.apply(f, u.at)
	a.applyTunnels(u.keeper, f.GetTunnels())
	changed := f.GetFull() || len(f.GetUpstreams())+len(f.GetForgotten()) > 0
	if len(f.GetKeepers()) > 0 {
		a.mu.Lock()
		a.keepers = lo.Map(f.GetKeepers(), func(k *peerpb.KeeperAddress, _ int) keeperAddress {
			return keeperAddress{k.GetAddress(), k.GetFailureDomain()}
		})
		a.mu.Unlock()
	}
	if a.isPrimary(u.keeper) {
		a.applyLoads(f, u.at)
		changed = true
	}
	a.newest.Store(max(a.newest.Load(), f.GetDocumentVersion()))
	changed = a.applyDocument(u.keeper, f) || changed
	// The confirmation counts only once the confirmed document is in force here.
	if f.GetDocumentVersion() <= a.doc.VersionOrZero() {
		a.freshness.confirm(f.GetConfirmedToken())
	}
	return changed
}

// applyTunnels passes on the entries that any keeper has named; nil means that those of the keeper have not changed.
// Entries of a lost keeper are kept: they are as likely to be there as before.
func (a *Attachment) applyTunnels(keeper string, peers *peerpb.TunnelPeers) {
	if peers == nil || a.handlers.Tunnels == nil {
		return
	}
	a.tunnels[keeper] = peers.GetPeers()
	byNode := map[string]*peerpb.TunnelPeer{}
	for _, named := range a.tunnels {
		for _, p := range named {
			byNode[p.GetNodeId()] = p
		}
	}
	// The keeper that has just sent its list knows best.
	for _, p := range peers.GetPeers() {
		byNode[p.GetNodeId()] = p
	}
	all := make([]*peerpb.TunnelPeer, 0, len(byNode))
	for _, id := range slices.Sorted(maps.Keys(byNode)) {
		all = append(all, byNode[id])
	}
	a.handlers.Tunnels(all)
}

func (a *Attachment) applyLoads(f *peerpb.FleetUpdate, now time.Time) {
	a.loads, a.loadsAt = map[string]int{}, now
	a.entries, a.retries = int(f.GetEntries()), f.GetRepeats()
	for _, g := range f.GetLoads() {
		a.loads[g.GetGroup()] = int(g.GetOutstanding())
	}
}

func (a *Attachment) applyDocument(keeper string, f *peerpb.FleetUpdate) bool {
	if len(f.GetDocument()) == 0 || f.GetDocumentVersion() <= a.doc.VersionOrZero() {
		return false
	}
	doc, err := a.opts.Decode.DecodePacked(f.GetDocument())
	if err != nil {
		a.opts.Log.Error().Err(err).Str("keeper", keeper).Msg("document_not_decoded")
		return false
	}
	a.doc = doc
	// The document must be visible to requests before the confirmation in the same update
	// counts.
	v := *a.view.Load()
	v.Document = doc
	a.view.Store(&v)
	a.opts.Log.Info().Uint64("version", doc.Version).Str("keeper", keeper).Int("routes", len(doc.Routes)).Msg("document_in_force")
	return true
}

func (a *Attachment) publish() {
	upstreams := merge(a.sources)
	v := View{
		Document: a.doc, Targets: targetsOf(a.doc, upstreams), Loads: a.loads, LoadsAt: a.loadsAt,
		Entries: a.entries, Retries: a.retries,
	}.WithUpstreams(upstreams)
	a.view.Store(v)
	a.handlers.View(v)
}

// NewestVersion returns the highest document version that a keeper has reported, whether it is in force here or not.
func (a *Attachment) NewestVersion() uint64 { return a.newest.Load() }

// ConfigAge returns the time since a quorum last confirmed that the configuration in force is
// the newest.
func (a *Attachment) ConfigAge() time.Duration { return a.freshness.age(boottime.Now()) }
