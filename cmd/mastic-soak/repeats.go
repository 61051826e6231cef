package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// The bound on the arrivals beyond the first of each request at a service: in any window, one in repeatsOneIn of the
	// requests for it and repeatSlack.
	repeatWindow = 10 * time.Second
	repeatsOneIn = 5
	repeatSlack  = 105
)

// repeatMargin is the window in which the repeats come nearest to the bound, or exceed it the most.
type repeatMargin struct {
	repeats, requests int
	// excess is the repeats less what is allowed, times repeatsOneIn, so that it is exact; negative within the bound.
	excess int
}

func (m repeatMargin) String() string {
	return fmt.Sprintf("%d repeats beside %d requests, %+.1f", m.repeats, m.requests, float64(m.excess)/repeatsOneIn)
}

// worstRepeats returns the worst of all windows, whenever they begin. A window's requests are its own, or those of the
// window before it or the one half a window before it, whichever has most. Times are in ascending order.
func worstRepeats(requests, repeats []time.Duration) repeatMargin {
	worst := repeatMargin{excess: -repeatSlack * repeatsOneIn}
	count := func(times []time.Duration, from time.Duration) int {
		first, _ := slices.BinarySearch(times, from)
		end, _ := slices.BinarySearch(times, from+repeatWindow)
		return end - first
	}
	consider := func(from time.Duration) {
		m := repeatMargin{repeats: count(repeats, from)}
		m.requests = max(count(requests, from), count(requests, from-repeatWindow/2), count(requests, from-repeatWindow))
		if m.excess = repeatsOneIn*(m.repeats-repeatSlack) - m.requests; m.excess > worst.excess {
			worst = m
		}
	}
	// Counts change only where an event enters or leaves one of the three windows.
	for _, at := range slices.Concat(requests, repeats) {
		for half := time.Duration(-2); half <= 2; half++ {
			consider(at + half*repeatWindow/2)
			consider(at + half*repeatWindow/2 + 1)
		}
	}
	return worst
}

// serviceRequest is a request as its service sees it; IDs are unique in a service.
type serviceRequest struct{ service, id string }

// repeatLedger records what callers sent and what reached upstreams, whether these executed or refused it.
type repeatLedger struct {
	began    time.Time
	mu       sync.Mutex
	requests map[string][]time.Duration
	repeats  map[string][]time.Duration
	// unsent counts, by request, how many more arrivals than requests there are; it is below zero until the first arrival.
	unsent map[serviceRequest]int
	// unknown are the arrivals of which no caller sent the request.
	unknown []serviceRequest
}

func newRepeatLedger() *repeatLedger {
	return &repeatLedger{began: time.Now(), requests: map[string][]time.Duration{}, repeats: map[string][]time.Duration{}, unsent: map[serviceRequest]int{}}
}

// send records a request before a caller sends it; whether it reaches an entry doesn't matter.
func (l *repeatLedger) send(service, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[service] = append(l.requests[service], time.Since(l.began))
	l.unsent[serviceRequest{service, id}]--
}

// arrive records that a request has reached an upstream. A nil ledger records nothing.
func (l *repeatLedger) arrive(service, id string) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := serviceRequest{service, id}
	if _, sent := l.unsent[r]; !sent {
		l.unknown = append(l.unknown, r)
		return
	}
	if l.unsent[r]++; l.unsent[r] > 0 {
		l.repeats[service] = append(l.repeats[service], time.Since(l.began))
	}
}

// check returns the services whose repeats exceed the bound, the arrivals that can't be ascribed, and the margins of all
// services.
func (l *repeatLedger) check() (violations []string, margins string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var text []string
	for _, service := range slices.Sorted(maps.Keys(l.requests)) {
		m := worstRepeats(l.requests[service], l.repeats[service])
		text = append(text, fmt.Sprintf("%s %d of %d repeated, worst window %s", service, len(l.repeats[service]), len(l.requests[service]), m))
		if m.excess > 0 {
			violations = append(violations, fmt.Sprintf("service %s got more repeats in %s than are allowed: %s", service, repeatWindow, m))
		}
	}
	if len(l.unknown) > 0 {
		violations = append(violations, fmt.Sprintf("%d arrivals at upstreams can't be ascribed to a request, the first %v", len(l.unknown), l.unknown[0]))
	}
	return violations, strings.Join(text, "; ")
}

// serviceOf returns the service of a path; empty if no route has it.
func serviceOf(path string) string {
	if kind := kindOf(path); kind != nil {
		return kind.service
	}
	switch "/" + strings.Split(path, "/")[1] + "/" {
	case "/grant/", "/lookup/", keyedPath, "/added/":
		return deskService
	case bookingPath, quotePath:
		return kioskService
	}
	return ""
}
