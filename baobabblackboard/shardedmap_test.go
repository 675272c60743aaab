package baobabblackboard

import (
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// TestShardedMapAgainstModel guards against entries lost or kept in the wrong shard.
func TestShardedMapAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewShardedMap[string, int]()
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
				m.Range(func(k string, v int) bool {
					if want, ok := model[k]; !ok || v != want {
						t.Fatalf("entry %s = %d, want %d, %t", k, v, want, ok)
					}
					return true
				})
			},
		})
	})
}

// TestUpdateIsAtomic guards against lost updates between goroutines.
func TestUpdateIsAtomic(t *testing.T) {
	const goroutines, rounds = 8, 1000
	m := NewShardedMap[int, int]()
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for i := range rounds {
				m.Update(i%10, func(old int, _ bool) (int, bool) { return old + 1, true })
			}
		})
	}
	wg.Wait()
	for i := range 10 {
		if got, _ := m.Get(i); got != goroutines*rounds/10 {
			t.Errorf("entry %d = %d, want %d", i, got, goroutines*rounds/10)
		}
	}
}
