package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/mechanism"
)

const (
	// engineQueueDepth is the number of requests beyond its slots that a group is sent: they
	// wait in its queue while an answer travels, so that no slot idles.
	engineSurplus = 2
	// plainQueueShare is the same for plain upstreams, as a share of their slots.
	plainSurplus = 0.5
	// otherDomainPenalty is the score penalty of a target in another failure domain, as a
	// share of its slots: traffic between failure domains costs.
	otherDomainPenalty = 0.35
	// suspicionPenalty ranks targets with a suspected member behind all others.
	doubtPenalty = 2.0
	// initialBackoff is how long a target that failed gets no work, unless it answers before.
	// Each further failure in a row doubles it up to maxBackoff.
	suspectFor    = time.Second
	maxSuspectFor = 8 * time.Second
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
	// Rank orders waiting requests; lower goes first.
	Rank float64
	// ObjectiveAt is when the first event is due; zero where that no longer matters.
	ObjectiveAt time.Time
	// Late requests cannot be answered by ObjectiveAt. They wait behind the requests that can,
	// and leave a reserve of capacity to them.
	Late bool
	// Left is the time that the caller still waits.
	Left time.Duration
	// GiveUpAt is the deadline for waiting: a later start would not help the caller.
	GiveUpAt time.Time
	// Excluded are the targets that the request was sent to before.
	Excluded []string
	// Hold is the expected service time, for which the request occupies a slot.
	Hold time.Duration
}

// Placement is the decision on a request that asked for a target.
type Placement struct {
	// Target is set when the request may be sent.
	Target *attach.Target
	// Waiting is true when the request was queued: a Grant follows, unless the wait ends
	// before.
	Waiting bool
	// LateAt is when a waiting request becomes late; zero where it is late already or never
	// will be.
	LateAt time.Time
	// RetryAfter is when the caller should retry after a refusal.
	RetryAfter time.Duration
	// Reason is the reason of a refusal.
	Reason Reason
}

// Reason says why a request got no target.
type Reason string

// The reasons of a refusal.
const (
	NoTarget Reason = "no-target"
	Crowded  Reason = "crowded"
	Outlived Reason = "waited-long-enough"
)

// Grant assigns a target to a waiting request.
type Grant struct {
	ID     uint64
	Target *attach.Target
}

// targetState is what the placer knows of one target.
type slot struct {
	target attach.Target
	// ownRequests is the number of this entry's requests in flight there, otherRequests that
	// of the other entries as last reported.
	own, others int
	// backoffUntil is when a target that failed gets work again.
	suspectUntil time.Time
	answeredAt   time.Time
	// eventGap is the mean time between events of the target's streams, as of eventGapAt.
	gap   time.Duration
	gapAt time.Time
	// sentAt is when this entry last sent a request there.
	sentAt time.Time
	// consecutiveFailures counts how often the target failed in a row. Until the next answer
	// one request at a time is let through as a probe.
	failures int
	// seenInView is the number of the latest view that contained the target.
	seen uint64
}

// Placer decides which target a request is sent to and which requests wait. It does no I/O,
// gets the time from its caller and is not safe for concurrent use.
type Placer struct {
	failureDomain string
	rand          *rand.Rand
	slots         map[string]*slot
	// targetKeys has the key of each target in order, so that the same seed gives the same
	// choices.
	keys  []string
	lanes map[laneKey]*lane
	views uint64
	// loadsAt is the time of the latest report of the other entries' loads.
	loadsAt time.Time
	// entries is the number of entries that share the targets, as last reported.
	entries int
	// allowancesUpdatedAt is when the allowances were last updated.
	sharedAt time.Time
	// disabled are the mechanisms that are disabled for a measurement.
	without mechanism.Set
}

// NewPlacer returns the placer of an entry in a failure domain.
func NewPlacer(failureDomain string, random *rand.Rand) *Placer {
	return &Placer{
		failureDomain: failureDomain, rand: random, slots: map[string]*slot{}, lanes: map[laneKey]*lane{},
	}
}

// Update applies a new view and returns the grants that it makes possible.
func (p *Placer) Update(now time.Time, v *attach.View) []Grant {
	p.views++
	for _, t := range v.Targets {
		key := keyOf(&t)
		s := p.slots[key]
		if s == nil || !s.isOf(&t) {
			s = s.next()
			p.slots[key] = s
		}
		s.target, s.seen, s.others = t, p.views, v.Loads[key]
	}
	maps.DeleteFunc(p.slots, func(_ string, s *slot) bool { return s.seen != p.views && s.own == 0 })
	p.keys, p.loadsAt, p.entries = slices.Sorted(maps.Keys(p.slots)), v.LoadsAt, v.Entries
	p.shareRoom(now)
	return p.grant(now)
}

