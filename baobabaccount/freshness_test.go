package baobabaccount

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testLimit = 5 * time.Second
	second    = time.Second
)

// TestFreshnessValid guards against keys that are accepted without proof: after a restart, when the proof is old (also
// because the node was paused, which lets the boot time jump), and when the proof is for a version that is not in force.
func TestFreshnessValid(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   time.Duration
		proofs  []Proof
		now     time.Duration
		inForce uint64
		want    bool
	}{
		{"no limit", 0, nil, 100 * second, 7, true},
		{"restarted", testLimit, nil, 100 * second, 7, false},
		{"recent", testLimit, []Proof{NewProof(7, 100*second)}, 104 * second, 7, true},
		{"at the margin", testLimit, []Proof{NewProof(7, 100*second)}, 104*second + 500*time.Millisecond, 7, true},
		{"paused", testLimit, []Proof{NewProof(7, 100*second)}, 104*second + 501*time.Millisecond, 7, false},
		{"higher version in force", testLimit, []Proof{NewProof(7, 100*second)}, 101 * second, 8, true},
		{"lower version in force", testLimit, []Proof{NewProof(8, 100*second)}, 101 * second, 7, false},
		{"earlier proof of the version in force", testLimit, []Proof{NewProof(7, 98*second), NewProof(8, 100*second)}, 101 * second, 7, true},
		{"expired proof of the version in force", testLimit, []Proof{NewProof(7, 96*second), NewProof(8, 100*second)}, 101 * second, 7, false},
		{"older proof arrives last", testLimit, []Proof{NewProof(7, 100*second), NewProof(7, 90*second)}, 101 * second, 7, true},
		{"from the future", testLimit, []Proof{NewProof(7, 102*second)}, 101 * second, 7, false},
		{"delayed answer", testLimit, []Proof{NewReceivedProof(7, 100*second, 3*second)}, 102 * second, 7, false},
		{"prompt answer", testLimit, []Proof{NewReceivedProof(7, 100*second, 3*second)}, 101 * second, 7, true},
		{"negative age", testLimit, []Proof{NewReceivedProof(7, 100*second, -9*second)}, 105 * second, 7, false},
	} {
		f := NewFreshness(c.limit)
		for _, p := range c.proofs {
			f.Record(p)
		}
		if got := f.Valid(c.now, c.inForce); got != c.want {
			t.Errorf("%s: Valid() = %t, want %t", c.name, got, c.want)
		}
	}
}

// TestFreshnessKeepsBestProof guards against a set of proofs that loses the best one for a version, or claims a better one.
// The model looks at all proofs.
func TestFreshnessKeepsBestProof(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFreshness(testLimit)
		var all []Proof
		for range rapid.IntRange(0, 20).Draw(t, "proofs") {
			p := NewProof(rapid.Uint64Range(1, maxProofs).Draw(t, "number"), time.Duration(rapid.IntRange(1, 50).Draw(t, "at")))
			f.Record(p)
			all = append(all, p)
		}
		inForce := rapid.Uint64Range(0, maxProofs+1).Draw(t, "in force")
		best := time.Duration(-1)
		for _, p := range all {
			if p.number <= inForce {
				best = max(best, p.at)
			}
		}
		age, ok := f.Age(60, inForce)
		if ok != (best >= 0) || ok && age != 60-best {
			t.Fatalf("Age() = %d, %t for version %d; best proof at %d", age, ok, inForce, best)
		}
	})
}
