package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/mechanism"
	"github.com/masticmount/masticmount/pkg/statement"
)

const (
	// engineQueueDepth is the number of requests beyond its slots that a group is sent: they
	// wait in its queue while an answer travels, so that no slot idles.
	engineQueueDepth = 2
	// plainQueueShare is the same for plain upstreams, as a share of their slots.
	plainQueueShare = 0.5
	// otherDomainPenalty is the score penalty of a target in another failure domain, as a
	// share of its slots: traffic between failure domains costs.
	otherDomainPenalty = 0.35
	// suspicionPenalty ranks targets with a suspected member behind all others.
	suspicionPenalty = 2.0
	// initialBackoff is how long a target that failed gets no work, unless it answers before.
	// Each further failure in a row doubles it up to maxBackoff.
	initialBackoff = time.Second
	maxBackoff     = 8 * time.Second
	// maxFailures bounds the count of failures in a row, so that the shift by it cannot
	// overflow. The backoff reaches maxBackoff before.
	maxFailures = 8
	// warmBonus favors a target that this entry sent a request to recently: a connection to it
	// is likely open. It is a share of the target's slots.
	warmBonus = 0.12
	// warmFor is how long connections are assumed to stay open.
	warmFor = 2 * time.Second
	// jitterShare is the random part of a score that breaks ties between targets, as a share
	// of a target's slots.
	jitterShare = 0.05
)

// Work is a request that needs a target.
type Work struct {
	ID             uint64
	Service, Model string
	// Priority orders waiting requests; lower goes first.
	Priority int
	// ArrivedAt is when the caller's request arrived, by the placer's clock.
	ArrivedAt time.Time
	// EndBy is when the caller's time ends.
	EndBy time.Time
	// FirstEventBy is when the caller of a stream leaves without a first event; zero where it sets no such bound.
	FirstEventBy time.Time
	// Begun is true once the caller has a part of the answer. No estimate refuses its rest.
	Begun bool
	// Excluded are the targets that the request was sent to before.
	Excluded []string
	// ServiceTime is the time for which the request occupies a slot, as far as its size tells; 0 where it does not.
	ServiceTime time.Duration
	// ReplacementTime is the time until another target is expected where there is none.
	ReplacementTime time.Duration
	// Isolated requests may crash their upstream. They are sent one at a time, to an upstream that
	// other requests avoid.
	Isolated bool
}

// Placement is the decision on a request that asked for a target.
type Placement struct {
	// Target is set when the request may be sent.
	Target *attach.Target
	// Waiting is true when the request was queued: a Grant follows, unless the wait ends
	// before.
	Waiting bool
	// WaitUntil is when the wait ends: the request could not be answered in the caller's time any more.
	WaitUntil time.Time
	// NextTarget is when the first target is expected to take the request, where none does now; otherwise zero.
	NextTarget time.Time
	// RetryAfter is when the caller should retry after a refusal.
	RetryAfter time.Duration
	// Reason is the reason of a refusal.
	Reason Reason
	// Limits are the stated limits behind a refusal for LimitsStated.
	Limits []StatedLimit
	// Estimate is what the wait or refusal was based on.
	Estimate *Estimate
}

// Reason says why a request got no target.
type Reason string

// The reasons of a refusal.
const (
	NoTarget Reason = "no-target"
	// NoTimeToWait means that the request is not expected to be answered in the caller's time, by the work queued before it.
	NoTimeToWait Reason = "no-time-to-wait"
	// WaitedInVain means that it waited, and no target took it in time.
	WaitedInVain Reason = "waited-in-vain"
	// LimitsStated means that the request would wait for too long as upstreams have stated limits.
	LimitsStated Reason = "limits-stated"
	// NoIsolation means that an isolated request would leave too few other upstreams.
	NoIsolation Reason = "no-isolation"
	// Paused means that all upstreams want no work for a time.
	Paused Reason = "upstreams-paused"
)

