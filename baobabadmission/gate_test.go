package baobabadmission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const testTimeout = 30 * time.Second

// acquireAsync calls Acquire in a goroutine and returns once the request is queued.
func acquireAsync(ctx context.Context, t *testing.T, g *Gate, r Request) <-chan *call.Refusal {
	t.Helper()
	result := make(chan *call.Refusal, 1)
	queued := g.Load(time.Now()).Queued()
	go func() {
		p, refusal := g.Acquire(ctx, time.Now(), r)
		if p != nil {
			p.Release(time.Now(), OutcomeSucceeded)
		}
		result <- refusal
	}()
	waitFor(t, func() bool { return g.Load(time.Now()).Queued() > queued })
	return result
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("Condition not reached in time")
		}
		time.Sleep(time.Millisecond)
	}
}

func receiveResult(t *testing.T, result <-chan *call.Refusal) *call.Refusal {
	t.Helper()
	select {
	case r := <-result:
		return r
	case <-time.After(testTimeout):
		t.Fatal("Acquire did not end in time")
		return nil
	}
}

// TestGateWaiting checks how a waiting request can end: grant, cancellation, deadline and drain.
func TestGateWaiting(t *testing.T) {
	g := NewGate()
	held, refusal := g.Acquire(t.Context(), time.Now(), NewRequest("", "a", time.Time{}, ""))
	if refusal != nil {
		t.Fatalf("Acquire of a free permit: %v", refusal)
	}

	ctx, cancel := context.WithCancel(t.Context())
	cancelled := acquireAsync(ctx, t, g, NewRequest("", "a", time.Time{}, ""))
	cancel()
	if r := receiveResult(t, cancelled); r == nil || r.Outcome() != call.OutcomeNotRun {
		t.Errorf("Cancelled request: %v, want a not_run refusal", r)
	}
	if got := g.Load(time.Now()).Queued(); got != 0 {
		t.Errorf("Queued after cancellation = %d, want 0", got)
	}

	soon := time.Now().Add(20 * time.Millisecond)
	if _, r := g.Acquire(t.Context(), time.Now(), NewRequest("", "a", soon, "")); r == nil || r.Reason() != call.ReasonDeadlinePassed {
		t.Errorf("Request whose deadline passed: %v, want deadline_passed", r)
	}

	granted := acquireAsync(t.Context(), t, g, NewRequest("", "a", time.Time{}, ""))
	held.Release(time.Now(), OutcomeSucceeded)
	held.Release(time.Now(), OutcomeSucceeded)
	if r := receiveResult(t, granted); r != nil {
		t.Errorf("Request after a release: %v, want a permit", r)
	}
	waitFor(t, func() bool { return g.Load(time.Now()).InFlight() == 0 })

	held, _ = g.Acquire(t.Context(), time.Now(), NewRequest("", "a", time.Time{}, ""))
	drained := acquireAsync(t.Context(), t, g, NewRequest("", "a", time.Time{}, ""))
	g.Drain()
	if r := receiveResult(t, drained); r == nil || r.Reason() != call.ReasonDraining || r.Outcome() != call.OutcomeNotRun {
		t.Errorf("Queued request at drain: %v, want draining, not_run", r)
	}
	if _, r := g.Acquire(t.Context(), time.Now(), NewRequest("", "a", time.Time{}, "")); r == nil {
		t.Error("Acquire after Drain gave a permit")
	}
	select {
	case <-g.Idle():
		t.Error("Idle is closed while a permit is held")
	default:
	}
	held.Release(time.Now(), OutcomeSucceeded)
	<-g.Idle()
	want := map[call.Reason]uint64{call.ReasonDeadlinePassed: 2, call.ReasonDraining: 2}
	for _, c := range g.Refusals() {
		if want[c.Reason()] != c.Count() || c.Rank() != defaultRankName {
			t.Errorf("Refusals of rank %s for %s = %d, want %d", c.Rank(), c.Reason(), c.Count(), want[c.Reason()])
		}
	}
}

