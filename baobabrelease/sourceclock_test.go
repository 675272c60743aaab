package baobabrelease

import (
	"testing"
	"time"
)

// TestSourceClock guards against times of the source that seem later than they were: after a slow response, with clocks that
// drift apart, or after the source was restored and has another clock.
func TestSourceClock(t *testing.T) {
	type sample struct {
		era         uint64
		sent, shown time.Duration
	}
	const s, m = time.Second, time.Minute
	for _, c := range []struct {
		name    string
		samples []sample
		now     time.Duration
		era     uint64
		want    time.Duration // Boot time for 100 s on the source's clock.
		known   bool
	}{
		{"no response", nil, m, 0, 0, false},
		{"one", []sample{{0, 50 * s, 90 * s}}, m, 0, m, true},
		{"a slow response adds nothing", []sample{{0, 50 * s, 90 * s}, {0, 51 * s, 94 * s}}, m, 0, m, true},
		{"a faster one counts", []sample{{0, 50 * s, 91 * s}, {0, 51 * s, 91 * s}}, m, 0, m, true},
		{"another clock", []sample{{1, 50 * s, 90 * s}, {2, 51 * s, 98 * s}}, m, 2, 53 * s, true},
		{"time of the earlier clock", []sample{{1, 50 * s, 90 * s}, {2, 51 * s, 8 * s}}, m, 1, 0, false},
		{"late response of the earlier clock", []sample{{2, 50 * s, 90 * s}, {1, 51 * s, 10 * s}}, m, 2, m, true},
		{"the window before counts", []sample{{0, 50 * s, 90 * s}, {0, 11 * m, 11*m + 42*s}}, 12 * m, 0, m, true},
		{"a drift is forgotten", []sample{{0, 50 * s, 90 * s}, {0, 11 * m, 11*m + 42*s}, {0, 22 * m, 22*m + 42*s}}, 23 * m, 0, 58 * s, true},
		{"all samples are old", []sample{{0, 50 * s, 90 * s}}, 21 * m, 0, 0, false},
		{"a long pause", []sample{{0, 50 * s, 90 * s}, {0, 40 * m, 40*m + 42*s}}, 41 * m, 0, 58 * s, true},
	} {
		clock := &SourceClock{}
		for _, v := range c.samples {
			clock.Observe(v.sent, NewSourceTime(v.era, v.shown))
		}
		at, known := clock.ToBootTime(c.now, NewSourceTime(c.era, 100*s))
		if known != c.known || known && at != c.want {
			t.Errorf("%s: %s, %t; want %s, %t", c.name, at, known, c.want, c.known)
		}
		if back, ok := clock.FromBootTime(c.now, at); known && (!ok || back != NewSourceTime(c.era, 100*s)) {
			t.Errorf("%s: back on the source's clock %v, %t", c.name, back, ok)
		}
	}
}