// Grant assigns a target to a waiting request. Without a target the request must be submitted again.
type Grant struct {
	ID     uint64
	Target *attach.Target
}

// targetState is the placer's state of one target.
type targetState struct {
	target attach.Target
	// ownRequests is the number of this entry's requests in flight there, otherRequests that
	// of the other entries as last reported.
	ownRequests, otherRequests int
	// backoffUntil is when a target that failed gets work again.
	backoffUntil time.Time
	answeredAt   time.Time
	// eventGap is the mean time between events of the target's streams, as of eventGapAt.
	eventGap   time.Duration
	eventGapAt time.Time
	// sentAt is when this entry last sent a request there.
	sentAt time.Time
	// consecutiveFailures counts how often the target failed in a row. Until the next answer
	// one request at a time is let through as a probe.
	consecutiveFailures int
	// crashed is true when this incarnation is known to have ended.
	crashed bool
	// answeredAfterCrash is true once it has answered although it was known to have ended.
	answeredAfterCrash bool
	// seenInView is the number of the latest view that contained the target.
	seenInView uint64
}

// Placer decides which target a request is sent to and which requests wait. It does no I/O,
// gets the time from its caller and is not safe for concurrent use.
type Placer struct {
	failureDomain string
	rand          *rand.Rand
	targets       map[string]*targetState
	// targetKeys has the key of each target in order, so that the same seed gives the same
	// choices.
	targetKeys []string
	queues     map[queueKey]*requestQueue
	isolations map[string]*isolation
	viewNumber uint64
	// loadsAt is the time of the latest report of the other entries' loads.
	loadsAt time.Time
	// entries is the number of entries that share the targets, as last reported.
	entries int
	// allowancesUpdatedAt is when the allowances were last updated.
	allowancesUpdatedAt time.Time
	// statements are what upstreams have stated in their answers. grants are the requests that
	// keepers let this entry send to those with limits, allotments those that it may send without
	// a keeper.
	statements *statement.Table
	grants     statement.Grants
	allotments *statement.Allotments
	// pauses are the times for which upstreams want no work of this entry.
	pauses *statement.Pauses
	// mechanisms selects the mechanisms that are enabled; the zero value enables all.
	mechanisms mechanism.Set
}

// NewPlacer returns the placer of an entry in a failure domain.
func NewPlacer(failureDomain string, random *rand.Rand) *Placer {
	return &Placer{
		failureDomain: failureDomain, rand: random, targets: map[string]*targetState{}, queues: map[queueKey]*requestQueue{},
		isolations: map[string]*isolation{},
		statements: statement.NewTable(), allotments: statement.NewAllotments(random), pauses: statement.NewPauses(random),
	}
}

// SetStatements sets the statements of upstreams that limit their requests. Call it before the
// first request.
func (p *Placer) SetStatements(t *statement.Table) { p.statements = t }

// Update applies a new view and returns the grants that it makes possible.
func (p *Placer) Update(now time.Time, v *attach.View) []Grant {
	p.viewNumber++
	for _, t := range v.Targets {
		key := targetKey(&t)
		s := p.targets[key]
		if s == nil || !s.sameIncarnation(&t) {
			s = s.nextIncarnation()
			p.targets[key] = s
		}
		s.target, s.seenInView, s.otherRequests = t, p.viewNumber, v.Loads[key]
	}
	maps.DeleteFunc(p.targets, func(_ string, s *targetState) bool { return s.seenInView != p.viewNumber && s.ownRequests == 0 })
	p.targetKeys, p.loadsAt, p.entries = slices.Sorted(maps.Keys(p.targets)), v.LoadsAt, v.Entries
	p.expireAllotments(now)
	p.recordUpstreams(now)
	p.updateAllowances(now)
	return p.ExamineWaiting(now)
}

// sameIncarnation reports whether the state is that of a target's current incarnation, and not
// that of another one under the same name.
func (s *targetState) sameIncarnation(t *attach.Target) bool {
	return s.target.ID == t.ID && s.target.StartTime == t.StartTime
}

