package forward

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/masticmount/masticmount/pkg/attach"
	"github.com/masticmount/masticmount/pkg/peerpb"
	"github.com/masticmount/masticmount/pkg/quarantine"
)

// The simulation plays entries, keepers and a plain service of three upstreams in steps of
// simStep. Entries decide with their own placers and tables, and exchange evidence by way of the
// keepers. Some requests crash the upstreams that run them, and come again at any entry.
const (
	simStep     = 10 * time.Millisecond
	simSteps    = 4000
	simReplicas = 3
	// simReportSteps is the interval of reports and updates, simRelaySteps the delay between keepers.
	simReportSteps, simRelaySteps = 20, 3
	// simRestartSteps is how long a crashed upstream is away, simDropSteps after how long views lack it.
	simRestartSteps, simDropSteps = 330, 230
	simContactSteps               = int(contactTime / simStep)
	// simCallerTries is how often a caller sends a request whose outcome allows it.
	simCallerTries = 3
)

// requestScenario is what a simulation plays.
type requestScenario struct {
	name string
	// crashing is the number of requests that crash upstreams; each comes every crashingSteps.
	crashing, crashingSteps int
	// beside has a slow sound request sent with each crashing one, retried has its caller insist.
	beside, retried bool
	// hotShare is the share of the sound requests that are the same one.
	hotShare float64
	// crashesPerSecond is the rate of ordinary crashes.
	crashesPerSecond float64
	// cutFrom and cutTo are the steps between which the first third of the entries, and the first
	// keeper, exchange no evidence with the others.
	cutFrom, cutTo int
	// frozenFrom and frozenTo are the steps in which the second keeper does nothing.
	frozenFrom, frozenTo int
	// joinAt is the step at which the last entry starts.
	joinAt int
}

var requestScenarios = []requestScenario{
	{name: "one request", crashing: 1, crashingSteps: 60},
	{name: "several requests", crashing: 4, crashingSteps: 80},
	{name: "sound request beside each", crashing: 1, crashingSteps: 60, beside: true},
	{name: "sound request beside each, retried by its caller", crashing: 2, crashingSteps: 60, beside: true, retried: true},
	{name: "frequent sound request", crashing: 1, crashingSteps: 60, hotShare: 0.5},
	{name: "ordinary crashes alone", crashesPerSecond: 0.3, hotShare: 0.3},
	{name: "beside ordinary crashes", crashing: 2, crashingSteps: 60, crashesPerSecond: 0.15},
	{name: "cut failure domain", crashing: 1, crashingSteps: 60, cutFrom: 150, cutTo: 900},
	{name: "frozen keeper", crashing: 2, crashingSteps: 60, frozenFrom: 100, frozenTo: 1000},
	{name: "entry that starts later", crashing: 1, crashingSteps: 60, joinAt: 1500},
}

// simRequest is one attempt of a caller.
type simRequest struct {
	content  string
	crashing bool
	slow     bool
	runOnce  bool
	// triesLeft is how often the caller may still send it.
	triesLeft int
	entry     int
	deadline  int
	sends     int
	broke     bool
	excluded  []string
	isolated  bool
	target    *attach.Target
	sentAt    int
	endsAt    int
}

type simUpstream struct {
	incarnation uint64
	downSince   int
	up          bool
	flights     []*simRequest
}

// simNode is an entry or a keeper; keepers have no placer.
type simNode struct {
	table   *quarantine.Table
	placer  *Placer
	sent    map[*simNode]uint64
	waiters map[uint64]*simRequest
}

func (n *simNode) markCrashed(now time.Time) {
	n.placer.MarkCrashed(func(id string, startTime uint64) bool { return n.table.Crashed(now, id, startTime) })
}

type simMessage struct {
	at       int
	from, to *simNode
	evidence *peerpb.CrashEvidence
}

// simTask is something that happens at a later step.
type simTask struct {
	at int
	do func()
}

type requestSimulation struct {
	requestScenario
	random    *rand.Rand
	step      int
	entries   []*simNode
	keepers   []*simNode
	upstreams []simUpstream
	view      attach.View
	messages  []simMessage
	tasks     []simTask
	lastID    uint64
	// crashSteps and sendSteps are the crashes by each crashing request, and its sends by entries
	// that were in contact.
	crashSteps, sendSteps map[string][]int
	// served, condemned and failed count sound requests by how they ended.
	served, condemned, failed int
	// outageSteps are those without any upstream.
	outageSteps int
	// noIsolation sends suspects like other requests.
	noIsolation bool
}

