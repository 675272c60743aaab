package baobabproof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	// The product runs as a process of its own; the import makes cached test results depend on its code.
	_ "github.com/baobabdale/baobabdale/baobabcommand"
	"github.com/baobabdale/baobabdale/baobabemulator"
)

// testTimeout bounds each wait of a test. It is far above what a wait takes on a busy machine.
const testTimeout = 60 * time.Second

// meshSlots bounds the meshes that run at the same time; each has 26 processes or so.
var meshSlots = make(chan struct{}, 4)

var (
	binaries baobabemulator.Binaries
	seedFlag = flag.Uint64("seed", 0, "seed of the random choices; 0 takes a new one")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "baobabproof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if binaries, err = baobabemulator.BuildBinaries(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// newSeed returns the seed of a test, which is printed when the test fails.
func newSeed(t *testing.T) uint64 {
	t.Helper()
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d (set it again with -seed)", seed)
		}
	})
	return seed
}

// startMesh starts a mesh with an example configuration in force everywhere. Its logs are printed when the test fails.
func startMesh(t *testing.T, deployment string, options ...baobabemulator.MeshOption) *baobabemulator.Mesh {
	t.Helper()
	meshSlots <- struct{}{}
	t.Cleanup(func() { <-meshSlots })
	spec, err := baobabemulator.DeploymentSpec(deployment, append([]baobabemulator.MeshOption{
		baobabemulator.WithMeshProxies(), baobabemulator.WithMeshSeed(newSeed(t)),
	}, options...)...)
	if err != nil {
		t.Fatal(err)
	}
	m := startProcesses(t, spec)
	applyExample(t, m, deployment)
	if err := m.WaitUpstreams(timeout(t)); err != nil {
		t.Fatal(err)
	}
	return m
}

// startProcesses starts a mesh without a configuration. Its logs are printed when the test fails.
func startProcesses(t *testing.T, spec *baobabemulator.MeshSpec) *baobabemulator.Mesh {
	t.Helper()
	m, err := baobabemulator.NewMesh(spec, t.TempDir(), binaries)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		m.Close()
		if t.Failed() {
			logTails(t, m)
		}
	})
	ctx := timeout(t)
	if err := m.Start(); err != nil {
		t.Fatal(err)
	}
	if err := m.WaitHealthy(ctx); err != nil {
		t.Fatal(err)
	}
	if err := m.WaitMembers(ctx, m.Nodes()[0], len(m.Nodes())); err != nil {
		t.Fatal(err)
	}
	return m
}

// applyExample brings an example configuration in force everywhere.
func applyExample(t *testing.T, m *baobabemulator.Mesh, deployment string) {
	t.Helper()
	ctx := timeout(t)
	version, err := m.ApplyExample(ctx, deployment)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.WaitInForce(ctx, version.Number); err != nil {
		t.Fatal(err)
	}
	if err := m.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

// timeout returns a context that ends with the test at the latest.
func timeout(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// checkHistories fails the test for each contradiction between what callers saw and what upstreams ran.
func checkHistories(t *testing.T, m *baobabemulator.Mesh, records []baobabemulator.CallerRecord) {
	t.Helper()
	runs, err := m.Runs()
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range baobabemulator.Violations(records, runs) {
		t.Error(v)
	}
}

func logTails(t *testing.T, m *baobabemulator.Mesh) {
	t.Helper()
	const tail = 2000
	for _, n := range m.Nodes() {
		data, err := os.ReadFile(n.NodeProcess().LogFile())
		if err != nil {
			continue
		}
		t.Logf("log of %s:\n%s", n.ID(), data[max(0, len(data)-tail):])
	}
}
