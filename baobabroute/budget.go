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
	// lessUrgentShare is the share of the retries, in percent, that less urgent calls may use.
	lessUrgentShare = 50
	// noRoomPercent is the percentage of attempts refused for lack of room from which further ones are useless, and
	// minRoomAttempts how many attempts in the current and the last second show it. Any attempt that finds room counts at
	// once, so calls are retried again as soon as the service accepts a tenth of them.
	noRoomPercent   = 90
	minRoomAttempts = 10
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
	attempts      [retryWindowSeconds]int // Attempts of which it is recorded whether they found room.
	refused       [retryWindowSeconds]int // Of these, attempts refused for lack of room.
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
	return b.allow(now, &b.retries, b.percent, 100)
}

// AllowLessUrgentRetry is like AllowRetry for a call that leaves a part of the budget to more urgent ones.
func (b *Budget) AllowLessUrgentRetry(now time.Time) bool {
	return b.allow(now, &b.retries, b.percent, lessUrgentShare)
}

// RecordRoom records whether an attempt was refused for lack of room.
func (b *Budget) RecordRoom(now time.Time, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.attempts[b.currentSecond%retryWindowSeconds]++
	if refused {
		b.refused[b.currentSecond%retryWindowSeconds]++
	}
}

// NoRoom reports whether nearly all recorded attempts were refused for lack of room.
func (b *Budget) NoRoom(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	attempts, refused := 0, 0
	for s := max(b.currentSecond-1, 0); s <= b.currentSecond; s++ {
		attempts += b.attempts[s%retryWindowSeconds]
		refused += b.refused[s%retryWindowSeconds]
	}
	return attempts >= minRoomAttempts && 100*refused >= noRoomPercent*attempts
}

// AllowRedispatch reports whether a redispatch is allowed, and counts it if so.
func (b *Budget) AllowRedispatch(now time.Time) bool {
	return b.allow(now, &b.redispatches, redispatchPercent, 100)
}

// allow reports whether another use is within a share, in percent, of the budget, and counts it if so.
func (b *Budget) allow(now time.Time, used *[retryWindowSeconds]int, percent, sharePercent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	sum := 0
	for _, n := range used {
		sum += n
	}
	if 100*sum >= sharePercent*max(b.floor, percent*b.recentCalls()/100) {
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
		i := s % retryWindowSeconds
		b.calls[i], b.retries[i], b.redispatches[i], b.attempts[i], b.refused[i] = 0, 0, 0, 0, 0
	}
	b.currentSecond = second
}
