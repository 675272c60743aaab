package baobabroute

import (
	"sync"
	"time"
)

const (
	// liveSeconds and retrySeconds are whole seconds, the present one included. Live calls are counted over at most
	// 10 s and retries over at least 10 s, so the share holds for any 10 s.
	liveSeconds  = 10
	retrySeconds = 11
	defaultFloor = 3
	// offerPercent is the share of live calls that may be offered to another node after one refused. An offer costs a
	// message between nodes and no upstream anything.
	offerPercent = 200
)

// A Budget bounds retries to a share of the live calls over the last 10 s, with a floor for low traffic. Offers to another
// node after one that refused have a share of their own. It is safe for concurrent use.
type Budget struct {
	percent int
	floor   int // Retries that are always allowed in 10 s.

	mu      sync.Mutex
	second  int64 // Present second, Unix time; never goes back.
	live    [retrySeconds]int
	retries [retrySeconds]int
	offers  [retrySeconds]int
}

// BudgetOption sets an optional property of a Budget.
type BudgetOption func(*Budget)

// WithFloor sets how many retries are always allowed in 10 s.
func WithFloor(n int) BudgetOption { return func(b *Budget) { b.floor = n } }

// NewBudget returns a budget of the given percentage of live calls.
func NewBudget(percent int, options ...BudgetOption) *Budget {
	b := &Budget{percent: percent, floor: defaultFloor}
	for _, o := range options {
		o(b)
	}
	return b
}

// Live counts a call (not a retry).
func (b *Budget) Live(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.live[b.second%retrySeconds]++
}

// Take takes one retry from the budget and reports whether it is allowed.
func (b *Budget) Take(now time.Time) bool {
	return b.take(now, &b.retries, b.percent)
}

// TakeOffer takes one offer after a refusal and reports whether it is allowed.
func (b *Budget) TakeOffer(now time.Time) bool {
	return b.take(now, &b.offers, offerPercent)
}

func (b *Budget) take(now time.Time, taken *[retrySeconds]int, percent int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	sum := 0
	for _, n := range taken {
		sum += n
	}
	if sum >= max(b.floor, percent*b.liveCalls()/100) {
		return false
	}
	taken[b.second%retrySeconds]++
	return true
}

// liveCalls returns the calls of the last liveSeconds. The caller holds mu.
func (b *Budget) liveCalls() int {
	n := 0
	for s := b.second - liveSeconds + 1; s <= b.second; s++ {
		if s >= 0 {
			n += b.live[s%retrySeconds]
		}
	}
	return n
}

// advance empties the seconds that have passed. A clock that goes back stays in the present second.
func (b *Budget) advance(now time.Time) {
	second := max(now.Unix(), 0)
	if second <= b.second {
		return
	}
	for s := max(b.second+1, second-retrySeconds+1); s <= second; s++ {
		b.live[s%retrySeconds], b.retries[s%retrySeconds], b.offers[s%retrySeconds] = 0, 0, 0
	}
	b.second = second
}
