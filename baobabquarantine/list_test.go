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

func testTime(seconds int) time.Time { return testEpoch.Add(time.Duration(seconds) * time.Second) }

func testFingerprint(i int) Fingerprint {
	return NewFingerprint("quotes", "POST", fmt.Sprintf("/quote/%d", i), nil)
}

// TestRefused checks the crash threshold, the time within which crashes count, and the duration of the refusal.
func TestRefused(t *testing.T) {
	type crash struct {
		at       int
		upstream string
		call     string
	}
	tests := []struct {
		name      string
		crashes   []crash
		at        int
		remaining int // Seconds; 0 means not refused.
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
			l.Report(testTime(c.at), Request(0), testFingerprint(1), c.upstream, c.call)
		}
		remaining, refused := l.Refused(testTime(test.at), testFingerprint(1))
		if remaining != time.Duration(test.remaining)*time.Second || refused != (test.remaining > 0) {
			t.Errorf("%s: Refused = %v, %v, want %d s", test.name, remaining, refused, test.remaining)
		}
		if _, refused := l.Refused(testTime(test.at), testFingerprint(2)); refused {
			t.Errorf("%s: another fingerprint is refused", test.name)
		}
	}
}

// TestFingerprint guards against different requests that share a fingerprint, and a request that has two.
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

// TestMemoryBound guards against memory that grows with the number of fingerprints, and against a flood of fingerprints
// that evicts one in quarantine.
func TestMemoryBound(t *testing.T) {
	l := NewList(WithLimit(32))
	l.Report(testTime(0), Request(0), testFingerprint(0), "u", "c")
	l.Report(testTime(0), Request(0), testFingerprint(0), "v", "c")
	for i := range 1000 {
		l.Report(testTime(1), Request(0), testFingerprint(i+1), "u", fmt.Sprint(i))
	}
	if n := l.Expire(testTime(1)); n > 32 {
		t.Errorf("%d fingerprints kept, want at most 32", n)
	}
	if _, refused := l.Refused(testTime(1), testFingerprint(0)); !refused {
		t.Error("A quarantine was evicted by fingerprints that are not refused")
	}
	for i := range 1000 {
		l.Report(testTime(1), Request(0), testFingerprint(0), "u", fmt.Sprint(i))
	}
	if n := len(l.Reports(testTime(1))); n > 32*(defaultCrashThreshold+extraCrashes) {
		t.Errorf("%d reports kept, want a bounded number", n)
	}
	if n := l.Expire(testTime(1000)); n != 0 {
		t.Errorf("%d fingerprints kept after expiry, want none", n)
	}
}

// TestMergeOrder guards against nodes that refuse different requests after the same reports, against reports that are
// forwarded forever, and against results that differ from those of a straightforward reference implementation.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := NewRule(rapid.IntRange(1, 4).Draw(t, "after"), time.Minute)
		var reports []Report
		for range rapid.IntRange(0, 12).Draw(t, "reports") {
			reports = append(reports, NewReport(
				testFingerprint(rapid.IntRange(0, 1).Draw(t, "fingerprint")),
				rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "upstream"),
				fmt.Sprint(len(reports)),
				testTime(rapid.IntRange(-30, 120).Draw(t, "at")),
			))
		}
		now := testTime(120)
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
			want := referenceRemaining(reports, f, rule, now, later)
			if a != b || a != want || refused != (want > 0) {
				t.Fatalf("Refused = %v and %v, want %v", a, b, want)
			}
		}
	})
}

// referenceRemaining computes the remaining time of a refusal by counting, for each crash, the crashes within the
// duration before it.
func referenceRemaining(reports []Report, f Fingerprint, rule Rule, now, later time.Time) time.Duration {
	var remaining time.Duration
	for _, r := range reports {
		count := 0
		for _, o := range reports {
			age := r.crashedAt.Sub(o.crashedAt)
			if o.fingerprint == f && age >= 0 && age <= rule.duration && now.Sub(o.crashedAt) < rule.retention() {
				count++
			}
		}
		if r.fingerprint == f && count >= rule.crashThreshold && now.Sub(r.crashedAt) < rule.retention() {
			remaining = max(remaining, r.crashedAt.Add(rule.duration).Sub(later))
		}
	}
	return remaining
}

