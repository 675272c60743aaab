package baobabroute

import (
	"sync"
	"time"
)

const (
	// callWindowSeconds and retryWindowSeconds are whole seconds, including the current one. Calls are counted over at
	// most 10 s and retries over at least 10 s, so the percentage holds in any 10 s.
	callWindowSeconds  = 10
	retryWindowSeconds = 11
	defaultFloor       = 3
	// redispatchPercent is the percentage of calls that may be redispatched. A redispatch costs one message between nodes
	// and no work at any upstream.
	redispatchPercent = 200
)

// A Budget limits retries to a percentage of the calls of the last 10 s, with a floor for low traffic. Redispatches have
// their own percentage: they send a call to another node after an attempt that reached no upstream, for example because a
// node refused it. A Budget is safe for concurrent use.
type Budget struct {
	percent int
	floor   int // Retries, and as many redispatches, that are always allowed in 10 s.

	mu            sync.Mutex
	currentSecond int64 // Unix time; never goes back.
	calls         [retryWindowSeconds]int
	retries       [retryWindowSeconds]int
	redispatches  [retryWindowSeconds]int
}

// BudgetOption sets an optional property of a Budget.
type BudgetOption func(*Budget)

// WithFloor sets how many retries, and as many redispatches, are always allowed in 10 s.
func WithFloor(n int) BudgetOption { return func(b *Budget) { b.floor = n } }

// NewBudget returns a budget that allows the given percentage of calls to be retried.
func NewBudget(percent int, options ...BudgetOption) *Budget {
	b := &Budget{percent: percent, floor: defaultFloor}
	for _, o := range options {
		o(b)
	}
	return b
}

// RecordCall counts a call. Retries of it must not be counted.
func (b *Budget) RecordCall(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.calls[b.currentSecond%retryWindowSeconds]++
}

// AllowRetry reports whether a retry is allowed, and counts it if so.
func (b *Budget) AllowRetry(now time.Time) bool {
	return b.allow(now, &b.retries, b.percent)
}

// AllowRedispatch reports whether a redispatch is allowed, and counts it if so.
func (b *Budget) AllowRedispatch(now time.Time) bool {
	return b.allow(now, &b.redispatches, redispatchPercent)
}

func (b *Budget) allow(now time.Time, used *[retryWindowSeconds]int, percent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	sum := 0
	for _, n := range used {
		sum += n
	}
	if sum >= max(b.floor, percent*b.recentCalls()/100) {
		return false
	}
	used[b.currentSecond%retryWindowSeconds]++
	return true
}

// recentCalls returns the number of calls in the last callWindowSeconds. The caller must hold mu.
func (b *Budget) recentCalls() int {
	n := 0
	for s := b.currentSecond - callWindowSeconds + 1; s <= b.currentSecond; s++ {
		if s >= 0 {
			n += b.calls[s%retryWindowSeconds]
		}
	}
	return n
}

// advance moves the window to now and clears the seconds that it enters. If the clock goes back, the current second
// stays.
func (b *Budget) advance(now time.Time) {
	second := max(now.Unix(), 0)
	if second <= b.currentSecond {
		return
	}
	for s := max(b.currentSecond+1, second-retryWindowSeconds+1); s <= second; s++ {
		b.calls[s%retryWindowSeconds], b.retries[s%retryWindowSeconds], b.redispatches[s%retryWindowSeconds] = 0, 0, 0
	}
	b.currentSecond = second
}
