package gateway

import (
	"sync"
	"time"

	"github.com/masticmount/masticmount/pkg/domain"
	"github.com/masticmount/masticmount/pkg/fault"
	"github.com/masticmount/masticmount/pkg/gateway/attempt"
	"github.com/masticmount/masticmount/pkg/routing"
	"github.com/masticmount/masticmount/pkg/scheduling"
)

// avoidTime is how long after a crash other requests avoid the group for suspects.
const avoidTime = 10 * time.Second

// isolationOf returns the channel that is full while a suspect of a route is in flight.
func (w *crashWatch) isolationOf(route string) chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isolated[route] == nil {
		w.isolated[route] = make(chan struct{}, 1)
	}
	return w.isolated[route]
}

// isolateSuspect refuses a request whose content is quarantined or held. A suspect, under which an
// upstream of a plain service ended since its last success, waits for other suspects of its route
// and then gets only the group that Isolate spares for it; end is called when it leaves that group.
// Other requests pass, and end is nil; for some time after a crash they avoid that group.
func (s *session) isolateSuspect(request *scheduling.Request) (end func(), refusal attempt.Event) {
	if !s.awaitVerdict() {
		return nil, s.waitEnded()
	}
	if !s.isSuspect() {
		s.avoidSuspects(request)
		return nil, s.refusedForContent()
	}
	isolation := s.g.crashes.isolationOf(s.req.route.Name)
	timeout := time.NewTimer(time.Until(s.req.deadline))
	defer timeout.Stop()
	select {
	case isolation <- struct{}{}:
	case <-timeout.C:
		return nil, s.waitEnded()
	case <-s.ctx.Done():
		return nil, s.waitEnded()
	}
	end = sync.OnceFunc(func() { <-isolation })
	// What was known may have changed in the meantime.
	refusal = s.refusedForContent()
	if refusal == nil && s.isSuspect() {
		if request.Only, refusal = s.spareGroup(request.Request); refusal == nil {
			return end, nil
		}
	}
	end()
	return nil, refusal
}

// isSuspect reports whether an upstream ended under the request since its last success. Requests to
// engines are not isolated: their broken streams would have to wait for each other.
func (s *session) isSuspect() bool {
	_, suspect := s.g.opts.Evidence.Suspect(s.req.contents[0])
	return suspect && s.req.chat == nil
}

// spareGroup returns the only group that a suspect may go to.
func (s *session) spareGroup(request routing.Request) (group string, refusal attempt.Event) {
	finding, _ := s.g.opts.Evidence.Suspect(s.req.contents[0])
	if spared, spare := routing.Isolate(s.g.opts.View(), s.req.route, request, s.g.crashes.hasEnded, finding.Upstreams); spare {
		return spared.Name, nil
	}
	s.finding = &finding
	s.g.crashes.metrics.Add("requests.suspects_refused", 1)
	return "", attempt.SlotRefused{Err: fault.New(fault.RequestSuspected, "retry after the time in Retry-After",
		"%d upstreams crashed while this request ran, and no other can be spared for it", len(finding.Upstreams)).WithRetryAfter(fault.MinRetryAfter)}
}

// hasEnded reports whether the upstream of a group is known to have ended.
func (w *crashWatch) hasEnded(g *domain.Group) bool {
	return w.store.Crashed(g.Members[0].ID, g.Members[0].Incarnation)
}

// avoidSuspects has a request to a plain service avoid the group for suspects.
func (s *session) avoidSuspects(request *scheduling.Request) {
	if s.req.chat != nil || !s.g.opts.Evidence.CrashedWithin(avoidTime) {
		return
	}
	if group, _ := routing.Isolate(s.g.opts.View(), s.req.route, request.Request, s.g.crashes.hasEnded, nil); group != nil {
		request.Avoid = group.Name
	}
}

// mayCrash reports whether the content of the request is quarantined, or an upstream ended under it
// since its last success. It may be called by any goroutine.
func (s *session) mayCrash() bool {
	if _, quarantined := s.g.opts.Evidence.Check(s.req.contents); quarantined {
		return true
	}
	_, suspect := s.g.opts.Evidence.Suspect(s.req.contents[0])
	return suspect
}

// awaitVerdict waits until it is known whether the upstreams of the last attempts ended; false if the
// request ends before.
func (s *session) awaitVerdict() bool {
	timeout := time.NewTimer(time.Until(s.req.deadline))
	defer timeout.Stop()
	for _, verdict := range s.verdicts {
		select {
		case <-verdict:
		case <-timeout.C:
			return false
		case <-s.ctx.Done():
			return false
		}
	}
	s.verdicts = nil
	return true
}

// waitEnded returns the event of a request that ended while it waited to be sent.
func (s *session) waitEnded() attempt.Event {
	if s.disconnected() {
		return attempt.ClientDisconnected{}
	}
	if s.stopping() {
		return attempt.SlotRefused{Err: stoppingError()}
	}
	return attempt.SlotRefused{Err: fault.New(fault.DeadlinePassed, "retry, or allow more time", "the deadline passed before the request was sent again")}
}
