package loadgen

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
	// maxLatency is the longest latency that a histogram records; longer ones are
	// recorded as maxLatency.
	maxLatency = 10 * time.Minute
)

// Recorder collects latencies. It is safe for concurrent use.
type Recorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)}
}

// Record adds one latency.
func (r *Recorder) Record(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.histogram.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// Quantile returns the latency that a fraction q of the requests does not exceed.
func (r *Recorder) Quantile(q float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.histogram.ValueAtQuantile(100*q)) * time.Microsecond
}

// Count returns the number of recorded latencies.
func (r *Recorder) Count() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.histogram.TotalCount()
}

// Send sends one request; due is its scheduled time. A latency that counts from due
// includes a delay of the sender, so that it is free of coordinated omission.
type Send func(ctx context.Context, a Arrival, due time.Time)

// Run sends every arrival at its scheduled time, each in its own goroutine, and
// returns when all have ended. It does not wait for a response before it sends the
// next request.
func Run(ctx context.Context, arrivals []Arrival, send Send) {
	start := time.Now()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for _, a := range arrivals {
		due := start.Add(a.At)
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		inFlight.Go(func() { send(ctx, a, due) })
	}
}
