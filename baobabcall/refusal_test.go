package baobabcall

import (
	"slices"
	"testing"
)

// TestReasonsAreSorted guards against reasons out of the counters' fixed order or without an error status.
func TestReasonsAreSorted(t *testing.T) {
	if !slices.IsSorted(Reasons()) {
		t.Errorf("Reasons() = %v, want sorted", Reasons())
	}
	for _, r := range Reasons() {
		if r.Status() < 400 {
			t.Errorf("Reason %s has status %d, want an error status", r, r.Status())
		}
	}
}
