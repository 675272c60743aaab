package baobabproof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// TestCrashingRequest guards against a request that crashes one upstream after another while its caller repeats it
// through different nodes, and against effects on other requests.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	const (
		quarantineAfter = 2 // Same value as in the example configuration.
		sends           = 40
	)
	m := startMesh(t, "booking")
	ctx := testContext(t)
	caller, ordinary := baobabemulator.NewCaller("crash"), baobabemulator.NewCaller("ordinary")
	defer caller.Close()
	defer ordinary.Close()
	f := newFaultInjector(t, m)
	load := baobabemulator.StartLoad(ctx, 3, 5*time.Millisecond, func(ctx context.Context, serial int64) {
		entry := m.Nodes()[serial%int64(len(m.Nodes()))]
		ordinary.Do(ctx, entry.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits"})
	})
	defer load.Stop()
	crash := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits", Query: "crash=1&delay_ms=20", Content: "crash"}
	restarted := 0
	for i := range sends {
		caller.Do(ctx, m.Nodes()[i%len(m.Nodes())].EntryURL(), crash)
		f.waitRequestsSent(ctx, load, 5)
		restarted += f.restartStoppedUpstreams()
	}
	// An equal request of another caller is refused like the crashing one.
	equal := caller.Do(ctx, m.Nodes()[0].EntryURL(), crash)
	if equal.Refusal != "quarantined" || equal.Status != http.StatusServiceUnavailable || equal.Outcome != "not_run" || equal.RetryAfter == "" {
		t.Errorf("equal request: status %d, outcome %q, refusal %q, Retry-After %q; want 503 not_run quarantined with a time",
			equal.Status, equal.Outcome, equal.Refusal, equal.RetryAfter)
	}
	before := len(ordinary.Records())
	f.waitRequestsSent(ctx, load, 50)
	load.Stop()
	f.restartStoppedUpstreams()
	runs, err := m.Runs()
	if err != nil {
		t.Fatal(err)
	}
	crashed := 0
	for _, r := range runs {
		if strings.Contains(r.Path, "crash=1") {
			crashed++
		}
	}
	if crashed > quarantineAfter {
		for _, r := range caller.Records() {
			t.Logf("send: %+v", r)
		}
		for _, r := range runs {
			if strings.Contains(r.Path, "crash=1") {
				t.Logf("run: %+v", r)
			}
		}
		t.Errorf("the request ran on %d upstreams in %d sends, want at most %d", crashed, sends, quarantineAfter)
	}
	seen := map[string]int{}
	for _, r := range ordinary.Records() {
		seen[resultSummary(r)]++
	}
	if seen["quarantined not_run"] > 0 {
		t.Errorf("other requests were quarantined: %v", seen)
	}
	after := map[string]int{}
	for _, r := range ordinary.Records()[before:] {
		after[resultSummary(r)]++
	}
	if after["answered"] == 0 {
		t.Errorf("ordinary requests after the quarantine: %v, want answers", after)
	}
	t.Logf("%d sends crashed %d upstreams, %d restarted; ordinary requests: %v, after the quarantine: %v", sends, crashed, restarted, seen, after)
	checkHistories(t, m, append(caller.Records(), ordinary.Records()...))
}

