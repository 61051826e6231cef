package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	soakHost = "soak.example"
	// The plain services; requests crash upstreams of the second one.
	deskService  = "desk"
	kioskService = "kiosk"
	// changeInterval is the time between two changes of the configuration.
	changeInterval = 400 * time.Millisecond
	// The max_attempts of the routes of plain services, unless a mode has another one, and of streams.
	usualAttempts  = 2
	streamAttempts = 3
	// Of stormEach changes stormLength follow each other at once; after wrongEach changes a wrong document is sent.
	stormEach, stormLength, wrongEach = 20, 6, 3
	// controlTimeout bounds a call to a keeper.
	controlTimeout = 2 * time.Second
)

// operator changes the configuration and checks that acknowledged changes stay visible.
type operator struct {
	region *region
	// mu guards version and acknowledgements.
	mu      sync.Mutex
	version uint64
	// acknowledged is the highest version that a keeper acknowledged, acknowledgements when each was.
	acknowledged     uint64
	acknowledgements []acknowledgement
	sent             map[uint64][]byte
	// found describes the reads that were stale or wrong.
	found []string
	// acknowledgedBy receives the keeper of each acknowledgement that is waited for; nil if none ever is.
	acknowledgedBy chan *node
	// acknowledgedAfter are the times from a change's sending to its acknowledgement.
	acknowledgedAfter []time.Duration
}

// acknowledgement is when a version was acknowledged.
type acknowledgement struct {
	version uint64
	at      time.Time
}

// acknowledgedBefore returns the highest version that was acknowledged before a time; 0 if none was.
func (o *operator) acknowledgedBefore(at time.Time) (version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.acknowledgements {
		if a.at.Before(at) {
			version = max(version, a.version)
		}
	}
	return version
}

// newest returns the highest version that was sent, whether it was acknowledged or not.
func (o *operator) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// document returns the configuration of a version. Each adds a route and a key of its own, and drops those of the version
// livedVersions before.
func document(version uint64, t timing) []byte {
	var keys []string
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": soakHost, "path_prefix": prefix, "kind": kind, "timeout_ms": callTimeout.Milliseconds(),
			"slo_ms": 150, "priority": 1, "service": service, "max_attempts": t.plainAttempts, "public": service == deskService,
		}
	}
	routes := []map[string]any{
		route("grant", "/grant/", "non_idempotent", deskService), route("lookup", "/lookup/", "idempotent", deskService),
		route("booking", bookingPath, "non_idempotent", kioskService), route("quote", quotePath, "idempotent", kioskService),
		route("keyed", keyedPath, "idempotent", deskService),
	}
	routes[len(routes)-1]["public"] = false
	for v := version - min(version, livedVersions-1); v <= version; v++ {
		keys = append(keys, addedKey(v))
		routes = append(routes, route(fmt.Sprint("added-", v), addedPath(v), "idempotent", deskService))
	}
	stream := func(k *streamKind) map[string]any {
		return map[string]any{
			"name": k.name, "host": soakHost, "path_prefix": k.path, "kind": "streaming", "timeout_ms": streamTimeout.Milliseconds(),
			"slo_ms": 500, "target_gap_ms": 400, "priority": 1, "service": k.service, "max_attempts": streamAttempts, "public": true, "resumable": !k.once,
		}
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"services": []map[string]any{
			{"name": deskService, "max_conns": 100},
			{"name": kioskService, "max_conns": 100},
			{"name": engineService, "max_conns": 200},
			{"name": groupService, "max_conns": 200, "engine": engineConfig(t)},
		},
		"routes": append(routes, stream(plainStream), stream(onceStream), stream(pairStream)),
		"tenants": []map[string]any{
			{"name": "changing", "api_keys": keys, "priority": 1},
			{"name": crashingAccount, "api_keys": []string{accountKey(crashingAccount)}, "priority": 1},
			{"name": otherAccount, "api_keys": []string{accountKey(otherAccount)}, "priority": 1},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 10000 + version},
	})
	must(err)
	return data
}

// engineConfig returns the engine section of the service whose engines form groups.
func engineConfig(t timing) map[string]any {
	model := func(name string, size int) map[string]any {
		return map[string]any{"name": name, "size": size, "share": 0.5, "pace": 1, "load_s": loadTime.Seconds(), "warm_s": warmTime.Seconds()}
	}
	return map[string]any{
		"slots": t.slots, "stride": 1, "models": []map[string]any{model(pairModel, 2), model(singleModel, 1)},
		"step_ms": t.step.Milliseconds(), "per_seq_ms": 0.1, "read_per_s": 45000, "loads_per_s": 20, "loads_at_once": 8, "keeps": maxStagedModels,
		"form_ms": openTime.Milliseconds(),
	}
}

