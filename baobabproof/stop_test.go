package baobabproof

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// Slow answers take a good part of the grace period; streamed ones arrive in pieces over more than a second.
const (
	slowAnswer     = "delay_ms=250"
	streamedAnswer = "size=20000&pieces=6&piece_interval_ms=220"
)

// steadyRequest returns the requests of a steady load on a service: quick, slow and streamed ones and, where the
// service takes them, keyed ones.
func steadyRequest(service string, serial int64) baobabemulator.CallerRequest {
	r := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/" + service}
	switch serial % 4 {
	case 0:
		r.Query = slowAnswer
	case 1:
		r.Query = streamedAnswer
	case 2:
		if service == "deposits" || service == "dispatch" {
			r.Method, r.Key, r.Caller, r.Query = http.MethodPost, fmt.Sprintf("steady-%d", serial), "club", slowAnswer
		}
	}
	return r
}

// TestPlannedStops guards against a planned stop that cuts a request in progress or that callers see: all nodes of a
// service, and then all its upstreams, are stopped and started one after the other under a steady load of callers with
// keep-alive connections at other nodes and at the stopping nodes themselves.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "repair")
	ctx := timeout(t)
	stopping, others := m.NodesOfService("dispatch"), m.NodesOfService("quotes")
	outside, inside := baobabemulator.NewCaller("outside"), baobabemulator.NewCaller("inside")
	defer outside.Close()
	defer inside.Close()
	load := func(c *baobabemulator.Caller, service string, entries []*baobabemulator.MeshNode) *baobabemulator.LoadGenerator {
		return baobabemulator.StartLoad(ctx, 5, 5*time.Millisecond, func(ctx context.Context, serial int64) {
			c.Do(ctx, entries[serial%int64(len(entries))].EntryURL(), steadyRequest(service, serial))
		})
	}
	// Those at the stopping nodes call a service that stays, so that only the stop of their entry can be seen.
	loads := []*baobabemulator.LoadGenerator{load(outside, "dispatch", others), load(inside, "archive", stopping)}
	f := newFaults(t, m)
	for _, n := range stopping {
		f.waitLoaded(ctx, n)
		f.terminate(ctx, n)
		f.heal(ctx)
		ready := time.Now()
		f.waitServing(ctx, n)
		t.Logf("%s serves again %v after it was ready", n.ID(), time.Since(ready))
	}
	for _, n := range stopping {
		f.waitLoaded(ctx, n)
		if err := n.UpstreamProcess().Terminate(ctx); err != nil {
			t.Errorf("planned stop of %s: %v", n.UpstreamID(), err)
		}
		if err := n.UpstreamProcess().Start(); err != nil {
			t.Fatal(err)
		}
		f.waitServing(ctx, n)
	}
	for _, l := range loads {
		l.Stop()
	}
	away := 0
	for _, r := range append(outside.Records(), inside.Records()...) {
		switch {
		case r.Request.Path == "/archive" && (r.NotConnected() || r.Refusal == "not_ready"):
			away++ // The entry itself has stopped, or is just starting; the caller knows that nothing was run.
		case !r.Answered():
			t.Errorf("request %s to %s: status %d, outcome %q, refusal %q, err %v; want the answer", r.Content, r.Request.Path, r.Status, r.Outcome, r.Refusal, r.Err)
		}
	}
	t.Logf("%d and %d requests answered, %d found their entry closed", len(outside.Records()), len(inside.Records())-away, away)
	checkHistories(t, m, append(outside.Records(), inside.Records()...))
}

