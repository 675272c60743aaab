package baobabproof

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// A faultInjector injects failures into a mesh and reverts them.
type faultInjector struct {
	t    *testing.T
	m    *baobabemulator.Mesh
	undo []func(context.Context) error // Reverts the active failures, in order of injection.
}

// newFaultInjector returns an injector whose remaining failures are reverted at the end of the test.
func newFaultInjector(t *testing.T, m *baobabemulator.Mesh) *faultInjector {
	f := &faultInjector{t: t, m: m}
	t.Cleanup(func() {
		for _, revert := range f.undo {
			_ = revert(context.Background())
		}
	})
	return f
}

// kill kills processes until heal restarts them.
func (f *faultInjector) kill(list ...*baobabemulator.Process) {
	for _, p := range list {
		p.Kill()
		f.undo = append(f.undo, func(context.Context) error { return p.Start() })
	}
}

// pause suspends processes until heal resumes them.
func (f *faultInjector) pause(list ...*baobabemulator.Process) {
	for _, p := range list {
		p.Pause()
		f.undo = append(f.undo, func(context.Context) error { p.Resume(); return nil })
	}
}

// cutDomain cuts off a failure domain until heal.
func (f *faultInjector) cutDomain(domain int) {
	f.m.Partition(domain)
	f.undo = append(f.undo, func(context.Context) error { f.m.Heal(domain); return nil })
}

// injectLinkFault injects a failure of the links to a node until heal.
func (f *faultInjector) injectLinkFault(n *baobabemulator.MeshNode, inject func(*baobabemulator.MeshNode)) {
	inject(n)
	f.undo = append(f.undo, func(context.Context) error { n.PeerProxy().Heal(); return nil })
}

// setPlatformFaults sets fault fields of the platform, given as JSON. Heal resets down, delay, lose_writes,
// refuse_writes and refuse_reads.
func (f *faultInjector) setPlatformFaults(fields string) {
	f.t.Helper()
	if err := f.m.SetPlatformFaults(f.t.Context(), fields); err != nil {
		f.t.Fatal(err)
	}
	f.undo = append(f.undo, func(ctx context.Context) error {
		return f.m.SetPlatformFaults(ctx, `{"down": false, "delay": "", "lose_writes": 0, "refuse_writes": 0, "refuse_reads": 0}`)
	})
}

// setBehaviour changes behaviour fields of the upstreams of some nodes, given as JSON, until heal applies
// the reverted fields.
func (f *faultInjector) setBehaviour(fields, reverted string, nodes ...*baobabemulator.MeshNode) {
	f.t.Helper()
	for _, n := range nodes {
		if err := n.SetBehaviour(f.t.Context(), fields); err != nil {
			f.t.Fatal(err)
		}
		f.undo = append(f.undo, func(ctx context.Context) error { return n.SetBehaviour(ctx, reverted) })
	}
}

// terminateNodes stops nodes gracefully, all at the same time, and checks that they exit without an error. Heal
// restarts them.
func (f *faultInjector) terminateNodes(ctx context.Context, nodes ...*baobabemulator.MeshNode) {
	f.t.Helper()
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(func() {
			if err := n.NodeProcess().Terminate(ctx); err != nil {
				f.t.Errorf("planned stop of %s: %v", n.ID(), err)
			}
		})
		f.undo = append(f.undo, func(context.Context) error { return n.NodeProcess().Start() })
	}
	all.Wait()
}

// waitCallInProgress waits until the upstream of at least one of the nodes has a call in progress.
func (f *faultInjector) waitCallInProgress(ctx context.Context, nodes ...*baobabemulator.MeshNode) {
	f.t.Helper()
	f.waitUntil(ctx, "calls in progress", func() bool {
		return slices.ContainsFunc(nodes, func(n *baobabemulator.MeshNode) bool {
			runs, err := n.Runs()
			return err == nil && slices.ContainsFunc(runs, func(r baobabemulator.UpstreamRun) bool { return r.EndNs == 0 })
		})
	})
}

// waitNextCall waits until the upstream of a node starts another call.
func (f *faultInjector) waitNextCall(ctx context.Context, n *baobabemulator.MeshNode) {
	f.t.Helper()
	before := -1
	f.waitUntil(ctx, "calls for "+n.UpstreamID(), func() bool {
		runs, err := n.Runs()
		if err != nil {
			return false
		}
		if before < 0 {
			before = len(runs)
		}
		return len(runs) > before
	})
}

// waitUntil polls a condition until it holds, and fails the test if ctx ends first.
func (f *faultInjector) waitUntil(ctx context.Context, what string, condition func() bool) {
	f.t.Helper()
	for !condition() {
		select {
		case <-ctx.Done():
			f.t.Fatalf("%s: %v", what, ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// restartStoppedUpstreams starts the upstreams that are not running and returns their number.
func (f *faultInjector) restartStoppedUpstreams() int {
	f.t.Helper()
	count := 0
	for _, n := range f.m.Nodes() {
		if n.UpstreamProcess().Running() {
			continue
		}
		count++
		if err := n.UpstreamProcess().Start(); err != nil {
			f.t.Fatal(err)
		}
	}
	return count
}

// heal reverts all failures, then waits until all nodes are ready and the availability nodes know every member.
func (f *faultInjector) heal(ctx context.Context) {
	f.t.Helper()
	for _, revert := range f.undo {
		if err := revert(ctx); err != nil {
			f.t.Fatal(err)
		}
	}
	f.undo = nil
	if err := f.m.WaitReady(ctx); err != nil {
		f.t.Fatal(err)
	}
	for _, n := range f.m.NodesOfService("availability") {
		if err := f.m.WaitMembers(ctx, n, len(f.m.Nodes())); err != nil {
			f.t.Fatal(err)
		}
	}
}
