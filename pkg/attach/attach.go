// Package attach is an entry's side of the fleet: it stays attached to a few
// keepers and keeps one picture of the configuration and the targets.
package attach

import (
	"context"
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
)

const (
	// maxLinks is the number of keepers that an entry is attached to: one may be lost
	// and one cut off.
	maxLinks = 3
	// lookInterval is the time between two looks at which keepers to attach to.
	lookInterval = 500 * time.Millisecond
	// updatesSize bounds the updates that wait; a link that cannot queue one is ended,
	// and begins anew with everything.
	updatesSize = 256
)

// Options configure an Attachment.
type Options struct {
	NodeID, FailureDomain string
	// Seeds returns the peer addresses that the settings name at this moment.
	Seeds  func() []string
	Dialer *peers.Dialer
	// Decode turns a document's content into its meaning.
	Decode document.Decoder
	Log    zerolog.Logger
}

// Reporter fills in what an entry tells a keeper, besides the configuration's
// version. Only the report to the primary one carries the demand.
type Reporter func(now time.Time, primary bool, r *peerpb.EntryReport)

// Attachment keeps an entry attached.
type Attachment struct {
	opts    Options
	onView  func(*View)
	report  Reporter
	updates *ring.Ring[update]
	view    atomic.Pointer[View]
	fresh   freshness
	wake    chan struct{}

	mu      sync.Mutex
	keepers []string
	links   map[string]*link
	// primary is the link that carries loads and demand.
	primary string

	sources map[string]*source
	loads   map[string]int
	loadsAt time.Time
	doc     *document.Document
}

// update is a message of one keeper, or its loss.
type update struct {
	keeper string
	lost   bool
	fleet  *peerpb.FleetUpdate
	at     time.Time
}

// New returns an attachment that is not running yet.
func New(opts Options) *Attachment {
	a := &Attachment{
		opts: opts, updates: ring.New[update](updatesSize, ring.Refuse), links: map[string]*link{},
		sources: map[string]*source{}, loads: map[string]int{}, wake: make(chan struct{}, 1),
	}
	a.view.Store(&View{})
	return a
}

// Connect names who is told of each new view, without blocking, and who fills in
// reports. Call it before Run.
func (a *Attachment) Connect(onView func(*View), report Reporter) {
	a.onView, a.report = onView, report
}

// View returns the latest picture; it is never nil.
func (a *Attachment) View() *View { return a.view.Load() }

// Run serves until ctx ends.
func (a *Attachment) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { a.keepLinks(ctx, &duties) })
	a.takeUpdates(ctx)
	duties.Wait()
}

// keepLinks is the duty that attaches to keepers.
func (a *Attachment) keepLinks(ctx context.Context, duties *sync.WaitGroup) {
	look := time.NewTicker(lookInterval)
	defer look.Stop()
	for {
		for _, address := range a.missing() {
			l := &link{a: a, address: address}
			a.mu.Lock()
			a.links[address] = l
			a.mu.Unlock()
			duties.Go(func() {
				l.run(ctx)
				a.unlink(l)
			})
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}

// missing returns the keepers to attach to. Each entry goes through them in another
// order, so that the entries spread.
func (a *Attachment) missing() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := lo.Uniq(append(slices.Clone(a.keepers), a.opts.Seeds()...))
	slices.SortFunc(known, func(x, y string) int { return order(a.opts.NodeID, x, y) })
	var missing []string
	for _, address := range known {
		if len(a.links)+len(missing) >= maxLinks {
			break
		}
		if a.links[address] == nil {
			missing = append(missing, address)
		}
	}
	return missing
}

func (a *Attachment) unlink(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.links, l.address)
	if a.primary == l.address {
		a.primary = ""
	}
}

// isPrimary reports whether a link carries loads, demand and documents. A keeper of
// the entry's own failure domain goes first.
func (a *Attachment) isPrimary(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.primary == address
}

// choosePrimary takes in that a keeper of a failure domain sent an update.
func (a *Attachment) choosePrimary(address, failureDomain string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.primary == "" || failureDomain == a.opts.FailureDomain {
		a.primary = address
	}
}

// takeUpdates is the duty that keeps the picture.
func (a *Attachment) takeUpdates(ctx context.Context) {
	for {
		u, ok := a.updates.Pop(ctx)
		if !ok {
			return
		}
		changed := a.take(u)
		for more := true; more; {
			select {
			case u := <-a.updates.Chan():
				changed = a.take(u) || changed
			default:
				more = false
			}
		}
		if changed {
			a.publish()
		}
	}
}

// take applies one update and reports whether the picture changed.
func (a *Attachment) take(u update) bool {
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
	a.choosePrimary(u.keeper, f.GetFailureDomain())
	s.apply(f, u.at)
	changed := f.GetFull() || len(f.GetUpstreams())+len(f.GetForgotten()) > 0
	if len(f.GetKeepers()) > 0 {
		a.mu.Lock()
		a.keepers = lo.Map(f.GetKeepers(), func(k *peerpb.KeeperAddress, _ int) string { return k.GetAddress() })
		a.mu.Unlock()
	}
	if a.isPrimary(u.keeper) {
		a.takeLoads(f, u.at)
		changed = true
	}
	changed = a.takeDocument(u.keeper, f) || changed
	// Only now is what the keeper confirmed in force here.
	if f.GetDocumentVersion() <= a.doc.VersionOrZero() {
		a.fresh.confirm(f.GetConfirmedToken())
	}
	return changed
}

func (a *Attachment) takeLoads(f *peerpb.FleetUpdate, now time.Time) {
	a.loads, a.loadsAt = map[string]int{}, now
	for _, g := range f.GetLoads() {
		a.loads[g.GetGroup()] = int(g.GetOutstanding())
	}
}

func (a *Attachment) takeDocument(keeper string, f *peerpb.FleetUpdate) bool {
	if len(f.GetDocument()) == 0 || f.GetDocumentVersion() <= a.doc.VersionOrZero() {
		return false
	}
	doc, err := a.opts.Decode.Packed(f.GetDocument())
	if err != nil {
		a.opts.Log.Error().Err(err).Str("keeper", keeper).Msg("document_not_decoded")
		return false
	}
	a.doc = doc
	a.opts.Log.Info().Uint64("version", doc.Version).Str("keeper", keeper).Int("routes", len(doc.Routes)).Msg("document_in_force")
	return true
}

func (a *Attachment) publish() {
	v := &View{Document: a.doc, Targets: targetsOf(a.doc, merge(a.sources)), Loads: a.loads, LoadsAt: a.loadsAt}
	a.view.Store(v)
	a.onView(v)
}

// Age returns for how long no quorum has confirmed the configuration in force.
func (a *Attachment) Age() time.Duration { return a.fresh.age(boottime.Now()) }
