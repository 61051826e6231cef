package scheduling

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/routing"
)

// TestMain fixes rapid's seed so that every run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	sequenceGroups = 4
	sequenceSlots  = 2
	accounts       = 3
)

// operation is one step of a random sequence; Kind decides which fields are used.
type operation struct {
	Kind     int
	Pause    time.Duration
	Pick     int
	Account  int
	Worth    int
	Size     int
	Deadline time.Duration
	Flags    int
	Failed   bool
}

func operations() *rapid.Generator[[]operation] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
		return operation{
			Kind:     rapid.IntRange(0, 9).Draw(t, "kind"),
			Pause:    time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond,
			Pick:     rapid.IntRange(0, 1<<16).Draw(t, "pick"),
			Account:  rapid.IntRange(0, accounts-1).Draw(t, "account"),
			Worth:    rapid.IntRange(0, 2).Draw(t, "worth"),
			Size:     rapid.IntRange(1, 400).Draw(t, "size"),
			Deadline: time.Duration(rapid.IntRange(50, 12000).Draw(t, "deadline")) * time.Millisecond,
			Flags:    rapid.IntRange(0, 1<<(2*sequenceGroups)-1).Draw(t, "flags"),
			Failed:   rapid.IntRange(0, 3).Draw(t, "failed") == 0,
		}
	}), 40, 200)
}

// checker runs a sequence on a Core and checks its actions against a model.
type checker struct {
	core         *Core
	now          time.Time
	view         *domain.View
	nextID       ID
	waiting      map[ID]Request
	running      map[ID]string
	settled      map[ID]bool
	disconnected map[ID]bool
	// failures counts each group's consecutive failures; opened is when the last
	// one opened its circuit.
	failures      map[string]int
	opened        map[string]time.Time
	firstAttempts int
	retries       int
}

func checkSequence(opts Options, ops []operation) error {
	c := &checker{
		core: NewCore(opts), now: epoch, waiting: map[ID]Request{}, running: map[ID]string{}, settled: map[ID]bool{},
		disconnected: map[ID]bool{}, failures: map[string]int{}, opened: map[string]time.Time{},
	}
	if err := c.step(ViewChanged{c.setView(0)}); err != nil {
		return err
	}
	for _, op := range ops {
		c.now = c.now.Add(op.Pause)
		if err := c.execute(op); err != nil {
			return err
		}
	}
	return c.drain()
}

func (c *checker) execute(op operation) error {
	switch {
	case op.Kind < 5:
		return c.submit(op)
	case op.Kind < 7:
		return c.finish(op)
	case op.Kind == 7:
		return c.disconnect(op)
	case op.Kind == 8:
		return c.step(ViewChanged{c.setView(op.Flags)})
	default:
		return c.step(Tick{})
	}
}

func (c *checker) setView(flags int) *domain.View {
	c.view = &domain.View{}
	for i := range sequenceGroups {
		g := testGroup(fmt.Sprintf("g%d", i), sequenceSlots)
		g.Whole = flags>>i&1 == 0
		g.Leaving = flags>>(i+sequenceGroups)&1 == 1 && flags%3 == 0
		c.view.Groups = append(c.view.Groups, g)
	}
	return c.view
}

func (c *checker) submit(op operation) error {
	c.nextID++
	req := Request{
		Route: testRoute(), Worth: op.Worth, Weight: 1 + op.Account, Size: op.Size, Resumable: op.Flags&1 == 0,
		Deadline: c.now.Add(op.Deadline),
		Request:  routing.Request{Account: fmt.Sprint("account", op.Account), Class: "caption", Service: "captioner"},
	}
	if op.Flags&8 == 8 {
		// A second queue for the same groups.
		req.Route.Spec.Groups = "use=captions"
	}
	if op.Flags&48 == 48 {
		// The client has a part of the answer.
		req.Resumed = 1 + op.Size/2
	}
	if op.Flags&6 == 6 {
		req.Exclude = []string{fmt.Sprintf("g%d", op.Pick%sequenceGroups)}
	} else if req.Resumed == 0 {
		c.firstAttempts++
	}
	c.waiting[c.nextID] = req
	return c.step(Submit{ID: c.nextID, Request: req})
}

func (c *checker) finish(op operation) error {
	id, ok := pickID(c.running, op.Pick)
	if !ok {
		return nil
	}
	c.recordEnd(id, op.Failed)
	return c.step(Finish{ID: id, Report: Report{Failed: op.Failed, Tokens: op.Size, Duration: time.Duration(op.Size) * 10 * time.Millisecond}})
}

func (c *checker) recordEnd(id ID, failed bool) {
	group := c.running[id]
	delete(c.running, id)
	if !failed {
		c.failures[group] = 0
		delete(c.opened, group)
		return
	}
	c.failures[group]++
	if c.failures[group] >= 3 {
		c.opened[group] = c.now
	}
}

func (c *checker) disconnect(op operation) error {
	id, ok := pickID(c.waiting, op.Pick)
	if !ok {
		return nil
	}
	delete(c.waiting, id)
	c.disconnected[id] = true
	return c.step(Disconnect{id})
}

// pickID returns one of the identifiers, deterministically for each pick.
func pickID[V any](candidates map[ID]V, pick int) (ID, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	var least ID
	for id := range candidates {
		if least == 0 || id < least {
			least = id
		}
	}
	for offset := ID(pick % 8); ; offset-- {
		if _, ok := candidates[least+offset]; ok {
			return least + offset, true
		}
	}
}

func (c *checker) step(event Event) error {
	for _, action := range c.core.Step(c.now, event) {
		if err := c.checkAction(action); err != nil {
			return fmt.Errorf("after %T%+v: %w", event, event, err)
		}
	}
	return c.checkInvariants()
}

