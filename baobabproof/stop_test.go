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

// Query parameters of slow answers, which take a considerable part of the grace period, and of streamed answers, which
// arrive in pieces over more than 1 s.
const (
	slowAnswer     = "delay_ms=250"
	streamedAnswer = "size=20000&pieces=6&piece_interval_ms=220"
)

// steadyRequest returns a request of a steady load on a service. The serial number selects a quick, slow or streamed
// request or, for services that accept them, a keyed one.
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

// TestPlannedStops guards against a graceful stop that breaks off a request in progress or is visible to callers. All
// nodes of a service, and then all its upstreams, are restarted one after the other under a steady load of callers with
// keep-alive connections to other nodes and to the stopping nodes.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "repair")
	ctx := testContext(t)
	stopping, others := m.NodesOfService("dispatch"), m.NodesOfService("quotes")
	outside, inside := baobabemulator.NewCaller("outside"), baobabemulator.NewCaller("inside")
	defer outside.Close()
	defer inside.Close()
	load := func(c *baobabemulator.Caller, service string, entries []*baobabemulator.MeshNode) *baobabemulator.LoadGenerator {
		return baobabemulator.StartLoad(ctx, 5, 5*time.Millisecond, func(ctx context.Context, serial int64) {
			c.Do(ctx, entries[serial%int64(len(entries))].EntryURL(), steadyRequest(service, serial))
		})
	}
	// Callers of the stopping nodes use a service that keeps running, so they can see only the stop of their entry node.
	loads := []*baobabemulator.LoadGenerator{load(outside, "dispatch", others), load(inside, "archive", stopping)}
	f := newFaultInjector(t, m)
	for _, n := range stopping {
		f.waitCallInProgress(ctx, n)
		f.terminateNodes(ctx, n)
		f.heal(ctx)
		ready := time.Now()
		f.waitNextCall(ctx, n)
		t.Logf("%s serves calls again %v after it was ready", n.ID(), time.Since(ready))
	}
	for _, n := range stopping {
		f.waitCallInProgress(ctx, n)
		if err := n.UpstreamProcess().Terminate(ctx); err != nil {
			t.Errorf("planned stop of %s: %v", n.UpstreamID(), err)
		}
		if err := n.UpstreamProcess().Start(); err != nil {
			t.Fatal(err)
		}
		f.waitNextCall(ctx, n)
	}
	for _, l := range loads {
		l.Stop()
	}
	unreachable := 0
	for _, r := range append(outside.Records(), inside.Records()...) {
		switch {
		case r.Request.Path == "/archive" && (r.NotConnected() || r.Refusal == "not_ready"):
			unreachable++ // The entry node is stopped or still starting; the caller knows that nothing ran.
		case !r.Answered():
			t.Errorf("request %s to %s: status %d, outcome %q, refusal %q, err %v; want the answer", r.Content, r.Request.Path, r.Status, r.Outcome, r.Refusal, r.Err)
		}
	}
	t.Logf("%d and %d requests answered, %d found their entry closed", len(outside.Records()), len(inside.Records())-unreachable, unreachable)
	checkHistories(t, m, append(outside.Records(), inside.Records()...))
}

// TestLastGateStaysOpen guards against a healthy upstream that gets no calls while its node, the last one of the
// service, stops for a restart: until the grace period ends, calls must be answered.
func TestLastGateStaysOpen(t *testing.T) {
	t.Parallel()
	const mustServe = 700 * time.Millisecond // The grace period in the mesh settings is 1 s.
	m := startMesh(t, "repair")
	ctx := testContext(t)
	list := m.NodesOfService("dispatch")
	last, others := list[0], m.NodesOfService("quotes")
	f := newFaultInjector(t, m)
	f.terminateNodes(ctx, list[1:]...)
	caller := baobabemulator.NewCaller("last")
	defer caller.Close()
	load := baobabemulator.StartLoad(ctx, 5, 5*time.Millisecond, func(ctx context.Context, serial int64) {
		caller.Do(ctx, others[serial%int64(len(others))].EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/dispatch"})
	})
	f.waitCallInProgress(ctx, last)
	begin := time.Now()
	f.terminateNodes(ctx, last)
	load.Stop()
	answered := 0
	for _, r := range caller.Records() {
		switch {
		case r.Answered():
			if r.Start.After(begin) {
				answered++
			}
		case r.Start.Before(begin.Add(mustServe)):
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

// newWorkLimit is how long a leaving upstream may still receive new calls (P7 in docs/design.md).
const newWorkLimit = 3 * time.Second

// TestLeavingUpstream guards against new calls to an upstream that has left: with an announcement, by silence, by the
// death of its node, or while its failure domain is cut off. The upstream's history gives the start time of each call.
func TestLeavingUpstream(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	caller := baobabemulator.NewCaller("leaving")
	defer caller.Close()
	leaving := m.NodesOfService("deposits")[0]
	for _, c := range []struct {
		name  string
		leave func(ctx context.Context, f *faultInjector)
	}{
		{"drain-announced", func(_ context.Context, f *faultInjector) {
			f.setBehaviour(`{"announce_state": "draining"}`, `{"announce_state": ""}`, leaving)
		}},
		{"heartbeats-stop", func(_ context.Context, f *faultInjector) {
			f.setBehaviour(`{"announce_stops": true}`, `{"announce_stops": false}`, leaving)
		}},
		{"node-killed", func(_ context.Context, f *faultInjector) { f.kill(leaving.NodeProcess()) }},
		{"drain-announced-while-cut-off", func(_ context.Context, f *faultInjector) {
			f.cutDomain(leaving.DomainNumber())
			f.setBehaviour(`{"announce_state": "draining"}`, `{"announce_state": ""}`, leaving)
		}},
		{"heartbeats-stop-while-cut-off", func(_ context.Context, f *faultInjector) {
			f.cutDomain(leaving.DomainNumber())
			f.setBehaviour(`{"announce_stops": true}`, `{"announce_stops": false}`, leaving)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx := testContext(t)
			f := newFaultInjector(t, m)
			// Calls enter in all failure domains; those in the domain that is cut off find only this upstream.
			entries := append(m.NodesOfService("availability"), m.NodesInDomain(leaving.DomainNumber())...)
			entries = slices.DeleteFunc(entries, func(n *baobabemulator.MeshNode) bool { return n == leaving })
			load := baobabemulator.StartLoad(ctx, 8, 2*time.Millisecond, func(ctx context.Context, serial int64) {
				caller.Do(ctx, entries[serial%int64(len(entries))].EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits"})
			})
			defer load.Stop()
			f.waitNextCall(ctx, leaving)
			left := time.Now()
			c.leave(ctx, f)
			f.waitUntil(ctx, "the limit to pass", func() bool { return time.Since(left) > newWorkLimit+500*time.Millisecond })
			sent := load.Sent()
			f.waitUntil(ctx, "further calls", func() bool { return load.Sent() > sent+50 })
			runs, err := leaving.Runs()
			if err != nil {
				t.Fatal(err)
			}
			last := time.Duration(0)
			for _, r := range runs {
				last = max(last, time.Unix(0, r.StartNs).Sub(left))
			}
			if last > newWorkLimit {
				t.Errorf("the last call started %v after the upstream had left, want at most %v", last, newWorkLimit)
			}
			t.Logf("last start %v after leaving", last)
			load.Stop()
			f.heal(ctx)
		})
	}
	checkHistories(t, m, caller.Records())
}
