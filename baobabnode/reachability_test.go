package baobabnode

import (
	"context"
	"sync"
	"testing"
	"time"
)

// TestReachability guards against a node that takes the place of a coordinator which it reaches, or that checks a member for each
// report.
func TestReachability(t *testing.T) {
	var mu sync.Mutex
	alive, checks := true, 0
	r := newReachability(func(context.Context, string) bool {
		mu.Lock()
		defer mu.Unlock()
		checks++
		return alive
	})
	await := func(now time.Time, want bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); r.reaches(now, "m") != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("reaches() = %t", !want)
			}
		}
	}
	start := time.Unix(1000, 0)
	for range 10 {
		if !r.reaches(start, "m") {
			t.Error("a member that answers is not reached")
		}
	}
	mu.Lock()
	if checks != 1 {
		t.Errorf("%d checks at one time, want 1", checks)
	}
	alive = false
	mu.Unlock()
	if !r.reaches(start.Add(reachInterval/2), "m") {
		t.Error("the last result does not count until the next check")
	}
	await(start.Add(reachInterval), false)
	mu.Lock()
	alive = true
	mu.Unlock()
	if !r.reaches(start.Add(reachInterval+reachTimeout+2*reachMemory), "m") {
		t.Error("an old result counts")
	}
}
