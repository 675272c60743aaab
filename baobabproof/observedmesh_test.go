package baobabproof

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabemulator"
	"github.com/baobabdale/baobabdale/baobaboperator"
	platform "github.com/baobabdale/baobabdale/baobabplatform"
)

// An observedMesh is a mesh whose nodes are polled continuously for their active version.
type observedMesh struct {
	*baobabemulator.Mesh
	t          *testing.T
	observer   *baobabemulator.Observer
	caller     *baobabemulator.Caller
	routeCount int // Routes created by this test.
}

// startObservedMesh starts a mesh of 13 nodes. At the end of the test it checks the nodes' answers and the call
// histories.
func startObservedMesh(t *testing.T, options ...baobabemulator.MeshOption) *observedMesh {
	t.Helper()
	t.Parallel()
	m := &observedMesh{t: t, Mesh: startMesh(t, "booking", append(options, baobabemulator.WithMeshEmbeddedUpstreams())...)}
	o, err := m.Observe()
	if err != nil {
		t.Fatal(err)
	}
	m.observer, m.caller = o, baobabemulator.NewCaller(t.Name())
	t.Cleanup(func() {
		o.Close()
		m.caller.Close()
		checkHistories(t, m.Mesh, m.caller.Records())
		for _, violation := range o.Violations() {
			t.Error(violation)
		}
		t.Logf("%d answers of nodes checked", o.Responses())
	})
	return m
}

// acceptRoute creates a route through the given nodes, accepts it, and returns its name and the version number.
func (m *observedMesh) acceptRoute(ctx context.Context, nodes ...*baobabemulator.MeshNode) (route string, number uint64) {
	m.t.Helper()
	m.routeCount++
	route = fmt.Sprintf("r%d", m.routeCount)
	c := m.newChanger(nodes...)
	version, err := c.AcceptRoute(ctx, route, "availability")
	if err != nil {
		m.t.Fatal(err)
	}
	return route, version.Number
}

func (m *observedMesh) newChanger(nodes ...*baobabemulator.MeshNode) *baobabemulator.ConfigurationEditor {
	m.t.Helper()
	c, err := m.NewConfigurationEditor(nodes...)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(c.Close)
	return c
}

// waitVersion waits until the nodes, or all if none are given, are ready with the version or a newer one, and logs how
// long that took.
func (m *observedMesh) waitVersion(ctx context.Context, what string, number uint64, nodes ...*baobabemulator.MeshNode) {
	m.t.Helper()
	d, err := m.observer.WaitVersion(ctx, number, nodes...)
	if err != nil {
		m.t.Fatalf("%s: %v", what, err)
	}
	m.t.Logf("%s: version %d in force after %v", what, number, d.Round(time.Millisecond))
}

// waitMemberCount waits until each of the nodes, or all if none are given, knows exactly count live members.
func (m *observedMesh) waitMemberCount(ctx context.Context, count int, nodes ...*baobabemulator.MeshNode) {
	m.t.Helper()
	what := fmt.Sprintf("%d members", count)
	d, err := m.observer.WaitUntil(ctx, what, func(n baobaboperator.NodeView) bool { return n.Members == count }, nodes...)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Logf("%s after %v", what, d.Round(time.Millisecond))
}

// checkAnswered checks that a call on a path is answered through each of the nodes.
func (m *observedMesh) checkAnswered(ctx context.Context, path string, nodes ...*baobabemulator.MeshNode) {
	m.t.Helper()
	for _, n := range nodes {
		r := m.caller.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: path})
		if !r.Answered() {
			m.t.Errorf("%s through %s: status %d, refusal %q, err %v", path, n.ID(), r.Status, r.Refusal, r.Err)
		}
	}
}

// waitServed waits until a call on a path through each of the nodes is answered by an upstream of one of the given
// nodes. After a node restarts, its upstream announces itself again within 1 s.
func (m *observedMesh) waitServed(ctx context.Context, path string, nodes, upstreams []*baobabemulator.MeshNode) {
	m.t.Helper()
	for _, n := range nodes {
		for {
			r := m.caller.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: path})
			if r.Answered() && slices.ContainsFunc(upstreams, func(u *baobabemulator.MeshNode) bool {
				return u.UpstreamID() == r.Answer.UpstreamID
			}) {
				break
			}
			if ctx.Err() != nil {
				m.t.Fatalf("%s through %s: status %d, refusal %q, by %s, err %v", path, n.ID(), r.Status, r.Refusal, r.Answer.UpstreamID, r.Err)
			}
		}
	}
}

// platformClient returns a client that connects to the platform directly, not through a fault-injecting proxy.
func (m *observedMesh) platformClient() *platform.Client {
	m.t.Helper()
	s, err := m.PlatformStore()
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(s.Close)
	return s
}

func (m *observedMesh) mustSetPlatformFaults(ctx context.Context, fields string) {
	m.t.Helper()
	if err := m.SetPlatformFaults(ctx, fields); err != nil {
		m.t.Fatal(err)
	}
}

func (m *observedMesh) startNodes(nodes ...*baobabemulator.MeshNode) {
	m.t.Helper()
	for _, n := range nodes {
		if err := n.NodeProcess().Start(); err != nil {
			m.t.Fatal(err)
		}
	}
}

func killNodes(nodes ...*baobabemulator.MeshNode) {
	for _, n := range nodes {
		n.NodeProcess().Kill()
	}
}

// TestRestartAmongLaggingPeers guards against a node that returns to an older version after a restart. The node keeps
// no state, its platform reads are stale, and the only peers that answer do not know its last version.
func TestRestartAmongLaggingPeers(t *testing.T) {
	m := startObservedMesh(t)
	ctx := testContext(t)
	changer := m.newChanger(m.NodesInDomain(1)...)
	current, lagging := append(m.NodesInDomain(1), m.NodesInDomain(2)...), m.NodesInDomain(3)
	m.Partition(3)
	if err := changer.SetRoute(ctx, "late", "availability"); err != nil {
		t.Fatal(err)
	}
	m.mustSetPlatformFaults(ctx, `{"stale_reads": true}`)
	version, err := changer.Accept(ctx)
	if err != nil {
		t.Fatal(err)
	}
	m.waitVersion(ctx, "accepted without fd3", version.Number, current...)
	killNodes(current...)
	m.Heal(3)
	m.startNodes(current[0])
	m.waitVersion(ctx, "restarted among lagging peers", version.Number, current[0])
	m.waitVersion(ctx, "lagging peers", version.Number, lagging...)
	m.startNodes(current[1:]...)
	m.waitVersion(ctx, "all restarted", version.Number)
	m.mustSetPlatformFaults(ctx, `{"stale_reads": false}`)
	m.waitMemberCount(ctx, len(m.Nodes()))
	m.waitServed(ctx, baobabemulator.RoutePathPrefix("late"), m.Nodes(), m.Nodes())
}
