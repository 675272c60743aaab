package baobabquarantine

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return testEpoch.Add(time.Duration(seconds) * time.Second) }

func testFingerprint(i int) Fingerprint {
	return NewFingerprint("quotes", "POST", fmt.Sprintf("/quote/%d", i), nil)
}

// TestRefused guards the count of crashes, the time within which they count, and the time of refusal.
func TestRefused(t *testing.T) {
	type crash struct {
		at       int
		upstream string
		call     string
	}
	tests := []struct {
		name    string
		crashes []crash
		at      int
		left    int // Seconds; 0 means not refused.
	}{
		{"one crash", []crash{{0, "u", "c"}}, 0, 0},
		{"one crash reported twice", []crash{{0, "u", "c"}, {1, "u", "c"}}, 1, 0},
		{"one call on two upstreams", []crash{{0, "u", "c"}, {5, "v", "c"}}, 5, 60},
		{"two calls on one upstream", []crash{{0, "u", "c"}, {5, "u", "d"}}, 15, 50},
		{"too far apart", []crash{{0, "u", "c"}, {61, "v", "c"}}, 61, 0},
		{"two of three near enough", []crash{{0, "u", "c"}, {61, "v", "c"}, {100, "u", "d"}}, 100, 60},
		{"over", []crash{{0, "u", "c"}, {5, "v", "c"}}, 65, 0},
		{"extended by a late crash", []crash{{0, "u", "c"}, {5, "v", "c"}, {30, "w", "c"}}, 65, 25},
	}
	for _, test := range tests {
		l := NewList()
		for _, c := range test.crashes {
			l.Report(at(c.at), testFingerprint(1), c.upstream, c.call)
		}
		left, refused := l.Refused(at(test.at), testFingerprint(1))
		if left != time.Duration(test.left)*time.Second || refused != (test.left > 0) {
			t.Errorf("%s: Refused = %v, %v, want %d s", test.name, left, refused, test.left)
		}
		if _, refused := l.Refused(at(test.at), testFingerprint(2)); refused {
			t.Errorf("%s: another fingerprint is refused", test.name)
		}
	}
}

// TestFingerprint guards against innocent requests that share a fingerprint, and one request that has two.
func TestFingerprint(t *testing.T) {
	first := NewFingerprint("s", "GET", "/a", nil)
	if first != NewFingerprint("s", "GET", "/a", nil) {
		t.Error("Equal requests have different fingerprints")
	}
	different := []Fingerprint{
		first,
		NewFingerprint("s", "GET", "/a?trace=1", nil),
		NewFingerprint("s", "GET", "/a/", nil),
		NewFingerprint("sG", "ET", "/a", nil),
		NewFingerprint("s", "GET", "/", []byte("a")),
	}
	for i, f := range different {
		if slices.Contains(different[:i], f) {
			t.Errorf("Fingerprint %d is that of another request", i)
		}
		if parsed, err := ParseFingerprint(f[:]); err != nil || parsed != f {
			t.Errorf("ParseFingerprint of fingerprint %d = %v, %v", i, parsed, err)
		}
	}
	if _, err := ParseFingerprint([]byte{1}); err == nil {
		t.Error("ParseFingerprint accepts one byte")
	}
}

// TestBound guards against memory that grows with the number of fingerprints, and against a flood of fingerprints
// that ends the quarantine of another.
func TestBound(t *testing.T) {
	l := NewList(WithLimit(32))
	l.Report(at(0), testFingerprint(0), "u", "c")
	l.Report(at(0), testFingerprint(0), "v", "c")
	for i := range 1000 {
		l.Report(at(1), testFingerprint(i+1), "u", fmt.Sprint(i))
	}
	if n := l.Expire(at(1)); n > 32 {
		t.Errorf("%d fingerprints kept, want at most 32", n)
	}
	if _, refused := l.Refused(at(1), testFingerprint(0)); !refused {
		t.Error("A quarantine was evicted by fingerprints that are not refused")
	}
	for i := range 1000 {
		l.Report(at(1), testFingerprint(0), "u", fmt.Sprint(i))
	}
	if n := len(l.Reports(at(1))); n > 32*(defaultAfter+spareCrashes) {
		t.Errorf("%d reports kept, want a bounded number", n)
	}
	if n := l.Expire(at(1000)); n != 0 {
		t.Errorf("%d fingerprints kept after expiry, want none", n)
	}
}

