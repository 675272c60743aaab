package baobabroute

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

func refusedOutcome(r call.Reason, o call.Outcome) AttemptOutcome {
	return NewRefused(call.NewRefusal(r, o, ""))
}

// TestDecideRetry guards against unsafe or useless retries, and against safe retries that are not made.
func TestDecideRetry(t *testing.T) {
	later := start.Add(time.Second)
	idempotent := WithIdempotent(true)
	tests := []struct {
		name    string
		attempt Attempt
		want    RetryDecision
	}{
		{"answered", NewAttempt(1, 3, later, Answered{}, idempotent), Stop{StopAnswered}},
		{"not sent", NewAttempt(1, 3, later, NotSent{}), Retry{RetryNotSent}},
		{"refused as not run", NewAttempt(1, 3, later, refusedOutcome(call.ReasonQueueFull, call.OutcomeNotRun)), Retry{RetryRefused}},
		{"draining", NewAttempt(1, 3, later, refusedOutcome(call.ReasonDraining, call.OutcomeNotRun)), Retry{RetryRefused}},
		{"caller's share", NewAttempt(1, 3, later, refusedOutcome(call.ReasonCallerShare, call.OutcomeNotRun)), Stop{StopUseless}},
		{"store unavailable", NewAttempt(1, 3, later, refusedOutcome(call.ReasonStoreUnavailable, call.OutcomeNotRun)), Stop{StopUseless}},
		{"quarantined", NewAttempt(1, 3, later, refusedOutcome(call.ReasonQuarantined, call.OutcomeNotRun), idempotent), Stop{StopUseless}},
		{"key in progress", NewAttempt(1, 3, later, refusedOutcome(call.ReasonInProgress, call.OutcomeUnknown), idempotent), Stop{StopUseless}},
		{"lost, idempotent", NewAttempt(1, 3, later, NewLost(false), idempotent), Retry{RetryLost}},
		{"lost, not idempotent", NewAttempt(1, 3, later, NewLost(false)), Stop{StopUnsafe}},
		{"refused as unknown, idempotent", NewAttempt(1, 3, later, refusedOutcome(call.ReasonAnswerLost, call.OutcomeUnknown), idempotent), Retry{RetryLost}},
		{"refused as unknown", NewAttempt(1, 3, later, refusedOutcome(call.ReasonAnswerLost, call.OutcomeUnknown)), Stop{StopUnsafe}},
		{"crash, idempotent", NewAttempt(1, 3, later, NewLost(true), idempotent), Stop{StopCrash}},
		{"reported crash, idempotent", NewAttempt(1, 3, later, refusedOutcome(call.ReasonUpstreamFailed, call.OutcomeUnknown), idempotent), Stop{StopCrash}},
		{"retried by an earlier hop", NewAttempt(1, 3, later, NotSent{}, WithRetriedEarlier(true)), Stop{StopRetriedEarlier}},
		{"last attempt", NewAttempt(3, 3, later, NotSent{}), Stop{StopMaxAttempts}},
		{"deadline", NewAttempt(1, 3, start, NotSent{}), Stop{StopDeadline}},
		{"no deadline", NewAttempt(1, 3, time.Time{}, NotSent{}), Retry{RetryNotSent}},
		{"no outcome", NewAttempt(1, 3, later, nil, idempotent), Stop{StopUnsafe}},
	}
	for _, tt := range tests {
		if got := DecideRetry(start, tt.attempt, NewBudget(10)); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
	if got := DecideRetry(start, NewAttempt(1, 3, later, NotSent{}), NewBudget(10, WithFloor(0))); got != (Stop{StopBudget}) {
		t.Errorf("empty budget: %+v", got)
	}
}

// TestRedispatch guards against node refusals that use up the attempts or the retry budget although no upstream has seen
// the call, and against an unlimited number of redispatches.
func TestRedispatch(t *testing.T) {
	later := start.Add(time.Second)
	full := refusedOutcome(call.ReasonQueueFull, call.OutcomeNotRun)
	shed := refusedOutcome(call.ReasonUpstreamShed, call.OutcomeNotRun)
	b := NewBudget(0, WithFloor(0))
	for range 10 {
		b.RecordCall(start)
	}
	for _, c := range []struct {
		name    string
		attempt Attempt
		want    RetryDecision
	}{
		{"refused by a node", NewAttempt(0, 1, later, full, WithDispatches(1)), Retry{RetryRefused}},
		{"not sent", NewAttempt(0, 1, later, NotSent{}, WithDispatches(1)), Retry{RetryNotSent}},
		{"shed, no budget", NewAttempt(1, 2, later, shed, WithDispatches(1)), Stop{StopBudget}},
		{"shed, last attempt", NewAttempt(1, 1, later, shed, WithDispatches(1)), Stop{StopMaxAttempts}},
		{"lost, no budget", NewAttempt(1, 2, later, NewLost(false), WithDispatches(1), WithIdempotent(true)), Stop{StopBudget}},
		{"too many dispatches", NewAttempt(0, 3, later, full, WithDispatches(maxDispatches)), Stop{StopMaxAttempts}},
	} {
		if got := DecideRetry(start, c.attempt, b); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
	redispatches := 0
	for b.AllowRedispatch(start) {
		redispatches++
	}
	if redispatches > 10*redispatchPercent/100 {
		t.Errorf("%d redispatches for 10 calls", redispatches)
	}
}

// TestScarceRetries guards against less urgent calls that use up the retry budget, and against retries at a service
// without room, or after it has room again.
func TestScarceRetries(t *testing.T) {
	later := start.Add(time.Hour)
	lost := func(lessUrgent bool) Attempt {
		return NewAttempt(1, 3, later, NewLost(false), WithIdempotent(true), WithLessUrgent(lessUrgent))
	}
	b := NewBudget(20)
	for range 100 {
		b.RecordCall(start)
	}
	retries := map[bool]int{}
	for _, lessUrgent := range []bool{true, false} {
		for DecideRetry(start, lost(lessUrgent), b) == (Retry{RetryLost}) {
			retries[lessUrgent]++
		}
	}
	if retries[true] != 10 || retries[false] != 10 {
		t.Errorf("%d less urgent retries, then %d others; want 10 each", retries[true], retries[false])
	}
	b = NewBudget(20)
	for i := range 2 * minRoomAttempts {
		b.RecordRoom(start, i > 0)
	}
	if got := DecideRetry(start, lost(false), b); got != (Stop{StopNoRoom}) {
		t.Errorf("no room: %+v", got)
	}
	for range minRoomAttempts {
		b.RecordRoom(start, false)
	}
	if got := DecideRetry(start, lost(false), b); got != (Retry{RetryLost}) {
		t.Errorf("room again: %+v", got)
	}
	if b.NoRoom(start.Add(2 * time.Second)) {
		t.Error("refusals of two seconds ago count")
	}
}

func drawOutcome(t *rapid.T) AttemptOutcome {
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return Answered{}
	case 1:
		return NotSent{}
	case 2:
		return NewLost(rapid.Bool().Draw(t, "crashed"))
	default:
		outcome := rapid.SampledFrom([]call.Outcome{call.OutcomeNotRun, call.OutcomeUnknown}).Draw(t, "outcome")
		return refusedOutcome(rapid.SampledFrom(call.Reasons()).Draw(t, "reason"), outcome)
	}
}

// TestRetryIsSafe guards against retrying a call that may have run and is not idempotent, that may have crashed its
// upstream, that an earlier hop retries, or that is out of attempts or time.
func TestRetryIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := drawOutcome(t)
		idempotent, retried := rapid.Bool().Draw(t, "idempotent"), rapid.Bool().Draw(t, "retried")
		number := rapid.IntRange(1, 5).Draw(t, "number")
		deadline := start.Add(time.Duration(rapid.IntRange(-10, 10).Draw(t, "ms")) * time.Millisecond)
		a := NewAttempt(number, 3, deadline, o, WithIdempotent(idempotent), WithRetriedEarlier(retried))
		if _, ok := DecideRetry(start, a, NewBudget(100)).(Retry); !ok {
			return
		}
		if retried || number >= 3 || !deadline.After(start) {
			t.Fatalf("retry of %+v", a)
		}
		switch o := o.(type) {
		case Answered:
			t.Fatal("retry of an answered call")
		case Lost:
			if o.crashed || !idempotent {
				t.Fatalf("unsafe retry of %+v", a)
			}
		case Refused:
			if o.refusal.Outcome() == call.OutcomeUnknown && (!idempotent || o.refusal.Reason() == call.ReasonUpstreamFailed) {
				t.Fatalf("unsafe retry after %v", o.refusal)
			}
		}
	})
}