// TestListConcurrent guards against data races between reports, merges, refusals and changes of the rule.
func TestListConcurrent(t *testing.T) {
	l := NewList(WithLimit(16))
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			for i := range 200 {
				f := testFingerprint(i % 20)
				r, _ := l.Report(testTime(i), Request(0), f, fmt.Sprint(n), fmt.Sprint(i))
				l.Merge(testTime(i), []Report{r})
				l.Refused(testTime(i), f)
				l.Configure(NewRule(1+n%3, time.Minute))
				l.Reports(testTime(i))
			}
		})
	}
	wg.Wait()
	if n := l.Expire(testTime(200)); n > 16 {
		t.Errorf("%d fingerprints kept, want at most 16", n)
	}
}

// TestClearAfterSuccess guards against refusing a frequent request because it was in flight at two crashes that other
// requests caused.
func TestClearAfterSuccess(t *testing.T) {
	f := testFingerprint(1)
	for _, test := range []struct {
		name    string
		started int // Start of the successful run between the crashes at 10 and 20; 0 means none.
		refused bool
	}{
		{"no run between", 0, true},
		{"run started before the first crash", 5, true},
		{"run started between", 15, false},
	} {
		l := NewList()
		l.Report(testTime(10), Request(0), f, "u1", "c1")
		if test.started != 0 {
			l.Clear(testTime(19), f, testTime(test.started))
		}
		l.Report(testTime(20), Request(0), f, "u2", "c2")
		l.Merge(testTime(21), []Report{NewReport(f, "u1", "c1", testTime(10))})
		if _, refused := l.Refused(testTime(22), f); refused != test.refused {
			t.Errorf("%s: Refused = %t, want %t", test.name, refused, test.refused)
		}
	}
}

// TestEqualRequestsAtOneCrash guards against a popular request that is refused everywhere because one upstream crashed while
// it ran the request several times: that is one crash, whoever reports it.
func TestEqualRequestsAtOneCrash(t *testing.T) {
	f := testFingerprint(1)
	at := func(ms int) time.Time { return testEpoch.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name    string
		times   []int // In ms; call i fails at times[i].
		refused bool
	}{
		{"at the same time", []int{0, 0, 0, 0}, false},
		{"within the time of a crash", []int{0, 100, 300, 499}, false},
		{"reported in another order", []int{20, 0, 10, 30}, false},
		{"another crash of the upstream", []int{0, 100, 500, 600}, true},
		{"the clock goes back", []int{1000, 0}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			observer, other := NewList(), NewList()
			for i, ms := range c.times {
				if r, added := observer.Report(at(ms), Request(0), f, "u", fmt.Sprint(i)); added {
					other.Merge(at(ms+200), []Report{r})
				}
			}
			for name, l := range map[string]*List{"observer": observer, "other": other} {
				if _, refused := l.Refused(at(1500), f); refused != c.refused {
					t.Errorf("%s: refused = %t, want %t", name, refused, c.refused)
				}
			}
			if a, b := observer.Digest(at(1500)), other.Digest(at(1500)); a != b {
				t.Errorf("digests = %d and %d, want equal ones", a, b)
			}
		})
	}
	observer := NewList()
	observer.Report(at(0), Request(0), f, "u", "1")
	observer.Report(at(10), Request(0), f, "v", "2")
	if _, refused := observer.Refused(at(20), f); !refused {
		t.Error("two upstreams crashed and the request is not refused")
	}
}

