package baobabquarantine

import (
	"slices"
	"sync"
	"time"
)

// spareCrashes is the number of crashes that are kept per fingerprint beyond those that the rule needs.
const spareCrashes = 14

// A shard holds the crashes of a part of all fingerprints under one lock.
type shard struct {
	mu      sync.Mutex
	limit   int                      // Fingerprints.
	crashes map[Fingerprint][]Report // By fingerprint, sorted by time, no two of the same crash.

	// cleared has the start of the last run that succeeded, by fingerprint. Crashes before it do not count. It holds
	// only fingerprints that had crashes, and only as long as such crashes could matter.
	cleared map[Fingerprint]time.Time
}

// add takes in a report and reports whether it was new and kept.
func (s *shard) add(now time.Time, rule Rule, r Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(r.at) >= rule.memory() || !r.at.After(s.cleared[r.fingerprint]) {
		return false
	}
	known := prune(now, rule, s.crashes[r.fingerprint])
	if slices.ContainsFunc(known, r.sameCrash) {
		return false
	}
	if len(known) == 0 && !s.makeRoom(now, rule) {
		return false
	}
	known = append(known, r)
	slices.SortFunc(known, compareReports)
	if excess := len(known) - rule.after - spareCrashes; excess > 0 {
		known = known[excess:]
	}
	s.crashes[r.fingerprint] = known
	return slices.Contains(known, r)
}

// clear drops the crashes before a run that succeeded, and reports whether that is news.
func (s *shard) clear(now time.Time, rule Rule, f Fingerprint, started time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.crashes[f]
	if !ok || !known[0].at.Before(started) || !started.After(s.cleared[f]) || rule.until(known).After(now) {
		return false
	}
	s.cleared[f] = started
	known = slices.DeleteFunc(known, func(r Report) bool { return !r.at.After(started) })
	if len(known) == 0 {
		delete(s.crashes, f)
		return true
	}
	s.crashes[f] = known
	return true
}

// suspected reports whether crashes are known.
func (s *shard) suspected(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes[f]) > 0
}

// prune returns the crashes that still matter.
func prune(now time.Time, rule Rule, crashes []Report) []Report {
	old := 0
	for old < len(crashes) && now.Sub(crashes[old].at) >= rule.memory() {
		old++
	}
	return crashes[old:]
}

// makeRoom frees a place for one more fingerprint. Beyond the limit it evicts the one with the oldest last crash
// among those that are not refused, and reports false when all are refused.
func (s *shard) makeRoom(now time.Time, rule Rule) bool {
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
		if rule.until(known).After(now) {
			continue
		}
		if oldest.at.IsZero() || last.at.Before(oldest.at) {
			oldest = last
		}
	}
	if oldest.at.IsZero() {
		return false
	}
	delete(s.crashes, oldest.fingerprint)
	return true
}

// expire forgets what no longer matters.
func (s *shard) expire(now time.Time, rule Rule) {
	for f, started := range s.cleared {
		if now.Sub(started) >= rule.memory() {
			delete(s.cleared, f)
		}
	}
	for f, known := range s.crashes {
		known = prune(now, rule, known)
		if len(known) == 0 {
			delete(s.crashes, f)
			continue
		}
		s.crashes[f] = known
	}
}

// left returns the time for which the fingerprint is refused, or 0.
func (s *shard) left(now time.Time, rule Rule, f Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.crashes[f]
	if !ok {
		return 0
	}
	return max(0, rule.until(known).Sub(now))
}

// reports returns all crashes that still matter.
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

// len returns the number of fingerprints.
func (s *shard) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}
