package baobabadmission

import (
	"testing"
	"time"
)

// TestSlotReservation guards against short urgent calls that wait for most of their target because long deferrable calls
// hold all slots, and against slots that stay free unnecessarily.
func TestSlotReservation(t *testing.T) {
	policy := NewPolicy([]Rank{NewRank("short", 0, 0, 120*time.Millisecond), NewRank("long", 1, 5, 2*time.Second)}, 100, 0)
	for _, c := range []struct {
		name     string
		rate     int           // Short calls per second.
		hold     time.Duration // How long a long call holds a slot.
		limit    int
		inFlight map[string]int
		granted  bool // Whether a waiting long call gets a slot.
	}{
		{"small upstream, slow releases", 10, 400 * time.Millisecond, 6, map[string]int{"long": 5}, false},
		{"small upstream, two slots left", 10, 400 * time.Millisecond, 6, map[string]int{"long": 4}, true},
		{"short call runs already", 10, 400 * time.Millisecond, 6, map[string]int{"long": 4, "short": 1}, true},
		{"fast releases", 10, 100 * time.Millisecond, 6, map[string]int{"long": 5}, true},
		{"large upstream, few short calls", 5, 480 * time.Millisecond, 18, map[string]int{"long": 17}, true},
		{"large upstream, many short calls", 80, 480 * time.Millisecond, 18, map[string]int{"long": 16}, false},
		{"slow upstream, many short calls", 80, 2 * time.Second, 18, map[string]int{"long": 14}, true},
		{"nothing runs", 10, 400 * time.Millisecond, 6, nil, true},
		{"no short calls", 0, 400 * time.Millisecond, 6, map[string]int{"long": 5}, true},
	} {
		q := NewQueue(policy)
		now := simEpoch
		offer := func(rank string, expected time.Duration) {
			s := NewUpstreamStats(c.limit, 0, expected, 0)
			if _, _, refusal := q.Offer(now, NewRequest(rank, "c", time.Time{}, rank), s); refusal != nil {
				t.Fatal(refusal)
			}
		}
		for range 3 * c.rate {
			now = now.Add(time.Second / time.Duration(c.rate))
			offer("short", 25*time.Millisecond)
			q.Next(now)
		}
		offer("long", c.hold)
		usage := NewSlotUsage(c.limit, c.inFlight)
		if e, _ := q.NextReserving(now, usage); (e != nil) != c.granted {
			t.Errorf("%s: granted %t, want %t", c.name, e != nil, c.granted)
		}
		offer("short", 25*time.Millisecond)
		if e, _ := q.NextReserving(now, usage); e == nil || e.request.rank != "short" {
			t.Errorf("%s: the short call does not get the slot", c.name)
		}
	}
}

// TestShortCallsAmongLongCalls guards against short urgent calls that are refused for an overload of their rank, although
// only long deferrable calls hold the slots.
func TestShortCallsAmongLongCalls(t *testing.T) {
	policy := NewPolicy([]Rank{NewRank("short", 0, 0, 150*time.Millisecond), NewRank("long", 1, 0, 2*time.Second)}, 100, 0)
	q := NewQueue(policy)
	q.ranks[0].overloaded = true
	s := NewUpstreamStats(18, 18, 2*time.Second, 0).WithExpectedLatency(30 * time.Millisecond)
	for i := range 20 {
		r := NewRequest("short", "c", simEpoch.Add(5*time.Second), "short")
		if _, _, refusal := q.Offer(simEpoch, r, s); refusal != nil {
			t.Fatalf("short call %d is refused: %v", i, refusal)
		}
	}
	for i := range 100 {
		r := NewRequest("short", "c", simEpoch.Add(time.Hour), "short")
		if _, _, refusal := q.Offer(simEpoch, r, s); refusal != nil {
			return
		} else if i == 99 {
			t.Error("a queue of short calls alone grows beyond their target")
		}
	}
}

// TestTargetRefusalUsesKindLatency guards against refusing a short call, whose wait fits its target, because other calls
// are long.
func TestTargetRefusalUsesKindLatency(t *testing.T) {
	policy := NewPolicy([]Rank{NewRank("short", 0, 0, 150*time.Millisecond), NewRank("long", 1, 0, 2*time.Second)}, 100, 0)
	q := NewQueue(policy)
	q.ranks[0].overloaded = true
	l := NewLimiter(0, 1)
	l.fixed = true
	l.Announce(simEpoch, 18, 20, simEpoch)
	for i := range 100 {
		now := simEpoch.Add(time.Duration(i) * time.Millisecond)
		l.Record(now, "long", 700*time.Millisecond, OutcomeSucceeded, 18)
		l.Record(now, "short", 30*time.Millisecond, OutcomeSucceeded, 18)
	}
	if d := l.ExpectedLatency("short"); d < 25*time.Millisecond || d > 35*time.Millisecond {
		t.Fatalf("expected latency of the short kind = %s", d)
	}
	s := NewUpstreamStats(6, 6, 300*time.Millisecond, 0)
	short := NewRequest("short", "c", simEpoch.Add(time.Second), "short")
	if _, _, refusal := q.Offer(simEpoch, short, s.WithExpectedLatency(l.ExpectedLatency("short"))); refusal != nil {
		t.Errorf("a wait of 50 ms before 30 ms of work is refused: %v", refusal)
	}
	q.ranks[0].overloaded = true
	if _, _, refusal := q.Offer(simEpoch, short, s.WithExpectedLatency(300*time.Millisecond)); refusal == nil {
		t.Error("a call of 300 ms with a target of 150 ms is accepted beside a queue")
	}
}

// TestAnnouncedLimit guards against a limit that changes although it is fixed at the announced slots.
func TestAnnouncedLimit(t *testing.T) {
	l := NewLimiter(0, 1)
	l.fixed = true
	l.Announce(simEpoch, 6, 130, simEpoch)
	now := simEpoch
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		l.Record(now, "k", time.Duration(20+i/4)*time.Millisecond, OutcomeSucceeded, 6)
		l.Record(now, "k", 0, OutcomeShed, 6)
		if l.Limit(now) != 6 {
			t.Fatalf("limit %d after %d calls, want the 6 announced slots", l.Limit(now), i)
		}
	}
}
