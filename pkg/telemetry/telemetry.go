// Package telemetry publishes counters and histograms through expvar.
package telemetry

import (
	"encoding/json"
	"expvar"
	"sort"
	"sync"
	"time"
)

const (
	// maxDuration is the highest recorded duration; longer ones are clamped to it.
	maxDuration = time.Hour
	// significantDigits is the number of significant digits of recorded durations.
	significantDigits = 2
	// maxSeries limits the number of histograms of a process.
	maxSeries = 1024
	// otherAccounts is the account name of series beyond maxSeries.
	otherAccounts = "(other)"
)

// Series identifies one histogram.
type Series struct {
	// Name is the measured quantity, such as queueing or first_token.
	Name    string
	Account string
	Class   string
}

// Registry holds the counters, gauges and histograms of a process.
type Registry struct {
	mu         sync.RWMutex
	histograms map[Series]*Histogram
	counters   map[string]int64
}

// New returns a registry. If name is not empty, the registry is published through expvar.
func New(name string) *Registry {
	r := &Registry{histograms: map[Series]*Histogram{}, counters: map[string]int64{}}
	if name != "" && expvar.Get(name) == nil {
		expvar.Publish(name, r)
	}
	return r
}

// Observe adds a duration to a series.
func (r *Registry) Observe(s Series, d time.Duration) { r.Histogram(s).Record(d) }

// Histogram returns the histogram of a series. Once there are maxSeries histograms, all
// new series of one name share a histogram under the account otherAccounts.
func (r *Registry) Histogram(s Series) *Histogram {
	r.mu.RLock()
	h := r.histograms[s]
	r.mu.RUnlock()
	if h != nil {
		return h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.histograms) >= maxSeries && r.histograms[s] == nil {
		s = Series{Name: s.Name, Account: otherAccounts}
	}
	if h = r.histograms[s]; h == nil {
		h = newHistogram()
		r.histograms[s] = h
	}
	return h
}

// Add adds n to a counter, such as refusals.overloaded.
func (r *Registry) Add(counter string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[counter] += n
}

// Set sets a gauge, such as stranded_accelerators.
func (r *Registry) Set(gauge string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[gauge] = n
}

// summary is the published form of a histogram. Durations are in microseconds.
type summary struct {
	Name    string `json:"name"`
	Account string `json:"account,omitempty"`
	Class   string `json:"class,omitempty"`
	Count   int64  `json:"count"`
	P50     int64  `json:"p50_us"`
	P95     int64  `json:"p95_us"`
	P99     int64  `json:"p99_us"`
	Max     int64  `json:"max_us"`
}

func (s summary) less(other summary) bool {
	if s.Name != other.Name {
		return s.Name < other.Name
	}
	if s.Account != other.Account {
		return s.Account < other.Account
	}
	return s.Class < other.Class
}

// String returns the registry as JSON. It implements expvar.Var.
func (r *Registry) String() string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	published := struct {
		Counters   map[string]int64 `json:"counters"`
		Histograms []summary        `json:"histograms"`
	}{Counters: r.counters}
	for s, h := range r.histograms {
		published.Histograms = append(published.Histograms, h.summary(s))
	}
	sort.Slice(published.Histograms, func(i, j int) bool { return published.Histograms[i].less(published.Histograms[j]) })
	data, err := json.Marshal(published)
	if err != nil {
		return "{}"
	}
	return string(data)
}
