package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a check that passes over retries of a request that had crashed enough upstreams.
func TestLateSendsOfCrashingRequestsAreCounted(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, row := range map[string]struct {
		// ends are the incarnations that end at the given seconds, arrivals further runs.
		ends     map[string]float64
		arrivals []float64
		calm     float64
		found    bool
	}{
		"four late sends":                        {map[string]float64{"a": 0, "b": 0.5, "c": 1}, []float64{2, 4.1, 5, 6, 7}, 0, true},
		"three late sends":                       {map[string]float64{"a": 0, "b": 0.5, "c": 1}, []float64{2, 4, 5, 6, 7}, 0, false},
		"two upstreams ended":                    {map[string]float64{"a": 0, "b": 0.5}, []float64{2, 4.1, 5, 6, 7}, 0, false},
		"four sends, nodes disturbed until then": {map[string]float64{"a": 0, "b": 0.5, "c": 1}, []float64{4.1, 5, 6, 7}, 1.5, false},
	} {
		l := newCrashLedger()
		for _, instance := range []string{"a", "b", "c"} {
			if second, ended := row.ends[instance]; ended {
				l.recordEnd(at(second), "r", instance)
				l.recordEnd(at(second), "r", instance)
			}
		}
		for _, second := range row.arrivals {
			l.recordArrival(at(second), "r")
			l.recordArrival(at(second), "not checked")
		}
		found := l.violations([]string{"r"}, at(row.calm))
		if !row.found {
			assert.Empty(t, found, name)
			continue
		}
		assert.Len(t, found, 1, name)
		assert.Contains(t, found[0], "was sent to upstreams 4 times later than 3s after that; 5 times in all, 3 ended", name)
	}
}

// Guards against upstreams that crash by sound requests, or whose broken runs count as sound.
func TestOnlyCrashingRequestsEndUpstreams(t *testing.T) {
	for name, row := range map[string]struct {
		account, body string
		crashes       bool
	}{
		"crashing":               {crashingAccount, crashingBody, true},
		"another body":           {crashingAccount, "sound", false},
		"body of another caller": {otherAccount, crashingBody, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &plainService{name: kioskService, crashing: newCrashLedger(), runs: map[string]int{}, broken: map[string]int{}}
			u := &upstream{service: s, server: &http.Server{ReadHeaderTimeout: headerTimeout}, isStopped: true}
			run := func(id, account, body string) (status int) {
				defer func() {
					if recover() != nil {
						status = 0
					}
				}()
				req := httptest.NewRequest(http.MethodPost, quotePath+"x", strings.NewReader(body))
				req.Header.Set("X-Request-Id", id)
				req.Header.Set("X-Tenant", account)
				w := httptest.NewRecorder()
				u.ServeHTTP(w, req)
				return w.Code
			}
			go func() {
				time.Sleep(kioskRunTime / 2)
				run("again-1", crashingAccount, "beside")
			}()
			status := run("again-2", row.account, row.body)
			time.Sleep(kioskRunTime)
			synctest.Wait()
			assert.Equal(t, row.crashes, u.hasEnded(u.instance()), name)
			assert.Equal(t, map[string]int{"again-1": 1, "again-2": 1}, s.runs, name)
			if row.crashes {
				assert.Zero(t, status, name)
				assert.Equal(t, map[string]int{"again-1": 1, "again-2": 1}, s.broken, name)
			} else {
				assert.Equal(t, http.StatusOK, status, name)
				assert.Empty(t, s.broken, name)
			}
			time.Sleep(2 * kioskDownTime)
		})
	}
}
