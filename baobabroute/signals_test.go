package baobabroute

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSignalsCount guards against calls in flight that are lost under concurrency or fall below zero.
func TestSignalsCount(t *testing.T) {
	s := NewSignals()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range 1000 {
				id := fmt.Sprint("n", i%10)
				s.Started(start, id)
				s.Reported(start, id, NewLoad(1, 6, 0, 0))
				if i%2 == 0 {
					s.Finished(start, id, NewResult(VerdictSuccess, time.Millisecond))
				}
			}
		})
	}
	group.Wait()
	total := 0
	for i := range 10 {
		total += s.State(start, fmt.Sprint("n", i)).InFlight()
	}
	if total != 4000 {
		t.Errorf("in flight = %d, want 4000", total)
	}
	s.Finished(start, "new", NewResult(VerdictAbandoned, 0))
	if n := s.State(start, "new").InFlight(); n != 0 {
		t.Errorf("in flight after an end without start = %d", n)
	}
}

// TestForget guards against entries that stay for ever, and against forgetting calls in flight.
func TestForget(t *testing.T) {
	s := NewSignals(WithRetention(time.Minute))
	s.Reported(start, "idle", Load{})
	s.Started(start, "busy")
	if n := s.Forget(start.Add(time.Minute - 1)); n != 0 {
		t.Errorf("forgot %d entries before the retention time", n)
	}
	if n := s.Forget(start.Add(time.Minute)); n != 1 || s.Len() != 1 {
		t.Errorf("forgot %d entries, %d are left, want 1 and 1", n, s.Len())
	}
	if s.State(start, "busy").InFlight() != 1 {
		t.Error("call in flight is forgotten")
	}
}

// TestReportsFade guards against an old load report that keeps an endpoint overloaded without calls.
func TestReportsFade(t *testing.T) {
	s := NewSignals()
	s.Reported(start, "n", NewLoad(6, 6, 60, time.Second))
	if p := s.State(start, "n").pressure(6); p != 11 {
		t.Errorf("pressure = %v, want 11", p)
	}
	s.Started(start, "n")
	if p := s.State(start, "n").pressure(6); p <= 11 {
		t.Errorf("pressure with one more call = %v, want more than 11", p)
	}
	s.Finished(start, "n", NewResult(VerdictAbandoned, 0))
	s.Reported(start, "n", NewLoad(6, 6, 60, time.Second))
	late := s.State(start.Add(10*time.Second), "n")
	if p := late.pressure(6); p > 0.01 || late.wait > time.Millisecond {
		t.Errorf("after 10 s: pressure %v, wait %v", p, late.wait)
	}
}

// TestSignalsBounds guards against values out of range for any order of events.
func TestSignalsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSignals()
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
				s.Started(now, "n")
			}
			st := s.Finished(now, "n", NewResult(verdict, latency))
			if st.InFlight() < 0 || st.FailureRate() < 0 || st.FailureRate() > 1 || st.refusalRate < 0 || st.refusalRate > 1 {
				t.Fatalf("state = %+v", st)
			}
			if st.Latency() > longest || st.expectedWait(6) <= 0 {
				t.Fatalf("latency %v above the longest %v, or expected wait %v", st.Latency(), longest, st.expectedWait(6))
			}
		}
	})
}

func BenchmarkSignalsUpdate4000Endpoints(b *testing.B) {
	s := NewSignals()
	ids := make([]string, 4000)
	for i := range ids {
		ids[i] = fmt.Sprintf("node-%d", i)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			id := ids[i*7919%len(ids)]
			s.Started(start, id)
			s.Reported(start, id, NewLoad(3, 6, 0, time.Millisecond))
			s.Finished(start, id, NewResult(VerdictSuccess, time.Millisecond))
		}
	})
}
