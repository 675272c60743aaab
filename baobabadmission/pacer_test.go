package baobabadmission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPacerRate guards against permits beyond the limit, also when times are passed out of order, and against unused ones.
func TestPacerRate(t *testing.T) {
	const window, maxReadDelay = 4 * time.Second, 20 * time.Millisecond
	for _, c := range []struct {
		perSecond float64
		want      float64 // Permits per second.
	}{{0, minPacedRate}, {0.4, minPacedRate}, {3, 3}, {22.8, 22.8}, {500, 500}} {
		random := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(1_800_000_000, 0)
		begin := now
		var p pacer
		p.setLimit(now, c.perSecond)
		var granted []time.Time
		for now.Sub(begin) < 10*window {
			// Goroutines read the clock before they get the lock of the gate.
			read := now.Add(-time.Duration(random.Int64N(int64(maxReadDelay))))
			if p.wait(read) == 0 {
				p.take(read)
				granted = append(granted, now)
			}
			now = now.Add(time.Duration(random.Int64N(int64(2 * time.Millisecond))))
			if random.IntN(4000) == 0 {
				now = now.Add(time.Second) // The process is paused.
			}
		}
		first := 0
		for i, at := range granted {
			for at.Sub(granted[first]) > window {
				first++
			}
			if most := c.want*(window+maxReadDelay).Seconds() + max(1, c.want*pacerBurst.Seconds()) + 1; float64(i-first+1) > most {
				t.Fatalf("limit %v: %d permits in %v, want at most %.1f", c.perSecond, i-first+1, window, most)
			}
		}
		if total := c.want * 10 * window.Seconds(); float64(len(granted)) < total/2 {
			t.Errorf("limit %v: %d permits of %.0f", c.perSecond, len(granted), total)
		}
	}
}

// TestRequestLimitWaits guards against requests that exceed a stated limit, or that wait for it beyond their deadline.
func TestRequestLimitWaits(t *testing.T) {
	now := time.Now()
	g := NewGate(WithAnnouncedLimit())
	g.Announce(now, 6, 8, time.Time{})
	g.SetRequestLimit(now, 1)
	p, refusal := g.Acquire(t.Context(), now, NewRequest("", "a", now.Add(300*time.Millisecond), ""))
	if p != nil || refusal == nil || refusal.RetryAfter() < 900*time.Millisecond {
		t.Errorf("request with 300 ms left: permit %v, refusal %v; want a refusal with a pause of 1 s", p, refusal)
	}
	results := []<-chan error{}
	for range 3 {
		done := make(chan error, 1)
		results = append(results, done)
		go func() {
			p, refusal := g.Acquire(t.Context(), now, NewRequest("", "a", time.Time{}, ""))
			if refusal != nil {
				done <- refusal
				return
			}
			p.Release(time.Now(), OutcomeSucceeded)
			done <- nil
		}()
	}
	waitFor(t, func() bool { return g.Load(now).Queued() == 3 })
	if l := g.Load(now); l.InFlight() != 0 || g.Pauses() == 0 {
		t.Errorf("%d in flight, %d pauses; want 0 and at least 1", l.InFlight(), g.Pauses())
	}
	g.ClearRequestLimit(now)
	for _, done := range results {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
