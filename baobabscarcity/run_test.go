package baobabscarcity

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	seed = flag.Uint64("seed", 20261204, "seed of arrivals and of the time of calls")
	full = flag.Bool("full", false, "also run the rules that are compared")
)

// row returns a line of the table in docs/design/scarce-capacity.md.
func row(s Scenario, rules Rules, r *Result) string {
	recovery := "never"
	if d, ok := r.Recovery(); ok {
		recovery = fmt.Sprintf("%.1f", d.Seconds())
	}
	var kinds []string
	for _, k := range r.Kinds() {
		n := float64(max(k.Offered, 1))
		kinds = append(kinds, fmt.Sprintf("%s %.2f, %.2f", k.Name, float64(k.OnTime)/n, float64(k.Late)/n))
	}
	return fmt.Sprintf("| %s | %d | %s | %.3f | %.3f | %s | %s |", s.Name, s.Nodes, rules.Name, r.Before(), r.During(), recovery,
		strings.Join(kinds, "; "))
}

// TestRecovery guards against rules that keep the system overloaded after a service that shrank to a third for five
// seconds is back, and prints with -full the table in docs/design/scarce-capacity.md.
func TestRecovery(t *testing.T) {
	for _, nodes := range []int{10, 76, 300} {
		for _, s := range Scenarios(nodes, *seed) {
			for _, rules := range AllRules() {
				if rules.Name != "all on" && !*full {
					continue
				}
				r := Run(s, rules)
				t.Log(row(s, rules, r))
				if rules.Name != "all on" {
					continue
				}
				if d, ok := r.Recovery(); !ok || d > 2*time.Second {
					t.Errorf("%s, %d nodes, seed %d: goodput is not back within 2 s", s.Name, nodes, s.Seed)
				}
			}
		}
	}
}

// TestLessUrgentKindStarves guards against rules by which a kind of request is served less than half as often as all while
// more urgent ones take the room.
func TestLessUrgentKindStarves(t *testing.T) {
	for _, nodes := range []int{10, 76} {
		checkKinds(t, nodes, *seed)
	}
}

// TestLessUrgentKindStarvesSmallMesh is the same for a few nodes, whose ranks are small.
func TestLessUrgentKindStarvesSmallMesh(t *testing.T) {
	for _, seed := range []uint64{3, 4, 12, 14} {
		checkKinds(t, 10, seed)
	}
}

// checkKinds reports each kind of request that is served less than half as often as all in a scenario.
func checkKinds(t *testing.T, nodes int, seed uint64) {
	t.Helper()
	rules := AllRules()[len(AllRules())-1]
	for _, s := range append(Scenarios(nodes, seed), SurgeScenarios(nodes, seed)...) {
		r := Run(s, rules)
		t.Log(row(s, rules, r))
		for _, k := range r.Kinds() {
			if served, all := k.ServedShare(), r.ServedShare(); served < all/2 {
				t.Errorf("%s, %d nodes, seed %d: %.3f of %s are served, %.3f of all", s.Name, nodes, seed, served, k.Name, all)
			}
		}
	}
}
