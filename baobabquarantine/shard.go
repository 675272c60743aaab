package baobabquarantine

import (
	"slices"
	"sync"
	"time"
)

// extraCrashes is the number of crashes kept per fingerprint beyond those that the rule needs.
const extraCrashes = 14

// A shard holds the crashes of a subset of the fingerprints under one lock.
type shard struct {
	mu      sync.Mutex
	limit   int                      // Maximum number of fingerprints.
	crashes map[Fingerprint][]Report // Sorted by time; no two reports of the same crash.

	// clearedBefore holds the start of the last successful run, up to which crashes do not count. It has entries only
	// for fingerprints that had crashes, and only until those crashes would have expired.
	clearedBefore map[Fingerprint]time.Time
}

// add adds a report and reports whether it was new and has been kept.
func (s *shard) add(now time.Time, rule Rule, r Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(r.crashedAt) >= rule.retention() || !r.crashedAt.After(s.clearedBefore[r.fingerprint]) {
		return false
	}
	known := dropExpired(now, rule, s.crashes[r.fingerprint])
	if i := slices.IndexFunc(known, r.sameCrash); i >= 0 {
		known[i].mergeCrash(r)
		return false
	}
	if len(known) == 0 && !s.ensureSpace(now, rule) {
		return false
	}
	known = append(known, r)
	slices.SortFunc(known, compareReports)
	if excess := len(known) - rule.crashThreshold - extraCrashes; excess > 0 {
		known = known[excess:]
	}
	s.crashes[r.fingerprint] = known
	return slices.Contains(known, r)
}

// clear removes the crashes before a successful run and reports whether this changed anything.
func (s *shard) clear(now time.Time, rule Rule, f Fingerprint, started time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.crashes[f]
	if !ok || !known[0].crashedAt.Before(started) || !started.After(s.clearedBefore[f]) ||
		rule.quarantineEnd(known).After(now) {
		return false
	}
	s.clearedBefore[f] = started
	known = slices.DeleteFunc(known, func(r Report) bool { return !r.crashedAt.After(started) })
	if len(known) == 0 {
		delete(s.crashes, f)
		return true
	}
	s.crashes[f] = known
	return true
}

// suspected reports whether crashes of the fingerprint are known.
func (s *shard) suspected(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes[f]) > 0
}

// dropExpired returns the crashes, sorted by time, without the expired ones.
func dropExpired(now time.Time, rule Rule, crashes []Report) []Report {
	expired := 0
	for expired < len(crashes) && now.Sub(crashes[expired].crashedAt) >= rule.retention() {
		expired++
	}
	return crashes[expired:]
}

// ensureSpace makes space for one more fingerprint. At the limit it removes expired crashes, and if that is not enough
// evicts the fingerprint with the oldest last crash among those that are not refused. It reports false when all are
// refused.
func (s *shard) ensureSpace(now time.Time, rule Rule) bool {
	if len(s.crashes) < s.limit {
		return true
	}
	s.expire(now, rule)
	if len(s.crashes) < s.limit {
		return true
	}
	var oldest Report
	for _, known := range s.crashes {
		last := known[len(known)-1]
		if rule.quarantineEnd(known).After(now) {
			continue
		}
		if oldest.crashedAt.IsZero() || last.crashedAt.Before(oldest.crashedAt) {
			oldest = last
		}
	}
	if oldest.crashedAt.IsZero() {
		return false
	}
	delete(s.crashes, oldest.fingerprint)
	return true
}

// expire removes expired crashes and expired entries of clearedBefore.
func (s *shard) expire(now time.Time, rule Rule) {
	for f, started := range s.clearedBefore {
		if now.Sub(started) >= rule.retention() {
			delete(s.clearedBefore, f)
		}
	}
	for f, known := range s.crashes {
		known = dropExpired(now, rule, known)
		if len(known) == 0 {
			delete(s.crashes, f)
			continue
		}
		s.crashes[f] = known
	}
}

// remaining returns for how much longer the fingerprint is refused, or 0 when it is not.
func (s *shard) remaining(now time.Time, rule Rule, f Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.crashes[f]
	if !ok {
		return 0
	}
	return max(0, rule.quarantineEnd(known).Sub(now))
}

// reports removes expired crashes and returns the reports of the others.
func (s *shard) reports(now time.Time, rule Rule) []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now, rule)
	var all []Report
	for _, known := range s.crashes {
		all = append(all, known...)
	}
	return all
}

// len returns the number of fingerprints with crashes.
func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}