// sameIncarnation reports whether the state is that of a target's current incarnation, and not
// that of another one under the same name.
func (s *slot) isOf(t *attach.Target) bool { return s.target.ID == t.ID && s.target.Born == t.Born }

// nextIncarnation returns the state for a target's new incarnation. Nothing known of the
// previous one holds for it, but requests in flight keep their slots until they end.
func (s *slot) next() *slot {
	if s == nil {
		return &slot{}
	}
	return &slot{own: s.own}
}

// stateOf returns the state of a target; nil once the target is gone or was replaced by
// another incarnation.
func (p *Placer) slotOf(t *attach.Target) *slot {
	if s := p.slots[keyOf(t)]; s != nil && s.isOf(t) {
		return s
	}
	return nil
}

// targetKey identifies a target across views: by its group, or by the upstream where there is
// no group.
func keyOf(t *attach.Target) string {
	if t.Group != "" {
		return t.Group
	}
	return t.ID
}

// Arrive places a new request, queues it or refuses it.
func (p *Placer) Arrive(now time.Time, w Work) Placement {
	q := p.lane(w)
	w.Late = w.Late || q.late(now, &w, 0)
	if len(q.waiting) == 0 || q.waiting[0].rank() > w.rank() {
		if s := p.pick(now, &w); s != nil {
			return Placement{Target: p.take(now, s, q, &w)}
		}
	}
	return p.queue(now, q, w)
}

// enqueue has a request wait, or refuses it when it would wait for too long.
func (p *Placer) queue(now time.Time, q *lane, w Work) Placement {
	capacity := p.capacity(now, &w)
	if capacity == 0 {
		return p.refuse(now, q, &w, NoTarget)
	}
	wait := q.expectedWait(now, &w, capacity)
	if !w.Late && q.late(now, &w, wait) {
		w.Late = true
		wait = q.expectedWait(now, &w, capacity)
	}
	if now.Add(wait).After(w.GiveUpAt) {
		return p.refuse(now, q, &w, Crowded)
	}
	q.insert(w)
	return Placement{Waiting: true, LateAt: q.lateAt(&w)}
}

// Delayed moves a waiting request that has missed its objective behind those that can still
// meet theirs. It returns false when the request was granted already.
func (p *Placer) Delayed(now time.Time, w Work) (Placement, bool) {
	q := p.lane(w)
	if !q.remove(w.ID) {
		return Placement{}, false
	}
	w.Late = true
	return p.queue(now, q, w), true
}

func (p *Placer) refuse(now time.Time, q *lane, w *Work, reason Reason) Placement {
	return Placement{Reason: reason, RetryAfter: retryAfter(p.rand, w.Left, q.full(now) && p.without.On(mechanism.FullRetry))}
}

// HasRoom reports whether a request would be placed at once.
func (p *Placer) HasRoom(now time.Time, w Work) bool { return p.pick(now, &w) != nil }

// GiveUp removes a waiting request; false when it was granted already.
func (p *Placer) GiveUp(now time.Time, w Work) (Placement, bool) {
	q := p.lane(w)
	if !q.remove(w.ID) {
		return Placement{}, false
	}
	return p.refuse(now, q, &w, Outlived), true
}

// Release frees a request's slot at its target.
func (p *Placer) Release(now time.Time, t *attach.Target) []Grant {
	if s := p.slots[keyOf(t)]; s != nil {
		s.own = max(s.own-1, 0)
	}
	q := p.lane(Work{Service: t.Service, Model: t.Model})
	q.own = max(q.own-1, 0)
	return p.grant(now)
}

// Answered records that a target answers, and ends its backoff.
func (p *Placer) Answered(now time.Time, t *attach.Target) {
	if s := p.slotOf(t); s != nil {
		s.answeredAt, s.suspectUntil, s.failures = now, time.Time{}, 0
	}
}

// Failed records a failure of a target, which gets no work for a backoff time.
func (p *Placer) Failed(now time.Time, t *attach.Target) {
	if s := p.slotOf(t); s != nil {
		if now.Before(s.suspectUntil) {
			// Failures of requests that were in flight together count as one.
			return
		}
		s.suspectUntil = now.Add(min(suspectFor<<s.failures, maxSuspectFor))
		s.failures = min(s.failures+1, maxFailures)
	}
}

