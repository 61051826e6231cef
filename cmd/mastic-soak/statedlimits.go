package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// An upstream states a limit in this range, in requests a second, for a time in the range below. Its share of the
	// callers' requests is 25 a second.
	minStatedLimit = 2
	maxStatedLimit = 8
	minLimitTime   = 5 * time.Second
	maxLimitTime   = 9 * time.Second
	// limitNoticeTime is the time from the first statement after which the limit must hold over all entries.
	limitNoticeTime = 3 * time.Second
	// In each span of limitWindow an upstream may get limitFactor times what its limit allows, and limitSurplus.
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSurplus = 5
)

// statedLimit is the limit that an upstream states in its answers, and the requests that reach it meanwhile.
type statedLimit struct {
	mu sync.Mutex
	// limit is in requests a second; 0 states none.
	limit float64
	// statedAt is when an answer first stated it.
	statedAt time.Time
	arrivals []time.Time
	found    []string
}

func (s *statedLimit) begin(limit float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.statedAt, s.arrivals = limit, time.Time{}, nil
}

// apply counts a request and states the limit in its answer.
func (s *statedLimit) apply(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == 0 {
		return
	}
	now := time.Now()
	if s.statedAt.IsZero() {
		s.statedAt = now
	}
	s.arrivals = append(s.arrivals, now)
	w.Header().Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', 1, 64))
}

// end ends the statement and checks what arrived.
func (s *statedLimit) end(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	allowed := int(limitFactor*limitWindow.Seconds()*s.limit + limitSurplus)
	first := 0
	for last, at := range s.arrivals {
		for s.arrivals[first].Before(s.statedAt.Add(limitNoticeTime)) && first < last || at.Sub(s.arrivals[first]) > limitWindow {
			first++
		}
		if n := last - first + 1; n > allowed {
			s.found = append(s.found, fmt.Sprintf("%s stated a limit of %.1f requests a second and got %d in %s, %s after that; %d are allowed",
				name, s.limit, n, at.Sub(s.arrivals[first]), at.Sub(s.statedAt), allowed))
			break
		}
	}
	s.limit = 0
}

func (s *statedLimit) violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found
}

// runLimits has upstreams of the plain service state limits, one after another or together, until a time.
func (c *concurrentFaults) runLimits(seed uint64, until time.Time) {
	var all sync.WaitGroup
	for i, u := range c.service.upstreams {
		random := randomSource(seed, fmt.Sprintf("limits %d", i))
		all.Go(func() { u.stateLimits(random, until) })
	}
	all.Wait()
}

func (u *upstream) stateLimits(random *rand.Rand, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		u.limit.begin(minStatedLimit + (maxStatedLimit-minStatedLimit)*random.Float64())
		time.Sleep(min(time.Until(until), minLimitTime+time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime)))))
		u.limit.end(u.instance())
	}
}

// limitViolations returns the limits that were exceeded.
func (s *plainService) limitViolations() []string {
	var found []string
	for _, u := range s.upstreams {
		found = append(found, u.limit.violations()...)
	}
	return found
}
