package baobabroute

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEjectionCeiling guards against the ejection of more than a third of a service when all endpoints fail, also when
// the service shrinks, and against a service without a usable endpoint.
func TestEjectionCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEjections()
		all := candidates("a", "r1", 12)
		now := start
		set := NewCandidateSet("quotes", "a", "r1", all)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "resize") == 0 {
				from := rapid.IntRange(0, 11).Draw(t, "from")
				to := rapid.IntRange(from+1, 12).Draw(t, "to")
				set = NewCandidateSet("quotes", "a", "r1", all[from:to])
			}
			id := all[rapid.IntRange(0, 11).Draw(t, "id")].ID()
			if d := e.Eject(now, set, id); d < 0 || d > maxEjectionTime {
				t.Fatalf("ejection time = %v", d)
			}
			ejected := 0
			for _, c := range set.Candidates() {
				if e.Ejected(now, set, c.ID()) {
					ejected++
				}
			}
			if ejected > set.Len()/3 || ejected >= set.Len() {
				t.Fatalf("%d of %d endpoints ejected", ejected, set.Len())
			}
		}
	})
}

// TestEjectionTimeGrows guards against an endpoint that fails repeatedly and still gets calls every few seconds.
func TestEjectionTimeGrows(t *testing.T) {
	e := NewEjections()
	set := NewCandidateSet("quotes", "a", "r1", candidates("a", "r1", 3))
	now := start
	for _, want := range []time.Duration{5, 10, 20, 40, 60, 60} {
		want *= time.Second
		if got := e.Eject(now, set, "a-0"); got != want {
			t.Errorf("ejection time = %v, want %v", got, want)
		}
		if got := e.Eject(now, set, "a-0"); got != 0 {
			t.Errorf("second ejection at the same time = %v, want none", got)
		}
		now = now.Add(want)
		if e.Ejected(now, set, "a-0") {
			t.Errorf("still ejected after %v", want)
		}
	}
	now = now.Add(ejectionCountTTL)
	if got := e.Eject(now, set, "a-0"); got != baseEjectionTime {
		t.Errorf("ejection time after ejectionCountTTL = %v, want %v", got, baseEjectionTime)
	}
}

// TestFailingEndpointIsEjected guards against failures that never lead to an ejection, and against an ejection after one
// failure or because of a neutral result.
func TestFailingEndpointIsEjected(t *testing.T) {
	c := NewChooser(NewEndpointStats())
	set := NewCandidateSet("quotes", "a", "r1", candidates("a", "r1", 3))
	failed := NewResult(VerdictFailure, 0)
	for i := 1; i <= consecutiveFailureLimit; i++ {
		c.RecordResult(start, set, "a-0", NewResult(VerdictNeutral, 0))
		if got := c.RecordResult(start, set, "a-0", failed) > 0; got != (i == consecutiveFailureLimit) {
			t.Errorf("failure %d: ejected = %v", i, got)
		}
	}
	for i := range 100 {
		c.RecordResult(start, set, "a-1", NewResult(VerdictSuccess, time.Millisecond))
		if d := c.RecordResult(start, set, "a-1", failed); d > 0 && i < minRateSamples/2-1 {
			t.Errorf("ejected by failure rate after %d failures", i+1)
		}
	}
	if n := countChoices(t, c, start, set, 300, nil)["a-0"]; n != 0 {
		t.Errorf("ejected endpoint got %d calls", n)
	}
}

// TestCommonFailureEjectsNothing guards against ejecting endpoints that fail only because of a common dependency, which
// leaves the rest with more load.
func TestCommonFailureEjectsNothing(t *testing.T) {
	c := NewChooser(NewEndpointStats())
	set := NewCandidateSet("quotes", "a", "r1", candidates("a", "r1", 3))
	for i := range 200 {
		for _, candidate := range set.Candidates() {
			now := start.Add(time.Duration(i) * time.Millisecond)
			if d := c.RecordResult(now, set, candidate.ID(), NewResult(VerdictFailure, 0)); d > 0 && i > 0 {
				t.Fatalf("%s is ejected for %s while all endpoints fail alike", candidate.ID(), d)
			}
		}
	}
}
