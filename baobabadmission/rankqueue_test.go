package baobabadmission

import (
	"testing"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// TestLateCallsWaitUntilDeadline guards against calls that turn late and are passed over until their time is up, because only the
// short waits of the calls that pass them count.
func TestLateCallsWaitUntilDeadline(t *testing.T) {
	const (
		service   = 200 * time.Millisecond // Of the one slot, for which two calls arrive in that time.
		objective = 300 * time.Millisecond
		timeout   = 1500 * time.Millisecond
	)
	q := NewQueue(NewPolicy([]Rank{NewRank("normal", 0, 0, objective)}, 128, 0))
	q.SetOrder(false, true)
	ends := map[call.Reason]int{}
	for at := time.Duration(0); at < 10*time.Second; at += service {
		now := simEpoch.Add(at)
		drops := q.Expire(now)
		for range 2 {
			r := NewRequest("normal", "a", now.Add(timeout), "k").WithObjective(now.Add(objective))
			// The statistics show more room than there is, as after an upstream has become slow.
			if _, _, refusal := q.Offer(now, r, NewUpstreamStats(20, 1, service, 0)); refusal != nil {
				ends[refusal.Reason()]++
			}
		}
		_, dropped := q.Next(now)
		for _, d := range append(drops, dropped...) {
			ends[d.refusal.Reason()]++
		}
	}
	const untilOverloaded = int(overloadAfterTargets * objective / service)
	if ends[call.ReasonDeadlinePassed] > untilOverloaded || ends[call.ReasonQueueFull] == 0 {
		t.Errorf("calls ended as %v, want at most %d at their deadline", ends, untilOverloaded)
	}
}
