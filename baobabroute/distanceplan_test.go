package baobabroute

import (
	"testing"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// TestPlanByDistance guards against a call that leaves its failure domain or region although that saves less than the
// distance or it meets its objective anyway, and against a call that stays where it is refused.
func TestPlanByDistance(t *testing.T) {
	all := append(candidates("a", "r1", 2), candidates("b", "r1", 2)...)
	all = append(all, candidates("c", "r2", 2)...)
	set := NewCandidateSet("s", "a", "r1", all)
	queueFull := NewRefused(call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, ""))
	draining := NewRefused(call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, ""))
	for _, c := range []struct {
		name      string
		wait      time.Duration // Reported by the endpoints of domain a.
		objective time.Duration // Zero: none.
		outcome   AttemptOutcome
		down      string // Domains without a usable endpoint.
		want      string // Domains of the offers, upper case for a place in the queue, until the call queues twice.
	}{
		{name: "idle", want: "aaAA"},
		{name: "short wait", wait: 40 * time.Millisecond, objective: 300 * time.Millisecond, want: "AA"},
		{name: "misses its objective", wait: 260 * time.Millisecond, objective: 300 * time.Millisecond, want: "bAA"},
		{name: "misses it elsewhere too", wait: 260 * time.Millisecond, objective: 50 * time.Millisecond, want: "AA"},
		{name: "saves a region", wait: 600 * time.Millisecond, objective: 500 * time.Millisecond, want: "bcAA"},
		{name: "no objective", wait: 40 * time.Millisecond, want: "bAA"},
		{name: "refused for load", objective: 300 * time.Millisecond, outcome: queueFull, want: "aaAbA"},
		{name: "draining", objective: 300 * time.Millisecond, outcome: draining, want: "aaAA"},
		{name: "domain down", objective: 300 * time.Millisecond, down: "a", want: "bbBB"},
		{name: "region down", objective: 300 * time.Millisecond, down: "ab", want: "ccCC"},
	} {
		stats := NewEndpointStats()
		chooser := NewChooser(stats, WithDistances(NewDistances(20*time.Millisecond, 500*time.Millisecond)))
		for _, candidate := range all {
			load := NewLoad(0, 6, 0, 0)
			if candidate.failureDomain == "a" {
				load = NewLoad(0, 6, 0, c.wait)
			}
			stats.RecordStart(start, candidate.id)
			stats.RecordResult(start, candidate.id, NewResult(VerdictSuccess, 100*time.Millisecond+load.wait))
			stats.RecordLoad(start, candidate.id, load)
			for _, domain := range c.down {
				if candidate.failureDomain == string(domain) {
					stats.RecordDraining(start, candidate.id)
				}
			}
		}
		plan := chooser.NewOfferPlan(newRandom(), set)
		if c.objective > 0 {
			plan.SetObjective(start.Add(c.objective))
		}
		got := ""
		for queued := 0; queued < 2; {
			o, refusal := plan.Next(start)
			if refusal != nil {
				got += "-"
				break
			}
			domain := o.candidate.failureDomain
			if o.freeSlotOnly {
				got += domain
				plan.RecordBusy(o)
				continue
			}
			queued++
			got += string(domain[0] - 'a' + 'A')
			outcome := c.outcome
			if outcome == nil {
				outcome = NotSent{}
			}
			plan.RecordFailure(o, outcome)
		}
		if got != c.want {
			t.Errorf("%s: offers %q, want %q", c.name, got, c.want)
		}
	}
}

// BenchmarkOfferPlan measures the choices of a call that queues after all offers, by the plan with and without settings.
func BenchmarkOfferPlan(b *testing.B) {
	set := NewCandidateSet("s", "a", "r1", append(candidates("a", "r1", 8), candidates("b", "r1", 8)...))
	for _, c := range []struct {
		name    string
		options []ChooserOption
	}{
		{"today", nil},
		{"distance", []ChooserOption{WithDistances(NewDistances(20*time.Millisecond, 250*time.Millisecond))}},
		{"distance and rates", []ChooserOption{WithDistances(NewDistances(20*time.Millisecond, 250*time.Millisecond)), WithRates()}},
	} {
		b.Run(c.name, func(b *testing.B) {
			stats := NewEndpointStats()
			for _, candidate := range set.candidates {
				stats.RecordLoad(start, candidate.id, NewLoad(3, 6, 0, 0).WithRate("k", 100*time.Millisecond, 100))
			}
			chooser, random := NewChooser(stats, c.options...), newRandom()
			b.ReportAllocs()
			for b.Loop() {
				plan := chooser.NewOfferPlan(random, set)
				plan.SetObjective(start.Add(500 * time.Millisecond))
				for range maxNearOffers {
					o, _ := plan.Next(start)
					plan.RecordBusy(o)
				}
				_, _ = plan.Next(start)
			}
		})
	}
}