func playRequests(sc requestScenario, seed uint64, noIsolation bool) *requestSimulation {
	s := &requestSimulation{
		requestScenario: sc, noIsolation: noIsolation, random: rand.New(rand.NewPCG(seed, 11)), upstreams: make([]simUpstream, simReplicas),
		crashSteps: map[string][]int{}, sendSteps: map[string][]int{},
	}
	for i := range 9 {
		s.entries = append(s.entries, &simNode{
			table: quarantine.NewTable(), placer: NewPlacer(fmt.Sprint("fd-", i%3), rand.New(rand.NewPCG(seed, uint64(i)))),
			sent: map[*simNode]uint64{}, waiters: map[uint64]*simRequest{},
		})
	}
	for range 3 {
		s.keepers = append(s.keepers, &simNode{table: quarantine.NewTable(), sent: map[*simNode]uint64{}})
	}
	for i := range s.upstreams {
		s.upstreams[i].up = true
	}
	s.updateView()
	for s.step = range simSteps {
		s.runTasks()
		s.arrive()
		s.runUpstreams()
		s.exchange()
		s.giveUp()
	}
	return s
}

func (s *requestSimulation) now() time.Time {
	return start.Add(time.Duration(s.step) * simStep)
}

func (s *requestSimulation) after(steps int, do func()) {
	s.tasks = append(s.tasks, simTask{s.step + steps, do})
}

func (s *requestSimulation) runTasks() {
	due := []simTask{}
	s.tasks = slices.DeleteFunc(s.tasks, func(t simTask) bool {
		if t.at <= s.step {
			due = append(due, t)
		}
		return t.at <= s.step
	})
	for _, t := range due {
		t.do()
	}
}

// arrive draws the requests of a step: sound ones at 60 a second, and the crashing ones.
func (s *requestSimulation) arrive() {
	if s.random.Float64() < 0.6 {
		s.lastID++
		content := fmt.Sprint("request:sound-", s.lastID)
		if s.random.Float64() < s.hotShare {
			content = "request:hot"
		}
		s.call(&simRequest{content: content, runOnce: s.random.IntN(2) == 0, triesLeft: simCallerTries, entry: s.drawEntry()})
	}
	for i := range s.crashing {
		if s.step < 100+200*i || (s.step+17*i)%s.crashingSteps != 0 {
			continue
		}
		entry := s.drawEntry()
		s.call(&simRequest{content: fmt.Sprint("request:crashing-", i), crashing: true, triesLeft: simCallerTries, entry: entry})
		if s.beside {
			tries := 1
			if s.retried {
				tries = 2 * simCallerTries
			}
			s.call(&simRequest{content: fmt.Sprint("request:beside-", i), slow: true, triesLeft: tries, entry: entry})
		}
	}
	if s.random.Float64() < s.crashesPerSecond*simStep.Seconds() {
		s.crash(s.random.IntN(simReplicas))
	}
}

func (s *requestSimulation) drawEntry() int {
	entry := s.random.IntN(len(s.entries))
	if entry == len(s.entries)-1 && s.step < s.joinAt {
		return 0
	}
	return entry
}

// call sends a new attempt of a caller to its entry.
func (s *requestSimulation) call(r *simRequest) {
	r.triesLeft--
	r.deadline, r.sends, r.broke, r.excluded = s.step+120, 0, false, nil
	s.submit(r)
}

// submit decides on a request as a session does.
func (s *requestSimulation) submit(r *simRequest) {
	e, now := s.entries[r.entry], s.now()
	if _, refused := e.table.Check(now, []string{r.content}); refused {
		s.end(r, false, true)
		return
	}
	found, suspected := e.table.Suspect(now, r.content)
	suspected = suspected && !s.noIsolation
	if !found.Until.IsZero() {
		s.end(r, false, false)
		return
	}
	s.lastID++
	w := Work{
		ID: s.lastID, Service: "desk", EndBy: now.Add(time.Duration(r.deadline-s.step) * simStep),
		Excluded: r.excluded, ServiceTime: simStep, Isolated: suspected,
	}
	r.isolated = suspected
	placed := e.placer.Submit(now, w)
	switch {
	case placed.Target != nil:
		s.send(r, placed.Target)
	case placed.Waiting:
		e.waiters[w.ID] = r
	default:
		s.end(r, false, false)
	}
}

