package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram records durations of one series. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

func newHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
}

// Record adds a duration.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(d.Microseconds(), 1), maxDuration.Microseconds()))
}

func (h *Histogram) summary(s Series) summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return summary{
		Name: s.Name, Account: s.Account, Class: s.Class, Count: h.values.TotalCount(),
		P50: h.values.ValueAtQuantile(50), P95: h.values.ValueAtQuantile(95), P99: h.values.ValueAtQuantile(99),
		Max: h.values.Max(),
	}
}
