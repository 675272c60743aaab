package baobabproof

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// A resendCase is a failure while a caller sends one keyed request again and again through different nodes.
type resendCase struct {
	name   string
	query  string
	before func(f *faults)                              // Injects the failure before the first send.
	during func(f *faults, at *baobabemulator.MeshNode) // Injects it while the upstream of a node runs the request.
	after  func(f *faults, at *baobabemulator.MeshNode) // Injects it right after the first answer.
	answer bool                                         // The caller must get the answer in the end.
}

// TestAtMostOnce guards against a second run of a keyed request that its caller sends again through other nodes
// while processes, links or the platform fail, and against an answer that does not tell the truth about it.
func TestAtMostOnce(t *testing.T) {
	t.Parallel()
	m := startMesh(t, "booking")
	caller := baobabemulator.NewCaller("once")
	defer caller.Close()
	const slow = "delay_ms=600"
	for _, c := range []resendCase{
		{name: "nodes-killed-before", answer: true, before: func(f *faults) {
			f.kill(m.NodesOfService("deposits")[0].NodeProcess(), m.NodesOfService("deposits")[1].NodeProcess())
		}},
		{name: "upstreams-killed-before", answer: true, before: func(f *faults) {
			f.kill(m.NodesOfService("deposits")[0].UpstreamProcess(), m.NodesOfService("deposits")[1].UpstreamProcess())
		}},
		{name: "node-killed-during", query: slow, during: func(f *faults, at *baobabemulator.MeshNode) { f.kill(at.NodeProcess()) }},
		{name: "upstream-killed-during", query: slow, during: func(f *faults, at *baobabemulator.MeshNode) { f.kill(at.UpstreamProcess()) }},
		{name: "node-killed-after", after: func(f *faults, at *baobabemulator.MeshNode) { f.kill(at.NodeProcess()) }},
		{name: "upstream-killed-after", answer: true, after: func(f *faults, at *baobabemulator.MeshNode) { f.kill(at.UpstreamProcess()) }},
		{name: "one-write-lost", answer: true, before: func(f *faults) { f.platform(`{"lose_writes": 1}`) }},
		{name: "four-writes-lost", answer: true, before: func(f *faults) { f.platform(`{"lose_writes": 4}`) }},
		{name: "platform-slow", answer: true, before: func(f *faults) { f.platform(`{"delay": "700ms"}`) }},
		{name: "platform-down-during", answer: true, query: slow, during: func(f *faults, _ *baobabemulator.MeshNode) {
			f.platform(`{"down": true}`)
		}},
		{name: "holder-paused", query: slow, answer: true, during: func(f *faults, at *baobabemulator.MeshNode) { f.pause(at.NodeProcess()) }},
		{name: "holder-and-upstream-paused", query: slow, during: func(f *faults, at *baobabemulator.MeshNode) {
			f.pause(at.NodeProcess(), at.UpstreamProcess())
		}},
		{name: "holder-cut-off", query: slow, answer: true, during: func(f *faults, at *baobabemulator.MeshNode) { f.cut(at.DomainNumber()) }},
	} {
		t.Run(c.name, func(t *testing.T) { resend(t, m, caller, c) })
	}
	t.Run("same-moment", func(t *testing.T) { sameMoment(t, m, caller) })
	checkHistories(t, m, caller.Records())
}

// resend sends a request, injects the failure, and sends the request again until the failure has ended and beyond.
func resend(t *testing.T, m *baobabemulator.Mesh, caller *baobabemulator.Caller, c resendCase) {
	ctx := timeout(t)
	f := newFaults(t, m)
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
		at, err := m.WaitRun(ctx, r.Content)
		if err != nil {
			t.Fatal(err)
		}
		c.during(f, at)
	}
	if c.after != nil {
		first.Wait()
		at, err := m.WaitRun(ctx, r.Content)
		if err != nil {
			t.Fatal(err)
		}
		c.after(f, at)
	}
	caller.DoUntilAnswered(bounded(t, 2500*time.Millisecond), baobabemulator.EntryURLs(entries[1:]...), r, 50*time.Millisecond)
	first.Wait()
	f.heal(ctx)
	bound := 2 * time.Second
	if c.answer {
		bound = testTimeout
	}
	last := caller.DoUntilAnswered(bounded(t, bound), baobabemulator.EntryURLs(entries...), r, 50*time.Millisecond)
	if c.answer && !last.Answered() {
		t.Errorf("last answer: status %d, outcome %q, refusal %q, err %v; want the answer", last.Status, last.Outcome, last.Refusal, last.Err)
	}
	if !last.Answered() && last.Outcome != "unknown" {
		t.Errorf("last answer: status %d, outcome %q, refusal %q, err %v; want the answer or unknown", last.Status, last.Outcome, last.Refusal, last.Err)
	}
}

// sameMoment sends one request through all nodes at once, another request under its key, and the same key of another
// caller.
func sameMoment(t *testing.T, m *baobabemulator.Mesh, caller *baobabemulator.Caller) {
	ctx := timeout(t)
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
		t.Errorf("the key of another caller: status %d, refusal %q; want the answer", got.Status, got.Refusal)
	}
}

// bounded returns a context for a part of a test.
func bounded(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}