func (s *requestSimulation) deliver(e *simNode, grants []Grant) {
	for _, g := range grants {
		r := e.waiters[g.ID]
		delete(e.waiters, g.ID)
		if g.Target == nil {
			s.submit(r)
			continue
		}
		s.send(r, g.Target)
	}
}

// send has an upstream begin to run a request; one that has ended refuses the connection.
func (s *requestSimulation) send(r *simRequest, t *attach.Target) {
	r.target, r.sentAt = t, s.step
	u := &s.upstreams[slices.IndexFunc(s.view.Targets, func(other attach.Target) bool { return other.ID == t.ID })]
	if !u.up || u.incarnation != t.StartTime {
		e := s.entries[r.entry]
		e.placer.RecordFailure(s.now(), t)
		r.excluded = append(r.excluded, t.ID)
		s.release(r)
		s.submit(r)
		return
	}
	r.sends++
	r.endsAt = s.step + 2 + s.random.IntN(4)
	if r.slow {
		r.endsAt = s.step + 30
	}
	if r.crashing {
		r.endsAt = s.step + 2 + s.random.IntN(16)
		if s.inContact(r.entry) {
			s.sendSteps[r.content] = append(s.sendSteps[r.content], s.step)
		}
	}
	u.flights = append(u.flights, r)
}

func (s *requestSimulation) release(r *simRequest) {
	e, t := s.entries[r.entry], r.target
	r.target = nil
	if r.isolated {
		s.deliver(e, e.placer.ReleaseIsolated(s.now(), t))
	} else {
		s.deliver(e, e.placer.Release(s.now(), t))
	}
}

// end ends an attempt; its caller sends the request again where the outcome allows it.
func (s *requestSimulation) end(r *simRequest, served, condemned bool) {
	again := !served && !condemned && r.triesLeft > 0 && (!r.runOnce || !r.broke)
	if again {
		s.after(10+s.random.IntN(40), func() {
			next := *r
			next.entry = s.drawEntry()
			s.call(&next)
		})
		return
	}
	switch {
	case r.crashing:
	case served:
		s.served++
	case condemned:
		s.condemned++
	default:
		s.failed++
	}
}

func (s *requestSimulation) runUpstreams() {
	up := 0
	for i := range s.upstreams {
		u := &s.upstreams[i]
		crashed := false
		for _, r := range u.flights {
			if r.crashing && r.endsAt <= s.step {
				s.crashSteps[r.content] = append(s.crashSteps[r.content], s.step)
				crashed = true
			}
		}
		if crashed {
			s.crash(i)
		}
		answered := []*simRequest{}
		u.flights = slices.DeleteFunc(u.flights, func(r *simRequest) bool {
			if r.endsAt <= s.step {
				answered = append(answered, r)
			}
			return r.endsAt <= s.step
		})
		for _, r := range answered {
			e := s.entries[r.entry]
			e.placer.RecordAnswer(s.now(), r.target)
			e.table.ObserveSuccess(s.now(), "desk", []string{r.content})
			s.release(r)
			s.end(r, true, false)
		}
		if u.up {
			up++
		}
	}
	if up == 0 {
		s.outageSteps++
	}
}

// crash ends an upstream. Entries notice within three steps and know one step later that it ended.
func (s *requestSimulation) crash(i int) {
	u := &s.upstreams[i]
	if !u.up {
		return
	}
	flights, incarnation := u.flights, u.incarnation
	u.up, u.downSince, u.flights = false, s.step, nil
	for _, r := range flights {
		s.after(s.random.IntN(3), func() {
			noticed, ran := s.now(), time.Duration(s.step-r.sentAt)*simStep
			r.broke = true
			s.release(r)
			s.after(1, func() { s.verdict(r, i, incarnation, noticed, ran) })
		})
	}
	s.after(simDropSteps, s.updateView)
	s.after(simRestartSteps, func() {
		u.up = true
		u.incarnation++
		s.updateView()
	})
}

