package grouping

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/masticmount/masticmount/pkg/document"
	"github.com/masticmount/masticmount/pkg/fleet"
)

type phase int

const (
	// forming groups wait until every member is ready.
	forming phase = iota
	// opening groups wait until the head serves.
	opening
	// open groups serve.
	open
	// draining groups finish their work before they close.
	draining
	// closing groups wait until the head serves no more.
	closing
	// leaving groups have lost their head; the other members leave, so that it
	// breaks if it still runs.
	leaving
)

// group is one group as the steward ordered or adopted it.
type group struct {
	name    string
	epoch   uint64
	service string
	model   *document.Model
	place   place
	members []run
	phase   phase
	// since is when the phase began.
	since time.Time
	// sentAt is when the last order of the phase went to a member.
	sentAt map[string]time.Time
	// rejected is true when a member refused its join or its opening.
	rejected bool
	// openUnanswered is true when an order to open may still be carried out.
	openUnanswered bool
	suspectedAt    time.Time
	probedAt       time.Time
	// wasReady are members that reported ready under this epoch.
	wasReady map[string]bool
	// freed are members that left a group whose head is lost, and may be used again.
	freed map[string]bool
	// staged is true when every member had the weights on its VM.
	staged bool
}

// place is a fabric domain of a service.
type place struct{ service, failureDomain, fabricDomain string }

// nameSeparator divides the parts of a group's name: model, size and number. The
// name tells a later steward what it needs to adopt the group.
const nameSeparator = "."

func groupName(model string, size int, epoch uint64) string {
	return fmt.Sprintf("%s%s%d%s%s", model, nameSeparator, size, nameSeparator, strconv.FormatUint(epoch, 36))
}

// parseName returns the model and the size in a group's name.
func parseName(name string) (model string, size int, ok bool) {
	head, _, ok := cutLast(name)
	if !ok {
		return "", 0, false
	}
	model, sizeText, ok := cutLast(head)
	if !ok {
		return "", 0, false
	}
	size, err := strconv.Atoi(sizeText)
	return model, size, err == nil && size > 0
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndex(s, nameSeparator)
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// GroupModel returns the model of a group by its name; false when the name is not
// one of a steward's.
func GroupModel(name string) (model string, size int, ok bool) { return parseName(name) }

func (g *group) memberIDs() []string {
	return lo.Map(g.members, func(r run, _ int) string { return r.id })
}

func (g *group) enter(now time.Time, next phase) {
	g.phase, g.since, g.sentAt = next, now, map[string]time.Time{}
}

// due reports whether an order to a member may be sent (again).
func (g *group) due(now time.Time, id string) bool {
	at, sent := g.sentAt[id]
	return !sent || now.Sub(at) >= resendAfter
}

// done takes in the outcome of one of the group's orders.
func (g *group) done(_ time.Time, result Result) {
	switch {
	case result.Outcome == Rejected && (result.Order.Kind == Join || result.Order.Kind == Open):
		g.rejected = true
	case result.Outcome == Unanswered && result.Order.Kind == Open:
		g.openUnanswered = true
	}
}

// order returns an order of the group to a member, unless one is under way.
func (p *Planner) order(now time.Time, g *group, r run, kind OrderKind) []Order {
	u, known := p.upstreams[r.id]
	if _, busy := p.busy[r.id]; busy || !known || !g.due(now, r.id) {
		return nil
	}
	g.sentAt[r.id] = now
	o := Order{Kind: kind, Upstream: r.id, Born: r.born, Address: u.Address, Group: g.name, Epoch: g.epoch}
	if kind == Join {
		o.Model, o.Members = g.model.Name, g.memberIDs()
		if v := p.verified[r]; v.counted {
			o.Expected, o.HasExpected = v.orders, true
		}
	}
	return []Order{o}
}

// holds reports whether an engine reports membership of the group in a state.
func (g *group) holds(u fleet.Upstream, states ...fleet.GroupState) bool {
	return u.Group.Group == g.name && u.Group.Epoch == g.epoch && lo.Contains(states, u.Group.State)
}

// member returns what is known of a member's run; false when that run has ended.
func (p *Planner) member(r run) (fleet.Upstream, bool) {
	u, known := p.upstreams[r.id]
	return u, known && u.Born == r.born
}

// ended reports whether a run is certainly over, as its engine started again. A
// refused connection does not tell: a cut may refuse in the engine's place.
func (p *Planner) ended(r run) bool {
	u, known := p.upstreams[r.id]
	return known && u.Born != r.born
}

// endedReason tells why a member's part in its group has certainly ended; empty when
// it has not.
func (p *Planner) endedReason(g *group, r run) string {
	u, current := p.member(r)
	switch {
	case !current || p.ended(r):
		return "member ended"
	case u.Gone:
		return "member deregistered"
	case g.wasReady[r.id] && !u.HeardAt.Before(g.since) && (u.Group.Group != g.name || u.Group.Epoch != g.epoch):
		return "member left"
	default:
		return ""
	}
}

// reachable reports whether a member is heard of and answers.
func (p *Planner) reachable(r run) bool {
	u, current := p.member(r)
	_, dead := p.dead[r]
	return current && !dead && !p.silent(u)
}

// silentAlone is the time, in announcement intervals, for which others of its failure
// domain were heard of without a gap after an engine that fell silent alone. In a
// cut all of them are heard of last within one interval, and after it first.
const silentAlone = 1.3

// silent reports whether an engine, and not its failure domain, fell silent.
func (p *Planner) silent(u fleet.Upstream) bool {
	alone := time.Duration(silentAlone * float64(p.opts.Interval))
	since := maxTime(u.HeardAt, p.heardSince[u.FailureDomain])
	return u.Silent && p.heardAt[u.FailureDomain].Sub(since) > alone
}

// answersEntries reports whether a group answered an entry of late, and after any
// entry found it silent: then each of its members works, also one that this node does
// not reach.
func (p *Planner) answersEntries(now time.Time, g *group) bool {
	at := p.aliveAt[g.members[0].id]
	return now.Sub(at) <= aliveFor && at.After(g.suspectedAt)
}

// lostReason tells why a group cannot go on as it is. Where no member at all can be
// reached it is this node that is cut off: the group may well serve, and nothing could
// be done for it.
func (p *Planner) lostReason(now time.Time, g *group) string {
	reached := 0
	for _, r := range g.members {
		if reason := p.endedReason(g, r); reason != "" {
			return reason
		}
		if p.reachable(r) {
			reached++
		}
	}
	if reached == len(g.members) || reached == 0 || p.answersEntries(now, g) {
		return ""
	}
	return "member does not answer"
}
