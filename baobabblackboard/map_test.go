package baobabblackboard

import (
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// TestMapAgainstModel guards against entries lost or kept in the wrong shard.
func TestMapAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMap[string, int]()
		model := map[string]int{}
		key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"})
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				k, v := key.Draw(t, "key"), rapid.Int().Draw(t, "value")
				m.Set(k, v)
				model[k] = v
			},
			"delete": func(t *rapid.T) {
				k := key.Draw(t, "key")
				m.Delete(k)
				delete(model, k)
			},
			"replace": func(t *rapid.T) {
				entries := rapid.MapOf(key, rapid.Int()).Draw(t, "entries")
				m.Replace(entries)
				model = map[string]int{}
				for k, v := range entries {
					model[k] = v
				}
			},
			"": func(t *rapid.T) {
				if got := m.Len(); got != len(model) {
					t.Fatalf("Len() = %d, want %d", got, len(model))
				}
				m.Each(func(k string, v int) bool {
					if want, ok := model[k]; !ok || v != want {
						t.Fatalf("entry %s = %d, want %d, %t", k, v, want, ok)
					}
					return true
				})
			},
		})
	})
}

// TestUpdateIsAtomic guards against lost updates between threads.
func TestUpdateIsAtomic(t *testing.T) {
	const threads, rounds = 8, 1000
	m := NewMap[int, int]()
	var wg sync.WaitGroup
	for range threads {
		wg.Go(func() {
			for i := range rounds {
				m.Update(i%10, func(old int, _ bool) (int, bool) { return old + 1, true })
			}
		})
	}
	wg.Wait()
	for i := range 10 {
		if got, _ := m.Get(i); got != threads*rounds/10 {
			t.Errorf("entry %d = %d, want %d", i, got, threads*rounds/10)
		}
	}
}

// TestSignalWakesAll guards against a notification that is missed between reading and waiting.
func TestSignalWakesAll(t *testing.T) {
	s := NewSignal()
	first, second := s.Changed(), s.Changed()
	s.Notify()
	<-first
	<-second
	select {
	case <-s.Changed():
		t.Error("Changed() is closed before the next Notify")
	default:
	}
}
