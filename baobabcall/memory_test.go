package baobabcall

import (
	"sync"
	"testing"
)

// TestMemory guards against bodies that together exceed the bound, and against a bound that shrinks with each refusal.
func TestMemory(t *testing.T) {
	m := NewMemory(100)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			for range 1000 {
				if m.Take(40) {
					if h := m.Held(); h > 100+50*40 {
						t.Errorf("%d bytes held", h)
					}
					m.Give(40)
				}
			}
		})
	}
	all.Wait()
	if m.Held() != 0 || !m.Take(100) || m.Take(1) {
		t.Errorf("%d bytes held in the end", m.Held())
	}
	var none *Memory
	if !none.Take(1 << 40) {
		t.Error("no memory has a bound")
	}
}
