package baobabroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// candidates returns n warmed-up endpoints with 6 slots each, named <domain>-0 and so on.
func candidates(domain, region string, n int) []Candidate {
	var cs []Candidate
	for i := range n {
		id := fmt.Sprintf("%s-%d", domain, i)
		cs = append(cs, NewCandidate(id, id+":1", domain, region, 6, time.Time{}))
	}
	return cs
}

// countChoices returns how often each endpoint is chosen in n choices. Refusals are counted by their reason.
func countChoices(t *testing.T, c *Chooser, now time.Time, set *CandidateSet, n int, excluded func(string) bool) map[string]int {
	t.Helper()
	random := newRandom()
	counts := map[string]int{}
	for range n {
		candidate, refusal := c.Choose(now, random, set, excluded)
		if refusal != nil {
			counts[string(refusal.Reason())]++
			continue
		}
		counts[candidate.ID()]++
	}
	return counts
}

// TestTiers guards against calls that leave their failure domain needlessly, and against calls that stay in it when it
// is overloaded or unavailable.
func TestTiers(t *testing.T) {
	all := append(candidates("a", "r1", 3), candidates("b", "r1", 3)...)
	all = append(all, candidates("c", "r2", 3)...)
	forEachOf := func(domain string, do func(id string)) {
		for i := range 3 {
			do(fmt.Sprintf("%s-%d", domain, i))
		}
	}
	tests := []struct {
		name           string
		setUp          func(s *EndpointStats)
		excludedDomain string
		want           byte // Domain of all choices.
	}{
		{"local", func(*EndpointStats) {}, "", 'a'},
		{"local excluded", func(*EndpointStats) {}, "a", 'b'},
		{"local draining", func(s *EndpointStats) { forEachOf("a", func(id string) { s.RecordDraining(start, id) }) }, "", 'b'},
		{"local waits long", func(s *EndpointStats) {
			forEachOf("a", func(id string) { s.RecordLoad(start, id, NewLoad(1, 6, 0, 50*time.Millisecond)) })
		}, "", 'b'},
		{"local over its limit", func(s *EndpointStats) {
			forEachOf("a", func(id string) { s.RecordLoad(start, id, NewLoad(6, 6, 7, 0)) })
		}, "", 'b'},
		{"region over its limit", func(s *EndpointStats) {
			forEachOf("a", func(id string) { s.RecordLoad(start, id, NewLoad(6, 6, 7, 0)) })
			forEachOf("b", func(id string) { s.RecordLoad(start, id, NewLoad(6, 6, 7, 0)) })
		}, "", 'c'},
		{"all over their limit", func(s *EndpointStats) {
			forEachOf("a", func(id string) { s.RecordLoad(start, id, NewLoad(6, 6, 7, 0)) })
			forEachOf("b", func(id string) { s.RecordLoad(start, id, NewLoad(6, 6, 60, 0)) })
			forEachOf("c", func(id string) { s.RecordLoad(start, id, NewLoad(6, 6, 60, 0)) })
		}, "", 'a'},
		{"one local is free", func(s *EndpointStats) {
			s.RecordLoad(start, "a-0", NewLoad(6, 6, 60, 0))
		}, "", 'a'},
	}
	for _, tt := range tests {
		stats := NewEndpointStats()
		tt.setUp(stats)
		set := NewCandidateSet("quotes", "a", "r1", all)
		excluded := func(id string) bool { return tt.excludedDomain != "" && id[0] == tt.excludedDomain[0] }
		for id := range countChoices(t, NewChooser(stats), start, set, 200, excluded) {
			if id[0] != tt.want {
				t.Errorf("%s: chose %s, want domain %c", tt.name, id, tt.want)
			}
		}
	}
}

// TestChooseNoUsableEndpoint guards against choosing an endpoint that must not get calls.
func TestChooseNoUsableEndpoint(t *testing.T) {
	stats := NewEndpointStats()
	stats.RecordDraining(start, "a-0")
	c := NewChooser(stats)
	set := NewCandidateSet("quotes", "a", "r1", candidates("a", "r1", 2))
	_, refusal := c.Choose(start, newRandom(), set, func(id string) bool { return id == "a-1" })
	if refusal == nil || refusal.Reason() != call.ReasonNoUpstream || refusal.Outcome() != call.OutcomeNotRun {
		t.Errorf("refusal = %v, want no_upstream, not_run", refusal)
	}
	if _, refusal = c.Choose(start, newRandom(), NewCandidateSet("quotes", "a", "r1", nil), nil); refusal == nil {
		t.Error("choice from an empty set succeeded")
	}
	if candidate, refusal := c.Choose(start.Add(drainingTTL), newRandom(), set, func(id string) bool { return id == "a-1" }); refusal != nil || candidate.ID() != "a-0" {
		t.Errorf("choice after drainingTTL = %v, %v", candidate, refusal)
	}
}

