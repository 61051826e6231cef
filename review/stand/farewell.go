//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// farewell has a server deregister at a keeper whose process is killed right after it has acknowledged that. The
// server serves on for some seconds. No request that a client sends later than drain_ms after the acknowledgement may
// reach it from machines in touch.
func farewell(d *deployment, trouble bool) ([]string, error) {
	var servers []*server
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		s, err := newServer(d, fmt.Sprintf("i-%d", i+1), zone, 15*time.Millisecond)
		if err != nil {
			return nil, err
		}
		defer s.stop()
		servers = append(servers, s)
	}
	if err := d.replace(manifest(3), 10*time.Second); err != nil {
		return nil, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(d)
	stop := make(chan struct{})
	var workers sync.WaitGroup
	for i := range 8 {
		workers.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				c.send(client, d.entries[i%2], http.MethodGet, fmt.Sprintf("/lookup/%d-%d", i, n), 1500*time.Millisecond, nil)
			}
		})
	}
	time.Sleep(4 * time.Second)
	leaving, k := servers[0], d.keepers[1]
	acked, err := leaving.deregister(k)
	if err != nil {
		close(stop)
		return nil, err
	}
	if trouble {
		k.signal(syscall.SIGKILL)
	}
	d.record.add("%s deregistered, acknowledged by %s; killed %.1f ms later: %v", leaving.id, k.name, float64(time.Since(acked).Microseconds())/1000, trouble)
	if trouble {
		<-k.exited
		if err := d.writeSettings(k, false, len(d.keepers)); err != nil {
			return nil, err
		}
		time.Sleep(300 * time.Millisecond)
		if err := d.start(k); err != nil {
			return nil, err
		}
	}
	// The machines are in touch again contact_ms after the last event of the core.
	inTouch := time.Now().Add(contactTime + 200*time.Millisecond)
	if from := acked.Add(drainTime); inTouch.Before(from) || !trouble {
		inTouch = from
	}
	time.Sleep(time.Until(acked.Add(8 * time.Second)))
	close(stop)
	workers.Wait()
	late := 0
	for _, a := range leaving.arrivals() {
		if c.of(a.id).sent.After(inTouch) {
			late++
		}
	}
	d.record.add("requests sent later than %.1f s after the acknowledgement that reached %s: %d", inTouch.Sub(acked).Seconds(), leaving.id, late)
	if late > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests that were sent later than %.1f s after the acknowledged deregistration reached the server", late, inTouch.Sub(acked).Seconds())}, nil
	}
	return nil, nil
}
