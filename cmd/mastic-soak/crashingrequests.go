package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	kioskCount = 3
	// Requests with crashingBody of crashingAccount crash each upstream that begins to run them; the same body of
	// another account does not.
	crashingBody    = "crash"
	crashingAccount = "acme"
	otherAccount    = "other"
	bookingPath     = "/booking/"
	quotePath       = "/quote/"
	// kioskRunTime is how long an upstream runs a request; a crash is at its end.
	kioskRunTime = 60 * time.Millisecond
	// kioskDownTime is the time from a crash to the start of the next incarnation.
	kioskDownTime = time.Second
	// crashesToLearn is the number of upstreams that a request may crash before its retries count,
	// maxLateSends the number of retries that may reach upstreams later than contactTime after that.
	crashesToLearn = 3
	maxLateSends   = 3
	// crashingInterval is the time between two requests that crash upstreams, soundInterval between two others.
	// In one of rareSeedStep seeds they come rarely: an upstream is back before the next one, and evidence has time to age.
	crashingInterval     = 150 * time.Millisecond
	rareCrashingInterval = 700 * time.Millisecond
	rareSeedStep         = 3
	soundInterval        = 50 * time.Millisecond
	// soundRetries is how often a caller retries a sound request at once.
	soundRetries = 2
	// lateTime is how long requests are sent once their retries count, learnLimit bounds the time of all.
	lateTime   = 4 * time.Second
	learnLimit = 20 * time.Second
	// kioskServedLimit bounds the wait for the service of each sound request after the crashes.
	kioskServedLimit = 10 * time.Second
)

// accountKey is the key of an account.
func accountKey(account string) string { return "key-of-" + account }

// crashLedger records the requests that crash upstreams, by content: path, account and body.
type crashLedger struct {
	mu sync.Mutex
	// soundServed and soundRefused count the sound requests.
	soundServed, soundRefused int
	// arrivals are when runs began.
	arrivals map[string][]time.Time
	// ended are the incarnations that ended under a content.
	ended map[string]map[string]bool
	// learnable is when the last of crashesToLearn incarnations ended under a content.
	learnable map[string]time.Time
}

func newCrashLedger() *crashLedger {
	return &crashLedger{arrivals: map[string][]time.Time{}, ended: map[string]map[string]bool{}, learnable: map[string]time.Time{}}
}

func (l *crashLedger) recordArrival(now time.Time, content string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[content] = append(l.arrivals[content], now)
}

func (l *crashLedger) recordEnd(now time.Time, content, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended[content] == nil {
		l.ended[content] = map[string]bool{}
	}
	if l.ended[content][instance] = true; len(l.ended[content]) == crashesToLearn && l.learnable[content].IsZero() {
		l.learnable[content] = now
	}
}

func (l *crashLedger) countSound(served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if served {
		l.soundServed++
	} else {
		l.soundRefused++
	}
}

// countsFrom returns when the retries of a content begin to count, if the nodes are undisturbed since a time.
func (l *crashLedger) countsFrom(content string, calmSince time.Time) (from time.Time, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = l.learnable[content]
	known = !from.IsZero()
	if calmSince.After(from) {
		from = calmSince
	}
	return from.Add(contactTime), known
}

// violations returns the contents that reached upstreams too often after they had crashed enough of them.
func (l *crashLedger) violations(contents []string, calmSince time.Time) []string {
	var found []string
	for _, content := range contents {
		from, known := l.countsFrom(content, calmSince)
		if !known {
			continue
		}
		l.mu.Lock()
		late, all, ended := 0, len(l.arrivals[content]), len(l.ended[content])
		for _, at := range l.arrivals[content] {
			if at.After(from) {
				late++
			}
		}
		l.mu.Unlock()
		if late > maxLateSends {
			found = append(found, fmt.Sprintf("request %s, under which %d upstreams had ended, was sent to upstreams %d times later than %s after that; %d times in all, %d ended",
				content, crashesToLearn, late, contactTime, all, ended))
		}
	}
	return found
}

// serveOrCrash runs a request. A request that crashes upstreams ends the incarnation and breaks all requests that
// it runs.
func (u *upstream) serveOrCrash(w http.ResponseWriter, req *http.Request, instance string) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s, id := u.service, req.Header.Get("X-Request-Id")
	crashes := string(body) == crashingBody && req.Header.Get("X-Tenant") == crashingAccount
	content := req.URL.Path + " " + req.Header.Get("X-Tenant") + " " + string(body)
	if crashes {
		s.crashing.recordArrival(time.Now(), content)
	}
	s.recordRun(id, crashes)
	time.Sleep(kioskRunTime)
	if crashes {
		u.crash(instance)
		s.crashing.recordEnd(time.Now(), content, instance)
		panic(http.ErrAbortHandler)
	}
	// The error is ignored: the client may have disconnected.
	_, _ = fmt.Fprintf(w, "ran %s", id)
	_ = http.NewResponseController(w).Flush()
	if u.hasEnded(instance) {
		s.recordBroken(id)
	}
}

// crash ends an incarnation if it has not ended: its connections break, and nothing listens at its address for
// kioskDownTime.
func (u *upstream) crash(instance string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isDown || u.instanceLocked() != instance {
		return
	}
	u.isDown = true
	_ = u.server.Close()
	time.AfterFunc(kioskDownTime, u.start)
}

