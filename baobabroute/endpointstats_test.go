package baobabroute

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEndpointStatsInFlight guards against a count of calls in flight that is wrong under concurrency or below zero.
func TestEndpointStatsInFlight(t *testing.T) {
	s := NewEndpointStats()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range 1000 {
				id := fmt.Sprint("n", i%10)
				s.RecordStart(start, id)
				s.RecordLoad(start, id, NewLoad(1, 6, 0, 0))
				if i%2 == 0 {
					s.RecordResult(start, id, NewResult(VerdictSuccess, time.Millisecond))
				}
			}
		})
	}
	group.Wait()
	total := 0
	for i := range 10 {
		total += s.Snapshot(start, fmt.Sprint("n", i)).InFlight()
	}
	if total != 4000 {
		t.Errorf("in flight = %d, want 4000", total)
	}
	s.RecordResult(start, "new", NewResult(VerdictNeutral, 0))
	if n := s.Snapshot(start, "new").InFlight(); n != 0 {
		t.Errorf("in flight after a result without a start = %d", n)
	}
}

// TestRemoveUnused guards against entries that are never removed, and against removing entries with calls in flight.
func TestRemoveUnused(t *testing.T) {
	s := NewEndpointStats(WithRetention(time.Minute))
	s.RecordLoad(start, "idle", Load{})
	s.RecordStart(start, "busy")
	if n := s.RemoveUnused(start.Add(time.Minute - 1)); n != 0 {
		t.Errorf("removed %d entries before the retention time", n)
	}
	if n := s.RemoveUnused(start.Add(time.Minute)); n != 1 || s.Len() != 1 {
		t.Errorf("removed %d entries, %d are left, want 1 and 1", n, s.Len())
	}
	if s.Snapshot(start, "busy").InFlight() != 1 {
		t.Error("entry with a call in flight was removed")
	}
}

// TestLoadReportDecays guards against an old load report that keeps an idle endpoint overloaded.
func TestLoadReportDecays(t *testing.T) {
	s := NewEndpointStats()
	s.RecordLoad(start, "n", NewLoad(6, 6, 60, time.Second))
	if u := s.Snapshot(start, "n").utilization(6); u != 11 {
		t.Errorf("utilization = %v, want 11", u)
	}
	s.RecordStart(start, "n")
	if u := s.Snapshot(start, "n").utilization(6); u <= 11 {
		t.Errorf("utilization with one more call = %v, want more than 11", u)
	}
	s.RecordResult(start, "n", NewResult(VerdictNeutral, 0))
	s.RecordLoad(start, "n", NewLoad(6, 6, 60, time.Second))
	snapshot := s.Snapshot(start.Add(10*time.Second), "n")
	if u := snapshot.utilization(6); u > 0.01 || snapshot.queueWait > time.Millisecond {
		t.Errorf("after 10 s: utilization %v, wait %v", u, snapshot.queueWait)
	}
}

// TestEndpointStatsBounds guards against statistics out of range after any sequence of events.
func TestEndpointStatsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewEndpointStats()
		now := start
		longest := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "ms")) * time.Millisecond)
			latency := time.Duration(rapid.IntRange(0, 1000).Draw(t, "latency")) * time.Millisecond
			verdict := Verdict(rapid.IntRange(0, 3).Draw(t, "verdict"))
			if verdict == VerdictSuccess {
				longest = max(longest, latency)
			}
			if rapid.Bool().Draw(t, "start") {
				s.RecordStart(now, "n")
			}
			snapshot := s.RecordResult(now, "n", NewResult(verdict, latency))
			if snapshot.InFlight() < 0 || snapshot.FailureRate() < 0 || snapshot.FailureRate() > 1 ||
				snapshot.refusalRate < 0 || snapshot.refusalRate > 1 {
				t.Fatalf("snapshot = %+v", snapshot)
			}
			if snapshot.Latency() > longest || snapshot.expectedLatency(6) <= 0 {
				t.Fatalf("latency %v above the longest %v, or expected latency %v", snapshot.Latency(), longest, snapshot.expectedLatency(6))
			}
		}
	})
}

func BenchmarkEndpointStatsUpdate4000Endpoints(b *testing.B) {
	s := NewEndpointStats()
	ids := make([]string, 4000)
	for i := range ids {
		ids[i] = fmt.Sprintf("node-%d", i)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			id := ids[i*7919%len(ids)]
			s.RecordStart(start, id)
			s.RecordLoad(start, id, NewLoad(3, 6, 0, time.Millisecond))
			s.RecordResult(start, id, NewResult(VerdictSuccess, time.Millisecond))
		}
	})
}
