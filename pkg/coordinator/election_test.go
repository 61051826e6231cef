package coordinator

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/masticmount/masticmount/internal/faultinject"
)

const simStep = 10 * time.Millisecond

// simulation simulates the machines of one failure domain in memory. Each node has
// a clock with its own rate, and can be paused, killed and partitioned in each
// direction.
type simulation struct {
	now      time.Time
	voters   []string
	nodes    map[string]*simNode
	blocked  map[[2]string]bool
	inFlight []delivery
	// delay returns the delay of a message, or false if the message is lost.
	delay        func(from, to string) (time.Duration, bool)
	injected     faultinject.Faults
	events       []string
	highestFence uint64
	// violation is the first violated invariant, or empty.
	violation string
}

type simNode struct {
	machine     *Machine
	incarnation uint64
	up          bool
	paused      bool
	// rate is the clock's rate, in parts per thousand of true time.
	rate  int64
	clock time.Time
}

type delivery struct {
	at       time.Time
	from, to string
	message  any
}

var epoch = time.Unix(1_000_000, 0).UTC()

func newSimulation(voters []string) *simulation {
	s := &simulation{now: epoch, voters: voters, nodes: map[string]*simNode{}, blocked: map[[2]string]bool{}}
	s.delay = func(string, string) (time.Duration, bool) { return simStep, true }
	for _, name := range voters {
		s.nodes[name] = &simNode{rate: 1000}
	}
	return s
}

func (s *simulation) start(name string) {
	n := s.nodes[name]
	n.incarnation++
	n.up, n.paused = true, false
	n.clock = epoch.Add(time.Duration(n.incarnation) * time.Hour)
	n.machine = New(n.clock, Options{
		Domain: "fd-a", Self: Holder{Node: name, Incarnation: n.incarnation},
		Voters: s.voters, Candidate: true, InjectedFaults: s.injected,
	})
}

func (s *simulation) running(name string) bool { return s.nodes[name].up && !s.nodes[name].paused }

func (s *simulation) step(name string, event Event) {
	n := s.nodes[name]
	for _, action := range n.machine.Step(n.clock, event) {
		switch a := action.(type) {
		case Send:
			s.send(name, a)
		case Acquired:
			s.recordEvent(name, fmt.Sprintf("acquired fence=%d", a.Fence))
			s.checkFence(name, a.Fence)
		case Lost:
			s.recordEvent(name, "lost: "+a.Reason)
		}
	}
}

func (s *simulation) send(from string, a Send) {
	delay, ok := s.delay(from, a.To)
	if !ok || s.blocked[[2]string{from, a.To}] {
		return
	}
	s.inFlight = append(s.inFlight, delivery{at: s.now.Add(delay), from: from, to: a.To, message: a.Message})
}

func (s *simulation) recordEvent(name, event string) {
	s.events = append(s.events, fmt.Sprintf("%6dms %s %s", s.now.Sub(epoch).Milliseconds(), name, event))
}

// announceFence reports to every entry the highest fencing number that engines
// hold, as engine announcements do.
func (s *simulation) announceFence() {
	if s.highestFence == 0 || s.now.Sub(epoch)%(500*time.Millisecond) != 0 {
		return
	}
	for _, name := range s.voters {
		if s.running(name) {
			s.step(name, FenceSeen{Fence: s.highestFence})
		}
	}
}

// checkFence checks that fencing numbers strictly increase.
func (s *simulation) checkFence(name string, fence uint64) {
	if fence <= s.highestFence && s.violation == "" {
		s.violation = fmt.Sprintf("fencing number of %s is %d, but %d was already used", name, fence, s.highestFence)
	}
	s.highestFence = max(s.highestFence, fence)
}

func (s *simulation) advance(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until); {
		s.now = s.now.Add(simStep)
		for _, name := range s.voters {
			n := s.nodes[name]
			n.clock = n.clock.Add(simStep * time.Duration(n.rate) / 1000)
		}
		s.deliver()
		s.announceFence()
		for _, name := range s.voters {
			if s.running(name) {
				s.step(name, Tick{})
			}
		}
		s.checkCoordinators()
	}
}

func (s *simulation) deliver() {
	due := s.inFlight
	s.inFlight = nil
	for _, d := range due {
		if d.at.After(s.now) || s.nodes[d.to].paused {
			s.inFlight = append(s.inFlight, d)
			continue
		}
		if s.nodes[d.to].up && !s.blocked[[2]string{d.from, d.to}] {
			s.step(d.to, Received{Message: d.message})
		}
	}
}

// coordinators returns the nodes that may send orders now. It includes paused
// nodes, because a process can be paused between checking its lease and sending
// an order.
func (s *simulation) coordinators() []string {
	return slices.DeleteFunc(slices.Clone(s.voters), func(name string) bool {
		n := s.nodes[name]
		if !n.up {
			return true
		}
		_, _, ok := n.machine.Lease(n.clock)
		return !ok
	})
}

func (s *simulation) checkCoordinators() {
	if now := s.coordinators(); len(now) > 1 && s.violation == "" {
		s.violation = fmt.Sprintf("%v are coordinators at the same time, at %v", now, s.now.Sub(epoch))
	}
}

func (s *simulation) drainEvents() string {
	if s.violation != "" {
		s.events = append(s.events, "FAULT "+s.violation)
	}
	defer func() { s.events = nil }()
	if len(s.events) == 0 {
		return "nothing\n"
	}
	return strings.Join(s.events, "\n") + "\n"
}
