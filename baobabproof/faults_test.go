package baobabproof

import (
	"context"
	"testing"

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
	f.m.Cut(domain)
	f.undo = append(f.undo, func(context.Context) error { f.m.Heal(domain); return nil })
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
	for _, n := range f.m.NodesOf("availability") {
		if err := f.m.WaitMembers(ctx, n, len(f.m.Nodes())); err != nil {
			f.t.Fatal(err)
		}
	}
}
