package baobabadmission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestQueueShares checks the floor of each waiting rank, the round robin of callers within a rank, the queue limit, and
// that every entry leaves the queue exactly once.
func TestQueueShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "ranks")
		var ranks []Rank
		for i := range n {
			floor := rapid.IntRange(0, 100/n).Draw(t, "floor")
			ranks = append(ranks, NewRank(fmt.Sprint(i), i, floor, 0))
		}
		limit := rapid.IntRange(1, 30).Draw(t, "limit")
		q := NewQueue(NewPolicy(ranks, limit, rapid.IntRange(0, 50).Draw(t, "callerFloor")))
		waiting := map[*Entry]bool{}
		owed := make([]float64, n)             // Grants below the floor since the rank began to wait.
		passedOver := map[string]int{}         // Grants to other callers of the rank while the caller waits.
		callersIn := make([]map[string]int, n) // Waiting entries by caller.
		for i := range callersIn {
			callersIn[i] = map[string]int{}
		}
		leave := func(e *Entry) {
			if !waiting[e] {
				t.Fatalf("An entry left the queue twice")
			}
			delete(waiting, e)
			in := callersIn[e.rank]
			in[e.request.caller]--
			if in[e.request.caller] == 0 {
				delete(in, e.request.caller)
				delete(passedOver, e.request.rank+e.request.caller)
			}
			if len(in) == 0 {
				owed[e.rank] = 0
			}
		}
		offer := func(t *rapid.T, rank int, caller string) {
			own := callersIn[rank][caller]
			e, drops, refusal := q.Offer(simEpoch, NewRequest(fmt.Sprint(rank), caller, time.Time{}, ""), UpstreamStats{})
			for _, d := range drops {
				leave(d.entry)
			}
			if refusal == nil {
				waiting[e] = true
				callersIn[rank][caller]++
				return
			}
			for other, count := range callersIn[rank] {
				if count > own+1 {
					t.Fatalf("Caller %s with %d entries refused while %s holds %d", caller, own, other, count)
				}
			}
		}
		grant := func(t *rapid.T) {
			for i := range n {
				if len(callersIn[i]) > 0 {
					owed[i] += float64(ranks[i].floorPercent) / 100
				}
			}
			e, _ := q.Next(simEpoch)
			if e == nil {
				if len(waiting) > 0 {
					t.Fatalf("Next = nil while %d wait", len(waiting))
				}
				return
			}
			owed[e.rank] = max(0, owed[e.rank]-1)
			for caller := range callersIn[e.rank] {
				passedOver[e.request.rank+caller]++
			}
			passedOver[e.request.rank+e.request.caller] = 0
			leave(e)
			for i, o := range owed {
				if bound := 1 + float64((n-1)*ranks[i].floorPercent)/100; o >= bound+1e-6 {
					t.Fatalf("Rank %d is %.2f grants below its floor", i, o)
				}
			}
			for caller, times := range passedOver {
				if times >= 4 {
					t.Fatalf("Caller %s was passed over %d times by 3 others", caller, times)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			// Offers and grants come in series, so that ranks and callers wait long enough to be passed over.
			"offers": func(t *rapid.T) {
				rank := rapid.IntRange(0, n-1).Draw(t, "rank")
				caller := rapid.SampledFrom([]string{"a", "a", "a", "b", "c", "d"}).Draw(t, "caller")
				for range rapid.IntRange(1, 8).Draw(t, "count") {
					offer(t, rank, caller)
				}
			},
			"grants": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "count") {
					grant(t)
				}
			},
			// Caller a of the most urgent rank makes a new request before each grant.
			"flood": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "count") {
					offer(t, 0, "a")
					grant(t)
				}
			},
			"cancel": func(t *rapid.T) {
				for e := range waiting {
					if !q.Cancel(e) {
						t.Fatalf("Cancel = false for a waiting entry")
					}
					leave(e)
					return
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || q.Len() > limit {
					t.Fatalf("Len = %d, want %d, at most %d", q.Len(), len(waiting), limit)
				}
			},
		})
	})
}
