package baobabroute

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEjectionCeiling guards against a fault of all endpoints that takes out more than a third of a service, also
// when the service shrinks, and against a service without a usable endpoint.
func TestEjectionCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := NewEjections()
		all := candidates("a", "r1", 12)
		now := start
		set := NewSet("quotes", "a", "r1", all)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "resize") == 0 {
				from := rapid.IntRange(0, 11).Draw(t, "from")
				to := rapid.IntRange(from+1, 12).Draw(t, "to")
				set = NewSet("quotes", "a", "r1", all[from:to])
			}
			id := all[rapid.IntRange(0, 11).Draw(t, "id")].ID()
			if d := e.Eject(now, set, id); d < 0 || d > maxEjection {
				t.Fatalf("ejection time = %v", d)
			}
			out := 0
			for _, c := range set.Candidates() {
				if e.Ejected(now, set, c.ID()) {
					out++
				}
			}
			if out > set.Len()/3 || out >= set.Len() {
				t.Fatalf("%d of %d endpoints ejected", out, set.Len())
			}
		}
	})
}

// TestEjectionTimeGrows guards against an endpoint that fails again and again and gets calls every few seconds.
func TestEjectionTimeGrows(t *testing.T) {
	e := NewEjections()
	set := NewSet("quotes", "a", "r1", candidates("a", "r1", 3))
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
	now = now.Add(ejectionMemory)
	if got := e.Eject(now, set, "a-0"); got != baseEjection {
		t.Errorf("ejection time after a good period = %v, want %v", got, baseEjection)
	}
}

// TestFailingEndpointIsEjected guards against failures that never lead to an ejection, and against one failure or an
// abandoned call that does.
func TestFailingEndpointIsEjected(t *testing.T) {
	c := NewChooser(NewSignals())
	set := NewSet("quotes", "a", "r1", candidates("a", "r1", 3))
	failed := NewResult(VerdictFailure, 0)
	for i := 1; i <= consecutiveLimit; i++ {
		c.Finished(start, set, "a-0", NewResult(VerdictAbandoned, 0))
		if got := c.Finished(start, set, "a-0", failed) > 0; got != (i == consecutiveLimit) {
			t.Errorf("failure %d: ejected = %v", i, got)
		}
	}
	for i := range 100 {
		c.Finished(start, set, "a-1", NewResult(VerdictSuccess, time.Millisecond))
		if d := c.Finished(start, set, "a-1", failed); d > 0 && i < rateSamples/2-1 {
			t.Errorf("ejected after %d failures by rate", i+1)
		}
	}
	if n := shares(t, c, start, set, 300, nil)["a-0"]; n != 0 {
		t.Errorf("ejected endpoint got %d calls", n)
	}
}

// TestCommonFailureEjectsNothing guards against the loss of endpoints that fail only because of what is behind all of
// them, which leaves the rest with more load.
func TestCommonFailureEjectsNothing(t *testing.T) {
	c := NewChooser(NewSignals())
	set := NewSet("quotes", "a", "r1", candidates("a", "r1", 3))
	for i := range 200 {
		for _, candidate := range set.Candidates() {
			now := start.Add(time.Duration(i) * time.Millisecond)
			if d := c.Finished(now, set, candidate.ID(), NewResult(VerdictFailure, 0)); d > 0 && i > 0 {
				t.Fatalf("%s is ejected for %s while all fail alike", candidate.ID(), d)
			}
		}
	}
}
