//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of a large request: below max_body_bytes of the manifest (4,194,304). smallBytes is that of
	// the others.
	uploadBytes = 4_190_000
	smallBytes  = 7_000
	// requestRate is the part of one of two edge machines of the 59 requests a second of zone tvm-b in the site file,
	// without its plain ones. Each second request is large.
	requestRate = 25.0
	largeOneIn  = 2
	// An answer has 35 events, as in SYSTEM.md, with pauses below the 200 ms that are on time there.
	events      = 35
	firstEvent  = 400 * time.Millisecond
	eventGap    = 140 * time.Millisecond
	uploadRoute = "/describe/"
	// clientCount is the number of channels that clients keep: a little more than the 133 requests that are open at this
	// rate.
	clientCount = 160
)

// rssMB returns the resident memory of a process.
func rssMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// uploadManifest has one streaming route to a plain service.
func uploadManifest() map[string]any {
	m := manifest(3)
	m["routes"] = []any{map[string]any{
		"name": "describe", "host": "review.example", "path_prefix": uploadRoute, "kind": "streaming", "timeout_ms": 6000, "slo_ms": 300, "priority": 1,
		"service": "desk", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 200,
	}}
	return m
}

// describe answers an upload with a stream.
func (s *server) describe(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Response-Stamp", s.id+"."+r.Header.Get("X-Request-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(firstEvent)
	for n := range events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n+1)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
	}
}

// channel is a client's channel, kept for many requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

// upload sends one request on the channel. It returns whether any byte of an answer came, and whether all of it did.
func (ch *channel) upload(d *deployment, id string, body []byte) (began, whole bool) {
	if ch.conn == nil {
		conn, err := net.DialTimeout("tcp", d.address(d.entries[0], "front"), time.Second)
		if err != nil {
			return false, false
		}
		ch.conn, ch.reader, ch.used = conn, bufio.NewReader(conn), 0
	}
	ch.used++
	_ = ch.conn.SetDeadline(time.Now().Add(6 * time.Second))
	head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nX-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: %d\r\n\r\n", uploadRoute, id, id, len(body))
	resp, err := func() (*http.Response, error) {
		if _, err := io.Copy(ch.conn, io.MultiReader(strings.NewReader(head), bytes.NewReader(body))); err != nil {
			return nil, err
		}
		return http.ReadResponse(ch.reader, nil)
	}()
	if err == nil {
		began = true
		_, err = io.Copy(io.Discard, resp.Body)
	}
	d.record.add("upload %s on a channel with %d requests: began %v, error %v", id, ch.used, began, err)
	if err != nil || resp.Close {
		_ = ch.conn.Close()
		ch.conn = nil
	}
	return began, err == nil
}

// uploads has clients send requests at the stated rate over channels that they keep, each second one of nearly the largest
// size. A process that uses more than memory_mb is killed, as the platform does. More than three requests of kept
// channels that were passed on and got no answer break the rule LOST.
func uploads(d *deployment, trouble bool) ([]string, error) {
	var servers []*server
	for i := range 10 {
		s, err := newServer(d, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("zone-%c", 'a'+i%3), 0)
		if err != nil {
			return nil, err
		}
		s.slots, s.answer = 17, s.describe
		defer s.stop()
		servers = append(servers, s)
	}
	if err := d.replace(uploadManifest(), 10*time.Second); err != nil {
		return nil, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	entry := d.entries[0]
	var peak, killedAt atomic.Int64
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			m := int64(rssMB(entry.process.Process.Pid))
			peak.Store(max(peak.Load(), m))
			if m > memoryMB && killedAt.Load() == 0 {
				killedAt.Store(time.Now().UnixNano())
				d.record.add("%s uses %d MB, %d are allowed: killed as by the platform", entry.name, m, memoryMB)
				entry.signal(syscall.SIGKILL)
			}
		}
	})
	type outcome struct {
		kept, began, whole bool
	}
	var mu sync.Mutex
	outcomes := map[string]outcome{}
	idle := make(chan *channel, 1000)
	body := bytes.Repeat([]byte{'x'}, uploadBytes)
	var workers sync.WaitGroup
	// Each client has sent a small request before, on the channel that it keeps.
	for n := range clientCount {
		workers.Go(func() {
			ch := &channel{}
			ch.upload(d, fmt.Sprintf("%016x", 0x9c41d07a00000000+uint64(n)), body[:smallBytes])
			idle <- ch
		})
		time.Sleep(25 * time.Millisecond)
	}
	workers.Wait()
	start := time.Now()
	for n := 0; time.Since(start) < 20*time.Second && killedAt.Load() == 0; n++ {
		size := smallBytes
		if trouble && n%largeOneIn == 0 {
			size = uploadBytes
		}
		workers.Go(func() {
			ch := <-idle
			id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(n))
			kept := ch.conn != nil
			began, whole := ch.upload(d, id, body[:size])
			mu.Lock()
			outcomes[id] = outcome{kept, began, whole}
			mu.Unlock()
			idle <- ch
		})
		time.Sleep(time.Duration(float64(time.Second) / requestRate))
	}
	workers.Wait()
	close(done)
	watch.Wait()
	passedOn := map[string]bool{}
	for _, s := range servers {
		for _, a := range s.arrivals() {
			passedOn[a.id] = true
		}
	}
	lost, cut, whole := 0, 0, 0
	for id, o := range outcomes {
		switch {
		case o.whole:
			whole++
		case o.kept && !o.began && passedOn[id]:
			lost++
		case o.began:
			cut++
		}
	}
	text := fmt.Sprintf("peak %d MB; %d requests, %d whole, %d streams cut midway, %d of kept channels passed on and closed without an answer", peak.Load(), len(outcomes), whole, cut, lost)
	d.record.add("%s", text)
	fmt.Println(text)
	if lost > 3 {
		return []string{"LOST: " + text}, nil
	}
	return nil, nil
}
