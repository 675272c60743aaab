package baobabemulator

import (
	"sync"
	"time"
)

// PlatformCounters is the response body of GET /v1/counters. A transaction counts as one write, as does an upload of an
// object.
type PlatformCounters struct {
	Reads               uint64 `json:"reads"`
	Writes              uint64 `json:"writes"`
	RowsWritten         uint64 `json:"rows_written"`
	Throttled           uint64 `json:"throttled"`
	PeakReadsPerSecond  uint64 `json:"peak_reads_per_second"`
	PeakWritesPerSecond uint64 `json:"peak_writes_per_second"`
}

// platformMeter counts requests, in total and per clock second. It is safe for concurrent use.
type platformMeter struct {
	mu               sync.Mutex
	counters         PlatformCounters
	currentSecond    int64
	readsThisSecond  uint64 // Reads in currentSecond.
	writesThisSecond uint64
}

func (m *platformMeter) count(now time.Time, write bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := now.Unix(); s != m.currentSecond {
		m.currentSecond, m.readsThisSecond, m.writesThisSecond = s, 0, 0
	}
	if write {
		m.writesThisSecond++
		m.counters.Writes++
		m.counters.PeakWritesPerSecond = max(m.counters.PeakWritesPerSecond, m.writesThisSecond)
		return
	}
	m.readsThisSecond++
	m.counters.Reads++
	m.counters.PeakReadsPerSecond = max(m.counters.PeakReadsPerSecond, m.readsThisSecond)
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