// TestFastFailure guards against an endpoint that attracts calls because it fails or refuses quickly.
func TestFastFailure(t *testing.T) {
	for _, verdict := range []Verdict{VerdictFailure, VerdictRefused} {
		stats := NewEndpointStats()
		c := NewChooser(stats)
		set := NewCandidateSet("quotes", "a", "r1", candidates("a", "r1", 4))
		random := newRandom()
		now := start
		failed, calls := 0, 2000
		for range calls {
			now = now.Add(time.Millisecond)
			candidate, refusal := c.Choose(now, random, set, nil)
			if refusal != nil {
				t.Fatalf("Choose: %v", refusal)
			}
			stats.RecordStart(now, candidate.ID())
			if candidate.ID() == "a-0" {
				failed++
				c.RecordResult(now, set, candidate.ID(), NewResult(verdict, 10*time.Microsecond))
				continue
			}
			c.RecordResult(now, set, candidate.ID(), NewResult(VerdictSuccess, 20*time.Millisecond))
		}
		if failed*20 > calls {
			t.Errorf("verdict %d: failing endpoint got %d of %d calls, want at most a twentieth", verdict, failed, calls)
		}
	}
}

// TestSlowStart guards against an endpoint that gets its full share right after its start, or none.
func TestSlowStart(t *testing.T) {
	cs := candidates("a", "r1", 3)
	cs = append(cs, NewCandidate("cold", "cold:1", "a", "r1", 6, start))
	set := NewCandidateSet("quotes", "a", "r1", cs)
	c := NewChooser(NewEndpointStats())
	const n = 8000
	tests := []struct {
		age      time.Duration
		min, max int // Of n choices; a full share is 2000.
	}{
		{0, 100, 350},
		{5 * time.Second, 800, 1400},
		{10 * time.Second, 1800, 2200},
	}
	for _, tt := range tests {
		got := countChoices(t, c, start.Add(tt.age), set, n, nil)["cold"]
		if got < tt.min || got > tt.max {
			t.Errorf("at age %v: %d of %d choices, want %d to %d", tt.age, got, n, tt.min, tt.max)
		}
	}
	only := NewCandidateSet("quotes", "a", "r1", cs[3:])
	if got := countChoices(t, c, start, only, 10, nil)["cold"]; got != 10 {
		t.Errorf("only endpoint got %d of 10 calls", got)
	}
}

// TestLoadIsCompared guards against a choice that ignores the load at the endpoints.
func TestLoadIsCompared(t *testing.T) {
	stats := NewEndpointStats()
	stats.RecordLoad(start, "a-0", NewLoad(5, 6, 3, 0))
	for range 4 {
		stats.RecordStart(start, "a-1")
	}
	got := countChoices(t, NewChooser(stats), start, NewCandidateSet("quotes", "a", "r1", candidates("a", "r1", 3)), 3000, nil)
	if got["a-0"] != 0 || got["a-1"] >= got["a-2"] {
		t.Errorf("shares = %v, want none for the loaded a-0 and most for the idle a-2", got)
	}
}

// TestHangingEndpoint guards against an endpoint that keeps its low latency, and so its share of calls, while it does
// not answer.
func TestHangingEndpoint(t *testing.T) {
	stats := NewEndpointStats()
	for i := range 3 {
		id := fmt.Sprintf("a-%d", i)
		stats.RecordStart(start, id)
		stats.RecordResult(start, id, NewResult(VerdictSuccess, 5*time.Millisecond))
	}
	stats.RecordStart(start, "a-0")
	c := NewChooser(stats)
	set := NewCandidateSet("quotes", "a", "r1", candidates("a", "r1", 3))
	if n := countChoices(t, c, start.Add(100*time.Millisecond), set, 300, nil)["a-0"]; n != 0 {
		t.Errorf("endpoint without an answer for 100 ms got %d of 300 calls", n)
	}
	stats.RecordResult(start.Add(200*time.Millisecond), "a-0", NewResult(VerdictSuccess, 5*time.Millisecond))
	if n := countChoices(t, c, start.Add(time.Second), set, 300, nil)["a-0"]; n == 0 {
		t.Error("endpoint that has answered again gets no calls")
	}
}

