package baobabadmission

import (
	"testing"
	"time"
)

// TestLastSlotIsKept guards against short urgent calls that wait for most of their target because long deferrable ones
// hold all slots of a small upstream.
func TestLastSlotIsKept(t *testing.T) {
	policy := NewPolicy([]Rank{NewRank("short", 0, 0, 120*time.Millisecond), NewRank("long", 1, 5, 2*time.Second)}, 100, 0)
	for _, c := range []struct {
		name    string
		active  bool // A short call was granted a moment ago.
		room    Room
		granted bool // The long call gets the slot.
	}{
		{"slow releases", true, NewRoom(1, 5, 60*time.Millisecond), false},
		{"fast releases", true, NewRoom(1, 5, 20*time.Millisecond), true},
		{"two slots left", true, NewRoom(2, 4, 60*time.Millisecond), true},
		{"nothing runs", true, NewRoom(1, 0, 0), true},
		{"no short calls", false, NewRoom(1, 5, 60*time.Millisecond), true},
	} {
		q := NewQueue(policy)
		now := simEpoch
		offer := func(rank string) {
			if _, _, refusal := q.Offer(now, NewRequest(rank, "c", time.Time{}, rank), NewService(6, 0, 0, 0)); refusal != nil {
				t.Fatal(refusal)
			}
		}
		if c.active {
			offer("short")
			q.Next(now)
			now = now.Add(50 * time.Millisecond)
		}
		offer("long")
		if e, _ := q.NextWithin(now, c.room); (e != nil) != c.granted {
			t.Errorf("%s: granted %t, want %t", c.name, e != nil, c.granted)
		}
		offer("short")
		if e, _ := q.NextWithin(now, c.room); e == nil || e.request.rank != "short" {
			t.Errorf("%s: the short call does not get the slot", c.name)
		}
	}
}

// TestShortCallIsJudgedByItsKind guards against a refusal of a short call whose wait fits its target, because the calls
// beside it are long.
func TestShortCallIsJudgedByItsKind(t *testing.T) {
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
	if d := l.Expected("short"); d < 25*time.Millisecond || d > 35*time.Millisecond {
		t.Fatalf("expected latency of the short kind = %s", d)
	}
	s := NewService(6, 6, 300*time.Millisecond, 0)
	short := NewRequest("short", "c", simEpoch.Add(time.Second), "short")
	if _, _, refusal := q.Offer(simEpoch, short, s.WithExpected(l.Expected("short"))); refusal != nil {
		t.Errorf("a wait of 50 ms before 30 ms of work is refused: %v", refusal)
	}
	q.ranks[0].overloaded = true
	if _, _, refusal := q.Offer(simEpoch, short, s.WithExpected(300*time.Millisecond)); refusal == nil {
		t.Error("a call of 300 ms with a target of 150 ms is accepted beside a queue")
	}
}

// TestAnnouncedLimit guards against a limit that moves although the announcement is known to be right.
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
