package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyUs is the largest recorded latency, in microseconds.
const maxLatencyUs = 120_000_000

// A histogram records latencies in microseconds. It is safe for concurrent use.
type histogram struct {
	mu   sync.Mutex
	data *hdrhistogram.Histogram // Guarded by mu.
}

func newHistogram() *histogram { return &histogram{data: hdrhistogram.New(1, maxLatencyUs, 3)} }

func (h *histogram) record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.data.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUs))
}

// ms returns a percentile in milliseconds.
func (h *histogram) ms(percentile float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.data.ValueAtPercentile(percentile)) / 1000
}
