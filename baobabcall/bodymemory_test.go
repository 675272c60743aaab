package baobabcall

import (
	"sync"
	"testing"
)

// TestBodyMemory guards against bodies that together exceed the limit, and against a limit that shrinks with each failed
// reservation.
func TestBodyMemory(t *testing.T) {
	m := NewBodyMemory(100)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			for range 1000 {
				if m.Reserve(40) {
					if h := m.Reserved(); h > 100+50*40 {
						t.Errorf("Reserved() = %d", h)
					}
					m.Release(40)
				}
			}
		})
	}
	all.Wait()
	if m.Reserved() != 0 || !m.Reserve(100) || m.Reserve(1) {
		t.Errorf("Reserved() = %d at the end", m.Reserved())
	}
	var none *BodyMemory
	if !none.Reserve(1 << 40) {
		t.Error("a nil BodyMemory has a limit")
	}
}
