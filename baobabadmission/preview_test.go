package baobabadmission

import (
	"testing"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// TestGatePreview guards against a body that is asked for although its call would be refused, and against more free
// slots promised to bodies than there are.
func TestGatePreview(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		held     int // Permits, of two.
		pending  int
		freeOnly bool
		transfer time.Duration
		drain    bool
		want     call.Reason
	}{
		{name: "free slot", freeOnly: true},
		{name: "one slot left", held: 1, freeOnly: true},
		{name: "last slot promised", held: 1, pending: 1, freeOnly: true, want: call.ReasonNoFreeSlot},
		{name: "all slots taken", held: 2, freeOnly: true, want: call.ReasonNoFreeSlot},
		{name: "place in the queue", held: 2},
		{name: "body late", transfer: time.Second, want: call.ReasonDeadlineUnmeetable},
		{name: "draining", drain: true, want: call.ReasonDraining},
	} {
		g := NewGate(WithWarmUp(0, 1), WithAnnouncedLimit())
		g.Announce(now, 2, 4, now)
		for range c.held {
			_, _ = g.Acquire(t.Context(), now, NewRequest("", "a", time.Time{}, ""))
		}
		if c.drain {
			g.Drain()
		}
		r := NewRequest("", "a", now.Add(time.Second), "")
		if c.freeOnly {
			r = r.WithFreeSlotOnly()
		}
		got := call.Reason("")
		if refusal := g.Preview(now, r, c.pending, c.transfer); refusal != nil {
			got = refusal.Reason()
		}
		if got != c.want {
			t.Errorf("%s: refused as %q, want %q", c.name, got, c.want)
		}
		if l := g.Load(now); l.InFlight() != c.held || l.Queued() != 0 {
			t.Errorf("%s: the preview changed the load to %+v", c.name, l)
		}
	}
}
