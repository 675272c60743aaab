package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabdale/baobabdale/baobabemulator"
)

// meshStartTimeout bounds the start of a mesh, which may be hundreds of processes on a shared machine.
const meshStartTimeout = 3 * time.Minute

// A bench is the environment of an experiment: the built programs, the seed, the folder for results and the report.
type bench struct {
	seed           uint64
	keep           bool
	results        string
	folder         string // Temporary; holds programs, settings and logs.
	binaries       baobabemulator.Binaries
	baseline       *baobabemulator.Binaries // Programs of the revision to compare with; nil without --before.
	baselineModule string                   // Working tree of that revision; empty without --before.
	report         *report
	meshCount      int
}

func newBench(name, command string, a arguments) (*bench, error) {
	if err := os.MkdirAll(a.Results, 0o755); err != nil {
		return nil, errors.Wrap(err, "new bench")
	}
	folder, err := os.MkdirTemp("", "baobabbench-")
	if err != nil {
		return nil, errors.Wrap(err, "new bench")
	}
	return &bench{
		seed: a.Seed, keep: a.Keep, results: a.Results, folder: folder, report: newReport(name, command, a.Seed),
		baselineModule: a.Before,
	}, nil
}

// runExperiment builds the programs, runs the experiment and writes the report.
func (b *bench) runExperiment(ctx context.Context, e experiment) error {
	var err error
	if b.binaries, err = baobabemulator.BuildBinaries(b.folder); err != nil {
		return err
	}
	if b.baselineModule != "" {
		folder := filepath.Join(b.folder, "before")
		if err := os.MkdirAll(folder, 0o755); err != nil {
			return errors.Wrap(err, "build programs")
		}
		other, err := baobabemulator.BuildModuleBinaries(b.baselineModule, folder)
		if err != nil {
			return err
		}
		b.baseline = &other
	}
	b.report.recordBegin()
	fmt.Printf("%s seed=%d load=%s\n", b.report.Experiment, b.seed, b.report.LoadBefore)
	if err := e.run(ctx, b); err != nil {
		return errors.Wrapf(err, "logs in %s", b.folder)
	}
	b.report.recordEnd()
	if !b.keep {
		defer func() { _ = os.RemoveAll(b.folder) }()
	}
	return b.report.write(b.results)
}

// A runningMesh is a started mesh whose nodes are ready and have the same configuration in force.
type runningMesh struct {
	*baobabemulator.Mesh
	folder string
}

// startMesh starts a mesh of the given programs and waits until the given resources are its configuration.
func (b *bench) startMesh(
	ctx context.Context, binaries baobabemulator.Binaries, spec *baobabemulator.MeshSpec, resources resources,
) (*runningMesh, error) {
	b.meshCount++
	folder := filepath.Join(b.folder, fmt.Sprintf("mesh-%d", b.meshCount))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "start mesh")
	}
	m, err := baobabemulator.NewMesh(spec, folder, binaries)
	if err != nil {
		return nil, err
	}
	r := &runningMesh{Mesh: m, folder: folder}
	if err := r.bringUp(ctx, resources); err != nil {
		m.Close()
		return nil, err
	}
	return r, nil
}

// bringUp starts the mesh, applies the resources, and waits until the configuration is in force on all nodes and the
// upstreams are ready.
func (m *runningMesh) bringUp(ctx context.Context, resources resources) error {
	ctx, cancel := context.WithTimeout(ctx, meshStartTimeout)
	defer cancel()
	if err := m.Start(); err != nil {
		return err
	}
	if err := m.WaitHealthy(ctx); err != nil {
		return err
	}
	version, err := m.applyResources(ctx, resources)
	if err != nil {
		return err
	}
	if err := m.WaitReady(ctx); err != nil {
		return err
	}
	if err := m.WaitMembers(ctx, m.Nodes()[0], len(m.Nodes())); err != nil {
		return err
	}
	if err := m.WaitInForce(ctx, version); err != nil {
		return err
	}
	return m.WaitUpstreams(ctx)
}

// applyResources writes the resources, accepts them, and returns the number of the new configuration version.
func (m *runningMesh) applyResources(ctx context.Context, resources resources) (uint64, error) {
	data, err := json.Marshal(map[string]any{"resources": resources})
	if err != nil {
		return 0, errors.Wrap(err, "apply")
	}
	file := filepath.Join(m.folder, "apply.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return 0, errors.Wrap(err, "apply")
	}
	if out, err := m.RunCommand(ctx, "apply", file); err != nil {
		return 0, errors.Wrapf(err, "apply: %s", out)
	}
	version, err := m.Accept(ctx)
	return version.Number, err
}