// TestBudget guards against more retries in any 10 s than the percentage of the calls in those 10 s.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const percent, floor = 20, 2
		b := NewBudget(percent, WithFloor(floor))
		var calls, retries []time.Time
		now := start
		recent := func(times []time.Time) int {
			n := 0
			for _, at := range times {
				if now.Sub(at) < 10*time.Second {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 1, 50, 999, 1000, 3000, 11_000}).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "call") {
				b.RecordCall(now)
				calls = append(calls, now)
				continue
			}
			if !b.AllowRetry(now) {
				continue
			}
			retries = append(retries, now)
			if n, limit := recent(retries), max(floor, percent*recent(calls)/100); n > limit {
				t.Fatalf("%d retries in 10 s, limit %d for %d calls", n, limit, recent(calls))
			}
		}
	})
}

// TestBudgetFloor guards against a budget that allows no retry at low traffic, or does not recover.
func TestBudgetFloor(t *testing.T) {
	b := NewBudget(10)
	for i := range defaultFloor + 1 {
		if got := b.AllowRetry(start); got != (i < defaultFloor) {
			t.Errorf("retry %d allowed = %v", i+1, got)
		}
	}
	if b.AllowRetry(start.Add(-time.Hour)) {
		t.Error("a clock that goes back refills the budget")
	}
	if !b.AllowRetry(start.Add(retryWindowSeconds * time.Second)) {
		t.Error("budget does not recover")
	}
	for range 100 {
		b.RecordCall(start.Add(retryWindowSeconds * time.Second))
	}
	n := 0
	for b.AllowRetry(start.Add(retryWindowSeconds * time.Second)) {
		n++
	}
	if n != 9 {
		t.Errorf("%d further retries for 100 calls at 10 percent, want 9", n)
	}
}