// TestGateConcurrent guards against permits beyond the limit, an Acquire that never returns, a refusal together with a
// permit, and a permit that leaks when cancellation and grant race.
func TestGateConcurrent(t *testing.T) {
	const limit = 4
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	policies := []Policy{
		NewPolicy([]Rank{NewRank("urgent", 0, 20, 0), NewRank("normal", 1, 20, 0)}, 16, 10),
		NewPolicy([]Rank{NewRank("normal", 0, 0, time.Millisecond)}, 8, 10),
	}
	g := NewGate(WithPolicy(policies[0]), WithWarmUp(0, 1))
	g.Announce(time.Now(), limit, limit, time.Time{})
	var held, ended atomic.Int64
	var wg sync.WaitGroup
	for i := range 32 {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			for range 200 {
				acquireAndRelease(t, g, random, &held, limit)
				ended.Add(1)
			}
		})
	}
	for i := 0; ended.Load() < 32*150; i++ {
		g.Configure(policies[i%2])
		time.Sleep(time.Millisecond)
	}
	g.Drain()
	wg.Wait()
	<-g.Idle()
	if l := g.Load(time.Now()); l.InFlight() != 0 || l.Queued() != 0 || !l.Draining() {
		t.Errorf("Load at the end = %+v, want none in flight or queued, draining", l)
	}
}

// acquireAndRelease acquires and releases one permit, with a random deadline, context and outcome.
func acquireAndRelease(t *testing.T, g *Gate, random *rand.Rand, held *atomic.Int64, limit int64) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(random.IntN(3000))*time.Microsecond)
	defer cancel()
	if random.IntN(2) == 0 {
		ctx = context.Background()
	}
	now := time.Now()
	var deadline time.Time
	if random.IntN(2) == 0 {
		deadline = now.Add(time.Duration(random.IntN(3000)) * time.Microsecond)
	}
	rank := []string{"urgent", "normal"}[random.IntN(2)]
	caller := string(rune('a' + random.IntN(4)))
	p, refusal := g.Acquire(ctx, now, NewRequest(rank, caller, deadline, "k"))
	if (p == nil) == (refusal == nil) {
		t.Errorf("Acquire = %v, %v, want exactly one result", p, refusal)
	}
	if p == nil {
		if refusal != nil && refusal.Outcome() != call.OutcomeNotRun {
			t.Errorf("Outcome of a refusal = %s, want not_run", refusal.Outcome())
		}
		return
	}
	if n := held.Add(1); n > limit {
		t.Errorf("%d permits held, want at most %d", n, limit)
	}
	time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
	held.Add(-1)
	p.Release(time.Now(), Outcome(random.IntN(4)))
}

// BenchmarkGate measures the cost of one call with a free permit, and with a permit that passes between 64 waiting
// goroutines.
func BenchmarkGate(b *testing.B) {
	policy := NewPolicy([]Rank{NewRank("urgent", 0, 30, 0), NewRank("normal", 1, 15, 0)}, 128, 5)
	for _, waiting := range []int{0, 64} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			g := NewGate(WithPolicy(policy), WithWarmUp(0, 1))
			b.ReportAllocs()
			var wg sync.WaitGroup
			for i := range max(1, waiting) {
				n := b.N / max(1, waiting)
				r := NewRequest("urgent", string(rune('a'+i%8)), time.Time{}, "k")
				wg.Go(func() {
					for range n {
						p, _ := g.Acquire(context.Background(), time.Now(), r)
						p.Release(time.Now(), OutcomeSucceeded)
					}
				})
			}
			wg.Wait()
		})
	}
}

// TestFreeSlotOnly guards against a call that asks for a free slot and waits, takes a slot that is reserved or due to
// another, or counts as refused although a slot is free.
func TestFreeSlotOnly(t *testing.T) {
	now := time.Now()
	g := NewGate(WithPolicy(NewPolicy([]Rank{NewRank("urgent", 0, 0, 0), NewRank("late", 1, 0, 0)}, 10, 0)), WithWarmUp(0, 1))
	g.Announce(now, 2, 10, time.Time{})
	ask := func(rank string) (*Permit, *call.Refusal) {
		return g.Acquire(t.Context(), now, NewRequest(rank, "a", now.Add(time.Hour), "").WithFreeSlotOnly())
	}
	first, refusal := ask("late")
	if refusal != nil {
		t.Fatalf("two free slots: %v", refusal)
	}
	if _, refusal = ask("urgent"); refusal != nil {
		t.Fatalf("one free slot: %v", refusal)
	}
	_, refusal = ask("urgent")
	if refusal == nil || refusal.Reason() != call.ReasonNoFreeSlot || refusal.Outcome() != call.OutcomeNotRun {
		t.Fatalf("no free slot: %v", refusal)
	}
	waiting := acquireAsync(t.Context(), t, g, NewRequest("late", "b", now.Add(time.Hour), ""))
	if n := g.Load(now).Queued(); n != 1 {
		t.Errorf("%d calls wait, want the one that may wait", n)
	}
	first.Release(now, OutcomeSucceeded)
	if refusal := receiveResult(t, waiting); refusal != nil {
		t.Errorf("the waiting call: %v", refusal)
	}
}