// verdict records a crash as an entry's probe does, and sends the request again.
func (s *requestSimulation) verdict(r *simRequest, upstream int, incarnation uint64, noticed time.Time, ran time.Duration) {
	e := s.entries[r.entry]
	t := s.target(upstream, incarnation)
	e.table.AddCrash(s.now(), quarantine.Crash{Upstream: t.ID, StartTime: t.StartTime, Service: "desk", Contents: []string{r.content}, At: noticed, Ran: ran})
	e.placer.RecordFailure(s.now(), &t)
	e.placer.RecordCrash(s.now(), "desk")
	s.evidenceChanged(e)
	for j := range 2 {
		s.transmit(e, s.keepers[(r.entry+j)%len(s.keepers)], 1)
	}
	r.excluded = append(r.excluded, t.ID)
	if r.runOnce || r.sends >= 2 || s.step >= r.deadline {
		s.end(r, false, false)
		return
	}
	s.submit(r)
}

// evidenceChanged has an entry examine the requests that wait.
func (s *requestSimulation) evidenceChanged(e *simNode) {
	if e.placer == nil {
		return
	}
	e.markCrashed(s.now())
	for _, id := range slices.Sorted(maps.Keys(e.waiters)) {
		r := e.waiters[id]
		_, refused := e.table.Check(s.now(), []string{r.content})
		_, suspected := e.table.Suspect(s.now(), r.content)
		if !refused && (r.isolated || !suspected || s.noIsolation) {
			continue
		}
		if _, waiting := e.placer.Cancel(s.now(), Work{ID: id, Service: "desk", Isolated: r.isolated}); waiting {
			delete(e.waiters, id)
			s.submit(r)
		}
	}
}

// giveUp ends the waits whose deadline has passed.
func (s *requestSimulation) giveUp() {
	for _, e := range s.entries {
		for _, id := range slices.Sorted(maps.Keys(e.waiters)) {
			r := e.waiters[id]
			if r == nil || s.step < r.deadline {
				continue
			}
			if _, waiting := e.placer.Cancel(s.now(), Work{ID: id, Service: "desk", Isolated: r.isolated}); waiting {
				delete(e.waiters, id)
				s.end(r, false, false)
			}
		}
	}
}

func (s *requestSimulation) target(i int, incarnation uint64) attach.Target {
	id := fmt.Sprint("upstream-", i)
	return attach.Target{ID: id, StartTime: incarnation, Address: id, Service: "desk", FailureDomain: fmt.Sprint("fd-", i), Slots: 6}
}

// updateView has all entries see the upstreams that were not down for simDropSteps.
func (s *requestSimulation) updateView() {
	all := attach.View{}
	current := &attach.View{LoadsAt: s.now(), Entries: len(s.entries)}
	for i, u := range s.upstreams {
		t := s.target(i, u.incarnation)
		all.Targets = append(all.Targets, t)
		if u.up || s.step < u.downSince+simDropSteps {
			current.Targets = append(current.Targets, t)
		}
	}
	s.view = all
	for _, e := range s.entries {
		grants := e.placer.Update(s.now(), current)
		e.markCrashed(s.now())
		s.deliver(e, grants)
	}
}

// inContact reports whether an entry could exchange evidence for contactTime.
func (s *requestSimulation) inContact(entry int) bool {
	isCut := s.cutTo > 0 && s.step >= s.cutFrom && s.step < s.cutTo+simContactSteps
	return !isCut && (entry < len(s.entries)-1 || s.joinAt == 0 || s.step > s.joinAt+simContactSteps)
}

// separated reports whether two nodes cannot exchange messages.
func (s *requestSimulation) separated(a, b *simNode) bool {
	if s.step >= s.frozenFrom && s.step < s.frozenTo && (a == s.keepers[1] || b == s.keepers[1]) {
		return true
	}
	if last := s.entries[len(s.entries)-1]; s.step < s.joinAt && (a == last || b == last) {
		return true
	}
	if s.step < s.cutFrom || s.step >= s.cutTo {
		return false
	}
	isCut := func(n *simNode) bool {
		return n == s.keepers[0] || slices.Contains(s.entries[:len(s.entries)/3], n)
	}
	return isCut(a) != isCut(b)
}

