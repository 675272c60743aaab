package baobabrollout

import (
	"testing"
	"time"
)

// TestSplitAllows guards against requests to a version that nobody ordered, and against refusing an upstream of the version in
// use.
func TestSplitAllows(t *testing.T) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	old, fresh := at(-time.Hour), at(time.Second)
	both := func() Populations {
		p := Populations{}
		p.Add(at(2*time.Second), "v1", old)
		p.Add(at(2*time.Second), "v2", fresh)
		p.Add(at(2*time.Second), "v2", fresh)
		return p
	}
	only := func(version string) Populations {
		p := Populations{}
		p.Add(at(2*time.Second), version, fresh)
		return p
	}
	order := NewOrder("s", "v2", 15*time.Second, 7)
	first := NewRecord(order, "v1", "n1", at(time.Second))
	small := first.Next(0.05, StateRunning, "", "n1", 0, at(2*time.Second))
	all := small.Next(1, StateRunning, "", "n1", 0, at(2*time.Second))
	completed := all.Next(1, StateCompleted, "", "n1", 0, at(2*time.Second))
	back := small.Next(0, StateRolledBack, "", "n1", 0, at(2*time.Second))
	for _, c := range []struct {
		name    string
		orders  []Order
		records []Record
		p       Populations
		after   time.Duration
		v1, v2  bool
		none    bool // Whether an upstream without a stated version is allowed.
	}{
		{"no version stated", nil, nil, only(""), 0, false, false, true},
		{"one version", nil, nil, only("v2"), 3 * time.Second, false, true, true},
		{"second version without an order", nil, nil, both(), 2 * time.Second, true, false, false},
		{"ordered, no stage known", []Order{order}, nil, both(), 2 * time.Second, true, false, false},
		{"ordered, just started, only the target known", []Order{order}, nil, only("v2"), time.Second, false, false, false},
		{"ordered long ago, only the target known", []Order{order}, nil, only("v2"), 3 * time.Second, false, true, true},
		{"first stage", []Order{order}, []Record{first}, both(), 3 * time.Second, true, false, false},
		{"small share", []Order{order}, []Record{first, small}, both(), 3 * time.Second, true, true, false},
		{"small share without its order", nil, []Record{small}, both(), 3 * time.Second, true, true, false},
		{"stages out of order", nil, []Record{back, small}, both(), 3 * time.Second, true, false, false},
		{"stage too old", nil, []Record{small}, both(), 7 * time.Second, true, false, false},
		{"all, too old, old version still there", nil, []Record{all}, both(), 7 * time.Second, true, false, false},
		{"all, too old, old version gone", nil, []Record{all}, only("v2"), 7 * time.Second, true, true, false},
		{"completed", nil, []Record{completed}, both(), 9 * time.Second, false, true, false},
		{"rolled back, third version", nil, []Record{back}, only("v3"), 9 * time.Second, true, false, false},
		{"second order while the first runs", []Order{NewOrder("s", "v3", time.Second, 9)}, []Record{small}, both(), 3 * time.Second, true, false, false},
	} {
		s := NewSplit(start)
		for _, o := range c.orders {
			s.ObserveOrder(o)
		}
		for _, r := range c.records {
			s.Merge(r)
		}
		stage := s.Stage(at(c.after), c.p)
		if v1, v2, none := stage.Allows("v1"), stage.Allows("v2"), stage.Allows(""); v1 != c.v1 || v2 != c.v2 || none != c.none {
			t.Errorf("%s: v1 %t, v2 %t, none stated %t; want %t, %t, %t", c.name, v1, v2, none, c.v1, c.v2, c.none)
		}
	}
}

// TestSplitHeld guards against a node that takes the first version it sees for the one in use, and does not correct it.
func TestSplitHeld(t *testing.T) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	s := NewSplit(start)
	p := Populations{}
	p.Add(start, "v2", start)
	s.Observe(start, p)
	if v, _ := s.Held(); v != "" {
		t.Errorf("holds %q at once", v)
	}
	s.Observe(start.Add(settleTime), p)
	if v, _ := s.Held(); v != "v2" {
		t.Errorf("holds %q after %s", v, settleTime)
	}
	if !s.MergeHeld("v1", start.Add(-time.Minute)) || s.MergeHeld("v3", start) {
		t.Error("the version held for longer does not win")
	}
	p.Add(start, "v1", start.Add(-time.Hour))
	if v := s.Baseline(start.Add(time.Minute), p); v != "v1" {
		t.Errorf("baseline %q", v)
	}
}

// TestCanaries guards against nodes that choose different upstreams, too many of them, or all in one failure domain.
func TestCanaries(t *testing.T) {
	var list []Canary
	for i := range 51 {
		list = append(list, Canary{ID: "n" + string(rune('A'+i)), FailureDomain: string(rune('a' + i%3))})
	}
	for _, c := range []struct {
		n     int
		share float64
		want  int
	}{{51, 0.05, 3}, {51, 0.5, 26}, {51, 1, 51}, {1, 0.05, 1}, {4, 0.05, 2}, {0, 1, 0}} {
		chosen := Canaries(list[:c.n], c.share)
		if len(chosen) != c.want {
			t.Errorf("%d upstreams, share %g: %d chosen, want %d", c.n, c.share, len(chosen), c.want)
		}
	}
	domains := map[string]bool{}
	for _, c := range list {
		if Canaries(list, 0.05)[c.ID] {
			domains[c.FailureDomain] = true
		}
	}
	if len(domains) != 3 {
		t.Errorf("upstreams in %d failure domains, want 3", len(domains))
	}
}