func benchmarkSets(services, endpoints int) []*CandidateSet {
	sets := make([]*CandidateSet, services)
	for i := range sets {
		var cs []Candidate
		for n := i; n < endpoints; n += services {
			id := fmt.Sprintf("node-%d", n)
			cs = append(cs, NewCandidate(id, id+":1", fmt.Sprint("d", n%24), fmt.Sprint("r", n%7), 6, time.Time{}))
		}
		sets[i] = NewCandidateSet(fmt.Sprint("service-", i), "d0", "r0", cs)
	}
	return sets
}

func benchmarkChoose(b *testing.B, services, endpoints int) {
	stats := NewEndpointStats()
	sets := benchmarkSets(services, endpoints)
	for n := range endpoints {
		stats.RecordLoad(start, fmt.Sprintf("node-%d", n), NewLoad(3, 6, 0, time.Millisecond))
	}
	c := NewChooser(stats)
	random := newRandom()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, refusal := c.Choose(start, random, sets[i%services], nil); refusal != nil {
			b.Fatal(refusal)
		}
	}
}

func BenchmarkChoose4000Endpoints410Services(b *testing.B) { benchmarkChoose(b, 410, 4000) }

func BenchmarkChoose4000EndpointsOneService(b *testing.B) { benchmarkChoose(b, 1, 4000) }

// TestLostFailureDomains guards against calls that try the endpoints of lost failure domains one after another, because
// the limit on ejections keeps most of them in use, and against endpoints that are still avoided after their return.
func TestLostFailureDomains(t *testing.T) {
	stats := NewEndpointStats()
	c := NewChooser(stats)
	set := NewCandidateSet("s", "a", "r1", append(candidates("b", "r2", 10), candidates("c", "r2", 5)...))
	lost := func(id string) bool { return id[0] == 'b' }
	random := newRandom()
	failed := 0
	choose := func(now time.Time) string {
		candidate, refusal := c.Choose(now, random, set, nil)
		if refusal != nil {
			t.Fatal(refusal)
		}
		return candidate.ID()
	}
	const calls = 1000 // One per 10 ms.
	for i := range calls {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		id := choose(now)
		stats.RecordStart(now, id)
		verdict := VerdictSuccess
		if lost(id) {
			verdict = VerdictUnreachable
			failed++
		}
		c.RecordResult(now, set, id, NewResult(verdict, 5*time.Millisecond))
	}
	// Ten endpoints with cooldowns of 0.2, 0.4, 0.8, 1.6, 3.2 and 5 s are tried at most 6 times each in 10 s.
	if failed > 60 {
		t.Errorf("%d of %d calls went to lost endpoints, want at most 60", failed, calls)
	}
	returned := map[string]bool{}
	for i := range calls {
		now := start.Add(20*time.Second + time.Duration(i)*10*time.Millisecond)
		id := choose(now)
		returned[id] = true
		stats.RecordStart(now, id)
		c.RecordResult(now, set, id, NewResult(VerdictSuccess, 5*time.Millisecond))
	}
	if len(returned) != set.Len() {
		t.Errorf("%d of %d endpoints are chosen after the return", len(returned), set.Len())
	}
}

// TestDegradedLocalEndpoint guards against an endpoint that refuses or fails half of its calls and still gets all calls
// of its failure domain, because it is the only one there.
func TestDegradedLocalEndpoint(t *testing.T) {
	for _, verdict := range []Verdict{VerdictFailure, VerdictRefused} {
		c := NewChooser(NewEndpointStats())
		set := NewCandidateSet("quotes", "a", "r1", append(candidates("a", "r1", 1), candidates("b", "r1", 2)...))
		for i := range 40 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			result := NewResult(VerdictSuccess, 5*time.Millisecond)
			c.stats.RecordResult(now, "b-0", result)
			c.stats.RecordResult(now, "b-1", result)
			if i%2 == 0 {
				result = NewResult(verdict, time.Millisecond)
			}
			c.stats.RecordResult(now, "a-0", result)
		}
		if n := countChoices(t, c, start.Add(50*time.Millisecond), set, 300, nil)["a-0"]; n > 30 {
			t.Errorf("verdict %d: the degraded local endpoint got %d of 300 calls", verdict, n)
		}
	}
}
