package baobabquota

import (
	"fmt"
	"testing"
	"time"
)

// coordinatorLosses returns cases in which the coordinator of accounts is lost around the moment at which their demand rises to
// a multiple of the usual one.
func coordinatorLosses(factor float64) []scenario {
	const risesAt = 10 * time.Second // See hot.
	var list []scenario
	for _, nodes := range []int{3, 12, 30} {
		for _, f := range []struct {
			kind  string
			after time.Duration // Since the demand rises.
			lasts time.Duration
		}{
			{"kill", 0, 4 * time.Second}, {"kill", -time.Second, 4 * time.Second}, {"kill", 500 * time.Millisecond, 4 * time.Second},
			{"kill", time.Second, 9 * time.Second}, {"kill", 0, time.Second}, {"pause", 0, 4 * time.Second},
			{"pause", 300 * time.Millisecond, 2 * time.Second}, {"pause", -500 * time.Millisecond, 6 * time.Second},
		} {
			var accounts []simAccount
			for _, rate := range []float64{3, 16, 40} {
				demand := hot(rate/1.6, factor)
				accounts = append(accounts, simAccount{rate: rate, burst: rate, demand: demand}, simAccount{rate: rate, burst: rate, demand: demand, skew: 0.6})
			}
			at := risesAt + f.after
			list = append(list, scenario{
				name: fmt.Sprintf("%s of %s %s after the rise, %d nodes", f.kind, f.lasts, f.after, nodes), nodes: nodes, accounts: accounts,
				faults: []simFault{{at, at + f.lasts, coordinators, f.kind}}, duration: 20 * time.Second, processes: true,
			})
		}
	}
	return list
}

// TestLostCoordinator guards against an account that gets more than its limit because its coordinator is killed or paused while
// its demand rises 7.5 times: the grants of two coordinators add up, and what runs in between is in no report. An account whose
// demand stays below its limit must not be refused through the same faults.
func TestLostCoordinator(t *testing.T) {
	for _, c := range coordinatorLosses(7.5) {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				for i, r := range simulate(c, &exchange{}, seed+1).results {
					if r.over > 0 {
						a := c.accounts[i]
						t.Errorf("seed %d, rate %g, skew %g: %.3f over the bound at %s", seed+1, a.rate, a.skew, r.over, r.overAt)
					}
				}
			}
		})
	}
	for _, c := range coordinatorLosses(1) {
		t.Run("usual demand, "+c.name, func(t *testing.T) {
			t.Parallel()
			for i, r := range simulate(c, &exchange{}, 1).results {
				if a, refused := c.accounts[i], float64(r.wrong())/float64(r.asked); refused > 0.05 {
					t.Errorf("rate %g, skew %g: %.4f of the requests refused below the limit", a.rate, a.skew, refused)
				}
			}
		})
	}
}
