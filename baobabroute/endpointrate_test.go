package baobabroute

import (
	"testing"
	"time"
)

// TestEndpointRate guards against a false figure that attracts or repels all calls, an old figure that still counts, and
// the mix of kinds that looks like a slow endpoint.
func TestEndpointRate(t *testing.T) {
	report := func(kind string, service time.Duration, percent int) Load {
		return NewLoad(0, 6, 0, 0).WithRate(kind, service, percent)
	}
	for _, c := range []struct {
		name      string
		reports   []Load // Of one endpoint.
		age       time.Duration
		low, high float64 // Bounds of the time factor.
	}{
		{"usual", []Load{report("k", 100*time.Millisecond, 100)}, 0, 0.95, 1.05},
		{"slow by experience", []Load{report("k", 200*time.Millisecond, 0)}, 0, 1.8, 2.1},
		{"slow by its statement", []Load{report("k", 100*time.Millisecond, 250)}, 0, 2.4, 2.6},
		{"statement is old", []Load{report("k", 100*time.Millisecond, 250)}, 2 * time.Second, 0.95, 1.05},
		{"all is old", []Load{report("k", 300*time.Millisecond, 400)}, time.Minute, 0.95, 1.05},
		{"false high", []Load{report("k", time.Hour, 10_000)}, 0, 3.9, 4},
		{"false low", []Load{report("k", 1, 1)}, 0, 0.25, 0.26},
		{"long kind", []Load{report("long", time.Second, 0), report("k", 100*time.Millisecond, 0), report("long", time.Second, 0)}, 0, 0.9, 1.1},
	} {
		stats := NewEndpointStats()
		for range 50 {
			stats.RecordLoad(start, "other", report("k", 100*time.Millisecond, 100))
		}
		for _, l := range c.reports {
			stats.RecordLoad(start, "e", l)
		}
		if got := stats.Snapshot(start.Add(c.age), "e").timeFactor; got < c.low || got > c.high {
			t.Errorf("%s: time factor %.2f, want %.2f to %.2f", c.name, got, c.low, c.high)
		}
	}
}
