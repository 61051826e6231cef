//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id, server string
	at         time.Time
}

// server is a stand-in for a worker of the plain service.
type server struct {
	d        *deployment
	id, zone string
	address  string
	born     int64
	work     time.Duration
	slots    int
	// answer, if set, answers in place of the plain answer.
	answer  http.HandlerFunc
	http    *http.Server
	mu      sync.Mutex
	seq     int
	silent  bool
	arrived []arrival
	done    chan struct{}
}

func newServer(d *deployment, id, zone string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.200:0", d.base))
	if err != nil {
		return nil, err
	}
	s := &server{d: d, id: id, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), work: work, slots: 6, done: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.announce()
	return s, nil
}

// ServeHTTP runs a request as the pages say.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrived = append(s.arrived, arrival{id, s.id, time.Now()})
	s.mu.Unlock()
	s.d.record.add("request %s runs at %s: %s %s", id, s.id, r.Method, r.RequestURI)
	n, _ := io.Copy(io.Discard, r.Body)
	s.d.record.add("request %s read at %s: %d bytes", id, s.id, n)
	if s.answer != nil {
		s.answer(w, r)
		return
	}
	time.Sleep(s.work)
	w.Header().Set("X-Response-Stamp", s.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

func (s *server) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrived...)
}

// announce sends a heartbeat about every 1.2 s, to the keepers in turn; after a failure to the next one.
func (s *server) announce() {
	client := &http.Client{Timeout: time.Second}
	for {
		s.mu.Lock()
		s.seq++
		seq, silent, slots := s.seq, s.silent, s.slots
		s.mu.Unlock()
		if silent {
			return
		}
		body, _ := json.Marshal(map[string]any{
			"service": "desk", "address": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": seq, "born": s.born,
		})
		for i := range s.d.keepers {
			k := s.d.keepers[(seq+i)%len(s.d.keepers)]
			resp, err := client.Post("http://"+s.d.address(k, "control")+"/api/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				break
			}
		}
		select {
		case <-time.After(heartbeat):
		case <-s.done:
			return
		}
	}
}

// deregister sends the server's farewell to one keeper and returns when it was acknowledged. A server that has
// said farewell sends no more heartbeats.
func (s *server) deregister(k *node) (time.Time, error) {
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+s.d.address(k, "control")+"/api/instances/"+s.id+"/deregister", "application/json", nil)
	if err != nil {
		return time.Time{}, err
	}
	at := time.Now()
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return at, fmt.Errorf("deregistration refused: %d", resp.StatusCode)
	}
	return at, nil
}

func (s *server) stop() {
	close(s.done)
	_ = s.http.Close()
}
