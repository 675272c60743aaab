package baobabproof

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// faults injects failures into a mesh and takes them back.
type faults struct {
	t    *testing.T
	m    *baobabemulator.Mesh
	undo []func(context.Context) error
}

// newFaults returns an injector whose failures end with the test at the latest.
func newFaults(t *testing.T, m *baobabemulator.Mesh) *faults {
	f := &faults{t: t, m: m}
	t.Cleanup(func() {
		for _, u := range f.undo {
			_ = u(context.Background())
		}
	})
	return f
}

// kill kills processes, which heal starts again.
func (f *faults) kill(list ...*baobabemulator.Process) {
	for _, p := range list {
		p.Kill()
		f.undo = append(f.undo, func(context.Context) error { return p.Start() })
	}
}

// pause stops processes, which heal continues.
func (f *faults) pause(list ...*baobabemulator.Process) {
	for _, p := range list {
		p.Pause()
		f.undo = append(f.undo, func(context.Context) error { p.Resume(); return nil })
	}
}

// cut cuts a failure domain off.
func (f *faults) cut(domain int) {
	f.m.Partition(domain)
	f.undo = append(f.undo, func(context.Context) error { f.m.Heal(domain); return nil })
}

// path injects a failure of the links to a node.
func (f *faults) path(n *baobabemulator.MeshNode, inject func(*baobabemulator.MeshNode)) {
	inject(n)
	f.undo = append(f.undo, func(context.Context) error { n.PeerProxy().Heal(); return nil })
}

// platform sets faults of the platform.
func (f *faults) platform(fields string) {
	f.t.Helper()
	if err := f.m.SetPlatformFaults(f.t.Context(), fields); err != nil {
		f.t.Fatal(err)
	}
	f.undo = append(f.undo, func(ctx context.Context) error {
		return f.m.SetPlatformFaults(ctx, `{"down": false, "delay": "", "lose_writes": 0, "refuse_writes": 0, "refuse_reads": 0}`)
	})
}

// behaviour changes the upstreams of some nodes, until heal.
func (f *faults) behaviour(fields, back string, nodes ...*baobabemulator.MeshNode) {
	f.t.Helper()
	for _, n := range nodes {
		if err := n.SetBehaviour(f.t.Context(), fields); err != nil {
			f.t.Fatal(err)
		}
		f.undo = append(f.undo, func(ctx context.Context) error { return n.SetBehaviour(ctx, back) })
	}
}

// terminate stops nodes as planned, all at the same time, and checks that they end without an error. Heal starts
// them again.
func (f *faults) terminate(ctx context.Context, nodes ...*baobabemulator.MeshNode) {
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

// waitLoaded waits until the upstream of one of the nodes has a call in progress.
func (f *faults) waitLoaded(ctx context.Context, nodes ...*baobabemulator.MeshNode) {
	f.t.Helper()
	f.wait(ctx, "calls in progress", func() bool {
		return slices.ContainsFunc(nodes, func(n *baobabemulator.MeshNode) bool {
			runs, err := n.Runs()
			return err == nil && slices.ContainsFunc(runs, func(r baobabemulator.UpstreamRun) bool { return r.EndNs == 0 })
		})
	})
}

// waitServing waits until the upstream of a node starts another call.
func (f *faults) waitServing(ctx context.Context, n *baobabemulator.MeshNode) {
	f.t.Helper()
	before := -1
	f.wait(ctx, "calls for "+n.UpstreamID(), func() bool {
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

// wait waits until a condition holds.
func (f *faults) wait(ctx context.Context, what string, holds func() bool) {
	f.t.Helper()
	for !holds() {
		select {
		case <-ctx.Done():
			f.t.Fatalf("%s: %v", what, ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// restartUpstreams starts the upstreams that have ended. It returns how many those were.
func (f *faults) restartUpstreams() int {
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

// heal ends all failures and waits until all nodes see each other as ready.
func (f *faults) heal(ctx context.Context) {
	f.t.Helper()
	for _, u := range f.undo {
		if err := u(ctx); err != nil {
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
