//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	sent, at time.Time
	entry    string
	status   int
	stamp    string
	body     string
	err      error
}

// clients send requests and keep the answers by request id.
type clients struct {
	d       *deployment
	mu      sync.Mutex
	answers map[string]answer
	next    int
}

func newClients(d *deployment) *clients { return &clients{d: d, answers: map[string]answer{}} }

// send sends one request over the given client and records the answer.
func (c *clients) send(client *http.Client, e *node, method, path string, budget time.Duration, body []byte) (string, answer) {
	return c.sendHeaders(client, e, method, path, budget, body, nil)
}

// sendHeaders is send with further headers.
func (c *clients) sendHeaders(client *http.Client, e *node, method, path string, budget time.Duration, body []byte, headers map[string]string) (string, answer) {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%016x", 0x9c41d07b00000000+uint64(c.next))
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.d.address(e, "front")+path, bytes.NewReader(body))
	a := answer{sent: time.Now(), entry: e.name}
	if err == nil {
		req.Host = "review.example"
		req.Header.Set("X-Request-Id", id)
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
		req.Header.Set("X-Key", "n2ctnfzs989anu6wsjnb")
		for name, value := range headers {
			req.Header.Set(name, value)
		}
		c.d.record.add("request %s %s %s sent to %s, %d bytes", id, method, path, e.name, len(body))
		var resp *http.Response
		if resp, err = client.Do(req); err == nil {
			a.status, a.stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
			var text []byte
			text, err = io.ReadAll(resp.Body)
			a.body = string(text)
			_ = resp.Body.Close()
		}
	}
	a.err, a.at = err, time.Now()
	c.d.record.add("request %s answered %d, stamp %q, error %v", id, a.status, a.stamp, err)
	c.mu.Lock()
	c.answers[id] = a
	c.mu.Unlock()
	return id, a
}

func (c *clients) of(id string) answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[id]
}