// exchange delivers messages and sends the evidence that each link has not carried. Each entry has
// links to two keepers. A message that can't be delivered breaks its link, so that all is sent again.
func (s *requestSimulation) exchange() {
	due := []simMessage{}
	s.messages = slices.DeleteFunc(s.messages, func(m simMessage) bool {
		if m.at <= s.step {
			due = append(due, m)
		}
		return m.at <= s.step
	})
	for _, m := range due {
		if s.separated(m.from, m.to) {
			m.from.sent[m.to] = 0
		} else if m.to.table.Merge(s.now(), m.evidence) {
			if m.to.placer != nil {
				m.to.placer.RecordCrash(s.now(), "desk")
			}
			s.evidenceChanged(m.to)
		}
	}
	for i, e := range s.entries {
		if s.step%simReportSteps == i%simReportSteps {
			for j := range 2 {
				k := s.keepers[(i+j)%len(s.keepers)]
				s.transmit(e, k, 1)
				s.transmit(k, e, 1)
			}
		}
	}
	for _, from := range s.keepers {
		for _, to := range s.keepers {
			if from != to {
				s.transmit(from, to, simRelaySteps)
			}
		}
	}
}

func (s *requestSimulation) transmit(from, to *simNode, delay int) {
	if s.separated(from, to) {
		from.sent[to] = 0
		return
	}
	evidence, version := from.table.Encode(s.now(), from.sent[to])
	from.sent[to] = version
	if evidence != nil {
		s.messages = append(s.messages, simMessage{s.step + delay, from, to, evidence})
	}
}

// lateSends counts the sends of a request later than contactTime after its third crash.
func (s *requestSimulation) lateSends(content string) int {
	crashes := s.crashSteps[content]
	if len(crashes) < crashesOfRequest {
		return 0
	}
	limit := crashes[crashesOfRequest-1] + simContactSteps
	return len(s.sendSteps[content]) - cmp.Or(slices.IndexFunc(append(s.sendSteps[content], simSteps), func(step int) bool { return step > limit }), 0)
}

const (
	requestSeeds = 20
	// maxSoundCondemned bounds the share of the sound requests that are refused as quarantined.
	maxSoundCondemned = 0.002
	// outageReduction is the least factor by which isolation reduces the time without any upstream.
	outageReduction = 4
)

// Guards against suspects that take all upstreams of a service before the evidence is complete.
func TestIsolationKeepsUpstreamsOfDrawnPlays(t *testing.T) {
	with, without := 0, 0
	for seed := range uint64(requestSeeds) {
		with += playRequests(requestScenarios[0], seed, false).outageSteps
		without += playRequests(requestScenarios[0], seed, true).outageSteps
	}
	assert.Positive(t, without)
	assert.LessOrEqual(t, outageReduction*with, without, "steps without any upstream: %d, and %d without isolation", with, without)
	t.Logf("steps without any upstream: %d, and %d without isolation", with, without)
}

// Plays drawn requests and crashes. The users' bound on sends of a request that crashes upstreams
// holds, and sound requests are not condemned.
func TestDrawnRequestsAndCrashes(t *testing.T) {
	for _, sc := range requestScenarios {
		t.Run(sc.name, func(t *testing.T) {
			served, condemned, failed, outage, crashes, late := 0, 0, 0, 0, 0, 0
			for seed := range uint64(requestSeeds) {
				s := playRequests(sc, seed, false)
				for i := range sc.crashing {
					content := fmt.Sprint("request:crashing-", i)
					assert.LessOrEqual(t, s.lateSends(content), tolerableSends, "seed %d: sends of %s after %d crashes", seed, content, len(s.crashSteps[content]))
					crashes += len(s.crashSteps[content])
					late = max(late, s.lateSends(content))
				}
				served, condemned, failed, outage = served+s.served, condemned+s.condemned, failed+s.failed, outage+s.outageSteps
			}
			total := served + condemned + failed
			assert.LessOrEqual(t, float64(condemned), maxSoundCondemned*float64(total), "%d of %d sound requests condemned", condemned, total)
			t.Logf("served %d, condemned %d, failed %d, steps of outage %d of %d, crashes %.2f a request, late sends %d at most",
				served, condemned, failed, outage, requestSeeds*simSteps, float64(crashes)/float64(max(sc.crashing, 1)*requestSeeds), late)
		})
	}
}