// nextIncarnation returns the state for a target's new incarnation. Nothing is carried over from
// the previous one, except that requests in flight keep their slots until they end.
func (s *targetState) nextIncarnation() *targetState {
	if s == nil {
		return &targetState{}
	}
	return &targetState{ownRequests: s.ownRequests}
}

// stateOf returns the state of a target; nil once the target is gone or was replaced by
// another incarnation.
func (p *Placer) stateOf(t *attach.Target) *targetState {
	if s := p.targets[targetKey(t)]; s != nil && s.sameIncarnation(t) {
		return s
	}
	return nil
}

// targetKey identifies a target across views: by its group, or by the upstream where there is
// no group.
func targetKey(t *attach.Target) string {
	if t.Group != "" {
		return t.Group
	}
	return t.ID
}

// Submit places a new request, queues it or refuses it.
func (p *Placer) Submit(now time.Time, w Work) Placement {
	q := p.queueOf(w)
	if len(q.waiting) == 0 || q.goesBefore(&w, &q.waiting[0]) {
		if s := p.pick(now, &w); s != nil {
			return Placement{Target: p.assign(now, s, q, &w)}
		}
	}
	return p.enqueue(now, q, w)
}

// enqueue has a request wait if it is expected to be answered in its caller's time, and refuses it otherwise.
func (p *Placer) enqueue(now time.Time, q *requestQueue, w Work) Placement {
	capacity := p.capacity(now, &w)
	wait, expected := q.expectedWait(&w, capacity), true
	var nextTarget time.Time
	if capacity.none() {
		nextTarget, expected = p.nextTarget(now, &w)
		expected = expected && !w.Isolated
		wait = max(nextTarget.Sub(now), 0)
	}
	estimate := q.estimate(now, &w, capacity, wait)
	switch {
	case expected && q.inTime(now, &w, wait):
		q.insert(w)
		return Placement{Waiting: true, WaitUntil: q.latestStart(&w), NextTarget: nextTarget, Estimate: estimate}
	case capacity.none():
		return p.refuse(now, &w, capacity.refusal(p.reasonForNoTarget(now, &w)), estimate)
	default:
		return p.refuse(now, &w, capacity.refusal(NoTimeToWait), estimate)
	}
}

// reasonForNoTarget is the reason of a refusal while no target takes the request.
func (p *Placer) reasonForNoTarget(now time.Time, w *Work) Reason {
	switch {
	case w.Isolated:
		return NoIsolation
	case p.pausesAny(now, w):
		return Paused
	default:
		return NoTarget
	}
}

func (p *Placer) refuse(now time.Time, w *Work, reason Reason, estimate *Estimate) Placement {
	var limits []StatedLimit
	if reason == LimitsStated || reason == WaitedInVain {
		limits = p.statedLimits(now, w)
	}
	return Placement{Reason: reason, Limits: limits, RetryAfter: p.RetryAfter(now, *w), Estimate: estimate}
}

// Claim assigns a target with free capacity to a request that does not wait; nil when there is
// none.
func (p *Placer) Claim(now time.Time, w Work) *attach.Target {
	s := p.pick(now, &w)
	if s == nil {
		return nil
	}
	return p.assign(now, s, p.queueOf(w), &w)
}

// Cancel removes a waiting request; false when it was granted already.
func (p *Placer) Cancel(now time.Time, w Work) (Placement, bool) {
	q := p.queueOf(w)
	if !q.remove(w.ID) {
		return Placement{}, false
	}
	capacity := p.capacity(now, &w)
	return p.refuse(now, &w, WaitedInVain, q.estimate(now, &w, capacity, q.expectedWait(&w, capacity))), true
}

// Release frees a request's slot at its target.
func (p *Placer) Release(now time.Time, t *attach.Target) []Grant {
	return p.release(now, t, Work{Service: t.Service, Model: t.Model})
}