// TestPlatformDown guards against calls that need no claim but still depend on the platform, and against keyed calls
// that report a wrong outcome or do not recover, when the platform is slow or down for a long time.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	ctx := testContext(t)
	f := newFaultInjector(t, m)
	phase := func(name string) (plain, keyed []baobabemulator.CallerRecord) {
		reads, writes := baobabemulator.NewCaller(name+"-plain"), baobabemulator.NewCaller(name+"-keyed")
		defer reads.Close()
		defer writes.Close()
		next := func(c *baobabemulator.Caller, r baobabemulator.CallerRequest) baobabemulator.SendFunc {
			return func(ctx context.Context, serial int64) {
				if r.Method == http.MethodPost {
					r := r
					r.Key, r.Caller = fmt.Sprint(name, serial), "club"
					c.Do(ctx, m.Nodes()[serial%int64(len(m.Nodes()))].EntryURL(), r)
					return
				}
				c.Do(ctx, m.Nodes()[serial%int64(len(m.Nodes()))].EntryURL(), r)
			}
		}
		readLoad := baobabemulator.StartLoad(ctx, 2, 5*time.Millisecond, next(reads, baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits"}))
		writeLoad := baobabemulator.StartLoad(ctx, 2, 5*time.Millisecond, next(writes, baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits"}))
		defer readLoad.Stop()
		defer writeLoad.Stop()
		f.waitRequestsSent(ctx, readLoad, 200)
		f.waitRequestsSent(ctx, writeLoad, 8)
		readLoad.Stop()
		writeLoad.Stop()
		checkHistories(t, m, append(reads.Records(), writes.Records()...))
		return reads.Records(), writes.Records()
	}
	before, _ := phase("before")
	for fault, fields := range map[string]string{"down": `{"down": true}`, "slow": `{"down": false, "delay": "3s"}`} {
		f.setPlatformFaults(fields)
		plain, keyed := phase(fault)
		for _, r := range plain {
			if !r.Answered() {
				t.Errorf("platform %s: a call without a key: %s", fault, resultSummary(r))
			}
		}
		wrong := map[string]int{}
		for _, r := range keyed {
			if r.Refusal != "store_unavailable" || r.Outcome != "not_run" || r.RetryAfter == "" {
				wrong[resultSummary(r)+", Retry-After "+r.RetryAfter]++
			}
		}
		if len(wrong) > 0 {
			t.Errorf("platform %s: keyed calls: %v; want store_unavailable not_run with a time", fault, wrong)
		}
		// A call that waits for the platform takes at least 1 s.
		if medianLatency(plain) > 10*medianLatency(before)+100*time.Millisecond {
			t.Errorf("platform %s: median latency without a key %v, before %v", fault, medianLatency(plain), medianLatency(before))
		}
		t.Logf("platform %s: median latency without a key %v, before %v; %d keyed calls refused", fault, medianLatency(plain), medianLatency(before), len(keyed))
	}
	f.heal(ctx)
	caller := baobabemulator.NewCaller("recovered")
	defer caller.Close()
	r := baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits", Key: "recovered", Caller: "club"}
	if last := caller.DoUntilAnswered(ctx, baobabemulator.EntryURLs(m.Nodes()...), r, 20*time.Millisecond); !last.Answered() {
		t.Errorf("a keyed call after the outage: %s", resultSummary(last))
	}
}

func medianLatency(records []baobabemulator.CallerRecord) time.Duration {
	latencies := make([]time.Duration, len(records))
	for i, r := range records {
		latencies[i] = r.Latency()
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// TestCallsUnderTwoFailures guards against violations that appear only under two failures at once. Each round draws two
// failures from the seed and injects both under a steady mixed load whose keyed requests are repeated through other
// nodes.
func TestCallsUnderTwoFailures(t *testing.T) {
	t.Parallel()
	const (
		rounds = 5
		calls  = 60 // Requests sent under each pair of failures.
	)
	m := startMesh(t, "booking")
	ctx, cancel := context.WithTimeout(t.Context(), 2*testTimeout)
	defer cancel()
	seed := newSeed(t)
	random := rand.New(rand.NewPCG(seed, seed))
	caller := baobabemulator.NewCaller("two")
	defer caller.Close()
	load := baobabemulator.StartLoad(ctx, 8, 5*time.Millisecond, func(ctx context.Context, serial int64) {
		r := steadyRequest("deposits", serial)
		if serial%2 == 0 {
			r = steadyRequest("deposits", 2) // Half of the requests have a key.
			r.Key = fmt.Sprint("two-", serial)
		}
		r.Timeout = 500 * time.Millisecond
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if r.Key == "" {
			caller.Do(callCtx, m.Nodes()[serial%int64(len(m.Nodes()))].EntryURL(), r)
			return
		}
		entries := baobabemulator.EntryURLs(m.Nodes()...)
		caller.DoUntilAnswered(callCtx, append(entries[serial%13:], entries[:serial%13]...), r, 50*time.Millisecond)
	})
	defer load.Stop()
	f := newFaultInjector(t, m)
	for range rounds {
		target := m.NodesOfService("deposits")[random.IntN(3)]
		other := m.Nodes()[random.IntN(len(m.Nodes()))]
		failures := []struct {
			name   string
			inject func()
		}{
			{"node killed", func() { f.kill(target.NodeProcess()) }},
			{"upstream killed", func() { f.kill(target.UpstreamProcess()) }},
			{"node paused", func() { f.pause(target.NodeProcess()) }},
			{"other node paused", func() { f.pause(other.NodeProcess()) }},
			{"failure domain cut off", func() { f.cutDomain(1 + random.IntN(3)) }},
			{"platform down", func() { f.setPlatformFaults(`{"down": true}`) }},
			{"platform slow", func() { f.setPlatformFaults(`{"delay": "400ms"}`) }},
			{"writes lost", func() { f.setPlatformFaults(`{"lose_writes": 5}`) }},
			{"replies lost", func() { f.injectLinkFault(target, func(n *baobabemulator.MeshNode) { n.PeerProxy().DropReplies() }) }},
			{"half open", func() { f.injectLinkFault(target, func(n *baobabemulator.MeshNode) { n.PeerProxy().HalfOpen() }) }},
		}
		random.Shuffle(len(failures), func(i, j int) { failures[i], failures[j] = failures[j], failures[i] })
		failures[0].inject()
		failures[1].inject()
		f.waitRequestsSent(ctx, load, calls)
		f.heal(ctx)
		f.waitRequestsSent(ctx, load, calls/4)
		t.Logf("%s and %s at %s", failures[0].name, failures[1].name, target.ID())
	}
	load.Stop()
	seen := map[string]int{}
	for _, r := range caller.Records() {
		seen[resultSummary(r)]++
	}
	t.Logf("seed %d: %v", seed, seen)
	checkHistories(t, m, caller.Records())
	f.waitIdle(ctx)
}
