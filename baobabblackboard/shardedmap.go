package baobabblackboard

import (
	"hash/maphash"
	"sync"
)

// shardCount is a power of two so that a mask reduces a hash to a shard index.
const shardCount = 32

// A ShardedMap is a map that is split into shards with one lock each. It is safe for concurrent use.
type ShardedMap[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
}

// A shard is one part of a ShardedMap.
type shard[K comparable, V any] struct {
	mu      sync.RWMutex
	entries map[K]V // Guarded by mu; nil until the first write.
}

// NewShardedMap returns an empty map.
func NewShardedMap[K comparable, V any]() *ShardedMap[K, V] {
	return &ShardedMap[K, V]{seed: maphash.MakeSeed()}
}

// Get returns the value of a key.
func (m *ShardedMap[K, V]) Get(key K) (V, bool) {
	s := m.shardOf(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.entries[key]
	return v, ok
}

// Set stores the value of a key.
func (m *ShardedMap[K, V]) Set(key K, value V) {
	m.Update(key, func(V, bool) (V, bool) { return value, true })
}

// Delete removes a key.
func (m *ShardedMap[K, V]) Delete(key K) {
	m.Update(key, func(v V, _ bool) (V, bool) { return v, false })
}

// Update atomically replaces the value of a key by the result of change, or removes the key when change returns false.
// The shard is locked while change runs, so change must not use the map.
func (m *ShardedMap[K, V]) Update(key K, change func(old V, found bool) (V, bool)) {
	s := m.shardOf(key)
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

// Replace replaces the content of the map by the given entries. It is atomic per shard only.
func (m *ShardedMap[K, V]) Replace(entries map[K]V) {
	var shards [shardCount]map[K]V
	for k, v := range entries {
		i := m.shardIndex(k)
		if shards[i] == nil {
			shards[i] = make(map[K]V)
		}
		shards[i][k] = v
	}
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		s.entries = shards[i]
		s.mu.Unlock()
	}
}

// Range calls visit with each entry, in no particular order, until visit returns false. Entries that change meanwhile
// may be visited in either state. The shard is locked for reading while its entries are visited.
func (m *ShardedMap[K, V]) Range(visit func(K, V) bool) {
	for i := range m.shards {
		if !m.shards[i].forEach(visit) {
			return
		}
	}
}

// Len returns the number of entries.
func (m *ShardedMap[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.RLock()
		n += len(s.entries)
		s.mu.RUnlock()
	}
	return n
}

func (s *shard[K, V]) forEach(visit func(K, V) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for k, v := range s.entries {
		if !visit(k, v) {
			return false
		}
	}
	return true
}

func (m *ShardedMap[K, V]) shardIndex(key K) int {
	return int(maphash.Comparable(m.seed, key) & (shardCount - 1))
}

func (m *ShardedMap[K, V]) shardOf(key K) *shard[K, V] {
	return &m.shards[m.shardIndex(key)]
}