func (c *checker) checkAction(action Action) error {
	switch a := action.(type) {
	case Start:
		return c.recordStart(a)
	case Refuse:
		if req := c.waiting[a.ID]; req.Resumed > 0 && len(req.Exclude) == 0 && c.now.Before(req.Deadline) {
			return fmt.Errorf("request %d was refused before its deadline though its answer has begun", a.ID)
		}
		return c.recordOutcome(a.ID)
	case Preempt:
		if _, ok := c.running[a.ID]; !ok {
			return fmt.Errorf("preempted %d, which is not running", a.ID)
		}
	}
	return nil
}

func (c *checker) recordOutcome(id ID) error {
	if c.settled[id] || c.disconnected[id] {
		return fmt.Errorf("request %d got an outcome after it was settled or its client disconnected", id)
	}
	c.settled[id] = true
	delete(c.waiting, id)
	return nil
}

func (c *checker) recordStart(a Start) error {
	req := c.waiting[a.ID]
	if err := c.recordOutcome(a.ID); err != nil {
		return err
	}
	if len(req.Exclude) > 0 && req.Resumed == 0 {
		c.retries++
	}
	c.running[a.ID] = a.Group.Name
	return c.checkStart(a.Group.Name)
}

// checkStart returns an error if starting a request on the group was not allowed.
func (c *checker) checkStart(name string) error {
	for _, g := range c.view.Groups {
		if g.Name == name && (!g.Whole || g.Leaving) {
			return fmt.Errorf("started on %s, which is whole=%t leaving=%t", name, g.Whole, g.Leaving)
		}
	}
	if c.failures[name] >= 3 && c.now.Sub(c.opened[name]) < time.Second {
		return fmt.Errorf("started on %s, whose circuit is open", name)
	}
	runningOnGroup := 0
	for _, group := range c.running {
		if group == name {
			runningOnGroup++
		}
	}
	if runningOnGroup > sequenceSlots {
		return fmt.Errorf("%s runs %d requests in %d slots", name, runningOnGroup, sequenceSlots)
	}
	return nil
}

func (c *checker) checkInvariants() error {
	if c.core.Waiting() != len(c.waiting) {
		return fmt.Errorf("the core has %d waiting requests, the model %d", c.core.Waiting(), len(c.waiting))
	}
	if 10*c.retries > c.firstAttempts {
		return fmt.Errorf("%d retries for %d first attempts", c.retries, c.firstAttempts)
	}
	for _, p := range c.core.pools {
		for _, long := range []bool{false, true} {
			if head := p.queue.Head(long); head != nil {
				if err := c.checkHead(c.core.jobs[ID(head.ID)]); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// checkHead returns an error if the head of a queue waits although a group is free,
// or although it could not meet its deadline; one whose answer has begun may, whatever the
// estimate. While a circuit is open, its probe
// may start only with the next event.
func (c *checker) checkHead(j *job) error {
	timeLeft := j.request.Deadline.Sub(c.now)
	tooLate := c.core.estimate(c.now, j, 0).service > timeLeft
	if j.request.Resumed > 0 {
		tooLate = timeLeft <= 0
	}
	if tooLate && c.now.Equal(j.submitted) {
		return fmt.Errorf("request %d waits and cannot meet its deadline", j.id)
	}
	if c.core.table.Pick(c.now, &j.pickRequest) != nil && c.core.hasCapacityForLong(c.now, j.pool) && len(c.opened) == 0 {
		return fmt.Errorf("request %d waits while a group is free", j.id)
	}
	return nil
}

// drain ends all requests and checks that each of them got an outcome.
func (c *checker) drain() error {
	if err := c.step(ViewChanged{c.setView(0)}); err != nil {
		return err
	}
	for range 10 * (len(c.waiting) + len(c.running) + 1) {
		c.now = c.now.Add(time.Second)
		if id, ok := pickID(c.running, 0); ok {
			c.recordEnd(id, false)
			if err := c.step(Finish{ID: id, Report: Report{Tokens: 1, Duration: 10 * time.Millisecond}}); err != nil {
				return err
			}
		}
		if err := c.step(Tick{}); err != nil {
			return err
		}
	}
	if len(c.waiting) > 0 {
		return fmt.Errorf("%d requests never got an outcome", len(c.waiting))
	}
	return nil
}

func sequenceOptions(faults injectedFaults) Options {
	return Options{
		FailureDomain: "fd-a", Rand: rand.New(rand.NewPCG(3, 4)), QueueLimit: 6, ShortRequestPolicy: DefaultShortRequestPolicy, faults: faults,
	}
}

func TestSequencesKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		require.NoError(t, checkSequence(sequenceOptions(injectedFaults{}), operations().Draw(t, "operations")))
	})
}

// TestSequencesDetectInjectedFaults checks that the checker detects each fault.
func TestSequencesDetectInjectedFaults(t *testing.T) {
	cases := map[string]injectedFaults{
		"dispatch to groups that are not whole": {useBrokenGroups: true},
		"slots ignored":                         {overcommit: true},
		"disconnected client stays queued":      {ignoreDisconnects: true},
		"infeasible requests kept":              {keepInfeasible: true},
		"freed slot stays idle":                 {leaveSlotsIdle: true},
		"retries without budget":                {unlimitedRetries: true},
		"circuits stay closed":                  {noCircuitBreaker: true},
	}
	generator := operations()
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			var err error
			for seed := 0; seed < 100 && err == nil; seed++ {
				err = checkSequence(sequenceOptions(faults), generator.Example(seed))
			}
			assert.Error(t, err)
			t.Log(err)
		})
	}
}
