package baobabquarantine

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// shardCount is a power of two below 256, because one byte of the fingerprint chooses the shard.
	shardCount = 16
	// defaultLimit bounds memory: about 200 bytes per report of short ids.
	defaultLimit = 4096
)

// A List decides which requests are refused because they crash upstreams. It is safe for concurrent use.
type List struct {
	rule   atomic.Pointer[Rule]
	shards [shardCount]shard
}

// An Option sets an optional property of a List.
type Option func(*List)

// WithRule sets the rule; the default is 2 crashes within 60 s, refused for 60 s.
func WithRule(r Rule) Option { return func(l *List) { l.rule.Store(&r) } }

// WithLimit sets the greatest number of fingerprints, rounded up to a multiple of the number of shards. The default
// is 4096.
func WithLimit(n int) Option {
	return func(l *List) {
		for i := range l.shards {
			l.shards[i].limit = max(1, (n+shardCount-1)/shardCount)
		}
	}
}

// NewList returns an empty list.
func NewList(options ...Option) *List {
	l := &List{}
	WithRule(NewRule(0, 0))(l)
	WithLimit(defaultLimit)(l)
	for i := range l.shards {
		l.shards[i].crashes = map[Fingerprint][]Report{}
		l.shards[i].cleared = map[Fingerprint]time.Time{}
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Configure replaces the rule; known crashes are judged by the new one.
func (l *List) Configure(r Rule) { l.rule.Store(&r) }

func (l *List) shard(f Fingerprint) *shard { return &l.shards[f[0]%shardCount] }

// Report counts a crash that this node saw. It returns the report to broadcast and whether it was new; the same
// call on the same upstream counts once.
func (l *List) Report(now time.Time, f Fingerprint, upstreamID, callID string) (Report, bool) {
	r := NewReport(f, upstreamID, callID, now)
	return r, l.shard(f).add(now, *l.rule.Load(), r)
}

// Merge takes in reports of other nodes and returns those that were new. A crash in the future, which a negative
// age would give, counts as a crash now.
func (l *List) Merge(now time.Time, reports []Report) []Report {
	rule := *l.rule.Load()
	var added []Report
	for _, r := range reports {
		if r.at.After(now) {
			r.at = now
		}
		if l.shard(r.fingerprint).add(now, rule, r) {
			added = append(added, r)
		}
	}
	return added
}

// Empty reports whether no crash is known.
func (l *List) Empty() bool {
	for i := range l.shards {
		if l.shards[i].len() > 0 {
			return false
		}
	}
	return true
}

// Suspected reports whether crashes are known of requests with the fingerprint.
func (l *List) Suspected(f Fingerprint) bool { return l.shard(f).suspected(f) }

// Clear takes note of a run that succeeded: crashes before its start do not count, because other requests that were
// in flight at a crash are reported like the one that caused it. It reports whether that is news, to be broadcast.
// Requests that are refused already stay refused.
func (l *List) Clear(now time.Time, f Fingerprint, started time.Time) bool {
	if started.After(now) {
		started = now
	}
	return l.shard(f).clear(now, *l.rule.Load(), f, started)
}

// Refused reports whether requests with the fingerprint are refused, and for how long.
func (l *List) Refused(now time.Time, f Fingerprint) (time.Duration, bool) {
	left := l.shard(f).left(now, *l.rule.Load(), f)
	return left, left > 0
}

// Reports returns all crashes that still matter, sorted, for a node that has just joined.
func (l *List) Reports(now time.Time) []Report {
	rule := *l.rule.Load()
	var all []Report
	for i := range l.shards {
		all = append(all, l.shards[i].reports(now, rule)...)
	}
	slices.SortFunc(all, compareReports)
	return all
}

// Latest returns the n latest crashes that still matter, the latest first.
func (l *List) Latest(now time.Time, n int) []Report {
	all := l.Reports(now)
	slices.SortStableFunc(all, func(a, b Report) int { return b.at.Compare(a.at) })
	return all[:min(n, len(all))]
}

// Digest returns a summary of the crashes that still matter, or 0 when there are none. Lists that know the same crashes
// have the same digest, whatever the times at which they heard of them.
func (l *List) Digest(now time.Time) uint64 {
	var digest uint64
	for _, r := range l.Reports(now) {
		digest ^= r.digest()
	}
	return digest
}

// Expire forgets crashes that no longer matter and returns the number of fingerprints left.
func (l *List) Expire(now time.Time) int {
	rule := *l.rule.Load()
	n := 0
	for i := range l.shards {
		l.shards[i].reports(now, rule)
		n += l.shards[i].len()
	}
	return n
}