// TestMergeOrder guards against nodes that refuse different requests after the same reports, against reports that
// are forwarded for ever, and against a count that differs from a plain one.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := NewRule(rapid.IntRange(1, 4).Draw(t, "after"), time.Minute)
		var reports []Report
		for range rapid.IntRange(0, 12).Draw(t, "reports") {
			reports = append(reports, NewReport(
				testFingerprint(rapid.IntRange(0, 1).Draw(t, "fingerprint")),
				rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "upstream"),
				fmt.Sprint(len(reports)),
				at(rapid.IntRange(-30, 120).Draw(t, "at")),
			))
		}
		now := at(120)
		one, two := NewList(WithRule(rule)), NewList(WithRule(rule))
		one.Merge(now, reports)
		two.Merge(now, rapid.Permutation(reports).Draw(t, "order"))
		if again := two.Merge(now, one.Reports(now)); len(again) != 0 {
			t.Fatalf("%d reports are new a second time", len(again))
		}
		for i := range 2 {
			f := testFingerprint(i)
			later := now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "later")) * time.Second)
			a, refused := one.Refused(later, f)
			b, _ := two.Refused(later, f)
			want := plainLeft(reports, f, rule, now, later)
			if a != b || a != want || refused != (want > 0) {
				t.Fatalf("Refused = %v and %v, want %v", a, b, want)
			}
		}
	})
}

// plainLeft counts for each crash the crashes of the duration before it.
func plainLeft(reports []Report, f Fingerprint, rule Rule, now, later time.Time) time.Duration {
	var left time.Duration
	for _, r := range reports {
		count := 0
		for _, o := range reports {
			age := r.at.Sub(o.at)
			if o.fingerprint == f && age >= 0 && age <= rule.duration && now.Sub(o.at) < rule.memory() {
				count++
			}
		}
		if r.fingerprint == f && count >= rule.after && now.Sub(r.at) < rule.memory() {
			left = max(left, r.at.Add(rule.duration).Sub(later))
		}
	}
	return left
}

// TestListConcurrent guards against data races between reports, merges, refusals and a new rule.
func TestListConcurrent(t *testing.T) {
	l := NewList(WithLimit(16))
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			for i := range 200 {
				f := testFingerprint(i % 20)
				r, _ := l.Report(at(i), f, fmt.Sprint(n), fmt.Sprint(i))
				l.Merge(at(i), []Report{r})
				l.Refused(at(i), f)
				l.Configure(NewRule(1+n%3, time.Minute))
				l.Reports(at(i))
			}
		})
	}
	wg.Wait()
	if n := l.Expire(at(200)); n > 16 {
		t.Errorf("%d fingerprints kept, want at most 16", n)
	}
}

// TestClear guards against a frequent request that is refused because it was in flight at two crashes of others.
func TestClear(t *testing.T) {
	f := testFingerprint(1)
	for _, test := range []struct {
		name    string
		started int // Of the run that succeeded between the crashes at 10 and 20; 0 means none.
		refused bool
	}{
		{"no run between", 0, true},
		{"run started before the first crash", 5, true},
		{"run started between", 15, false},
	} {
		l := NewList()
		l.Report(at(10), f, "u1", "c1")
		if test.started != 0 {
			l.Clear(at(19), f, at(test.started))
		}
		l.Report(at(20), f, "u2", "c2")
		l.Merge(at(21), []Report{NewReport(f, "u1", "c1", at(10))})
		if _, refused := l.Refused(at(22), f); refused != test.refused {
			t.Errorf("%s: Refused = %t, want %t", test.name, refused, test.refused)
		}
	}
}

// TestDigest guards against exchanges that see a difference where both sides know the same crashes, and against ones that
// see none where a crash is missing.
func TestDigest(t *testing.T) {
	first, second := NewList(), NewList()
	if d := first.Digest(at(0)); d != 0 {
		t.Errorf("digest of an empty list = %d, want 0", d)
	}
	first.Report(at(0), testFingerprint(1), "u", "c")
	first.Report(at(1), testFingerprint(2), "v", "d")
	second.Merge(at(3), []Report{NewReport(testFingerprint(2), "v", "d", at(3))})
	if first.Digest(at(3)) == second.Digest(at(3)) {
		t.Error("digests are equal where one list lacks a crash")
	}
	second.Merge(at(3), first.Latest(at(3), 8))
	if a, b := first.Digest(at(3)), second.Digest(at(3)); a != b {
		t.Errorf("digests of equal lists = %d and %d", a, b)
	}
	if latest := first.Latest(at(3), 1); len(latest) != 1 || latest[0].UpstreamID() != "v" {
		t.Errorf("latest crash = %v, want that of v", latest)
	}
}
