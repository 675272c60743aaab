package baobabproof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

const (
	// limitWindow is the time over which the requests at an upstream are counted.
	limitWindow = 4 * time.Second
	// limitFactor and limitSlack bound the requests in a window, relative to what the stated limit allows.
	limitFactor, limitSlack = 1.5, 5
)

// mostRequests returns the highest number of runs that started within limitWindow, of those that started after a time.
func mostRequests(t *testing.T, n *baobabemulator.MeshNode, after time.Time) int {
	t.Helper()
	runs, err := n.Runs()
	if err != nil {
		t.Fatal(err)
	}
	most, first := 0, 0
	for i, r := range runs {
		for r.StartNs-runs[first].StartNs > limitWindow.Nanoseconds() || runs[first].StartNs < after.UnixNano() && first < i {
			first++
		}
		if r.StartNs >= after.UnixNano() {
			most = max(most, i-first+1)
		}
	}
	return most
}

// stateLimits waits for a call at the first of the nodes and then makes their upstreams state a limit. It returns when
// they began to.
func stateLimits(ctx context.Context, f *faultInjector, fields string, nodes []*baobabemulator.MeshNode) time.Time {
	f.waitNextCall(ctx, nodes[0])
	f.setBehaviour(fields, `{"request_limit": 0}`, nodes...)
	return time.Now()
}

// checkLimit checks that a node's upstream got no more requests in any window than its limit in requests per second
// allows, and returns the highest number.
func checkLimit(t *testing.T, n *baobabemulator.MeshNode, after time.Time, perSecond float64) int {
	t.Helper()
	most := mostRequests(t, n, after)
	if allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
		t.Errorf("%s got %d requests in %v, at most %.0f are allowed", n.ID(), most, limitWindow, allowed)
	}
	return most
}

// TestRequestLimitExceeded guards against an upstream that gets more requests, from all entries, than it states that it takes.
func TestRequestLimitExceeded(t *testing.T) {
	t.Parallel()
	const perSecond, applied = 20.0, 500 * time.Millisecond
	m := startMesh(t, "booking")
	ctx := testContext(t)
	f := newFaultInjector(t, m)
	limited, entries := m.NodesOfService("availability"), m.Nodes()
	caller := baobabemulator.NewCaller("limit")
	defer caller.Close()
	load := baobabemulator.StartLoad(ctx, 8, 2*time.Millisecond, func(ctx context.Context, serial int64) {
		caller.Do(ctx, entries[serial%int64(len(entries))].EntryURL(),
			baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/availability", Timeout: time.Second})
	})
	defer load.Stop()
	stated := stateLimits(ctx, f, `{"request_limit": 20}`, limited)
	f.waitUntil(ctx, "two windows to pass", func() bool { return time.Since(stated) > 2*limitWindow })
	for _, n := range limited {
		most := checkLimit(t, n, stated.Add(applied), perSecond)
		if least := perSecond * limitWindow.Seconds() / 2; float64(most) < least {
			t.Errorf("%s got %d requests in %v, it takes %.0f", n.ID(), most, limitWindow, 2*least)
		}
	}
	f.heal(ctx)
	lifted := time.Now()
	f.waitUntil(ctx, "more requests than the limit allowed", func() bool {
		return time.Since(lifted) > time.Second && mostRequests(t, limited[0], lifted) > 4*perSecond
	})
	load.Stop()
	checkHistories(t, m, caller.Records())
}

// TestRequestLimitForgottenAtRestart guards against a restarted node that fills all slots of a limited upstream.
func TestRequestLimitForgottenAtRestart(t *testing.T) {
	t.Parallel()
	const perSecond, applied = 2.0, 2 * time.Second
	m := startMesh(t, "repair")
	ctx := testContext(t)
	f := newFaultInjector(t, m)
	limited, entries := m.NodesOfService("quotes"), m.NodesOfService("archive")
	caller := baobabemulator.NewCaller("limit")
	defer caller.Close()
	load := baobabemulator.StartLoad(ctx, 40, 2*time.Millisecond, func(ctx context.Context, serial int64) {
		caller.Do(ctx, entries[serial%int64(len(entries))].EntryURL(), baobabemulator.CallerRequest{
			Method: http.MethodGet, Path: "/quotes", Query: "delay_ms=600", Timeout: 3 * time.Second,
		})
	})
	defer load.Stop()
	stated := stateLimits(ctx, f, `{"request_limit": 2}`, limited)
	f.waitUntil(ctx, "a window to pass", func() bool { return time.Since(stated) > applied+limitWindow })
	limited[0].NodeProcess().Kill()
	if err := limited[0].NodeProcess().Start(); err != nil {
		t.Fatal(err)
	}
	restarted := time.Now()
	f.waitUntil(ctx, "a window after the restart", func() bool { return time.Since(restarted) > 2*limitWindow })
	for _, n := range limited {
		checkLimit(t, n, stated.Add(applied), perSecond)
	}
	load.Stop()
	checkHistories(t, m, caller.Records())
}
