package baobabproof

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// A resendCase is a failure that occurs while a caller repeats one keyed request through different nodes.
type resendCase struct {
	name  string
	query string
	// before injects the failure before the request is first sent.
	before func(f *faultInjector)
	// during injects the failure while the upstream of the node runs the request.
	during func(f *faultInjector, node *baobabemulator.MeshNode)
	// after injects the failure right after the first answer, which came from the upstream of the node.
	after func(f *faultInjector, node *baobabemulator.MeshNode)
	// wantAnswer tells whether the caller must get the answer in the end.
	wantAnswer bool
}

// TestAtMostOnce guards against a second run of a keyed request that its caller repeats through other nodes while
// processes, links or the platform fail, and against an answer that reports a wrong outcome.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	caller := baobabemulator.NewCaller("once")
	defer caller.Close()
	const slow = "delay_ms=600"
	for _, c := range []resendCase{
		{name: "nodes-killed-before", wantAnswer: true, before: func(f *faultInjector) {
			f.kill(m.NodesOfService("deposits")[0].NodeProcess(), m.NodesOfService("deposits")[1].NodeProcess())
		}},
		{name: "upstreams-killed-before", wantAnswer: true, before: func(f *faultInjector) {
			f.kill(m.NodesOfService("deposits")[0].UpstreamProcess(), m.NodesOfService("deposits")[1].UpstreamProcess())
		}},
		{name: "node-killed-during", query: slow, during: func(f *faultInjector, node *baobabemulator.MeshNode) { f.kill(node.NodeProcess()) }},
		{name: "upstream-killed-during", query: slow, during: func(f *faultInjector, node *baobabemulator.MeshNode) { f.kill(node.UpstreamProcess()) }},
		{name: "node-killed-after", after: func(f *faultInjector, node *baobabemulator.MeshNode) { f.kill(node.NodeProcess()) }},
		{name: "upstream-killed-after", wantAnswer: true, after: func(f *faultInjector, node *baobabemulator.MeshNode) { f.kill(node.UpstreamProcess()) }},
		{name: "one-write-lost", wantAnswer: true, before: func(f *faultInjector) { f.setPlatformFaults(`{"lose_writes": 1}`) }},
		{name: "four-writes-lost", wantAnswer: true, before: func(f *faultInjector) { f.setPlatformFaults(`{"lose_writes": 4}`) }},
		{name: "platform-slow", wantAnswer: true, before: func(f *faultInjector) { f.setPlatformFaults(`{"delay": "700ms"}`) }},
		{name: "platform-down-during", wantAnswer: true, query: slow, during: func(f *faultInjector, _ *baobabemulator.MeshNode) {
			f.setPlatformFaults(`{"down": true}`)
		}},
		{name: "holder-paused", query: slow, wantAnswer: true, during: func(f *faultInjector, node *baobabemulator.MeshNode) { f.pause(node.NodeProcess()) }},
		{name: "holder-and-upstream-paused", query: slow, during: func(f *faultInjector, node *baobabemulator.MeshNode) {
			f.pause(node.NodeProcess(), node.UpstreamProcess())
		}},
		{name: "holder-cut-off", query: slow, wantAnswer: true, during: func(f *faultInjector, node *baobabemulator.MeshNode) { f.cutDomain(node.DomainNumber()) }},
	} {
		t.Run(c.name, func(t *testing.T) { runResendCase(t, m, caller, c) })
	}
	t.Run("same-moment", func(t *testing.T) { sendConcurrently(t, m, caller) })
	checkHistories(t, m, caller.Records())
}

// runResendCase sends a request, injects the failure, and repeats the request both during the failure and after it.
func runResendCase(t *testing.T, m *baobabemulator.Mesh, caller *baobabemulator.Caller, c resendCase) {
	ctx := testContext(t)
	f := newFaultInjector(t, m)
	r := baobabemulator.CallerRequest{
		Method: http.MethodPost, Path: "/deposits", Query: c.query, Key: c.name, Caller: "club", Content: c.name,
	}
	if c.before != nil {
		c.before(f)
	}
	entries := m.NodesOfService("availability")
	var first sync.WaitGroup
	first.Go(func() { caller.Do(ctx, entries[0].EntryURL(), r) })
	if c.during != nil {
		node, err := m.WaitRun(ctx, r.Content)
		if err != nil {
			t.Fatal(err)
		}
		c.during(f, node)
	}
	if c.after != nil {
		first.Wait()
		node, err := m.WaitRun(ctx, r.Content)
		if err != nil {
			t.Fatal(err)
		}
		c.after(f, node)
	}
	caller.DoUntilAnswered(contextWithTimeout(t, 2500*time.Millisecond), baobabemulator.EntryURLs(entries[1:]...), r, 50*time.Millisecond)
	first.Wait()
	f.heal(ctx)
	timeout := 2 * time.Second
	if c.wantAnswer {
		timeout = testTimeout
	}
	last := caller.DoUntilAnswered(contextWithTimeout(t, timeout), baobabemulator.EntryURLs(entries...), r, 50*time.Millisecond)
	if c.wantAnswer && !last.Answered() {
		t.Errorf("last answer: status %d, outcome %q, refusal %q, err %v; want the answer", last.Status, last.Outcome, last.Refusal, last.Err)
	}
	if !last.Answered() && last.Outcome != "unknown" {
		t.Errorf("last answer: status %d, outcome %q, refusal %q, err %v; want the answer or unknown", last.Status, last.Outcome, last.Refusal, last.Err)
	}
}

// sendConcurrently sends one request through all nodes at once, then another request with the same key, and then the
// same key from another caller.
func sendConcurrently(t *testing.T, m *baobabemulator.Mesh, caller *baobabemulator.Caller) {
	ctx := testContext(t)
	r := baobabemulator.CallerRequest{Method: http.MethodPost, Path: "/deposits", Query: "delay_ms=100", Key: "moment", Caller: "club", Content: "moment"}
	var all sync.WaitGroup
	for _, n := range m.Nodes() {
		all.Go(func() {
			if last := caller.DoUntilAnswered(ctx, []string{n.EntryURL()}, r, 20*time.Millisecond); !last.Answered() {
				t.Errorf("through %s: status %d, refusal %q; want the answer", n.ID(), last.Status, last.Refusal)
			}
		})
	}
	all.Wait()
	for _, n := range m.Nodes() {
		other := r
		other.Content = "other"
		if got := caller.Do(ctx, n.EntryURL(), other); got.Status != http.StatusUnprocessableEntity || got.Refusal != "key_reused" {
			t.Errorf("another request under the key through %s: status %d, refusal %q; want 422 key_reused", n.ID(), got.Status, got.Refusal)
		}
	}
	other := r
	other.Caller, other.Content = "team", "moment-of-team"
	if got := caller.Do(ctx, m.Nodes()[0].EntryURL(), other); !got.Answered() {
		t.Errorf("same key from another caller: status %d, refusal %q; want the answer", got.Status, got.Refusal)
	}
}

// contextWithTimeout returns a context for part of a test.
func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}