// release frees a slot that a request of the given queue held.
func (p *Placer) release(now time.Time, t *attach.Target, w Work) []Grant {
	if s := p.targets[targetKey(t)]; s != nil {
		s.ownRequests = max(s.ownRequests-1, 0)
	}
	q := p.queueOf(w)
	q.inFlight = max(q.inFlight-1, 0)
	return p.grantWaiting(now)
}

// RecordAnswer records that a target answers, and ends its backoff.
func (p *Placer) RecordAnswer(now time.Time, t *attach.Target) {
	if s := p.stateOf(t); s != nil {
		s.answeredAt, s.backoffUntil, s.consecutiveFailures = now, time.Time{}, 0
		s.answeredAfterCrash, s.crashed = s.answeredAfterCrash || s.crashed, false
	}
}

// RecordFailure records a failure of a target, which gets no work for a backoff time.
func (p *Placer) RecordFailure(now time.Time, t *attach.Target) {
	if s := p.stateOf(t); s != nil {
		if now.Before(s.backoffUntil) {
			// Failures of requests that were in flight together count as one.
			return
		}
		s.backoffUntil = now.Add(min(initialBackoff<<s.consecutiveFailures, maxBackoff))
		s.consecutiveFailures = min(s.consecutiveFailures+1, maxFailures)
	}
}

// BackOffUntil keeps work away from a target until a given time.
func (p *Placer) BackOffUntil(t *attach.Target, until time.Time) {
	if s := p.stateOf(t); s != nil && s.backoffUntil.Before(until) {
		s.backoffUntil = until
	}
}

// AnsweredSince reports whether a target answered after a given time.
func (p *Placer) AnsweredSince(t *attach.Target, at time.Time) bool {
	s := p.stateOf(t)
	return s != nil && s.answeredAt.After(at)
}

// RecordStart records the time that a target took from a request to the first event or the
// whole answer.
func (p *Placer) RecordStart(t *attach.Target, took time.Duration) {
	p.queueOf(Work{Service: t.Service, Model: t.Model}).startLatency.record(took)
}

// assign counts a request at a target and returns the target.
func (p *Placer) assign(now time.Time, s *targetState, q *requestQueue, w *Work) *attach.Target {
	s.ownRequests++
	q.inFlight++
	p.countSend(now, s)
	if w.Isolated {
		p.isolationOf(w.Service).inFlight++
	}
	s.sentAt = now
	q.recordServed(w)
	t := s.target
	return &t
}

// ExamineWaiting returns the grants that are possible now.
func (p *Placer) ExamineWaiting(now time.Time) []Grant {
	return append(p.grantWaiting(now), p.dropUnservable(now)...)
}

// grantWaiting assigns free capacity to waiting requests.
func (p *Placer) grantWaiting(now time.Time) []Grant {
	var grants []Grant
	for _, q := range p.queues {
		for len(q.waiting) > 0 {
			w := q.waiting[0]
			s := p.pick(now, &w)
			if s == nil && w.Isolated && p.capacity(now, &w).none() {
				q.waiting = q.waiting[1:]
				grants = append(grants, Grant{ID: w.ID})
				continue
			}
			if s == nil {
				break
			}
			q.waiting = q.waiting[1:]
			grants = append(grants, Grant{ID: w.ID, Target: p.assign(now, s, q, &w)})
		}
	}
	return grants
}

// eligible reports whether a request may go to a target at all.
func (p *Placer) eligible(now time.Time, s *targetState, w *Work) bool {
	if s.seenInView != p.viewNumber || s.target.Service != w.Service || s.target.Model != w.Model || now.Before(s.backoffUntil) || p.closed(now, s) {
		return false
	}
	if s.consecutiveFailures > 0 && s.ownRequests > 0 || s.target.Suspected && !s.answeredRecently(now) && p.hasHealthyTarget(now, w) {
		return false
	}
	for _, id := range w.Excluded {
		if id == s.target.ID {
			return false
		}
	}
	return true
}

