package baobabproof

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// A refusalCase provokes refusals with one reason.
type refusalCase struct {
	reason         string
	status         int
	outcome        string                                      // Empty if not_run and unknown are both correct.
	wantRetryAfter bool                                        // Whether Retry-After must be set.
	provoke        func(ctx context.Context, f *faultInjector) // Sends requests of which at least one is refused.
}

// TestRefusals guards against a request that is refused as not run although an upstream ran it, and against a refusal
// without the status, outcome and Retry-After that callers rely on. It provokes each refusal reason.
func TestRefusals(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	caller := baobabemulator.NewCaller("refusal")
	defer caller.Close()
	entry, deposits := m.NodesOfService("availability")[0], m.NodesOfService("deposits")
	get := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits"}
	post := func(key string) baobabemulator.CallerRequest {
		return baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits", Key: key, Caller: "club"}
	}
	with := func(r baobabemulator.CallerRequest, change func(*baobabemulator.CallerRequest)) baobabemulator.CallerRequest {
		change(&r)
		return r
	}
	do := func(r baobabemulator.CallerRequest) func(context.Context, *faultInjector) {
		return func(ctx context.Context, _ *faultInjector) { caller.Do(ctx, entry.EntryURL(), r) }
	}
	slow := with(get, func(r *baobabemulator.CallerRequest) { r.Query = "delay_ms=300" })
	// The rank of this service allows waits that are long enough for a queue to reach its limit.
	deferrable := with(get, func(r *baobabemulator.CallerRequest) { r.Path, r.Query = "/session-records", "delay_ms=100" })
	// busy occupies all deposits upstreams with n slow calls and sends further requests meanwhile.
	busy := func(n int, further baobabemulator.CallerRequest) func(context.Context, *faultInjector) {
		return func(ctx context.Context, _ *faultInjector) {
			var all sync.WaitGroup
			all.Go(func() { caller.Burst(ctx, n, entry.EntryURL(), slow) })
			for range 20 {
				caller.Do(ctx, entry.EntryURL(), further)
			}
			all.Wait()
		}
	}
	for _, c := range []refusalCase{
		{"no_route", 404, "not_run", false, do(with(get, func(r *baobabemulator.CallerRequest) { r.Path = "/nowhere" }))},
		{"malformed", 400, "not_run", false, do(with(get, func(r *baobabemulator.CallerRequest) {
			r.Header = map[string]string{"Baobab-Timeout-Ms": "soon"}
		}))},
		{"key_required", 400, "not_run", false, do(post(""))},
		{"over_size", 413, "not_run", false, do(with(post("over-size"), func(r *baobabemulator.CallerRequest) { r.Padding = 2 << 20 }))},
		{"key_reused", 422, "not_run", false, func(ctx context.Context, f *faultInjector) {
			do(post("reused"))(ctx, f)
			do(post("reused"))(ctx, f)
		}},
		{"in_progress", 409, "unknown", true, func(ctx context.Context, _ *faultInjector) {
			caller.Burst(ctx, 2, entry.EntryURL(), with(post("progress"), func(r *baobabemulator.CallerRequest) {
				r.Content, r.Query = "progress", "delay_ms=300"
			}))
		}},
		{"store_unavailable", 503, "not_run", true, func(ctx context.Context, f *faultInjector) {
			f.setPlatformFaults(`{"down": true}`)
			do(post("no-store"))(ctx, f)
		}},
		{"upstream_shed", 503, "not_run", true, func(ctx context.Context, f *faultInjector) {
			f.setBehaviour(`{"shed": true}`, `{"shed": false}`, deposits...)
			do(get)(ctx, f)
			do(post("shed"))(ctx, f)
		}},
		{"peer_unreachable", 503, "not_run", true, func(ctx context.Context, f *faultInjector) {
			for _, n := range deposits {
				n.PeerProxy().Disconnect()
			}
			do(get)(ctx, f)
			do(post("cut"))(ctx, f)
			for _, n := range deposits {
				n.PeerProxy().Heal()
			}
		}},
		{"answer_lost", 502, "unknown", false, func(ctx context.Context, f *faultInjector) {
			var first sync.WaitGroup
			first.Go(func() {
				do(with(post("lost"), func(r *baobabemulator.CallerRequest) { r.Content, r.Query = "lost", "delay_ms=400" }))(ctx, f)
			})
			if node, err := f.m.WaitRun(ctx, "lost"); err == nil {
				node.PeerProxy().Disconnect()
				first.Wait()
				node.PeerProxy().Heal()
			}
		}},
		// The endpoint in the failure domain of the entry node is tried first and loses the answer; the others shed the call.
		{"answer_lost", 502, "unknown", false, func(ctx context.Context, f *faultInjector) {
			f.setBehaviour(`{"shed": true}`, `{"shed": false}`, deposits[:2]...)
			// These calls fill the retry budget; without it the other endpoints are not tried.
			for range 50 {
				caller.DoUntilAnswered(ctx, []string{entry.EntryURL()}, get, 50*time.Millisecond)
			}
			var first sync.WaitGroup
			first.Go(func() {
				do(with(get, func(r *baobabemulator.CallerRequest) { r.Content, r.Query = "lost-and-shed", "delay_ms=400" }))(ctx, f)
			})
			if node, err := f.m.WaitRun(ctx, "lost-and-shed"); err == nil {
				node.PeerProxy().Disconnect()
				first.Wait()
				node.PeerProxy().Heal()
			}
		}},
		{"upstream_failed", 502, "unknown", false, func(ctx context.Context, f *faultInjector) {
			do(with(get, func(r *baobabemulator.CallerRequest) { r.Query = "crash=1&delay_ms=50" }))(ctx, f)
			f.waitUntil(ctx, "end of the crashed upstream", func() bool { return f.restartStoppedUpstreams() > 0 })
		}},
		// All upstreams of the service have crashed, but their nodes have not yet noticed missing heartbeats.
		{"upstream_unavailable", 503, "not_run", true, func(ctx context.Context, f *faultInjector) {
			for i := range 2 * len(deposits) {
				do(with(get, func(r *baobabemulator.CallerRequest) { r.Query = fmt.Sprintf("crash=1&delay_ms=10&n=%d", i) }))(ctx, f)
			}
			do(get)(ctx, f)
			do(post("unavailable"))(ctx, f)
			crashed := 0
			f.waitUntil(ctx, "end of the crashed upstreams", func() bool {
				crashed += f.restartStoppedUpstreams()
				return crashed >= len(deposits)
			})
		}},
		{"deadline_passed", 504, "", false, func(ctx context.Context, f *faultInjector) {
			// An upstream that keeps the deadline too may answer with its own 504 before the node refuses the call.
			f.setBehaviour(`{"ignore_deadline": true}`, `{"ignore_deadline": false}`, deposits...)
			do(with(slow, func(r *baobabemulator.CallerRequest) { r.Timeout = 100 * time.Millisecond }))(ctx, f)
		}},
		{"deadline_unmeetable", 504, "not_run", true, busy(150, with(get, func(r *baobabemulator.CallerRequest) { r.Timeout = 30 * time.Millisecond }))},
		{"queue_full", 429, "not_run", true, func(ctx context.Context, _ *faultInjector) { caller.Burst(ctx, 1000, entry.EntryURL(), deferrable) }},
		{"caller_share", 429, "not_run", true, func(ctx context.Context, _ *faultInjector) {
			var all sync.WaitGroup
			for name, n := range map[string]int{"greedy": 800, "modest": 200} {
				r := with(deferrable, func(r *baobabemulator.CallerRequest) { r.Caller = name })
				all.Go(func() { caller.Burst(ctx, n, entry.EntryURL(), r) })
			}
			all.Wait()
		}},
		{"draining", 503, "not_run", true, func(ctx context.Context, f *faultInjector) {
			var all sync.WaitGroup
			all.Go(func() { caller.Burst(ctx, 200, entry.EntryURL(), slow) })
			f.waitCallInProgress(ctx, deposits...)
			f.terminateNodes(ctx, deposits...)
			all.Wait()
		}},
		{"no_upstream", 503, "not_run", true, func(ctx context.Context, f *faultInjector) {
			f.terminateNodes(ctx, deposits...)
			do(get)(ctx, f)
		}},
		{"not_ready", 503, "not_run", true, func(ctx context.Context, f *faultInjector) {
			f.setPlatformFaults(`{"down": true}`)
			f.kill(entry.NodeProcess())
			if err := entry.NodeProcess().Start(); err != nil {
				f.t.Fatal(err)
			}
			f.undo = f.undo[:len(f.undo)-1]
			if err := f.m.WaitHealthy(ctx); err != nil {
				f.t.Fatal(err)
			}
			do(get)(ctx, f)
		}},
	} {
		t.Run(c.reason, func(t *testing.T) {
			ctx := testContext(t)
			f := newFaultInjector(t, m)
			before := len(caller.Records())
			c.provoke(ctx, f)
			c.checkRefusals(t, caller.Records()[before:])
			f.heal(ctx)
		})
	}
	checkHistories(t, m, caller.Records())
}

// checkRefusals checks that the records contain refusals with the reason, and that these are as wanted.
func (c refusalCase) checkRefusals(t *testing.T, records []baobabemulator.CallerRecord) {
	t.Helper()
	seen := map[string]int{}
	wrong := map[string]int{}
	for _, r := range records {
		seen[r.Refusal]++
		if r.Refusal != c.reason {
			continue
		}
		if r.Status != c.status || c.outcome != "" && r.Outcome != c.outcome || (r.RetryAfter != "") != c.wantRetryAfter {
			wrong[fmt.Sprintf("status %d, outcome %q, Retry-After %q", r.Status, r.Outcome, r.RetryAfter)]++
		}
	}
	if len(wrong) > 0 {
		t.Errorf("%s: %v; want status %d, outcome %q, Retry-After set: %v", c.reason, wrong, c.status, c.outcome, c.wantRetryAfter)
	}
	if seen[c.reason] == 0 {
		first := slices.IndexFunc(records, func(r baobabemulator.CallerRecord) bool { return r.Refusal != "" || r.Err != nil })
		t.Errorf("no refusal with reason %s among %v; first refusal or error at index %d", c.reason, seen, first)
	}
}
