package baobabadmission

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const experimentSeed = 20261204

// experimentRanks returns three ranks with the given floors.
func experimentRanks(urgent, normal, deferrable int) []Rank {
	return []Rank{
		NewRank("urgent", 0, urgent, 50*time.Millisecond),
		NewRank("normal", 1, normal, 200*time.Millisecond),
		NewRank("deferrable", 2, deferrable, time.Second),
	}
}

// experimentStreams returns one stream per rank with the given rates in requests per second.
func experimentStreams(urgent, normal, deferrable float64) []requestStream {
	return []requestStream{
		{rank: "urgent", rate: urgent, callers: 8, target: 50 * time.Millisecond, deadline: 250 * time.Millisecond},
		{rank: "normal", rate: normal, callers: 8, target: 200 * time.Millisecond, deadline: time.Second},
		{rank: "deferrable", rate: deferrable, callers: 8, target: time.Second, deadline: 4 * time.Second},
	}
}

func resultRows(name string, results map[string]*rankResult, seconds float64) string {
	var b strings.Builder
	for _, rank := range []string{"urgent", "normal", "deferrable"} {
		r := results[rank]
		fmt.Fprintf(&b, "| %s | %s | %.0f | %.0f | %.1f | %d | %d |\n", name, rank,
			float64(r.offered)/seconds, float64(r.answered)/seconds, 100*r.inTargetShare(),
			r.quantile(0.5).Milliseconds(), r.quantile(0.99).Milliseconds())
	}
	return b.String()
}

const resultHeader = "| variant | rank | offered/s | answered/s | in target % | p50 ms | p99 ms |\n"

// TestExperimentPolicies compares policies under overload. It guards against a policy that starves a rank whose own load
// is not excessive, and prints the table in docs/admission-policies.md.
func TestExperimentPolicies(t *testing.T) {
	policies := []struct {
		name  string
		ranks []Rank
	}{
		{"strict priority", experimentRanks(0, 0, 0)},
		{"weighted shares", experimentRanks(60, 30, 10)},
		{"floors without targets", []Rank{
			NewRank("urgent", 0, 30, 0), NewRank("normal", 1, 15, 0), NewRank("deferrable", 2, 10, 0),
		}},
		{"priority with floors", experimentRanks(30, 15, 10)},
	}
	// Capacity is 6 slots / 10 ms = 600 calls/s.
	overloads := []struct {
		name    string
		streams []requestStream
	}{
		{"deferrable at 10 times capacity", experimentStreams(200, 150, 6000)},
		{"urgent at 10 times capacity", experimentStreams(6000, 150, 100)},
		{"all ranks at 2 times capacity", experimentStreams(1200, 1200, 1200)},
	}
	t.Logf("seed %d", experimentSeed)
	for _, o := range overloads {
		table := resultHeader
		for _, p := range policies {
			s := simulation{
				policy:      NewPolicy(p.ranks, 128, 5),
				streams:     o.streams,
				slots:       func(time.Duration) int { return 6 },
				meanService: 10 * time.Millisecond,
				duration:    12 * time.Second,
				measureFrom: 2 * time.Second,
				seed:        experimentSeed,
			}
			results, limit := s.run(t)
			table += resultRows(p.name, results, 10)
			if p.name != "priority with floors" {
				continue
			}
			if limit < 4 || limit > 12 {
				t.Errorf("%s: Limit at the end = %d, want near the 6 slots", o.name, limit)
			}
			for _, r := range p.ranks {
				got := float64(results[r.Name()].answered) / 10
				// Three quarters of the floor or of the offered rate, because some granted calls end late.
				want := 0.75 * min(600*float64(r.FloorPercent())/100, rateOfRank(o.streams, r.Name()))
				if got < want {
					t.Errorf("%s: rank %s got %.0f answers/s, want at least %.0f", o.name, r.Name(), got, want)
				}
			}
		}
		t.Logf("%s\n%s", o.name, table)
	}
}

func rateOfRank(streams []requestStream, rank string) float64 {
	for _, s := range streams {
		if s.rank == rank {
			return s.rate
		}
	}
	return 0
}

// TestExperimentLimit compares a static and a learnt limit after the upstream loses two thirds of its slots. It guards
// against a limiter that lets urgent calls wait in the upstream's own queue.
func TestExperimentLimit(t *testing.T) {
	t.Logf("seed %d", experimentSeed)
	table := resultHeader
	share := map[bool]float64{}
	for _, static := range []bool{true, false} {
		s := simulation{
			policy:  NewPolicy(experimentRanks(30, 15, 10), 128, 5),
			streams: experimentStreams(120, 300, 300),
			slots: func(at time.Duration) int {
				if at < 10*time.Second {
					return 18
				}
				return 6
			},
			meanService: 20 * time.Millisecond,
			staticLimit: static,
			duration:    40 * time.Second,
			measureFrom: 12 * time.Second,
			seed:        experimentSeed,
		}
		results, limit := s.run(t)
		name := fmt.Sprintf("learnt (limit %d at the end)", limit)
		if static {
			name = fmt.Sprintf("static (limit %d)", limit)
		}
		table += resultRows(name, results, 28)
		share[static] = results["urgent"].inTargetShare()
	}
	t.Logf("capacity drops from 18 to 6 slots at 10 s, results from 12 s\n%s", table)
	if share[false] <= share[true] {
		t.Errorf("urgent calls in target: learnt limit %.3f, want above static limit %.3f", share[false], share[true])
	}
}
