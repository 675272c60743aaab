package baobabcall

import "sync/atomic"

// A Memory bounds the bytes of request bodies that a node holds at one time. It is safe for concurrent use. A nil Memory
// has no bound.
type Memory struct {
	limit int64
	held  atomic.Int64
}

// NewMemory returns a memory for bodies of limit bytes together.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Take reserves n bytes and reports whether they are available. What was taken must be given back.
func (m *Memory) Take(n int64) bool {
	if m == nil || n <= 0 {
		return true
	}
	if m.held.Add(n) > m.limit {
		m.held.Add(-n)
		return false
	}
	return true
}

// Give returns n bytes.
func (m *Memory) Give(n int64) {
	if m != nil && n > 0 {
		m.held.Add(-n)
	}
}

// Held returns the bytes that are reserved.
func (m *Memory) Held() int64 {
	if m == nil {
		return 0
	}
	return m.held.Load()
}