func (u *upstream) hasEnded(instance string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.isDown || u.instanceLocked() != instance
}

// recordBroken records that the connection of a run broke.
func (s *plainService) recordBroken(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken[id]++
}

// crashingRequests are the requests that crash upstreams.
func crashingRequests() []plainRequest {
	return []plainRequest{kioskRequest(quotePath, crashingAccount, crashingBody), kioskRequest(bookingPath, crashingAccount, crashingBody)}
}

// soundRequests are requests beside them: of the same account, and with the same body of another one.
func soundRequests() []plainRequest {
	var all []plainRequest
	for _, path := range []string{quotePath, bookingPath} {
		all = append(all, kioskRequest(path, crashingAccount, "sound"), kioskRequest(path, crashingAccount, "also sound"), kioskRequest(path, otherAccount, crashingBody))
	}
	return all
}

func kioskRequest(path, account, body string) plainRequest {
	return plainRequest{method: http.MethodPost, path: path + "x", key: accountKey(account), body: body, runOnce: path == bookingPath}
}

// content is how the ledger names the request.
func (r plainRequest) content() string {
	return r.path + " " + strings.TrimPrefix(r.key, accountKey("")) + " " + r.body
}

func contents(requests []plainRequest) []string {
	var all []string
	for _, r := range requests {
		all = append(all, r.content())
	}
	return all
}

// kioskCallers send requests that crash upstreams again and again, and sound ones beside them.
type kioskCallers struct {
	callers
	service *plainService
	// interval is the time between two requests that crash upstreams.
	interval time.Duration
	found    []string
}

// crashingIntervalOf returns the interval in a seed.
func crashingIntervalOf(seed uint64) time.Duration {
	if seed%rareSeedStep == 0 {
		return rareCrashingInterval
	}
	return crashingInterval
}

// run sends requests to the entries in rotation until done reports true.
func (c *kioskCallers) run(done func() bool) {
	var calls sync.WaitGroup
	repeat := func(interval time.Duration, send func(i int)) {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; !done(); i++ {
			<-tick.C
			calls.Go(func() { send(i) })
		}
	}
	crashing, sound := crashingRequests(), soundRequests()
	calls.Go(func() {
		repeat(c.interval, func(i int) { c.sendNext(crashing[i%len(crashing)]) })
	})
	calls.Go(func() { repeat(soundInterval, func(i int) { c.sendSound(sound[i%len(sound)]) }) })
	calls.Wait()
}

// runBesideFaults sends requests while faults are injected, in the seeds in which no prompts crash engines.
func (c *kioskCallers) runBesideFaults(seed uint64, until time.Time) {
	if seed%crashSeedStep != 0 {
		c.run(func() bool { return time.Now().After(until) })
	}
}

// sendSound sends a sound request, and again at once to the next entry while it is not served.
func (c *kioskCallers) sendSound(r plainRequest) {
	for range 1 + soundRetries {
		if c.checkSound(r, c.sendNext(r)) {
			return
		}
	}
}

// sendNext sends a request to the next entry.
func (c *kioskCallers) sendNext(r plainRequest) answer {
	number := c.nextNumber()
	return c.send(r, number, number)
}

// checkSound reports whether a sound request was served, and records a violation if it was rejected for good.
func (c *kioskCallers) checkSound(r plainRequest, a answer) bool {
	served := a.status == http.StatusOK
	c.service.crashing.countSound(served)
	if a.status >= http.StatusBadRequest && a.status < http.StatusInternalServerError && !a.saysNotExecuted() {
		c.report(fmt.Sprintf("sound request %s was answered %d by %s", r.content(), a.status, &a.exchange))
	}
	return served
}

func (c *kioskCallers) report(violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.found = append(c.found, violation)
}

// counts describes what reached upstreams, for information.
func (l *crashLedger) counts() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrivals, ended := 0, map[string]bool{}
	for content, at := range l.arrivals {
		arrivals += len(at)
		for instance := range l.ended[content] {
			ended[instance] = true
		}
	}
	return fmt.Sprintf("crashing requests: %d reached upstreams, %d ended; sound beside them: %d served, %d not", arrivals, len(ended), l.soundServed, l.soundRefused)
}

// check sends requests to undisturbed nodes until some time after the retries of all that crash upstreams count,
// and returns the violations.
func (c *kioskCallers) check() []string {
	calmSince, crashing, ledger := time.Now(), contents(crashingRequests()), c.service.crashing
	c.run(func() bool {
		now := time.Now()
		return now.Sub(calmSince) > learnLimit || !slices.ContainsFunc(crashing, func(content string) bool {
			from, known := ledger.countsFrom(content, calmSince)
			return !known || now.Before(from.Add(lateTime))
		})
	})
	for _, r := range soundRequests() {
		for i, entry := range c.region.entries {
			served := false
			for end := time.Now().Add(kioskServedLimit); !served && time.Now().Before(end); {
				if served = c.checkSound(r, c.send(r, c.nextNumber(), i)); !served {
					time.Sleep(soundInterval)
				}
			}
			if !served {
				c.report(fmt.Sprintf("sound request %s was not served by %s for %s after the crashes", r.content(), entry.name, kioskServedLimit))
			}
		}
	}
	answers := c.answers()
	c.found = append(c.found, ledger.violations(crashing, calmSince)...)
	c.found = append(c.found, c.service.violations(answers)...)
	return append(c.found, c.service.givenUp(answers)...)
}