// TestDigest guards against digests that differ between lists with the same crashes, and against equal digests when one
// list lacks a crash.
func TestDigest(t *testing.T) {
	first, second := NewList(), NewList()
	if d := first.Digest(testTime(0)); d != 0 {
		t.Errorf("digest of an empty list = %d, want 0", d)
	}
	first.Report(testTime(0), Request(0), testFingerprint(1), "u", "c")
	first.Report(testTime(1), Request(0), testFingerprint(2), "v", "d")
	second.Merge(testTime(3), []Report{NewReport(testFingerprint(2), "v", "d", testTime(3))})
	if first.Digest(testTime(3)) == second.Digest(testTime(3)) {
		t.Error("digests are equal where one list lacks a crash")
	}
	second.Merge(testTime(3), first.Latest(testTime(3), 8))
	if a, b := first.Digest(testTime(3)), second.Digest(testTime(3)); a != b {
		t.Errorf("digests of equal lists = %d and %d", a, b)
	}
	if latest := first.Latest(testTime(3), 1); len(latest) != 1 || latest[0].UpstreamID() != "v" {
		t.Errorf("latest crash = %v, want that of v", latest)
	}
}

// TestCrashesForAnotherReason guards against a popular request that is refused everywhere because several upstreams crashed
// at the same time while they ran it, and against letting a request go on that crashes upstreams although it had succeeded
// before.
func TestCrashesForAnotherReason(t *testing.T) {
	at := func(ms int) time.Time { return testEpoch.Add(time.Duration(ms) * time.Millisecond) }
	request, f := NewRequest("quotes", "GET", "/today", nil), NewFingerprint("quotes", "GET", "/today", nil)
	other := NewRequest("quotes", "GET", "/yesterday", nil)
	for _, c := range []struct {
		name     string
		success  int     // Time in ms of the last run without a crash at the first upstream; 0: none.
		of       Request // That ran then.
		crashes  []int   // Upstream i crashes at crashes[i].
		refused  bool
		followed bool // A run without a crash follows, and one more crash.
	}{
		{name: "popular, three at once", success: 90_000, of: request, crashes: []int{100_000, 100_010, 100_900}},
		{name: "popular, at once and a success, then another", success: 90_000, of: request, crashes: []int{100_000, 100_010}, followed: true},
		{name: "popular, again after they are back", success: 90_000, of: request, crashes: []int{100_000, 100_010, 102_000}, refused: true},
		{name: "popular long ago", success: 30_000, of: request, crashes: []int{100_000, 100_010}, refused: true},
		{name: "another one is popular", success: 90_000, of: other, crashes: []int{100_000, 100_010}, refused: true},
		{name: "never succeeded", crashes: []int{100_000, 100_010}, refused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			observers, last := []*List{NewList(), NewList(), NewList()}, 0
			if c.success > 0 {
				observers[0].RecordSuccess(at(c.success), c.of)
			}
			crash := func(i, ms int) {
				last = ms
				r, _ := observers[i].Report(at(ms), request, f, fmt.Sprint("u", i), fmt.Sprint(ms))
				for _, o := range observers {
					o.Merge(at(ms), []Report{NewReport(f, r.UpstreamID(), r.CallID(), r.CrashedAt()).WithCrash(r.Crash()).WithSucceeded(r.Succeeded())})
				}
			}
			for i, ms := range c.crashes {
				crash(i, ms)
			}
			if c.followed {
				for _, o := range observers {
					o.Clear(at(last+3000), f, at(last+2000))
				}
				crash(0, last+5000)
			}
			for i, o := range observers {
				if _, refused := o.Refused(at(last+1), f); refused != c.refused {
					t.Errorf("node %d: refused = %t, want %t", i, refused, c.refused)
				}
			}
		})
	}
}

// TestSuccessesAreBounded guards against memory that grows with the number of requests, and against a request that is
// taken for another one.
func TestSuccessesAreBounded(t *testing.T) {
	var s successes
	for i := range 10 * successSlots {
		s.record(testTime(1), NewRequest("quotes", "GET", fmt.Sprint("/", i), nil))
	}
	r := NewRequest("quotes", "GET", "/a", []byte("b"))
	if s.since(testTime(0), r) {
		t.Error("a request that did not run has succeeded")
	}
	s.record(testTime(1), r)
	if !s.since(testTime(0), r) || s.since(testTime(1), r) || s.since(testTime(0), NewRequest("quotes", "GET", "/ab", nil)) {
		t.Error("the last success is not remembered, or is that of another request")
	}
}
