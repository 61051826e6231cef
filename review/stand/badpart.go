//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// badPart crashes the engines; goodParts are in its requests and in the sound ones.
	badPart   = "66d1c0de"
	goodParts = "5c1e07a2:200,91bd3f06:150"
	// engineCount engines form groups of two.
	engineCount = 16
	soundEvery  = time.Second
	badEvery    = 3 * time.Second
	// calmTime is how long only sound requests come; the others come until the end.
	calmTime, troubleTime = 24 * time.Second, 36 * time.Second
)

// badPrompt sends sound requests, and from some time on also requests with a part that crashes the engines which begin to
// answer them. From 2 x contact_ms after the fifth crash (the last, if there are fewer), sound requests must begin at least
// half as often as before.
func badPrompt(d *deployment, trouble bool) ([]string, error) {
	p := &pool{d: d, engines: map[string]*engine{}}
	var mu sync.Mutex
	var crashes []time.Time
	p.crashes = func(r *http.Request) bool {
		bad := strings.Contains(r.Header.Get("X-Prompt-Prefix"), badPart)
		if bad {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
		}
		return bad
	}
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, e := range p.engines {
			e.stop()
		}
	}()
	for i := range engineCount {
		if _, err := p.start(fmt.Sprintf("i-%d", i+1)); err != nil {
			return nil, err
		}
	}
	if err := d.replace(engineManifest(3, 2), 10*time.Second); err != nil {
		return nil, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	open := func() bool {
		n := 0
		for i := range engineCount {
			if p.engines[fmt.Sprintf("i-%d", i+1)].groupState().State == "open" {
				n++
			}
		}
		return n == engineCount/2
	}
	if err := await(20*time.Second, "all groups open", open); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(d)
	var workers sync.WaitGroup
	send := func(n int, parts string) (id string) {
		workers.Add(1)
		defer workers.Done()
		id, _ = c.sendHeaders(http.DefaultClient, d.entries[n%len(d.entries)], http.MethodPost, fmt.Sprintf("/caption/%d", n), 6*time.Second, []byte(fmt.Sprintf("prompt %d", n)),
			map[string]string{"X-Model": modelName, "X-Token-Counts": "400,20", "X-Prompt-Prefix": fmt.Sprintf("%s,%08x:50", parts, 0xe4402b7d+n)})
		return id
	}
	start := time.Now()
	var sound []string
	nextBad := start.Add(calmTime).Add(soundEvery / 2)
	for n := 0; time.Since(start) < calmTime+troubleTime; n++ {
		go func() {
			id := send(n, goodParts)
			mu.Lock()
			sound = append(sound, id)
			mu.Unlock()
		}()
		time.Sleep(time.Until(start.Add(time.Duration(n)*soundEvery + soundEvery/2)))
		if trouble && !time.Now().Before(nextBad) {
			nextBad = nextBad.Add(badEvery)
			go send(100000+2*n, goodParts+","+badPart+":60")
			time.Sleep(80 * time.Millisecond)
			go send(100001+2*n, goodParts+","+badPart+":60")
		}
		time.Sleep(time.Until(start.Add(time.Duration(n+1) * soundEvery)))
	}
	workers.Wait()
	begun := map[string]bool{}
	p.mu.Lock()
	for _, e := range p.engines {
		for _, id := range e.begun {
			begun[id] = true
		}
	}
	p.mu.Unlock()
	from := start.Add(calmTime).Add(2 * contactTime)
	if n := min(len(crashes), 5); n > 0 {
		from = crashes[n-1].Add(2 * contactTime)
	}
	before, beforeBegun, after, afterBegun := 0, 0, 0, 0
	statuses := map[int]int{}
	for _, id := range sound {
		switch a := c.of(id); {
		case a.sent.Before(start.Add(calmTime)):
			before++
			if begun[id] {
				beforeBegun++
			}
		case a.sent.After(from):
			after++
			statuses[a.status]++
			if begun[id] {
				afterBegun++
			}
		}
	}
	text := fmt.Sprintf("%d crashes; sound requests begun: %d of %d before, %d of %d from 2 x contact_ms after the fifth (or last) crash, with status %v",
		len(crashes), beforeBegun, before, afterBegun, after, statuses)
	d.record.add("%s", text)
	fmt.Println(text)
	if before < 20 || after < 20 {
		return nil, fmt.Errorf("too few sound requests: %s", text)
	}
	if 2*afterBegun*before < beforeBegun*after {
		return []string{"LOST: " + text}, nil
	}
	return nil, nil
}
