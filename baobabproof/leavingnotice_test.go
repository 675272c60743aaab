package baobabproof

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestLeavingUpstreamUsedAfterRestart guards against new calls to an upstream that has said in an answer that it leaves.
func TestLeavingUpstreamUsedAfterRestart(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	ctx := testContext(t)
	f := newFaultInjector(t, m)
	leaving, entries := m.NodesOfService("deposits")[0], m.NodesOfService("availability")
	caller := baobabemulator.NewCaller("leaving")
	defer caller.Close()
	load := baobabemulator.StartLoad(ctx, 8, 2*time.Millisecond, func(ctx context.Context, serial int64) {
		caller.Do(ctx, entries[serial%int64(len(entries))].EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits"})
	})
	defer load.Stop()
	f.waitNextCall(ctx, leaving)
	f.setBehaviour(`{"leaving": true}`, `{"leaving": false}`, leaving)
	f.waitUntil(ctx, "the notice", func() bool {
		v, err := leaving.Metric(ctx, `baobab_upstream_state{state="draining"}`)
		return err == nil && v == 1
	})
	left := time.Now()
	f.waitUntil(ctx, "the limit to pass", func() bool { return time.Since(left) > newWorkLimit })
	leaving.NodeProcess().Kill()
	if err := leaving.NodeProcess().Start(); err != nil {
		t.Fatal(err)
	}
	if err := m.WaitReady(ctx, leaving); err != nil {
		t.Fatal(err)
	}
	restarted := time.Now()
	f.waitUntil(ctx, "heartbeats after the restart", func() bool { return time.Since(restarted) > newWorkLimit })
	load.Stop()
	runs, err := leaving.Runs()
	if err != nil {
		t.Fatal(err)
	}
	late := 0
	for _, r := range runs {
		if time.Unix(0, r.StartNs).Sub(left) > newWorkLimit {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d calls reached the upstream more than %v after it had said that it leaves", late, newWorkLimit)
	}
	checkHistories(t, m, caller.Records())
}
