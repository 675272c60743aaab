package baobabnode

import (
	"testing"
	"time"
)

// TestLinkSchedule guards against bodies of several senders that arrive at the same time and delay short calls: ten
// senders that start together must get more than the time in which their bodies fit into the bodies' share of the link.
func TestLinkSchedule(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		speed int64
		last  time.Duration // Wait of the tenth body of 60 kB.
	}{
		{"10 Mbit/s", 1_250_000, 720 * time.Millisecond},
		{"200 Mbit/s", 25_000_000, 36 * time.Millisecond},
		{"unknown", 0, 0},
	} {
		l := newLinkSchedule(c.speed)
		var last time.Duration
		for range 10 {
			last = l.reserve(start, 60_000)
		}
		if last != c.last {
			t.Errorf("%s: the tenth body waits %v, want %v", c.name, last, c.last)
		}
		if later := l.reserve(start.Add(time.Minute), 60_000); later != 0 {
			t.Errorf("%s: a body waits %v on an idle link", c.name, later)
		}
	}
}
