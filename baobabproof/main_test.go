package baobabproof

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"testing"
	"time"

	// The tests run the product as a separate process; this import makes cached test results depend on its code.
	_ "github.com/baobabdale/baobabdale/baobabcommand"
	"github.com/baobabdale/baobabdale/baobabemulator"
)

// testTimeout bounds each wait in a test, with an ample margin for a busy machine.
const testTimeout = 60 * time.Second

// meshSlots limits how many meshes run at the same time; each has about 26 processes.
var meshSlots = make(chan struct{}, 4)

var (
	binaries baobabemulator.Binaries
	seedFlag = flag.Uint64("seed", 0, "seed of the random choices; 0 picks a random seed")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "baobabproof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if binaries, err = baobabemulator.BuildBinaries(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// newSeed returns the seed for a test: the one from -seed, or else a random one. It is logged if the test fails.
func newSeed(t *testing.T) uint64 {
	t.Helper()
	seed := *seedFlag
	if seed == 0 {
		seed = rand.Uint64()
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d (rerun with -seed)", seed)
		}
	})
	return seed
}

// startMesh starts a mesh in which every node has an example configuration active and knows all upstreams. The ends of
// the node logs are printed if the test fails.
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
	m := startUnconfiguredMesh(t, spec)
	applyExample(t, m, deployment)
	if err := m.WaitUpstreams(testContext(t)); err != nil {
		t.Fatal(err)
	}
	return m
}

// startUnconfiguredMesh starts a mesh without a configuration and waits until its first node knows all members. The
// ends of the node logs are printed if the test fails.
func startUnconfiguredMesh(t *testing.T, spec *baobabemulator.MeshSpec) *baobabemulator.Mesh {
	t.Helper()
	m, err := baobabemulator.NewMesh(spec, t.TempDir(), binaries)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			printProcessStates(t, m)
		}
		m.Close()
		if t.Failed() {
			printLogTails(t, m)
		}
	})
	ctx := testContext(t)
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

// printProcessStates prints the state of the nodes' processes as the kernel sees it; process 0 has ended.
func printProcessStates(t *testing.T, m *baobabemulator.Mesh) {
	t.Helper()
	for _, n := range m.Nodes() {
		pid := n.NodeProcess().PID()
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		t.Logf("%s: process %d %s", n.ID(), pid, regexp.MustCompile(`(?m)^State:.*$`).Find(status))
	}
}

// applyExample applies an example configuration and waits until every node has activated it and is ready.
func applyExample(t *testing.T, m *baobabemulator.Mesh, deployment string) {
	t.Helper()
	ctx := testContext(t)
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

// testContext returns a context that expires after testTimeout, or with the test if that is earlier.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// checkHistories fails the test for each contradiction between what callers received and what upstreams ran.
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

func printLogTails(t *testing.T, m *baobabemulator.Mesh) {
	t.Helper()
	const maxBytes = 2000
	for _, n := range m.Nodes() {
		data, err := os.ReadFile(n.NodeProcess().LogFile())
		if err != nil {
			continue
		}
		t.Logf("log of %s:\n%s", n.ID(), data[max(0, len(data)-maxBytes):])
	}
}
