package baobabnode

import (
	"context"
	"testing"
	"time"

	admission "github.com/baobabdale/baobabdale/baobabadmission"
)

// TestRankShares guards against a shortage that does not show which rank holds the slots and which one is refused.
func TestRankShares(t *testing.T) {
	const slots = 2
	start := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	g := admission.NewGate(admission.WithAnnouncedLimit(), admission.WithPolicy(admission.NewPolicy([]admission.Rank{
		admission.NewRank("urgent", 0, 0, time.Second), admission.NewRank("normal", 1, 0, time.Second),
		admission.NewRank("unused", 2, 0, time.Second),
	}, 1, 0)))
	g.Announce(start, slots, slots, start.Add(-time.Hour))
	before := g.Usage()
	var permits []*admission.Permit
	for range slots {
		p, refusal := g.Acquire(context.Background(), start, admission.NewRequest("urgent", "a", time.Time{}, "k"))
		if refusal != nil {
			t.Fatal(refusal)
		}
		permits = append(permits, p)
	}
	if _, refusal := g.Acquire(context.Background(), start, admission.NewRequest("normal", "a", start, "k")); refusal == nil {
		t.Fatal("a call whose deadline has passed got a slot")
	}
	p, _ := g.Acquire(context.Background(), start, admission.NewRequest("normal", "a", start, "k").WithFreeSlotOnly())
	if p != nil {
		t.Fatal("a call got a slot that is not free")
	}
	for _, p := range permits {
		p.Release(start.Add(500*time.Millisecond), admission.OutcomeSucceeded)
	}
	shares := rankShares(before, g.Usage(), time.Second, slots)
	if len(shares) != 2 || shares[0].usage.Granted() != 2 || shares[0].slotShare != 0.5 || shares[1].usage.Refused() != 1 {
		t.Errorf("shares %+v, want two grants and half of the slots for urgent, one refusal of normal", shares)
	}
}
