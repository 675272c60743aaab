package baobabquarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shardCount is a power of two below 256, because one byte of the fingerprint selects the shard.
	shardCount = 16
	// defaultLimit is the number of fingerprints. It bounds memory; a report with short ids takes about 200 bytes.
	defaultLimit = 4096
	// crashTime is how long after the first call of a crash others that were in flight may fail. An upstream takes longer
	// to come back.
	crashTime = 500 * time.Millisecond
)

// A List holds crash reports and determines which requests are refused because they crash upstreams. It is safe for
// concurrent use.
type List struct {
	rule   atomic.Pointer[Rule]
	shards [shardCount]shard

	successes successes // On the upstream beside this node.

	mu   sync.Mutex
	last upstreamCrash // Guarded by mu; the last crash that this node observed.
}

// An upstreamCrash is a crash of the upstream beside this node.
type upstreamCrash struct {
	upstreamID string
	id         uint64
	at         time.Time // When the call that was reported first failed.
}

// An Option sets an optional property of a List.
type Option func(*List)

// WithRule sets the rule; the default is 2 crashes within 60 s, refused for 60 s.
func WithRule(r Rule) Option { return func(l *List) { l.rule.Store(&r) } }

// WithLimit sets the maximum number of fingerprints, rounded up to a multiple of the number of shards. The default is
// 4096.
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
		l.shards[i].clearedBefore = map[Fingerprint]time.Time{}
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Configure replaces the rule. It also applies to crashes that are already known.
func (l *List) Configure(r Rule) { l.rule.Store(&r) }

func (l *List) shard(f Fingerprint) *shard { return &l.shards[f[0]%shardCount] }

// RecordSuccess records that a request ran without a crash on the upstream beside this node.
func (l *List) RecordSuccess(now time.Time, r Request) { l.successes.record(now, r) }

// Report records a crash observed by this node, at which a call failed. It returns the report to broadcast and whether it
// was new. Equal requests that fail on one upstream within crashTime were in flight at the same crash and count once.
func (l *List) Report(failedAt time.Time, r Request, f Fingerprint, upstreamID, callID string) (Report, bool) {
	rule := *l.rule.Load()
	report := NewReport(f, upstreamID, callID, failedAt).WithCrash(l.crashID(failedAt, upstreamID)).
		WithSucceeded(l.successes.since(failedAt.Add(-rule.duration), r))
	return report, l.shard(f).add(failedAt, rule, report)
}

// crashID returns the id of the crash to which a call belongs that failed at a time. Calls are reported in any order.
func (l *List) crashID(failedAt time.Time, upstreamID string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last.id == 0 || l.last.upstreamID != upstreamID || failedAt.Sub(l.last.at).Abs() >= crashTime {
		l.last = upstreamCrash{upstreamID: upstreamID, id: rand.Uint64() | 1, at: failedAt}
	}
	return l.last.id
}

// Merge adds reports of other nodes and returns those that were new. A crash time in the future, which results from a
// negative age, is replaced by the current time.
func (l *List) Merge(now time.Time, reports []Report) []Report {
	rule := *l.rule.Load()
	var added []Report
	for _, r := range reports {
		if r.crashedAt.After(now) {
			r.crashedAt = now
		}
		if l.shard(r.fingerprint).add(now, rule, r) {
			added = append(added, r)
		}
	}
	return added
}

// Empty reports whether no crashes are known.
func (l *List) Empty() bool {
	for i := range l.shards {
		if l.shards[i].len() > 0 {
			return false
		}
	}
	return true
}

// Suspected reports whether crashes of requests with the fingerprint are known.
func (l *List) Suspected(f Fingerprint) bool { return l.shard(f).suspected(f) }

// Clear records a successful run of a request. Crashes before the start of the run no longer count: all requests in
// flight at a crash are reported, not only the one that caused it. Clear reports whether this changed anything and must
// be broadcast. Requests that are already refused stay refused.
func (l *List) Clear(now time.Time, f Fingerprint, started time.Time) bool {
	if started.After(now) {
		started = now
	}
	return l.shard(f).clear(now, *l.rule.Load(), f, started)
}

// Refused reports whether requests with the fingerprint are refused, and for how much longer.
func (l *List) Refused(now time.Time, f Fingerprint) (time.Duration, bool) {
	remaining := l.shard(f).remaining(now, *l.rule.Load(), f)
	return remaining, remaining > 0
}

// Reports returns the reports of all crashes that have not expired, sorted, for a node that has just joined.
func (l *List) Reports(now time.Time) []Report {
	rule := *l.rule.Load()
	var all []Report
	for i := range l.shards {
		all = append(all, l.shards[i].reports(now, rule)...)
	}
	slices.SortFunc(all, compareReports)
	return all
}

// Latest returns the reports of the n latest crashes that have not expired, the latest first.
func (l *List) Latest(now time.Time, n int) []Report {
	all := l.Reports(now)
	slices.SortStableFunc(all, func(a, b Report) int { return b.crashedAt.Compare(a.crashedAt) })
	return all[:min(n, len(all))]
}

// Digest returns a hash of the crashes that have not expired, or 0 when there are none. Lists with the same crashes
// have the same digest, regardless of when they received the reports.
func (l *List) Digest(now time.Time) uint64 {
	var digest uint64
	for _, r := range l.Reports(now) {
		digest ^= r.hash()
	}
	return digest
}

// Expire removes expired crashes and returns the number of remaining fingerprints.
func (l *List) Expire(now time.Time) int {
	rule := *l.rule.Load()
	n := 0
	for i := range l.shards {
		l.shards[i].reports(now, rule)
		n += l.shards[i].len()
	}
	return n
}
