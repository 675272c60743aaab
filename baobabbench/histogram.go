package main

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatencyUs is the largest latency that a histogram can record, in microseconds; larger ones are recorded as this.
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

// percentileMs returns the latency at a percentile (0 to 100) in milliseconds.
func (h *histogram) percentileMs(percentile float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return float64(h.data.ValueAtPercentile(percentile)) / 1000
}
