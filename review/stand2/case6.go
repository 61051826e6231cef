//go:build review

package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["cut-stream"] = cutStream }

// servers6 is the number of servers, of which one at a time crashes: a share of 0.17.
const servers6 = 6

// rounds is the number of streams of the case.
const rounds = 8

// cutStream has a sound server fall silent for a moment in each stream. The entry sends the stream to the other server, too, and that
// one crashes before its first event. The sound server makes all events: a stream that ends as complete has to have them.
func cutStream(w *world, trouble bool) (int, error) {
	if err := w.start(3, 2); err != nil {
		return 0, err
	}
	if err := w.replace(streamManifest()); err != nil {
		return 0, err
	}
	var crashed atomic.Int32
	onLine := func(s *serverProcess, line string) {
		if trouble && strings.HasPrefix(line, "resumes ") {
			w.note("%s is killed", s.id)
			go s.crash()
			crashed.Add(1)
		}
	}
	next := 60
	servers := make([]*serverProcess, servers6)
	beats := make([]chan struct{}, servers6)
	begin := func(i, round int) error {
		// Each process has an address of its own.
		next++
		s, err := w.startServer(next, fmt.Sprintf("i-%d-%d", i, round), "drafts", "stream", onLine)
		if err != nil {
			return err
		}
		servers[i], beats[i] = s, make(chan struct{})
		go w.beatForever(s.upstream, beats[i])
		return nil
	}
	for i := range servers {
		if err := begin(i, 0); err != nil {
			return 0, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2500 * time.Millisecond)
	short := 0
	for round := 1; round <= rounds; round++ {
		a, err := w.stream(round%2, fmt.Sprintf("stream-%d", round), "")
		if err != nil {
			return 0, err
		}
		if a.complete && strings.HasPrefix(a.status, "200") && strings.Join(a.ids, " ") != "1 2 3 4 5" {
			short++
		}
		for i, s := range servers {
			select {
			case <-s.done:
				close(beats[i])
				if err := begin(i, round); err != nil {
					return 0, err
				}
			default:
			}
		}
		time.Sleep(3 * time.Second)
	}
	w.note("%d streams, %d crashes, %d ended as complete without their last events", rounds, crashed.Load(), short)
	switch {
	case short > 0:
		return broken, nil
	case trouble && crashed.Load() == 0:
		return 0, fmt.Errorf("no stream was sent to the other server")
	}
	return held, nil
}

func streamManifest() map[string]any {
	m := emptyManifest(1)
	m["routes"] = []any{
		map[string]any{"name": "r-draft", "host": host, "path_prefix": "/resume/", "kind": "streaming", "resumable": true, "timeout_ms": 8000, "slo_ms": 400, "priority": 1, "service": "drafts", "max_attempts": 2, "public": true, "target_gap_ms": 300},
	}
	m["services"] = []any{map[string]any{"name": "drafts", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}}
	return m
}

// emptyManifest returns a manifest without routes, services and tenants.
func emptyManifest(version int) map[string]any {
	return map[string]any{
		"version": version, "routes": []any{}, "services": []any{}, "tenants": []any{},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
