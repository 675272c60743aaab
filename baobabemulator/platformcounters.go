package baobabemulator

import (
	"sync"
	"time"
)

// PlatformCounters is the answer of GET /v1/counters. A transaction or a stored object counts as one write.
type PlatformCounters struct {
	Reads               uint64 `json:"reads"`
	Writes              uint64 `json:"writes"`
	RowsWritten         uint64 `json:"rows_written"`
	Throttled           uint64 `json:"throttled"`
	PeakReadsPerSecond  uint64 `json:"peak_reads_per_second"`
	PeakWritesPerSecond uint64 `json:"peak_writes_per_second"`
}

// platformMeter counts requests, and their number in each second of the clock.
type platformMeter struct {
	mu       sync.Mutex
	counters PlatformCounters
	second   int64
	reads    uint64 // In the present second.
	writes   uint64
}

func (m *platformMeter) count(now time.Time, write bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := now.Unix(); s != m.second {
		m.second, m.reads, m.writes = s, 0, 0
	}
	if write {
		m.writes++
		m.counters.Writes++
		m.counters.PeakWritesPerSecond = max(m.counters.PeakWritesPerSecond, m.writes)
		return
	}
	m.reads++
	m.counters.Reads++
	m.counters.PeakReadsPerSecond = max(m.counters.PeakReadsPerSecond, m.reads)
}

func (m *platformMeter) countRows(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.RowsWritten += uint64(n)
}

func (m *platformMeter) countThrottled() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.Throttled++
}

func (m *platformMeter) get() PlatformCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}
