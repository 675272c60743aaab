package baobabcall

import "sync/atomic"

// A BodyMemory limits the total size of the request bodies that a node holds in memory. It is safe for concurrent use. A
// nil BodyMemory has no limit.
type BodyMemory struct {
	limit    int64
	reserved atomic.Int64
}

// NewBodyMemory returns a BodyMemory of limit bytes.
func NewBodyMemory(limit int64) *BodyMemory { return &BodyMemory{limit: limit} }

// Limit returns the number of bytes that can be reserved, or 0 without a limit.
func (m *BodyMemory) Limit() int64 {
	if m == nil {
		return 0
	}
	return m.limit
}

// Reserve reserves n bytes and reports whether they were available. Reserved bytes must be released.
func (m *BodyMemory) Reserve(n int64) bool {
	if m == nil || n <= 0 {
		return true
	}
	if m.reserved.Add(n) > m.limit {
		m.reserved.Add(-n)
		return false
	}
	return true
}

// Release releases n reserved bytes.
func (m *BodyMemory) Release(n int64) {
	if m != nil && n > 0 {
		m.reserved.Add(-n)
	}
}

// Reserved returns the number of reserved bytes.
func (m *BodyMemory) Reserved() int64 {
	if m == nil {
		return 0
	}
	return m.reserved.Load()
}
