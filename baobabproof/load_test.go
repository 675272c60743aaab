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

// TestCrashingRequest guards against a request that takes down one upstream after the other while its caller sends it
// again through different nodes, and against harm to other requests.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	const (
		quarantineAfter = 2 // In the example configuration.
		sends           = 40
	)
	m := startMesh(t, "booking")
	ctx := timeout(t)
	caller, ordinary := baobabemulator.NewCaller("crash"), baobabemulator.NewCaller("ordinary")
	defer caller.Close()
	defer ordinary.Close()
	f := newFaults(t, m)
	load := baobabemulator.StartLoad(ctx, 3, 5*time.Millisecond, func(ctx context.Context, serial int64) {
		entry := m.Nodes()[serial%int64(len(m.Nodes()))]
		ordinary.Do(ctx, entry.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits"})
	})
	defer load.Stop()
	crash := baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits", Query: "crash=1&delay_ms=20", Content: "crash"}
	restarted := 0
	for i := range sends {
		caller.Do(ctx, m.Nodes()[i%len(m.Nodes())].EntryURL(), crash)
		f.waitSent(ctx, load, 5)
		restarted += f.restartUpstreams()
	}
	// An equal request of another caller is refused like the crashing one.
	innocent := caller.Do(ctx, m.Nodes()[0].EntryURL(), crash)
	if innocent.Refusal != "quarantined" || innocent.Status != http.StatusServiceUnavailable || innocent.Outcome != "not_run" || innocent.RetryAfter == "" {
		t.Errorf("equal request: status %d, outcome %q, refusal %q, Retry-After %q; want 503 not_run quarantined with a time",
			innocent.Status, innocent.Outcome, innocent.Refusal, innocent.RetryAfter)
	}
	before := len(ordinary.Records())
	f.waitSent(ctx, load, 50)
	load.Stop()
	f.restartUpstreams()
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
		seen[summary(r)]++
	}
	if seen["quarantined not_run"] > 0 {
		t.Errorf("other requests were quarantined: %v", seen)
	}
	after := map[string]int{}
	for _, r := range ordinary.Records()[before:] {
		after[summary(r)]++
	}
	if after["answered"] == 0 {
		t.Errorf("ordinary requests after the quarantine: %v, want answers", after)
	}
	t.Logf("%d sends crashed %d upstreams, %d restarted; ordinary requests: %v, after the quarantine: %v", sends, crashed, restarted, seen, after)
	checkHistories(t, m, append(caller.Records(), ordinary.Records()...))
}

// TestPlatformDown guards against calls that need no claim and yet depend on the platform, and against keyed calls
// that are refused untruthfully or do not recover, while the platform is slow or down for long.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	ctx := timeout(t)
	f := newFaults(t, m)
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
		first := baobabemulator.StartLoad(ctx, 2, 5*time.Millisecond, next(reads, baobabemulator.CallerRequest{Method: http.MethodGet, Path: "/deposits"}))
		second := baobabemulator.StartLoad(ctx, 2, 5*time.Millisecond, next(writes, baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits"}))
		defer first.Stop()
		defer second.Stop()
		f.waitSent(ctx, first, 200)
		f.waitSent(ctx, second, 8)
		first.Stop()
		second.Stop()
		checkHistories(t, m, append(reads.Records(), writes.Records()...))
		return reads.Records(), writes.Records()
	}
	before, _ := phase("before")
	for fault, fields := range map[string]string{"down": `{"down": true}`, "slow": `{"down": false, "delay": "3s"}`} {
		f.platform(fields)
		plain, keyed := phase(fault)
		for _, r := range plain {
			if !r.Answered() {
				t.Errorf("platform %s: a call without a key: %s", fault, summary(r))
			}
		}
		wrong := map[string]int{}
		for _, r := range keyed {
			if r.Refusal != "store_unavailable" || r.Outcome != "not_run" || r.RetryAfter == "" {
				wrong[summary(r)+", Retry-After "+r.RetryAfter]++
			}
		}
		if len(wrong) > 0 {
			t.Errorf("platform %s: keyed calls: %v; want store_unavailable not_run with a time", fault, wrong)
		}
		// A call that waits for the platform takes a second at least.
		if median(plain) > 10*median(before)+100*time.Millisecond {
			t.Errorf("platform %s: median latency without a key %v, before %v", fault, median(plain), median(before))
		}
		t.Logf("platform %s: median latency without a key %v, before %v; %d keyed calls refused", fault, median(plain), median(before), len(keyed))
	}
	f.heal(ctx)
	caller := baobabemulator.NewCaller("recovered")
	defer caller.Close()
	r := baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits", Key: "recovered", Caller: "club"}
	if last := caller.DoUntilAnswered(ctx, baobabemulator.EntryURLs(m.Nodes()...), r, 20*time.Millisecond); !last.Answered() {
		t.Errorf("a keyed call after the outage: %s", summary(last))
	}
}

func median(records []baobabemulator.CallerRecord) time.Duration {
	latencies := make([]time.Duration, len(records))
	for i, r := range records {
		latencies[i] = r.Latency()
	}
	slices.Sort(latencies)
	return latencies[len(latencies)/2]
}

// TestCallsUnderTwoFailures guards against violations that no single failure shows: two failures drawn from a seed are
// in force at the same time under a steady mixed load whose keyed requests are sent again through other nodes.
func TestCallsUnderTwoFailures(t *testing.T) {
	t.Parallel()
	const (
		rounds = 5
		calls  = 60 // Under each pair of failures.
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
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		if r.Key == "" {
			caller.Do(short, m.Nodes()[serial%int64(len(m.Nodes()))].EntryURL(), r)
			return
		}
		entries := baobabemulator.EntryURLs(m.Nodes()...)
		caller.DoUntilAnswered(short, append(entries[serial%13:], entries[:serial%13]...), r, 50*time.Millisecond)
	})
	defer load.Stop()
	f := newFaults(t, m)
	for range rounds {
		at := m.NodesOfService("deposits")[random.IntN(3)]
		other := m.Nodes()[random.IntN(len(m.Nodes()))]
		list := []struct {
			name   string
			inject func()
		}{
			{"node killed", func() { f.kill(at.NodeProcess()) }},
			{"upstream killed", func() { f.kill(at.UpstreamProcess()) }},
			{"node paused", func() { f.pause(at.NodeProcess()) }},
			{"other node paused", func() { f.pause(other.NodeProcess()) }},
			{"failure domain cut off", func() { f.cut(1 + random.IntN(3)) }},
			{"platform down", func() { f.platform(`{"down": true}`) }},
			{"platform slow", func() { f.platform(`{"delay": "400ms"}`) }},
			{"writes lost", func() { f.platform(`{"lose_writes": 5}`) }},
			{"replies lost", func() { f.path(at, func(p *baobabemulator.MeshNode) { p.PeerProxy().DropReplies() }) }},
			{"half open", func() { f.path(at, func(p *baobabemulator.MeshNode) { p.PeerProxy().HalfOpen() }) }},
		}
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		list[0].inject()
		list[1].inject()
		f.waitSent(ctx, load, calls)
		f.heal(ctx)
		f.waitSent(ctx, load, calls/4)
		t.Logf("%s and %s at %s", list[0].name, list[1].name, at.ID())
	}
	load.Stop()
	seen := map[string]int{}
	for _, r := range caller.Records() {
		seen[summary(r)]++
	}
	t.Logf("seed %d: %v", seed, seen)
	checkHistories(t, m, caller.Records())
	f.waitIdle(ctx)
}