// load is the number of requests at a target when a given share of the reported requests of
// other entries is still in flight.
func (s *targetState) load(activeShare float64) float64 {
	return float64(s.ownRequests) + activeShare*float64(s.otherRequests)
}

// answeredRecently reports whether a target answered within answerValidFor.
func (s *targetState) answeredRecently(now time.Time) bool {
	return now.Sub(s.answeredAt) <= answerValidFor
}

// hasHealthyTarget reports whether a request has a target without failures or suspicion.
func (p *Placer) hasHealthyTarget(now time.Time, w *Work) bool {
	for _, s := range p.targets {
		if s.seenInView == p.viewNumber && s.target.Service == w.Service && s.target.Model == w.Model &&
			s.consecutiveFailures == 0 && (!s.target.Suspected || s.answeredRecently(now)) && !p.closed(now, s) {
			return true
		}
	}
	return false
}

// score rates a target, in shares of its slots; lower is better.
func (p *Placer) score(now time.Time, s *targetState, load float64) float64 {
	score := load/float64(s.target.Slots) + jitterShare*p.rand.Float64()
	if s.target.FailureDomain != p.failureDomain {
		score += otherDomainPenalty
	}
	if p.isSlow(now, s) {
		score += slowPenalty
	}
	if now.Sub(s.sentAt) < warmFor {
		score -= warmBonus
	}
	if _, age, limited := p.limitOf(now, s); limited && age < limitCheckAge {
		score += limitedPenalty
	}
	if s.crashed || s.target.Suspected && !s.answeredRecently(now) {
		score += suspicionPenalty
	}
	return score
}

// answerValidFor is how long an answer clears a target of suspicion.
const answerValidFor = time.Second

// SetMechanisms selects the mechanisms that are enabled; all are by default. Call it before
// the first request.
func (p *Placer) SetMechanisms(mechanisms mechanism.Set) { p.mechanisms = mechanisms }

// limit returns the largest number of requests that all entries together send to a target.
func (s *targetState) limit() int {
	if s.target.Group == "" {
		return s.target.Slots + int(plainQueueShare*float64(s.target.Slots))
	}
	return s.target.Slots + engineQueueDepth
}

// targetCapacity is what the eligible targets of a request accept.
type targetCapacity struct {
	// slots is this entry's part of the requests that they run at once.
	slots float64
	// limited is true if any of them has stated a limit, and limitedRate the requests a second that this entry may send to those.
	limited     bool
	limitedRate float64
}

// none reports whether no target takes any request.
func (c targetCapacity) none() bool { return c.slots == 0 && c.limitedRate == 0 }

// refusal returns the reason of a refusal: that limits were stated, or another one.
func (c targetCapacity) refusal(otherwise Reason) Reason {
	if c.limited {
		return LimitsStated
	}
	return otherwise
}

// capacity returns what the eligible targets of a request accept.
func (p *Placer) capacity(now time.Time, w *Work) targetCapacity {
	if w.Isolated {
		_, limit := p.isolationTarget(now, w)
		return targetCapacity{slots: float64(limit)}
	}
	var c targetCapacity
	detachedRate, slots, own, all := 0.0, 0, 0, 0
	for _, s := range p.targets {
		if !p.eligible(now, s, w) {
			continue
		}
		limit, _, limited := p.limitOf(now, s)
		if !limited {
			slots, own, all = slots+s.target.Slots, own+s.ownRequests, all+s.ownRequests+s.otherRequests
			continue
		}
		c.limited = true
		detachedRate += p.detachedRate(limit)
	}
	c.slots = float64(slots) * entryShare(own, all, p.entries)
	if c.limited {
		c.limitedRate = detachedRate
		if p.attached(now) {
			c.limitedRate = max(p.queueOf(*w).grantRate.at(now), minGrantRate)
		}
	}
	return c
}
