package baobabblackboard

import (
	"hash/maphash"
	"sync"
)

// shardCount is a power of two so that a hash is reduced by a mask.
const shardCount = 32

// A Map is a map in shards, each under its own lock. It is safe for concurrent use.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
}

// shard is one part of a Map.
type shard[K comparable, V any] struct {
	mu      sync.RWMutex
	entries map[K]V // Guarded by mu; nil until the first write.
}

// NewMap returns an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	return &Map[K, V]{seed: maphash.MakeSeed()}
}

// Get returns the value of a key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.entries[key]
	return v, ok
}

// Set stores a value.
func (m *Map[K, V]) Set(key K, value V) {
	m.Update(key, func(V, bool) (V, bool) { return value, true })
}

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) {
	m.Update(key, func(v V, _ bool) (V, bool) { return v, false })
}

// Update replaces the value of a key by what change returns, or removes the key when change returns false. The
// shard is locked meanwhile, so change must not use the map.
func (m *Map[K, V]) Update(key K, change func(old V, found bool) (V, bool)) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.entries[key]
	next, keep := change(old, found)
	if !keep {
		delete(s.entries, key)
		return
	}
	if s.entries == nil {
		s.entries = make(map[K]V)
	}
	s.entries[key] = next
}

// Replace makes the map hold exactly the given entries, shard by shard.
func (m *Map[K, V]) Replace(entries map[K]V) {
	var parts [shardCount]map[K]V
	for k, v := range entries {
		i := m.index(k)
		if parts[i] == nil {
			parts[i] = make(map[K]V)
		}
		parts[i][k] = v
	}
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		s.entries = parts[i]
		s.mu.Unlock()
	}
}

// Each calls visit with each entry, in no order, until it returns false. Entries that change meanwhile may be
// seen in either state. The shard is locked for reading while its entries are visited.
func (m *Map[K, V]) Each(visit func(K, V) bool) {
	for i := range m.shards {
		if !m.shards[i].each(visit) {
			return
		}
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		n += len(s.entries)
		s.mu.RUnlock()
	}
	return n
}

func (s *shard[K, V]) each(visit func(K, V) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, v := range s.entries {
		if !visit(k, v) {
			return false
		}
	}
	return true
}

func (m *Map[K, V]) index(key K) int {
	return int(maphash.Comparable(m.seed, key) & (shardCount - 1))
}

func (m *Map[K, V]) shard(key K) *shard[K, V] {
	return &m.shards[m.index(key)]
}