// Pause keeps work away from a target until a given time.
func (p *Placer) Pause(t *attach.Target, until time.Time) {
	if s := p.slotOf(t); s != nil && s.suspectUntil.Before(until) {
		s.suspectUntil = until
	}
}

// AnsweredSince reports whether a target answered after a given time.
func (p *Placer) AnsweredSince(t *attach.Target, at time.Time) bool {
	s := p.slotOf(t)
	return s != nil && s.answeredAt.After(at)
}

// Began records the time that a target took from a request to the first event or the whole
// answer.
func (p *Placer) Began(t *attach.Target, took time.Duration) {
	p.lane(Work{Service: t.Service, Model: t.Model}).began(took)
}

// assign counts a request at a target and returns the target.
func (p *Placer) take(now time.Time, s *slot, q *lane, w *Work) *attach.Target {
	s.own++
	q.own++
	s.sentAt = now
	q.served(now, w)
	t := s.target
	return &t
}

// grantWaiting assigns free capacity to waiting requests.
func (p *Placer) grant(now time.Time) []Grant {
	var grants []Grant
	for _, q := range p.lanes {
		for len(q.waiting) > 0 {
			w := q.waiting[0]
			s := p.pick(now, &w)
			if s == nil {
				break
			}
			q.waiting = q.waiting[1:]
			grants = append(grants, Grant{ID: w.ID, Target: p.take(now, s, q, &w)})
		}
	}
	return grants
}

// eligible reports whether a request may go to a target at all.
func (p *Placer) admits(now time.Time, s *slot, w *Work) bool {
	if s.seen != p.views || s.target.Service != w.Service || s.target.Model != w.Model || now.Before(s.suspectUntil) {
		return false
	}
	if s.failures > 0 && s.own > 0 || s.target.Doubtful && !s.answers(now) && p.clearTarget(now, w) {
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
func (s *slot) load(activeShare float64) float64 {
	return float64(s.own) + activeShare*float64(s.others)
}

// answeredRecently reports whether a target answered within answerValidFor.
func (s *slot) answers(now time.Time) bool { return now.Sub(s.answeredAt) <= answerMemory }

// hasHealthyTarget reports whether a request has a target without failures or suspicion.
func (p *Placer) clearTarget(now time.Time, w *Work) bool {
	for _, s := range p.slots {
		if s.seen == p.views && s.target.Service == w.Service && s.target.Model == w.Model &&
			s.failures == 0 && (!s.target.Doubtful || s.answers(now)) {
			return true
		}
	}
	return false
}

// score rates a target, in shares of its slots; lower is better.
func (p *Placer) score(now time.Time, s *slot, load float64) float64 {
	score := load/float64(s.target.Slots) + jitterShare*p.rand.Float64()
	if s.target.FailureDomain != p.failureDomain {
		score += otherDomainPenalty
	}
	if p.slow(now, s) {
		score += slowPenalty
	}
	if now.Sub(s.sentAt) < warmFor {
		score -= warmBonus
	}
	if s.target.Doubtful && !s.answers(now) {
		score += doubtPenalty
	}
	return score
}

// answerValidFor is how long an answer clears a target of suspicion.
const answerMemory = time.Second

// lateReserve is the share of a target's slots that late requests leave to those that can be
// on time: about as many as arrive before the next load report.
const lateReserve = 0.2

// Without disables mechanisms. Call it before the first request.
func (p *Placer) Without(mechanisms mechanism.Set) { p.without = mechanisms }

// limitFor is the number of requests of all entries up to which a target is given a request of
// this kind.
func (p *Placer) room(s *slot, w *Work) int {
	if w.Late && p.without.On(mechanism.LateReserve) {
		return s.limit() - int(lateReserve*float64(s.target.Slots))
	}
	return s.limit()
}

// limit is the largest number of requests of all entries that a target is given.
func (s *slot) limit() int {
	if s.target.Group == "" {
		return s.target.Slots + int(plainSurplus*float64(s.target.Slots))
	}
	return s.target.Slots + engineSurplus
}

// capacity is the number of requests that the eligible targets of a request accept at once.
func (p *Placer) capacity(now time.Time, w *Work) int {
	total := 0
	for _, s := range p.slots {
		if p.admits(now, s, w) {
			total += s.limit()
		}
	}
	return total
}