// replace sends the next version to a keeper.
func (o *operator) replace(keeper *node) bool {
	o.mu.Lock()
	o.version++
	version := o.version
	o.mu.Unlock()
	if o.sent == nil {
		o.sent = map[uint64][]byte{}
	}
	o.sent[version] = document(version, o.region.timing)
	sentAt := time.Now()
	if !post(&http.Client{Timeout: controlTimeout}, keeper, "config/replace", o.sent[version]) {
		return false
	}
	o.mu.Lock()
	o.acknowledged = version
	o.acknowledgements = append(o.acknowledgements, acknowledgement{version, time.Now()})
	o.mu.Unlock()
	o.acknowledgedAfter = append(o.acknowledgedAfter, time.Since(sentAt))
	select {
	case o.acknowledgedBy <- keeper:
	default:
	}
	return true
}

// post sends a call to a keeper and reports whether it was acknowledged.
func post(client *http.Client, keeper *node, call string, body []byte) bool {
	resp, err := client.Post(fmt.Sprintf("http://%s:%d/api/%s", keeper.ip, controlPort, call), "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// replaceWrongly sends a document that is not valid, or has the acknowledged version and other content. Both have a route
// that must never be served, and the former must not be acknowledged.
func (o *operator) replaceWrongly(turn int, keeper *node) {
	kind, version := wrongKinds[turn%len(wrongKinds)], o.version+1
	if kind.from == "" {
		version = o.acknowledged
	}
	text := bytes.Replace(document(version, o.region.timing), []byte("/lookup/"), []byte(wrongPath), 1)
	acknowledged := post(&http.Client{Timeout: controlTimeout}, keeper, "config/replace", bytes.Replace(text, []byte(kind.from), []byte(kind.to), 1))
	if acknowledged && kind.from != "" {
		o.found = append(o.found, fmt.Sprintf("%s acknowledged a document with %s for %s", keeper.name, kind.to, kind.from))
	}
}

func (o *operator) publishInitial() error {
	if !o.replaceWithin(startTimeout) {
		return fmt.Errorf("no configuration was acknowledged within %s", startTimeout)
	}
	return nil
}

// replaceWithin changes the configuration until a keeper acknowledges it, and reports whether one does within a time.
func (o *operator) replaceWithin(limit time.Duration) bool {
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		if o.replace(o.region.keeperInTurn(i)) {
			return true
		}
		time.Sleep(changeInterval)
	}
	return false
}

// run changes the configuration and reads it back while active returns true; at times many changes follow each other at once.
func (o *operator) run(active func() bool) {
	for i := 0; active(); i++ {
		o.replace(o.region.keeperInTurn(i))
		o.check(o.region.keeperInTurn(i + 1))
		if i%wrongEach == wrongEach-1 {
			o.replaceWrongly(i/wrongEach, o.region.keeperInTurn(i))
		}
		if i%stormEach >= stormLength {
			time.Sleep(changeInterval)
		}
	}
}

// read fetches the configuration from a keeper; it returns nil if the read fails.
func read(keeper *node) []byte {
	client := &http.Client{Timeout: controlTimeout}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/config/read", keeper.ip, controlPort))
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return body
}

// check reads from a keeper and records an answer that is older than an acknowledged
// version or differs from what was sent. It reports whether the keeper answered.
func (o *operator) check(keeper *node) bool {
	before := o.acknowledged
	body := read(keeper)
	if body == nil {
		return false
	}
	var stored struct {
		Version uint64 `json:"version"`
	}
	switch err := json.Unmarshal(body, &stored); {
	case err != nil:
		o.found = append(o.found, fmt.Sprintf("%s answered a read with an invalid document: %v", keeper.name, err))
	case stored.Version < before:
		o.found = append(o.found, fmt.Sprintf("%s answered a read with version %d after %d was acknowledged", keeper.name, stored.Version, before))
	case !bytes.Equal(body, o.sent[stored.Version]):
		o.found = append(o.found, fmt.Sprintf("%s returned a document that differs from the one sent as version %d", keeper.name, stored.Version))
	}
	return true
}

// violations reads from every keeper after the faults and returns all faulty reads.
func (o *operator) violations() []string {
	for _, keeper := range o.region.listedKeepers() {
		answered := false
		for end := time.Now().Add(endTimeout); !answered && time.Now().Before(end); {
			if answered = o.check(keeper); !answered {
				time.Sleep(changeInterval)
			}
		}
		if !answered {
			o.found = append(o.found, keeper.name+" answered no read after the faults")
		}
	}
	return o.found
}
