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

// A refusalCase provokes refusals of one reason.
type refusalCase struct {
	reason  string
	status  int
	outcome string                               // Empty: both not_run and unknown are true.
	waits   bool                                 // Whether Retry-After must be set.
	provoke func(ctx context.Context, f *faults) // Sends requests of which one at least is refused for the reason.
}

// TestRefusals guards against a refusal as not run of a request that an upstream ran, and against a refusal without
// the status, outcome and Retry-After that its caller acts on. Each reason is provoked.
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
	do := func(r baobabemulator.CallerRequest) func(context.Context, *faults) {
		return func(ctx context.Context, _ *faults) { caller.Do(ctx, entry.EntryURL(), r) }
	}
	slow := with(get, func(r *baobabemulator.CallerRequest) { r.Query = "delay_ms=300" })
	// The wait that this rank allows is long enough for a queue to reach its limit.
	deferrable := with(get, func(r *baobabemulator.CallerRequest) { r.Path, r.Query = "/session-records", "delay_ms=100" })
	// busy keeps all deposits upstreams busy and sends further requests.
	busy := func(n int, further baobabemulator.CallerRequest) func(context.Context, *faults) {
		return func(ctx context.Context, _ *faults) {
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
		{"key_reused", 422, "not_run", false, func(ctx context.Context, f *faults) {
			do(post("reused"))(ctx, f)
			do(post("reused"))(ctx, f)
		}},
		{"in_progress", 409, "unknown", true, func(ctx context.Context, _ *faults) {
			caller.Burst(ctx, 2, entry.EntryURL(), with(post("progress"), func(r *baobabemulator.CallerRequest) {
				r.Content, r.Query = "progress", "delay_ms=300"
			}))
		}},
		{"store_unavailable", 503, "not_run", true, func(ctx context.Context, f *faults) {
			f.platform(`{"down": true}`)
			do(post("no-store"))(ctx, f)
		}},
		{"upstream_shed", 503, "not_run", true, func(ctx context.Context, f *faults) {
			f.behaviour(`{"shed": true}`, `{"shed": false}`, deposits...)
			do(get)(ctx, f)
			do(post("shed"))(ctx, f)
		}},
		{"peer_unreachable", 503, "not_run", true, func(ctx context.Context, f *faults) {
			for _, n := range deposits {
				n.PeerProxy().Disconnect()
			}
			do(get)(ctx, f)
			do(post("cut"))(ctx, f)
			for _, n := range deposits {
				n.PeerProxy().Heal()
			}
		}},
		{"answer_lost", 502, "unknown", false, func(ctx context.Context, f *faults) {
			var first sync.WaitGroup
			first.Go(func() {
				do(with(post("lost"), func(r *baobabemulator.CallerRequest) { r.Content, r.Query = "lost", "delay_ms=400" }))(ctx, f)
			})
			if at, err := f.m.WaitRun(ctx, "lost"); err == nil {
				at.PeerProxy().Disconnect()
				first.Wait()
				at.PeerProxy().Heal()
			}
		}},
		// The endpoint in the entry's failure domain, which is tried first, loses the answer. The others shed the call.
		{"answer_lost", 502, "unknown", false, func(ctx context.Context, f *faults) {
			f.behaviour(`{"shed": true}`, `{"shed": false}`, deposits[:2]...)
			// These calls fill the retry budget, without which the others are not tried.
			for range 50 {
				caller.DoUntilAnswered(ctx, []string{entry.EntryURL()}, get, 50*time.Millisecond)
			}
			var first sync.WaitGroup
			first.Go(func() {
				do(with(get, func(r *baobabemulator.CallerRequest) { r.Content, r.Query = "lost-and-shed", "delay_ms=400" }))(ctx, f)
			})
			if at, err := f.m.WaitRun(ctx, "lost-and-shed"); err == nil {
				at.PeerProxy().Disconnect()
				first.Wait()
				at.PeerProxy().Heal()
			}
		}},
		{"upstream_failed", 502, "unknown", false, func(ctx context.Context, f *faults) {
			do(with(get, func(r *baobabemulator.CallerRequest) { r.Query = "crash=1&delay_ms=50" }))(ctx, f)
			f.wait(ctx, "end of the crashed upstream", func() bool { return f.restartUpstreams() > 0 })
		}},
		// All upstreams of the service have crashed, and their nodes have not missed a heartbeat yet.
		{"upstream_unavailable", 503, "not_run", true, func(ctx context.Context, f *faults) {
			for i := range 2 * len(deposits) {
				do(with(get, func(r *baobabemulator.CallerRequest) { r.Query = fmt.Sprintf("crash=1&delay_ms=10&n=%d", i) }))(ctx, f)
			}
			do(get)(ctx, f)
			do(post("unavailable"))(ctx, f)
			crashed := 0
			f.wait(ctx, "end of the crashed upstreams", func() bool {
				crashed += f.restartUpstreams()
				return crashed >= len(deposits)
			})
		}},
		{"deadline_passed", 504, "", false, do(with(slow, func(r *baobabemulator.CallerRequest) { r.Timeout = 100 * time.Millisecond }))},
		{"deadline_unmeetable", 504, "not_run", true, busy(150, with(get, func(r *baobabemulator.CallerRequest) { r.Timeout = 30 * time.Millisecond }))},
		{"queue_full", 429, "not_run", true, func(ctx context.Context, _ *faults) { caller.Burst(ctx, 1000, entry.EntryURL(), deferrable) }},
		{"caller_share", 429, "not_run", true, func(ctx context.Context, _ *faults) {
			var all sync.WaitGroup
			for name, n := range map[string]int{"greedy": 800, "modest": 200} {
				r := with(deferrable, func(r *baobabemulator.CallerRequest) { r.Caller = name })
				all.Go(func() { caller.Burst(ctx, n, entry.EntryURL(), r) })
			}
			all.Wait()
		}},
		{"draining", 503, "not_run", true, func(ctx context.Context, f *faults) {
			var all sync.WaitGroup
			all.Go(func() { caller.Burst(ctx, 200, entry.EntryURL(), slow) })
			f.waitLoaded(ctx, deposits...)
			f.terminate(ctx, deposits...)
			all.Wait()
		}},
		{"no_upstream", 503, "not_run", true, func(ctx context.Context, f *faults) {
			f.terminate(ctx, deposits...)
			do(get)(ctx, f)
		}},
		{"not_ready", 503, "not_run", true, func(ctx context.Context, f *faults) {
			f.platform(`{"down": true}`)
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
			ctx := timeout(t)
			f := newFaults(t, m)
			before := len(caller.Records())
			c.provoke(ctx, f)
			c.check(t, caller.Records()[before:])
			f.heal(ctx)
		})
	}
	checkHistories(t, m, caller.Records())
}

// check looks at the refusals among the records.
func (c refusalCase) check(t *testing.T, records []baobabemulator.CallerRecord) {
	t.Helper()
	seen := map[string]int{}
	wrong := map[string]int{}
	for _, r := range records {
		seen[r.Refusal]++
		if r.Refusal != c.reason {
			continue
		}
		if r.Status != c.status || c.outcome != "" && r.Outcome != c.outcome || (r.RetryAfter != "") != c.waits {
			wrong[fmt.Sprintf("status %d, outcome %q, Retry-After %q", r.Status, r.Outcome, r.RetryAfter)]++
		}
	}
	if len(wrong) > 0 {
		t.Errorf("%s: %v; want status %d, outcome %q, Retry-After set: %v", c.reason, wrong, c.status, c.outcome, c.waits)
	}
	if seen[c.reason] == 0 {
		first := slices.IndexFunc(records, func(r baobabemulator.CallerRecord) bool { return r.Refusal != "" || r.Err != nil })
		t.Errorf("no refusal for %s among %v; first at %d", c.reason, seen, first)
	}
}
