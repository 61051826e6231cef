package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// applyTime is the time within which an acknowledged change is in force, revokeTime that for a key that was taken away:
	// config_apply_ms and revoke_ms of the settings.
	applyTime, revokeTime = 2 * time.Second, 5 * time.Second
	// livedVersions is the number of versions that have a route and a key which one of them added.
	livedVersions = 16
	// probeInterval is the time between two probes of an entry.
	probeInterval = 40 * time.Millisecond
	keyedPath     = "/keyed/"
	wrongPath     = "/wrong/"
	// Added routes must be served at least one in servedOneIn times as often as others, of minProbes or more.
	servedOneIn, minProbes = 4, 20
)

func addedPath(version uint64) string { return fmt.Sprintf("/added/%d/", version) }
func addedKey(version uint64) string  { return fmt.Sprintf("added-key-%d", version) }

// wrongKinds are the ways in which documents are wrong, as a text and its replacement. An empty text stands for a document
// with the acknowledged version and other content.
var wrongKinds = []struct{ from, to string }{
	{"", ""},
	{`"service":"desk"`, `"service":"nobody"`},
	{`"timeout_ms":1500`, `"timeout_ms":0`},
	{wrongPath, "/grant/"},
	{`"limits":{`, `"limits":`},
	{accountKey(crashingAccount), accountKey(otherAccount)},
	{`"kind":"idempotent"`, `"kind":""`},
}

// configChecks probe at each entry which version of the configuration is in force there.
type configChecks struct {
	region   *region
	operator *operator
	sent     atomic.Int64
	mu       sync.Mutex
	// probes and served count the probes of routes by their kind, refused the refusals with 503.
	probes, served map[string]int
	refused        int
	found          []string
}

// configProbe is a request that an entry has to decide by a version which is known to be in force, or gone.
type configProbe struct {
	kind, path, key string
	// version is the one that the probe is about.
	version uint64
	// denies is the status that only an older version gives, serves is true if only an older version serves the request.
	denies int
	serves bool
}

// draw returns the probe of a turn. Versions that were never acknowledged may be in force or not.
func (c *configChecks) draw(turn int, now time.Time) configProbe {
	applied, revoked := c.operator.acknowledgedBefore(now.Add(-applyTime)), c.operator.acknowledgedBefore(now.Add(-revokeTime))
	switch turn % 5 {
	case 0:
		return configProbe{kind: "other routes", path: "/lookup/x"}
	case 1:
		return configProbe{kind: "added routes", path: addedPath(applied) + "x", version: applied, denies: http.StatusNotFound}
	case 2:
		return configProbe{kind: "added keys", path: keyedPath + "x", key: addedKey(applied), version: applied, denies: http.StatusUnauthorized}
	case 3:
		gone := revoked - min(revoked, livedVersions)
		return configProbe{kind: "revoked keys", path: keyedPath + "x", key: addedKey(gone), version: gone, serves: true}
	default:
		return configProbe{kind: "wrong documents", path: wrongPath + "x", serves: true}
	}
}

// run probes all entries while active returns true.
func (c *configChecks) run(active func() bool) {
	var all sync.WaitGroup
	for _, entry := range c.region.entries {
		all.Go(func() {
			for turn := 0; active(); turn++ {
				c.probe(entry, c.draw(turn, time.Now()))
				time.Sleep(probeInterval)
			}
		})
	}
	all.Wait()
}

// probe sends a probe to an entry and returns the status; 0 without an answer.
func (c *configChecks) probe(entry *node, p configProbe) int {
	if p.version == 0 && p.kind != "other routes" && p.kind != "wrong documents" {
		return 0
	}
	id := fmt.Sprintf("config-%d", c.sent.Add(1))
	c.region.repeats.send(deskService, id)
	c.region.handed.send(deskService, id, entry, callTimeout)
	sentAt := time.Now()
	a := sendPlain(&http.Transport{DisableKeepAlives: true}, entry, id, plainRequest{method: http.MethodGet, path: p.path, key: p.key})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probes[p.kind]++
	switch a.status {
	case http.StatusOK:
		c.served[p.kind]++
	case http.StatusServiceUnavailable:
		c.refused++
	}
	// A version that was sent meanwhile may have dropped what was added.
	lives := c.operator.newest() < p.version+livedVersions
	if a.status != 0 && a.status == p.denies && lives || a.status == http.StatusOK && p.serves {
		c.found = append(c.found, fmt.Sprintf("%s: %s answered %d to %s of version %d, sent %s, as an older version says", p.kind, entry.name, a.status, p.path, p.version, sentAt.UTC().Format("15:04:05.000")))
	}
	return a.status
}

// finish waits until each entry serves by the newest acknowledged version, and returns all violations.
func (c *configChecks) finish() []string {
	for i, entry := range c.region.entries {
		end := time.Now().Add(endTimeout)
		version := c.operator.acknowledgedBefore(end)
		for c.probe(entry, configProbe{kind: "at the end", path: addedPath(version) + "x", version: version}) != http.StatusOK {
			if time.Now().After(end) {
				c.found = append(c.found, fmt.Sprintf("entry %d does not serve the route of version %d within %s after the faults", i, version, endTimeout))
				break
			}
			time.Sleep(probeInterval)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kind := range []string{"added routes", "added keys"} {
		if c.probes[kind] >= minProbes && servedOneIn*c.served[kind]*c.probes["other routes"] < c.served["other routes"]*c.probes[kind] {
			c.found = append(c.found, fmt.Sprintf("%s are served %d of %d times, other routes %d of %d times", kind, c.served[kind], c.probes[kind], c.served["other routes"], c.probes["other routes"]))
		}
	}
	return c.found
}

// String returns the counts.
func (c *configChecks) String() string {
	return fmt.Sprintf("probes %v, served %v, %d refused with 503; %d changes acknowledged of %d", c.probes, c.served, c.refused, len(c.operator.acknowledgements), c.operator.version)
}
