package baobabadmission

import (
	"testing"
	"time"
)

// TestUrgentSurgeStarvesOtherRanks guards against a rank that is left with its floor while a more urgent one surges, and against
// a flood of the least urgent rank that takes a share from more urgent ones.
func TestUrgentSurgeStarvesOtherRanks(t *testing.T) {
	const (
		slots       = 6
		service     = 10 * time.Millisecond
		capacity    = slots / 0.01 // Calls per second.
		keptPercent = 50
	)
	surge := func(at time.Duration) float64 {
		if at < 10*time.Second {
			return 1
		}
		return 10
	}
	for _, c := range []struct {
		surging string
		others  []string
		least   float64 // Share of the calls of the other ranks that are answered.
	}{
		{"urgent", []string{"normal", "deferrable"}, keptPercent / 100.0},
		{"deferrable", []string{"urgent", "normal"}, 0.95},
	} {
		streams := []requestStream{
			{rank: "urgent", rate: 0.4 * capacity, callers: 8, target: 100 * time.Millisecond, deadline: 250 * time.Millisecond},
			{rank: "normal", rate: 0.25 * capacity, callers: 8, target: 200 * time.Millisecond, deadline: time.Second},
			{rank: "deferrable", rate: 0.1 * capacity, callers: 8, target: time.Second, deadline: 4 * time.Second},
		}
		for i := range streams {
			if streams[i].rank == c.surging {
				streams[i].factor = surge
			}
		}
		results, _ := simulation{
			policy: NewPolicy([]Rank{
				NewRank("urgent", 0, 0, 100*time.Millisecond), NewRank("normal", 1, 5, 200*time.Millisecond),
				NewRank("deferrable", 2, 5, time.Second),
			}, 128, 0),
			streams: streams, slots: func(time.Duration) int { return slots }, meanService: service, staticLimit: true,
			keptPercent: keptPercent, duration: 30 * time.Second, measureFrom: 12 * time.Second, seed: 20261205,
		}.run(t)
		for _, rank := range c.others {
			r := results[rank]
			if share := float64(r.answered) / float64(r.offered); share < c.least {
				t.Errorf("%s surges: %.3f of %s are answered, want at least %.2f", c.surging, share, rank, c.least)
			}
		}
	}
}
