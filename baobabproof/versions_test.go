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

// versions is a mesh whose nodes are asked all the time what they have in force.
type versions struct {
	*baobabemulator.Mesh
	t        *testing.T
	observer *baobabemulator.Observer
	caller   *baobabemulator.Caller
	routes   int // Created by this test.
}

// startVersions starts a mesh of 13 nodes. When the test ends it checks what the nodes answered.
func startVersions(t *testing.T, options ...baobabemulator.MeshOption) *versions {
	t.Helper()
	t.Parallel()
	v := &versions{t: t, Mesh: startMesh(t, "booking", append(options, baobabemulator.WithMeshEmbeddedUpstreams())...)}
	o, err := v.Observe()
	if err != nil {
		t.Fatal(err)
	}
	v.observer, v.caller = o, baobabemulator.NewCaller(t.Name())
	t.Cleanup(func() {
		o.Close()
		v.caller.Close()
		checkHistories(t, v.Mesh, v.caller.Records())
		for _, violation := range o.Violations() {
			t.Error(violation)
		}
		t.Logf("%d answers of nodes checked", o.Responses())
	})
	return v
}

// accept creates a route through the given nodes and accepts it.
func (v *versions) accept(ctx context.Context, nodes ...*baobabemulator.MeshNode) (route string, number uint64) {
	v.t.Helper()
	v.routes++
	route = fmt.Sprintf("r%d", v.routes)
	c := v.changer(nodes...)
	version, err := c.AcceptRoute(ctx, route, "availability")
	if err != nil {
		v.t.Fatal(err)
	}
	return route, version.Number
}

func (v *versions) changer(nodes ...*baobabemulator.MeshNode) *baobabemulator.ConfigurationEditor {
	v.t.Helper()
	c, err := v.NewConfigurationEditor(nodes...)
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(c.Close)
	return c
}

// converge waits until the nodes, or all, are ready with a version, and logs how long that took.
func (v *versions) converge(ctx context.Context, what string, number uint64, nodes ...*baobabemulator.MeshNode) {
	v.t.Helper()
	d, err := v.observer.WaitVersion(ctx, number, nodes...)
	if err != nil {
		v.t.Fatalf("%s: %v", what, err)
	}
	v.t.Logf("%s: version %d in force after %v", what, number, d.Round(time.Millisecond))
}

// members waits until each of the nodes, or all, knows a number of live members.
func (v *versions) members(ctx context.Context, count int, nodes ...*baobabemulator.MeshNode) {
	v.t.Helper()
	what := fmt.Sprintf("%d members", count)
	d, err := v.observer.WaitUntil(ctx, what, func(n baobaboperator.NodeView) bool { return n.Members == count }, nodes...)
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Logf("%s after %v", what, d.Round(time.Millisecond))
}

// serves checks that calls on a path are answered through each of the nodes.
func (v *versions) serves(ctx context.Context, path string, nodes ...*baobabemulator.MeshNode) {
	v.t.Helper()
	for _, n := range nodes {
		r := v.caller.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: path})
		if !r.Answered() {
			v.t.Errorf("%s through %s: status %d, refusal %q, err %v", path, n.ID(), r.Status, r.Refusal, r.Err)
		}
	}
}

// comesToServe waits until calls on a path are answered through each of the nodes by one of the upstreams. After a
// restart of a node its upstream announces itself again within a second.
func (v *versions) comesToServe(ctx context.Context, path string, nodes, upstreams []*baobabemulator.MeshNode) {
	v.t.Helper()
	for _, n := range nodes {
		for {
			r := v.caller.Do(ctx, n.EntryURL(), baobabemulator.CallerRequest{Method: http.MethodGet, Path: path})
			if r.Answered() && slices.ContainsFunc(upstreams, func(u *baobabemulator.MeshNode) bool {
				return u.UpstreamID() == r.Answer.UpstreamID
			}) {
				break
			}
			if ctx.Err() != nil {
				v.t.Fatalf("%s through %s: status %d, refusal %q, by %s, err %v", path, n.ID(), r.Status, r.Refusal, r.Answer.UpstreamID, r.Err)
			}
		}
	}
}

// store returns a client of the platform that no fault proxy is in front of.
func (v *versions) store() *platform.Client {
	v.t.Helper()
	s, err := v.PlatformStore()
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(s.Close)
	return s
}

func (v *versions) platformFaults(ctx context.Context, fields string) {
	v.t.Helper()
	if err := v.SetPlatformFaults(ctx, fields); err != nil {
		v.t.Fatal(err)
	}
}

func (v *versions) start(nodes ...*baobabemulator.MeshNode) {
	v.t.Helper()
	for _, n := range nodes {
		if err := n.NodeProcess().Start(); err != nil {
			v.t.Fatal(err)
		}
	}
}

func kill(nodes ...*baobabemulator.MeshNode) {
	for _, n := range nodes {
		n.NodeProcess().Kill()
	}
}

// TestRestartAmongLaggingPeers guards against a node that goes back over a restart: it keeps nothing, its platform
// reads are stale, and the only peers that answer have not heard of its last version.
func TestRestartAmongLaggingPeers(t *testing.T) {
	v := startVersions(t)
	ctx := timeout(t)
	changer := v.changer(v.NodesInDomain(1)...)
	current, lagging := append(v.NodesInDomain(1), v.NodesInDomain(2)...), v.NodesInDomain(3)
	v.Partition(3)
	if err := changer.SetRoute(ctx, "late", "availability"); err != nil {
		t.Fatal(err)
	}
	v.platformFaults(ctx, `{"stale_reads": true}`)
	version, err := changer.Accept(ctx)
	if err != nil {
		t.Fatal(err)
	}
	v.converge(ctx, "accepted without fd3", version.Number, current...)
	kill(current...)
	v.Heal(3)
	v.start(current[0])
	v.converge(ctx, "restarted among lagging peers", version.Number, current[0])
	v.converge(ctx, "lagging peers", version.Number, lagging...)
	v.start(current[1:]...)
	v.converge(ctx, "all restarted", version.Number)
	v.platformFaults(ctx, `{"stale_reads": false}`)
	v.members(ctx, len(v.Nodes()))
	v.comesToServe(ctx, baobabemulator.RoutePathPrefix("late"), v.Nodes(), v.Nodes())
}