// TestLastGateStaysOpen guards against an upstream that is well and yet gets no work while its node, the last of the
// service, is stopped to be started again: until the grace period is over its calls are answered.
func TestLastGateStaysOpen(t *testing.T) {
	t.Parallel()
	const within = 700 * time.Millisecond // Of the grace period of 1 s in the settings of the mesh.
	m := startMesh(t, "repair")
	ctx := timeout(t)
	list := m.NodesOfService("dispatch")
	last, others := list[0], m.NodesOfService("quotes")
	f := newFaults(t, m)
	f.terminate(ctx, list[1:]...)
	caller := baobabemulator.NewCaller("last")
	defer caller.Close()
	load := baobabemulator.StartLoad(ctx, 5, 5*time.Millisecond, func(ctx context.Context, serial int64) {
		caller.Do(ctx, others[serial%int64(len(others))].EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/dispatch"})
	})
	f.waitLoaded(ctx, last)
	begin := time.Now()
	f.terminate(ctx, last)
	load.Stop()
	answered := 0
	for _, r := range caller.Records() {
		switch {
		case r.Answered():
			if r.Start.After(begin) {
				answered++
			}
		case r.Start.Before(begin.Add(within)):
			t.Errorf("request sent %v after the stop signal: status %d, outcome %q, refusal %q, err %v; want the answer",
				r.Start.Sub(begin), r.Status, r.Outcome, r.Refusal, r.Err)
		case r.Outcome != "not_run":
			t.Errorf("request sent %v after the stop signal: outcome %q, refusal %q, err %v; want it not run",
				r.Start.Sub(begin), r.Outcome, r.Refusal, r.Err)
		}
	}
	t.Logf("%d requests answered after the stop signal", answered)
	checkHistories(t, m, caller.Records())
}

// leaveLimit is how long a leaving upstream may still get new work (P7).
const leaveLimit = 3 * time.Second

// TestLeavingUpstream guards against new work for an upstream that has left: announced, silent, with its node killed,
// or while its failure domain is cut off. The time of each start comes from the upstream's history.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	caller := baobabemulator.NewCaller("leaving")
	defer caller.Close()
	at := m.NodesOfService("deposits")[0]
	for _, c := range []struct {
		name  string
		leave func(ctx context.Context, f *faults)
	}{
		{"drain-announced", func(_ context.Context, f *faults) {
			f.behaviour(`{"announce_state": "draining"}`, `{"announce_state": ""}`, at)
		}},
		{"heartbeats-stop", func(_ context.Context, f *faults) {
			f.behaviour(`{"announce_stops": true}`, `{"announce_stops": false}`, at)
		}},
		{"node-killed", func(_ context.Context, f *faults) { f.kill(at.NodeProcess()) }},
		{"drain-announced-while-cut-off", func(_ context.Context, f *faults) {
			f.cut(at.DomainNumber())
			f.behaviour(`{"announce_state": "draining"}`, `{"announce_state": ""}`, at)
		}},
		{"heartbeats-stop-while-cut-off", func(_ context.Context, f *faults) {
			f.cut(at.DomainNumber())
			f.behaviour(`{"announce_stops": true}`, `{"announce_stops": false}`, at)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := timeout(t)
			f := newFaults(t, m)
			// Callers are in all failure domains; calls in the one that is cut off find only this upstream.
			entries := append(m.NodesOfService("availability"), m.NodesInDomain(at.DomainNumber())...)
			entries = slices.DeleteFunc(entries, func(n *baobabemulator.MeshNode) bool { return n == at })
			load := baobabemulator.StartLoad(ctx, 8, 2*time.Millisecond, func(ctx context.Context, serial int64) {
				caller.Do(ctx, entries[serial%int64(len(entries))].EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits"})
			})
			defer load.Stop()
			f.waitServing(ctx, at)
			left := time.Now()
			c.leave(ctx, f)
			f.wait(ctx, "the limit to pass", func() bool { return time.Since(left) > leaveLimit+500*time.Millisecond })
			sent := load.Sent()
			f.wait(ctx, "further calls", func() bool { return load.Sent() > sent+50 })
			runs, err := at.Runs()
			if err != nil {
				t.Fatal(err)
			}
			last := time.Duration(0)
			for _, r := range runs {
				last = max(last, time.Unix(0, r.StartNs).Sub(left))
			}
			if last > leaveLimit {
				t.Errorf("the last call started %v after the upstream had left, want at most %v", last, leaveLimit)
			}
			t.Logf("last start %v after leaving", last)
			load.Stop()
			f.heal(ctx)
		})
	}
	checkHistories(t, m, caller.Records())
}
