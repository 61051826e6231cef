package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
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
	// controlTimeout bounds a call to a keeper.
	controlTimeout = 2 * time.Second
)

// operator changes the configuration and checks that acknowledged changes stay visible.
type operator struct {
	region  *region
	version uint64
	// acknowledged is the highest version that a keeper acknowledged.
	acknowledged uint64
	sent         map[uint64][]byte
	// found describes the reads that were stale or wrong.
	found []string
	// acknowledgedBy receives the keeper of each acknowledgement that is waited for; nil if none ever is.
	acknowledgedBy chan *node
	// acknowledgedAfter are the times from a change's sending to its acknowledgement.
	acknowledgedAfter []time.Duration
}

// document returns the configuration of a version; versions differ only in the idle timeout.
func document(version uint64, t timing) []byte {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": soakHost, "path_prefix": prefix, "kind": kind, "timeout_ms": callTimeout.Milliseconds(),
			"slo_ms": 150, "priority": 1, "service": service, "max_attempts": t.plainAttempts, "public": service == deskService,
		}
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
		"routes": []map[string]any{
			route("grant", "/grant/", "non_idempotent", deskService), route("lookup", "/lookup/", "idempotent", deskService),
			route("booking", bookingPath, "non_idempotent", kioskService), route("quote", quotePath, "idempotent", kioskService),
			stream(plainStream), stream(onceStream), stream(pairStream),
		},
		"tenants": []map[string]any{
			{"name": crashingAccount, "api_keys": []string{accountKey(crashingAccount)}, "priority": 1},
			{"name": otherAccount, "api_keys": []string{accountKey(otherAccount)}, "priority": 1},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "idle_timeout_ms": 10000 + version},
	})
	if err != nil {
		panic(err)
	}
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
	if o.sent == nil {
		o.sent = map[uint64][]byte{}
	}
	o.version++
	o.sent[o.version] = document(o.version, o.region.timing)
	client, sentAt := &http.Client{Timeout: controlTimeout}, time.Now()
	resp, err := client.Post(fmt.Sprintf("http://%s:%d/api/config/replace", keeper.ip, controlPort), "application/json", bytes.NewReader(o.sent[o.version]))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		o.acknowledged = o.version
		o.acknowledgedAfter = append(o.acknowledgedAfter, time.Since(sentAt))
		select {
		case o.acknowledgedBy <- keeper:
		default:
		}
	}
	return resp.StatusCode == http.StatusOK
}

func (o *operator) publishInitial() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		if o.replace(o.region.keepers[0]) {
			return nil
		}
		time.Sleep(changeInterval)
	}
	return fmt.Errorf("no configuration was acknowledged within %s", startTimeout)
}

// run changes the configuration and reads it back until a time.
func (o *operator) run(until time.Time) {
	for i := 0; time.Now().Before(until); i++ {
		o.replace(o.region.keeperInTurn(i))
		o.check(o.region.keeperInTurn(i + 1))
		time.Sleep(changeInterval)
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
